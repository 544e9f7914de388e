// SPDX-License-Identifier: Apache-2.0
//
/// The agent's state on disk, as the version before wrote it: its journal is read, and written back byte for
/// byte. docs/design.md has the form; here stand the names of its fields and the words and numbers of its
/// enumerators.
#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "agent/audit_log.h"
#include "agent/fleet_controller.h"
#include "agent/instance.h"
#include "agent/instance_definition.h"
#include "agent/order_codec.h"
#include "agent/store.h"
#include "agent/store_codec.h"
#include "compatibility/golden_file.h"

namespace badgerbridge::compatibility {
namespace {

constexpr char kJournal[] = "agent/store.journal";
constexpr char kCompactedJournal[] = "agent/store_compacted.journal";

/// The records of a journal, as a start of the agent reads them.
std::vector<std::string> RecordsOf(const std::string& path) {
  return agent::Store::Open(path).value().TakeRecords();
}

agent::FleetController FleetOf(const std::vector<std::string>& records) {
  agent::FleetController fleet;
  for (const std::string& record : records) EXPECT_TRUE(fleet.RestoreRecord(record).has_value()) << record;
  return fleet;
}

TEST(AgentStoreCompatibility, JournalReadAndCompactedIsTheGoldenFile) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path("state");
  WriteWholeFile(path, ReadGoldenFile(kJournal));
  {
    agent::Store store = agent::Store::Open(path).value();
    EXPECT_EQ(store.dropped_bytes(), 0u);
    const agent::FleetController fleet = FleetOf(store.TakeRecords());
    const auto compacted = store.Compact(fleet.AllRecords());
    ASSERT_TRUE(compacted.has_value()) << agent::Message(compacted.error());
  }
  EXPECT_TRUE(MatchesGoldenFile(kCompactedJournal, ReadWholeFile(path)));
}

TEST(AgentStoreCompatibility, CompactedJournalWrittenBackIsTheSameBytes) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path("state");
  WriteWholeFile(path, ReadGoldenFile(kCompactedJournal));
  const agent::FleetController fleet = FleetOf(RecordsOf(path));
  EXPECT_EQ(agent::EncodeBatch(fleet.AllRecords()), ReadGoldenFile(kCompactedJournal));
}

TEST(AgentStoreCompatibility, JournalAppendedBatchByBatchIsTheSameBytes) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path("state");
  for (const std::string& line : GoldenLines(kJournal)) {
    WriteWholeFile(directory.Path("batch"), line + "\n");
    agent::Store store = agent::Store::Open(path).value();
    const auto appended = store.Append(RecordsOf(directory.Path("batch")));
    ASSERT_TRUE(appended.has_value()) << agent::Message(appended.error());
  }
  EXPECT_EQ(ReadWholeFile(path), ReadGoldenFile(kJournal));
}

constexpr int kGeneration = 4;

/// At generation 4: two instances that run, and are ready, and one that was never started.
agent::FleetController RunningFleet() {
  agent::FleetController fleet;
  EXPECT_TRUE(fleet.RestoreRecord("{\"generation\":" + std::to_string(kGeneration) + "}").has_value());
  for (const std::string name : {"n1", "n2"}) {
    EXPECT_TRUE(fleet.AddInstance(name, "definition of " + name, true));
    agent::Observation ready;
    ready.state = "ready";
    ready.reloads_applied = 3;
    ready.reloads_rejected = 1;
    std::vector<agent::Action> actions;
    fleet.Handle(agent::Time(1000), agent::Adopted{name, 100}, &actions);
    fleet.Handle(agent::Time(1001), agent::Observed{name, ready, agent::Time(1000)}, &actions);
  }
  EXPECT_TRUE(fleet.AddInstance("n3", "definition of n3", false));
  fleet.TakeChanges();
  return fleet;
}

agent::Order OrderWithEveryField(agent::Verb verb) {
  agent::Order order;
  order.id = "order-" + std::string(agent::VerbName(verb));
  order.verb = verb;
  order.instances = {"n1", "n2", "n3"};
  order.author = "ana";
  order.expected_generation = kGeneration;
  order.deadline = agent::Time(45000);
  const bool ends_processes =
      verb == agent::Verb::kStop || verb == agent::Verb::kRestart || verb == agent::Verb::kApply;
  if (ends_processes) order.force_after = agent::Time(9000);
  order.max_parallel = 2;
  if (verb == agent::Verb::kApply)
    order.definitions = {{"n1", "a new definition"}, {"n2", ""}, {"n3", "another"}};
  return order;
}

/// What the agent writes when an order is accepted, and when an instance's process ends.
std::vector<std::string> RecordsOfOrder(const agent::Order& order) {
  agent::FleetController fleet = RunningFleet();
  std::vector<agent::Action> actions;
  const agent::ValidationResult verdict = fleet.Submit(agent::Time(2000), 1700000000123, order, &actions);
  EXPECT_EQ(verdict.code, agent::ValidationResult::Code::kAccepted) << verdict.message;
  std::vector<std::string> records = fleet.TakeChanges();
  fleet.Handle(agent::Time(2500), agent::Exited{"n1", "was killed by signal 9"}, &actions);
  for (std::string& record : fleet.TakeChanges()) records.push_back(std::move(record));
  return records;
}

TEST(AgentStoreCompatibility, AcceptedOrderOfEachVerbWritesTheGoldenRecords) {
  std::vector<std::string> lines;
  for (const agent::Verb verb :
       {agent::Verb::kStart, agent::Verb::kStop, agent::Verb::kDrain, agent::Verb::kUndrain,
        agent::Verb::kReload, agent::Verb::kRestart, agent::Verb::kApply}) {
    for (std::string& record : RecordsOfOrder(OrderWithEveryField(verb))) lines.push_back(std::move(record));
  }
  EXPECT_TRUE(MatchesGoldenFile("agent/order_records.jsonl", JoinLines(lines)));
}

TEST(AgentStoreCompatibility, SupersedingOrderWritesTheGoldenRecords) {
  agent::FleetController fleet = RunningFleet();
  std::vector<agent::Action> actions;
  agent::Order drain = OrderWithEveryField(agent::Verb::kDrain);
  drain.instances = {"n1", "n2"};
  drain.max_parallel = 1;
  const agent::ValidationResult of_drain = fleet.Submit(agent::Time(2000), 1700000000123, drain, &actions);
  EXPECT_EQ(of_drain.code, agent::ValidationResult::Code::kAccepted) << of_drain.message;
  agent::Order stop = OrderWithEveryField(agent::Verb::kStop);
  stop.expected_generation = 0;
  stop.supersede = true;
  const agent::ValidationResult of_stop = fleet.Submit(agent::Time(2100), 1700000000223, stop, &actions);
  EXPECT_EQ(of_stop.code, agent::ValidationResult::Code::kAccepted) << of_stop.message;
  EXPECT_TRUE(MatchesGoldenFile("agent/superseded_order_records.jsonl", JoinLines(fleet.TakeChanges())));
}

/// The word for an instance whose process runs, and that said this of itself.
std::string WordWhenObserved(const std::string& state, const std::string& unresponsive_reason = "") {
  agent::Instance instance;
  instance.pid = 100;
  instance.observation = agent::Observation{};
  instance.observation->state = state;
  instance.unresponsive_reason = unresponsive_reason;
  return std::string(agent::InstanceStateName(instance));
}

TEST(AgentWordsCompatibility, EachStateOfAnInstanceHasItsWord) {
  agent::Instance instance;
  std::vector<std::string> words{std::string(agent::InstanceStateName(instance))};
  instance.desired_running = true;
  words.emplace_back(agent::InstanceStateName(instance));
  instance.crash_loop_reason = "it died too often";
  words.emplace_back(agent::InstanceStateName(instance));
  instance.start_in_flight = true;
  words.emplace_back(agent::InstanceStateName(instance));
  for (const char* state : {"starting", "ready", "draining", "drained", "stopping"})
    words.push_back(WordWhenObserved(state));
  words.push_back(WordWhenObserved("ready", "time out"));
  EXPECT_TRUE(MatchesGoldenFile("agent/instance_states.txt", JoinLines(words)));
}

TEST(AgentDefinitionCompatibility, DefinitionReadAndWrittenBackIsTheSameBytes) {
  for (const std::string& line : GoldenLines("agent/definitions.jsonl"))
    EXPECT_EQ(agent::SerializeDefinition(agent::ParseDefinition(line).value()), line);
}

TEST(AgentAuditLogCompatibility, LinesAreAppendedAndFilesMovedAsideAsBefore) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path("audit.log");
  const std::vector<std::string> lines = GoldenLines("agent/audit.jsonl");
  WriteWholeFile(path, lines.front() + "\n");
  agent::AuditLog log(path, lines.front().size() + 2, 2);
  ASSERT_TRUE(log.Append({lines[1]}).has_value());
  EXPECT_EQ(ReadWholeFile(path), lines[0] + "\n" + lines[1] + "\n");
  ASSERT_TRUE(log.Append({lines[2], lines[3]}).has_value());
  EXPECT_EQ(ReadWholeFile(path + ".1"), lines[0] + "\n" + lines[1] + "\n");
  EXPECT_EQ(ReadWholeFile(path), lines[2] + "\n" + lines[3] + "\n");
}

}  // namespace
}  // namespace badgerbridge::compatibility
