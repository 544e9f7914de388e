// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Asks running instances for their status, as often as what waits for it needs.
#ifndef BADGERBRIDGE_AGENT_INSTANCE_POLLER_H_
#define BADGERBRIDGE_AGENT_INSTANCE_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "agent/fleet_controller.h"
#include "agent/process_table.h"
#include "http_api/client.h"

namespace badgerbridge::agent {

/// The bound on one call to an instance.
constexpr std::chrono::milliseconds kInstanceCallTimeout{1000};

/// The path of the control socket of a definition; empty if the definition is malformed.
std::string ControlSocketOf(const Instance& instance);

/// Polls instances on the event loop; not thread-safe.
class InstancePoller {
 public:
  /// The newest answer of an instance.
  struct LatestStatus {
    boost::json::object status;  ///< as the instance gave it
    Time requested_at{0};        ///< when the poll was sent
  };
  /// What the poller calls; on_event with Observed or Unresponsive.
  struct Callbacks {
    std::function<void(Event)> on_event;       ///< after each poll
    std::function<void()> on_schedule_change;  ///< NextPoll() has changed
  };

  /// `poll_interval` is that of idle instances. The references must outlive the poller.
  InstancePoller(boost::asio::io_context& io, const FleetController& controller,
                 const ProcessTable& processes, Time poll_interval, Callbacks callbacks);
  /// Polls that are out are not reported any more.
  ~InstancePoller();
  InstancePoller(const InstancePoller&) = delete;
  InstancePoller& operator=(const InstancePoller&) = delete;

  /// The instance has a new process: polls it soon.
  void Track(const std::string& instance) { next_poll_[instance] = Time(0); }
  /// The process of the instance has ended.
  void Forget(const std::string& instance);
  /// Begins the polls that are due.
  void PollDue(Time now);
  /// Begins a poll of every running instance that is not being polled.
  void PollAll();
  /// When the next poll is due; nothing: none is.
  std::optional<Time> NextPoll(Time now);

  /// The newest answer of the instance's process; nullptr: there is none.
  const LatestStatus* FindStatus(const std::string& instance) const;
  /// Whether a poll of a running instance is out whose last answer is from before `time`.
  bool AwaitsAnswerSince(Time time) const;

 private:
  boost::asio::awaitable<void> Poll(std::string instance);
  void HandleReply(const std::string& instance, pid_t pid, Time requested_at, const http_api::Reply& reply);
  Time DueTime(const std::string& instance, Time now);

  boost::asio::io_context& io_;
  const FleetController& controller_;
  const ProcessTable& processes_;
  Time poll_interval_;
  Callbacks callbacks_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed
  std::map<std::string, LatestStatus> latest_;                  // by instance
  std::map<std::string, Time> next_poll_;                       // by instance
  std::set<std::string> polling_;                               // instances with a poll in flight
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_INSTANCE_POLLER_H_
