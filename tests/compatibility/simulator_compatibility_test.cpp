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

void AddDistribution(const std::string& prefix, const simulator::Distribution& distribution,
                     KeyValueDump* dump) {
  dump->Add(prefix, distribution.kind);
  dump->Add(prefix + "_us / 1000", distribution.mean);
  dump->Add(prefix + "_spread_percent / 100", distribution.spread);
}

void AddInstallation(const simulator::Model& model, KeyValueDump* dump) {
  dump->Add("name", model.name);
  dump->Add("length", model.duration_ms);
  dump->BeginTable("installation");
  dump->Add("zones", model.zones);
  dump->Add("proxies", model.proxies);
  dump->Add("converters", model.backends);
  dump->Add("groups", model.cells);
  dump->Add("max_attempts", model.max_attempts);
  dump->Add("max_retry_after", model.max_retry_after);
  dump->Add("drain_grace", model.drain_grace);
  dump->Add("price_cross_zone_percent / 100", model.cross_zone_cost);
  dump->Add("regions", model.regions);
  dump->Add("far", model.cross_region_latency);
}

void AddBackend(const simulator::BackendModel& backend, KeyValueDump* dump) {
  dump->BeginTable("converter");
  dump->Add("slots", backend.slots);
  dump->Add("queue", backend.queue_capacity);
  dump->Add("speed_percent / 100", backend.speed);
  dump->Add("cold_from_percent / 100", backend.slow_start_floor);
  dump->Add("warm_up", backend.slow_start_window);
  dump->Add("fall_multiple_percent / 100", backend.overload_factor);
  dump->Add("overload_for", backend.overload_duration);
}

void AddClients(const simulator::ClientModel& clients, KeyValueDump* dump) {
  dump->BeginTable("clients");
  dump->Add("per_second", clients.requests_per_second);
  dump->Add("tries", clients.max_submissions);
  dump->Add("honours_retry_after", clients.honours_retry_after);
  AddDistribution("pause", clients.retry_delay, dump);
  dump->Add("leaves_percent / 100", clients.disconnect_share);
}

void AddNetwork(const simulator::NetworkModel& network, KeyValueDump* dump) {
  dump->BeginTable("network");
  AddDistribution("latency", network.latency, dump);
  AddDistribution("lag", network.list_delay, dump);
  dump->Add("connect_timeout", network.connect_timeout);
  dump->Add("front_notices", network.failover_detection);
  dump->Add("reset_percent / 100", network.reset_share);
}

void AddZoneFailover(const simulator::ZoneFailoverModel& failover, KeyValueDump* dump) {
  dump->BeginTable("regions");
  dump->Add("decide", failover.mode);
  dump->Add("reports", failover.reports_load);
  AddDistribution("etcd", failover.etcd_latency, dump);
}

void AddMultiprocess(const simulator::MultiprocessModel& multiprocess, KeyValueDump* dump) {
  dump->BeginTable("together");
  dump->Add("etcd_members", multiprocess.etcd_members);
  dump->Add("regions", multiprocess.runs_zone_failover);
  dump->Add("relays", multiprocess.watch_caches);
  dump->Add("stalls", multiprocess.stalls_proxies);
  dump->Add("raw_clients", multiprocess.raw_clients);
  dump->Add("sockets", multiprocess.sockets_per_proxy);
  dump->Add("least_worth_percent", multiprocess.min_weight_percent);
  dump->BeginTable("together.fault");
  for (const simulator::MultiprocessFault& fault : multiprocess.faults) {
    dump->Add("at", fault.at_ms);
    dump->Add("what", fault.name);
    dump->Add("zone", fault.zone);
    dump->Add("share_percent / 100", fault.share);
    dump->Add("value", fault.value);
    dump->Add("way", fault.direction);
  }
}

void AddClass(const simulator::ClassModel& one, KeyValueDump* dump) {
  dump->BeginTable("class");
  dump->Add("name", one.name);
  dump->Add("effect", one.rules.idempotency);
  dump->Add("group", one.rules.deduplication_scope);
  dump->Add("window", one.rules.deduplication_window);
  dump->Add("aim", one.rules.latency_objective);
  dump->Add("deadline", one.rules.deadline);
  dump->Add("worth", one.rules.priority_weight);
  dump->Add("late_worth_percent / 100", one.rules.late_weight);
  dump->Add("share", one.share);
  dump->Add("hinted", one.has_work_hint);
  AddDistribution("work", one.work, dump);
}

void AddEvent(const simulator::ScenarioEvent& event, KeyValueDump* dump) {
  dump->BeginTable("happening");
  dump->Add("at", event.at_ms);
  dump->Add("what", event.kind);
  dump->Add("zone", event.zone);
  dump->Add("way", event.direction);
  dump->Add("share_percent / 100", event.share);
  dump->Add("by_percent / 100, or for", event.value);
}

std::string DumpOf(const simulator::Model& model) {
  KeyValueDump dump;
  AddInstallation(model, &dump);
  AddBackend(model.backend, &dump);
  AddClients(model.clients, &dump);
  AddNetwork(model.network, &dump);
  AddZoneFailover(model.failover, &dump);
  AddMultiprocess(model.multiprocess, &dump);
  for (const simulator::ClassModel& one : model.classes) AddClass(one, &dump);
  for (const simulator::ScenarioEvent& event : model.events) AddEvent(event, &dump);
  return dump.text();
}

/// The model of a file of golden/simulator, or the problems that it has.
std::string DumpOfScenario(const std::string& name) {
  const auto model = simulator::ParseScenario(ReadGoldenFile("simulator/" + name), "scenario.toml");
  return model ? DumpOf(*model) : simulator::Message(model.error());
}

TEST(ScenarioFileCompatibility, FileWithEveryKeyAndWordIsReadAsBefore) {
  EXPECT_TRUE(
      MatchesGoldenFile("simulator/scenario_every_key.txt", DumpOfScenario("scenario_every_key.toml")));
}

TEST(ScenarioFileCompatibility, FileWithRequiredKeysAloneHasTheDefaultsOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("simulator/scenario_defaults.txt", DumpOfScenario("scenario_defaults.toml")));
}

TEST(ScenarioFileCompatibility, UnknownKeysAreReportedAsBefore) {
  const auto model =
      simulator::ParseScenario(ReadGoldenFile("simulator/scenario_unknown_keys.toml"), "scenario.toml");
  ASSERT_TRUE(model.has_error());
  EXPECT_TRUE(MatchesGoldenFile("simulator/scenario_unknown_keys.txt", simulator::Message(model.error())));
}

}  // namespace
}  // namespace badgerbridge::compatibility
