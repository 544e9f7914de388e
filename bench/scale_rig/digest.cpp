// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/digest.h"

#include <bit>
#include <utility>

namespace badgerbridge::scale {
namespace {

// SplitMix64's finalizer (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// FNV-1a over the bytes, mixed; the same in every process.
std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return Mix(hash ^ text.size());
}

std::uint64_t Term(std::uint64_t key, std::uint64_t version) { return Mix(key ^ std::rotl(version, 17)); }

}  // namespace

std::uint32_t KeyIndex::IndexOf(std::string_view key) {
  if (const auto found = indices_.find(key); found != indices_.end()) return found->second;
  const auto index = static_cast<std::uint32_t>(hashes_.size());
  indices_.emplace(std::string(key), index);
  hashes_.push_back(HashText(key));
  return index;
}

std::uint64_t VersionOf(const membership::Member& member) {
  std::uint64_t hash = HashText(member.address);
  hash = Mix(hash ^ HashText(member.zone));
  hash = Mix(hash ^ HashText(member.kind));
  hash = Mix(hash ^ static_cast<std::uint64_t>(member.group));
  hash = Mix(hash ^ static_cast<std::uint64_t>(member.state));
  hash = Mix(hash ^ std::bit_cast<std::uint64_t>(member.weight));
  hash = Mix(hash ^ std::bit_cast<std::uint64_t>(member.start_time_ms));
  return hash == 0 ? 1 : hash;
}

void StateDigest::Set(std::uint32_t index, std::uint64_t version) {
  if (index >= versions_.size()) versions_.resize(index + 1, 0);
  const std::uint64_t before = std::exchange(versions_[index], version);
  const std::uint64_t key = keys_->HashOf(index);
  if (before != 0) {
    value_.sum -= Term(key, before);
    --value_.count;
  }
  if (version != 0) {
    value_.sum += Term(key, version);
    ++value_.count;
  }
}

void StateDigest::Apply(const membership::Report& report) {
  if (report.StartsList()) listed_.assign(versions_.size(), false);
  for (const membership::Member& member : report.members) {
    const std::uint32_t index = keys_->IndexOf(member.name);
    Set(index, member.state == membership::MemberState::kGone ? 0 : VersionOf(member));
    if (report.complete) MarkListed(index);
  }
  for (const std::string& name : report.unreadable) MarkListed(keys_->IndexOf(name));
  if (!report.EndsList()) return;
  for (std::uint32_t index = 0; index < versions_.size(); ++index) {
    if (index >= listed_.size() || !listed_[index]) Set(index, 0);
  }
  listed_.clear();
}

void StateDigest::MarkListed(std::uint32_t index) {
  if (index >= listed_.size()) listed_.resize(index + 1, false);
  listed_[index] = true;
}

}  // namespace badgerbridge::scale
