// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/hollow_proxy.h"

#include <algorithm>

#include "scale_rig/control_channel.h"

namespace badgerbridge::scale {

using membership::EtcdSource;
using membership::Report;
using membership::Time;

void KeyIndices::Prepare(const Size& size, std::size_t proxy) {
  for (const std::size_t service : ServicesOf(size, proxy)) {
    KeyIndex& keys = indices_[service];
    if (keys.size() > 0) continue;
    const std::size_t stride = size.flat() ? 1 : size.services;
    for (std::size_t i = service; i < size.backends; i += stride) keys.IndexOf(BackendAt(i).name);
  }
}

namespace {

constexpr std::int64_t kPlantedDelayNs = 2000000000;

}  // namespace

HollowProxy::HollowProxy(boost::asio::io_context& io, const Size& size, std::size_t number,
                         const std::vector<boost::asio::ip::tcp::endpoint>& endpoints, KeyIndices* keys)
    : keys_(keys),
      loses_deletions_(size.loses_deletions && number == 0),
      late_drains_(size.late_drains && number == 0),
      started_ns_(NowNs()) {
  const std::vector<std::size_t> services = ServicesOf(size, number);
  lists_left_ = services.size();
  for (const std::size_t service : services) {
    follows_.push_back(std::make_unique<Follow>(service, keys->OfService(service)));
    Follow& follow = *follows_.back();
    if (number < size.ledgers) {
      membership::LedgerSettings settings;  // as the proxy has it with [etcd] authority
      settings.sources = {{"etcd", true, Time(5000), Time(60000)}};
      follow.ledger.emplace(settings);
    }
    membership::EtcdSourceSettings settings;
    settings.endpoints = endpoints;
    settings.follower.prefix = PrefixOf(size, service);
    follow.source.emplace(
        io, settings, size.seed + number * 7919 + service,
        [this, &follow](Time now, const Report& report) {
          loses_deletions_ ? TakeWithoutDeletions(follow, now, report) : Take(follow, now, report);
        },
        [&follow](Time now) {
          if (follow.ledger) follow.ledger->RecordContact(now, 0);
        },
        [&follow](const std::string& key, const std::string& reason) {
          if (follow.ledger) follow.ledger->RecordProblem(0, key, reason);
        });
  }
}

void HollowProxy::TakeWithoutDeletions(Follow& follow, Time now, Report report) {
  std::erase_if(report.members,
                [](const auto& member) { return member.state == membership::MemberState::kGone; });
  Take(follow, now, report);
}

void HollowProxy::Take(Follow& follow, Time now, const Report& report) {
  if (follow.ledger && !follow.ledger->ApplyReport(now, report)) ++refused_reports_;
  follow.digest.Apply(report);
  if (report.complete && !report.EndsList()) return;  // not the last page
  follow.times.push_back({report.version, NowNs() + (late_drains_ ? kPlantedDelayNs : 0)});
  if (follow.listed || !report.complete) return;
  follow.listed = true;
  if (--lists_left_ == 0) ready_ns_ = NowNs();
}

const HollowProxy::Follow* HollowProxy::Find(std::size_t service) const {
  for (const auto& follow : follows_) {
    if (follow->service == service) return follow.get();
  }
  return nullptr;
}

bool HollowProxy::follows(std::size_t service) const { return Find(service) != nullptr; }

std::optional<double> HollowProxy::InForceAfterMs(const Write& write) const {
  const Follow* follow = Find(write.service);
  if (!follow) return std::nullopt;
  const auto at =
      std::lower_bound(follow->times.begin(), follow->times.end(), write.revision,
                       [](const InForce& one, std::uint64_t revision) { return one.revision < revision; });
  if (at == follow->times.end()) return std::nullopt;
  return static_cast<double>(at->at_ns - write.at_ns) / 1e6;
}

void HollowProxy::ForgetTimes() {
  for (const auto& follow : follows_) follow->times.clear();
}

std::uint64_t HollowProxy::revision() const {
  std::int64_t least = follows_.front()->source->follower().revision();
  for (const auto& follow : follows_) least = std::min(least, follow->source->follower().revision());
  return static_cast<std::uint64_t>(least);
}

std::vector<std::pair<std::size_t, DigestValue>> HollowProxy::digests() const {
  std::vector<std::pair<std::size_t, DigestValue>> digests;
  for (const auto& follow : follows_) digests.emplace_back(follow->service, follow->digest.value());
  return digests;
}

std::vector<std::pair<std::size_t, DigestValue>> HollowProxy::ledger_digests() const {
  std::vector<std::pair<std::size_t, DigestValue>> digests;
  for (const auto& follow : follows_) {
    if (!follow->ledger) continue;
    StateDigest digest(keys_->OfService(follow->service));
    for (const auto& [name, entry] : follow->ledger->current_view()) {
      if (entry.member->state != membership::MemberState::kGone) digest.Put(name, VersionOf(*entry.member));
    }
    digests.emplace_back(follow->service, digest.value());
  }
  return digests;
}

std::uint64_t HollowProxy::lists() const {
  std::uint64_t sum = 0;
  for (const auto& follow : follows_) sum += follow->source->follower().snapshots();
  return sum;
}

std::uint64_t HollowProxy::resumes() const {
  std::uint64_t sum = 0;
  for (const auto& follow : follows_) sum += follow->source->follower().resumes();
  return sum;
}

std::size_t HollowProxy::rig_bytes() const {
  std::size_t bytes = sizeof(*this);
  for (const auto& follow : follows_)
    bytes += follow->digest.bytes() + follow->times.capacity() * sizeof(InForce);
  return bytes;
}

std::string HollowProxy::last_trouble() const {
  for (const auto& follow : follows_) {
    if (!follow->source->follower().last_error_message().empty())
      return follow->source->follower().last_error_message();
  }
  return "";
}

}  // namespace badgerbridge::scale
