// SPDX-License-Identifier: Apache-2.0

/// \file
/// Performs the actions of a Follower: connects to the endpoints, makes calls and runs the timer. Passes
/// snapshots, events and errors to callbacks.
#ifndef BADGERBRIDGE_ETCD_FOLLOWER_LINK_H_
#define BADGERBRIDGE_ETCD_FOLLOWER_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "etcd/channel.h"
#include "etcd/follower.h"
#include "net/one_shot_timer.h"
#include "net/read_timeout_grace.h"

namespace badgerbridge::etcd {

/// Configuration of a follower with its connections.
struct FollowerLinkSettings {
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;  ///< At least one.
  FollowerSettings follower;  ///< `endpoints` and `authenticate` are derived from the fields here.
  ChannelOptions channel;     ///< Options of each connection.
  std::string user;           ///< If set, calls carry a token obtained with `password`.
  std::string password;       ///< See `user`.
};

/// Callbacks never run within the constructor, the destructor or Confirm. Empty callbacks are skipped. A
/// callback must not destroy the link.
struct FollowerLinkCallbacks {
  /// A complete snapshot. Set this or on_snapshot_page.
  std::function<void(std::uint64_t cluster_id, std::int64_t revision,
                     std::vector<etcdserverpb::KeyValue> kvs)>
      on_snapshot;
  /// Each page of a snapshot as it arrives, for callers that do not need the whole snapshot in memory.
  std::function<void(Follower::SnapshotPage page)> on_snapshot_page;
  /// The events of one or more complete revisions. Set this or on_section_events.
  std::function<void(std::uint64_t cluster_id, std::int64_t revision,
                     std::vector<etcdserverpb::Event> events)>
      on_events;
  /// Events with the index of their section, for callers that follow sections.
  std::function<void(Follower::Events events)> on_section_events;
  /// The watch is alive. Also called when the watch is established. See Follower::Progress.
  std::function<void(std::int64_t revision)> on_progress;
  /// Called once for each lost connection and each failed attempt.
  std::function<void(const FollowerError& error)> on_disconnected;
};

/// May be used only on the io_context's thread.
class FollowerLink {
 public:
  /// Monotonic time, or a duration.
  using Time = Follower::Time;
  /// Receives the status and the response header of a linearizable read.
  using OnConfirmed = std::function<void(Status, etcdserverpb::ResponseHeader)>;

  /// Starts immediately. `io` must outlive the link. `seed` is passed to the follower.
  FollowerLink(boost::asio::io_context& io, FollowerLinkSettings settings, std::uint64_t seed,
               FollowerLinkCallbacks callbacks);
  /// Closes the connection. No callback runs afterwards.
  ~FollowerLink();
  FollowerLink(const FollowerLink&) = delete;
  FollowerLink& operator=(const FollowerLink&) = delete;

  /// Makes a linearizable read of one key without its value on the current connection. The response header
  /// contains a committed revision. Fails with UNAVAILABLE if no connection is ready for calls, without
  /// waiting for one. `done` is called exactly once, within the call timeout, unless the link is destroyed
  /// first.
  void Confirm(OnConfirmed done);
  /// Requests a progress notification if a watch is active; on_progress is called when it arrives.
  void RequestProgress();
  /// See Follower::Reject.
  void Reject(const std::string& reason);

  const Follower& follower() const { return follower_; }  ///< State and counters.
  static Time Now();                                      ///< CLOCK_MONOTONIC.

 private:
  void PerformAll(Follower::Actions actions);
  void Perform(Follower::Connect& action);
  void Perform(Follower::Authenticate& action);
  void Perform(Follower::Range& action);
  void Perform(Follower::Watch& action);
  void Perform(Follower::AddWatch& action);
  void Perform(Follower::RequestProgress& action);
  void Perform(Follower::Close& action);
  void Perform(Follower::SnapshotPage& action);
  void Perform(Follower::Events& action);
  void Perform(Follower::Progress& action);
  void Perform(Follower::Disconnected& action);
  void OnWatchMessage(std::string_view message, Follower::Actions* actions);
  void SendOnWatch(const etcdserverpb::WatchRequest& request);
  void DetachChannel();
  void ArmTimer();
  void OnTimer();
  // Returns a callback for the current channel that calls `step` with a list of actions and then performs
  // them. The callback does nothing once the link is destroyed or has another channel.
  template <typename Step>
  auto GuardedCallback(Step step);
  template <typename Response>
  void Call(const std::string& path, const std::string& request,
            std::function<void(Status, Response)> on_completed);

  boost::asio::io_context& io_;
  FollowerLinkSettings settings_;
  FollowerLinkCallbacks callbacks_;
  Follower follower_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  std::shared_ptr<Channel> channel_;
  std::uint64_t channel_number_ = 0;  // callbacks of channels with another number are ignored
  bool is_ready_for_calls_ = false;   // the channel is open and authenticated, if required
  std::optional<CallId> watch_;
  HeaderFields metadata_;
  std::vector<etcdserverpb::KeyValue> snapshot_;  // keys of the pages received so far
  std::deque<Follower::Action> pending_actions_;
  bool is_performing_ = false;
  net::OneShotTimer timer_;
  net::ReadTimeoutGrace read_grace_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_FOLLOWER_LINK_H_
