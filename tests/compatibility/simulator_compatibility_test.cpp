// SPDX-License-Identifier: Apache-2.0
//
/// Scenario files of the simulator and of the multi-process test, with every key and every word: read into
/// the same model as before.
#include <gtest/gtest.h>

#include "compatibility/golden_file.h"
#include "compatibility/key_value_dump.h"
#include "simulator/scenario.h"

namespace badgerbridge::compatibility {
namespace {

void AddShape(const std::string& prefix, const simulator::Shape& shape, KeyValueDump* dump) {
  dump->Add(prefix, shape.kind);
  dump->Add(prefix + "_us / 1000", shape.mean);
  dump->Add(prefix + "_spread_percent / 100", shape.spread);
}

void AddInstallation(const simulator::Model& model, KeyValueDump* dump) {
  dump->Add("name", model.name);
  dump->Add("length", model.length);
  dump->BeginTable("installation");
  dump->Add("zones", model.zones);
  dump->Add("proxies", model.proxies);
  dump->Add("converters", model.backends);
  dump->Add("groups", model.groups);
  dump->Add("max_attempts", model.max_attempts);
  dump->Add("max_retry_after", model.max_retry_after);
  dump->Add("drain_grace", model.drain_grace);
  dump->Add("price_cross_zone_percent / 100", model.cross_zone_cost);
  dump->Add("regions", model.regions);
  dump->Add("far", model.far);
}

void AddBackend(const simulator::BackendModel& backend, KeyValueDump* dump) {
  dump->BeginTable("converter");
  dump->Add("slots", backend.slots);
  dump->Add("queue", backend.queue);
  dump->Add("speed_percent / 100", backend.speed);
  dump->Add("cold_from_percent / 100", backend.slow_start_floor);
  dump->Add("warm_up", backend.slow_start_window);
  dump->Add("fall_multiple_percent / 100", backend.overload_factor);
  dump->Add("overload_for", backend.overload_duration);
}

void AddClients(const simulator::ClientModel& clients, KeyValueDump* dump) {
  dump->BeginTable("clients");
  dump->Add("per_second", clients.per_second);
  dump->Add("tries", clients.tries);
  dump->Add("honours_retry_after", clients.honours_retry_after);
  AddShape("pause", clients.pause, dump);
  dump->Add("leaves_percent / 100", clients.leaves);
}

void AddNetwork(const simulator::NetworkModel& network, KeyValueDump* dump) {
  dump->BeginTable("network");
  AddShape("latency", network.latency, dump);
  AddShape("lag", network.lag, dump);
  dump->Add("connect_timeout", network.connect_timeout);
  dump->Add("front_notices", network.front_notices);
  dump->Add("reset_percent / 100", network.reset_share);
}

void AddRegions(const simulator::RegionsModel& regions, KeyValueDump* dump) {
  dump->BeginTable("regions");
  dump->Add("decide", regions.decide);
  dump->Add("reports", regions.reports);
  AddShape("etcd", regions.etcd, dump);
}

void AddTogether(const simulator::TogetherModel& together, KeyValueDump* dump) {
  dump->BeginTable("together");
  dump->Add("etcd_members", together.etcd_members);
  dump->Add("regions", together.regions);
  dump->Add("relays", together.relays);
  dump->Add("stalls", together.stalls);
  dump->Add("raw_clients", together.raw_clients);
  dump->Add("sockets", together.sockets);
  dump->Add("least_worth_percent", together.least_worth_percent);
  dump->BeginTable("together.fault");
  for (const simulator::TogetherFault& fault : together.faults) {
    dump->Add("at", fault.at);
    dump->Add("what", fault.what);
    dump->Add("zone", fault.zone);
    dump->Add("share_percent / 100", fault.share);
    dump->Add("value", fault.value);
    dump->Add("way", fault.way);
  }
}

void AddClass(const simulator::ClassModel& one, KeyValueDump* dump) {
  dump->BeginTable("class");
  dump->Add("name", one.name);
  dump->Add("effect", one.rules.effect);
  dump->Add("group", one.rules.group);
  dump->Add("window", one.rules.window);
  dump->Add("aim", one.rules.latency_objective);
  dump->Add("deadline", one.rules.deadline);
  dump->Add("worth", one.rules.priority_weight);
  dump->Add("late_worth_percent / 100", one.rules.late_weight);
  dump->Add("share", one.share);
  dump->Add("hinted", one.hinted);
  AddShape("work", one.work, dump);
}

void AddHappening(const simulator::Happening& happening, KeyValueDump* dump) {
  dump->BeginTable("happening");
  dump->Add("at", happening.at);
  dump->Add("what", happening.kind);
  dump->Add("zone", happening.zone);
  dump->Add("way", happening.way);
  dump->Add("share_percent / 100", happening.share);
  dump->Add("by_percent / 100, or for", happening.value);
}

std::string DumpOf(const simulator::Model& model) {
  KeyValueDump dump;
  AddInstallation(model, &dump);
  AddBackend(model.backend, &dump);
  AddClients(model.clients, &dump);
  AddNetwork(model.network, &dump);
  AddRegions(model.decision, &dump);
  AddTogether(model.together, &dump);
  for (const simulator::ClassModel& one : model.classes) AddClass(one, &dump);
  for (const simulator::Happening& happening : model.happenings) AddHappening(happening, &dump);
  return dump.text();
}

/// The model of a file of golden/simulator, and the problems that it has.
std::string DumpOfScenario(const std::string& name) {
  operator_config::Problems problems;
  const simulator::Model model =
      simulator::ParseScenario(ReadGoldenFile("simulator/" + name), "scenario.toml", problems);
  return DumpOf(model) + operator_config::FormatProblems(problems);
}

TEST(ScenarioFileCompatibility, FileWithEveryKeyAndWordIsReadAsBefore) {
  EXPECT_TRUE(
      MatchesGoldenFile("simulator/scenario_every_key.txt", DumpOfScenario("scenario_every_key.toml")));
}

TEST(ScenarioFileCompatibility, FileWithRequiredKeysAloneHasTheDefaultsOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("simulator/scenario_defaults.txt", DumpOfScenario("scenario_defaults.toml")));
}

TEST(ScenarioFileCompatibility, UnknownKeysAreReportedAsBefore) {
  operator_config::Problems problems;
  simulator::ParseScenario(ReadGoldenFile("simulator/scenario_unknown_keys.toml"), "scenario.toml", problems);
  EXPECT_TRUE(
      MatchesGoldenFile("simulator/scenario_unknown_keys.txt", operator_config::FormatProblems(problems)));
}

}  // namespace
}  // namespace badgerbridge::compatibility
