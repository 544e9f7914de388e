// SPDX-License-Identifier: Apache-2.0
//
// Ledger and feed against a stand-in etcd over sockets: breaks, compactions, restores, silence, followers
// that lag.
#include "membership/etcd_source.h"

#include <gtest/gtest.h>

#include <random>

#include "membership/ledger.h"
#include "standins/etcd.h"

namespace badgerbridge::membership {
namespace {

namespace asio = boost::asio;
using standins::Etcd;
using standins::EtcdFault;
using standins::EtcdSettings;
using std::chrono::milliseconds;

const std::string kPrefix = "/badgerbridge/converters/";

/// A value as a backend writes it.
std::string Value(const std::string& name, const std::string& status = "Ready", int since = 0) {
  return R"({"name":")" + name + R"(","address":"127.0.0.1:1","zone":"a","type":"x","group":1,"status":")" +
         status + R"(","weight":1.0,"since_ms":)" + std::to_string(since) + "}";
}

/// A stand-in etcd, a source that follows it, and the ledger that takes the reports.
class EtcdSourceTest : public ::testing::Test {
 protected:
  /// Starts etcd with the members a to d, and the source.
  void Start(EtcdSettings settings = {}) {
    etcd = std::make_unique<Etcd>(io, settings);
    for (const char* name : {"a", "b", "c", "d"}) Put(name);
    EtcdSourceSettings source_settings;
    for (int i = 0; i < settings.members; ++i)
      source_settings.endpoints.push_back(etcd->address(static_cast<std::size_t>(i)));
    source_settings.follower.page_size = 2;
    source_settings.user = settings.user;
    source_settings.password = settings.password;
    LedgerSettings ledger_settings;
    ledger_settings.sources = {{"etcd", true, Time(5000), Time(60000)}};
    ledger_settings.mass_departure.max_share = 1;
    ledger = std::make_unique<Ledger>(ledger_settings);
    source = std::make_unique<EtcdSource>(
        io, source_settings, 1,
        [this](Time now, const Report& report) { rejected += !ledger->ApplyReport(now, report); },
        [this](Time now) { ledger->RecordContact(now, 0); },
        [this](const std::string& key, const std::string& reason) { ledger->RecordProblem(0, key, reason); });
  }
  /// Writes a member.
  void Put(const std::string& name, const std::string& status = "Ready", int since = 0) {
    etcd->Put(kPrefix + name, Value(name, status, since));
  }
  /// Deletes a member.
  void Delete(const std::string& name) { etcd->Delete(kPrefix + name); }
  /// Runs until `holds`, 20 s at most; whether it came to hold.
  bool Until(const std::function<bool()>& holds) {
    const auto due = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > due) return false;
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    return true;
  }
  /// The state of a member in the current view; "gone": it is not there.
  std::string StateOf(const std::string& name) const {
    const auto found = ledger->current_view().find(name);
    return std::string(
        Name(found == ledger->current_view().end() ? MemberState::kGone : found->second.member->state));
  }
  /// Whether the source watches and has all that etcd has.
  bool Caught() {
    return source->follower().revision() == etcd->store().revision() &&
           source->follower().state() == "watching";
  }

  asio::io_context io{1};
  std::unique_ptr<Etcd> etcd;
  std::unique_ptr<Ledger> ledger;
  std::unique_ptr<EtcdSource> source;
  int rejected = 0;
};

TEST_F(EtcdSourceTest, ListsInPagesThenFollowsWhatIsWritten) {
  Start();
  ASSERT_TRUE(Until([&] { return ledger->current_view().size() == 4 && etcd->watches() == 1; }));
  Put("a", "Terminating");
  Delete("b");
  Put("e");
  ASSERT_TRUE(Until([&] { return Caught(); }));
  EXPECT_EQ(StateOf("a"), "draining");
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_EQ(StateOf("e"), "ready");
  EXPECT_EQ(source->follower().snapshots(), 1u);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

TEST_F(EtcdSourceTest, ABrokenWatchResumesAtItsRevision) {
  Start();
  ASSERT_TRUE(Until([&] { return Caught(); }));
  etcd->Down(0);
  Put("a", "Terminating");
  Delete("b");
  etcd->Up(0);
  ASSERT_TRUE(Until([&] { return StateOf("a") == "draining" && StateOf("b") == "gone"; }));
  EXPECT_EQ(source->follower().snapshots(), 1u);
  EXPECT_EQ(source->follower().resumes(), 1u);
}

TEST_F(EtcdSourceTest, ACompactionWhileItIsDownLeavesNothingStale) {
  Start();
  ASSERT_TRUE(Until([&] { return Caught(); }));
  etcd->Down(0);
  Put("a", "Terminating");
  Delete("b");
  Delete("c");
  Put("c", "Ready", 77);
  etcd->Compact(etcd->store().revision());
  etcd->Up(0);
  ASSERT_TRUE(Until([&] { return StateOf("a") == "draining" && StateOf("b") == "gone"; }));
  ASSERT_TRUE(Until([&] { return ledger->current_view().at("c").member->start_time_ms == 77; }));
  EXPECT_EQ(StateOf("d"), "ready");
  EXPECT_EQ(source->follower().snapshots(), 2u);
  Put("d", "Terminating");
  EXPECT_TRUE(Until([&] { return StateOf("d") == "draining"; })) << "and it follows again";
}

TEST_F(EtcdSourceTest, ASilentConnectionIsReplacedByOneToAnotherMember) {
  EtcdSettings settings;
  settings.members = 3;
  Start(settings);
  ASSERT_TRUE(Until([&] { return Caught(); }));
  std::size_t in_use = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    if (etcd->connections(i) > 0) in_use = i;
  }
  etcd->Silence(in_use, true);
  Put("a", "Terminating");
  ASSERT_TRUE(Until([&] { return StateOf("a") == "draining"; }));
  EXPECT_EQ(source->follower().snapshots(), 1u);
}

TEST_F(EtcdSourceTest, ARestoreFromABackupIsListedAgain) {
  Start();
  ASSERT_TRUE(Until([&] { return Caught(); }));
  const standins::EtcdStore backup = etcd->store();
  for (int i = 0; i < 10; ++i) Put("late" + std::to_string(i));
  ASSERT_TRUE(Until([&] { return StateOf("late9") == "ready"; }));
  etcd->Restore(backup, 0x9999);
  ASSERT_TRUE(Until([&] { return StateOf("late9") == "gone"; }));
  EXPECT_EQ(ledger->current_view().size(), 4u);
  // Also where only the revision tells.
  for (int i = 0; i < 10; ++i) Put("late" + std::to_string(i));
  ASSERT_TRUE(Until([&] { return StateOf("late9") == "ready"; }));
  etcd->Restore(backup, 0x9999);
  ASSERT_TRUE(Until([&] { return StateOf("late9") == "gone"; }));
  EXPECT_EQ(rejected, 0);
}

TEST_F(EtcdSourceTest, ALaggingEtcdMemberBringsNoDepartedMemberBack) {
  EtcdSettings settings;
  settings.members = 2;
  Start(settings);
  ASSERT_TRUE(Until([&] { return Caught(); }));
  const std::size_t in_use = etcd->connections(0) > 0 ? 0 : 1, other = 1 - in_use;
  etcd->Lag(other, true);
  Delete("a");
  ASSERT_TRUE(Until([&] { return StateOf("a") == "gone"; }));
  etcd->Down(in_use);  // only the one that lags is left
  const auto until = std::chrono::steady_clock::now() + milliseconds(1500);
  ASSERT_TRUE(Until([&] {
    EXPECT_EQ(StateOf("a"), "gone");
    return std::chrono::steady_clock::now() > until;
  }));
  Put("b", "Terminating");
  etcd->Lag(other, false);
  ASSERT_TRUE(Until([&] { return StateOf("b") == "draining"; }));
  EXPECT_EQ(StateOf("a"), "gone");
}

TEST_F(EtcdSourceTest, ATransactionOfManyKeysIsAppliedAtOnce) {
  EtcdSettings settings;
  settings.fragment_bytes = 4000;
  Start(settings);
  ASSERT_TRUE(Until([&] { return Caught(); }));
  std::vector<std::pair<std::string, std::string>> pairs;
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "burst" + std::to_string(i);
    pairs.emplace_back(kPrefix + name, Value(name));
  }
  etcd->store().PutAll(pairs);
  etcd->Publish();
  ASSERT_TRUE(Until([&] {
    const std::size_t n = ledger->current_view().size();
    EXPECT_TRUE(n == 4 || n == 1004) << n;  // never a part of it
    return n == 1004;
  }));
}

TEST_F(EtcdSourceTest, AnUnreadableValueKeepsTheLastGoodEntryAndIsReported) {
  Start();
  ASSERT_TRUE(Until([&] { return Caught(); }));
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"{", "no JSON object"},
      {Value("z"), "names \"z\""},
      {Value("a", "Lively"), "neither Ready nor Terminating"},
      {R"({"name":"a","status":"Ready"})", "no address"},
      {R"({"name":"a","status":"Ready","address":"x","weight":-1})", "weight is no number"}};
  for (const auto& [value, reason] : bad) {
    etcd->Put(kPrefix + "a", value);
    ASSERT_TRUE(Until([&] { return Caught(); }));
    EXPECT_EQ(StateOf("a"), "ready");
    ASSERT_EQ(ledger->problems(0).count(kPrefix + "a"), 1u);
    EXPECT_NE(ledger->problems(0).at(kPrefix + "a").find(reason), std::string::npos)
        << ledger->problems(0).at(kPrefix + "a");
  }
  Put("a", "Terminating");
  ASSERT_TRUE(Until([&] { return StateOf("a") == "draining"; }));
  EXPECT_TRUE(ledger->problems(0).empty());
}

TEST_F(EtcdSourceTest, ATokenThatExpiresMidWatchIsRenewed) {
  EtcdSettings settings;
  settings.user = "proxy";
  settings.password = "secret";
  Start(settings);
  ASSERT_TRUE(Until([&] { return Caught(); }));
  etcd->ExpireTokens();
  etcd->Down(0);
  etcd->Up(0);
  Put("a", "Terminating");
  ASSERT_TRUE(Until([&] { return StateOf("a") == "draining"; }));
}

TEST_F(EtcdSourceTest, AnyFaultOfOneCallIsRecoveredFrom) {
  Start();
  ASSERT_TRUE(Until([&] { return Caught(); }));
  int number = 0;
  for (const EtcdFault fault :
       {EtcdFault::kTrailersOnly, EtcdFault::kNoStatus, EtcdFault::kStatusAlone, EtcdFault::kReset,
        EtcdFault::kRefused, EtcdFault::kHttp503, EtcdFault::kHugeMessage, EtcdFault::kEndlessHeader,
        EtcdFault::kGarbage, EtcdFault::kGoaway, EtcdFault::kTwoMessages, EtcdFault::kNever}) {
    etcd->Down(0);
    etcd->Next(fault);
    etcd->Up(0);
    const std::string name = "n" + std::to_string(++number);
    Put(name);
    ASSERT_TRUE(Until([&] { return StateOf(name) == "ready" && Caught(); })) << static_cast<int>(fault);
  }
  EXPECT_EQ(rejected, 0);
}

TEST_F(EtcdSourceTest, CutsAtRandomBytesEndUpEqual) {
  Start();
  std::mt19937 random(11);
  std::map<std::string, std::string> world = {{"a", "ready"}, {"b", "ready"}, {"c", "ready"}, {"d", "ready"}};
  for (int round = 0; round < 60; ++round) {
    etcd->CutAfter(0, random() % 2500);
    for (unsigned n = random() % 4 + 1; n > 0; --n) {
      const std::string name = "m" + std::to_string(random() % 12);
      const unsigned what = random() % 3;
      if (what == 0) {
        Delete(name);
        world.erase(name);
      } else {
        Put(name, what == 1 ? "Ready" : "Terminating", round);
        world[name] = what == 1 ? "ready" : "draining";
      }
    }
    if (random() % 4 == 0 && etcd->store().revision() > etcd->store().compacted() + 1)
      etcd->Compact(etcd->store().revision());
    io.restart();
    io.run_for(milliseconds(random() % 30));
  }
  etcd->CutAfter(0, SIZE_MAX);
  ASSERT_TRUE(Until([&] { return Caught() && ledger->current_view().size() == world.size(); }));
  for (const auto& [name, state] : world) EXPECT_EQ(StateOf(name), state) << name;
  EXPECT_EQ(rejected, 0);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

}  // namespace
}  // namespace badgerbridge::membership
