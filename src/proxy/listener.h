// SPDX-License-Identifier: Apache-2.0
//
// The client side of the proxy: accepts connections, each handled by a session (proxy/session.h), and closes
// them during a drain or a stop.
#ifndef BADGERBRIDGE_PROXY_LISTENER_H_
#define BADGERBRIDGE_PROXY_LISTENER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "net/one_shot_timer.h"
#include "proxy/config.h"
#include "proxy/connection_acceptor.h"
#include "proxy/listener_limits.h"
#include "proxy/proxy.h"
#include "proxy/recent_ids.h"
#include "proxy/request_validator.h"
#include "proxy/session_list.h"
#include "proxy/stop_schedule.h"

namespace badgerbridge::proxy {

/// Listens for clients. Runs on the io_context's single thread. Must outlive its sessions' handlers.
class Listener {
 public:
  /// How long (in ms) a draining proxy must be without a request to count as idle.
  static constexpr Duration kDrainIdleTime{1000};

  /// Binds, listens and starts to accept; throws boost::system::system_error. The references must outlive
  /// this object.
  Listener(boost::asio::io_context& io, const ProxyClock& clock, Proxy& proxy, const Config& config,
           ListenerLimits limits = {});
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// The listening address. Throws boost::system::system_error once the listening socket is closed.
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  /// Begins a graceful stop: accepts connections for ListenerLimits::accept_grace, answers all accepted
  /// requests, then calls `stopped` from the event loop. A second call has no effect.
  void Stop(std::function<void()> stopped);

  /// Begins a drain that lasts until Undrain(): GET /ready is answered with 503, each connection is closed
  /// after its answer, and idle connections are closed. New requests are still served. Stop() may follow at
  /// any time.
  void Drain();
  /// Ends a drain. No effect without one.
  void Undrain();
  /// Whether a drain has begun and not ended.
  bool draining() const { return draining_; }
  /// Whether a stop has begun.
  bool stopping() const { return stop_schedule_.has_begun(); }
  /// Whether no request is open or being received, and none has been accepted for kDrainIdleTime.
  bool IsIdle() const;

  /// Open connections, including lingering ones, which wait for their client to close.
  std::size_t connections() const { return sessions_.size(); }
  /// Open connections without lingering ones, at most Config::max_clients.
  std::size_t active_connections() const { return sessions_.active(); }
  /// Requests rejected before they entered the request table.
  std::uint64_t rejected() const { return rejected_; }
  /// Number of recent request ids kept to reject duplicates.
  std::size_t recent_ids() const { return recent_ids_.size(); }

 private:
  friend class Session;  // sessions use the state below, which they share

  using AcceptResult = ConnectionAcceptor::AcceptResult;

  // Accept loop.
  void Accept() noexcept;
  void AwaitConnection();
  bool MakeRoom();
  void OnConnection();
  void AcceptAfter(std::chrono::milliseconds wait) noexcept;
  void Admit(int descriptor);
  void Remove(SessionList::Position position) noexcept;
  void ResumeAccept() noexcept;

  // Drain.
  void SweepIdleSessions();

  // Stop.
  void StopHandshakes();
  void CloseListenerAfter(std::chrono::milliseconds wait);
  void CloseListener();
  bool AcceptAll();
  void FinishStopIfDone() noexcept;
  bool IsPastAnswerDeadline() const;

  boost::asio::io_context& io_;
  const ProxyClock& clock_;
  Proxy& proxy_;
  RequestValidator validator_;
  std::size_t max_clients_;
  boost::asio::ip::tcp protocol_;
  ListenerLimits limits_;
  StopSchedule stop_schedule_;
  RecentIds recent_ids_;
  ConnectionAcceptor acceptor_;
  net::OneShotTimer stop_timer_;
  net::OneShotTimer accept_pause_;
  net::OneShotTimer drain_sweep_;
  std::array<char, 65536> discard_buffer_;  // scratch buffer of all sessions for input that they discard
  SessionList sessions_;
  bool draining_ = false;
  TimePoint last_request_at_{};  // when a request was last accepted, or when the drain began
  std::uint64_t rejected_ = 0;
  std::function<void()> stopped_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_LISTENER_H_
