// SPDX-License-Identifier: Apache-2.0
//
// What this machine's system knows of the other end of a loopback connection, asked from outside of the
// process that holds it (sock_diag(7)).
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_PEER_SOCKET_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_PEER_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>

namespace badgerbridge::multiprocess {

class PeerSockets {
 public:
  PeerSockets();  // throws std::system_error if the system can't be asked
  ~PeerSockets();
  PeerSockets(const PeerSockets&) = delete;
  PeerSockets& operator=(const PeerSockets&) = delete;

  /// Bytes that have come to the end that has this `local` and `remote` address (IPv4) and that its process
  /// has not read. Nothing if there is no such end any more. Throws std::system_error if the system does not
  /// answer.
  std::optional<std::size_t> Unread(const boost::asio::ip::tcp::endpoint& local,
                                    const boost::asio::ip::tcp::endpoint& remote);

 private:
  int socket_ = -1;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_PEER_SOCKET_H_
