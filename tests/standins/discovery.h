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

struct Entry {
  std::string name, address, zone = "a", kind = "standard", status = "Ready";
  int group = 1;
  double weight = 1, since_ms = 0;

  std::string Json() const;
};

class Discovery {
 public:
  explicit Discovery(boost::asio::io_context& io);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  std::string address() const;
  // Tells all watches.
  void Set(const Entry& entry);
  void Remove(const std::string& name);
  std::string List() const;  // the whole list, as JSON
  std::size_t watches() const { return watches_.size(); }
  // Ends all watches, and takes none until it is up again.
  void Down();
  void Up();

 private:
  struct Watch;
  boost::asio::awaitable<void> Accept(std::uint64_t turn);
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  void Tell(const std::string& entry);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  testing::PortReservation port_;
  std::map<std::string, Entry> entries_;
  std::uint64_t index_ = 1, turn_ = 0;
  std::set<std::shared_ptr<Watch>> watches_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_DISCOVERY_H_
