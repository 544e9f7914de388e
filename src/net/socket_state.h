// SPDX-License-Identifier: Apache-2.0
//
// The operating system's state of a TCP socket, read without consuming data.
#ifndef BADGERBRIDGE_NET_SOCKET_STATE_H_
#define BADGERBRIDGE_NET_SOCKET_STATE_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <optional>

namespace badgerbridge::net {

/// The number of bytes received and not read yet. 0 also for a socket that is closed or has failed.
std::size_t UnreadBytes(const boost::asio::ip::tcp::socket& socket);

/// True if the peer has shut down its sending side, closed or reset the connection, even if unread bytes
/// precede that end. False for a socket that is not open.
bool PeerHasClosed(boost::asio::ip::tcp::socket& socket);

/// The number of bytes written that the peer's system has not acknowledged; a reset now would discard them. 0
/// if the system does not report it.
std::size_t UnacknowledgedBytes(const boost::asio::ip::tcp::socket& socket);

/// The time since the last data was received from the peer, read or not, to within a few milliseconds.
/// std::nullopt if the system does not report it (the source is Linux's TCP_INFO, see tcp(7)).
std::optional<std::chrono::milliseconds> TimeSinceLastDataReceived(boost::asio::ip::tcp::socket& socket);

/// Stops new handshakes at this listening socket: from now on each SYN is dropped, and its client sends it
/// again later. Connections whose handshake has begun are completed and can be accepted. For use before a
/// listening socket is closed, since close() resets the connections that are completed and not accepted.
/// False if the system does not support it.
bool StopNewHandshakes(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace badgerbridge::net

#endif  // BADGERBRIDGE_NET_SOCKET_STATE_H_
