// SPDX-License-Identifier: Apache-2.0
//
/// What the platform gives to a proxy: config.json with every setting, the environment, and discovery's
/// lists; read as before.
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <map>
#include <sstream>

#include "compatibility/golden_file.h"
#include "compatibility/settings_dump.h"
#include "proxy/config.h"
#include "proxy/discovery.h"
#include "proxy/json_stream.h"

namespace badgerbridge::compatibility {
namespace {

namespace json = boost::json;

proxy::Environment EnvironmentOf(const std::map<std::string, std::string>& variables) {
  return [&variables](const char* name) -> const char* {
    const auto found = variables.find(name);
    return found == variables.end() ? nullptr : found->second.c_str();
  };
}

std::string TextOf(const boost::asio::ip::tcp::endpoint& address) {
  std::ostringstream text;
  text << address;
  return text.str();
}

std::string DumpOf(const proxy::Config& config) {
  KeyValueDump dump;
  dump.Add("name", config.name);
  dump.Add("listen", TextOf(config.listen));
  dump.Add("discovery", TextOf(config.discovery));
  dump.Add("seed", config.seed);
  dump.Add("clients, from limits", config.max_clients);
  dump.Add("backend connections, from limits", config.max_backend_connections);
  dump.Add("settings.classes[].name", config.classes);
  dump.Add("settings.tenants[].name", config.tenants);
  dump.Add("settings.zones", config.zones);
  dump.Add("settings.kinds", config.kinds);
  dump.Add("settings.permissions.connectTimeoutMs", config.connect_timeout);
  dump.Add("settings.permissions.connIdleMs", config.backend_idle_timeout);
  dump.Add("known", json::serialize(config.known));
  AddSettings(config.settings, &dump);
  return dump.text();
}

proxy::Config ConfigOf(const std::string& name, const std::map<std::string, std::string>& variables = {}) {
  return proxy::ParseConfig(ReadGoldenFile("proxy/" + name), EnvironmentOf(variables));
}

TEST(ProxyConfigCompatibility, FileWithEverySettingIsReadAsBefore) {
  EXPECT_TRUE(
      MatchesGoldenFile("proxy/config_every_setting.txt", DumpOf(ConfigOf("config_every_setting.json"))));
}

TEST(ProxyConfigCompatibility, FileWithRequiredSettingsAloneHasTheDefaultsOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("proxy/config_defaults.txt", DumpOf(ConfigOf("config_defaults.json"))));
}

TEST(ProxyConfigCompatibility, VariablesOfTheEnvironmentGoBeforeTheFile) {
  const proxy::Config config = ConfigOf("config_defaults.json", {{"ROUTER_NAME", "other"},
                                                                 {"ROUTER_LISTEN", "127.0.0.5:5005"},
                                                                 {"ROUTER_DISCOVERY", "127.0.0.6:6006"}});
  EXPECT_EQ(config.name, "other");
  EXPECT_EQ(TextOf(config.listen), "127.0.0.5:5005");
  EXPECT_EQ(TextOf(config.discovery), "127.0.0.6:6006");
}

TEST(ProxyConfigCompatibility, RouterConfigNamesTheFileAndDiscoveryIsReadFromItAgain) {
  const std::map<std::string, std::string> variables = {
      {"ROUTER_CONFIG", GoldenPath("proxy/config_defaults.json")},
      {"ROUTER_NAME", "other"},
      {"ROUTER_DISCOVERY", "127.0.0.6:6006"}};
  EXPECT_EQ(TextOf(proxy::ReadConfig(EnvironmentOf(variables)).discovery), "127.0.0.6:6006");
  const proxy::Config again = proxy::RereadConfig(EnvironmentOf(variables)).value();
  EXPECT_EQ(again.name, "other");
  EXPECT_EQ(TextOf(again.discovery), "127.0.0.1:7001");
}

void AddEndpoint(const proxy::Endpoint& endpoint, KeyValueDump* dump) {
  dump->BeginTable("  endpoints");
  dump->Add("name", endpoint.name);
  dump->Add("address", TextOf(endpoint.address));
  dump->Add("status", endpoint.entry.state);
  dump->Add("id, of the name", endpoint.entry.server);
  dump->Add("zone", endpoint.entry.zone);
  dump->Add("type", endpoint.entry.kind);
  dump->Add("group", endpoint.entry.cell);
  dump->Add("weight", endpoint.entry.weight);
  dump->Add("since_ms", endpoint.entry.up_since.time_since_epoch());
}

/// The lists of a watch on discovery, one after another.
std::string DumpOfWatch(std::string_view bytes, proxy::EndpointListReader reader) {
  constexpr std::size_t kMaxListBytes = 1 << 20;
  proxy::JsonStream stream(kMaxListBytes);
  KeyValueDump dump;
  for (;;) {
    const proxy::JsonStream::Item item = stream.Next(bytes).value();
    if (item == proxy::JsonStream::Item::kNone) return dump.text();
    dump.BeginTable("");
    if (item == proxy::JsonStream::Item::kLineEnd) {
      dump.Add("line_end", true);
      continue;
    }
    const proxy::EndpointList list = reader.Read(stream.Take()).value();
    dump.Add("snapshot", list.snapshot);
    dump.Add("index", reader.version());
    for (const proxy::Endpoint& endpoint : list.endpoints) AddEndpoint(endpoint, &dump);
  }
}

TEST(DiscoveryListCompatibility, ListsOfAWatchAreReadAsBefore) {
  const std::string watch = ReadGoldenFile("proxy/discovery_watch.json");
  const proxy::Config config = ConfigOf("config_every_setting.json");
  EXPECT_TRUE(
      MatchesGoldenFile("proxy/discovery_watch.txt", DumpOfWatch(watch, proxy::EndpointListReader(config))));
}

}  // namespace
}  // namespace badgerbridge::compatibility
