// SPDX-License-Identifier: Apache-2.0
//
// The parts that are played by processes of this program: `multiprocess_test role NAME`. Each takes orders as
// JSON, one a line, on its standard input, says what happens on its standard output in the same way, and ends
// when its input ends: none outlives the trial. The first line it says is {"ready":…}; the answer to
// {"do":"end"} is its whole account, then {"ended":true}.
//
//   backends   those of one zone: HTTP round simulator::Backend, the model that the lab plays
//   clients      those of one zone, paced, through a front that deals among the proxies that are ready
//   raw_clients  those of one zone that do to connections whatever clients may (raw_clients.h)
//   discovery    a list and its watch for each proxy, each told at a time of its own
//   wire         the relay between the groups
//   etcd         stand-in members
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ROLES_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ROLES_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <string>

namespace badgerbridge::multiprocess {

// ms of CLOCK_MONOTONIC.
double NowMs();

// The orders that come in and what is said.
class Orders {
 public:
  using Handler = std::function<void(const boost::json::object&)>;

  explicit Orders(boost::asio::io_context& io);
  // Calls for each order; stops the io_context at the end of the input.
  void Follow(Handler handler);
  static void Say(const boost::json::object& what);

 private:
  void Read();
  boost::asio::io_context& io_;
  boost::asio::posix::stream_descriptor input_;
  boost::asio::streambuf buffer_{64 << 20};
  Handler handler_;
};

// The exit code.
int PlayBackends();
int PlayClients();
int PlayRawClients();
int PlayDiscovery();
int PlayWire();
int PlayEtcd();

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ROLES_H_
