// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The ledger of members: random reports of several sources, whole lists in pages, drains and departures,
/// sources that fall silent, and what is believed of the members then.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fingerprint/fingerprint.h"
#include "fingerprint/random.h"
#include "membership/ledger.h"
#include "membership/pending_changes.h"

namespace badgerbridge::fingerprint {
namespace {

using membership::Ledger;
using membership::Member;
using membership::Time;

constexpr std::uint64_t kSeeds = 12;
constexpr int kSteps = 4000;
constexpr int kNames = 24;
constexpr int kStates = 3;
constexpr int kFreshnesses = 4;

/// How often the runs met what they must meet, summed over the seeds.
struct Coverage {
  std::uint64_t taken = 0, refused = 0, held = 0, too_many = 0, problems = 0, by_others = 0, urgent = 0;
  std::array<std::uint64_t, kStates> changes{};
  std::array<std::uint64_t, kFreshnesses> freshness{};
};

void AddMember(const Member& member, Digest* digest) {
  digest->Add(member.name, member.address, member.zone, member.kind, member.service);
  digest->Add(member.group, member.state, member.weight, member.since_ms);
}

/// A ledger and the sources that report to it.
class SimulatedSources {
 public:
  SimulatedSources(std::uint64_t seed, Coverage* coverage)
      : random_(seed),
        settings_(DrawSettings()),
        ledger_(settings_),
        sources_(settings_.sources.size()),
        fingerprint_("ledger", seed),
        coverage_(coverage) {}

  void Execute() {
    for (int step = 1; step <= kSteps; ++step) {
      now_ += Time(random_.Chance(0.02) ? random_.Integer(1000, 70000) : random_.Integer(0, 300));
      TakeStep();
      if (random_.Chance(0.8)) AddChanges();  // else they are added to by the next step
      if (step % 25 == 0) AddState();
      fingerprint_.EndStep();
      if (step % (kSteps / static_cast<int>(Fingerprint::kParts)) == 0) fingerprint_.EndPart();
    }
    fingerprint_.Check();
  }

 private:
  /// What a source has of the members, by name.
  struct Source {
    std::map<std::string, Member> members;
    std::uint64_t epoch = 1, version = 1;
    std::vector<membership::Report> pages;  ///< Of a whole list, yet to come.
  };

  membership::Settings DrawSettings() {
    membership::Settings settings;
    const int sources = random_.Integer(1, 4);
    for (int number = 0; number < sources; ++number) {
      membership::SourceSettings source;
      source.name = "s" + std::to_string(number);
      source.authority = number == 0;
      source.current_for = Time(random_.Integer(1000, 8000));
      source.stale_after = source.current_for + Time(random_.Integer(1000, 40000));
      settings.sources.push_back(source);
    }
    if (random_.Chance(0.5)) std::reverse(settings.sources.begin(), settings.sources.end());
    settings.most_departures = random_.Chance(0.2) ? 1 : random_.Between(0.2, 0.7);
    settings.departures_window = Time(random_.Integer(500, 5000));
    settings.least_departures = static_cast<std::size_t>(random_.Integer(1, 5));
    if (random_.Chance(0.3)) settings.max_members = static_cast<std::size_t>(random_.Integer(6, 16));
    if (random_.Chance(0.3)) settings.max_tombstones = static_cast<std::size_t>(random_.Integer(1, 5));
    with_services_ = random_.Chance(0.4);
    return settings;
  }

  Member DrawMember() {
    Member member;
    member.name = "m" + std::to_string(random_.Integer(0, kNames - 1));
    member.address = "127.0.0.1:" + std::to_string(random_.Integer(1, 3));
    member.zone = "z" + std::to_string(random_.Integer(0, 1));
    member.kind = "k" + std::to_string(random_.Integer(0, 1));
    if (with_services_) member.service = "service" + std::to_string(random_.Integer(0, 2));
    member.group = random_.Integer(0, 1);
    member.state = random_.Chance(0.7) ? membership::State::kReady : membership::State::kDraining;
    member.weight = random_.Integer(1, 3);
    member.since_ms = random_.Integer(0, 4) * 100;
    return member;
  }

  // ---- what happens ----

  void TakeStep() {
    const std::size_t number = random_.Index(sources_.size());
    const double draw = random_.Unit();
    if (draw < 0.50) {
      ReportChanges(number);
    } else if (draw < 0.65) {
      ReportPage(number);
    } else if (draw < 0.80) {
      ledger_.Heard(now_, number);
    } else if (draw < 0.90) {
      Tick();
    } else if (draw < 0.92) {
      ledger_.Release(now_, &changes_);
    } else if (draw < 0.96) {
      const std::string reason = random_.Chance(0.5) ? "" : "not JSON";
      ledger_.Problem(number, "key" + std::to_string(random_.Integer(0, 80)), reason);
    } else if (draw < 0.97) {
      ++sources_[number].epoch;  // another history
    } else {
      TakeReport(number, StaleReport(number));
    }
  }

  void Tick() {
    const auto wake = ledger_.NextWake(now_);
    fingerprint_.digest().Add(wake.has_value(), wake.value_or(Time(0)));
    if (wake && random_.Chance(0.5)) now_ = std::max(now_, *wake);
    ledger_.Tick(now_, &changes_);
  }

  membership::Report NewReport(std::size_t number) {
    membership::Report report;
    report.source = number;
    report.epoch = sources_[number].epoch;
    report.version = sources_[number].version;
    report.certain = random_.Chance(0.7);
    return report;
  }

  void ReportChanges(std::size_t number) {
    Source& source = sources_[number];
    ++source.version;
    membership::Report report = NewReport(number);
    std::map<std::string, Member> changed;
    const bool mass = random_.Chance(0.05);
    for (int count = mass ? kNames : random_.Integer(1, 3); count > 0; --count) {
      Member member = DrawMember();
      const auto known = source.members.find(member.name);
      if (known != source.members.end() && random_.Chance(0.6)) {  // the same process, in another state
        const membership::State state = member.state;
        member = known->second;
        member.state = state;
      }
      if (mass || random_.Chance(0.25)) member.state = membership::State::kGone;
      source.members[member.name] = member;
      if (member.state == membership::State::kGone) source.members.erase(member.name);
      changed[member.name] = member;
    }
    if (with_services_) report.service = changed.begin()->second.service;
    for (const auto& [name, member] : changed) {
      if (member.service == report.service) report.members.push_back(member);
    }
    TakeReport(number, report);
  }

  /// The next page of a whole list, or the first of another one.
  void ReportPage(std::size_t number) {
    Source& source = sources_[number];
    if (source.pages.empty() || random_.Chance(0.1)) source.pages = DrawPages(number);
    TakeReport(number, source.pages.front());
    source.pages.erase(source.pages.begin());
  }

  std::vector<membership::Report> DrawPages(std::size_t number) {
    Source& source = sources_[number];
    ++source.version;
    std::map<std::pair<std::string, std::string>, Member> sorted;  // by service and name
    for (const auto& [name, member] : source.members) {
      if (!random_.Chance(0.05)) sorted[{member.service, name}] = member;
    }
    std::vector<membership::Report> pages;
    const std::size_t page_size = static_cast<std::size_t>(random_.Integer(2, 12));
    membership::Report page = NewReport(number);
    page.whole = true;
    for (const auto& [key, member] : sorted) {
      const bool other_service = member.service != page.service;
      if (!page.members.empty() && (other_service || page.members.size() >= page_size)) {
        page.ends_service = other_service;
        pages.push_back(page);
        page.members.clear();
        page.unreadable.clear();
        page.ends_service = false;
      }
      page.service = member.service;
      if (random_.Chance(0.04)) page.unreadable.push_back(member.name);
      if (page.unreadable.empty() || page.unreadable.back() != member.name) page.members.push_back(member);
    }
    page.ends_service = true;
    pages.push_back(page);
    for (membership::Report& each : pages) each.page = membership::Page::kMiddle;
    pages.front().page = membership::Page::kFirst;
    pages.back().page = pages.size() == 1 ? membership::Page::kOnly : membership::Page::kLast;
    return pages;
  }

  /// Of an older version, or of a history that is not known.
  membership::Report StaleReport(std::size_t number) {
    membership::Report report = NewReport(number);
    report.members = {DrawMember()};
    if (random_.Chance(0.5)) {
      report.version -= std::min<std::uint64_t>(report.version, 3);
    } else {
      report.epoch += 10;
    }
    report.page = static_cast<membership::Page>(random_.Integer(0, 3));
    report.whole = random_.Chance(0.5);
    return report;
  }

  void TakeReport(std::size_t number, const membership::Report& report) {
    const bool taken = ledger_.Take(now_, report, &changes_);
    fingerprint_.digest().Add(number, taken);
    ++(taken ? coverage_->taken : coverage_->refused);
  }

  // ---- what the ledger says ----

  void AddChanges() {
    fingerprint_.digest().Add(changes_.size());
    for (const Member& member : changes_) {
      AddMember(member, &fingerprint_.digest());
      ++coverage_->changes[static_cast<std::size_t>(member.state)];
      pending_.Add(member);
    }
    changes_.clear();
    coverage_->urgent += pending_.HasUrgent();
    if (!random_.Chance(0.3)) return;
    for (const Member& member : pending_.TakeSlice(static_cast<std::size_t>(random_.Integer(1, 10))))
      fingerprint_.digest().Add(member.name, member.state);
    fingerprint_.digest().Add(pending_.size(), pending_.HasUrgent());
  }

  void AddState() {
    Digest& digest = fingerprint_.digest();
    digest.Add(ledger_.believed().size(), ledger_.held());
    coverage_->held += ledger_.held();
    for (const auto& [name, believed] : ledger_.believed()) {
      AddMember(*believed.member, &digest);
      digest.Add(believed.source, believed.version, believed.changed, believed.held);
      coverage_->by_others += !ledger_.is_authority(believed.source);
    }
    for (std::size_t number = 0; number < sources_.size(); ++number) {
      const membership::Freshness freshness = ledger_.FreshnessOf(now_, number);
      ++coverage_->freshness[static_cast<std::size_t>(freshness)];
      coverage_->too_many += !ledger_.refusal(number).empty();
      coverage_->problems += ledger_.problems(number).size();
      digest.Add(freshness, ledger_.epoch(number), ledger_.version(number), ledger_.heard(number));
      digest.Add(!ledger_.refusal(number).empty(), ledger_.problems(number).size());
      for (int name = 0; name < kNames; ++name) {
        const Member* reported = ledger_.Reported(number, "m" + std::to_string(name));
        digest.Add(reported != nullptr);
        if (reported) AddMember(*reported, &digest);
      }
    }
  }

  Random random_;
  bool with_services_ = false;
  membership::Settings settings_;
  Ledger ledger_;
  std::vector<Source> sources_;
  membership::PendingChanges pending_;
  std::vector<Member> changes_;
  Time now_{1000000};
  Fingerprint fingerprint_;
  Coverage* coverage_;
};

TEST(LedgerFingerprint, RandomReports_SameChangesAsRecorded) {
  Coverage coverage;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) SimulatedSources(seed, &coverage).Execute();
  EXPECT_GT(coverage.taken, 1000U);
  EXPECT_GT(coverage.refused, 100U);
  EXPECT_GT(coverage.held, 10U);
  EXPECT_GT(coverage.too_many, 10U);
  EXPECT_GT(coverage.problems, 100U);
  EXPECT_GT(coverage.by_others, 100U);
  EXPECT_GT(coverage.urgent, 100U);
  for (int state = 0; state < kStates; ++state)
    EXPECT_GT(coverage.changes[static_cast<std::size_t>(state)], 100U) << state;
  for (int freshness = 0; freshness < kFreshnesses; ++freshness)
    EXPECT_GT(coverage.freshness[static_cast<std::size_t>(freshness)], 10U) << freshness;
}

}  // namespace
}  // namespace badgerbridge::fingerprint
