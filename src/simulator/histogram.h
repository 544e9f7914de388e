// SPDX-License-Identifier: Apache-2.0

/// @file
/// Times in log-linear buckets, the layout of HdrHistogram (Tene).
#ifndef BADGERBRIDGE_SIMULATOR_HISTOGRAM_H_
#define BADGERBRIDGE_SIMULATOR_HISTOGRAM_H_

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace badgerbridge::simulator {

/// Any time from a microsecond to hours is known within 1/128 of itself, in 34 kB at most, and histograms add
/// up.
class Histogram {
 public:
  /// Adds `times` times of `time_ms`.
  void Add(double time_ms, std::uint64_t times = 1) {
    const std::size_t bucket = BucketOf(time_ms);
    if (bucket >= counts_.size()) counts_.resize(bucket + 1);
    counts_[bucket] += times;
    count_ += times;
    sum_ms_ += time_ms * static_cast<double>(times);
    max_ms_ = std::max(max_ms_, time_ms);
  }

  /// Adds all times of another.
  void Add(const Histogram& other) {
    if (other.counts_.size() > counts_.size()) counts_.resize(other.counts_.size());
    for (std::size_t i = 0; i < other.counts_.size(); ++i) counts_[i] += other.counts_[i];
    count_ += other.count_;
    sum_ms_ += other.sum_ms_;
    max_ms_ = std::max(max_ms_, other.max_ms_);
  }

  /// How many times were added.
  std::uint64_t count() const { return count_; }
  /// Their mean, ms; 0 if there is none.
  double mean() const { return count_ > 0 ? sum_ms_ / static_cast<double>(count_) : 0; }
  /// The longest, ms.
  double max() const { return max_ms_; }

  /// The least time, ms, that is no shorter than a share `quantile` of all, to the width of a bucket; 0 if
  /// there is none.
  double Quantile(double quantile) const {
    const auto rank =
        std::max<std::uint64_t>(1, static_cast<std::uint64_t>(quantile * static_cast<double>(count_) + 0.5));
    std::uint64_t passed = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      passed += counts_[i];
      if (count_ > 0 && passed >= rank) return std::min(max_ms_, UpperBoundMs(i));
    }
    return max_ms_;
  }

 private:
  static constexpr int kBucketBits = 7;  // 128 buckets to each doubling
  static constexpr std::uint64_t kBucketsPerDoubling = 1ull << kBucketBits;
  static constexpr std::uint64_t kMaxMicroseconds = 1ull << 40;  // twelve days

  static std::size_t BucketOf(double time_ms) {
    const auto microseconds =
        static_cast<std::uint64_t>(std::clamp(time_ms * 1000, 0.0, static_cast<double>(kMaxMicroseconds)));
    if (microseconds < kBucketsPerDoubling) return microseconds;
    const int shift = std::bit_width(microseconds) - 1 - kBucketBits;
    const std::uint64_t first = (static_cast<std::uint64_t>(shift) + 1) * kBucketsPerDoubling;
    return static_cast<std::size_t>(first + (microseconds >> shift) - kBucketsPerDoubling);
  }

  static double UpperBoundMs(std::size_t bucket) {
    if (bucket < kBucketsPerDoubling) return static_cast<double>(bucket + 1) / 1000;
    const std::uint64_t shift = bucket / kBucketsPerDoubling - 1;
    const std::uint64_t mantissa = bucket % kBucketsPerDoubling + kBucketsPerDoubling;
    return static_cast<double>((mantissa + 1) << shift) / 1000;
  }

  std::vector<std::uint64_t> counts_;
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
  double max_ms_ = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_HISTOGRAM_H_
