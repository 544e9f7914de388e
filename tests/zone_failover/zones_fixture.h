// SPDX-License-Identifier: Apache-2.0
//
// End-to-end fixture of zone failover: an agent and proxies as processes, with a stand-in etcd.
#ifndef BADGERBRIDGE_TESTS_ZONE_FAILOVER_ZONES_FIXTURE_H_
#define BADGERBRIDGE_TESTS_ZONE_FAILOVER_ZONES_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http_api/client.h"
#include "standins/etcd.h"
#include "standins/site.h"

namespace badgerbridge::zone_failover::testing {

/// Three proxies with zone failover enabled, an agent, four backends and a stand-in etcd.
class ZonesTest : public ::testing::Test {
 protected:
  ZonesTest() {
    standins::SiteSettings settings;
    settings.proxies = 3;
    settings.backends = 4;  // two in each of the zones a and b; the proxies run in a
    settings.service = std::chrono::milliseconds(10);
    site = std::make_unique<standins::Site>(io, settings);
    etcd = std::make_unique<standins::Etcd>(io, standins::EtcdSettings{});
    const auto at = etcd->address(0);
    const std::string table = "[regions]\nendpoints = [\"" + at.address().to_string() + ":" +
                              std::to_string(at.port()) + "\"]\nzones = [\"a\", \"b\"]\n";
    for (int i = 0; i < 3; ++i)
      site->Write(site->Name(i) + ".toml",
                  "[control]\nsocket = \"" + site->folder() + "/" + site->Name(i) + ".sock\"\n" + table);
    site->Write("zones.toml", table);
  }
  /// A proxy's response to GET /v1/zones; empty: the call failed.
  boost::json::object Zones(int proxy) {
    auto reply = std::make_shared<std::optional<http_api::Reply>>();
    boost::asio::co_spawn(
        io,
        http_api::CallUnix(site->folder() + "/" + site->Name(proxy) + ".sock", "GET", "/v1/zones", "",
                           std::chrono::milliseconds(3000)),
        [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
    EXPECT_TRUE(site->Until([&] { return reply->has_value(); }));
    return (*reply)->ok() ? (*reply)->body.as_object() : boost::json::object{};
  }
  /// True if the decision allows every proxy to use its grants.
  bool AllAdmitted() {
    for (int i = 0; i < 3; ++i) {
      const boost::json::object zones = Zones(i);
      if (!zones.contains("admitted") || !zones.at("admitted").as_bool()) return false;
    }
    return true;
  }
  /// The state of a zone as reported by a proxy; empty: there is no decision yet.
  std::string State(const std::string& zone, int proxy = 0) {
    const boost::json::object zones = Zones(proxy);
    if (!zones.contains("zones")) return "";
    for (const boost::json::value& one : zones.at("zones").as_array()) {
      if (one.at("name").as_string() == zone && one.as_object().contains("state"))
        return std::string(one.at("state").as_string());
    }
    return "";
  }
  /// Runs `badgerbridge-ctl zones` with these arguments.
  standins::CommandResult Ctl(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "zones");
    arguments.insert(arguments.end(), {"--operator", site->folder() + "/zones.toml"});
    return site->Ctl(arguments);
  }
  /// Number of requests that the backends of a zone have received.
  std::size_t RequestsReceivedIn(const std::string& zone) {
    std::size_t sum = 0;
    for (const auto& one : site->backends()) sum += one->settings().zone == zone ? one->taken() : 0;
    return sum;
  }

  boost::asio::io_context io{1};
  std::unique_ptr<standins::Site> site;
  std::unique_ptr<standins::Etcd> etcd;
};

}  // namespace badgerbridge::zone_failover::testing

#endif  // BADGERBRIDGE_TESTS_ZONE_FAILOVER_ZONES_FIXTURE_H_
