// SPDX-License-Identifier: Apache-2.0
//
// A proxy process under load, with membership from a stand-in etcd and a stand-in discovery service.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "http_api/client.h"
#include "membership/member_codec.h"
#include "standins/backends.h"
#include "standins/clients.h"
#include "standins/discovery.h"
#include "standins/etcd.h"

namespace badgerbridge::proxy_main {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace standins;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

const std::string kPrefix = "/badgerbridge/converters/";

/// A proxy process, four backends, a stand-in discovery service, and a stand-in etcd with three members.
class ProxyWithEtcdTest : public ::testing::Test {
 protected:
  ProxyWithEtcdTest() {
    folder = ::testing::TempDir() + "node_etcd_XXXXXX";
    EXPECT_NE(mkdtemp(folder.data()), nullptr);
    EtcdSettings settings;
    settings.members = 3;
    etcd = std::make_unique<Etcd>(io, settings);
    for (int i = 0; i < 4; ++i) {
      BackendSettings one;
      one.name = "c" + std::to_string(i);
      one.service = milliseconds(5);
      one.seed = static_cast<std::uint64_t>(i + 1);
      backends.push_back(std::make_unique<Backend>(io, one, ledger));
    }
  }
  ~ProxyWithEtcdTest() override {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    std::filesystem::remove_all(folder);
  }
  /// A backend's entry in the format of discovery and etcd.
  Entry EntryOf(int i, const std::string& status = "Ready") {
    Entry entry;
    entry.name = "c" + std::to_string(i);
    entry.address = backends[static_cast<std::size_t>(i)]->address();
    entry.status = status;
    return entry;
  }
  /// Writes a backend's entry to etcd.
  void Write(int i, const std::string& status = "Ready") {
    const Entry entry = EntryOf(i, status);
    etcd->Put(kPrefix + entry.name, entry.Json());
  }
  /// An unused address in a loopback network that depends on the process id, to avoid collisions between
  /// tests.
  asio::ip::tcp::endpoint FreeAddress() {
    const auto third_octet = static_cast<unsigned char>(getpid() >> 8 & 127);
    const auto fourth_octet = static_cast<unsigned char>(getpid() % 250 + 1);
    asio::ip::tcp::acceptor free(io, {asio::ip::address_v4({127, 79, third_octet, fourth_octet}), 0});
    return free.local_endpoint();
  }
  /// A request class in the platform's configuration.
  static std::string ClassText(const std::string& name, const std::string& effect) {
    return R"({"name":")" + name + R"(","effect":")" + effect +
           R"(","group":"cell","windowMs":10000.0,"goalTimeMs":500.0,"deadlineMs":1500.0,"worth":1.0})";
  }
  /// The platform's configuration, with the proxy's and discovery's addresses.
  std::string ConfigText() {
    return R"({"name":"n1","listen":")" + tcp_address.address().to_string() + ":" +
           std::to_string(tcp_address.port()) + R"(","discovery":")" + discovery.address() +
           R"(","seed":"a5","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
           discovery.List() +
           R"(,"settings":{"balancers":1,"me":0,"zone":0,"zones":["a","b"],"kinds":["standard"],)"
           R"("tenants":[],"periodMs":5.0,"registryMode":")" +
           registry_mode + R"(","classes":[)" + ClassText("preview", "read_like") + "," +
           ClassText("convert", "idempotency_key") + "," + ClassText("certify", "non_idempotent") +
           R"(],"permissions":{"maxAttempts":4,"connectTimeoutMs":250.0,"connIdleMs":60000.0,)"
           R"("retryAfter":true,"maxRetryAfterMs":600.0},"rules":{"coldFrom":0.2,"warmUpMs":24000.0,)"
           R"("fallMultiple":2.5,"overloadForMs":3000.0,"drainGraceMs":500.0,"mustAskInMs":10000.0}}})";
  }
  /// The operator's file, which enables the admin API and membership from all etcd members.
  std::string OperatorText() {
    std::string endpoints;
    for (std::size_t i = 0; i < 3; ++i)
      endpoints += (i > 0 ? ", " : "") + ("\"127.0.0.1:" + std::to_string(etcd->address(i).port())) + "\"";
    return "[control]\nsocket = \"" + folder + "/c.sock\"\n[etcd]\nendpoints = [" + endpoints + "]\n";
  }
  void Start() {
    tcp_address = FreeAddress();
    std::ofstream(folder + "/config.json") << ConfigText();
    std::ofstream(folder + "/op.toml") << OperatorText();
    pid = fork();
    if (pid == 0) ExecuteProxy();
  }
  /// Replaces the child process by the proxy.
  [[noreturn]] void ExecuteProxy() {
    for (int number = 3; number < 1024; ++number) close(number);
    setenv("ROUTER_CONFIG", (folder + "/config.json").c_str(), 1);
    if (!std::freopen((folder + "/err").c_str(), "w", stderr)) _exit(126);
    execl(NODE_PATH, NODE_PATH, "--operator", (folder + "/op.toml").c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  /// Runs the event loop until `holds` returns true; returns false after 20 s.
  bool Until(const std::function<bool()>& holds) {
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (Clock::now() > deadline) return false;
      io.restart();
      io.run_for(milliseconds(5));
    }
    return true;
  }
  /// The membership ledger as reported by the admin API.
  json::value Members() {
    auto reply = std::make_shared<std::optional<http_api::Reply>>();
    asio::co_spawn(io, http_api::CallUnix(folder + "/c.sock", "GET", "/v1/members", "", milliseconds(3000)),
                   [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
    EXPECT_TRUE(Until([&] { return reply->has_value(); }));
    return (*reply)->ok() ? (*reply)->body : json::value(json::object{});
  }
  /// "STATE by DECISION" of a member; "gone" if it is not in the list.
  std::string StateOf(const std::string& name) {
    const json::value answer = Members();
    if (!answer.as_object().contains("members")) return "no answer";
    for (const json::value& member : answer.at("members").as_array()) {
      if (member.at("name").as_string() == name)
        return std::string(member.at("state").as_string()) + " by " +
               std::string(member.at("why").as_string());
    }
    return "gone";
  }

  asio::io_context io{1};
  std::string folder;
  standins::Ledger ledger;
  standins::Discovery discovery{io};
  std::string registry_mode = "push";  ///< "ask": discovery is polled.
  std::unique_ptr<Etcd> etcd;
  std::vector<std::unique_ptr<Backend>> backends;
  asio::ip::tcp::endpoint tcp_address;
  pid_t pid = -1;
};

TEST_F(ProxyWithEtcdTest, DrainInEtcdStopsNewWorkInTimeDespiteConnectionFaults) {
  for (int i = 0; i < 4; ++i) Write(i);
  Start();
  ASSERT_TRUE(Until([&] { return StateOf("c3") == "ready by etcd: ready"; }));
  Clients clients(io, {tcp_address}, {300, milliseconds(1500), 9});
  ASSERT_TRUE(Until([&] { return clients.ready() == 1; }));
  clients.Start();
  ASSERT_TRUE(Until([&] { return clients.account().served > 100; }));
  for (int round = 0; round < 6; ++round) {
    const int index = round % 4;
    Backend& backend = *backends[static_cast<std::size_t>(index)];
    std::size_t in_use = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      if (etcd->connections(i) > 0) in_use = i;
    }
    // The connection is healthy, silent, or closed while etcd compacts, at the time of the write.
    if (round % 3 == 1) etcd->Silence(in_use, true);
    if (round % 3 == 2) etcd->Down(in_use);
    const auto written = Clock::now();
    Write(index, "Terminating");
    if (round % 3 == 2) {
      etcd->Compact(etcd->store().revision());
      etcd->Up(in_use);
    }
    const auto until = written + milliseconds(1200);
    ASSERT_TRUE(Until([&] { return Clock::now() > until; }));
    EXPECT_LT(backend.last_taken(), written + milliseconds(500)) << "round " << round;
    EXPECT_EQ(StateOf("c" + std::to_string(index)), "draining by etcd: draining");
    if (round % 3 == 1) etcd->Silence(in_use, false);
    Write(index);
    const std::size_t taken = backend.taken();
    ASSERT_TRUE(Until([&] { return backend.taken() > taken; })) << "the backend must receive requests again";
  }
  clients.Stop();
  ASSERT_TRUE(Until([&] { return clients.Done(); }));
  EXPECT_EQ(clients.account().lost, 0u);
  EXPECT_EQ(clients.account().doubled, 0u);
  EXPECT_EQ(ledger.doubled(), 0u);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

TEST_F(ProxyWithEtcdTest, BurstOfRevisionsIsAppliedCompletely) {
  for (int i = 0; i < 4; ++i) Write(i);
  Start();
  ASSERT_TRUE(Until([&] { return StateOf("c3") == "ready by etcd: ready"; }));
  // Writes 400 members three times, of which the last counts; c0 drains between the writes.
  const auto write_members = [&](double weight, membership::MemberState state) {
    for (int i = 0; i < 400; ++i) {
      membership::Member one;
      one.name = "far" + std::to_string(i);
      one.address = backends[0]->address();
      one.weight = weight;
      one.state = state;
      etcd->Put(kPrefix + one.name, membership::SerializeMember(one));
    }
  };
  write_members(1, membership::MemberState::kReady);
  write_members(2, membership::MemberState::kReady);
  Write(0, "Terminating");
  write_members(3, membership::MemberState::kDraining);
  const auto backend_states = [&] {
    auto reply = std::make_shared<std::optional<http_api::Reply>>();
    asio::co_spawn(io,
                   http_api::CallUnix(folder + "/c.sock", "GET", "/v1/converters", "", milliseconds(3000)),
                   [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
    EXPECT_TRUE(Until([&] { return reply->has_value(); }));
    std::map<std::string, std::string> states;
    for (const json::value& one : (*reply)->body.at("converters").as_array())
      states[std::string(one.at("name").as_string())] = std::string(one.at("status").as_string());
    return states;
  };
  ASSERT_TRUE(
      Until([&] { return backend_states().size() == 404 && backend_states()["far399"] == "draining"; }));
  const auto states = backend_states();
  EXPECT_EQ(states.at("c0"), "draining");
  for (int i = 0; i < 400; ++i) EXPECT_EQ(states.at("far" + std::to_string(i)), "draining") << i;
  for (int i = 0; i < 400; ++i) etcd->Delete(kPrefix + "far" + std::to_string(i));
  ASSERT_TRUE(Until([&] { return backend_states().size() == 4; }));
}

TEST_F(ProxyWithEtcdTest, JoinsNeedEtcdAndDeparturesFromDiscoveryCountAtOnce) {
  for (int i = 0; i < 2; ++i) {
    Write(i);
    discovery.Set(EntryOf(i));
  }
  discovery.Set(EntryOf(2));  // in discovery, but not in etcd
  Start();
  ASSERT_TRUE(Until([&] { return StateOf("c1") == "ready by etcd: ready" && discovery.watches() == 1; }));
  ASSERT_TRUE(Until([&] { return StateOf("c2") == "gone"; }));
  Clients clients(io, {tcp_address}, {200, milliseconds(1500), 9});
  ASSERT_TRUE(Until([&] { return clients.ready() == 1; }));
  discovery.Remove("c1");
  ASSERT_TRUE(Until([&] { return StateOf("c1") == "gone"; }));
  const std::size_t before = backends[1]->taken();
  clients.Start();
  ASSERT_TRUE(Until([&] { return clients.account().served > 50; }));
  EXPECT_EQ(backends[1]->taken(), before);
  // Only the configuration and discovery listed c2, so it may have served until etcd reported, but not since.
  Write(2);
  const std::size_t taken = backends[2]->taken();
  ASSERT_TRUE(Until([&] { return backends[2]->taken() > taken; }));
  clients.Stop();
  ASSERT_TRUE(Until([&] { return clients.Done(); }));
  EXPECT_EQ(clients.account().lost, 0u);
}

// Guards against a change in etcd that is taken for an answer of discovery, which is then never polled again.
TEST_F(ProxyWithEtcdTest, ChangesInEtcdDoNotEndThePollsOfDiscovery) {
  constexpr int kChanges = 100;  // some fall between a failed call and the next
  registry_mode = "ask";
  for (int i = 0; i < 2; ++i) {
    Write(i);
    discovery.Set(EntryOf(i));
  }
  discovery.Down();
  Start();
  ASSERT_TRUE(Until([&] { return StateOf("c1") == "ready by etcd: ready"; }));
  for (int change = 0; change < kChanges; ++change) {
    const bool drains = change % 2 == 0;
    Write(1, drains ? "Terminating" : "Ready");
    const std::string expected = drains ? "draining by etcd: draining" : "ready by etcd: ready";
    ASSERT_TRUE(Until([&] { return StateOf("c1") == expected; }));
  }
  discovery.Up();
  EXPECT_TRUE(Until([&] { return discovery.watches() == 1; }));
  discovery.Remove("c1");
  EXPECT_TRUE(Until([&] { return StateOf("c1") == "gone"; }));
}

}  // namespace
}  // namespace badgerbridge::proxy_main
