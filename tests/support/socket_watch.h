// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What this program's sockets do in the kernel: what has been read from which peer, and the kernel's figures
/// that go by real time, given by the steady clock instead, which may be virtual.
#ifndef BADGERBRIDGE_TESTS_SUPPORT_SOCKET_WATCH_H_
#define BADGERBRIDGE_TESTS_SUPPORT_SOCKET_WATCH_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace badgerbridge::testing {

/// While one exists it observes each read and each accept of the program. At most one exists at a time; for a
/// single-threaded test.
///
/// How: this program's own accept, getsockopt, readv, recv and recvmsg take the place of the C library's.
class SocketWatch {
 public:
  /// A peer, IPv4.
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// Begins to observe.
  SocketWatch();
  /// Ends observing.
  ~SocketWatch();
  SocketWatch(const SocketWatch&) = delete;
  SocketWatch& operator=(const SocketWatch&) = delete;

  /// Bytes read from the sockets whose peer this is; a read that leaves them there (MSG_PEEK) does not count.
  std::size_t BytesReadFrom(const Endpoint& peer) const;

  /// Records that the newest data of this peer came now: TCP_INFO gives its age from here on.
  void NoteDataFrom(const Endpoint& peer);

  /// Sets the send buffer of the sockets that are accepted from here on, in bytes; the kernel doubles it.
  /// Nothing: the kernel's own.
  void SetSendBufferOfAccepted(std::optional<int> bytes) { send_buffer_ = bytes; }

  /// \name For this program's own system functions
  /// @{

  /// A connection has been accepted.
  void OnAccept(int descriptor) const;
  /// Bytes have been read.
  void OnRead(int descriptor, std::size_t bytes);
  /// Milliseconds since the newest data of the socket's peer came. Nothing: the kernel's own figure stands.
  std::optional<std::uint32_t> AgeOfData(int descriptor) const;

  /// @}

 private:
  std::map<Endpoint, std::size_t> bytes_read_;
  std::map<Endpoint, std::chrono::steady_clock::time_point> last_data_;
  std::optional<int> send_buffer_;  // of accepted sockets
};

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_SUPPORT_SOCKET_WATCH_H_
