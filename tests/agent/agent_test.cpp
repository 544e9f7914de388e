// SPDX-License-Identifier: Apache-2.0
//
// The agent apart from orders: status, supervision, clocks, logs, disk failures and malformed requests, with
// badgerbridge-agent, badgerbridge-ctl and badgerbridge as processes, against simulated peers on loopback.
#include "agent/agent.h"

#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "agent_fixture.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace standins;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(AgentTest, StatusGetLogsAndWatchShowInstances) {
  StartReady(2);
  Clients clients(io, site->addresses(), {100, milliseconds(1500), 3});
  ASSERT_TRUE(site->Until([&] { return clients.ready() == 2; }));
  clients.Start();
  ASSERT_TRUE(site->Until([&] { return clients.account().served >= 60; }));
  clients.Stop();
  ASSERT_TRUE(site->Until([&] { return clients.Done(); }));
  EXPECT_EQ(clients.account().lost, 0u);
  const CommandResult status = site->Ctl({"status"});
  EXPECT_EQ(status.code, 0) << status.err;
  EXPECT_NE(status.out.find("INSTANCE"), std::string::npos);
  EXPECT_EQ(status.out.find('\x1b'), std::string::npos) << "colors are only for terminals";
  const CommandResult get = site->Ctl({"get", "n1"});
  for (const char* expected : {"certify", "c-2", "healthy", "SLOWNESS"})
    EXPECT_NE(get.out.find(expected), std::string::npos) << get.out;
  const CommandResult twice = site->Ctl({"watch", "--count", "2", "--every", "10ms"});
  EXPECT_EQ(twice.code, 0);
  EXPECT_NE(twice.out.find("INSTANCE", twice.out.find("INSTANCE") + 1), std::string::npos);
  std::uint64_t taken_requests = 0;
  const CommandResult json_status = site->Ctl({"status", "-o", "json"});
  const json::value answer = json::parse(json_status.out);
  for (const json::value& one : answer.at("agents").at("bay-1").at("instances").as_array())
    taken_requests += one.at("requests").at("taken").to_number<std::uint64_t>();
  EXPECT_EQ(taken_requests, clients.account().sent);
  std::ofstream(site->folder() + "/state/logs/n1.log", std::ios::app) << "first\nsecond \x01\xff\nthird\n";
  EXPECT_NE(site->Ctl({"logs", "n1", "--lines", "2"}).out.find("second ??\nthird\n"), std::string::npos);
  EXPECT_EQ(site->Ctl({"status", "-o", "names"}).out, "n1\nn2\n");
}

TEST_F(AgentTest, CrashedInstanceIsRestartedAndCrashLoopIsGivenUp) {
  Start(3, "most_backoff = \"300ms\"\n");
  std::string text = site->FleetText(3);
  const auto replace = [&](const std::string& instance, const std::string& from, const std::string& to) {
    const std::size_t at = text.find(from, text.find("name = \"" + instance + "\""));
    ASSERT_NE(at, std::string::npos);
    text.replace(at, from.size(), to);
  };
  replace("n2", Binary("badgerbridge"), "/bin/true");
  site->Write("fleet.toml", text);
  asio::ip::tcp::acceptor occupied(io, site->addresses()[2]);  // the address of n3
  site->StartAgent();
  ASSERT_TRUE(
      site->Until([&] { return site->StateOf("n2") == "failed" && site->StateOf("n3") == "failed"; }));
  EXPECT_NE(
      std::string(site->Instance("n2").at("gave_up").as_string()).find("the last time it exited with 0"),
      std::string::npos);
  EXPECT_NE(std::string(site->Instance("n3").at("gave_up").as_string()).find("Address already in use"),
            std::string::npos);
  ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "ready"; }));
  const pid_t pid = site->PidOf("n1");
  kill(pid, SIGKILL);
  ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "ready" && site->PidOf("n1") != pid; }));
  occupied.close();
  EXPECT_EQ(site->Ctl({"start", "n3"}).code, 0);
}

TEST_F(AgentTest, ToolReportsFailuresByItsExitCode) {
  StartReady(1);
  EXPECT_EQ(site->Ctl({"drain"}).code, 2);
  EXPECT_EQ(site->Ctl({"drain", "n9"}).code, 2);
  EXPECT_EQ(site->Ctl({"nothing"}).code, 2);
  EXPECT_EQ(site->Ctl({"drain", "n1", "--deadline", "5"}).code, 2);
  EXPECT_EQ(site->Ctl({"drain", "n1", "--force-after", "1s"}).code, 2)
      << "force-after is not valid for a drain";
  EXPECT_EQ(site->Ctl({"orders", "unknown"}).code, 2);
  EXPECT_EQ(site->Ctl({"stop", "n1", "--against", "99"}).code, 3);
  EXPECT_EQ(site->Ctl({"check", site->folder() + "/fleet.toml"}).code, 0);
  EXPECT_EQ(site->Ctl({"check", site->folder() + "/n1.toml"}).code, 0);
  site->Write("bad.toml", "[control]\n");
  EXPECT_EQ(site->Ctl({"check", site->folder() + "/bad.toml"}).code, 1);
  EXPECT_NE(
      site->Ctl({"completion", "bash"}).out.find("complete -F _badgerbridge_ctl badgerbridge-ctl badgerctl"),
      std::string::npos);
  EXPECT_EQ(site->Ctl({"drain", "n1", "--dry-run"}).out.find("done"), std::string::npos);
  EXPECT_EQ(site->StateOf("n1"), "ready");
  site->KillAgent(SIGKILL);
  EXPECT_EQ(site->Ctl({"drain", "n1", "--timeout", "1s"}).code, 5);
  EXPECT_EQ(site->Ctl({"status"}).code, 5);
}

TEST_F(AgentTest, WallClockJumpChangesNothing) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizer runtime must be loaded before LD_PRELOAD libraries";
#endif
  SiteSettings settings;
  settings.proxies = 2;
  settings.agent_environment = {
      std::string("LD_PRELOAD=") + CLOCK_SHIM_PATH,
      "CLOCK_SHIM=" + ::testing::TempDir() + "clock_shim_" + std::to_string(getpid())};
  const std::string clock_file = settings.agent_environment[1].substr(11);
  std::ofstream(clock_file, std::ios::trunc) << "0\n";
  site = std::make_unique<Site>(io, settings);
  site->StartAgent();
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  for (const long jump_seconds : {-400L * 86400, 400L * 86400}) {
    const auto command = site->BeginCtl({"drain", "n1", "-o", "json", "--deadline", "20s"});
    ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "draining"; }));
    std::ofstream(clock_file, std::ios::trunc) << jump_seconds << '\n';
    const CommandResult drained = site->Finish(command);
    EXPECT_EQ(ResultOf(drained, "n1"), "done: drained");
    EXPECT_LT(drained.took, seconds(15)) << "the deadline must not depend on the wall clock";
    // The wall clock of the agent did jump: the recorded time of the order shows it.
    ASSERT_EQ(site->Ctl({"undrain", "n1"}).code, 0);
    const http_api::Reply orders = site->Call("GET", "/v1/orders");
    const auto at =
        orders.body.at("orders").as_array().back().at("accepted_unix_ms").to_number<std::int64_t>();
    const auto wall =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    EXPECT_GT(std::abs(at - wall.count()), 300L * 86400 * 1000);
    // The restart backoff uses the monotonic clock, so a killed instance is restarted.
    const pid_t pid = site->PidOf("n2");
    kill(pid, SIGKILL);
    ASSERT_TRUE(site->Until([&] { return site->PidOf("n2") != pid && site->StateOf("n2") == "ready"; }))
        << json::serialize(site->Instance("n2")) << site->Read("agent.err")
        << site->Read("state/logs/n2.log");
  }
  std::filesystem::remove(clock_file);
}

TEST_F(AgentTest, GrowingLogIsBounded) {
  StartReady(1, "log_kib = 64\npoll = \"100ms\"\n");
  const std::string path = site->folder() + "/state/logs/n1.log";
  for (int i = 0; i < 40; ++i) std::ofstream(path, std::ios::app) << std::string(16 << 10, 'x') << '\n';
  ASSERT_TRUE(site->Until([&] { return std::filesystem::file_size(path) < (64 << 10); }));
  EXPECT_LE(std::filesystem::file_size(path + ".1"), 64u << 10);
}

/// Fails writes with ENOSPC while `is_full` is set.
struct FullDisk : Disk {
  bool is_full = false;
  std::error_code Write(int file, std::string_view bytes) override {
    return is_full ? std::error_code(ENOSPC, std::generic_category()) : Disk::Write(file, bytes);
  }
};

TEST_F(AgentTest, FullDiskRejectsNewOrdersAndKeepsInstancesRunning) {
  Start(2);
  operator_config::Problems problems;
  const FleetFile file = LoadFleetFile(site->folder() + "/fleet.toml", problems);
  ASSERT_EQ(operator_config::FormatProblems(problems), "");
  const auto disk = std::make_shared<FullDisk>();
  const std::unique_ptr<Agent> agent = std::move(Agent::Create(io, file, disk).value());
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  disk->is_full = true;
  const std::string order = R"({"id":"o1","verb":"drain","instances":["n1"]})";
  http_api::Reply reply = site->Call("POST", "/v1/orders", order);
  EXPECT_EQ(reply.status, 507u) << reply.ErrorMessage();
  EXPECT_NE(reply.ErrorMessage().find("No space left"), std::string::npos);
  EXPECT_EQ(agent->controller().generation(), 0u);
  EXPECT_EQ(agent->controller().FindOrder("o1"), nullptr);
  const pid_t pid = site->PidOf("n2");
  kill(pid, SIGKILL);  // supervision does not need the disk
  ASSERT_TRUE(site->Until([&] { return site->PidOf("n2") != pid && site->StateOf("n2") == "ready"; }));
  EXPECT_NE(site->Call("GET", "/v1/status").body.at("disk").as_string(), "ok");
  EXPECT_EQ(site->Call("POST", "/v1/orders", order).status, 507u);
  disk->is_full = false;
  ASSERT_TRUE(site->Until([&] { return site->Call("POST", "/v1/orders", order).status != 507u; }));
  ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "drained"; }));
}

TEST_F(AgentTest, MalformedBodyIsRejectedAndChangesNothing) {
  StartReady(1);
  for (const char* body :
       {"", "{", "[]", R"({"id":"x"})", R"({"id":"x","verb":"drain"})",
        R"({"id":7,"verb":"drain","instances":["n1"]})", R"({"id":"x","verb":"drain","instances":"n1"})",
        R"({"id":"x","verb":"drain","instances":["n1"],"more":1})",
        R"({"id":"x","verb":"apply","instances":["n1"]})",
        R"({"id":"x","verb":"drain","instances":["n1"],"at_most":-1})",
        R"({"id":"x","verb":"drain","instances":["n1"],"deadline_ms":0})"})
    EXPECT_EQ(site->Call("POST", "/v1/orders", body).status, 400u) << body;
  EXPECT_EQ(site->Call("GET", "/v1/nothing").status, 404u);
  EXPECT_EQ(site->Call("GET", "/v1/logs/..%2f..%2fstate").status, 404u);
  EXPECT_EQ(site->Call("GET", "/v1/orders").body.at("generation").to_number<int>(), 0);
}

}  // namespace
}  // namespace badgerbridge::agent
