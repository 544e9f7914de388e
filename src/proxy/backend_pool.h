// SPDX-License-Identifier: Apache-2.0
//
// Pools the connections to backends and makes attempts on them, one at a time on each connection.
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
  /// Limits on connections and waits.
  struct Limits {
    /// Takes the limits that the proxy's configuration sets; the others keep their defaults.
    static Limits From(const Config& config);

    std::size_t max_connections = 480;  ///< to all backends together
    /// Idle connections per backend. Connections left over from a burst cost memory and descriptors on both
    /// sides.
    std::size_t max_idle_per_backend = 16;
    /// Minimum idle time of a connection before its next request, enforced for kUnsolicitedBytesWindow after
    /// a backend has sent unsolicited bytes: a faulty backend that responds twice does so a few milliseconds
    /// apart, and the second response would be taken for that of the next request. Enforcing it always would
    /// need more connections (scenario brink, ten seeds: a score of 0.808 instead of 0.828).
    Duration min_idle_after_unsolicited{20};
    Duration connect_timeout{250};  ///< for connecting, and for the rest of a partial response
    Duration idle_timeout{15000};   ///< after which the backend may close an idle connection
  };
  /// Receives the result of an attempt.
  using AttemptCallback = std::function<void(AttemptResult)>;
  /// Connects a socket to an address and calls back exactly once with the result, never from within the call.
  using Connector = std::function<void(boost::asio::ip::tcp::socket&, const boost::asio::ip::tcp::endpoint&,
                                       std::function<void(boost::system::error_code)>)>;
  class Connection;

  /// Refers to one attempt and stays valid after its end. A default-constructed handle refers to none.
  struct AttemptHandle {
    std::weak_ptr<Connection> connection;  ///< the connection that runs the attempt
    std::uint64_t number = 0;              ///< identifies the attempt among those on the connection
  };

  /// Creates a pool without backends; Update() adds them. `clock` must outlive the pool.
  BackendPool(boost::asio::io_context& io, const ProxyClock& clock, Limits limits);
  /// Closes the idle connections.
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Applies a list: a snapshot replaces all backends, a change updates those that it names.
  void Update(const EndpointList& list);
  /// Makes later results carry the load reports of responses.
  void RecordLoadReports() { records_load_reports_ = true; }
  /// Whether at least one backend accepts requests.
  bool HasReadyBackend() const;
  /// Replaces the function that connects sockets (default: async_connect).
  void SetConnector(Connector connector) { connector_ = std::move(connector); }
  /// `has_unread_list` is called before the first byte of each attempt. It returns true while a list from
  /// discovery is unread in its socket, as after the process was descheduled. The attempt then waits for a
  /// bounded number of iterations of the event loop.
  void SetUnreadListCheck(std::function<bool()> has_unread_list) {
    has_unread_list_ = std::move(has_unread_list);
  }
  /// `observer` is called just before the first byte of each attempt is written.
  void SetAttemptObserver(std::function<void(BackendId, const ForwardedRequest&)> observer) {
    on_attempt_begin_ = std::move(observer);
  }

  /// Makes one attempt. `on_end` is called exactly once, never from within this call. The attempt ends with
  /// kConnectFailed unless the backend is ready when the first byte is written and the whole request is
  /// written before `begin_before`. It ends with kNotSent if the client of `requester` (may be null) has
  /// disconnected before the first byte.
  AttemptHandle Send(BackendId backend, std::shared_ptr<const ForwardedRequest> request, Duration timeout,
                     TimePoint begin_before, AttemptCallback on_end,
                     std::shared_ptr<Requester> requester = nullptr);

  /// Stops waiting for an attempt. It ends with kCancelled, or with kConnectFailed if its last byte has not
  /// been written. Does nothing if it has ended.
  void Cancel(const AttemptHandle& attempt);
  /// Withdraws an attempt whose response is no longer needed: it ends with kNotSent and never runs, unless
  /// the whole request has been written.
  void Withdraw(const AttemptHandle& attempt);

  /// The number of connections that are connecting, in use or idle.
  std::size_t open_connections() const { return open_connections_; }
  /// The number of backends in the endpoint list.
  std::size_t backend_count() const { return backends_.size(); }

 private:
  // The process that a name of the list stands for. Another process may take its place under the same name or
  // address, in another deduplication group, and has none of its connections and state.
  struct Instance {
    bool operator==(const Instance&) const = default;

    boost::asio::ip::tcp::endpoint address;
    TimePoint up_since{};
    int zone = 0;
    int cell = 0;
  };

  struct Backend {
    bool IsReady(const Instance& expected) const {
      return instance == expected && state == BackendState::kReady;
    }

    Instance instance;
    BackendState state = BackendState::kGone;
    std::vector<std::shared_ptr<Connection>> idle;  // most recently used last
  };

  void RemoveUnlisted(const EndpointList& snapshot);
  void UpdateBackend(const Endpoint& endpoint);
  void CloseIdle(Backend& backend);
  std::shared_ptr<Connection> AcquireIdle(Backend& backend);
  bool EvictConnection();
  AttemptCallback PostedCallback(AttemptCallback on_end);

  // Called by Connection.
  bool AcceptsRequests(BackendId backend, const Instance& instance) const;
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
