// SPDX-License-Identifier: Apache-2.0
//
// What this program's sockets do in the kernel: what has been read from which peer, and the kernel's figures
// that go by real time, told by the steady clock instead, which may be virtual.
#ifndef BADGERBRIDGE_TESTS_SUPPORT_SOCKET_WATCH_H_
#define BADGERBRIDGE_TESTS_SUPPORT_SOCKET_WATCH_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace badgerbridge::testing {

// While one exists it sees each read and each accept of the program. For a single-threaded test.
//
// How: this program's own accept, getsockopt, readv, recv and recvmsg take the place of the C library's.
class SocketWatch {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  SocketWatch();
  ~SocketWatch();
  SocketWatch(const SocketWatch&) = delete;
  SocketWatch& operator=(const SocketWatch&) = delete;

  // Bytes taken out of the sockets whose peer this is; a look that leaves them there does not count.
  std::size_t BytesReadFrom(const Endpoint& peer) const;

  // The newest data of this peer came now: TCP_INFO says so from here on.
  void NoteDataFrom(const Endpoint& peer);

  // The send buffer of the sockets that are accepted from here on, in bytes; the kernel doubles it. Nothing:
  // the kernel's own.
  void SetSendBufferOfAccepted(std::optional<int> bytes) { send_buffer_ = bytes; }

  // For the program's own functions.
  void Accepted(int descriptor) const;
  void Read(int descriptor, std::size_t bytes);
  // Milliseconds since the newest data of the socket's peer came. Nothing: the kernel's own figure stands.
  std::optional<std::uint32_t> AgeOfData(int descriptor) const;

 private:
  std::map<Endpoint, std::size_t> read_;
  std::map<Endpoint, std::chrono::steady_clock::time_point> data_came_;
  std::optional<int> send_buffer_;
};

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_SUPPORT_SOCKET_WATCH_H_
