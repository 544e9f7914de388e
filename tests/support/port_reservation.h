// SPDX-License-Identifier: Apache-2.0

/// \file
/// A loopback port that no other process is given while its server is down.
#ifndef BADGERBRIDGE_TESTS_SUPPORT_PORT_RESERVATION_H_
#define BADGERBRIDGE_TESTS_SUPPORT_PORT_RESERVATION_H_

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace badgerbridge::testing {

/// Keeps a TCP port for one server, which listens with SO_REUSEADDR, as Asio's acceptors do by default. While
/// the server is down, connections are refused, and the system gives the port to nobody who asks for a free
/// one.
class PortReservation {
 public:
  /// Port 0: any free port. Throws boost::system::system_error if the port is taken.
  explicit PortReservation(
      boost::asio::io_context& io,
      const boost::asio::ip::tcp::endpoint& address = {boost::asio::ip::address_v4::loopback(), 0})
      : socket_(io, address.protocol()) {
    socket_.set_option(boost::asio::socket_base::reuse_address(true));
    socket_.bind(address);
    ::fcntl(socket_.native_handle(), F_SETFD, FD_CLOEXEC);  // no descriptor of programs that a test starts
  }

  /// Where the server listens.
  boost::asio::ip::tcp::endpoint address() const { return socket_.local_endpoint(); }

 private:
  boost::asio::ip::tcp::socket socket_;  // bound, and never listening
};

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_SUPPORT_PORT_RESERVATION_H_
