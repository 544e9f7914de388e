// SPDX-License-Identifier: Apache-2.0
//
// Orders with badgerbridge-agent, badgerbridge-ctl and badgerbridge as processes, against simulated peers on
// loopback.
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "agent_fixture.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace standins;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(AgentTest, DrainUndrainStopAndStartReportTheirOutcome) {
  StartReady();
  const CommandResult drained = site->Ctl({"drain", "n1", "bay-1/n2", "-o", "json"});
  EXPECT_EQ(drained.code, 0) << drained.err;
  EXPECT_EQ(ResultOf(drained, "n1"), "done: drained");
  EXPECT_EQ(ResultOf(drained, "n2"), "done: drained");
  EXPECT_EQ(site->StateOf("n2"), "drained");
  EXPECT_EQ(site->StateOf("n3"), "ready");
  EXPECT_EQ(ResultOf(site->Ctl({"undrain", "--state", "drained", "-o", "json"}), "n1"), "done: takes work");
  EXPECT_EQ(ResultOf(site->Ctl({"stop", "--label", "zone=b", "-o", "json"}), "n2"), "done: stopped");
  EXPECT_EQ(site->StateOf("n2"), "stopped");
  const CommandResult not_running = site->Ctl({"drain", "n2"});
  EXPECT_EQ(not_running.code, 1);
  EXPECT_NE(not_running.out.find("does not run; it last exited with 0"), std::string::npos)
      << not_running.out;
  EXPECT_EQ(ResultOf(site->Ctl({"start", "n2", "-o", "json"}), "n2"), "done: ready");
  // The audit log records the author, the order and its results.
  const std::string audit = site->Read("state/audit.log");
  for (const char* expected :
       {R"("what":"order")", R"("verb":"stop")", R"("text":"stopped")", R"("who":"uid )"})
    EXPECT_NE(audit.find(expected), std::string::npos) << expected;
  const CommandResult orders = site->Ctl({"orders"});
  EXPECT_NE(orders.out.find("undrain"), std::string::npos) << orders.out;
}

TEST_F(AgentTest, HungInstanceFailsAloneAndIsKilledOnlyWithForceAfter) {
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
  EXPECT_EQ(ResultOf(drained, "n1"), "done: drained");
  EXPECT_EQ(ResultOf(drained, "n3"), "done: drained");
  EXPECT_EQ(
      ResultOf(drained, "n2").find("failed: not in time: telling it to drain (no answer within 1000 ms)"), 0u)
      << ResultOf(drained, "n2");
  const auto sigterm_time = std::chrono::steady_clock::now();  // at the SIGTERM or slightly later
  const CommandResult stop = site->Ctl({"stop", "n2", "--deadline", "1s", "-o", "json"});
  EXPECT_EQ(ResultOf(stop, "n2").find("failed: not in time: waiting for its end after SIGTERM"), 0u);
  EXPECT_EQ(kill(pid, 0), 0) << "without force_after the process is not killed";
  const CommandResult force =
      site->Ctl({"stop", "n2", "--force-after", "500ms", "--deadline", "5s", "-o", "json"});
  EXPECT_GE(std::chrono::steady_clock::now() - sigterm_time, milliseconds(3700));
  EXPECT_EQ(ResultOf(force, "n2").find("done: stopped; killed after "), 0u) << ResultOf(force, "n2");
  EXPECT_NE(ResultOf(force, "n2").find(" s, as force_after said"), std::string::npos)
      << ResultOf(force, "n2");
  EXPECT_EQ(site->StateOf("n2"), "stopped");
}

TEST_F(AgentTest, InstanceThatNeverDrainsDelaysNoOther) {
  StartReady();
  // Clients that ignore the drain of the proxy: a request every 100 ms, each on a new connection.
  auto stop = std::make_shared<bool>(false);
  int sent_count = 0;
  const auto send_requests = [&, stop]() -> asio::awaitable<void> {
    while (!*stop) {
      asio::ip::tcp::socket socket(io);
      co_await socket.async_connect(site->addresses()[1], asio::use_awaitable);
      const std::string text =
          "GET /preview HTTP/1.1\r\nHost: x\r\nX-Service-Class: preview\r\nX-Correlation-Id: i" +
          std::to_string(++sent_count) + "\r\nX-Time-Left-Ms: 900\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
      asio::steady_timer timer(io, milliseconds(100));
      co_await timer.async_wait(asio::use_awaitable);
    }
  };
  asio::co_spawn(io, send_requests(), asio::detached);
  ASSERT_TRUE(site->Until([&] { return sent_count > 3; }));
  const CommandResult drained = site->Ctl({"drain", "--all", "--deadline", "4s", "-o", "json"});
  EXPECT_EQ(drained.code, 1);
  EXPECT_EQ(ResultOf(drained, "n1"), "done: drained");
  EXPECT_EQ(ResultOf(drained, "n3"), "done: drained");
  EXPECT_EQ(ResultOf(drained, "n2").find("failed: not in time: draining ("), 0u) << ResultOf(drained, "n2");
  EXPECT_NE(ResultOf(drained, "n2").find("it goes on draining"), std::string::npos);
  EXPECT_EQ(site->StateOf("n2"), "draining");
  *stop = true;
  EXPECT_TRUE(site->Until([&] { return site->StateOf("n2") == "drained"; }));
}

TEST_F(AgentTest, ConflictingOrderIsRejectedAlsoAfterTheAgentWasKilled) {
  StartReady();
  kill(site->PidOf("n2"), SIGSTOP);  // so that the first order stays open
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
  EXPECT_EQ(Pids(), before) << "all instances are adopted, none is started again";
  const CommandResult third = site->Ctl({"stop", "n2"});
  EXPECT_EQ(third.code, 3) << third.err;
  const CommandResult again =
      site->Ctl({"drain", "--all", "--id", "first", "--deadline", "20s", "--no-wait", "-o", "json"});
  EXPECT_EQ(again.code, 0) << "a repeated order id must succeed: " << again.err;
  const CommandResult takes_over =
      site->Ctl({"stop", "n2", "--supersede", "--force-after", "0ms", "--deadline", "10s", "-o", "json"});
  EXPECT_EQ(takes_over.code, 0) << takes_over.err << takes_over.out;
  const CommandResult first_result = site->Finish(first);
  EXPECT_EQ(first_result.code, 1);
  EXPECT_EQ(ResultOf(first_result, "n1"), "done: drained");
  EXPECT_EQ(ResultOf(first_result, "n2").find("superseded: superseded by order "), 0u)
      << ResultOf(first_result, "n2");
}

TEST_F(AgentTest, AgentKilledDuringADrainAdoptsInstancesAndFinishesIt) {
  StartReady();
  const auto pids = Pids();
  const auto command = site->BeginCtl({"drain", "--all", "-o", "json"});
  ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "draining"; }));
  site->KillAgent(SIGKILL);
  // A partial batch, as a crash during a write leaves it.
  std::ofstream(site->folder() + "/state/state", std::ios::app | std::ios::binary)
      << "0badc0de 99 [{\"order\":";
  site->StartAgent();
  const CommandResult drained = site->Finish(command);
  EXPECT_EQ(drained.code, 0) << drained.err;
  for (const char* name : {"n1", "n2", "n3"}) EXPECT_EQ(ResultOf(drained, name), "done: drained");
  EXPECT_EQ(Pids(), pids);
  EXPECT_NE(site->Read("agent.err").find("bytes of the state file are an incomplete batch; dropping them"),
            std::string::npos);
  // A second agent on the same state directory must exit with an error.
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

TEST_F(AgentTest, RollUnderLoadNeitherLosesNorRepeatsRequests) {
  StartReady(4);
  Clients clients(io, site->addresses(), {150, milliseconds(1500), 5});
  ASSERT_TRUE(site->Until([&] { return clients.ready() == 4; }));
  clients.Start();
  const auto before = Pids();
  const CommandResult rolled = site->Ctl({"roll", "--all", "--at-most", "2", "-o", "json"});
  EXPECT_EQ(rolled.code, 0) << rolled.err << rolled.out;
  for (const char* name : {"n1", "n4"}) EXPECT_EQ(ResultOf(rolled, name), "done: restarted, ready");
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

TEST_F(AgentTest, RollHaltsAtTheFirstInstanceThatFails) {
  StartReady(3, "most_backoff = \"300ms\"\n");
  site->Write("n2.json", "{ bad");
  const CommandResult rolled = site->Ctl({"roll", "--all", "-o", "json"});
  EXPECT_EQ(rolled.code, 1);
  EXPECT_EQ(ResultOf(rolled, "n1"), "done: restarted, ready");
  EXPECT_NE(ResultOf(rolled, "n2").find("given up after 5 deaths in a row"), std::string::npos)
      << ResultOf(rolled, "n2");
  EXPECT_NE(ResultOf(rolled, "n2").find("the configuration is not JSON"), std::string::npos)
      << ResultOf(rolled, "n2");
  EXPECT_EQ(ResultOf(rolled, "n3"), "not begun: not begun: the order halted when n2 failed");
  EXPECT_EQ(site->StateOf("n2"), "failed");
  EXPECT_EQ(site->StateOf("n3"), "ready");
  site->Write("n2.json", site->ConfigText("n2"));
  EXPECT_EQ(site->Ctl({"start", "n2"}).code, 0);
}

TEST_F(AgentTest, ReloadIsConfirmedOrRejectedByTheInstance) {
  StartReady(2);
  EXPECT_EQ(ResultOf(site->Ctl({"reload", "n1", "-o", "json"}), "n1"), "done: reloaded");
  site->Write("n1.json", "{ bad");
  const CommandResult rejected = site->Ctl({"reload", "--all", "-o", "json"});
  EXPECT_EQ(rejected.code, 1);
  EXPECT_EQ(ResultOf(rejected, "n1").find("failed: refused the configuration: the configuration is not JSON"),
            0u);
  EXPECT_EQ(ResultOf(rejected, "n2"), "done: reloaded");
  EXPECT_EQ(site->StateOf("n1"), "ready");
}

TEST_F(AgentTest, ApplyChangesOnlyWhatDiffers) {
  StartReady(2);
  const auto before = Pids();
  EXPECT_EQ(site->Ctl({"diff", site->folder() + "/fleet.toml"}).out, "nothing to change\n");
  std::string text = site->FleetText(2);
  text.replace(text.rfind("labels = {"), 10, "limits = { descriptors = 512 }\nlabels = {");  // n2
  site->Write("new.toml", text);
  const CommandResult diff = site->Ctl({"diff", site->folder() + "/new.toml"});
  EXPECT_NE(diff.out.find("descriptors: 0 -> 512"), std::string::npos) << diff.out;
  const CommandResult dry_run = site->Ctl({"apply", site->folder() + "/new.toml", "--dry-run"});
  EXPECT_NE(dry_run.out.find("would be asked"), std::string::npos) << dry_run.out << dry_run.err;
  EXPECT_EQ(Pids(), before);
  const CommandResult applied = site->Ctl({"apply", site->folder() + "/new.toml", "-o", "json"});
  EXPECT_EQ(applied.code, 0) << applied.err;
  EXPECT_EQ(ResultOf(applied, "n2"), "done: applied, ready");
  EXPECT_EQ(Pids().at("n1"), before.at("n1"));
  EXPECT_NE(Pids().at("n2"), before.at("n2"));
  // The applied definitions persist over a restart of the agent. The old file is not applied automatically.
  site->KillAgent(SIGTERM);
  const auto running_pid = before.at("n1");
  EXPECT_EQ(kill(running_pid, 0), 0) << "instances outlive the agent";
  site->StartAgent();
  EXPECT_NE(site->Read("agent.err").find("differs from what was last applied in 1 instances"),
            std::string::npos);
  site->Write("one.toml", site->FleetText(1));
  EXPECT_EQ(ResultOf(site->Ctl({"apply", site->folder() + "/one.toml", "-o", "json"}), "n2"),
            "done: removed");
  EXPECT_EQ(Pids().count("n2"), 0u);
  site->Write("bad.toml", text + "typo = 1\n");
  const CommandResult bad = site->Ctl({"apply", site->folder() + "/bad.toml"});
  EXPECT_EQ(bad.code, 2);
  EXPECT_NE(bad.err.find("typo is no key here"), std::string::npos) << bad.err;
  EXPECT_EQ(Pids().at("n1"), before.at("n1"));
}

}  // namespace
}  // namespace badgerbridge::agent
