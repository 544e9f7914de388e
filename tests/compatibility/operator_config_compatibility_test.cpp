// SPDX-License-Identifier: Apache-2.0
//
/// Files that operators write for a proxy and for an agent, with every key: read into the same settings as
/// before.
#include <gtest/gtest.h>

#include "agent/fleet_file.h"
#include "compatibility/golden_file.h"
#include "compatibility/key_value_dump.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::compatibility {
namespace {

void AddEtcdLink(const operator_config::EtcdConnectionSettings& link, KeyValueDump* dump) {
  dump->Add("endpoints", link.endpoints);
  dump->Add("user", link.user);
  dump->Add("password_file", link.password_file);
  dump->Add("certificate", link.certificate);
  dump->Add("key", link.key);
  dump->Add("authority_certificate", link.ca_certificate);
  dump->Add("server_name", link.server_name);
  dump->Add("ping_every", link.ping_interval);
  dump->Add("ping_timeout", link.ping_timeout);
}

void AddControl(const operator_config::AdminApiSettings& control, KeyValueDump* dump) {
  dump->BeginTable("control");
  dump->Add("socket", control.socket);
  dump->Add("max_connections", control.max_connections);
  dump->Add("request_timeout", control.request_timeout);
  dump->Add("idle_timeout", control.idle_timeout);
  dump->Add("allow_uids", control.allow_uids);
}

void AddEtcd(const operator_config::EtcdSettings& etcd, KeyValueDump* dump) {
  dump->BeginTable("etcd");
  AddEtcdLink(etcd, dump);
  dump->Add("prefix", etcd.prefix);
  dump->Add("services", etcd.services);
  dump->Add("services_prefix", etcd.services_prefix);
  dump->Add("authority = etcd", etcd.is_authoritative);
  dump->Add("most_departures_percent", etcd.max_departures_percent);
}

void AddRegions(const operator_config::ZoneFailoverSettings& regions, KeyValueDump* dump) {
  dump->BeginTable("regions");
  dump->Add("decide = together", regions.coordinated);
  AddEtcdLink(regions, dump);
  dump->Add("prefix", regions.prefix);
  dump->Add("zones", regions.zones);
  dump->Add("lease", regions.lease);
  dump->Add("heartbeat", regions.heartbeat);
  dump->Add("hold", regions.grant_hold);
  dump->Add("step", regions.recovery_step);
  dump->Add("round_trip", regions.round_trip);
  dump->Add("price_percent", regions.transfer_price_percent);
  for (const operator_config::ZoneFailoverSettings::Link& link : regions.links) {
    dump->Add("link.from", link.from);
    dump->Add("link.to", link.to);
    dump->Add("link.round_trip", link.round_trip);
    dump->Add("link.price_percent", link.transfer_price_percent);
  }
}

std::string DumpOf(const operator_config::OperatorFile& file) {
  KeyValueDump dump;
  if (file.admin_api) AddControl(*file.admin_api, &dump);
  if (file.etcd) AddEtcd(*file.etcd, &dump);
  if (file.zone_failover) AddRegions(*file.zone_failover, &dump);
  return dump.text();
}

/// What is read from operator files that stand in golden/operator_config, without problems.
std::string DumpOfOperatorFile(const std::string& name) {
  const operator_config::OperatorFile file =
      operator_config::ParseOperatorFile(ReadGoldenFile("operator_config/" + name), name);
  EXPECT_EQ(operator_config::FormatProblems(file.problems), "");
  return DumpOf(file);
}

TEST(OperatorFileCompatibility, FileWithEveryKeyIsReadAsBefore) {
  EXPECT_TRUE(MatchesGoldenFile("operator_config/operator_every_key.txt",
                                DumpOfOperatorFile("operator_every_key.toml")));
}

TEST(OperatorFileCompatibility, OtherWordsAndFormerKeysAreReadAsBefore) {
  EXPECT_TRUE(MatchesGoldenFile("operator_config/operator_other_words.txt",
                                DumpOfOperatorFile("operator_other_words.toml")));
}

TEST(OperatorFileCompatibility, FileWithRequiredKeysAloneHasTheDefaultsOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("operator_config/operator_defaults.txt",
                                DumpOfOperatorFile("operator_defaults.toml")));
}

TEST(OperatorFileCompatibility, UnknownKeysAreReportedAsBefore) {
  const operator_config::Problems problems =
      operator_config::ParseOperatorFile(ReadGoldenFile("operator_config/operator_unknown_keys.toml"),
                                         "operator.toml")
          .problems;
  EXPECT_TRUE(MatchesGoldenFile("operator_config/operator_unknown_keys.txt",
                                operator_config::FormatProblems(problems)));
}

void AddAgent(const agent::AgentSettings& agent, KeyValueDump* dump) {
  dump->BeginTable("agent");
  dump->Add("name", agent.name);
  dump->Add("state_dir", agent.state_dir);
  dump->Add("socket", agent.socket);
  dump->Add("allow_uids", agent.allow_uids);
  dump->Add("max_connections", agent.max_connections);
  dump->Add("poll", agent.poll_interval);
  dump->Add("log_kib * 1024", agent.max_log_bytes);
  dump->Add("first_backoff", agent.initial_backoff);
  dump->Add("most_backoff", agent.max_backoff);
  dump->Add("short_life", agent.min_uptime);
  dump->Add("most_deaths", agent.max_consecutive_crashes);
  if (!agent.tls) return;
  dump->BeginTable("agent.tls");
  dump->Add("listen", agent.tls->listen);
  dump->Add("certificate", agent.tls->certificate);
  dump->Add("key", agent.tls->key);
  dump->Add("client_ca", agent.tls->client_ca);
  for (const auto& [name, role] : agent.tls->roles)
    dump->Add("roles." + name, std::string(http_api::Name(role)));
}

void AddInstance(const agent::InstanceDefinition& instance, KeyValueDump* dump) {
  dump->BeginTable("instance");
  dump->Add("name", instance.name);
  dump->Add("command", instance.command);
  dump->Add("environment", instance.environment);
  dump->Add("listen", instance.listen);
  dump->Add("operator_file's control.socket", instance.control_socket);
  dump->Add("working_directory", instance.working_directory);
  dump->Add("labels", instance.labels);
  dump->Add("limits.descriptors", instance.max_descriptors);
  dump->Add("limits.address_space_mb", instance.max_address_space_mb);
}

/// Reads a fleet file whose instance's operator file is at `operator_path`.
std::string DumpOfFleetFile(const std::string& name, const std::string& operator_path) {
  std::string text = ReadGoldenFile("operator_config/" + name);
  constexpr std::string_view kPlaceholder = "@OPERATOR_FILE@";
  text.replace(text.find(kPlaceholder), kPlaceholder.size(), operator_path);
  operator_config::Problems problems;
  const agent::FleetFile file = agent::ParseFleetFile(text, name, problems);
  KeyValueDump dump;
  AddAgent(file.agent, &dump);
  for (const agent::InstanceDefinition& instance : file.instances) {
    EXPECT_EQ(instance.operator_file, operator_path);
    AddInstance(instance, &dump);
  }
  return dump.text() + operator_config::FormatProblems(problems);
}

std::string PathOfInstancesOperatorFile() { return GoldenPath("operator_config/operator_defaults.toml"); }

TEST(FleetFileCompatibility, FileWithEveryKeyIsReadAsBefore) {
  EXPECT_TRUE(MatchesGoldenFile("operator_config/fleet_every_key.txt",
                                DumpOfFleetFile("fleet_every_key.toml", PathOfInstancesOperatorFile())));
}

TEST(FleetFileCompatibility, FileWithRequiredKeysAloneHasTheDefaultsOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("operator_config/fleet_defaults.txt",
                                DumpOfFleetFile("fleet_defaults.toml", PathOfInstancesOperatorFile())));
}

TEST(FleetFileCompatibility, UnknownKeysAreReportedAsBefore) {
  EXPECT_TRUE(MatchesGoldenFile("operator_config/fleet_unknown_keys.txt",
                                DumpOfFleetFile("fleet_unknown_keys.toml", PathOfInstancesOperatorFile())));
}

}  // namespace
}  // namespace badgerbridge::compatibility
