// SPDX-License-Identifier: Apache-2.0
//
// The pools of connections to backends, and one attempt at a time on each connection.
#ifndef BADGERBRIDGE_PROXY_BACKEND_POOL_H_
#define BADGERBRIDGE_PROXY_BACKEND_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "proxy/backend_codec.h"
#include "proxy/clock.h"
#include "proxy/config.h"
#include "proxy/endpoint_list.h"
#include "proxy/requester.h"

namespace badgerbridge::proxy {

/// Keeps connections to each backend of the endpoint list and makes attempts on them. Used on the event
/// loop's thread only; must outlive the io_context's last handler.
class BackendPool {
 public:
  /// Bounds of the pool.
  struct Limits {
    /// The bounds that the proxy's configuration sets; the others stay at their defaults.
    static Limits From(const Config& config);

    std::size_t max_connections = 480;  ///< to all backends together
    /// Idle connections to one backend. What a burst leaves over costs both sides.
    std::size_t max_idle_per_backend = 16;
    /// Between two requests on a connection, for kUnsolicitedMemory after a backend has sent unsolicited
    /// bytes: one that responds twice does so some milliseconds apart, and the second response would pass for
    /// the next request's. To wait always would cost connections (brink, ten seeds: 0.808 of the score for
    /// 0.828).
    Duration min_idle_after_unsolicited{20};
    Duration connect_timeout{250};  ///< for a connection to come up, and for the rest of a partial response
    Duration idle_timeout{15000};   ///< after which the backend may close an idle connection
  };
  /// Takes the result of an attempt.
  using AttemptCallback = std::function<void(AttemptResult)>;
  /// Connects a socket to an address and calls back once with the result; never from within the call.
  using Connector = std::function<void(boost::asio::ip::tcp::socket&, const boost::asio::ip::tcp::endpoint&,
                                       std::function<void(boost::system::error_code)>)>;
  class Connection;

  /// Refers to one attempt, also after its end. A default one refers to none.
  struct AttemptHandle {
    std::weak_ptr<Connection> connection;  ///< where the attempt was begun
    std::uint64_t number = 0;              ///< tells it from other attempts on the same connection
  };

  /// A pool without backends; Update() brings them.
  BackendPool(boost::asio::io_context& io, const ProxyClock& clock, Limits limits);
  /// Closes the idle connections.
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Takes over the backends of a list: all of a snapshot, or the changed ones.
  void Update(const EndpointList& list);
  /// From here on results have the load reports of responses.
  void RecordLoadReports() { records_load_reports_ = true; }
  /// Whether a backend accepts requests.
  bool HasReadyBackend() const;
  /// Replaces the system's connect.
  void SetConnector(Connector connector) { connector_ = std::move(connector); }
  /// `has_unread_list` is asked before an attempt's first byte. While it is true, discovery has sent a list
  /// that nobody has read, as in a process that was descheduled; the attempt waits for that, a bounded number
  /// of turns of the event loop.
  void SetUnreadListCheck(std::function<bool()> has_unread_list) {
    has_unread_list_ = std::move(has_unread_list);
  }
  /// `observer` is called when the first byte of an attempt is about to be written.
  void SetAttemptObserver(std::function<void(BackendId, const ForwardedRequest&)> observer) {
    on_attempt_begin_ = std::move(observer);
  }

  /// Makes one attempt. `on_end` is called exactly once, never from within this call. The first byte is
  /// written before `begin_before`, and only to a backend that is ready by then; else the attempt ends as
  /// could not connect. It ends as not sent if `requester`, which may be none, has left by then.
  AttemptHandle Send(BackendId backend, std::shared_ptr<const ForwardedRequest> request, Duration timeout,
                     TimePoint begin_before, AttemptCallback on_end,
                     std::shared_ptr<Requester> requester = nullptr);

  /// Stops waiting for an attempt: it ends as cancelled, unless it has ended or is known not to have run.
  void Cancel(const AttemptHandle& attempt);
  /// The response is of no use any more: unless the request has been written as a whole, the attempt ends as
  /// not sent and never runs.
  void Withdraw(const AttemptHandle& attempt);

  /// Connections that are connecting, in use or idle.
  std::size_t open_connections() const { return open_connections_; }
  /// Backends of the endpoint list.
  std::size_t backend_count() const { return backends_.size(); }

 private:
  struct Backend {
    bool IsReadyAt(const boost::asio::ip::tcp::endpoint& of_connection) const {
      return address == of_connection && state == BackendState::kReady;
    }

    boost::asio::ip::tcp::endpoint address;
    BackendState state = BackendState::kGone;
    std::vector<std::shared_ptr<Connection>> idle;  // the newest last
  };

  void RemoveUnlisted(const EndpointList& snapshot);
  void UpdateBackend(const Endpoint& endpoint);
  void CloseIdle(Backend& backend);
  std::shared_ptr<Connection> TakeIdle(Backend& backend);
  bool EvictConnection();
  AttemptCallback Deferred(AttemptCallback on_end);

  // Called by connections.
  bool AcceptsRequests(BackendId backend, const boost::asio::ip::tcp::endpoint& address) const;
  void AddIdle(std::shared_ptr<Connection> connection);
  void RemoveIdle(const Connection& connection);
  void CloseIdleSince(BackendId backend, TimePoint before);

  boost::asio::io_context& io_;
  const ProxyClock& clock_;
  Limits limits_;
  std::unordered_map<BackendId, Backend> backends_;
  TimePoint last_unsolicited_at_{};  // when a backend last sent unsolicited bytes
  std::size_t open_connections_ = 0;
  bool records_load_reports_ = false;
  Connector connector_;
  std::function<bool()> has_unread_list_;
  std::function<void(BackendId, const ForwardedRequest&)> on_attempt_begin_;
  std::uint64_t attempt_count_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_BACKEND_POOL_H_
