// SPDX-License-Identifier: Apache-2.0
//
// Events, actions and timed work. Startup is in agent_restore.cpp; orders, state and audit log are in
// agent_persistence.cpp.
#include "agent/agent_runtime.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <utility>
#include <variant>

#include "agent/clock.h"
#include "agent/instance_log.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr Time kMinLogCheckInterval{1000};
constexpr Time kMaxIdleTime{60000};  // between two runs of RunDueWork()
constexpr milliseconds kMaxStatusWait{60};
constexpr std::size_t kMaxExitLogBytes = 200;  // limits the log line quoted in the description of an exit

}  // namespace

AgentRuntime::~AgentRuntime() { *alive_ = false; }

InstancePaths AgentRuntime::PathsOf(const std::string& instance) const {
  return {settings_.state_dir + "/instances/" + instance + ".lock",
          settings_.state_dir + "/logs/" + instance + ".log"};
}

// ---- events and actions -------------------------------------------------------------------------------

void AgentRuntime::HandleEvent(Event event) {
  events_.push_back(std::move(event));
  if (is_handling_events_) return;  // the outer call handles it
  is_handling_events_ = true;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    std::vector<Action> actions;
    controller_.Handle(MonotonicNow(), next, &actions);
    SaveChanges();  // before the actions, so that the stored state covers every performed action
    Perform(actions);
  }
  is_handling_events_ = false;
  AuditEndedTasks();
  changes_.Notify();
  ScheduleWork();
}

void AgentRuntime::Perform(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    std::visit([this](const auto& one) { PerformOne(one); }, action);
  }
}

void AgentRuntime::PerformOne(const Spawn& action) { events_.push_back(SpawnInstance(action)); }

Event AgentRuntime::SpawnInstance(const Spawn& action) {
  const Result<InstanceDefinition> definition = ParseDefinition(action.definition);
  if (!definition) return SpawnFailed{action.instance, "cannot be started: " + Message(definition.error())};
  const InstancePaths paths = PathsOf(action.instance);
  Result<Process> started = StartProcess(*definition, paths);
  if (started) {
    const pid_t pid = started->pid;
    Watch(action.instance, std::move(*started));
    return Spawned{action.instance, pid};
  }
  // The start also fails if a process that this agent did not start holds the lock; it is adopted as the
  // instance.
  if (auto found = FindProcess(paths)) {
    const pid_t pid = found->pid;
    Watch(action.instance, std::move(*found));
    return Adopted{action.instance, pid};
  }
  return SpawnFailed{action.instance, Message(started.error())};
}

void AgentRuntime::PerformOne(const Call& action) {
  const auto instance = controller_.instances().find(action.instance);
  const bool is_known = instance != controller_.instances().end();
  const std::string socket = is_known ? ControlSocketOf(instance->second) : "";
  asio::co_spawn(io_, CallInstance(action.instance, socket, action.drain, action.deadline), asio::detached);
}

void AgentRuntime::PerformOne(const Signal& action) { processes_.Signal(action.instance, action.number); }

asio::awaitable<void> AgentRuntime::CallInstance(std::string instance, std::string socket, bool drain,
                                                 Time deadline) {
  const auto alive = alive_;
  std::string body = "{}";
  if (drain && deadline > Time(0)) body = json::serialize(json::object{{"deadline_ms", deadline.count()}});
  const std::string path = drain ? "/v1/drain" : "/v1/undrain";
  const http_api::Reply reply = co_await http_api::CallUnix(socket, "POST", path, body, kInstanceCallTimeout);
  if (!*alive) co_return;
  if (reply.ok()) {
    HandleEvent(CallSucceeded{instance});
  } else {
    HandleEvent(CallFailed{instance, reply.ErrorMessage()});
  }
}

void AgentRuntime::Watch(const std::string& instance, Process process) {
  processes_.Add(instance, std::move(process));
  poller_.Track(instance);
}

void AgentRuntime::HandleExit(const std::string& name, pid_t pid, const std::string& description) {
  poller_.Forget(name);
  std::string how = description;
  const auto instance = controller_.instances().find(name);
  if (instance != controller_.instances().end() && instance->second.desired_running) {
    const std::string line = ReadLastLine(PathsOf(name).log, kMaxExitLogBytes);
    if (!line.empty() && how != "exited with 0") how += "; the last line of its log: " + line;
    Audit("agent", "instance ended", {{"instance", name}, {"pid", pid}, {"how", how}});
  }
  HandleEvent(Exited{name, how});
}

// ---- timed work ---------------------------------------------------------------------------------------

void AgentRuntime::RunDueWork() {
  const Time now = MonotonicNow();
  poller_.PollDue(now);
  BoundLogs(now);
  RetrySave(now);
  HandleEvent(Tick{});
}

void AgentRuntime::BoundLogs(Time now) {
  if (now < bound_logs_at_) return;
  bound_logs_at_ = now + std::max<Time>(kMinLogCheckInterval, settings_.poll_interval);
  for (const std::string& name : processes_.Instances())
    BoundLogSize(PathsOf(name).log, settings_.max_log_bytes);
}

/// Uses one timer for all timed work, so that an idle agent wakes up only to poll.
void AgentRuntime::ScheduleWork() {
  const Time now = MonotonicNow();
  Time next = now + kMaxIdleTime;
  if (const auto wakeup = controller_.NextWakeup(now)) next = std::min(next, *wakeup);
  if (const auto poll = poller_.NextPoll(now)) next = std::min(next, *poll);
  if (!processes_.empty()) next = std::min(next, bound_logs_at_);
  if (is_unsaved_) next = std::min(next, retry_save_at_);
  work_timer_.ArmAfter(std::max(Time(1), next - now), [this] { RunDueWork(); });
}

asio::awaitable<void> AgentRuntime::RefreshStatus() {
  const Time requested_at = MonotonicNow();
  poller_.PollAll();
  const auto due = std::chrono::steady_clock::now() + kMaxStatusWait;
  while (poller_.AwaitsAnswerSince(requested_at)) {
    const auto left = std::chrono::duration_cast<milliseconds>(due - std::chrono::steady_clock::now());
    if (left <= milliseconds(0)) co_return;
    co_await changes_.Wait(left);
  }
}

}  // namespace badgerbridge::agent
