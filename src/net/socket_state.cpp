// SPDX-License-Identifier: Apache-2.0
#include "net/socket_state.h"

#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace badgerbridge::net {

using boost::asio::ip::tcp;

namespace {

int Descriptor(const tcp::socket& socket) {
  // native_handle() does not change the socket, but is not const in Asio.
  return const_cast<tcp::socket&>(socket).native_handle();
}

}  // namespace

std::size_t UnreadBytes(const tcp::socket& socket) {
  if (!socket.is_open()) return 0;
  int bytes = 0;
  if (::ioctl(Descriptor(socket), FIONREAD, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

bool PeerHasClosed(tcp::socket& socket) {
  if (!socket.is_open()) return false;
  char byte = 0;
  const ssize_t peeked = ::recv(Descriptor(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (peeked == 0) return true;
  if (peeked < 0) return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  // recv() returns unread data before the end of the stream, so poll() tells whether the stream has ended.
  pollfd state{Descriptor(socket), POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::size_t UnacknowledgedBytes(const tcp::socket& socket) {
  int bytes = 0;
  if (!socket.is_open() || ::ioctl(Descriptor(socket), SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

std::optional<std::chrono::milliseconds> TimeSinceLastDataReceived(tcp::socket& socket) {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (!socket.is_open() || ::getsockopt(Descriptor(socket), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    return std::nullopt;
  if (length < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

bool StopNewHandshakes(tcp::acceptor& acceptor) {
  // The filter of a TCP socket sees a packet from its TCP header on (RFC 9293, section 3.1).
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kSynFlag = 0x02;
  constexpr std::uint32_t kPassPacket = 0xffffffff;
  constexpr std::uint32_t kDropPacket = 0;
  std::array<sock_filter, 4> program{{
      {BPF_LD | BPF_B | BPF_ABS, 0, 0, kFlagsOffset},
      {BPF_JMP | BPF_JSET | BPF_K, 0, 1, kSynFlag},
      {BPF_RET | BPF_K, 0, 0, kDropPacket},
      {BPF_RET | BPF_K, 0, 0, kPassPacket},
  }};
  const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
  return ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) == 0;
}

}  // namespace badgerbridge::net
