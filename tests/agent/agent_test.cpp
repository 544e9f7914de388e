// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-agent, badgerbridge-ctl and badgerbridge as processes, against stand-ins on loopback.
#include "agent/agent.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "http_api/client.h"
#include "standins/certificates.h"
#include "standins/site.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace standins;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What one line of `badgerbridge-ctl ... -o json` says.
std::string LineOf(const CommandResult& result, const std::string& instance) {
  boost::system::error_code error;
  const json::value answer = json::parse(result.out, error);
  if (error || !answer.is_array()) return result.out + result.err;
  for (const json::value& agent : answer.as_array()) {
    if (!agent.as_object().contains("order")) return std::string(agent.at("error").as_string());
    for (const json::value& part : agent.at("order").at("instances").as_array()) {
      if (part.at("instance").as_string() == instance)
        return std::string(part.at("result").as_string()) + ": " + std::string(part.at("text").as_string());
    }
  }
  return "no line";
}

class AgentTest : public ::testing::Test {
 protected:
  void Start(int proxies = 3, const std::string& agent_extra = "") {
    SiteSettings settings;
    settings.proxies = proxies;
    settings.backends = 3;
    settings.service = milliseconds(10);
    settings.agent_extra = agent_extra;
    site = std::make_unique<Site>(io, settings);
  }
  void StartReady(int proxies = 3, const std::string& agent_extra = "") {
    Start(proxies, agent_extra);
    site->StartAgent();
    ASSERT_TRUE(site->Until([&] { return site->All("ready"); })) << site->Read("agent.err");
  }
  std::map<std::string, pid_t> Pids() {
    std::map<std::string, pid_t> pids;
    const http_api::Reply reply = site->Call("GET", "/v1/status");
    for (const json::value& one : reply.body.at("instances").as_array())
      pids[std::string(one.at("name").as_string())] = one.at("pid").to_number<pid_t>();
    return pids;
  }

  asio::io_context io{1};
  std::unique_ptr<Site> site;
};

TEST_F(AgentTest, StartsDrainsUndrainsStopsAndSaysWhatEachDid) {
  StartReady();
  const CommandResult drained = site->Ctl({"drain", "n1", "bay-1/n2", "-o", "json"});
  EXPECT_EQ(drained.code, 0) << drained.err;
  EXPECT_EQ(LineOf(drained, "n1"), "done: drained");
  EXPECT_EQ(LineOf(drained, "n2"), "done: drained");
  EXPECT_EQ(site->StateOf("n2"), "drained");
  EXPECT_EQ(site->StateOf("n3"), "ready");
  EXPECT_EQ(LineOf(site->Ctl({"undrain", "--state", "drained", "-o", "json"}), "n1"), "done: takes work");
  EXPECT_EQ(LineOf(site->Ctl({"stop", "--label", "zone=b", "-o", "json"}), "n2"), "done: stopped");
  EXPECT_EQ(site->StateOf("n2"), "stopped");
  const CommandResult not_running = site->Ctl({"drain", "n2"});
  EXPECT_EQ(not_running.code, 1);
  EXPECT_NE(not_running.out.find("does not run; it last exited with 0"), std::string::npos)
      << not_running.out;
  EXPECT_EQ(LineOf(site->Ctl({"start", "n2", "-o", "json"}), "n2"), "done: ready");
  // The account is on disk: who, what, when, result.
  const std::string audit = site->Read("state/audit.log");
  for (const char* expected :
       {R"("what":"order")", R"("verb":"stop")", R"("text":"stopped")", R"("who":"uid )"})
    EXPECT_NE(audit.find(expected), std::string::npos) << expected;
  const CommandResult orders = site->Ctl({"orders"});
  EXPECT_NE(orders.out.find("undrain"), std::string::npos) << orders.out;
}

TEST_F(AgentTest, StatusGetLogsAndWatchTellWhatIsThere) {
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
  EXPECT_EQ(status.out.find('\x1b'), std::string::npos) << "no colors but on a terminal";
  const CommandResult get = site->Ctl({"get", "n1"});
  for (const char* expected : {"certify", "c-2", "healthy", "SLOWNESS"})
    EXPECT_NE(get.out.find(expected), std::string::npos) << get.out;
  const CommandResult twice = site->Ctl({"watch", "--count", "2", "--every", "10ms"});
  EXPECT_EQ(twice.code, 0);
  EXPECT_NE(twice.out.find("INSTANCE", twice.out.find("INSTANCE") + 1), std::string::npos);
  std::uint64_t taken = 0;
  const CommandResult whole = site->Ctl({"status", "-o", "json"});
  const json::value answer = json::parse(whole.out);
  for (const json::value& one : answer.at("agents").at("bay-1").at("instances").as_array())
    taken += one.at("requests").at("taken").to_number<std::uint64_t>();
  EXPECT_EQ(taken, clients.account().sent);
  std::ofstream(site->folder() + "/state/logs/n1.log", std::ios::app) << "first\nsecond \x01\xff\nthird\n";
  EXPECT_NE(site->Ctl({"logs", "n1", "--lines", "2"}).out.find("second ??\nthird\n"), std::string::npos);
  EXPECT_EQ(site->Ctl({"status", "-o", "names"}).out, "n1\nn2\n");
}

TEST_F(AgentTest, OneThatHangsIsItsOwnMatterAndIsKilledOnlyWhereTheOrderSaysSo) {
  StartReady();
  const CommandResult before = site->Ctl({"drain", "--all", "-o", "json"});
  ASSERT_EQ(before.code, 0);
  ASSERT_EQ(site->Ctl({"undrain", "--all"}).code, 0);
  const pid_t pid = site->PidOf("n2");
  kill(pid, SIGSTOP);
  const auto command = site->BeginCtl({"drain", "--all", "--deadline", "6s", "-o", "json"});
  ASSERT_TRUE(
      site->Until([&] { return site->StateOf("n1") == "drained" && site->StateOf("n3") == "drained"; }));
  ASSERT_TRUE(site->Until([&] { return site->Instance("n2").contains("doing"); }));
  EXPECT_NE(std::string(site->Instance("n2").at("doing").as_string()).find("telling it to drain"),
            std::string::npos);
  const CommandResult drained = site->Finish(command);
  EXPECT_EQ(drained.code, 1);
  EXPECT_EQ(LineOf(drained, "n1"), "done: drained");
  EXPECT_EQ(LineOf(drained, "n3"), "done: drained");
  EXPECT_EQ(LineOf(drained, "n2").find("failed: not in time: telling it to drain (no answer within 1000 ms)"),
            0u)
      << LineOf(drained, "n2");
  const auto terminated = std::chrono::steady_clock::now();  // or a little later
  const CommandResult stop = site->Ctl({"stop", "n2", "--deadline", "1s", "-o", "json"});
  EXPECT_EQ(LineOf(stop, "n2").find("failed: not in time: waiting for its end after SIGTERM"), 0u);
  EXPECT_EQ(kill(pid, 0), 0) << "nobody said that it may be killed";
  const CommandResult force =
      site->Ctl({"stop", "n2", "--force-after", "500ms", "--deadline", "5s", "-o", "json"});
  EXPECT_GE(std::chrono::steady_clock::now() - terminated, milliseconds(3700));
  EXPECT_EQ(LineOf(force, "n2").find("done: stopped; killed after "), 0u) << LineOf(force, "n2");
  EXPECT_NE(LineOf(force, "n2").find(" s, as force_after said"), std::string::npos) << LineOf(force, "n2");
  EXPECT_EQ(site->StateOf("n2"), "stopped");
}

TEST_F(AgentTest, OneThatTakesTheDrainOrderAndNeverGetsQuietHoldsUpNobody) {
  StartReady();
  // Clients that ask no front: one request every 100 ms, each on a connection of its own.
  auto stop = std::make_shared<bool>(false);
  int asked = 0;
  const auto insist = [&, stop]() -> asio::awaitable<void> {
    while (!*stop) {
      asio::ip::tcp::socket socket(io);
      co_await socket.async_connect(site->addresses()[1], asio::use_awaitable);
      const std::string text =
          "GET /preview HTTP/1.1\r\nHost: x\r\nX-Service-Class: preview\r\nX-Correlation-Id: i" +
          std::to_string(++asked) + "\r\nX-Time-Left-Ms: 900\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
      asio::steady_timer timer(io, milliseconds(100));
      co_await timer.async_wait(asio::use_awaitable);
    }
  };
  asio::co_spawn(io, insist(), asio::detached);
  ASSERT_TRUE(site->Until([&] { return asked > 3; }));
  const CommandResult drained = site->Ctl({"drain", "--all", "--deadline", "4s", "-o", "json"});
  EXPECT_EQ(drained.code, 1);
  EXPECT_EQ(LineOf(drained, "n1"), "done: drained");
  EXPECT_EQ(LineOf(drained, "n3"), "done: drained");
  EXPECT_EQ(LineOf(drained, "n2").find("failed: not in time: draining ("), 0u) << LineOf(drained, "n2");
  EXPECT_NE(LineOf(drained, "n2").find("it goes on draining"), std::string::npos);
  EXPECT_EQ(site->StateOf("n2"), "draining");
  *stop = true;
  EXPECT_TRUE(site->Until([&] { return site->StateOf("n2") == "drained"; }));
}

TEST_F(AgentTest, ConflictingOrdersFromTwoToolsAlsoWithTheAgentKilledBetween) {
  StartReady();
  kill(site->PidOf("n2"), SIGSTOP);  // so that the first stays open
  const auto first =
      site->BeginCtl({"drain", "--all", "--deadline", "20s", "--id", "first", "--as", "ana", "-o", "json"});
  ASSERT_TRUE(site->Until([&] { return site->Call("GET", "/v1/orders/first").ok(); }));
  const CommandResult second = site->Ctl({"stop", "n2", "--as", "bela"});
  EXPECT_EQ(second.code, 3);
  for (const char* expected : {"n2 is held by drain (order first, generation 1)", "(ana)", "--supersede"})
    EXPECT_NE(second.err.find(expected), std::string::npos) << second.err;

  const auto before = Pids();
  site->KillAgent(SIGKILL);
  EXPECT_EQ(site->Ctl({"status", "--timeout", "300ms"}).code, 5);
  site->StartAgent();
  EXPECT_EQ(Pids(), before) << "adopted, and none started again";
  const CommandResult third = site->Ctl({"stop", "n2"});
  EXPECT_EQ(third.code, 3) << third.err;
  const CommandResult again =
      site->Ctl({"drain", "--all", "--id", "first", "--deadline", "20s", "--no-wait", "-o", "json"});
  EXPECT_EQ(again.code, 0) << "the same order again is the same order: " << again.err;
  const CommandResult takes_over =
      site->Ctl({"stop", "n2", "--supersede", "--force-after", "0ms", "--deadline", "10s", "-o", "json"});
  EXPECT_EQ(takes_over.code, 0) << takes_over.err << takes_over.out;
  const CommandResult told = site->Finish(first);
  EXPECT_EQ(told.code, 1);
  EXPECT_EQ(LineOf(told, "n1"), "done: drained");
  EXPECT_EQ(LineOf(told, "n2").find("superseded: superseded by order "), 0u) << LineOf(told, "n2");
}

TEST_F(AgentTest, AnAgentThatDiesMidDrainComesBackAdoptsAndFinishes) {
  StartReady();
  const auto pids = Pids();
  const auto command = site->BeginCtl({"drain", "--all", "-o", "json"});
  ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "draining"; }));
  site->KillAgent(SIGKILL);
  // Half a batch, as a crash in the midst of a write leaves it.
  std::ofstream(site->folder() + "/state/state", std::ios::app | std::ios::binary)
      << "0badc0de 99 [{\"order\":";
  site->StartAgent();
  const CommandResult drained = site->Finish(command);
  EXPECT_EQ(drained.code, 0) << drained.err;
  for (const char* name : {"n1", "n2", "n3"}) EXPECT_EQ(LineOf(drained, name), "done: drained");
  EXPECT_EQ(Pids(), pids);
  EXPECT_NE(site->Read("agent.err").find("torn and are dropped"), std::string::npos);
  // Two agents never keep one state.
  const pid_t second = fork();
  if (second == 0) {
    if (!std::freopen("/dev/null", "w", stderr)) _exit(9);
    execl(Binary("badgerbridge-agent").c_str(), "badgerbridge-agent", "--fleet",
          (site->folder() + "/fleet.toml").c_str(), static_cast<char*>(nullptr));
    _exit(9);
  }
  int status = 0;
  waitpid(second, &status, 0);
  EXPECT_EQ(WEXITSTATUS(status), 1);
}

TEST_F(AgentTest, ARollUnderLoadLosesAndDoublesNothing) {
  StartReady(4);
  Clients clients(io, site->addresses(), {150, milliseconds(1500), 5});
  ASSERT_TRUE(site->Until([&] { return clients.ready() == 4; }));
  clients.Start();
  const auto before = Pids();
  const CommandResult rolled = site->Ctl({"roll", "--all", "--at-most", "2", "-o", "json"});
  EXPECT_EQ(rolled.code, 0) << rolled.err << rolled.out;
  for (const char* name : {"n1", "n4"}) EXPECT_EQ(LineOf(rolled, name), "done: restarted, ready");
  site->For(milliseconds(500));
  clients.Stop();
  ASSERT_TRUE(site->Until([&] { return clients.Done(); }));
  for (const auto& [name, pid] : Pids()) EXPECT_NE(pid, before.at(name));
  EXPECT_GT(clients.account().served, 200u);
  EXPECT_EQ(clients.account().lost, 0u);
  EXPECT_EQ(clients.account().doubled + site->ledger().doubled(), 0u);
  EXPECT_EQ(clients.account().unsent, 0u);
  EXPECT_EQ(site->ledger().malformed, 0u);
}

TEST_F(AgentTest, ARollHaltsAtTheFirstThatDoesNotComeBack) {
  StartReady(3, "most_backoff = \"300ms\"\n");
  site->Write("n2.json", "{ bad");
  const CommandResult rolled = site->Ctl({"roll", "--all", "-o", "json"});
  EXPECT_EQ(rolled.code, 1);
  EXPECT_EQ(LineOf(rolled, "n1"), "done: restarted, ready");
  EXPECT_NE(LineOf(rolled, "n2").find("given up after 5 deaths in a row"), std::string::npos)
      << LineOf(rolled, "n2");
  EXPECT_NE(LineOf(rolled, "n2").find("the configuration is not JSON"), std::string::npos)
      << LineOf(rolled, "n2");
  EXPECT_EQ(LineOf(rolled, "n3"), "not begun: not begun: the order halted when n2 failed");
  EXPECT_EQ(site->StateOf("n2"), "failed");
  EXPECT_EQ(site->StateOf("n3"), "ready");
  site->Write("n2.json", site->ConfigText("n2"));
  EXPECT_EQ(site->Ctl({"start", "n2"}).code, 0);
}

TEST_F(AgentTest, OneThatDiesIsStartedAgainAndOneThatExitsByItselfOrFindsItsAddressTakenIsGivenUp) {
  Start(3, "most_backoff = \"300ms\"\n");
  std::string text = site->FleetText(3);
  const auto replace = [&](const std::string& instance, const std::string& from, const std::string& to) {
    const std::size_t at = text.find(from, text.find("name = \"" + instance + "\""));
    ASSERT_NE(at, std::string::npos);
    text.replace(at, from.size(), to);
  };
  replace("n2", Binary("badgerbridge"), "/bin/true");
  site->Write("fleet.toml", text);
  asio::ip::tcp::acceptor taken(io, site->addresses()[2]);  // n3's
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
  taken.close();
  EXPECT_EQ(site->Ctl({"start", "n3"}).code, 0);
}

TEST_F(AgentTest, ReloadsAreConfirmedOrRefusedByTheInstance) {
  StartReady(2);
  EXPECT_EQ(LineOf(site->Ctl({"reload", "n1", "-o", "json"}), "n1"), "done: reloaded");
  site->Write("n1.json", "{ bad");
  const CommandResult refused = site->Ctl({"reload", "--all", "-o", "json"});
  EXPECT_EQ(refused.code, 1);
  EXPECT_EQ(LineOf(refused, "n1").find("failed: refused the configuration: the configuration is not JSON"),
            0u);
  EXPECT_EQ(LineOf(refused, "n2"), "done: reloaded");
  EXPECT_EQ(site->StateOf("n1"), "ready");
}

TEST_F(AgentTest, ApplyChangesWhatDiffersAndNothingElse) {
  StartReady(2);
  const auto before = Pids();
  EXPECT_EQ(site->Ctl({"diff", site->folder() + "/fleet.toml"}).out, "nothing to change\n");
  std::string text = site->FleetText(2);
  text.replace(text.rfind("labels = {"), 10, "limits = { descriptors = 512 }\nlabels = {");  // n2
  site->Write("new.toml", text);
  const CommandResult diff = site->Ctl({"diff", site->folder() + "/new.toml"});
  EXPECT_NE(diff.out.find("descriptors: 0 -> 512"), std::string::npos) << diff.out;
  const CommandResult dry = site->Ctl({"apply", site->folder() + "/new.toml", "--dry-run"});
  EXPECT_NE(dry.out.find("would be asked"), std::string::npos) << dry.out << dry.err;
  EXPECT_EQ(Pids(), before);
  const CommandResult applied = site->Ctl({"apply", site->folder() + "/new.toml", "-o", "json"});
  EXPECT_EQ(applied.code, 0) << applied.err;
  EXPECT_EQ(LineOf(applied, "n2"), "done: applied, ready");
  EXPECT_EQ(Pids().at("n1"), before.at("n1"));
  EXPECT_NE(Pids().at("n2"), before.at("n2"));
  // What was applied outlives the agent; the old file is not taken again by itself.
  site->KillAgent(SIGTERM);
  const auto running = before.at("n1");
  EXPECT_EQ(kill(running, 0), 0) << "instances outlive the agent";
  site->StartAgent();
  EXPECT_NE(site->Read("agent.err").find("differs from what was last applied in 1 instances"),
            std::string::npos);
  site->Write("one.toml", site->FleetText(1));
  EXPECT_EQ(LineOf(site->Ctl({"apply", site->folder() + "/one.toml", "-o", "json"}), "n2"), "done: removed");
  EXPECT_EQ(Pids().count("n2"), 0u);
  site->Write("bad.toml", text + "typo = 1\n");
  const CommandResult bad = site->Ctl({"apply", site->folder() + "/bad.toml"});
  EXPECT_EQ(bad.code, 2);
  EXPECT_NE(bad.err.find("typo is no key here"), std::string::npos) << bad.err;
  EXPECT_EQ(Pids().at("n1"), before.at("n1"));
}

TEST_F(AgentTest, TheToolSaysWhatIsWrongByItsExitCode) {
  StartReady(1);
  EXPECT_EQ(site->Ctl({"drain"}).code, 2);
  EXPECT_EQ(site->Ctl({"drain", "n9"}).code, 2);
  EXPECT_EQ(site->Ctl({"nothing"}).code, 2);
  EXPECT_EQ(site->Ctl({"drain", "n1", "--deadline", "5"}).code, 2);
  EXPECT_EQ(site->Ctl({"drain", "n1", "--force-after", "1s"}).code, 2) << "not for a drain";
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

TEST_F(AgentTest, AJumpOfTheWallClockChangesNothing) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizers want to be the first library of a program";
#endif
  SiteSettings settings;
  settings.proxies = 2;
  settings.agent_environment = {
      std::string("LD_PRELOAD=") + CLOCK_SHIM_PATH,
      "CLOCK_SHIM=" + ::testing::TempDir() + "clock_shim_" + std::to_string(getpid())};
  const std::string file = settings.agent_environment[1].substr(11);
  std::ofstream(file, std::ios::trunc) << "0\n";
  site = std::make_unique<Site>(io, settings);
  site->StartAgent();
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  for (const long jump : {-400L * 86400, 400L * 86400}) {
    const auto command = site->BeginCtl({"drain", "n1", "-o", "json", "--deadline", "20s"});
    ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "draining"; }));
    std::ofstream(file, std::ios::trunc) << jump << '\n';
    const CommandResult drained = site->Finish(command);
    EXPECT_EQ(LineOf(drained, "n1"), "done: drained");
    EXPECT_LT(drained.took, seconds(15)) << "by the other clock";
    // The clock did jump, for the agent: it is what the account's dates say.
    ASSERT_EQ(site->Ctl({"undrain", "n1"}).code, 0);
    const http_api::Reply orders = site->Call("GET", "/v1/orders");
    const auto at =
        orders.body.at("orders").as_array().back().at("accepted_unix_ms").to_number<std::int64_t>();
    const auto wall =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    EXPECT_GT(std::abs(at - wall.count()), 300L * 86400 * 1000);
    // One that dies is started again, by the clock that did not jump.
    const pid_t pid = site->PidOf("n2");
    kill(pid, SIGKILL);
    ASSERT_TRUE(site->Until([&] { return site->PidOf("n2") != pid && site->StateOf("n2") == "ready"; }))
        << json::serialize(site->Instance("n2")) << site->Read("agent.err")
        << site->Read("state/logs/n2.log");
  }
  std::filesystem::remove(file);
}

TEST_F(AgentTest, LogsAreBounded) {
  StartReady(1, "log_kib = 64\npoll = \"100ms\"\n");
  const std::string path = site->folder() + "/state/logs/n1.log";
  for (int i = 0; i < 40; ++i) std::ofstream(path, std::ios::app) << std::string(16 << 10, 'x') << '\n';
  ASSERT_TRUE(site->Until([&] { return std::filesystem::file_size(path) < (64 << 10); }));
  EXPECT_LE(std::filesystem::file_size(path + ".1"), 64u << 10);
}

// The agent's own disk, in this process, to make it fail.
struct BadDisk : Disk {
  bool bad = false;
  int Write(int file, std::string_view bytes) override { return bad ? ENOSPC : Disk::Write(file, bytes); }
};

TEST_F(AgentTest, AFullDiskRefusesNewOrdersAndKeepsTheInstancesRunning) {
  Start(2);
  operator_config::Problems problems;
  const FleetFile file = LoadFleet(site->folder() + "/fleet.toml", problems);
  ASSERT_EQ(operator_config::Lines(problems), "");
  const auto disk = std::make_shared<BadDisk>();
  Agent agent(io, file, disk);
  ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  disk->bad = true;
  const std::string order = R"({"id":"o1","verb":"drain","instances":["n1"]})";
  http_api::Reply reply = site->Call("POST", "/v1/orders", order);
  EXPECT_EQ(reply.status, 507u) << reply.Why();
  EXPECT_NE(reply.Why().find("No space left"), std::string::npos);
  EXPECT_EQ(agent.fleet().generation(), 0u);
  EXPECT_EQ(agent.fleet().FindOrder("o1"), nullptr);
  const pid_t pid = site->PidOf("n2");
  kill(pid, SIGKILL);  // supervision goes on without a disk
  ASSERT_TRUE(site->Until([&] { return site->PidOf("n2") != pid && site->StateOf("n2") == "ready"; }));
  EXPECT_NE(site->Call("GET", "/v1/status").body.at("disk").as_string(), "ok");
  EXPECT_EQ(site->Call("POST", "/v1/orders", order).status, 507u);
  disk->bad = false;
  ASSERT_TRUE(site->Until([&] { return site->Call("POST", "/v1/orders", order).status != 507u; }));
  ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "drained"; }));
}

TEST_F(AgentTest, BadBodiesAreOneLineAndChangeNothing) {
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

// ---- over TLS ---------------------------------------------------------------------------------------------
class TlsTest : public AgentTest {
 protected:
  void StartTls() {
    Start(1);
    const std::string& folder = site->folder();
    ca.Write(folder + "/ca.pem");
    ca.Issue("bay-1", folder + "/agent");
    ca.Issue("reader", folder + "/reader");
    ca.Issue("operator", folder + "/operator");
    ca.Issue("stranger", folder + "/stranger");
    ca.Issue("operator", folder + "/expired", -7200, -3600);
    other.Write(folder + "/other-ca.pem");
    other.Issue("operator", folder + "/forged");
    std::string text = site->FleetText(1);
    const std::size_t at = text.find("\n[[instance]]");
    text.insert(at, "max_connections = 8\n[agent.tls]\nlisten = \"127.0.0.1:0\"\ncertificate = \"" + folder +
                        "/agent.pem\"\nkey = \"" + folder + "/agent.key\"\nclient_ca = \"" + folder +
                        "/ca.pem\"\nroles = { reader = \"reader\", operator = \"operator\" }\n");
    site->Write("fleet.toml", text);
    operator_config::Problems problems;
    const FleetFile file = LoadFleet(folder + "/fleet.toml", problems);
    ASSERT_EQ(operator_config::Lines(problems), "");
    agent = std::make_unique<Agent>(io, file);
    ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  }
  http_api::Reply As(const std::string& who, const std::string& method, const std::string& path,
                     const std::string& body = "") {
    http_api::Target target;
    target.address = *agent->tls_address();
    const std::string& folder = site->folder();
    target.files = {folder + "/" + who + ".pem", folder + "/" + who + ".key", folder + "/ca.pem"};
    auto reply = std::make_shared<std::optional<http_api::Reply>>();
    asio::co_spawn(io, http_api::Call(target, method, path, body, milliseconds(8000)),
                   [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
    EXPECT_TRUE(site->Until([&] { return reply->has_value(); }));
    return **reply;
  }

  Authority ca{"test authority"}, other{"another authority"};
  std::unique_ptr<Agent> agent;
};

const char kDrain[] = R"({"id":"o1","verb":"drain","instances":["n1"]})";

TEST_F(TlsTest, ACertificatesNameHasARole) {
  StartTls();
  EXPECT_EQ(As("reader", "GET", "/v1/status").status, 200u);
  const http_api::Reply refused = As("reader", "POST", "/v1/orders", kDrain);
  EXPECT_EQ(refused.status, 403u);
  EXPECT_EQ(refused.Why(), "cn reader has the role reader; this takes operator");
  EXPECT_EQ(As("stranger", "GET", "/v1/status").status, 403u);
  EXPECT_EQ(As("operator", "POST", "/v1/apply", "{}").status, 403u);
  EXPECT_EQ(As("reader", "POST", "/v1/instances/n1/members/release", "{}").status, 403u);
  EXPECT_EQ(As("reader", "GET", "/v1/instances/n9/members").status, 404u);
  EXPECT_EQ(As("operator", "POST", "/v1/orders", kDrain).status, 202u);
  const std::string audit = site->Read("state/audit.log");
  EXPECT_NE(audit.find(R"("who":"cn reader","what":"not allowed")"), std::string::npos) << audit;
  EXPECT_NE(audit.find(R"("who":"cn operator","what":"order")"), std::string::npos) << audit;
}

TEST_F(TlsTest, NoCertificateAWrongOneOrAnExpiredOneGetsNoAnswer) {
  StartTls();
  for (const char* who : {"expired", "forged"}) {
    const http_api::Reply reply = As(who, "POST", "/v1/orders", kDrain);
    EXPECT_EQ(reply.status, 0u) << who;
    EXPECT_FALSE(reply.error.empty());
  }
  // Without any, and with an older TLS.
  for (const bool old : {false, true}) {
    asio::ssl::context context(asio::ssl::context::tls_client);
    if (old) SSL_CTX_set_max_proto_version(context.native_handle(), TLS1_2_VERSION);
    asio::ssl::stream<asio::ip::tcp::socket> stream(io, context);
    stream.next_layer().connect(*agent->tls_address());
    bool ended = false;
    std::string got(1024, '\0');
    boost::system::error_code result;
    const std::string request = "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.async_handshake(asio::ssl::stream_base::client, [&](boost::system::error_code error) {
      result = error;
      if (error) {
        ended = true;
        return;
      }
      // TLS 1.3: the client learns of its refusal with what it reads next.
      asio::async_write(stream, asio::buffer(request), [&](boost::system::error_code, std::size_t) {
        stream.async_read_some(asio::buffer(got), [&](boost::system::error_code read_error, std::size_t) {
          result = read_error;
          ended = true;
        });
      });
    });
    EXPECT_TRUE(site->Until([&] { return ended; }));
    EXPECT_TRUE(result.failed()) << got;
  }
  EXPECT_EQ(agent->fleet().generation(), 0u);
}

TEST_F(TlsTest, AHugeBodyHalfARequestAndManySilentConnectionsCostLittle) {
  StartTls();
  // A body of 1 GB is announced and refused at its head; nobody waits for it.
  {
    asio::ssl::context context(asio::ssl::context::tls_client);
    const std::string& folder = site->folder();
    context.use_certificate_chain_file(folder + "/operator.pem");
    context.use_private_key_file(folder + "/operator.key", asio::ssl::context::pem);
    asio::ssl::stream<asio::ip::tcp::socket> stream(io, context);
    stream.next_layer().connect(*agent->tls_address());
    const std::string request = "POST /v1/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 1073741824\r\n\r\n";
    std::string got;
    std::array<char, 4096> piece;
    bool ended = false;
    stream.async_handshake(asio::ssl::stream_base::client, [&](boost::system::error_code) {
      asio::async_write(stream, asio::buffer(request), [&](boost::system::error_code, std::size_t) {
        stream.async_read_some(asio::buffer(piece), [&](boost::system::error_code, std::size_t n) {
          got.assign(piece.data(), n);
          ended = true;
        });
      });
    });
    ASSERT_TRUE(site->Until([&] { return ended; }));
    EXPECT_EQ(got.rfind("HTTP/1.1 413", 0), 0u) << got;
  }
  std::vector<asio::ip::tcp::socket> silent;
  silent.reserve(500);
  for (int i = 0; i < 500; ++i) {
    silent.emplace_back(io);
    silent.back().async_connect(*agent->tls_address(), [&silent, i](boost::system::error_code error) {
      boost::system::error_code ignored;
      if (!error && i % 3 == 0)
        asio::write(silent[static_cast<std::size_t>(i)], asio::buffer("\x16\x03\x01", 3), ignored);
    });
  }
  // The control socket has places of its own; over TLS the next is answered once its turn has come.
  EXPECT_EQ(site->Call("GET", "/v1/status").status, 200u);
  EXPECT_TRUE(site->Until([&] { return As("reader", "GET", "/v1/status").status == 200u; }, seconds(60)));
}

// ---- processes --------------------------------------------------------------------------------------------
// How it ended, once it has.
std::string Awaited(const Process& process) {
  pollfd end{process.pidfd.get(), POLLIN, 0};
  EXPECT_EQ(poll(&end, 1, 20000), 1);
  return ReapProcess(process).value_or("it runs");
}

TEST(Process, ARecycledPidIsNeverTakenForAnInstance) {
  std::string folder = ::testing::TempDir() + "process_XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const Paths paths{folder + "/n1.lock", folder + "/n1.log"};
  Definition one;
  one.name = "n1";
  one.command = {"/bin/sleep", "100"};
  std::string error;
  auto process = StartProcess(one, paths, &error);
  ASSERT_TRUE(process) << error;
  EXPECT_EQ(StartTime(process->pid), process->started);
  // While it runs it is found, and not started a second time.
  const auto found = FindProcess(paths);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->pid, process->pid);
  EXPECT_EQ(found->started, process->started);
  EXPECT_FALSE(StartProcess(one, paths, &error));
  EXPECT_EQ(error, "already runs");
  EXPECT_FALSE(ReapProcess(*process)) << "it runs, and nobody waits for it";
  EXPECT_FALSE(ReapProcess(*found));
  EXPECT_TRUE(SendSignal(*found, SIGKILL));
  EXPECT_EQ(Awaited(*process).rfind("was killed by signal 9", 0), 0u);
  EXPECT_FALSE(FindProcess(paths));
  EXPECT_FALSE(SendSignal(*found, SIGKILL)) << "the pidfd is of the one that ended";
  // The file still names a pid; say that it belongs to somebody else by now.
  std::ofstream(paths.lock, std::ios::trunc) << getppid() << '\n';
  EXPECT_FALSE(FindProcess(paths));
  // And even if another process holds the lock, the pid in the file must be the holder's.
  int ready[2];
  ASSERT_EQ(pipe(ready), 0);
  const pid_t holder = fork();
  if (holder == 0) {
    const int file = open(paths.lock.c_str(), O_RDWR);
    const bool held = flock(file, LOCK_EX | LOCK_NB) == 0;
    if (write(ready[1], held ? "y" : "n", 1) != 1) _exit(1);
    for (;;) pause();
  }
  char held = 0;
  ASSERT_EQ(read(ready[0], &held, 1), 1);
  EXPECT_EQ(held, 'y');
  EXPECT_FALSE(StartProcess(one, paths, &error));
  EXPECT_FALSE(FindProcess(paths));
  kill(holder, SIGKILL);
  waitpid(holder, nullptr, 0);
  close(ready[0]);
  close(ready[1]);
  std::filesystem::remove_all(folder);
}

TEST(Process, WhatCannotBeStartedSaysWhy) {
  std::string folder = ::testing::TempDir() + "process_XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const Paths paths{folder + "/n1.lock", folder + "/n1.log"};
  Definition one;
  one.name = "n1";
  one.command = {"/no/such/program"};
  std::string error;
  EXPECT_FALSE(StartProcess(one, paths, &error));
  EXPECT_EQ(error, "cannot be started: /no/such/program: No such file or directory");
  one.command = {"/bin/true"};
  one.working_directory = "/no/such/folder";
  EXPECT_FALSE(StartProcess(one, paths, &error));
  EXPECT_EQ(error, "cannot be started: enter its working directory: No such file or directory");
  EXPECT_FALSE(StartProcess(one, {folder + "/no/lock", paths.log}, &error));
  EXPECT_FALSE(StartProcess(one, {paths.lock, folder + "/no/log"}, &error));
  one.working_directory.clear();
  one.command = {"/bin/sh", "-c", "echo $ROUTER_NAME $SET; ulimit -n; ls /proc/self/fd | wc -l"};
  one.environment = {{"SET", "yes"}};
  one.descriptors = 100;
  auto process = StartProcess(one, paths, &error);
  ASSERT_TRUE(process) << error;
  EXPECT_EQ(Awaited(*process), "exited with 0");
  std::ifstream log(paths.log);
  const std::string text((std::istreambuf_iterator<char>(log)), {});
  EXPECT_EQ(text, "n1 yes\n100\n5\n") << "standard streams, the lock, and the listing's own";
  EXPECT_EQ(LastLine(paths.log, 100), "5");
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace badgerbridge::agent
