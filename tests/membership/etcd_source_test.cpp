// SPDX-License-Identifier: Apache-2.0
//
// EtcdSource and Ledger against a fake etcd over sockets: broken connections, compactions, restores from
// backups, connections that hang, and etcd members that lag.
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

/// The value of a key, as a backend writes it.
std::string MakeValue(const std::string& name, const std::string& status = "Ready", int start_time_ms = 0) {
  return R"({"name":")" + name + R"(","address":"127.0.0.1:1","zone":"a","type":"x","group":1,"status":")" +
         status + R"(","weight":1.0,"since_ms":)" + std::to_string(start_time_ms) + "}";
}

/// A fake etcd, a source that watches it, and the ledger that receives the reports.
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
        [this](Time now, const Report& report) { rejected_reports += !ledger->ApplyReport(now, report); },
        [this](Time now) { ledger->RecordContact(now, 0); },
        [this](const std::string& key, const std::string& reason) { ledger->RecordProblem(0, key, reason); });
  }
  /// Writes a member.
  void Put(const std::string& name, const std::string& status = "Ready", int start_time_ms = 0) {
    etcd->Put(kPrefix + name, MakeValue(name, status, start_time_ms));
  }
  /// Deletes a member.
  void Delete(const std::string& name) { etcd->Delete(kPrefix + name); }
  /// Runs until `condition`, for 20 s at most. Returns false on timeout.
  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    return true;
  }
  /// The state of a member in the current view; "gone" if it is absent.
  std::string StateOf(const std::string& name) const {
    const auto found = ledger->current_view().find(name);
    return std::string(
        Name(found == ledger->current_view().end() ? MemberState::kGone : found->second.member->state));
  }
  /// Whether the source is watching at the current revision of etcd.
  bool IsCaughtUp() {
    return source->follower().revision() == etcd->store().revision() &&
           source->follower().state() == "watching";
  }

  asio::io_context io{1};
  std::unique_ptr<Etcd> etcd;
  std::unique_ptr<Ledger> ledger;
  std::unique_ptr<EtcdSource> source;
  int rejected_reports = 0;
};

TEST_F(EtcdSourceTest, ListsInPagesThenWatchesChanges) {
  Start();
  ASSERT_TRUE(RunUntil([&] { return ledger->current_view().size() == 4 && etcd->watches() == 1; }));
  Put("a", "Terminating");
  Delete("b");
  Put("e");
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  EXPECT_EQ(StateOf("a"), "draining");
  EXPECT_EQ(StateOf("b"), "gone");
  EXPECT_EQ(StateOf("e"), "ready");
  EXPECT_EQ(source->follower().snapshots(), 1u);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

TEST_F(EtcdSourceTest, BrokenWatchResumesAtItsRevision) {
  Start();
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  etcd->Down(0);
  Put("a", "Terminating");
  Delete("b");
  etcd->Up(0);
  ASSERT_TRUE(RunUntil([&] { return StateOf("a") == "draining" && StateOf("b") == "gone"; }));
  EXPECT_EQ(source->follower().snapshots(), 1u);
  EXPECT_EQ(source->follower().resumes(), 1u);
}

TEST_F(EtcdSourceTest, CompactionDuringADisconnectLeavesNoStaleMember) {
  Start();
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  etcd->Down(0);
  Put("a", "Terminating");
  Delete("b");
  Delete("c");
  Put("c", "Ready", 77);
  etcd->Compact(etcd->store().revision());
  etcd->Up(0);
  ASSERT_TRUE(RunUntil([&] { return StateOf("a") == "draining" && StateOf("b") == "gone"; }));
  ASSERT_TRUE(RunUntil([&] { return ledger->current_view().at("c").member->start_time_ms == 77; }));
  EXPECT_EQ(StateOf("d"), "ready");
  EXPECT_EQ(source->follower().snapshots(), 2u);
  Put("d", "Terminating");
  EXPECT_TRUE(RunUntil([&] { return StateOf("d") == "draining"; }))
      << "the watch did not resume after the list";
}

TEST_F(EtcdSourceTest, HungConnectionIsReplacedByOneToAnotherMember) {
  EtcdSettings settings;
  settings.members = 3;
  Start(settings);
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  std::size_t in_use = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    if (etcd->connections(i) > 0) in_use = i;
  }
  etcd->Silence(in_use, true);
  Put("a", "Terminating");
  ASSERT_TRUE(RunUntil([&] { return StateOf("a") == "draining"; }));
  EXPECT_EQ(source->follower().snapshots(), 1u);
}

TEST_F(EtcdSourceTest, RestoreFromABackupIsListedAgain) {
  Start();
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  const standins::EtcdStore backup = etcd->store();
  for (int i = 0; i < 10; ++i) Put("late" + std::to_string(i));
  ASSERT_TRUE(RunUntil([&] { return StateOf("late9") == "ready"; }));
  etcd->Restore(backup, 0x9999);
  ASSERT_TRUE(RunUntil([&] { return StateOf("late9") == "gone"; }));
  EXPECT_EQ(ledger->current_view().size(), 4u);
  // The second restore has the same cluster id; only the lower revision shows it.
  for (int i = 0; i < 10; ++i) Put("late" + std::to_string(i));
  ASSERT_TRUE(RunUntil([&] { return StateOf("late9") == "ready"; }));
  etcd->Restore(backup, 0x9999);
  ASSERT_TRUE(RunUntil([&] { return StateOf("late9") == "gone"; }));
  EXPECT_EQ(rejected_reports, 0);
}

TEST_F(EtcdSourceTest, LaggingEtcdMemberRestoresNoDepartedMember) {
  EtcdSettings settings;
  settings.members = 2;
  Start(settings);
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  const std::size_t in_use = etcd->connections(0) > 0 ? 0 : 1, other = 1 - in_use;
  etcd->Lag(other, true);
  Delete("a");
  ASSERT_TRUE(RunUntil([&] { return StateOf("a") == "gone"; }));
  etcd->Down(in_use);  // only the lagging member is left
  const auto end_of_observation = std::chrono::steady_clock::now() + milliseconds(1500);
  ASSERT_TRUE(RunUntil([&] {
    EXPECT_EQ(StateOf("a"), "gone");
    return std::chrono::steady_clock::now() > end_of_observation;
  }));
  Put("b", "Terminating");
  etcd->Lag(other, false);
  ASSERT_TRUE(RunUntil([&] { return StateOf("b") == "draining"; }));
  EXPECT_EQ(StateOf("a"), "gone");
}

TEST_F(EtcdSourceTest, TransactionOfManyKeysIsAppliedAtomically) {
  EtcdSettings settings;
  settings.fragment_bytes = 4000;
  Start(settings);
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  std::vector<std::pair<std::string, std::string>> pairs;
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "burst" + std::to_string(i);
    pairs.emplace_back(kPrefix + name, MakeValue(name));
  }
  etcd->store().PutAll(pairs);
  etcd->Publish();
  ASSERT_TRUE(RunUntil([&] {
    const std::size_t n = ledger->current_view().size();
    EXPECT_TRUE(n == 4 || n == 1004) << n;  // never only a part of the transaction
    return n == 1004;
  }));
}

TEST_F(EtcdSourceTest, InvalidValueKeepsTheLastValidEntryAndIsReported) {
  Start();
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  const std::vector<std::pair<std::string, std::string>> invalid_values = {
      {"{", "no JSON object"},
      {MakeValue("z"), "names \"z\""},
      {MakeValue("a", "Lively"), "neither Ready nor Terminating"},
      {R"({"name":"a","status":"Ready"})", "no address"},
      {R"({"name":"a","status":"Ready","address":"x","weight":-1})", "weight is no number"}};
  for (const auto& [value, reason] : invalid_values) {
    etcd->Put(kPrefix + "a", value);
    ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
    EXPECT_EQ(StateOf("a"), "ready");
    ASSERT_EQ(ledger->problems(0).count(kPrefix + "a"), 1u);
    EXPECT_NE(ledger->problems(0).at(kPrefix + "a").find(reason), std::string::npos)
        << ledger->problems(0).at(kPrefix + "a");
  }
  Put("a", "Terminating");
  ASSERT_TRUE(RunUntil([&] { return StateOf("a") == "draining"; }));
  EXPECT_TRUE(ledger->problems(0).empty());
}

TEST_F(EtcdSourceTest, TokenThatExpiresDuringAWatchIsRenewed) {
  EtcdSettings settings;
  settings.user = "proxy";
  settings.password = "secret";
  Start(settings);
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
  etcd->ExpireTokens();
  etcd->Down(0);
  etcd->Up(0);
  Put("a", "Terminating");
  ASSERT_TRUE(RunUntil([&] { return StateOf("a") == "draining"; }));
}

TEST_F(EtcdSourceTest, RecoversFromEachFaultOfACall) {
  Start();
  ASSERT_TRUE(RunUntil([&] { return IsCaughtUp(); }));
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
    ASSERT_TRUE(RunUntil([&] { return StateOf(name) == "ready" && IsCaughtUp(); }))
        << static_cast<int>(fault);
  }
  EXPECT_EQ(rejected_reports, 0);
}

TEST_F(EtcdSourceTest, ViewConvergesAfterConnectionsCutAtRandomBytes) {
  Start();
  std::mt19937 random(11);
  std::map<std::string, std::string> expected_states = {
      {"a", "ready"}, {"b", "ready"}, {"c", "ready"}, {"d", "ready"}};
  for (int round = 0; round < 60; ++round) {
    etcd->CutAfter(0, random() % 2500);
    for (unsigned n = random() % 4 + 1; n > 0; --n) {
      const std::string name = "m" + std::to_string(random() % 12);
      const unsigned operation = random() % 3;
      if (operation == 0) {
        Delete(name);
        expected_states.erase(name);
      } else {
        Put(name, operation == 1 ? "Ready" : "Terminating", round);
        expected_states[name] = operation == 1 ? "ready" : "draining";
      }
    }
    if (random() % 4 == 0 && etcd->store().revision() > etcd->store().compacted() + 1)
      etcd->Compact(etcd->store().revision());
    io.restart();
    io.run_for(milliseconds(random() % 30));
  }
  etcd->CutAfter(0, SIZE_MAX);
  ASSERT_TRUE(
      RunUntil([&] { return IsCaughtUp() && ledger->current_view().size() == expected_states.size(); }));
  for (const auto& [name, state] : expected_states) EXPECT_EQ(StateOf(name), state) << name;
  EXPECT_EQ(rejected_reports, 0);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

}  // namespace
}  // namespace badgerbridge::membership
