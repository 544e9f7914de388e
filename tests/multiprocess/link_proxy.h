// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The network between groups of processes, as a TCP proxy on loopback: each way from one group to another
/// process has a listener of its own, and what passes it can be delayed, cut one way or both, slowed to a
/// trickle, reset, half closed, or refused a share of its new connections, on command and at once for all
/// connections of a link. A cut is silent: bytes in flight wait until it heals, and new connections are never
/// established (the listener's queue is kept full, so that the kernel leaves SYNs unanswered).
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_LINK_PROXY_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_LINK_PROXY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace badgerbridge::multiprocess {

/// What one direction of a link does to the bytes on it.
struct LinkDirection {
  std::chrono::microseconds delay{0};   ///< Of each piece.
  std::chrono::microseconds jitter{0};  ///< Of each piece, up to so much more.
  bool is_cut = false;                  ///< Nothing passes.
  double bytes_per_s = 0;               ///< 0: without limit.
};

/// What a link does to its connections.
struct Link {
  LinkDirection forward;       ///< From the group that connects.
  LinkDirection back;          ///< To it.
  double swallowed_share = 0;  ///< Of new connections: established, but they never carry a byte.
};

/// The proxy. For one thread, that of its io_context.
class LinkProxy {
 public:
  /// `seed`: of jitter, and of the choice of swallowed connections.
  LinkProxy(boost::asio::io_context& io, std::uint64_t seed);
  /// Resets all connections.
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  /// Opens a listener on `host` for the processes of group `from`; connections to it are forwarded to
  /// `target`, of group `to`. Throws boost::system::system_error if it can't listen.
  boost::asio::ip::tcp::endpoint Open(const std::string& from, const std::string& to,
                                      const boost::asio::ip::tcp::endpoint& target,
                                      const boost::asio::ip::address_v4& host);

  /// Replaces what the open links from one group to another do; "*" stands for every group.
  void SetLink(const std::string& from, const std::string& to, const Link& link);
  /// Resets both sides of every connection of these links.
  void Reset(const std::string& from, const std::string& to);
  /// Ends the sending side of both sockets of every connection of these links.
  void HalfClose(const std::string& from, const std::string& to);

  /// Connections that are open now.
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Listener;
  struct Connection;
  enum class Direction { kForward, kBack };

  std::vector<std::shared_ptr<Listener>> Matching(const std::string& from, const std::string& to) const;
  boost::asio::awaitable<void> Accept(std::shared_ptr<Listener> listener, std::uint64_t generation);
  boost::asio::awaitable<void> Serve(std::shared_ptr<Connection> connection);
  boost::asio::awaitable<void> Forward(std::shared_ptr<Connection> connection, Direction direction);
  boost::asio::awaitable<void> ForwardUntilEnd(Connection& connection, Direction direction);
  void Block(Listener& listener);
  void Unblock(const std::shared_ptr<Listener>& listener);
  bool DrawSwallowed(const Link& link);
  std::chrono::microseconds DrawDelay(const LinkDirection& direction);

  boost::asio::io_context& io_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Listener>> listeners_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_LINK_PROXY_H_
