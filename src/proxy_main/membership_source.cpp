// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/membership_source.h"

#include <boost/json.hpp>
#include <iostream>
#include <utility>

#include "http_api/address.h"
#include "membership/etcd_settings.h"

namespace badgerbridge::proxy_main {
namespace {

namespace json = boost::json;
using namespace proxy;
using membership::EtcdSource;
using membership::Member;
using membership::Time;

constexpr std::chrono::microseconds kFlushTime{1000};  // a handler passes slices on until it is over
constexpr int kRestFor = 9;        // of the time that a flush took: a tenth of the loop at most
constexpr int kUrgentRestFor = 1;  // while drains or departures wait, or the first list: half of the loop
constexpr std::chrono::milliseconds kMostRest{50};  // what a drain may wait for it

membership::LedgerSettings MakeLedgerSettings(const operator_config::EtcdSettings& etcd,
                                              std::size_t max_members) {
  membership::LedgerSettings settings;
  settings.sources = {{"etcd", etcd.is_authoritative, Time(5000), Time(60000)},
                      {"discovery", !etcd.is_authoritative, Time(10000), Time(60000)}};
  settings.limits.max_members = max_members;
  settings.mass_departure.max_share = etcd.max_departures_percent / 100.0;
  return settings;
}

std::string NameAt(const std::vector<std::string>& names, int index) {
  return index >= 0 && static_cast<std::size_t>(index) < names.size() ? names[static_cast<std::size_t>(index)]
                                                                      : std::string();
}

}  // namespace

MembershipSource::MembershipSource(boost::asio::io_context& io, const Config& config,
                                   const operator_config::EtcdSettings& settings, OnChange on_change,
                                   OnComplete on_complete, std::size_t max_members)
    : zones_(config.zones),
      kinds_(config.kinds),
      on_change_(std::move(on_change)),
      on_complete_(std::move(on_complete)),
      names_(config),
      ledger_(MakeLedgerSettings(settings, max_members)),
      timer_(io),
      flush_(io) {
  source_.emplace(
      io, membership::MakeEtcdSourceSettings(settings).value(), config.seed,
      [this](Time, const membership::Report& report) { Take(report); },
      [this](Time now) {
        ledger_.RecordContact(now, etcd_);
        Arm();
      },
      [this](const std::string& key, const std::string& reason) {
        if (!reason.empty() && !ledger_.problems(etcd_).count(key))
          std::cerr << "etcd: " << key.substr(0, 200) << ": " << reason << "; the last good entry stays\n";
        ledger_.RecordProblem(etcd_, key, reason);
      });
}

void MembershipSource::Known(const EndpointList& list) {
  std::vector<ListedEndpoint> listed;
  for (const Endpoint& endpoint : list.endpoints) {
    if (endpoint.entry.state == BackendState::kGone) continue;
    known_.push_back(endpoint.name);
    listed.push_back({endpoint.name, "", "", endpoint.address});
  }
  names_.Take(true, 0, listed);
}

void MembershipSource::Discovered(const EndpointList& list) {
  membership::Report report;
  report.source = discovery_;
  report.version = ++told_;  // in the order in which they came; its own index may begin again
  report.complete = list.snapshot;
  report.linearizable = list.snapshot;
  for (const Endpoint& endpoint : list.endpoints) {
    Member member;
    member.name = endpoint.name;
    member.address = http_api::ToText(endpoint.address);
    member.zone = NameAt(zones_, endpoint.entry.zone);
    member.kind = NameAt(kinds_, endpoint.entry.kind);
    member.group = endpoint.entry.cell;
    member.weight = endpoint.entry.weight;
    member.start_time_ms = endpoint.entry.up_since.time_since_epoch().count();
    member.state = endpoint.entry.state == BackendState::kReady      ? membership::MemberState::kReady
                   : endpoint.entry.state == BackendState::kDraining ? membership::MemberState::kDraining
                                                                     : membership::MemberState::kGone;
    report.members.push_back(std::move(member));
  }
  Take(std::move(report));
}

void MembershipSource::Take(membership::Report report) {
  const Time now = EtcdSource::Now();
  const bool first =
      !authority_spoke_ && (report.source == etcd_) == (ledger_.is_authority(etcd_)) && report.EndsList();
  const bool was_refused = !ledger_.rejection(report.source).empty();
  auto applied = ledger_.ApplyReport(now, report);
  if (!applied) return;
  std::vector<Member>& changes = *applied;
  LogRefusal(report.source, was_refused);
  if (first) {
    // What the configuration listed and the authority does not know has left.
    authority_spoke_ = true;
    for (const std::string& name : known_) {
      if (ledger_.current_view().count(name)) continue;
      Member gone;
      gone.name = name;
      gone.state = membership::MemberState::kGone;
      changes.push_back(std::move(gone));
    }
    known_.clear();
  } else if (!authority_spoke_) {
    // Until it speaks, drains and departures of what the configuration listed count all the same.
    for (const Member& member : report.members) {
      if (member.state != membership::MemberState::kReady) changes.push_back(member);
    }
  }
  Publish(changes);
  Arm();
  if (ledger_.retained_count() > 0 && !held_said_)
    std::cerr << "etcd: " << ledger_.retained_count()
              << " converters left at once; they are HELD in the list until they come "
              << "back, discovery confirms it, or a person lets them go (badgerbridge-ctl members release)\n";
  held_said_ = ledger_.retained_count() > 0;
}

// At once, unless slices have just had their share of the loop, or this handler has read a page of a list.
void MembershipSource::Publish(const std::vector<Member>& changes) {
  for (const Member& member : changes) pending_.Add(member);
  const auto now = Clock::now();
  if (now >= next_publish_ && changes.size() <= kSliceMembers) return Flush();
  if (!flush_.armed()) ArmFlush();
}

void MembershipSource::ArmFlush() {
  flush_.ArmAt(next_publish_, [this] { Flush(); });
}

// What waits is passed on in slices, so that no handler holds the loop for long, drains and departures first.
void MembershipSource::Flush() {
  flush_.Disarm();
  const auto began = Clock::now();
  do {
    FlushSlice();
  } while (!pending_.empty() && Clock::now() - began < kFlushTime);
  const auto end = Clock::now();
  longest_flush_ = std::max(longest_flush_, end - began);
  const bool first_list = static_cast<bool>(on_complete_);
  const int rest_for = pending_.HasUrgent() || first_list ? kUrgentRestFor : kRestFor;
  next_publish_ = end + std::min<Clock::duration>((end - began) * rest_for, kMostRest);
  if (!pending_.empty()) return ArmFlush();
  if (authority_spoke_ && on_complete_) std::exchange(on_complete_, nullptr)();
}

void MembershipSource::FlushSlice() {
  std::vector<ListedEndpoint> listed;
  for (const Member& member : pending_.TakeSlice(kSliceMembers)) {
    ListedEndpoint one{member.name, member.zone, member.kind, ParseAddress(member.address)};
    one.state = member.state == membership::MemberState::kReady      ? BackendState::kReady
                : member.state == membership::MemberState::kDraining ? BackendState::kDraining
                                                                     : BackendState::kGone;
    if (!one.address && one.state != BackendState::kGone) {
      std::cerr << "etcd: " << member.name << " has no address that can be used: " << member.address << '\n';
      continue;
    }
    one.group = member.group;
    one.weight = member.weight;
    one.since_ms = member.start_time_ms;
    listed.push_back(std::move(one));
  }
  // The version counts once all up to it is passed on.
  const std::uint64_t version =
      pending_.empty() ? ledger_.version(ledger_.is_authority(etcd_) ? etcd_ : discovery_) : names_.index();
  if (listed.empty()) return names_.NoChangeUpTo(version);
  on_change_(names_.Take(false, version, listed));
}

void MembershipSource::LogRefusal(std::size_t source, bool was_refused) const {
  const std::string& refusal = ledger_.rejection(source);
  if (!refusal.empty() && !was_refused) std::cerr << NameOfSource(source) << ": " << refusal << '\n';
}

// What time alone changes.
void MembershipSource::Arm() {
  const auto wake = ledger_.NextWake(EtcdSource::Now());
  if (!wake) return timer_.Disarm();
  timer_.ArmAfter(*wake - EtcdSource::Now() + Time(1), [this] {
    Publish(ledger_.Tick(EtcdSource::Now()));
    Arm();
  });
}

std::size_t MembershipSource::Release() {
  const std::size_t held = ledger_.retained_count();
  const std::vector<Member> changes = ledger_.ReleaseRetained(EtcdSource::Now());
  if (held > 0) std::cerr << "etcd: " << held << " converters that were held are let go, as a person said\n";
  held_said_ = false;
  Publish(changes);
  return held;
}

json::value MembershipSource::Describe() const {
  const Time now = EtcdSource::Now();
  json::array members, sources;
  for (const auto& [name, entry] : ledger_.current_view()) {
    members.push_back(json::object{{"name", name},
                                   {"state", membership::Name(entry.member->state)},
                                   {"why", ledger_.DescribeDecision(entry)},
                                   {"revision", entry.version},
                                   {"age_ms", (now - entry.changed_at).count()},
                                   {"held", entry.retained},
                                   {"address", entry.member->address},
                                   {"service", entry.member->service}});
  }
  for (const std::size_t i : {etcd_, discovery_}) {
    json::object problems;
    for (const auto& [key, reason] : ledger_.problems(i)) problems[key] = reason;
    const auto staleness = ledger_.StalenessAt(now, i);
    const bool heard = staleness != membership::Staleness::kNeverReported;
    sources.push_back(
        json::object{{"name", NameOfSource(i)},
                     {"authority", ledger_.is_authority(i)},
                     {"freshness", membership::Name(staleness)},
                     {"age_ms", heard ? json::value((now - ledger_.last_contact(i)).count()) : json::value()},
                     {"revision", ledger_.version(i)},
                     {"refused", ledger_.rejection(i)},
                     {"problems", std::move(problems)}});
  }
  return json::object{{"members", std::move(members)},
                      {"sources", std::move(sources)},
                      {"held", ledger_.retained_count()},
                      {"pending", pending_.size()},
                      {"longest_flush_ms", std::chrono::duration<double, std::milli>(longest_flush_).count()},
                      {"etcd", json::object{{"state", source_->follower().state()},
                                            {"revision", source_->follower().revision()},
                                            {"lists", source_->follower().snapshots()},
                                            {"resumes", source_->follower().resumes()},
                                            {"last_trouble", source_->follower().last_error()}}}};
}

}  // namespace badgerbridge::proxy_main
