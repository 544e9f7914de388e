// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-ctl members, end to end: tool, agent and proxies as processes, a stand-in etcd.
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <climits>
#include <csignal>

#include "membership/etcd_source.h"
#include "membership/member_codec.h"
#include "standins/etcd.h"
#include "standins/site.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;
using namespace standins;
using membership::EtcdSource;
using membership::Member;
using membership::SerializeMember;
using std::chrono::milliseconds;

const std::string kPrefix = "/badgerbridge/converters/";

/// Two proxies, an agent, three backends and a stand-in etcd.
class MembersCommandTest : public ::testing::Test {
 protected:
  MembersCommandTest() {
    SiteSettings settings;
    settings.proxies = 2;
    settings.backends = 3;
    site = std::make_unique<Site>(io, settings);
    etcd = std::make_unique<Etcd>(io, EtcdSettings{});
    const auto at = etcd->address(0);
    address = at.address().to_string() + ":" + std::to_string(at.port());
    for (int i = 0; i < 2; ++i)
      site->Write(site->Name(i) + ".toml", "[control]\nsocket = \"" + site->folder() + "/" + site->Name(i) +
                                               ".sock\"\n[etcd]\nendpoints = [\"" + address + "\"]\n");
    for (int i = 0; i < 3; ++i) Put(i);
  }
  /// Starts the agent and waits until both proxies have the backends.
  void Start() {
    site->StartAgent();
    ASSERT_TRUE(site->Until([&] { return site->All("ready") && All("c-3", "ready"); }));
  }
  /// Writes a backend's key, by its own name or under another's.
  void Put(int i, const std::string& key = "") {
    Member member;
    member.name = "c-" + std::to_string(i + 1);
    member.address = site->backends()[static_cast<std::size_t>(i)]->address();
    member.zone = "a";
    member.group = 1;
    etcd->Put(kPrefix + (key.empty() ? member.name : key), SerializeMember(member));
  }
  /// The state of a member at one proxy, with " held" where its departure is held back; "": not in its list.
  std::string StateAt(const std::string& instance, const std::string& name) {
    const http_api::Reply reply = site->Call("GET", "/v1/instances/" + instance + "/members");
    if (!reply.ok()) return reply.ErrorMessage();
    for (const json::value& member : reply.body.at("members").as_array()) {
      if (member.at("name").as_string() == name)
        return std::string(member.at("state").as_string()) + (member.at("held").as_bool() ? " held" : "");
    }
    return "";
  }
  /// Whether both proxies have a member in this state.
  bool All(const std::string& name, const std::string& state) {
    return StateAt("n1", name) == state && StateAt("n2", name) == state;
  }

  boost::asio::io_context io{1};
  std::unique_ptr<Site> site;
  std::unique_ptr<Etcd> etcd;
  std::string address;
};

TEST_F(MembersCommandTest, ShowsTheLedgerAndWritesDrainsByCompareAndSwap) {
  Start();
  Put(0, "c-x");  // names another than its key
  ASSERT_TRUE(site->Until([&] { return site->Ctl({"members", "n1"}).out.find("c-x") != std::string::npos; }));
  CommandResult result = site->Ctl({"members"});
  EXPECT_EQ(result.code, 0) << result.err;
  for (const char* part :
       {"INSTANCE", "n1", "n2", "c-1", "ready", "etcd: ready", "etcd (authority, current, revision",
        "etcd is watching", "names \"c-1\", and not what its key does; the last good entry stays"})
    EXPECT_NE(result.out.find(part), std::string::npos) << part << " in\n" << result.out;

  // By its lease and all else that the value holds: kept.
  pb::LeaseGrantRequest grant;
  grant.set_ttl(600);
  grant.set_id(42);
  pb::LeaseGrantResponse lease;
  ASSERT_TRUE(etcd->store().Grant(EtcdStore::Millis(EtcdSource::Now()), grant, &lease).ok());
  pb::PutRequest bind;
  bind.set_key(kPrefix + "c-2");
  bind.set_ignore_value(true);
  bind.set_lease(42);
  pb::PutResponse bound;
  ASSERT_TRUE(etcd->store().Put(bind, &bound).ok());
  etcd->Publish();

  const std::string file = site->folder() + "/n1.toml";
  result = site->Ctl({"members", "drain", "c-2", "--operator", file, "--dry-run"});
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_NE(result.out.find("would be written as draining"), std::string::npos) << result.out;
  EXPECT_TRUE(All("c-2", "ready"));
  etcd->Next(EtcdFault::kNoStatus);  // and made again
  result = site->Ctl({"members", "drain", "c-2", "--operator", file});
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_NE(result.out.find("written as draining at revision"), std::string::npos) << result.out;
  ASSERT_TRUE(site->Until([&] { return All("c-2", "draining"); }));
  pb::RangeRequest range;
  range.set_key(kPrefix + "c-2");
  pb::RangeResponse found;
  ASSERT_TRUE(etcd->store().Range(range, &found).ok());
  EXPECT_EQ(found.kvs(0).lease(), 42);
  EXPECT_NE(found.kvs(0).value().find("\"zone\":\"a\""), std::string::npos);

  result = site->Ctl({"members", "drain", "c-2", "c-none", "--etcd", address, "-o", "json"});
  EXPECT_EQ(result.code, 1);
  const json::value lines = json::parse(result.out);
  EXPECT_EQ(lines.at(0).at("result").as_string(), "done") << "it is already";
  EXPECT_EQ(lines.at(1).at("text").as_string(), "etcd has no key " + kPrefix + "c-none");
  result = site->Ctl({"members", "undrain", "c-2", "--etcd", address});
  EXPECT_EQ(result.code, 0) << result.err;
  ASSERT_TRUE(site->Until([&] { return All("c-2", "ready"); }));

  EXPECT_EQ(site->Ctl({"members", "drain", "c-2"}).code, 2) << "no endpoint of etcd is given";
  EXPECT_EQ(site->Ctl({"members", "drain", "c-2", "--etcd", "nowhere"}).code, 2);
  EXPECT_EQ(site->Ctl({"members", "drain", "c-2", "--operator", site->folder() + "/fleet.toml"}).code, 2);
  etcd->Down(0);
  result = site->Ctl({"members", "drain", "c-2", "--etcd", address, "--timeout", "300ms"});
  EXPECT_EQ(result.code, 5) << result.out;
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

TEST_F(MembersCommandTest, ServicesInTheFileRequireServiceAndName) {
  Member member;
  member.name = "c-1";
  member.address = "127.0.0.1:1";
  etcd->Put("/badgerbridge/services/billing/c-1", SerializeMember(member));
  site->Write("scoped.toml", "[etcd]\nendpoints = [\"" + address + "\"]\nservices = [\"billing\"]\n");
  const std::string file = site->folder() + "/scoped.toml";
  CommandResult result = site->Ctl({"members", "drain", "billing/c-1", "--operator", file});
  EXPECT_EQ(result.code, 0) << result.out << result.err;
  pb::RangeRequest range;
  range.set_key("/badgerbridge/services/billing/c-1");
  pb::RangeResponse found;
  ASSERT_TRUE(etcd->store().Range(range, &found).ok());
  EXPECT_NE(found.kvs(0).value().find("Terminating"), std::string::npos) << found.kvs(0).value();
  result = site->Ctl({"members", "register", "c-9", "--address", "127.0.0.1:1", "--zone", "a", "--group", "1",
                      "--operator", file});
  EXPECT_EQ(result.code, 2);
  EXPECT_NE(result.err.find("SERVICE/c-9 would be right"), std::string::npos) << result.err;
}

TEST_F(MembersCommandTest, AnotherWriterIsNeverOverwrittenAndOneThatNeverStopsIsAConflict) {
  // The backend itself writes its key between the tool's read and its transaction: once, then for ever.
  int writes = 0;
  int max_writes = 1;
  etcd->BeforeTxn([&] {
    if (writes >= max_writes) return;
    ++writes;
    Member member;
    member.name = "c-1";
    member.address = "127.0.0.1:" + std::to_string(1000 + writes);
    etcd->Put(kPrefix + "c-1", SerializeMember(member));
  });
  CommandResult result = site->Ctl({"members", "drain", "c-1", "--etcd", address});
  EXPECT_EQ(result.code, 0) << result.out;
  pb::RangeRequest range;
  range.set_key(kPrefix + "c-1");
  pb::RangeResponse found;
  ASSERT_TRUE(etcd->store().Range(range, &found).ok());
  EXPECT_NE(found.kvs(0).value().find("127.0.0.1:1001"), std::string::npos) << "what it wrote is kept";
  EXPECT_NE(found.kvs(0).value().find("Terminating"), std::string::npos);
  max_writes = INT_MAX;
  result = site->Ctl({"members", "undrain", "c-1", "--etcd", address});
  EXPECT_EQ(result.code, 0) << "it says so already: the other has written Ready";
  result = site->Ctl({"members", "drain", "c-1", "--etcd", address});
  EXPECT_EQ(result.code, 3) << result.out;
  EXPECT_NE(result.out.find("others write"), std::string::npos) << result.out;
}

TEST_F(MembersCommandTest, ARefusalByEtcdAndAnUnreadablePasswordAreReported) {
  EtcdSettings settings;
  settings.user = "tool";
  settings.password = "secret";
  Etcd guarded(io, settings);
  Member member;
  member.name = "c-1";
  member.address = "127.0.0.1:1";
  guarded.Put(kPrefix + "c-1", SerializeMember(member));
  const std::string at = "127.0.0.1:" + std::to_string(guarded.address(0).port());
  CommandResult result = site->Ctl({"members", "drain", "c-1", "--etcd", at});
  EXPECT_EQ(result.code, 4) << result.out;
  const std::string table = "[etcd]\nendpoints = [\"" + at + "\"]\nuser = \"tool\"\npassword_file = \"" +
                            site->folder() + "/password\"\n";
  site->Write("guarded.toml", table);
  result = site->Ctl({"members", "drain", "c-1", "--operator", site->folder() + "/guarded.toml"});
  EXPECT_EQ(result.code, 2);
  EXPECT_NE(result.err.find("cannot read a password from"), std::string::npos) << result.err;
  site->Write("password", "secret\n");
  result = site->Ctl({"members", "drain", "c-1", "--operator", site->folder() + "/guarded.toml"});
  EXPECT_EQ(result.code, 0) << result.out << result.err;
}

TEST_F(MembersCommandTest, AMassDepartureIsRetainedUntilReleasedByHand) {
  Start();
  for (const char* name : {"c-1", "c-2", "c-3"}) etcd->Delete(kPrefix + name);
  ASSERT_TRUE(site->Until([&] { return All("c-1", "ready held") || All("c-3", "ready held"); }));
  CommandResult result = site->Ctl({"members", "n1"});
  EXPECT_NE(result.out.find("HELD; if they have really left: badgerbridge-ctl members release n1"),
            std::string::npos)
      << result.out;
  EXPECT_EQ(site->Ctl({"members", "release"}).code, 2) << "the instance must be named";
  result = site->Ctl({"members", "release", "n1"});
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_NE(result.out.find("converters let go"), std::string::npos) << result.out;
  EXPECT_EQ(StateAt("n1", "c-3"), "");
  EXPECT_EQ(StateAt("n2", "c-3"), "ready held") << "each proxy by itself";
  EXPECT_NE(site->Read("state/audit.log").find("/v1/members/release"), std::string::npos);
  result = site->Ctl({"members", "release", "--all", "-o", "json"});
  EXPECT_EQ(result.code, 0);
  EXPECT_EQ(StateAt("n2", "c-3"), "");
}

TEST_F(MembersCommandTest, ARegistrationLastsAsLongAsItsCommand) {
  Start();
  const auto command =
      site->BeginCtl({"members", "register", "c-9", "--etcd", address, "--address", "127.0.0.1:9", "--zone",
                      "b", "--group", "1", "--ttl", "2s", "--drain-for", "1s"});
  ASSERT_TRUE(site->Until([&] { return All("c-9", "ready"); }));
  // A drain by hand stays, over several renewals of the lease.
  EXPECT_EQ(site->Ctl({"members", "drain", "c-9", "--etcd", address}).code, 0);
  site->For(milliseconds(2500));
  EXPECT_TRUE(All("c-9", "draining"));
  EXPECT_EQ(site->Ctl({"members", "undrain", "c-9", "--etcd", address}).code, 0);
  ASSERT_TRUE(site->Until([&] { return All("c-9", "ready"); }));
  site->Signal(command, SIGTERM);
  ASSERT_TRUE(site->Until([&] { return All("c-9", "draining"); })) << "first it says that it drains";
  ASSERT_TRUE(site->Until([&] { return All("c-9", ""); }));
  const CommandResult result = site->Finish(command);
  EXPECT_EQ(result.code, 0) << result.err;
  EXPECT_NE(result.err.find("c-9 is registered, lease"), std::string::npos) << result.err;
  EXPECT_EQ(site->Ctl({"members", "register", "c-9", "--etcd", address, "--address", "nowhere"}).code, 2);
  // One whose key somebody deletes ends by itself, and says why.
  const auto other = site->BeginCtl(
      {"members", "register", "c-8", "--etcd", address, "--address", "127.0.0.1:8", "--ttl", "1s"});
  ASSERT_TRUE(site->Until([&] { return All("c-8", "ready"); }));
  etcd->Delete(kPrefix + "c-8");
  const CommandResult deleted = site->Finish(other);
  EXPECT_EQ(deleted.code, 1);
  EXPECT_NE(deleted.err.find("its key was deleted by somebody else"), std::string::npos) << deleted.err;
}

TEST_F(MembersCommandTest, AMissingTableAndAStoppedProxyAreReported) {
  site->Write("n2.toml", "[control]\nsocket = \"" + site->folder() + "/n2.sock\"\n");
  site->StartAgent();
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  CommandResult result = site->Ctl({"members", "n2"});
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.err.find("no ledger here: the operator's file has no [etcd] table"), std::string::npos);
  EXPECT_EQ(site->Ctl({"members", "release", "n2"}).code, 1);
  // An instance that hangs is told from one that does not run.
  kill(site->PidOf("n1"), SIGSTOP);
  result = site->Ctl({"members", "n1"});
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.err.find("the instance does not answer: no answer within 1000 ms"), std::string::npos)
      << result.err;
  kill(site->PidOf("n1"), SIGCONT);
  ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "ready"; }));
  EXPECT_EQ(site->Ctl({"stop", "n1"}).code, 0);
  result = site->Ctl({"members", "n1"});
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.err.find("the instance n1 does not run"), std::string::npos) << result.err;
  site->KillAgent(SIGKILL);
  result = site->Ctl({"members"});
  EXPECT_EQ(result.code, 5);
  EXPECT_EQ(result.out, "");
  EXPECT_EQ(site->Ctl({"status"}).out, "") << "no table where nobody answers";
}

}  // namespace
}  // namespace badgerbridge::cli
