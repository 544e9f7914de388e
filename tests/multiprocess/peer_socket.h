// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What this machine's system knows of the other end of a loopback connection, from outside of the process
/// that holds it (sock_diag(7)).
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_PEER_SOCKET_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_PEER_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>

#include "agent/file_descriptor.h"

namespace badgerbridge::multiprocess {

/// Asks the kernel about TCP sockets of any process.
class PeerSocketInspector {
 public:
  /// Throws std::system_error if the kernel can't be asked.
  PeerSocketInspector();

  /// Bytes that have come to the socket with this `local` and `remote` address (IPv4) and that its process
  /// has not read. Nothing if there is no such connection any more. Throws std::system_error if the kernel
  /// does not answer.
  std::optional<std::size_t> UnreadBytes(const boost::asio::ip::tcp::endpoint& local,
                                         const boost::asio::ip::tcp::endpoint& remote);

 private:
  agent::FileDescriptor netlink_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_PEER_SOCKET_H_
