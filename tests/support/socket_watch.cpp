// SPDX-License-Identifier: Apache-2.0
#include "support/socket_watch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstdlib>

namespace {

using badgerbridge::testing::SocketWatch;
using Endpoint = SocketWatch::Endpoint;

SocketWatch* watch = nullptr;

std::optional<Endpoint> PeerOf(int descriptor) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0) return std::nullopt;
  if (address.sin_family != AF_INET) return std::nullopt;
  return Endpoint(boost::asio::ip::make_address_v4(ntohl(address.sin_addr.s_addr)), ntohs(address.sin_port));
}

// Passes on what a system call returned.
ssize_t RecordRead(int descriptor, ssize_t bytes) {
  if (watch && bytes > 0) watch->OnRead(descriptor, static_cast<std::size_t>(bytes));
  return bytes;
}

}  // namespace

extern "C" int accept(int listening, sockaddr* address, socklen_t* length) {
  constexpr int kNoFlags = 0;
  const int descriptor = static_cast<int>(syscall(SYS_accept4, listening, address, length, kNoFlags));
  if (watch && descriptor >= 0) watch->OnAccept(descriptor);
  return descriptor;
}

extern "C" ssize_t recv(int descriptor, void* into, size_t size, int flags) {
  const ssize_t bytes = syscall(SYS_recvfrom, descriptor, into, size, flags, nullptr, nullptr);
  return (flags & MSG_PEEK) != 0 ? bytes : RecordRead(descriptor, bytes);
}

extern "C" ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  const ssize_t bytes = syscall(SYS_recvmsg, descriptor, message, flags);
  return (flags & MSG_PEEK) != 0 ? bytes : RecordRead(descriptor, bytes);
}

extern "C" ssize_t readv(int descriptor, const iovec* into, int count) {
  return RecordRead(descriptor, syscall(SYS_readv, descriptor, into, count));
}

extern "C" int getsockopt(int descriptor, int level, int option, void* value, socklen_t* length) noexcept {
  const int result = static_cast<int>(syscall(SYS_getsockopt, descriptor, level, option, value, length));
  if (!watch || result != 0 || level != IPPROTO_TCP || option != TCP_INFO) return result;
  if (const auto age = watch->AgeOfData(descriptor); age && *length >= sizeof(tcp_info))
    static_cast<tcp_info*>(value)->tcpi_last_data_recv = *age;
  return result;
}

namespace badgerbridge::testing {

SocketWatch::SocketWatch() {
  if (watch) std::abort();
  watch = this;
}

SocketWatch::~SocketWatch() { watch = nullptr; }

std::size_t SocketWatch::BytesReadFrom(const Endpoint& peer) const {
  const auto found = bytes_read_.find(peer);
  return found == bytes_read_.end() ? 0 : found->second;
}

void SocketWatch::NoteDataFrom(const Endpoint& peer) { last_data_[peer] = std::chrono::steady_clock::now(); }

void SocketWatch::OnAccept(int descriptor) const {
  if (send_buffer_) ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &*send_buffer_, sizeof *send_buffer_);
}

void SocketWatch::OnRead(int descriptor, std::size_t bytes) {
  if (const auto peer = PeerOf(descriptor)) bytes_read_[*peer] += bytes;
}

std::optional<std::uint32_t> SocketWatch::AgeOfData(int descriptor) const {
  const auto peer = PeerOf(descriptor);
  const auto found = peer ? last_data_.find(*peer) : last_data_.end();
  if (found == last_data_.end()) return std::nullopt;
  const auto age = std::chrono::steady_clock::now() - found->second;
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

}  // namespace badgerbridge::testing
