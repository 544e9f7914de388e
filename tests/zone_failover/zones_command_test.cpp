// SPDX-License-Identifier: Apache-2.0
//
// `badgerbridge-ctl zones` against a stand-in etcd.
#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "zone_failover/decision.h"
#include "zone_failover/zones_fixture.h"

namespace badgerbridge::zone_failover {
namespace {

namespace json = boost::json;
namespace pb = etcdserverpb;
using standins::CommandResult;
using testing::ZonesTest;

const std::string kPrefix = "/badgerbridge/regions/";

/// Runs the tool with etcd records written by the test.
class ZonesCommandTest : public ZonesTest {
 protected:
  /// Writes a decision for two zones.
  void WriteDecision(std::uint64_t epoch, double limit_of_b, ZoneState a = ZoneState::kHealthy) {
    Decision decision;
    decision.epoch = epoch;
    decision.leader = "n7";
    decision.zones.resize(2);
    decision.zones[0] = {a, 20, 20, 10, 10, 3, 1, a == ZoneState::kHealthy ? "" : "it fails"};
    decision.zones[1] = {ZoneState::kHealthy, limit_of_b, limit_of_b, 5, 5, 2, 0, ""};
    decision.grants = decision.grant_ceiling = decision.standby = Matrix(2);
    decision.grants.at(0, 1) = 3;
    etcd->Put(kPrefix + "decision", Encode(decision));
  }
  pb::RangeResponse ReadOrder(int zone) {
    pb::RangeRequest request;
    request.set_key(kPrefix + "orders/" + std::to_string(zone));
    pb::RangeResponse response;
    EXPECT_TRUE(etcd->store().Range(request, &response).ok());
    return response;
  }
  int LeaseCount() {
    pb::LeaseLeasesResponse response;
    etcd->store().Leases(&response);
    return response.leases_size();
  }
};

TEST_F(ZonesCommandTest, WithoutADecisionCommandsFail) {
  CommandResult result = Ctl({});
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.err.find("no proxy has decided anything yet; 0 take part"), std::string::npos)
      << result.err;
  result = Ctl({"evacuate", "a", "--for", "1m", "--force"});
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.err.find("nobody would follow"), std::string::npos) << result.err;
  EXPECT_EQ(ReadOrder(0).kvs_size(), 0);
  EXPECT_EQ(Ctl({"history"}).code, 0);
  etcd->Put(kPrefix + "decision", "{\"v\":7}");
  for (const char* command : {"", "history"}) {
    result = Ctl(*command ? std::vector<std::string>{command} : std::vector<std::string>{});
    EXPECT_EQ(result.code, 1);
    EXPECT_NE(result.err.find("can't be read: not of version 1"), std::string::npos) << result.err;
  }
  // Missing or unsuitable files, and invalid arguments.
  EXPECT_EQ(site->Ctl({"zones"}).code, 2);
  EXPECT_EQ(site->Ctl({"zones", "--operator", site->folder() + "/none.toml"}).code, 2);
  site->Write("alone.toml", "[regions]\ndecide = \"alone\"\nzones = [\"a\"]\n");
  EXPECT_NE(site->Ctl({"zones", "--operator", site->folder() + "/alone.toml"}).err.find("decide alone"),
            std::string::npos);
  for (const char* duration : {"10ms", "169h", "soon"})
    EXPECT_EQ(Ctl({"evacuate", "a", "--for", duration}).code, 2);
}

TEST_F(ZonesCommandTest, EvacuationBeyondSpareCapacityIsRejectedUnlessForced) {
  WriteDecision(3, 8);
  for (const char* option : {"--dry-run", "--as=x"}) {
    const CommandResult rejected = Ctl({"evacuate", "a", "--for", "1m", option});
    EXPECT_EQ(rejected.code, 1);
    EXPECT_NE(rejected.out.find("a carries 10.00"), std::string::npos) << rejected.out;
    EXPECT_NE(rejected.out.find("no room for 7.00 of it"), std::string::npos) << rejected.out;
    EXPECT_EQ(ReadOrder(0).kvs_size(), 0) << option;
  }
  EXPECT_EQ(LeaseCount(), 0);
  ASSERT_EQ(Ctl({"evacuate", "a", "--for", "1m", "--force", "--as", "x"}).code, 0);
  ASSERT_EQ(ReadOrder(0).kvs_size(), 1);
  EXPECT_EQ(ReadOrder(0).kvs(0).value(), "x");
  EXPECT_NE(ReadOrder(0).kvs(0).lease(), 0);  // the order expires with its lease
  EXPECT_EQ(LeaseCount(), 1);
  // With enough spare capacity --force is not needed, and a dry run writes nothing.
  WriteDecision(4, 80);
  const CommandResult dry = Ctl({"evacuate", "b", "--for", "1m", "--dry-run", "-o", "json"});
  EXPECT_EQ(dry.code, 0);
  EXPECT_EQ(json::parse(dry.out).at("result").as_string(), "dry run");
  EXPECT_EQ(json::parse(dry.out).at("receivers").as_array()[0].at("would").to_number<double>(), 15);
  EXPECT_EQ(ReadOrder(1).kvs_size(), 0);
}

TEST_F(ZonesCommandTest, OnlyOneOfTwoConcurrentOrdersSucceedsAndNoLeaseIsLeft) {
  WriteDecision(3, 80);
  etcd->BeforeTxn([this] {
    if (ReadOrder(0).kvs_size() == 0) etcd->Put(kPrefix + "orders/0", "somebody");
  });
  const CommandResult second = Ctl({"evacuate", "a", "--for", "1m"});
  EXPECT_EQ(second.code, 3);
  EXPECT_NE(second.err.find("somebody else has just given an order"), std::string::npos) << second.err;
  EXPECT_EQ(ReadOrder(0).kvs(0).value(), "somebody");
  EXPECT_EQ(LeaseCount(), 0);
  EXPECT_NE(Ctl({"evacuate", "a", "--for", "1m"}).err.find("already, by somebody"), std::string::npos);
}

TEST_F(ZonesCommandTest, HistoryEndsWhereEtcdIsCompacted) {
  WriteDecision(1, 8);
  WriteDecision(2, 8, ZoneState::kUnavailable);
  const std::int64_t second = etcd->store().revision();
  WriteDecision(3, 8);
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

}  // namespace
}  // namespace badgerbridge::zone_failover
