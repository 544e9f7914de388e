// SPDX-License-Identifier: Apache-2.0
//
// The clients of a run.
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

// Enlarges the receive buffer and acknowledges at once, so that kernel timers no longer delay incoming data.
void EnableFastReads(tcp::socket& socket) {
  constexpr int kLargeBuffer = 1 << 20, kYes = 1;
  const int descriptor = socket.native_handle();
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kLargeBuffer, sizeof kLargeBuffer);
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_QUICKACK, &kYes, sizeof kYes);
}

short EventsOf(int descriptor, short wanted, milliseconds wait = milliseconds(0)) {
  pollfd polled{descriptor, wanted, 0};
  return ::poll(&polled, 1, static_cast<int>(wait.count())) > 0 ? polled.revents : short{0};
}

}  // namespace

SessionScenarioRun::Client& SessionScenarioRun::Connect() {
  constexpr milliseconds kMaxHandshakeWait{20};  // a dropped SYN would be retransmitted after a second
  Client& client = clients_.emplace_back(tcp::socket(io_));
  client.connected_at = steady_clock::now();
  client.socket.open(tcp::v4());
  if (small_buffers_ && clients_.size() == 1)
    client.socket.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
  client.socket.bind({address_.address(), 0});
  client.endpoint = client.socket.local_endpoint();
  client.socket.set_option(tcp::no_delay(true));  // deliver written data immediately
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

// Writes as much as the kernel accepts; after a reset, nothing.
void SessionScenarioRun::Write(Client& client, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        ::send(client.socket.native_handle(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) break;
    sent += static_cast<std::size_t>(n);
  }
  watch_.NoteDataFrom(client.endpoint);
  client.bytes_written += text.size();
  if (sent == text.size()) client.requests.back().written_at = steady_clock::now();
}

void SessionScenarioRun::SendRequest(Client& client, const std::string& text, const std::string& id) {
  SendFirstHalf(client, text, id);
  SendSecondHalf(client);
}

void SessionScenarioRun::SendFirstHalf(Client& client, const std::string& text, const std::string& id) {
  DetectEnds();
  if (client.disconnected_at || client.refused || client.read_end) return;
  ReadAnswersIfComplete(client);
  Request request;
  request.id = id;
  request.begin = client.bytes_written;
  request.first_byte_at = steady_clock::now();
  request.written_after_end = client.ended_at.has_value();
  request.after_close_announced =
      client.requested_close || client.received.find("Connection: close") != std::string::npos;
  request.is_pipelined = AnswersIn(client.received).size() < client.requests.size();
  client.requests.push_back(request);
  Write(client, text.substr(0, kFirstHalfBytes));
  client.requests.back().written_at.reset();
  client.unwritten = text.substr(kFirstHalfBytes);
}

void SessionScenarioRun::SendSecondHalf(Client& client) {
  if (client.disconnected_at || client.refused || client.read_end || client.unwritten.empty()) return;
  Write(client, std::exchange(client.unwritten, {}));
}

void SessionScenarioRun::Disconnect(Client& client, bool by_reset) {
  if (client.disconnected_at || client.refused || client.read_end) return;
  client.disconnected_at = steady_clock::now();
  ErrorCode ignored;
  if (by_reset) client.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  client.socket.close(ignored);
}

// Records which clients could detect a close or a reset now.
void SessionScenarioRun::DetectEnds() {
  for (Client& client : clients_) {
    if (client.reset_at || client.read_end || client.disconnected_at || client.refused) continue;
    const short events = EventsOf(client.socket.native_handle(), POLLRDHUP);
    const SteadyTime now = steady_clock::now();
    if ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0 && !client.ended_at) client.ended_at = now;
    if ((events & (POLLHUP | POLLERR)) != 0) client.reset_at = now;
  }
}

void SessionScenarioRun::SendDueRequests() {
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

// Appends the available input to `into`. Returns 0 at the end of the stream, and below 0 after a reset or if
// no input is left.
ssize_t SessionScenarioRun::Receive(Client& client, int flags, std::string& into) {
  std::array<char, 65536> piece;
  for (;;) {
    const ssize_t n = ::recv(client.socket.native_handle(), piece.data(), piece.size(), MSG_DONTWAIT | flags);
    if (n > 0) into.append(piece.data(), static_cast<std::size_t>(n));
    if (n <= 0 || (flags & MSG_PEEK) != 0) return n;
  }
}

// A client whose answers have all arrived reads them before it sends the next request.
void SessionScenarioRun::ReadAnswersIfComplete(Client& client) {
  std::string waiting;
  Receive(client, MSG_PEEK, waiting);
  if (AnswersIn(client.received + waiting).size() < client.requests.size()) return;
  Receive(client, 0, client.received);
}

// Time until the next scheduled request or second half, at most kMaxWait.
SessionScenarioRun::Nanoseconds SessionScenarioRun::UntilNextRequest() const {
  Nanoseconds wait = kMaxWait;
  for (const Client& client : clients_) {
    for (const auto& at : {client.request_at, client.second_half_at}) {
      if (at) wait = std::min<Nanoseconds>(wait, *at - steady_clock::now());
    }
  }
  return std::max(wait, Nanoseconds(0));
}

// Reads the available input; the client closes after the end of the stream. True if there was any input or an
// end.
bool SessionScenarioRun::ReadAll(Client& client) {
  if (client.disconnected_at || client.refused || client.read_end) return false;
  DetectEnds();
  if (small_buffers_) EnableFastReads(client.socket);
  const std::size_t had = client.received.size();
  const ssize_t end = Receive(client, 0, client.received);
  const bool read = client.received.size() > had;
  if (end < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return read;
  client.reset = end < 0;
  client.unread_at_reset = end < 0 && read;
  client.read_end = true;
  if (!client.ended_at) client.ended_at = steady_clock::now();
  ErrorCode ignored;
  client.socket.close(ignored);
  return true;
}

}  // namespace badgerbridge::proxy::testing
