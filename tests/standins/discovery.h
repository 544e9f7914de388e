// SPDX-License-Identifier: Apache-2.0
//
// Stand-in discovery: the list and its watch, as the platform's protocol has them, on a loopback socket.
#ifndef BADGERBRIDGE_TESTS_STANDINS_DISCOVERY_H_
#define BADGERBRIDGE_TESTS_STANDINS_DISCOVERY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/port_reservation.h"

namespace badgerbridge::standins {

/// An entry of the endpoint list.
struct Entry {
  std::string name, address, zone = "a", kind = "standard", status = "Ready";
  int group = 1;
  double weight = 1, since_ms = 0;

  /// The entry as a JSON object of the platform.
  std::string Json() const;
};

/// Serves the list and its watch, on a port that stays its own while it is down.
class Discovery {
 public:
  /// It listens at once, with an empty list.
  explicit Discovery(boost::asio::io_context& io);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// Its address as text.
  std::string address() const;
  /// Adds or changes an entry, and notifies all watches.
  void Set(const Entry& entry);
  /// Removes an entry, and notifies all watches.
  void Remove(const std::string& name);
  /// The whole list, as JSON.
  std::string List() const;
  /// Open watches.
  std::size_t watches() const { return watches_.size(); }
  /// Ends all watches, and accepts none until Up().
  void Down();
  /// Listens again at the same address.
  void Up();

 private:
  struct Watch;
  boost::asio::awaitable<void> Accept(std::uint64_t generation);
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  void NotifyWatches(const std::string& entry);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  testing::PortReservation port_;
  std::map<std::string, Entry> entries_;
  std::uint64_t index_ = 1;
  std::uint64_t generation_ = 0;  // counts ends and starts
  std::set<std::shared_ptr<Watch>> watches_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_DISCOVERY_H_
