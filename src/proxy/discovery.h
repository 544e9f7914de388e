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

/// Watches the endpoint list by HTTP streaming. Used on the event loop's thread only; must outlive the
/// io_context's last handler.
class Discovery {
 public:
  /// Whatever fails, a discovery that can be reached is heard again less than 6 s after its last message, and
  /// one that returns, less than 6 s after its return.
  struct Timing {
    /// `polls`: calls wait for their turn at one service, and the decision module paces them. Otherwise
    /// discovery is an agent on this machine that pushes lists, and each attempt is free. What it has sent
    /// while no watch is open counts as notified at once, so a watch is tried several times a second.
    static Timing For(bool polls);

    std::chrono::milliseconds connect_timeout{400};   ///< for the connection
    std::chrono::milliseconds response_timeout{400};  ///< for the response to begin
    std::chrono::milliseconds message_timeout{
        2800};                                  ///< from one message to the next: a heartbeat comes every 2 s
    std::chrono::milliseconds min_backoff{50};  ///< after the first failure
    std::chrono::milliseconds max_backoff{200};  ///< after many
  };
  /// Takes a list that has come.
  using OnList = std::function<void(EndpointList)>;

  /// `polls`: the decision module decides on each call, and `on_failed` is called when one has ended.
  /// Otherwise the watch is kept open from here. Nothing happens before Watch().
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, EndpointListReader reader,
            bool polls, std::uint64_t seed, OnList on_list, std::function<void()> on_failed, Timing timing);

  /// Opens the watch, in place of one that is open. A call that waits for its response goes on, since another
  /// one would only lose its turn, and so does a watch whose next message has come and is not read yet.
  /// Either ends in time by itself.
  void Watch();

  /// Goes on at another address, from a snapshot: versions count for the discovery that gave them. What the
  /// old one has written by now is read first.
  void MoveTo(boost::asio::ip::tcp::endpoint address);

  /// Whether bytes of the open watch have come that nobody has read.
  bool HasUnread() const;

  /// The names and the version of the list.
  const EndpointListReader& reader() const { return reader_; }
  /// Where discovery is.
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
  EndpointListResult<bool> HandleBytes(JsonStream& stream, std::string_view bytes, std::uint64_t generation);
  EndpointListResult<bool> HandleMessages(JsonStream& stream, std::string_view bytes,
                                          std::uint64_t generation);

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
  std::uint64_t generation_ = 0;      // of the newest Start(): an older one ends at its next step
  bool awaits_response_ = false;      // a call whose response has not begun
  net::ReadTimeoutGrace read_grace_;  // of the open watch
  net::OneShotTimer move_timer_;
  net::OneShotTimer watchdog_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_DISCOVERY_H_
