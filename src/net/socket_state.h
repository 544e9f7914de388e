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

/// The number of bytes received and not read yet; 0 for a socket that is closed or has failed.
std::size_t UnreadBytes(const boost::asio::ip::tcp::socket& socket);

/// True if the peer has shut down its sending side, closed or reset the connection, even if unread bytes
/// precede that end. False for a socket that is not open.
bool PeerHasClosed(boost::asio::ip::tcp::socket& socket);

/// The number of written bytes that the peer's TCP has not acknowledged; a reset would discard them. 0
/// if the system does not report it.
std::size_t UnacknowledgedBytes(const boost::asio::ip::tcp::socket& socket);

/// The time since the last data was received from the peer, read or not, to within a few milliseconds.
/// std::nullopt if the system does not report it (the source is Linux's TCP_INFO, see tcp(7)).
std::optional<std::chrono::milliseconds> TimeSinceLastDataReceived(boost::asio::ip::tcp::socket& socket);

/// Drops each further SYN at this listening socket; the client retransmits it later. Connections whose
/// handshake has begun are completed and can be accepted. Call it before closing a listening socket, and
/// accept the remaining connections: close() resets those that are completed and not accepted. False if the
/// system does not support it.
bool StopNewHandshakes(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace badgerbridge::net

#endif  // BADGERBRIDGE_NET_SOCKET_STATE_H_
