// SPDX-License-Identifier: Apache-2.0
//
// Times in log-linear buckets, the layout of HdrHistogram (Tene): any time from a microsecond to hours is
// told within 1/128 of itself, in 34 kB at the most, and histograms of the same layout add up.
#ifndef BADGERBRIDGE_SIMULATOR_HISTOGRAM_H_
#define BADGERBRIDGE_SIMULATOR_HISTOGRAM_H_

#include <algorithm>
#include <bit>
#include <cstdint>
#include <vector>

namespace badgerbridge::simulator {

class Histogram {
 public:
  void Add(double ms, std::uint64_t times = 1) {
    const std::size_t at = Bucket(ms);
    if (at >= counts_.size()) counts_.resize(at + 1);
    counts_[at] += times, count_ += times;
    sum_ += ms * static_cast<double>(times);
    most_ = std::max(most_, ms);
  }
  void Add(const Histogram& other) {
    if (other.counts_.size() > counts_.size()) counts_.resize(other.counts_.size());
    for (std::size_t i = 0; i < other.counts_.size(); ++i) counts_[i] += other.counts_[i];
    count_ += other.count_, sum_ += other.sum_, most_ = std::max(most_, other.most_);
  }

  std::uint64_t count() const { return count_; }
  double mean() const { return count_ > 0 ? sum_ / static_cast<double>(count_) : 0; }
  double most() const { return most_; }
  // The least time that is no shorter than a share `q` of all, to the width of a bucket; 0 if there is none.
  double Quantile(double q) const {
    const auto rank =
        std::max<std::uint64_t>(1, static_cast<std::uint64_t>(q * static_cast<double>(count_) + 0.5));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      seen += counts_[i];
      if (count_ > 0 && seen >= rank) return std::min(most_, Upper(i));
    }
    return most_;
  }

 private:
  static constexpr int kBits = 7;  // 128 buckets to each doubling
  static constexpr std::uint64_t kSub = 1ull << kBits;
  static constexpr std::uint64_t kMost = 1ull << 40;  // µs: twelve days

  static std::size_t Bucket(double ms) {
    const auto us = static_cast<std::uint64_t>(std::clamp(ms * 1000, 0.0, static_cast<double>(kMost)));
    if (us < kSub) return us;
    const int shift = std::bit_width(us) - 1 - kBits;
    return static_cast<std::size_t>((static_cast<std::uint64_t>(shift) + 1) * kSub + (us >> shift) - kSub);
  }
  static double Upper(std::size_t bucket) {
    if (bucket < kSub) return static_cast<double>(bucket + 1) / 1000;
    const std::uint64_t shift = bucket / kSub - 1, sub = bucket % kSub + kSub;
    return static_cast<double>((sub + 1) << shift) / 1000;
  }

  std::vector<std::uint64_t> counts_;
  std::uint64_t count_ = 0;
  double sum_ = 0, most_ = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_HISTOGRAM_H_
