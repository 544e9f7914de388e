// SPDX-License-Identifier: Apache-2.0
#include "agent/instance_poller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <utility>

#include "agent/clock.h"
#include "agent/instance_definition.h"
#include "agent/status_codec.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;

constexpr Time kFrequentPollInterval{50};   // while FleetController::NeedsFrequentPolling()
constexpr Time kStartingPollInterval{250};  // while an instance starts
constexpr Time kMaxStartingTime{10000};     // after it, an unresponsive process does not count as starting

}  // namespace

std::string ControlSocketOf(const Instance& instance) {
  const Result<InstanceDefinition> definition = ParseDefinition(instance.definition);
  return definition ? definition->control_socket : "";
}

InstancePoller::InstancePoller(asio::io_context& io, const FleetController& controller,
                               const ProcessTable& processes, Time poll_interval, Callbacks callbacks)
    : io_(io),
      controller_(controller),
      processes_(processes),
      poll_interval_(poll_interval),
      callbacks_(std::move(callbacks)) {}

InstancePoller::~InstancePoller() { *alive_ = false; }

void InstancePoller::Forget(const std::string& instance) {
  latest_.erase(instance);
  next_poll_.erase(instance);
}

/// An instance that needs frequent polling is due soon, whatever was planned before.
Time InstancePoller::DueTime(const std::string& instance, Time now) {
  const Time due = next_poll_[instance];
  return controller_.NeedsFrequentPolling(instance) ? std::min(due, now + kFrequentPollInterval) : due;
}

void InstancePoller::PollDue(Time now) {
  for (const std::string& name : processes_.Instances()) {
    next_poll_[name] = DueTime(name, now);
    if (next_poll_[name] > now || polling_.contains(name)) continue;
    next_poll_[name] = now + poll_interval_;
    asio::co_spawn(io_, Poll(name), asio::detached);
  }
}

void InstancePoller::PollAll() {
  for (const std::string& name : processes_.Instances()) {
    if (!polling_.contains(name)) asio::co_spawn(io_, Poll(name), asio::detached);
  }
}

std::optional<Time> InstancePoller::NextPoll(Time now) {
  std::optional<Time> next;
  for (const std::string& name : processes_.Instances()) {
    if (polling_.contains(name)) continue;
    const Time due = DueTime(name, now);
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

const InstancePoller::LatestStatus* InstancePoller::FindStatus(const std::string& instance) const {
  const auto found = latest_.find(instance);
  return found == latest_.end() ? nullptr : &found->second;
}

bool InstancePoller::AwaitsAnswerSince(Time time) const {
  const std::vector<std::string> names = processes_.Instances();
  return std::any_of(names.begin(), names.end(), [&](const std::string& name) {
    const LatestStatus* latest = FindStatus(name);
    return polling_.contains(name) && (!latest || latest->requested_at < time);
  });
}

asio::awaitable<void> InstancePoller::Poll(std::string instance) {
  const auto alive = alive_;
  const auto known = controller_.instances().find(instance);
  const pid_t pid = processes_.FindPid(instance);
  if (known == controller_.instances().end() || pid == 0 || !polling_.insert(instance).second) co_return;
  const std::string socket = ControlSocketOf(known->second);
  const Time requested_at = MonotonicNow();
  const http_api::Reply reply =
      co_await http_api::CallUnix(socket, "GET", "/v1/status", "", kInstanceCallTimeout);
  if (!*alive) co_return;
  polling_.erase(instance);
  // A reply of a process that has ended since does not describe the new process.
  if (processes_.FindPid(instance) == pid) HandleReply(instance, pid, requested_at, reply);
}

void InstancePoller::HandleReply(const std::string& instance, pid_t pid, Time requested_at,
                                 const http_api::Reply& reply) {
  const auto status = reply.ok() ? DecodeProxyStatus(reply.body) : std::nullopt;
  const Time now = MonotonicNow();
  const Time spawned_at = controller_.instances().at(instance).spawned_at;
  // Another process may listen on the control socket.
  const bool is_from_current_process = status && status->pid == static_cast<std::uint64_t>(pid);
  if (is_from_current_process) {
    latest_[instance] = {reply.body.as_object(), requested_at};
    callbacks_.on_event(Observed{instance, status->observation, requested_at});
  } else {
    callbacks_.on_event(
        Unresponsive{instance, status ? "another process answers on its socket" : reply.ErrorMessage()});
  }
  const bool may_be_starting = !is_from_current_process && now - spawned_at < kMaxStartingTime;
  const bool reports_starting = is_from_current_process && status->observation.state == "starting";
  Time interval = poll_interval_;
  if (may_be_starting || reports_starting) interval = kStartingPollInterval;
  if (controller_.NeedsFrequentPolling(instance)) interval = kFrequentPollInterval;
  next_poll_[instance] = now + interval;
  callbacks_.on_schedule_change();
}

}  // namespace badgerbridge::agent
