// SPDX-License-Identifier: Apache-2.0
//
// End-to-end tests of coordinated zone failover: command-line tool, agent and proxies run as processes, with
// a stand-in etcd.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <boost/json.hpp>
#include <cstdio>

#include "standins/clients.h"
#include "zone_failover/zones_fixture.h"

namespace badgerbridge::proxy_main {
namespace {

namespace json = boost::json;
using namespace standins;
using std::chrono::milliseconds;
using zone_failover::testing::ZonesTest;

TEST_F(ZonesTest, ProxiesShareADecisionAndEvacuateAZoneOnOrder) {
  site->StartAgent();
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  ASSERT_TRUE(site->Until([&] { return AllAdmitted(); }));
  Clients clients(io, site->addresses(), {150, milliseconds(1500), 9});
  ASSERT_TRUE(site->Until([&] { return clients.ready() == 3; }));
  clients.Start();
  ASSERT_TRUE(site->Until([&] { return clients.account().served > 300; }));

  CommandResult status = Ctl({});
  EXPECT_EQ(status.code, 0) << status.err;
  EXPECT_NE(status.out.find("3 proxies take part"), std::string::npos) << status.out;
  status = Ctl({"-o", "json"});
  EXPECT_EQ(json::parse(status.out).at("zones").as_array().size(), 2u) << status.out;

  const CommandResult ordered = Ctl({"evacuate", "a", "--for", "30s", "--force", "--as", "the night shift"});
  ASSERT_EQ(ordered.code, 0) << ordered.err;
  for (int i = 0; i < 3; ++i) ASSERT_TRUE(site->Until([&] { return State("a", i) == "evacuated"; })) << i;
  site->For(milliseconds(500));  // lets attempts in flight arrive
  const std::size_t before_a = RequestsReceivedIn("a"), before_b = RequestsReceivedIn("b");
  site->For(milliseconds(1500));
  EXPECT_EQ(RequestsReceivedIn("a"), before_a);
  EXPECT_GT(RequestsReceivedIn("b"), before_b);
  EXPECT_NE(Ctl({}).out.find("ordered by the night shift"), std::string::npos);
  EXPECT_EQ(Ctl({"evacuate", "a", "--for", "30s", "--force"}).code, 3);  // a has an order already

  EXPECT_EQ(Ctl({"return", "a"}).code, 0);
  ASSERT_TRUE(site->Until([&] { return State("a") == "sound"; }));
  ASSERT_TRUE(site->Until([&] { return RequestsReceivedIn("a") > before_a + 20; }));
  EXPECT_NE(Ctl({"return", "a"}).out.find("there was no order"), std::string::npos);
  const CommandResult history = Ctl({"history"});
  EXPECT_NE(history.out.find("a evacuated: ordered by the night shift"), std::string::npos) << history.out;
  EXPECT_EQ(Ctl({"evacuate", "nowhere", "--for", "30s"}).code, 2);

  clients.Stop();
  ASSERT_TRUE(site->Until([&] { return clients.Done(); }));
  EXPECT_EQ(clients.account().lost, 0u);
  EXPECT_EQ(site->ledger().doubled(), 0u);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

TEST_F(ZonesTest, EvacuationOrderExpiresAfterItsTime) {
  site->StartAgent();
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  ASSERT_TRUE(site->Until([&] { return AllAdmitted(); }));
  Clients clients(io, site->addresses(), {150, milliseconds(1500), 9});
  ASSERT_TRUE(site->Until([&] { return clients.ready() == 3; }));
  clients.Start();
  ASSERT_TRUE(site->Until([&] { return clients.account().served > 300; }));

  ASSERT_EQ(Ctl({"evacuate", "b", "--for", "2s", "--force"}).code, 0);
  ASSERT_TRUE(site->Until([&] { return State("b") == "evacuated"; }));
  ASSERT_TRUE(site->Until([&] { return State("b") == "sound"; }));

  clients.Stop();
  ASSERT_TRUE(site->Until([&] { return clients.Done(); }));
  EXPECT_EQ(clients.account().lost, 0u);
  EXPECT_EQ(site->ledger().doubled(), 0u);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

TEST_F(ZonesTest, EtcdUnavailableKeepsServingAndIsReported) {
  site->StartAgent();
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  ASSERT_TRUE(site->Until([&] { return AllAdmitted(); }));
  etcd->Down(0);
  ASSERT_TRUE(site->Until([&] { return !Zones(0).at("in_touch").as_bool(); }));
  Clients clients(io, site->addresses(), {100, milliseconds(1500), 9});
  ASSERT_TRUE(site->Until([&] { return clients.ready() == 3; }));
  clients.Start();
  ASSERT_TRUE(site->Until([&] { return clients.account().served > 200; }));
  EXPECT_EQ(Ctl({}).code, 5);
  etcd->Up(0);
  ASSERT_TRUE(site->Until([&] { return AllAdmitted() && Zones(0).at("in_touch").as_bool(); }));
  clients.Stop();
  ASSERT_TRUE(site->Until([&] { return clients.Done(); }));
  EXPECT_EQ(clients.account().lost, 0u);
}

TEST_F(ZonesTest, ProxyWhoseZonesDifferFromItsConfigurationDoesNotStart) {
  site->Write("n1.toml", "[regions]\ndecide = \"alone\"\nzones = [\"b\", \"a\"]\n");
  site->Write("n1.json", site->ConfigText("n1"));
  const std::string command = "ROUTER_CONFIG=" + site->folder() +
                              "/n1.json timeout 20 " NODE_PATH " --operator " + site->folder() +
                              "/n1.toml 2>&1";
  FILE* const program = popen(command.c_str(), "r");
  ASSERT_NE(program, nullptr);
  std::string output(1000, '\0');
  output.resize(std::fread(output.data(), 1, output.size(), program));
  const int status = pclose(program);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1) << status;
  EXPECT_EQ(output, "badgerbridge: [regions] zones are not those of the configuration, in its order: a, b\n");
}

}  // namespace
}  // namespace badgerbridge::proxy_main
