// SPDX-License-Identifier: Apache-2.0
//
// Proxies that decide in common, end to end: tool, agent and proxies as processes, a stand-in etcd; and the
// calls as etcd's API has them, against the stand-in's store.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <boost/json.hpp>
#include <cstdio>

#include "proxy_main/zone_failover_calls.h"
#include "standins/clients.h"
#include "standins/etcd.h"
#include "standins/site.h"
#include "zone_failover/evacuation.h"

namespace badgerbridge::proxy_main {
namespace {

namespace json = boost::json;
namespace pb = etcdserverpb;
using namespace standins;
using std::chrono::milliseconds;

const std::string kPrefix = "/badgerbridge/regions/";

class ZonesTest : public ::testing::Test {
 protected:
  ZonesTest() {
    SiteSettings settings;
    settings.proxies = 3;
    settings.backends = 4;  // two in each of the zones a and b; the proxies stand in a
    settings.service = milliseconds(10);
    site = std::make_unique<Site>(io, settings);
    etcd = std::make_unique<Etcd>(io, EtcdSettings{});
    const auto at = etcd->address(0);
    const std::string table = "[regions]\nendpoints = [\"" + at.address().to_string() + ":" +
                              std::to_string(at.port()) + "\"]\nzones = [\"a\", \"b\"]\n";
    for (int i = 0; i < 3; ++i)
      site->Write(site->Name(i) + ".toml",
                  "[control]\nsocket = \"" + site->folder() + "/" + site->Name(i) + ".sock\"\n" + table);
    site->Write("zones.toml", table);
  }
  json::object Zones(int proxy) {
    auto reply = std::make_shared<std::optional<http_api::Reply>>();
    boost::asio::co_spawn(
        io,
        http_api::CallUnix(site->folder() + "/" + site->Name(proxy) + ".sock", "GET", "/v1/zones", "",
                           milliseconds(3000)),
        [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
    EXPECT_TRUE(site->Until([&] { return reply->has_value(); }));
    return (*reply)->ok() ? (*reply)->body.as_object() : json::object{};
  }
  bool Admitted() {
    for (int i = 0; i < 3; ++i) {
      const json::object zones = Zones(i);
      if (!zones.contains("admitted") || !zones.at("admitted").as_bool()) return false;
    }
    return true;
  }
  std::string State(const std::string& zone, int proxy = 0) {
    const json::object zones = Zones(proxy);
    if (!zones.contains("zones")) return "";
    for (const json::value& one : zones.at("zones").as_array()) {
      if (one.at("name").as_string() == zone && one.as_object().contains("state"))
        return std::string(one.at("state").as_string());
    }
    return "";
  }
  CommandResult Ctl(std::vector<std::string> words) {
    words.insert(words.begin(), "zones");
    words.insert(words.end(), {"--operator", site->folder() + "/zones.toml"});
    return site->Ctl(words);
  }
  std::size_t TakenIn(const std::string& zone) {
    std::size_t sum = 0;
    for (const auto& one : site->backends()) sum += one->settings().zone == zone ? one->taken() : 0;
    return sum;
  }

  boost::asio::io_context io{1};
  std::unique_ptr<Site> site;
  std::unique_ptr<Etcd> etcd;
};

TEST_F(ZonesTest, ProxiesShareADecisionAndEvacuateAZoneOnOrder) {
  site->StartAgent();
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  ASSERT_TRUE(site->Until([&] { return Admitted(); }));
  Clients clients(io, site->addresses(), {150, milliseconds(1500), 9});
  ASSERT_TRUE(site->Until([&] { return clients.ready() == 3; }));
  clients.Start();
  ASSERT_TRUE(site->Until([&] { return clients.account().served > 300; }));

  CommandResult shown = Ctl({});
  EXPECT_EQ(shown.code, 0) << shown.err;
  EXPECT_NE(shown.out.find("3 proxies take part"), std::string::npos) << shown.out;
  shown = Ctl({"-o", "json"});
  EXPECT_EQ(json::parse(shown.out).at("zones").as_array().size(), 2u) << shown.out;

  const CommandResult ordered = Ctl({"evacuate", "a", "--for", "30s", "--force", "--as", "the night shift"});
  ASSERT_EQ(ordered.code, 0) << ordered.err;
  for (int i = 0; i < 3; ++i) ASSERT_TRUE(site->Until([&] { return State("a", i) == "evacuated"; })) << i;
  site->For(milliseconds(500));  // what is on its way arrives
  const std::size_t before_a = TakenIn("a"), before_b = TakenIn("b");
  site->For(milliseconds(1500));
  EXPECT_EQ(TakenIn("a"), before_a);
  EXPECT_GT(TakenIn("b"), before_b);
  EXPECT_NE(Ctl({}).out.find("ordered by the night shift"), std::string::npos);
  EXPECT_EQ(Ctl({"evacuate", "a", "--for", "30s", "--force"}).code, 3);  // there is one already

  EXPECT_EQ(Ctl({"return", "a"}).code, 0);
  ASSERT_TRUE(site->Until([&] { return State("a") == "sound"; }));
  ASSERT_TRUE(site->Until([&] { return TakenIn("a") > before_a + 20; }));
  EXPECT_NE(Ctl({"return", "a"}).out.find("there was no order"), std::string::npos);
  const CommandResult history = Ctl({"history"});
  EXPECT_NE(history.out.find("a evacuated: ordered by the night shift"), std::string::npos) << history.out;
  EXPECT_EQ(Ctl({"evacuate", "nowhere", "--for", "30s"}).code, 2);

  // An order ends by itself.
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
  ASSERT_TRUE(site->Until([&] { return Admitted(); }));
  etcd->Down(0);
  ASSERT_TRUE(site->Until([&] { return !Zones(0).at("in_touch").as_bool(); }));
  Clients clients(io, site->addresses(), {100, milliseconds(1500), 9});
  ASSERT_TRUE(site->Until([&] { return clients.ready() == 3; }));
  clients.Start();
  ASSERT_TRUE(site->Until([&] { return clients.account().served > 200; }));
  EXPECT_EQ(Ctl({}).code, 5);
  etcd->Up(0);
  ASSERT_TRUE(site->Until([&] { return Admitted() && Zones(0).at("in_touch").as_bool(); }));
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
  std::string said(1000, '\0');
  said.resize(std::fread(said.data(), 1, said.size(), program));
  const int status = pclose(program);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1) << status;
  EXPECT_EQ(said, "badgerbridge: [regions] zones are not those of the configuration, in its order: a, b\n");
}

// The tool alone, over records written by hand.
class ZonesToolTest : public ZonesTest {
 protected:
  void Decide(std::uint64_t epoch, double limit_of_b,
              zone_failover::ZoneState a = zone_failover::ZoneState::kHealthy) {
    zone_failover::Decision d;
    d.epoch = epoch;
    d.leader = "n7";
    d.zones.resize(2);
    d.zones[0] = {a, 20, 20, 10, 10, 3, 1, a == zone_failover::ZoneState::kHealthy ? "" : "it fails"};
    d.zones[1] = {zone_failover::ZoneState::kHealthy, limit_of_b, limit_of_b, 5, 5, 2, 0, ""};
    d.grants = d.grant_ceiling = d.standby = zone_failover::Matrix(2);
    d.grants.at(0, 1) = 3;
    etcd->Put(kPrefix + "decision", zone_failover::Encode(d));
  }
  pb::RangeResponse Order(int zone) {
    pb::RangeRequest request;
    request.set_key(kPrefix + "orders/" + std::to_string(zone));
    pb::RangeResponse response;
    EXPECT_TRUE(etcd->store().Range(request, &response).ok());
    return response;
  }
  int Leases() {
    pb::LeaseLeasesResponse response;
    etcd->store().Leases(&response);
    return response.leases_size();
  }
};

TEST_F(ZonesToolTest, WithoutADecisionCommandsFail) {
  CommandResult result = Ctl({});
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.err.find("no proxy has decided anything yet; 0 take part"), std::string::npos)
      << result.err;
  result = Ctl({"evacuate", "a", "--for", "1m", "--force"});
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.err.find("nobody would follow"), std::string::npos) << result.err;
  EXPECT_EQ(Order(0).kvs_size(), 0);
  EXPECT_EQ(Ctl({"history"}).code, 0);
  etcd->Put(kPrefix + "decision", "{\"v\":7}");
  for (const char* command : {"", "history"}) {
    result = Ctl(*command ? std::vector<std::string>{command} : std::vector<std::string>{});
    EXPECT_EQ(result.code, 1);
    EXPECT_NE(result.err.find("can't be read: not of version 1"), std::string::npos) << result.err;
  }
  // Files and words that are no use.
  EXPECT_EQ(site->Ctl({"zones"}).code, 2);
  EXPECT_EQ(site->Ctl({"zones", "--operator", site->folder() + "/none.toml"}).code, 2);
  site->Write("alone.toml", "[regions]\ndecide = \"alone\"\nzones = [\"a\"]\n");
  EXPECT_NE(site->Ctl({"zones", "--operator", site->folder() + "/alone.toml"}).err.find("decide alone"),
            std::string::npos);
  for (const char* lasts : {"10ms", "169h", "soon"})
    EXPECT_EQ(Ctl({"evacuate", "a", "--for", lasts}).code, 2);
}

TEST_F(ZonesToolTest, EvacuationBeyondSpareCapacityIsRejectedUnlessForced) {
  Decide(3, 8);
  for (const char* how : {"--dry-run", "--as=x"}) {
    const CommandResult refused = Ctl({"evacuate", "a", "--for", "1m", how});
    EXPECT_EQ(refused.code, 1);
    EXPECT_NE(refused.out.find("a carries 10.00"), std::string::npos) << refused.out;
    EXPECT_NE(refused.out.find("no room for 7.00 of it"), std::string::npos) << refused.out;
    EXPECT_EQ(Order(0).kvs_size(), 0) << how;
  }
  EXPECT_EQ(Leases(), 0);
  ASSERT_EQ(Ctl({"evacuate", "a", "--for", "1m", "--force", "--as", "x"}).code, 0);
  ASSERT_EQ(Order(0).kvs_size(), 1);
  EXPECT_EQ(Order(0).kvs(0).value(), "x");
  EXPECT_NE(Order(0).kvs(0).lease(), 0);  // it ends with its lease
  EXPECT_EQ(Leases(), 1);
  // Room enough: no force is needed, and the dry run writes nothing.
  Decide(4, 80);
  const CommandResult dry = Ctl({"evacuate", "b", "--for", "1m", "--dry-run", "-o", "json"});
  EXPECT_EQ(dry.code, 0);
  EXPECT_EQ(json::parse(dry.out).at("result").as_string(), "dry run");
  EXPECT_EQ(json::parse(dry.out).at("receivers").as_array()[0].at("would").to_number<double>(), 15);
  EXPECT_EQ(Order(1).kvs_size(), 0);
}

TEST_F(ZonesToolTest, OfTwoOrdersAtOnceOneIsMadeAndNoLeaseIsLeftOver) {
  Decide(3, 80);
  etcd->BeforeTxn([this] {
    if (Order(0).kvs_size() == 0) etcd->Put(kPrefix + "orders/0", "somebody");
  });
  const CommandResult second = Ctl({"evacuate", "a", "--for", "1m"});
  EXPECT_EQ(second.code, 3);
  EXPECT_NE(second.err.find("somebody else has just given an order"), std::string::npos) << second.err;
  EXPECT_EQ(Order(0).kvs(0).value(), "somebody");
  EXPECT_EQ(Leases(), 0);
  EXPECT_NE(Ctl({"evacuate", "a", "--for", "1m"}).err.find("already, by somebody"), std::string::npos);
}

TEST_F(ZonesToolTest, HistoryEndsWhereEtcdIsCompacted) {
  Decide(1, 8);
  Decide(2, 8, zone_failover::ZoneState::kUnavailable);
  const std::int64_t second = etcd->store().revision();
  Decide(3, 8);
  CommandResult result = Ctl({"history"});
  EXPECT_EQ(result.code, 0);
  EXPECT_NE(result.out.find("a dark: it fails"), std::string::npos) << result.out;
  EXPECT_NE(result.out.find("a sound"), std::string::npos) << result.out;
  EXPECT_EQ(json::parse(Ctl({"history", "-o", "json"}).out).as_array().size(), 3u);
  EXPECT_EQ(json::parse(Ctl({"history", "--lines", "2", "-o", "json"}).out).as_array().size(), 2u);
  etcd->Compact(second);
  result = Ctl({"history"});
  EXPECT_EQ(result.code, 0);
  EXPECT_NE(result.out.find("etcd has forgotten what was before"), std::string::npos) << result.out;
  EXPECT_NE(result.out.find("a dark: it fails"), std::string::npos) << result.out;
}

TEST(EtcdCalls, MembersCallsAreDoneByEtcdAndRepliesAreRead) {
  EtcdStore store;
  using zone_failover::Member;
  const auto now = milliseconds(0);
  pb::LeaseGrantResponse granted;
  auto status = store.Grant(now, ToEtcd(Member::GrantLease{3}), &granted);
  const Member::Reply lease = FromEtcd(status, granted);
  ASSERT_TRUE(lease.ok);
  const auto txn = [&](const pb::TxnRequest& request) {
    pb::TxnResponse response;
    const auto ended = store.Txn(request, &response);
    response.mutable_header()->set_revision(store.revision());  // which is the server's to say
    return FromEtcd(ended, response, kPrefix);
  };
  // A stranger's key beside the prefix is not read.
  pb::PutRequest stray;
  stray.set_key("/badgerbridge/regionsX");
  pb::PutResponse ignored;
  store.Put(stray, &ignored);

  Member::Reply reply = txn(ToEtcd(Member::Heartbeat{lease.lease, "word", true}, kPrefix, "n1"));
  ASSERT_TRUE(reply.ok);
  ASSERT_EQ(reply.kvs.size(), 1u);
  EXPECT_EQ(reply.kvs[0].key, "members/n1");
  EXPECT_EQ(reply.kvs[0].lease, lease.lease);
  EXPECT_EQ(reply.kvs[0].create_revision, reply.revision);
  reply = txn(ToEtcd(Member::Heartbeat{lease.lease + 1, "word", false}, kPrefix, "n1"));
  EXPECT_FALSE(reply.ok);
  EXPECT_TRUE(reply.lease_gone);

  const Member::Reply stood = txn(ToEtcd(Member::Campaign{lease.lease}, kPrefix, "n1"));
  EXPECT_TRUE(stood.ok && stood.condition_held);
  EXPECT_FALSE(txn(ToEtcd(Member::Campaign{lease.lease}, kPrefix, "n2")).condition_held);
  // Written by the decider of that term alone, and over no other decision than the one it read.
  EXPECT_FALSE(txn(ToEtcd(Member::Propose{"d", "r", stood.revision + 7, 0}, kPrefix)).condition_held);
  EXPECT_FALSE(txn(ToEtcd(Member::Propose{"d", "r", stood.revision, 5}, kPrefix)).condition_held);
  const Member::Reply written = txn(ToEtcd(Member::Propose{"d", "r", stood.revision, 0}, kPrefix));
  EXPECT_TRUE(written.condition_held);
  EXPECT_FALSE(txn(ToEtcd(Member::Propose{"e", "r", stood.revision, 0}, kPrefix)).condition_held);
  reply = txn(ToEtcd(Member::Heartbeat{lease.lease, "word", false}, kPrefix, "n1"));
  EXPECT_EQ(reply.kvs.size(), 3u);  // its own, the decision, the decider; no roll
  EXPECT_EQ(txn(ToEtcd(Member::Heartbeat{lease.lease, "word", true}, kPrefix, "n1")).kvs.size(), 4u);
  // What is known already is not sent again.
  const auto value_with = [&](std::int64_t known) {
    const auto read = txn(ToEtcd(Member::Heartbeat{lease.lease, "word", false, known}, kPrefix, "n1"));
    for (const auto& kv : read.kvs) {
      if (kv.key == "decision") return std::to_string(kv.mod_revision == written.revision) + kv.value;
    }
    return std::string("none");
  };
  EXPECT_EQ(value_with(0), "1d");
  EXPECT_EQ(value_with(written.revision - 1), "1d");
  EXPECT_EQ(value_with(written.revision), "1");
  EXPECT_EQ(value_with(written.revision + 100), "1d");  // of a time that a backup has undone

  pb::LeaseKeepAliveResponse kept;
  kept.set_id(lease.lease);
  kept.set_ttl(3);
  EXPECT_TRUE(FromEtcd(etcd::Status{}, kept).ok);
  kept.set_ttl(0);
  EXPECT_TRUE(FromEtcd(etcd::Status{}, kept).lease_gone);
}

TEST(EtcdCalls, UtilizationIsReadOnlyIfItIsANumberFromZeroToOne) {
  EXPECT_EQ(UtilIn("inflight=7,queue=2,util=0.61"), 0.61);
  EXPECT_EQ(UtilIn("util=1"), 1.0);
  for (const char* text : {"", "util", "util=", "util=-0.1", "util=1.01", "util=nan", "util=0.5x",
                           "utility=0.5", "inflight=3", ",,,", "util=1e999"})
    EXPECT_FALSE(UtilIn(text)) << text;
}

TEST(EvacuationPlan, CheapestReceiversAreFilledFirstAndTheRestIsUnplaced) {
  zone_failover::Decision d;
  d.zones.resize(4);
  const auto set = [&](std::size_t z, double carried, double limit) {
    d.zones[z].served = carried;
    d.zones[z].limit = limit;
    d.zones[z].demand = carried;
  };
  set(0, 10, 20), set(1, 5, 8), set(2, 5, 20), set(3, 1, 50);
  d.zones[3].state = zone_failover::ZoneState::kDegraded;  // is no help
  zone_failover::ZoneLinks links{zone_failover::Matrix(4, 2), zone_failover::Matrix(4, 1)};
  links.transfer_price.at(0, 2) = 2;
  const auto plan = zone_failover::PlanEvacuation(d, links, 500, 0);
  ASSERT_EQ(plan.receivers.size(), 2u);
  EXPECT_EQ(plan.receivers[0].zone, 1u);
  EXPECT_EQ(plan.receivers[0].planned_load, 8);
  EXPECT_EQ(plan.receivers[1].planned_load, 12);
  EXPECT_EQ(plan.unplaced_load, 0);
  links.round_trip_ms.at(0, 2) = 300;  // too far to be of help in time
  EXPECT_EQ(zone_failover::PlanEvacuation(d, links, 500, 0).unplaced_load, 7);
}

}  // namespace
}  // namespace badgerbridge::proxy_main
