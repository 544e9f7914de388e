// SPDX-License-Identifier: Apache-2.0
//
// A running digest over (key, version) of all backends that somebody knows: cheap to keep under puts and
// deletes, independent of their order, equal for equal states. Pure.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_DIGEST_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "membership/ledger.h"

namespace badgerbridge::scale {

// Numbers the keys of one prefix from 0 on, once for all digests of a process.
class KeyIndex {
 public:
  std::uint32_t IndexOf(std::string_view key);
  // Of an index that IndexOf gave.
  std::uint64_t HashOf(std::uint32_t index) const { return hashes_[index]; }
  std::size_t size() const { return hashes_.size(); }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  std::unordered_map<std::string, std::uint32_t, Hash, std::equal_to<>> indices_;
  std::vector<std::uint64_t> hashes_;
};

// What a digest takes for a member's version: a hash of all its fields but its name; never 0.
std::uint64_t VersionOf(const membership::Member& member);

// The value of a digest, as it is compared: equal states give equal values; different ones differ but for a
// chance of 2^-64.
struct DigestValue {
  std::uint64_t sum = 0;
  std::uint64_t count = 0;  // of keys
  friend bool operator==(const DigestValue&, const DigestValue&) = default;
  DigestValue& operator+=(const DigestValue& other) {
    sum += other.sum;
    count += other.count;
    return *this;
  }
};

class StateDigest {
 public:
  explicit StateDigest(KeyIndex* keys) : keys_(keys) {}  // outlives this

  void Put(std::string_view key, std::uint64_t version) { Set(keys_->IndexOf(key), version); }
  void Remove(std::string_view key) { Set(keys_->IndexOf(key), 0); }
  // From a source's report: a whole list, once its last page is there, replaces all but the entries that it
  // calls unreadable.
  void Apply(const membership::Report& report);

  const DigestValue& value() const { return value_; }
  std::size_t bytes() const { return versions_.capacity() * sizeof(versions_[0]) + listed_.capacity() / 8; }

 private:
  void Set(std::uint32_t index, std::uint64_t version);
  void MarkListed(std::uint32_t index);

  KeyIndex* keys_;
  std::vector<std::uint64_t> versions_;  // by index; 0: not known
  std::vector<bool> listed_;             // by index; by the pages of the list that is being read
  DigestValue value_;
};

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_DIGEST_H_
