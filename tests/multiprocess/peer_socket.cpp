// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/peer_socket.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <system_error>

namespace badgerbridge::multiprocess {

using boost::asio::ip::tcp;

namespace {

constexpr std::uint8_t kListening = 10;  // TCP_LISTEN; <netinet/tcp.h> does not go with the system's headers

[[noreturn]] void Fail(int error, const char* what) {
  throw std::system_error(error, std::generic_category(), what);
}

struct Question {
  nlmsghdr header{};
  inet_diag_req_v2 body{};
};

Question About(const tcp::endpoint& local, const tcp::endpoint& remote) {
  Question question;
  question.header.nlmsg_len = sizeof question;
  question.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  question.header.nlmsg_flags = NLM_F_REQUEST;
  inet_diag_req_v2& body = question.body;
  body.sdiag_family = AF_INET;
  body.sdiag_protocol = IPPROTO_TCP;
  body.idiag_states = ~0u;
  body.id.idiag_sport = htons(local.port());
  body.id.idiag_dport = htons(remote.port());
  body.id.idiag_src[0] = htonl(local.address().to_v4().to_uint());
  body.id.idiag_dst[0] = htonl(remote.address().to_v4().to_uint());
  body.id.idiag_cookie[0] = body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return question;
}

}  // namespace

PeerSockets::PeerSockets() : socket_(socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG)) {
  if (socket_ < 0) Fail(errno, "sock_diag");
}

PeerSockets::~PeerSockets() { close(socket_); }

std::optional<std::size_t> PeerSockets::Unread(const tcp::endpoint& local, const tcp::endpoint& remote) {
  const Question question = About(local, remote);
  if (send(socket_, &question, sizeof question, 0) < 0) Fail(errno, "sock_diag: ask");
  alignas(nlmsghdr) std::array<char, 8192> answer{};
  const ssize_t got = recv(socket_, answer.data(), answer.size(), 0);
  if (got < static_cast<ssize_t>(sizeof(nlmsghdr))) Fail(got < 0 ? errno : EPROTO, "sock_diag: answer");
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
  // Where there is no such connection, the system tells of the listening socket.
  if (state.idiag_state == kListening) return std::nullopt;
  return state.idiag_rqueue;
}

}  // namespace badgerbridge::multiprocess
