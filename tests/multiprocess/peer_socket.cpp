// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/peer_socket.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <system_error>

namespace badgerbridge::multiprocess {

using boost::asio::ip::tcp;

namespace {

constexpr std::uint8_t kTcpListen =
    10;  // <netinet/tcp.h> can't be included beside <linux/inet_diag.h>'s headers

[[noreturn]] void Fail(int error, const char* what) {
  throw std::system_error(error, std::generic_category(), what);
}

// As netlink(7) takes it.
struct DiagnosticRequest {
  nlmsghdr header{};
  inet_diag_req_v2 body{};
};

DiagnosticRequest RequestFor(const tcp::endpoint& local, const tcp::endpoint& remote) {
  DiagnosticRequest request;
  request.header.nlmsg_len = sizeof request;
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  inet_diag_req_v2& body = request.body;
  body.sdiag_family = AF_INET;
  body.sdiag_protocol = IPPROTO_TCP;
  body.idiag_states = ~0u;
  body.id.idiag_sport = htons(local.port());
  body.id.idiag_dport = htons(remote.port());
  body.id.idiag_src[0] = htonl(local.address().to_v4().to_uint());
  body.id.idiag_dst[0] = htonl(remote.address().to_v4().to_uint());
  body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return request;
}

}  // namespace

PeerSocketInspector::PeerSocketInspector()
    : netlink_(socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG)) {
  if (!netlink_.is_open()) Fail(errno, "sock_diag");
}

std::optional<std::size_t> PeerSocketInspector::UnreadBytes(const tcp::endpoint& local,
                                                            const tcp::endpoint& remote) {
  const DiagnosticRequest request = RequestFor(local, remote);
  if (send(netlink_.get(), &request, sizeof request, 0) < 0) Fail(errno, "sock_diag: request");
  alignas(nlmsghdr) std::array<char, 8192> answer{};
  const ssize_t received = recv(netlink_.get(), answer.data(), answer.size(), 0);
  if (received < static_cast<ssize_t>(sizeof(nlmsghdr)))
    Fail(received < 0 ? errno : EPROTO, "sock_diag: answer");
  nlmsghdr header{};
  std::memcpy(&header, answer.data(), sizeof header);
  if (header.nlmsg_type == NLMSG_ERROR) {
    nlmsgerr error{};
    std::memcpy(&error, answer.data() + NLMSG_HDRLEN, sizeof error);
    if (error.error == -ENOENT) return std::nullopt;
    Fail(-error.error, "sock_diag");
  }
  inet_diag_msg state{};
  std::memcpy(&state, answer.data() + NLMSG_HDRLEN, sizeof state);
  // Where there is no such connection, the kernel answers for the listening socket.
  if (state.idiag_state == kTcpListen) return std::nullopt;
  return state.idiag_rqueue;
}

}  // namespace badgerbridge::multiprocess
