// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-ctl members against an agent (played by a process of its own) whose one instance has many
// backends: bytes and CPU of the tool.
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include "allocations.h"
#include "cli/agent_session.h"
#include "cli/members_command.h"
#include "http_api/server.h"
#include "slopes.h"
#include "slopes_proxy.h"

namespace badgerbridge::bench {
namespace {

namespace json = boost::json;

constexpr int kSizes[] = {1000, 3000, 10000, 30000, 60000};

// Answers as an agent with one instance does, until it is destroyed.
class ScriptedAgent {
 public:
  explicit ScriptedAgent(const json::value& members) {
    char folder[] = "/tmp/badgerbridge-slopes-XXXXXX";
    if (mkdtemp(folder) == nullptr) throw std::runtime_error("no folder for a socket");
    folder_ = folder;
    int ready[2];
    if (pipe(ready) != 0) throw std::runtime_error("no pipe");
    child_ = fork();
    if (child_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      Serve(members, ready[1]);
      _exit(0);
    }
    close(ready[1]);
    char byte = 0;
    const bool listens = read(ready[0], &byte, 1) == 1;
    close(ready[0]);
    if (!listens) throw std::runtime_error("the scripted agent does not listen");
  }
  ~ScriptedAgent() {
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  ScriptedAgent(const ScriptedAgent&) = delete;
  ScriptedAgent& operator=(const ScriptedAgent&) = delete;

  std::string socket() const { return folder_ + "/agent.sock"; }

 private:
  void Serve(const json::value& members, int ready) const {
    boost::asio::io_context io(1);
    const auto answer = [&members](http_api::Request request,
                                   http_api::Peer) -> boost::asio::awaitable<http_api::Response> {
      if (request.path != "/v1/status") co_return http_api::Response{200, members};
      co_return http_api::Response{
          200, json::object{{"generation", 1},
                            {"instances", json::array{json::object{{"name", "n1"}, {"state", "ready"}}}}}};
    };
    const http_api::UnixServer server(io, socket(), {}, {}, answer);
    if (write(ready, "x", 1) == 1) io.run();
  }

  std::string folder_;
  pid_t child_ = -1;
};

// What one run of the command cost.
struct CommandCost {
  cli::ExitCode code = cli::ExitCode::kSuccess;
  double cpu_ms = 0;
  double peak_bytes = 0;
  double text_bytes = 0;
};

CommandCost AskMembers(const ScriptedAgent& agent) {
  cli::AgentSessionSettings settings;
  cli::AgentTarget target;
  target.name = "agent";
  target.target.unix_path = agent.socket();
  settings.agents = {target};
  settings.timeout = std::chrono::seconds(60);
  std::ostringstream out;
  std::ostringstream err;
  cli::Selection all;
  all.all = true;
  cli::AgentSession session(settings, out, err);
  const std::size_t live = LiveBytes();
  ResetPeak();
  const double before = ThreadCpuMs();
  CommandCost cost;
  cost.code = cli::ShowMembers(session, all);
  cost.cpu_ms = ThreadCpuMs() - before;
  cost.peak_bytes = static_cast<double>(PeakBytes() - live);
  cost.text_bytes = static_cast<double>(out.str().size());
  return cost;
}

}  // namespace

void MeasureTool(Report& report) {
  Series cpu("badgerbridge-ctl members: CPU", "ms", "backends");
  Series peak("badgerbridge-ctl members: memory at its peak", "bytes", "backends");
  Series text("badgerbridge-ctl members: text", "bytes", "backends");
  for (const int size : kSizes) {
    const ScriptedAgent agent(DescribedMembers(size));
    for (int repetition = 0; repetition < 3; ++repetition) {
      const CommandCost cost = AskMembers(agent);
      report.checks.Expect(cost.code == cli::ExitCode::kSuccess, "badgerbridge-ctl members fails");
      cpu.Add(size, cost.cpu_ms);
      peak.Add(size, cost.peak_bytes);
      text.Add(size, cost.text_bytes);
    }
  }
  report.Fit(cpu, "tool_members_ms_per_backend");
  report.Fit(peak, "tool_members_peak_bytes_per_backend");
  report.Fit(text, "tool_members_text_bytes_per_backend");
  const ScriptedAgent agent(DescribedMembers(100000));
  report.Figure("tool_members_100000", AskMembers(agent).code == cli::ExitCode::kSuccess ? 1 : 0,
                "badgerbridge-ctl members: shows 100,000 backends of one proxy (1) or fails (0)");
}

}  // namespace badgerbridge::bench
