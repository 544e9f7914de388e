// SPDX-License-Identifier: Apache-2.0
//
// Agent and tool under faulty peers and unusual environments: idle connections and incomplete requests on
// Unix sockets, another process on the control socket of an instance, a state file that needs compaction,
// terminals, shells, and missing permissions.
#include <gtest/gtest.h>
#include <pty.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "http_api/server.h"
#include "standins/site.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace standins;
using Local = asio::local::stream_protocol;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs an agent and proxies as processes.
class AgentRobustnessTest : public ::testing::Test {
 protected:
  /// Starts the agent, and waits until all proxies are ready. `agent_extra` contains further lines of the
  /// [agent] table.
  void Start(int proxies, const std::string& agent_extra = "") {
    SiteSettings settings;
    settings.proxies = proxies;
    settings.backends = 2;
    settings.agent_extra = agent_extra;
    site = std::make_unique<Site>(io, settings);
    site->StartAgent();
    ASSERT_TRUE(site->Until([&] { return site->All("ready"); })) << site->Read("agent.err");
  }
  /// Opens up to `count` connections that send nothing, as many as the server's backlog accepts.
  std::vector<Local::socket> OpenIdleConnections(const std::string& path, int count) {
    std::vector<Local::socket> sockets;
    for (int i = 0; i < count; ++i) {
      Local::socket socket(io);
      socket.open();
      socket.non_blocking(true);
      const Local::endpoint endpoint(path);
      if (::connect(socket.native_handle(), endpoint.data(), static_cast<socklen_t>(endpoint.size())) == 0)
        sockets.push_back(std::move(socket));
    }
    return sockets;
  }

  asio::io_context io{1};
  std::unique_ptr<Site> site;
};

TEST_F(AgentRobustnessTest, IdleConnectionsDelayAnOperatorOnlyBriefly) {
  Start(1);
  for (const std::string& path : {site->folder() + "/agent.sock", site->folder() + "/n1.sock"}) {
    const auto idle = OpenIdleConnections(path, 500);
    EXPECT_GT(idle.size(), 60u)
        << "the backlog must be full, so that the connect of the tool fails with EAGAIN";
    const CommandResult result = site->Ctl({"get", "n1"});
    EXPECT_EQ(result.code, 0) << path << ": " << result.err;
    EXPECT_LT(result.took, seconds(5)) << path;
    EXPECT_EQ(result.out.find("converters: "), std::string::npos) << result.out;
    EXPECT_EQ(result.out.find("E0"), std::string::npos) << "numbers must not be in scientific notation:\n"
                                                        << result.out;
  }
  // An unreachable agent is reported at once.
  site->KillAgent(SIGKILL);
  const CommandResult result = site->Ctl({"status"});
  EXPECT_EQ(result.code, 5);
  EXPECT_EQ(result.out, "") << "no table without an agent";
}

TEST_F(AgentRobustnessTest, IncompleteRequestTimesOutAndChangesNothing) {
  Start(1);
  Local::socket incomplete(io);
  incomplete.connect(Local::endpoint(site->folder() + "/agent.sock"));
  asio::write(incomplete,
              asio::buffer(std::string("POST /v1/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n"
                                       R"({"id":"half","verb":"stop","inst)")));
  EXPECT_EQ(site->Ctl({"status"}).code, 0) << "other requests are served meanwhile";
  bool ended = false;
  char buffer = 0;
  incomplete.async_read_some(asio::buffer(&buffer, 1),
                             [&](boost::system::error_code error, std::size_t) { ended = !!error; });
  ASSERT_TRUE(site->Until([&] { return ended; })) << "the incomplete request must time out";
  EXPECT_EQ(site->StateOf("n1"), "ready");
  EXPECT_EQ(site->Call("GET", "/v1/orders/half").status, 404u);
}

TEST_F(AgentRobustnessTest, MalformedJsonIsReportedWithItsPosition) {
  Start(1);
  for (const auto& [body, expected_error] :
       {std::pair(R"({"verb":})", "the body is no JSON: syntax error at byte 8"),
        std::pair("{} {}", "the body has more after its JSON, from byte 3 on"),
        std::pair(R"({"verb":"dra)", "the body is no JSON: incomplete JSON at byte 12"),
        std::pair("[1]", "the body is no JSON object")}) {
    const http_api::Reply reply = site->Call("POST", "/v1/orders", body);
    EXPECT_EQ(reply.status, 400u);
    EXPECT_EQ(reply.ErrorMessage(), expected_error) << body;
  }
}

TEST_F(AgentRobustnessTest, ResponseOfAnotherProcessIsNotAttributedToTheInstance) {
  Start(2);
  const std::string path = site->folder() + "/n1.sock";
  unlink(path.c_str());
  http_api::UnixServer other_server(
      io, path, {}, {}, [](http_api::Request, http_api::Peer) -> asio::awaitable<http_api::Response> {
        co_return http_api::Response{200, json::object{{"state", "drained"}, {"pid", 1}}};
      });
  ASSERT_TRUE(site->Until([&] { return site->StateOf("n1") == "silent"; }));
  const CommandResult status = site->Ctl({"status"});
  EXPECT_NE(status.out.find("another process answers on its socket"), std::string::npos) << status.out;
  // The status "drained" of the other process must not complete an order.
  const CommandResult drain = site->Ctl({"drain", "n1", "n2", "--deadline", "3s"});
  EXPECT_EQ(drain.code, 1) << drain.out;
  EXPECT_EQ(site->StateOf("n2"), "drained") << "the order completes on the other instance";
}

TEST_F(AgentRobustnessTest, StateIsCompactedAndRestoredComplete) {
  Start(2);
  const std::string state = site->folder() + "/state/state";
  std::uintmax_t largest = 0;
  bool compacted = false;
  int orders = 0;
  for (; orders < 6000 && !compacted; ++orders) {
    const std::string body = R"({"id":"order-)" + std::to_string(orders) + std::string(40, 'x') +
                             R"(","verb":"undrain","instances":["n1","n2"],"as":")" + std::string(64, 'w') +
                             "\"}";
    // The order is a conflict until the previous one has ended.
    ASSERT_TRUE(site->Until([&] { return site->Call("POST", "/v1/orders", body).status == 202; }));
    const auto size = std::filesystem::file_size(state);
    compacted = size < largest;
    largest = std::max(largest, size);
  }
  ASSERT_TRUE(compacted) << orders << " orders, " << largest << " bytes";
  EXPECT_LT(largest, 8u << 20);
  const auto before = site->Call("GET", "/v1/status").body.at("generation").to_number<std::uint64_t>();
  EXPECT_GE(before, static_cast<std::uint64_t>(orders));
  const pid_t pid = site->PidOf("n1");
  site->KillAgent(SIGKILL);
  site->StartAgent();
  EXPECT_EQ(site->Call("GET", "/v1/status").body.at("generation").to_number<std::uint64_t>(), before);
  EXPECT_EQ(site->PidOf("n1"), pid) << "adopted";
}

/// Runs badgerbridge-ctl on a pseudo-terminal, and returns its output.
std::string RunOnTerminal(Site& site, std::vector<std::string> arguments, bool no_color) {
  arguments.insert(arguments.begin(),
                   {Binary("badgerbridge-ctl"), "--context", site.folder() + "/context.toml"});
  int master = -1;
  const pid_t pid = forkpty(&master, nullptr, nullptr, nullptr);
  if (pid == 0) {
    if (no_color) setenv("NO_COLOR", "1", 1);
    std::vector<char*> words;
    for (std::string& word : arguments) words.push_back(word.data());
    words.push_back(nullptr);
    execv(words[0], words.data());
    _exit(127);
  }
  std::string out;
  char buffer[4096];
  for (ssize_t n = 0; (n = read(master, buffer, sizeof buffer)) > 0;)
    out.append(buffer, static_cast<std::size_t>(n));
  close(master);
  waitpid(pid, nullptr, 0);
  return out;
}

TEST_F(AgentRobustnessTest, ColorsAndProgressAreOnlyForTerminals) {
  Start(2);
  ASSERT_EQ(site->Ctl({"drain", "n2"}).code, 0);
  const std::string plain = site->Ctl({"status"}).out;
  EXPECT_EQ(plain.find('\x1b'), std::string::npos) << "no colors in a pipe";
  EXPECT_NE(RunOnTerminal(*site, {"status"}, false).find("\x1b["), std::string::npos);
  EXPECT_EQ(RunOnTerminal(*site, {"status"}, true).find('\x1b'), std::string::npos);
  EXPECT_NE(RunOnTerminal(*site, {"undrain", "n2"}, false).find("instances"), std::string::npos)
      << "progress is shown on a terminal";
  EXPECT_EQ(site->Ctl({"drain", "n2"}).err, "") << "no progress in a pipe";
}

/// Runs a shell script, and returns its output followed by "exit CODE".
std::string RunShell(const std::string& script) {
  std::string out;
  FILE* pipe = popen(script.c_str(), "r");
  if (!pipe) return "no shell";
  char buffer[4096];
  for (std::size_t n = 0; (n = fread(buffer, 1, sizeof buffer, pipe)) > 0;) out.append(buffer, n);
  const int status = pclose(pipe);
  return out + "exit " + std::to_string(WEXITSTATUS(status));
}

TEST_F(AgentRobustnessTest, CompletionWorksInAShell) {
  Start(2);
  const auto complete = [&](const std::string& words, int at) {
    return RunShell("BADGERCTL_CONTEXT=" + site->folder() + "/context.toml PATH=" +
                    std::filesystem::path(Binary("badgerbridge-ctl")).parent_path().string() +
                    ":$PATH bash -c '" + "source <(badgerbridge-ctl completion bash); COMP_WORDS=(" + words +
                    "); COMP_CWORD=" + std::to_string(at) + "; _badgerbridge_ctl; echo ${COMPREPLY[@]}'");
  };
  EXPECT_EQ(complete("badgerbridge-ctl dr", 1), "drain\nexit 0");
  EXPECT_EQ(complete("badgerbridge-ctl mem", 1), "members\nexit 0");
  EXPECT_EQ(complete("badgerbridge-ctl drain --dead", 2), "--deadline\nexit 0");
  // Instance names come from the agent, which is another process, so blocking this thread is safe.
  EXPECT_EQ(complete("badgerbridge-ctl drain \"\"", 2), "n1 n2\nexit 0");
}

TEST(Scripts, MissingPackagesWithoutRootPrintTheCommand) {
  std::string folder = ::testing::TempDir() + "rights_XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  std::ofstream(folder + "/id")
      << "#!/bin/sh\necho 1000\n";  // PATH has no tool but these two; the user is not root
  std::ofstream(folder + "/dirname") << "#!/bin/sh\necho " SOURCE_DIR "/scripts\n";
  for (const char* name : {"/id", "/dirname"}) chmod((folder + name).c_str(), 0755);
  const std::string out = RunShell("PATH=" + folder + " /bin/sh " SOURCE_DIR "/scripts/packages 2>&1");
  EXPECT_NE(out.find("These packages are missing. Run this once, as root:\n  apt-get update && apt-get "
                     "install -y cmake g++"),
            std::string::npos)
      << out;
  EXPECT_NE(out.find("exit 1"), std::string::npos) << out;
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace badgerbridge::agent
