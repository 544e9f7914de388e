// SPDX-License-Identifier: Apache-2.0
//
// The clients of a play.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "proxy/session_play.h"
#include "proxy/session_play_times.h"

namespace badgerbridge::proxy::testing {

namespace {

// Ends what a small receive buffer was for: from here on no wait of the kernel's own holds up what comes.
void ReadFast(tcp::socket& socket) {
  constexpr int kLargeBuffer = 1 << 20, kYes = 1;
  const int descriptor = socket.native_handle();
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kLargeBuffer, sizeof kLargeBuffer);
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_QUICKACK, &kYes, sizeof kYes);
}

short EventsOf(int descriptor, short wanted, milliseconds wait = milliseconds(0)) {
  pollfd look{descriptor, wanted, 0};
  return ::poll(&look, 1, static_cast<int>(wait.count())) > 0 ? look.revents : short{0};
}

}  // namespace

SessionPlay::Client& SessionPlay::Connect() {
  constexpr milliseconds kMaxHandshakeWait{20};  // a SYN that is dropped is sent again after a second
  Client& client = clients_.emplace_back(tcp::socket(io_));
  client.connected = steady_clock::now();
  client.socket.open(tcp::v4());
  if (small_buffers_ && clients_.size() == 1)
    client.socket.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
  client.socket.bind({address_.address(), 0});
  client.endpoint = client.socket.local_endpoint();
  client.socket.set_option(tcp::no_delay(true));  // what is written is there at once
  client.socket.native_non_blocking(true);
  const tcp::endpoint& to = listener_address_;
  if (::connect(client.socket.native_handle(), to.data(), static_cast<socklen_t>(to.size())) != 0 &&
      errno != EINPROGRESS) {
    client.refused = true;
    return client;
  }
  const short events = EventsOf(client.socket.native_handle(), POLLOUT, kMaxHandshakeWait);
  client.refused = (events & (POLLHUP | POLLERR)) != 0 || (events & POLLOUT) == 0;
  return client;
}

// Bytes that the kernel takes; a connection that has been reset takes none.
void SessionPlay::Write(Client& client, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        ::send(client.socket.native_handle(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) break;
    sent += static_cast<std::size_t>(n);
  }
  watch_.NoteDataFrom(client.endpoint);
  client.wrote += text.size();
  if (sent == text.size()) client.requests.back().written = steady_clock::now();
}

void SessionPlay::SendRequest(Client& client, const std::string& text, const std::string& id) {
  SendFirstHalf(client, text, id);
  SendSecondHalf(client);
}

void SessionPlay::SendFirstHalf(Client& client, const std::string& text, const std::string& id) {
  DetectEnds();
  if (client.left || client.refused || client.read_end) return;
  ReadAnswersIfComplete(client);
  Request request;
  request.id = id;
  request.begin = client.wrote;
  request.begun_writing = steady_clock::now();
  request.after_end = client.ended.has_value();
  request.after_close =
      client.requested_close || client.received.find("Connection: close") != std::string::npos;
  request.behind_another = AnswersIn(client.received).size() < client.requests.size();
  client.requests.push_back(request);
  Write(client, text.substr(0, kHalf));
  client.requests.back().written.reset();
  client.unwritten = text.substr(kHalf);
}

void SessionPlay::SendSecondHalf(Client& client) {
  if (client.left || client.refused || client.read_end || client.unwritten.empty()) return;
  Write(client, std::exchange(client.unwritten, {}));
}

void SessionPlay::Disconnect(Client& client, bool by_reset) {
  if (client.left || client.refused || client.read_end) return;
  client.left = steady_clock::now();
  ErrorCode ignored;
  if (by_reset) client.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  client.socket.close(ignored);
}

// What the clients could see of an end now.
void SessionPlay::DetectEnds() {
  for (Client& client : clients_) {
    if (client.reset_at || client.read_end || client.left || client.refused) continue;
    const short events = EventsOf(client.socket.native_handle(), POLLRDHUP);
    const SteadyTime now = steady_clock::now();
    if ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0 && !client.ended) client.ended = now;
    if ((events & (POLLHUP | POLLERR)) != 0) client.reset_at = now;
  }
}

void SessionPlay::SendDueRequests() {
  for (Client& client : clients_) {
    if (client.second_half_at && steady_clock::now() >= *client.second_half_at) {
      client.second_half_at.reset();
      SendSecondHalf(client);
    }
    if (!client.request_at || steady_clock::now() < *client.request_at) continue;
    client.request_at.reset();
    const std::string id = NextId("q");
    SendRequest(client, Get(id), id);
  }
}

// What has come. Below 0: the connection has been reset; 0: its end has come.
ssize_t SessionPlay::Receive(Client& client, int flags, std::string& into) {
  std::array<char, 65536> piece;
  for (;;) {
    const ssize_t n = ::recv(client.socket.native_handle(), piece.data(), piece.size(), MSG_DONTWAIT | flags);
    if (n > 0) into.append(piece.data(), static_cast<std::size_t>(n));
    if (n <= 0 || (flags & MSG_PEEK) != 0) return n;
  }
}

// A client that has its answers reads them before it sends the next request.
void SessionPlay::ReadAnswersIfComplete(Client& client) {
  std::string waiting;
  Receive(client, MSG_PEEK, waiting);
  if (AnswersIn(client.received + waiting).size() < client.requests.size()) return;
  Receive(client, 0, client.received);
}

// Until a client asks that waits for its time, and no longer than one waits for a handler.
SessionPlay::Nanoseconds SessionPlay::UntilNextRequest() const {
  Nanoseconds wait = kMaxWait;
  for (const Client& client : clients_) {
    for (const auto& at : {client.request_at, client.second_half_at}) {
      if (at) wait = std::min<Nanoseconds>(wait, *at - steady_clock::now());
    }
  }
  return std::max(wait, Nanoseconds(0));
}

// True if there was something. The client closes when it has read the end.
bool SessionPlay::ReadAll(Client& client) {
  if (client.left || client.refused || client.read_end) return false;
  DetectEnds();
  if (small_buffers_) ReadFast(client.socket);
  const std::size_t had = client.received.size();
  const ssize_t end = Receive(client, 0, client.received);
  const bool read = client.received.size() > had;
  if (end < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return read;
  client.reset = end < 0;
  client.unread_at_reset = end < 0 && read;
  client.read_end = true;
  if (!client.ended) client.ended = steady_clock::now();
  ErrorCode ignored;
  client.socket.close(ignored);
  return true;
}

}  // namespace badgerbridge::proxy::testing
