// SPDX-License-Identifier: Apache-2.0
//
/// The agent's state on disk, as the version before wrote it: its journal is read, and written back byte for
/// byte. docs/design.md has the form; here stand the names of its fields and the words and numbers of its
/// enumerators.
#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "compatibility/golden_file.h"
#include "fleet/fleet_file.h"
#include "fleet/orders.h"
#include "fleet/store.h"

namespace badgerbridge::compatibility {
namespace {

constexpr char kJournal[] = "agent/store.journal";
constexpr char kCompactedJournal[] = "agent/store_compacted.journal";

/// The records of a journal, as a start of the agent reads them.
std::vector<std::string> RecordsOf(const std::string& path) { return fleet::Store(path).TakeRecords(); }

fleet::Fleet FleetOf(const std::vector<std::string>& records) {
  fleet::Fleet fleet;
  for (const std::string& record : records) fleet.Restore(record);
  return fleet;
}

TEST(AgentStoreCompatibility, JournalReadAndCompactedIsTheGoldenFile) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path("state");
  WriteWholeFile(path, ReadGoldenFile(kJournal));
  {
    fleet::Store store(path);
    EXPECT_EQ(store.dropped(), 0u);
    const fleet::Fleet fleet = FleetOf(store.TakeRecords());
    ASSERT_TRUE(store.Compact(fleet.Everything())) << store.error();
  }
  EXPECT_TRUE(MatchesGoldenFile(kCompactedJournal, ReadWholeFile(path)));
}

TEST(AgentStoreCompatibility, CompactedJournalWrittenBackIsTheSameBytes) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path("state");
  WriteWholeFile(path, ReadGoldenFile(kCompactedJournal));
  const fleet::Fleet fleet = FleetOf(RecordsOf(path));
  EXPECT_EQ(fleet::Store::Frame(fleet.Everything()), ReadGoldenFile(kCompactedJournal));
}

TEST(AgentStoreCompatibility, JournalAppendedBatchByBatchIsTheSameBytes) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path("state");
  for (const std::string& line : GoldenLines(kJournal)) {
    WriteWholeFile(directory.Path("batch"), line + "\n");
    fleet::Store store(path);
    ASSERT_TRUE(store.Append(RecordsOf(directory.Path("batch")))) << store.error();
  }
  EXPECT_EQ(ReadWholeFile(path), ReadGoldenFile(kJournal));
}

constexpr int kGeneration = 4;

/// At generation 4: two instances that run, and are ready, and one that was never started.
fleet::Fleet RunningFleet() {
  fleet::Fleet fleet;
  fleet.Restore("{\"generation\":" + std::to_string(kGeneration) + "}");
  for (const std::string name : {"n1", "n2"}) {
    EXPECT_TRUE(fleet.Add(name, "definition of " + name, true));
    fleet::Observation ready;
    ready.state = "ready";
    ready.reloads_applied = 3;
    ready.reloads_refused = 1;
    std::vector<fleet::Action> actions;
    fleet.Handle(fleet::Time(1000), fleet::Adopted{name, 100}, &actions);
    fleet.Handle(fleet::Time(1001), fleet::Observed{name, ready, fleet::Time(1000)}, &actions);
  }
  EXPECT_TRUE(fleet.Add("n3", "definition of n3", false));
  fleet.TakeChanges();
  return fleet;
}

fleet::Order OrderWithEveryField(fleet::Verb verb) {
  fleet::Order order;
  order.id = "order-" + std::string(fleet::Name(verb));
  order.verb = verb;
  order.instances = {"n1", "n2", "n3"};
  order.who = "ana";
  order.against = kGeneration;
  order.deadline = fleet::Time(45000);
  const bool ends_processes =
      verb == fleet::Verb::kStop || verb == fleet::Verb::kRestart || verb == fleet::Verb::kApply;
  if (ends_processes) order.force_after = fleet::Time(9000);
  order.at_most = 2;
  if (verb == fleet::Verb::kApply)
    order.definitions = {{"n1", "a new definition"}, {"n2", ""}, {"n3", "another"}};
  return order;
}

/// What the agent writes when an order is accepted, and when an instance's process ends.
std::vector<std::string> RecordsOfOrder(const fleet::Order& order) {
  fleet::Fleet fleet = RunningFleet();
  std::vector<fleet::Action> actions;
  const fleet::Verdict verdict = fleet.Submit(fleet::Time(2000), 1700000000123, order, &actions);
  EXPECT_EQ(verdict.kind, fleet::Verdict::Kind::kAccepted) << verdict.text;
  std::vector<std::string> records = fleet.TakeChanges();
  fleet.Handle(fleet::Time(2500), fleet::Exited{"n1", "was killed by signal 9"}, &actions);
  for (std::string& record : fleet.TakeChanges()) records.push_back(std::move(record));
  return records;
}

TEST(AgentStoreCompatibility, AcceptedOrderOfEachVerbWritesTheGoldenRecords) {
  std::vector<std::string> lines;
  for (const fleet::Verb verb :
       {fleet::Verb::kStart, fleet::Verb::kStop, fleet::Verb::kDrain, fleet::Verb::kUndrain,
        fleet::Verb::kReload, fleet::Verb::kRestart, fleet::Verb::kApply}) {
    for (std::string& record : RecordsOfOrder(OrderWithEveryField(verb))) lines.push_back(std::move(record));
  }
  EXPECT_TRUE(MatchesGoldenFile("agent/order_records.jsonl", JoinLines(lines)));
}

TEST(AgentStoreCompatibility, SupersedingOrderWritesTheGoldenRecords) {
  fleet::Fleet fleet = RunningFleet();
  std::vector<fleet::Action> actions;
  fleet::Order drain = OrderWithEveryField(fleet::Verb::kDrain);
  drain.instances = {"n1", "n2"};
  drain.at_most = 1;
  const fleet::Verdict of_drain = fleet.Submit(fleet::Time(2000), 1700000000123, drain, &actions);
  EXPECT_EQ(of_drain.kind, fleet::Verdict::Kind::kAccepted) << of_drain.text;
  fleet::Order stop = OrderWithEveryField(fleet::Verb::kStop);
  stop.against = 0;
  stop.supersede = true;
  const fleet::Verdict of_stop = fleet.Submit(fleet::Time(2100), 1700000000223, stop, &actions);
  EXPECT_EQ(of_stop.kind, fleet::Verdict::Kind::kAccepted) << of_stop.text;
  EXPECT_TRUE(MatchesGoldenFile("agent/superseded_order_records.jsonl", JoinLines(fleet.TakeChanges())));
}

/// The word for an instance whose process runs, and that said this of itself.
std::string WordWhenSeen(const std::string& state, const std::string& silent = "") {
  fleet::Instance instance;
  instance.pid = 100;
  instance.seen = fleet::Observation{};
  instance.seen->state = state;
  instance.silent = silent;
  return std::string(fleet::Fleet::StateOf(instance));
}

TEST(AgentWordsCompatibility, EachStateOfAnInstanceHasItsWord) {
  fleet::Instance instance;
  std::vector<std::string> words{std::string(fleet::Fleet::StateOf(instance))};
  instance.wanted = true;
  words.emplace_back(fleet::Fleet::StateOf(instance));
  instance.gave_up = "it died too often";
  words.emplace_back(fleet::Fleet::StateOf(instance));
  instance.spawning = true;
  words.emplace_back(fleet::Fleet::StateOf(instance));
  for (const char* state : {"starting", "ready", "draining", "drained", "stopping"})
    words.push_back(WordWhenSeen(state));
  words.push_back(WordWhenSeen("ready", "time out"));
  EXPECT_TRUE(MatchesGoldenFile("agent/instance_states.txt", JoinLines(words)));
}

TEST(AgentDefinitionCompatibility, DefinitionReadAndWrittenBackIsTheSameBytes) {
  for (const std::string& line : GoldenLines("agent/definitions.jsonl"))
    EXPECT_EQ(fleet::ToText(fleet::DefinitionOf(line)), line);
}

TEST(AgentAuditLogCompatibility, LinesAreAppendedAndFilesMovedAsideAsBefore) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path("audit.log");
  const std::vector<std::string> lines = GoldenLines("agent/audit.jsonl");
  WriteWholeFile(path, lines.front() + "\n");
  fleet::AuditLog log(path, lines.front().size() + 2, 2);
  ASSERT_TRUE(log.Add({lines[1]}));
  EXPECT_EQ(ReadWholeFile(path), lines[0] + "\n" + lines[1] + "\n");
  ASSERT_TRUE(log.Add({lines[2], lines[3]}));
  EXPECT_EQ(ReadWholeFile(path + ".1"), lines[0] + "\n" + lines[1] + "\n");
  EXPECT_EQ(ReadWholeFile(path), lines[2] + "\n" + lines[3] + "\n");
}

}  // namespace
}  // namespace badgerbridge::compatibility
