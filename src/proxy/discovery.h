// SPDX-License-Identifier: Apache-2.0
//
// The client of discovery: watches its endpoint list and reconnects.
#ifndef BADGERBRIDGE_PROXY_DISCOVERY_H_
#define BADGERBRIDGE_PROXY_DISCOVERY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string_view>

#include "net/one_shot_timer.h"
#include "net/read_timeout_grace.h"
#include "proxy/endpoint_list_reader.h"
#include "proxy/error.h"
#include "proxy/json_stream.h"

namespace badgerbridge::proxy {

/// Watches the endpoint list by HTTP streaming or polling. Used on the event loop's thread only; must outlive
/// the io_context's last handler.
class Discovery {
 public:
  /// Timeouts and backoff. Together they bound the time without messages: if discovery is reachable, less
  /// than 6 s after its last message; after an outage, less than 6 s after it is reachable again.
  struct Timing {
    /// `polls`: calls queue at one central service, and the decision module decides when to call. Otherwise
    /// discovery is an agent on this machine that pushes lists, and connecting to it is cheap. The platform
    /// counts what the agent sends while no watch is open as delivered at once, so a failed watch is retried
    /// several times a second.
    static Timing For(bool polls);

    std::chrono::milliseconds connect_timeout{400};   ///< for connecting
    std::chrono::milliseconds response_timeout{400};  ///< for the header of the response
    std::chrono::milliseconds message_timeout{2800};  ///< between messages; heartbeats come every 2 s
    std::chrono::milliseconds min_backoff{50};        ///< after the first failure
    std::chrono::milliseconds max_backoff{200};       ///< upper limit
  };
  /// Receives each list. When polling, a heartbeat that comes instead of the first list is an empty delta:
  /// the known version is the current one.
  using OnList = std::function<void(EndpointList)>;

  /// `polls`: the decision module decides when to call, and `on_failed` is called when a call has ended.
  /// Otherwise this class keeps the watch open. Nothing is sent before Watch().
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, EndpointListReader reader,
            bool polls, std::uint64_t seed, OnList on_list, std::function<void()> on_failed, Timing timing);

  /// Opens the watch and replaces an open one. When polling, keeps a call or a watch that is open, since a
  /// new call would go to the end of the queue. Timeouts end both if they fall silent.
  void Watch();

  /// Switches to another discovery address and requests a snapshot, because versions are valid only at the
  /// discovery that issued them. Reads what the old one has already sent first.
  void ChangeAddress(boost::asio::ip::tcp::endpoint address);

  /// Whether the socket of the open watch holds unread bytes.
  bool HasUnread() const;

  /// The reader, with the names and version of the current list.
  const EndpointListReader& reader() const { return reader_; }
  /// The current address of discovery.
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }

 private:
  struct Connection;

  void Start();
  bool AwaitsRead();
  void ArmWatchdog();
  void OnWatchdog();
  boost::asio::awaitable<void> Run(std::uint64_t generation);
  boost::asio::awaitable<void> WatchOnce(std::uint64_t generation);
  boost::asio::awaitable<bool> Open(Connection& connection, std::uint64_t generation);
  boost::asio::awaitable<void> ReadMessages(Connection& connection, std::uint64_t generation);
  std::chrono::milliseconds NextBackoff();
  EndpointListResult<bool> HandleBytes(Connection& connection, std::string_view bytes,
                                       std::uint64_t generation);
  EndpointListResult<bool> HandleMessages(Connection& connection, std::string_view bytes,
                                          std::uint64_t generation);
  bool HandleHeartbeat(Connection& connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  EndpointListReader reader_;
  bool polls_;
  std::mt19937_64 random_;
  OnList on_list_;
  std::function<void()> on_failed_;
  Timing timing_;
  std::chrono::milliseconds backoff_;
  std::shared_ptr<boost::beast::tcp_stream> stream_;  // of the open watch
  std::uint64_t generation_ = 0;      // counts Start(); coroutines of older generations end at the next step
  bool is_open_ = false;              // a call or its watch is open
  net::ReadTimeoutGrace read_grace_;  // of the open watch
  net::OneShotTimer address_change_timer_;
  net::OneShotTimer watchdog_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_DISCOVERY_H_
