// SPDX-License-Identifier: Apache-2.0

/// \file
/// Carries out what a Follower decides: connections to the endpoints, calls, the timer. What the follower
/// learns goes to callbacks.
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
  FollowerSettings follower;  ///< Its `endpoints` and `authenticate` are set from here.
  ChannelOptions channel;     ///< Of each connection.
  std::string user;           ///< With `password`: calls carry a token.
  std::string password;       ///< See `user`.
};

/// None is called from within the constructor, the destructor or Confirm. Those that are empty are not
/// called. A callback must not destroy the link.
struct FollowerLinkCallbacks {
  /// A complete snapshot. Set this or on_snapshot_page.
  std::function<void(std::uint64_t cluster_id, std::int64_t revision,
                     std::vector<etcdserverpb::KeyValue> kvs)>
      on_snapshot;
  /// Each page of a snapshot as it arrives, for callers that need not hold it as a whole.
  std::function<void(Follower::SnapshotPage page)> on_snapshot_page;
  /// The events of one or more complete revisions. Set this or on_section_events.
  std::function<void(std::uint64_t cluster_id, std::int64_t revision,
                     std::vector<etcdserverpb::Event> events)>
      on_events;
  /// The same, for callers that follow sections.
  std::function<void(Follower::Events events)> on_section_events;
  /// The watch is alive; also called when it is established. See Follower::Progress.
  std::function<void(std::int64_t revision)> on_progress;
  /// Once for each lost connection and each failed attempt.
  std::function<void(const FollowerError& error)> on_disconnected;
};

/// To be used on the io_context's thread only.
class FollowerLink {
 public:
  /// Monotonic time, or a duration.
  using Time = Follower::Time;
  /// Receives the status and the header of a linearizable read.
  using OnConfirmed = std::function<void(Status, etcdserverpb::ResponseHeader)>;

  /// Starts at once. `io` must outlive this. `seed` is the follower's.
  FollowerLink(boost::asio::io_context& io, FollowerLinkSettings settings, std::uint64_t seed,
               FollowerLinkCallbacks callbacks);
  /// Closes the connection; no callback runs any more.
  ~FollowerLink();
  FollowerLink(const FollowerLink&) = delete;
  FollowerLink& operator=(const FollowerLink&) = delete;

  /// One linearizable read of one key, without its value, on the current connection: its header has a
  /// revision that is committed. UNAVAILABLE without a connection that takes calls; never waits for one.
  /// `done` is called exactly once, within the call timeout, unless the link is destroyed first.
  void Confirm(OnConfirmed done);
  /// Requests the watch's progress now, if there is one: on_progress follows.
  void RequestProgress();
  /// See Follower::Reject.
  void Reject(const std::string& reason);

  const Follower& follower() const { return follower_; }  ///< Its state.
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
  void ForgetChannel();
  void ArmTimer();
  void OnTimer();
  // A callback for the current channel: `step`, with a list for actions, which are then performed. It does
  // nothing once the link is gone or has another channel.
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
  bool is_ready_for_calls_ = false;   // the channel is open, and has a token if it needs one
  std::optional<CallId> watch_;
  HeaderFields metadata_;
  std::vector<etcdserverpb::KeyValue> snapshot_;  // of the pages so far
  std::deque<Follower::Action> queue_;
  bool is_performing_ = false;
  net::OneShotTimer timer_;
  net::ReadTimeoutGrace read_grace_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_FOLLOWER_LINK_H_
