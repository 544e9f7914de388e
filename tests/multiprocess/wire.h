// SPDX-License-Identifier: Apache-2.0
//
// The network between groups of processes, as a relay on loopback: each way from one group to another process
// has a listener of its own, and what passes it can be delayed, cut one way or both, slowed to a trickle,
// reset, half closed, or refused a share of its new connections, on command and at once for all connections
// of a link. A cut is silent: what is under way stays unsaid until it heals, and new connections never come
// up (the listener's queue is kept full, so that the kernel leaves SYNs unanswered).
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_WIRE_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_WIRE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace badgerbridge::multiprocess {

// What one direction of a link does to the bytes on it.
struct Way {
  std::chrono::microseconds delay{0}, jitter{0};  // of each piece: delay, and up to so much more
  bool cut = false;
  double bytes_per_s = 0;  // 0: as fast as it goes
};

struct Link {
  Way there, back;       // from the one that connects, and to it
  double swallowed = 0;  // share of new connections that come up and never carry a byte
};

class Wire {
 public:
  Wire(boost::asio::io_context& io, std::uint64_t seed);
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  // A listener on `host` for whoever stands in group `from`; what connects there is led to `target`, of group
  // `to`. Throws boost::system::system_error if it can't listen.
  boost::asio::ip::tcp::endpoint Open(const std::string& from, const std::string& to,
                                      const boost::asio::ip::tcp::endpoint& target,
                                      const boost::asio::ip::address_v4& host);

  // "*" means every group. Links that are opened later begin as plain ones.
  void Set(const std::string& from, const std::string& to, const Link& link);
  // Ends every connection of these links: by a reset of both sides, or the sending side of both alone.
  void Reset(const std::string& from, const std::string& to);
  void HalfClose(const std::string& from, const std::string& to);

  std::size_t connections() const { return sessions_.size(); }
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Port;
  struct Session;

  template <typename Do>
  void Each(const std::string& from, const std::string& to, Do act);
  boost::asio::awaitable<void> Accept(std::shared_ptr<Port> port, std::uint64_t turn);
  boost::asio::awaitable<void> Serve(std::shared_ptr<Session> session);
  boost::asio::awaitable<void> Pump(std::shared_ptr<Session> session, bool there);
  void Block(Port& port);
  void Unblock(const std::shared_ptr<Port>& port);

  boost::asio::io_context& io_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Port>> ports_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::uint64_t bytes_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_WIRE_H_
