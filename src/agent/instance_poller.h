// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Polls the status of running instances; more often while an order or a start waits for it.
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

/// The timeout of one call to the control API of an instance.
constexpr std::chrono::milliseconds kInstanceCallTimeout{1000};

/// The path of the control socket, from the definition of the instance; empty if the definition is malformed.
std::string ControlSocketOf(const Instance& instance);

/// Runs on one event loop; not thread-safe.
class InstancePoller {
 public:
  /// The latest status response of an instance.
  struct LatestStatus {
    boost::json::object status;  ///< unchanged response body
    Time requested_at{0};        ///< when the poll was sent
  };
  /// Called on the event loop. on_event gets an Observed or an Unresponsive.
  struct Callbacks {
    std::function<void(Event)> on_event;       ///< after each poll
    std::function<void()> on_schedule_change;  ///< NextPoll() has changed
  };

  /// `poll_interval` applies to idle instances. The references must outlive the poller.
  InstancePoller(boost::asio::io_context& io, const FleetController& controller,
                 const ProcessTable& processes, Time poll_interval, Callbacks callbacks);
  /// Polls in flight are not reported any more.
  ~InstancePoller();
  InstancePoller(const InstancePoller&) = delete;
  InstancePoller& operator=(const InstancePoller&) = delete;

  /// Polls the instance as soon as possible. Called when it has a new process.
  void Track(const std::string& instance) { next_poll_[instance] = Time(0); }
  /// Discards the status and the schedule of the instance. Called when its process has ended.
  void Forget(const std::string& instance);
  /// Starts the polls that are due and not in flight.
  void PollDue(Time now);
  /// Starts a poll of each running instance that has none in flight.
  void PollAll();
  /// The time of the next poll; nullopt if no poll is planned.
  std::optional<Time> NextPoll(Time now);

  /// The latest status of the instance's current process; nullptr if there is none.
  const LatestStatus* FindStatus(const std::string& instance) const;
  /// Whether a poll is in flight of a running instance whose latest status was requested before `time`.
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
