// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/run_context.h"

#include <chrono>
#include <cstdio>
#include <utility>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr int kWaitStepMs = 5;

}  // namespace

std::string ZoneName(int zone) { return "z" + std::to_string(zone); }

std::string MembersPrefix(int zone) { return kMembersPrefix + ZoneName(zone) + "/"; }

std::string ClientsName(int zone) { return "clients-" + std::to_string(zone); }

RunContext::RunContext(boost::asio::io_context& io_context, simulator::Model scenario,
                       std::uint64_t random_seed, RunPrograms run_programs)
    : io(io_context),
      model(std::move(scenario)),
      seed(random_seed),
      programs(std::move(run_programs)),
      folder("multiprocess_test_"),
      addresses(io_context) {}

void RunContext::Note(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.0f ms  ", has_load_begun() ? NowMs() - load_began_ms : 0.0);
  timeline.push_back(time + text);
}

void RunContext::AddFault(ProcessFaultKind kind, const std::string& process, const std::string& detail) {
  faults.push_back({kind, process, detail});
}

void RunContext::RunEvents(int time_ms) {
  io.restart();
  io.run_for(std::chrono::milliseconds(time_ms));
}

void RunContext::WaitUntil(const std::function<bool()>& holds, const std::string& condition,
                           double timeout_ms) {
  const double deadline_ms = NowMs() + timeout_ms;
  while (!holds()) {
    if (NowMs() > deadline_ms) throw RunFailure({RunErrorKind::kNotInTime, condition, "", 0});
    RunEvents(kWaitStepMs);
  }
}

void RunContext::BeginLoad() { load_began_ms = NowMs(); }

std::unique_ptr<ChildProcess> StartProcess(RunContext& context, const std::string& name,
                                           std::vector<std::string> arguments,
                                           std::vector<std::string> extra_environment,
                                           ChildProcess::OnLine on_line) {
  ++context.processes_started;
  ChildCommand command{name, std::move(arguments), std::move(extra_environment),
                       context.folder.PathOf(name + ".log")};
  return std::make_unique<ChildProcess>(context.io, std::move(command), std::move(on_line));
}

}  // namespace badgerbridge::multiprocess
