// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/membership_source.h"

#include <iostream>
#include <utility>

#include "membership/etcd_settings.h"
#include "proxy_main/ledger_settings.h"
#include "proxy_main/membership_status_codec.h"

namespace badgerbridge::proxy_main {
namespace {

using balancer::BackendState;
using membership::EtcdSource;
using membership::Member;
using membership::MemberState;
using membership::Time;

constexpr std::size_t kMaxLoggedKeyBytes = 200;
constexpr Time kTimerMargin{1};  // the timer must not expire before the ledger's deadline

}  // namespace

MembershipSource::MembershipSource(boost::asio::io_context& io, const proxy::Config& config,
                                   const operator_config::EtcdSettings& settings, OnChange on_change,
                                   OnComplete on_complete, std::size_t max_members)
    : names_{config.zones, config.kinds},
      on_change_(std::move(on_change)),
      on_complete_(std::move(on_complete)),
      endpoint_list_(config),
      ledger_(MakeLedgerSettings(settings, max_members)),
      publisher_(
          io, [this](const std::vector<Member>& slice) { ApplySlice(slice); }, [this] { OnAllPublished(); }),
      timer_(io) {
  publisher_.set_urgent(static_cast<bool>(on_complete_));
  FollowEtcd(io, config, settings);
}

void MembershipSource::FollowEtcd(boost::asio::io_context& io, const proxy::Config& config,
                                  const operator_config::EtcdSettings& settings) {
  etcd_source_.emplace(
      io, membership::MakeEtcdSourceSettings(settings).value(), config.seed,
      [this](Time, const membership::Report& report) { ApplyReport(report); },
      [this](Time now) { RecordContact(now); },
      [this](const std::string& key, const std::string& reason) { RecordProblem(key, reason); });
}

void MembershipSource::RecordContact(Time now) {
  ledger_.RecordContact(now, kEtcdSource);
  ArmTimer();
}

void MembershipSource::RecordProblem(const std::string& key, const std::string& reason) {
  const bool is_new = !reason.empty() && !ledger_.problems(kEtcdSource).count(key);
  if (is_new) {
    std::cerr << "etcd: " << key.substr(0, kMaxLoggedKeyBytes) << ": " << reason
              << "; the last good entry stays\n";
  }
  ledger_.RecordProblem(kEtcdSource, key, reason);
}

void MembershipSource::SetConfiguredEndpoints(const proxy::EndpointList& list) {
  std::vector<proxy::ListedEndpoint> listed;
  for (const proxy::Endpoint& endpoint : list.endpoints) {
    if (endpoint.entry.state == BackendState::kGone) continue;
    configured_.push_back(endpoint.name);
    listed.push_back({endpoint.name, "", "", endpoint.address});
  }
  endpoint_list_.Resolve(true, 0, listed);
}

void MembershipSource::UpdateFromDiscovery(const proxy::EndpointList& list) {
  membership::Report report;
  report.source = kDiscoverySource;
  // Counted here, in the order of arrival: discovery's own version may begin again.
  report.version = ++discovery_version_;
  report.complete = list.snapshot;
  report.linearizable = list.snapshot;
  for (const proxy::Endpoint& endpoint : list.endpoints) report.members.push_back(ToMember(endpoint, names_));
  ApplyReport(report);
}

void MembershipSource::ApplyReport(const membership::Report& report) {
  const bool is_first_list = !authority_reported_ && ledger_.is_authority(report.source) && report.EndsList();
  const bool was_rejecting = !ledger_.rejection(report.source).empty();
  auto changes = ledger_.ApplyReport(EtcdSource::Now(), report);
  if (!changes) return;  // outdated, out of order, or a delta before the first list
  LogRejection(report.source, was_rejecting);
  if (is_first_list) {
    authority_reported_ = true;
    AddDeparturesOfConfigured(&*changes);
  } else if (!authority_reported_) {
    // Drains and departures of configured backends take effect even before the authority has reported.
    for (const Member& member : report.members) {
      if (member.state != MemberState::kReady) changes->push_back(member);
    }
  }
  publisher_.Publish(*changes);
  ArmTimer();
  LogRetention();
}

void MembershipSource::AddDeparturesOfConfigured(std::vector<Member>* changes) {
  for (const std::string& name : configured_) {
    if (ledger_.current_view().count(name)) continue;
    Member departed;
    departed.name = name;
    departed.state = MemberState::kGone;
    changes->push_back(std::move(departed));
  }
  configured_.clear();
}

void MembershipSource::ApplySlice(const std::vector<Member>& slice) {
  std::vector<proxy::ListedEndpoint> listed;
  for (const Member& member : slice) {
    proxy::ListedEndpoint endpoint = ToListedEndpoint(member);
    if (!endpoint.address && endpoint.state != BackendState::kGone) {
      std::cerr << "etcd: " << member.name << ": invalid address " << member.address
                << "; ignoring the change\n";
      continue;
    }
    listed.push_back(std::move(endpoint));
  }
  // The list gets the authority's version only after all changes up to that version are published.
  const std::size_t authority = ledger_.is_authority(kEtcdSource) ? kEtcdSource : kDiscoverySource;
  const std::uint64_t version =
      publisher_.pending() == 0 ? ledger_.version(authority) : endpoint_list_.version();
  if (listed.empty()) return endpoint_list_.SetVersion(version);
  on_change_(endpoint_list_.Resolve(false, version, listed));
}

void MembershipSource::OnAllPublished() {
  if (!authority_reported_ || !on_complete_) return;
  publisher_.set_urgent(false);
  std::exchange(on_complete_, nullptr)();
}

void MembershipSource::LogRejection(std::size_t source, bool was_rejecting) const {
  const std::string& rejection = ledger_.rejection(source);
  if (!rejection.empty() && !was_rejecting) std::cerr << SourceName(source) << ": " << rejection << '\n';
}

void MembershipSource::LogRetention() {
  const std::size_t retained = ledger_.retained_count();
  if (retained > 0 && !retention_logged_) {
    std::cerr << "etcd: " << retained
              << " converters departed at once; they stay in the list (HELD) until they register again, "
              << "discovery confirms their departure, or an operator releases them "
              << "(badgerbridge-ctl members release)\n";
  }
  retention_logged_ = retained > 0;
}

void MembershipSource::ArmTimer() {
  const std::optional<Time> wake_at = ledger_.NextWake(EtcdSource::Now());
  if (!wake_at) return timer_.Disarm();
  timer_.ArmAfter(*wake_at - EtcdSource::Now() + kTimerMargin, [this] {
    publisher_.Publish(ledger_.Tick(EtcdSource::Now()));
    ArmTimer();
  });
}

std::size_t MembershipSource::ReleaseRetained() {
  const std::size_t retained = ledger_.retained_count();
  const std::vector<Member> changes = ledger_.ReleaseRetained(EtcdSource::Now());
  if (retained > 0)
    std::cerr << "etcd: an operator released " << retained << " retained converters; they leave the list\n";
  retention_logged_ = false;
  publisher_.Publish(changes);
  return retained;
}

boost::json::value MembershipSource::DescribeStatus() const {
  return EncodeMembership(EtcdSource::Now(), ledger_, {publisher_.pending(), publisher_.longest_turn()},
                          etcd_source_->follower());
}

}  // namespace badgerbridge::proxy_main
