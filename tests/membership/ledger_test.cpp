// SPDX-License-Identifier: Apache-2.0
#include "membership/ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace badgerbridge::membership {
namespace {

constexpr std::size_t kEtcd = 0, kDiscovery = 1;

Settings TwoSources() {
  Settings settings;
  settings.sources = {{"etcd", true, Time(5000), Time(60000)}, {"discovery", false, Time(5000), Time(60000)}};
  return settings;
}

Member Make(const std::string& name, State state = State::kReady, double since = 0) {
  Member member;
  member.name = name;
  member.address = "127.0.0.1:1";
  member.state = state;
  member.since_ms = since;
  return member;
}

class LedgerTest : public ::testing::Test {
 protected:
  bool Whole(std::size_t source, std::uint64_t version, std::vector<Member> members, std::uint64_t epoch = 1,
             bool certain = false) {
    changes.clear();
    return ledger.Take(now, {source, epoch, version, true, certain, std::move(members)}, &changes);
  }
  bool Delta(std::size_t source, std::uint64_t version, std::vector<Member> members,
             std::uint64_t epoch = 1) {
    changes.clear();
    return ledger.Take(now, {source, epoch, version, false, false, std::move(members)}, &changes);
  }
  std::string StateOf(const std::string& name) const {
    const auto found = ledger.believed().find(name);
    return std::string(Name(found == ledger.believed().end() ? State::kGone : found->second.member->state));
  }
  std::string Why(const std::string& name) const { return ledger.Why(ledger.believed().at(name)); }

  Ledger ledger{TwoSources()};
  Time now{1000};
  std::vector<Member> changes;
};

TEST_F(LedgerTest, AJoinNeedsTheAuthority) {
  Whole(kDiscovery, 1, {Make("a"), Make("b")});
  EXPECT_TRUE(changes.empty());
  Whole(kEtcd, 10, {Make("a")});
  EXPECT_EQ(changes.size(), 1u);
  EXPECT_EQ(StateOf("a"), "ready");
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_EQ(Why("a"), "etcd: ready");
}

TEST_F(LedgerTest, ADrainOrADepartureCountsAtOnceWhoeverTellsIt) {
  Whole(kEtcd, 10, {Make("a"), Make("b"), Make("c")});
  Whole(kDiscovery, 1, {Make("a"), Make("b"), Make("c")});
  Delta(kDiscovery, 2, {Make("a", State::kDraining)});
  EXPECT_EQ(StateOf("a"), "draining");
  EXPECT_EQ(Why("a"), "discovery: draining");
  Delta(kDiscovery, 3, {Make("b", State::kGone)});
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].state, State::kGone);
  EXPECT_EQ(changes[0].address, "127.0.0.1:1") << "it still tells which one";
  Delta(kEtcd, 11, {Make("c", State::kDraining)});
  EXPECT_EQ(StateOf("c"), "draining");
  // The authority's silence about it changes nothing; its ready does not outweigh the departure.
  Whole(kEtcd, 12, {Make("a"), Make("b"), Make("c", State::kDraining)});
  EXPECT_EQ(StateOf("b"), "gone");
  // It comes back once the one that told its departure lists it again.
  Delta(kDiscovery, 4, {Make("b")});
  EXPECT_EQ(StateOf("b"), "ready");
}

TEST_F(LedgerTest, ANewStartTimeIsANewProcess) {
  Whole(kEtcd, 10, {Make("a", State::kReady, 100)});
  Whole(kDiscovery, 1, {Make("a", State::kDraining, 100)});
  EXPECT_EQ(StateOf("a"), "draining");
  Delta(kEtcd, 11, {Make("a", State::kReady, 200)});
  EXPECT_EQ(StateOf("a"), "ready") << "what was drained was the one before";
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].since_ms, 200);
  Delta(kDiscovery, 2, {Make("a", State::kDraining, 200)});
  EXPECT_EQ(StateOf("a"), "draining");
}

TEST_F(LedgerTest, OneThatLagsBringsNothingBack) {
  Whole(kEtcd, 10, {Make("a"), Make("b")});
  Delta(kEtcd, 11, {Make("a", State::kGone)});
  EXPECT_FALSE(Whole(kEtcd, 10, {Make("a"), Make("b")})) << "a follower behind what was seen";
  EXPECT_FALSE(Delta(kEtcd, 11, {Make("a")})) << "a repeat";
  EXPECT_FALSE(Delta(kEtcd, 99, {Make("a")}, 2)) << "changes to another history";
  EXPECT_EQ(StateOf("a"), "gone");
  EXPECT_TRUE(changes.empty());
}

TEST_F(LedgerTest, ARestoreFromABackupIsTakenAsANewBeginning) {
  Whole(kEtcd, 10, {Make("a"), Make("b"), Make("c"), Make("d")});
  EXPECT_TRUE(Whole(kEtcd, 4, {Make("a"), Make("b"), Make("c"), Make("e")}, 2)) << "another cluster id";
  EXPECT_EQ(StateOf("e"), "ready");
  EXPECT_EQ(StateOf("d"), "gone");
  EXPECT_TRUE(Whole(kEtcd, 2, {Make("a"), Make("b"), Make("c"), Make("d")}, 2, true)) << "certain, and lower";
  EXPECT_EQ(StateOf("e"), "gone");
  EXPECT_EQ(ledger.version(kEtcd), 2u);
}

TEST_F(LedgerTest, WhatWasLostWhileTheWatchWasDownIsMadeUpForByTheWholeList) {
  Whole(kEtcd, 10, {Make("drained"), Make("deleted"), Make("replaced", State::kReady, 100), Make("stays")});
  now += Time(3000);
  Whole(kEtcd, 90, {Make("drained", State::kDraining), Make("replaced", State::kReady, 500), Make("stays")});
  EXPECT_EQ(StateOf("drained"), "draining");
  EXPECT_EQ(StateOf("deleted"), "gone");
  EXPECT_EQ(ledger.believed().at("replaced").member->since_ms, 500);
  EXPECT_EQ(changes.size(), 3u);
}

TEST_F(LedgerTest, ASourceThatFallsSilentAgesByStepsAndEmptiesNothing) {
  Whole(kEtcd, 10, {Make("a"), Make("b")});
  Whole(kDiscovery, 1, {Make("a"), Make("b", State::kDraining)});
  EXPECT_EQ(ledger.FreshnessOf(now, kEtcd), Freshness::kCurrent);
  now += Time(5000);
  EXPECT_EQ(ledger.FreshnessOf(now, kEtcd), Freshness::kAging);
  now += Time(55000);
  EXPECT_EQ(ledger.FreshnessOf(now, kEtcd), Freshness::kStale);
  ledger.Tick(now, &changes);
  EXPECT_EQ(StateOf("a"), "ready");
  EXPECT_EQ(StateOf("b"), "draining") << "nobody who is current says otherwise";
  changes.clear();
  ledger.Heard(now, kEtcd);
  ledger.Tick(now, &changes);
  EXPECT_EQ(StateOf("b"), "ready") << "the authority is current, and who said it is stale";
  ASSERT_EQ(changes.size(), 1u);
  ledger.Heard(now, kDiscovery);
  changes.clear();
  ledger.Tick(now, &changes);
  EXPECT_EQ(StateOf("b"), "draining");
  EXPECT_EQ(ledger.NextWake(now), now + Time(5000));
}

TEST_F(LedgerTest, TooManyDeparturesAtOnceAreHeldAndDrainsNever) {
  std::vector<Member> ten;
  for (int i = 0; i < 10; ++i) ten.push_back(Make("m" + std::to_string(i)));
  Whole(kEtcd, 10, ten);
  Whole(kDiscovery, 1, ten);
  Delta(kEtcd, 11, {Make("m0", State::kGone), Make("m1", State::kGone)});
  EXPECT_EQ(changes.size(), 2u) << "few are let go";
  now += Time(100);
  std::vector<Member> leaving;
  for (int i = 2; i < 9; ++i) leaving.push_back(Make("m" + std::to_string(i), State::kGone));
  Delta(kEtcd, 12, leaving);
  EXPECT_TRUE(changes.empty());
  EXPECT_EQ(ledger.held(), 7u);
  EXPECT_EQ(StateOf("m5"), "ready");
  EXPECT_TRUE(ledger.believed().at("m5").held);
  EXPECT_NE(Why("m5").find("held"), std::string::npos);
  Delta(kDiscovery, 2, {Make("m5", State::kGone), Make("m6", State::kDraining)});
  EXPECT_EQ(StateOf("m5"), "gone") << "another source confirms it";
  EXPECT_EQ(StateOf("m6"), "draining");
  Delta(kEtcd, 13, {Make("m2")});
  EXPECT_FALSE(ledger.believed().at("m2").held) << "it came back";
  Delta(kEtcd, 14, {Make("m9", State::kDraining)});
  EXPECT_EQ(StateOf("m9"), "draining");
  changes.clear();
  ledger.Release(now, &changes);
  EXPECT_EQ(StateOf("m3"), "gone");
  EXPECT_EQ(ledger.held(), 0u);
  EXPECT_EQ(StateOf("m2"), "ready");
}

TEST_F(LedgerTest, ProblemsAreKeptInBounds) {
  for (int i = 0; i < 200; ++i) ledger.Problem(kEtcd, "key" + std::to_string(i), "no JSON");
  EXPECT_EQ(ledger.problems(kEtcd).size(), kMaxProblems);
  ledger.Problem(kEtcd, "key3", "");
  EXPECT_EQ(ledger.problems(kEtcd).count("key3"), 0u);
}

std::vector<Member> Numbered(std::size_t count) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) members.push_back(Make("m" + std::to_string(i)));
  return members;
}

TEST_F(LedgerTest, ThePlannedSizeFits) {
  EXPECT_TRUE(Whole(kEtcd, 1, Numbered(110000)));
  EXPECT_EQ(ledger.believed().size(), 110000u);
  EXPECT_EQ(ledger.refusal(kEtcd), "");
  EXPECT_GT(kMaxMembers, 2 * 110000u) << "while a list takes the place of another both are held";
}

class LedgerBoundsTest : public LedgerTest {
 protected:
  LedgerBoundsTest() {
    Settings settings = TwoSources();
    settings.max_members = 5;
    settings.max_tombstones = 8;
    settings.most_departures = 1;
    ledger = Ledger(settings);
  }
};

TEST_F(LedgerBoundsTest, OfAListBeyondTheBoundTheRestIsRefusedAndSaid) {
  Whole(kEtcd, 1, {Make("a")});
  std::vector<Member> many = Numbered(7);
  many.push_back(Make("a", State::kDraining));
  EXPECT_TRUE(Whole(kEtcd, 2, many));
  EXPECT_EQ(StateOf("a"), "draining") << "a drain counts all the same";
  EXPECT_EQ(ledger.believed().size(), 5u);
  EXPECT_EQ(ledger.refusal(kEtcd),
            "3 members are refused: at most 5 are taken; drains and departures still count");
  EXPECT_TRUE(Whole(kEtcd, 4, {Make("a"), Make("b")}));
  EXPECT_EQ(ledger.refusal(kEtcd), "") << "what the source has is known again";
}

TEST_F(LedgerBoundsTest, JoinsBeyondTheBoundAreRefusedAndSaidAndDrainsAreNot) {
  EXPECT_TRUE(Whole(kEtcd, 1, Numbered(5)));
  EXPECT_EQ(ledger.refusal(kEtcd), "");
  EXPECT_TRUE(Delta(kEtcd, 2, {Make("extra"), Make("m3", State::kDraining), Make("m4", State::kGone)}));
  EXPECT_EQ(StateOf("extra"), "gone");
  EXPECT_EQ(StateOf("m3"), "draining");
  EXPECT_EQ(StateOf("m4"), "gone");
  EXPECT_EQ(ledger.refusal(kEtcd),
            "1 members are refused: at most 5 are taken; drains and departures still count");
  EXPECT_TRUE(Delta(kEtcd, 3, {Make("extra")})) << "there is room again";
  EXPECT_EQ(StateOf("extra"), "ready");
}

TEST_F(LedgerBoundsTest, TombstonesAreBoundedInNumberAndChangesStillTaken) {
  // Every member is replaced again and again within the time that a departure is remembered.
  for (std::uint64_t round = 1; round <= 6; ++round) {
    std::vector<Member> members;
    for (int i = 0; i < 2; ++i) members.push_back(Make(std::to_string(round) + "-" + std::to_string(i)));
    EXPECT_TRUE(Whole(kEtcd, round, members));
  }
  EXPECT_EQ(ledger.Reported(kEtcd, "1-0"), nullptr) << "the oldest are forgotten";
  ASSERT_NE(ledger.Reported(kEtcd, "2-0"), nullptr);
  EXPECT_EQ(ledger.Reported(kEtcd, "2-0")->state, State::kGone);
  EXPECT_TRUE(Delta(kEtcd, 7, {Make("6-0", State::kDraining)}));
  EXPECT_EQ(StateOf("6-0"), "draining");
}

TEST_F(LedgerBoundsTest, ATombstoneThatKeepsAListedMemberOutOutlivesTheBound) {
  Whole(kEtcd, 1, {Make("a")});
  Whole(kDiscovery, 1, {Make("a")});
  Delta(kDiscovery, 2, {Make("a", State::kGone)});
  EXPECT_EQ(StateOf("a"), "gone");
  for (std::uint64_t version = 3; version < 23; ++version) {
    const std::string name = "d" + std::to_string(version);
    Delta(kDiscovery, 2 * version, {Make(name)});
    Delta(kDiscovery, 2 * version + 1, {Make(name, State::kGone)});
  }
  EXPECT_EQ(ledger.Reported(kDiscovery, "d3"), nullptr);
  EXPECT_EQ(StateOf("a"), "gone");
}

class LedgerPagesTest : public LedgerTest {
 protected:
  bool Page_(Page page, std::vector<Member> members, std::uint64_t version = 20, std::uint64_t epoch = 1,
             std::vector<std::string> unreadable = {}) {
    changes.clear();
    Report report{kEtcd, epoch, version, true, true, std::move(members), std::move(unreadable)};
    report.page = page;
    return ledger.Take(now, report, &changes);
  }
};

TEST_F(LedgerPagesTest, WhatNoPageNamesIsGoneAtTheEndAndNotBefore) {
  Whole(kEtcd, 10, {Make("a"), Make("b"), Make("c"), Make("d"), Make("e"), Make("f"), Make("g")});
  EXPECT_TRUE(Page_(Page::kFirst, {Make("a"), Make("c", State::kDraining)}));
  EXPECT_EQ(StateOf("c"), "draining") << "at once";
  EXPECT_EQ(StateOf("b"), "ready") << "the list is not whole yet";
  EXPECT_EQ(ledger.version(kEtcd), 10u);
  EXPECT_TRUE(Page_(Page::kMiddle, {Make("d"), Make("ee")}, 20, 1, {"e"}));
  EXPECT_TRUE(Page_(Page::kLast, {Make("f")}));
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_EQ(StateOf("e"), "ready") << "its value could not be read";
  EXPECT_EQ(StateOf("ee"), "ready");
  EXPECT_EQ(StateOf("g"), "gone");
  EXPECT_EQ(ledger.version(kEtcd), 20u);
}

TEST_F(LedgerPagesTest, MassDepartureIsJudgedOverAllPages) {
  std::vector<Member> ten;
  for (int i = 0; i < 10; ++i) ten.push_back(Make("m" + std::to_string(i)));
  Whole(kEtcd, 10, ten);
  // One leaves within each page: few in any of them, seven in all.
  EXPECT_TRUE(Page_(Page::kFirst, {Make("m2")}));
  EXPECT_TRUE(Page_(Page::kMiddle, {Make("m5")}));
  EXPECT_TRUE(Page_(Page::kLast, {Make("m8")}));
  EXPECT_EQ(ledger.held(), 7u);
  EXPECT_EQ(StateOf("m0"), "ready");
}

TEST_F(LedgerPagesTest, AListThatIsBrokenOffRemovesNothingAndOnlyAWholeOneFollows) {
  Whole(kEtcd, 10, {Make("a"), Make("b"), Make("c")});
  EXPECT_TRUE(Page_(Page::kFirst, {Make("c")}));
  EXPECT_FALSE(Delta(kEtcd, 11, {Make("c", State::kGone)})) << "from before the list";
  EXPECT_FALSE(Page_(Page::kLast, {Make("d")}, 21)) << "of another list";
  EXPECT_FALSE(Page_(Page::kLast, {Make("d")}, 20, 2)) << "of another history";
  EXPECT_EQ(ledger.believed().size(), 3u);
  EXPECT_TRUE(Page_(Page::kFirst, {Make("a")}, 20)) << "from the start again, at the same version";
  EXPECT_TRUE(Page_(Page::kLast, {Make("c")}, 20));
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_FALSE(Page_(Page::kMiddle, {Make("x")}, 20)) << "there is none under way";
  EXPECT_TRUE(Delta(kEtcd, 21, {Make("c", State::kDraining)}));
}

// Two sources that tell of the same world, late, in pieces, after breaks, and by members that lag. Whatever
// they do, nothing that the authority was last heard to have drained or removed is believed ready; and once
// both are quiet, the ledger is what the world is.
class LedgerRandom : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(LedgerRandom, EndsUpEqualToItsSourcesAndNeverBelievesInWhatHasLeft) {
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return random() % n; };
  std::uint64_t takes = 0, refused = 0;
  for (int round = 0; round < 30; ++round) {
    Settings settings = TwoSources();
    settings.most_departures = 1;  // what is held is another test's matter
    Ledger ledger(settings);
    std::map<std::string, Member> world;
    struct Change {
      std::uint64_t version;
      Member member;
    };
    std::vector<Change> history;
    std::uint64_t version = 1;
    std::uint64_t seen[2] = {0, 0};
    Time now{1000};
    std::map<std::string, Member> applied;  // what the changes add up to
    const auto deliver = [&](std::size_t source, const Report& report) {
      std::vector<Member> changes;
      const bool taken = ledger.Take(now, report, &changes);
      ++takes;
      refused += !taken;
      std::set<std::string> names;
      for (const Member& member : changes) {
        EXPECT_TRUE(names.insert(member.name).second) << "twice in one call";
        if (member.state == State::kGone) {
          EXPECT_EQ(applied.erase(member.name), 1u);
        } else {
          applied[member.name] = member;
        }
      }
      if (taken) seen[source] = report.version;
    };
    const auto whole = [&](std::size_t source) {
      Report report{source, 1, version, true, true, {}};
      for (const auto& [name, member] : world) report.members.push_back(member);
      deliver(source, report);
    };
    whole(0);
    whole(1);
    for (int step = 0; step < 1500; ++step) {
      now += Time(below(50));
      const std::uint64_t kind = below(10);
      if (kind < 4) {
        const std::string name = "m" + std::to_string(below(40));
        Member member = Make(name);
        const auto known = world.find(name);
        if (known != world.end()) {
          member = known->second;
          member.state = below(3) == 0 ? State::kGone : below(2) ? State::kDraining : State::kReady;
        }
        if (known == world.end() || below(8) == 0) member.since_ms = static_cast<double>(++version);
        ++version;
        history.push_back({version, member});
        if (member.state == State::kGone) {
          world.erase(name);
        } else {
          world[name] = member;
        }
      } else if (kind < 8) {
        const std::size_t source = below(2);
        Report report{source, 1, seen[source], false, false, {}};
        std::map<std::string, Member> last;
        const std::uint64_t until = seen[source] + 1 + below(20);
        for (const Change& change : history) {
          if (change.version <= seen[source] || change.version > until) continue;
          last[change.member.name] = change.member;
          report.version = change.version;
        }
        for (const auto& [name, member] : last) report.members.push_back(member);
        if (!report.members.empty()) deliver(source, report);
      } else if (kind == 8 && below(4) == 0) {
        whole(below(2));  // after a break
      } else if (kind == 9 && below(4) == 0 && !history.empty()) {
        // From a member of the cluster that lags.
        Report old{0, 1, history[below(history.size())].version, true, false, {}};
        std::map<std::string, Member> then;
        for (const Change& change : history) {
          if (change.version <= old.version) then[change.member.name] = change.member;
        }
        for (const auto& [name, member] : then) {
          if (member.state != State::kGone) old.members.push_back(member);
        }
        if (old.version < ledger.version(0)) deliver(0, old);
      }
      ASSERT_EQ(applied.size(), ledger.believed().size());
      for (const auto& [key, believed] : ledger.believed()) {
        const std::string name(key);
        ASSERT_EQ(applied.at(name), *believed.member);
        if (believed.member->state != State::kReady) continue;
        const Member* told = ledger.Reported(0, name);
        ASSERT_TRUE(told && told->state == State::kReady) << "ready without the authority";
        const Member* other = ledger.Reported(1, name);
        ASSERT_TRUE(!other || other->state == State::kReady || other->since_ms < believed.member->since_ms)
            << "ready against a drain or departure that was told";
      }
    }
    whole(0);
    whole(1);
    ASSERT_EQ(ledger.believed().size(), world.size());
    for (const auto& [name, member] : world) EXPECT_EQ(*ledger.believed().at(name).member, member);
  }
  EXPECT_GT(takes, 10000u);
  EXPECT_GT(refused, 100u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LedgerRandom, ::testing::Values(1, 2, 3, 4));

class LedgerServicesTest : public LedgerTest {
 protected:
  static Member In(const std::string& service, const std::string& name, State state = State::kReady) {
    Member member = Make(name, state);
    member.service = service;
    return member;
  }
  bool List(Page page, const std::string& service, std::vector<Member> members, std::uint64_t version,
            bool ends_service = true) {
    changes.clear();
    Report report{kEtcd, 1, version, true, true, std::move(members)};
    report.page = page;
    report.service = service;
    report.ends_service = ends_service;
    return ledger.Take(now, report, &changes);
  }
  bool Change(const std::string& service, std::uint64_t version, std::vector<Member> members) {
    changes.clear();
    Report report{kEtcd, 1, version, false, false, std::move(members)};
    report.service = service;
    return ledger.Take(now, report, &changes);
  }
};

TEST_F(LedgerServicesTest, EachServicesPagesAreComparedWithItsOwnMembers) {
  EXPECT_TRUE(List(Page::kFirst, "x", {In("x", "m"), In("x", "p")}, 10));
  EXPECT_TRUE(List(Page::kLast, "y", {In("y", "a"), In("y", "n"), In("y", "z")}, 10));
  EXPECT_EQ(ledger.believed().size(), 5u);
  EXPECT_TRUE(List(Page::kFirst, "x", {In("x", "m")}, 20, false));
  EXPECT_TRUE(List(Page::kMiddle, "x", {}, 20));
  EXPECT_TRUE(List(Page::kMiddle, "y", {In("y", "n")}, 20, false));
  EXPECT_EQ(ledger.believed().size(), 5u);
  EXPECT_TRUE(List(Page::kLast, "y", {In("y", "z")}, 20));
  EXPECT_EQ(StateOf("p"), "gone");
  EXPECT_EQ(StateOf("a"), "gone");
  EXPECT_EQ(ledger.believed().size(), 3u);
}

TEST_F(LedgerServicesTest, VersionsCountWithinAService) {
  List(Page::kFirst, "x", {In("x", "a")}, 10);
  List(Page::kLast, "y", {In("y", "b")}, 10);
  EXPECT_TRUE(Change("y", 30, {In("y", "b", State::kDraining)}));
  EXPECT_TRUE(Change("x", 25, {In("x", "a", State::kDraining)})) << "no order holds between them";
  EXPECT_EQ(StateOf("a"), "draining");
  EXPECT_FALSE(Change("x", 25, {In("x", "a")})) << "a repeat";
  EXPECT_FALSE(Change("x", 9, {In("x", "a")})) << "before the list";
  EXPECT_EQ(ledger.version(kEtcd), 30u);
}

TEST_F(LedgerServicesTest, ANameInTwoServicesIsAProblemInWordsAndTheFirstStays) {
  List(Page::kFirst, "x", {In("x", "a")}, 10);
  List(Page::kLast, "y", {In("y", "a", State::kDraining), In("y", "b")}, 10);
  EXPECT_EQ(StateOf("a"), "ready") << "the drain is another's";
  ASSERT_EQ(ledger.problems(kEtcd).count("y/a"), 1u);
  EXPECT_NE(ledger.problems(kEtcd).at("y/a").find("the service x has a member of this name"),
            std::string::npos);
  EXPECT_TRUE(Change("y", 11, {In("y", "a", State::kGone)}));
  EXPECT_EQ(StateOf("a"), "ready") << "nor is the departure its own";
  EXPECT_TRUE(ledger.problems(kEtcd).empty());
}

TEST_F(LedgerServicesTest, AMemberThatMovedBetweenServicesIsNoClash) {
  List(Page::kFirst, "x", {In("x", "b")}, 10);
  List(Page::kLast, "y", {In("y", "a")}, 10);
  // The list reads x first, where a is now, and only then y, where it was.
  List(Page::kFirst, "x", {In("x", "a"), In("x", "b")}, 20);
  List(Page::kLast, "y", {}, 20);
  EXPECT_EQ(StateOf("a"), "ready");
  EXPECT_EQ(ledger.believed().at("a").member->service, "x");
  EXPECT_TRUE(ledger.problems(kEtcd).empty());
}

}  // namespace
}  // namespace badgerbridge::membership
