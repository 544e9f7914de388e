// SPDX-License-Identifier: Apache-2.0
//
// A session's answers.
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

#include "net/socket_state.h"
#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kSlowReader{5000};  // longer than any deadline

// Needs no memory: what is answered where the answer itself could not be written down.
constexpr std::string_view kWithoutMemory =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

std::string Head(const Answer& answer, bool keep_alive) {
  const beast::string_view reason = http::obsolete_reason(http::int_to_status(answer.status));
  std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " " + std::string(reason) + "\r\n";
  if (!answer.content_type.empty()) head += "Content-Type: " + answer.content_type + "\r\n";
  if (answer.retry_after > Duration(0)) {
    std::array<char, 48> text;
    std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n", answer.retry_after.count() / 1000);
    head += text.data();
  }
  if (!keep_alive) head += "Connection: close\r\n";
  return head + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
}

}  // namespace

void Listener::Session::OnAnswer(Answer answer) noexcept {
  if (state_ == State::kClosed) return;
  request_ = 0;
  Write(std::move(answer));
}

// What one that sends such things sends next is not worth reading: it is told, and that is all.
void Listener::Session::Reject(const Fault& fault) {
  keep_alive_ = false;
  input_ = Input::kDiscarded;
  ++listener_.rejected_;
  Write({fault.status, fault.text, "text/plain", Duration(0)});
}

void Listener::Session::RejectInput(beast::error_code error) {
  if (error == asio::error::no_memory) return Reject({500, ""});
  if (error == http::error::body_limit) return Reject({413, "the body is too large\n"});
  if (error == http::error::header_limit) return Reject({431, "the header is too large\n"});
  if (error == http::error::buffer_overflow) return Reject({400, "too much was sent ahead\n"});
  Reject({400, "malformed request\n"});
}

void Listener::Session::Write(Answer answer) noexcept {
  state_ = State::kAnswering;
  const bool ending = listener_.stopping_ || listener_.draining_;
  keep_after_answer_ = keep_alive_ && (!ending || AnotherHasCome());
  try {
    output_ = Head(answer, keep_after_answer_);
    output_ += answer.body;
    unwritten_ = output_;
  } catch (const std::exception&) {
    unwritten_ = kWithoutMemory;
    keep_after_answer_ = false;
  }
  since_ = listener_.clock_.Now();
  Guarded([this] {
    timer_.Disarm();
    WriteSome();
  });
}

// As much as the system takes at once; nearly always, all of it.
void Listener::Session::WriteSome() {
  while (!unwritten_.empty()) {
    beast::error_code error;
    const std::size_t n = socket_.write_some(asio::buffer(unwritten_.data(), unwritten_.size()), error);
    if (error == asio::error::would_block) return AwaitWritable();
    if (error) {
      unwritten_ = {};
      keep_after_answer_ = false;  // the client has left: what follows sees that
      break;
    }
    unwritten_.remove_prefix(n);
  }
  PostWritten();
}

void Listener::Session::AwaitWritable() {
  if (!timer_.armed()) SetTimer(kSlowReader);
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](beast::error_code) {
    if (self->state_ == State::kAnswering) self->Guarded([&session = *self] { session.WriteSome(); });
  });
}

// From the event loop: the caller may be in the midst of other sessions' work, and many answers in a row
// must not nest.
void Listener::Session::PostWritten() {
  asio::post(listener_.io_, [self = shared_from_this()] {
    if (self->state_ == State::kAnswering) self->Guarded([&session = *self] { session.OnWritten(); });
  });
}

// Behind the request that is answered now. What has been read must be answered on this connection; what has
// only come is left unread where this proxy has no more time for it.
bool Listener::Session::AnotherHasCome() const {
  if (begun_ || buffer_.size() > 0) return true;
  return !listener_.PastLastAnswer() && net::UnreadBytes(socket_) > 0;
}

void Listener::Session::OnWritten() {
  timer_.Disarm();
  output_ = {};  // a connection that stands idle holds no answer
  since_ = listener_.clock_.Now();
  if (!keep_after_answer_) return ShutdownSend(input_ == Input::kDiscarded ? input_ : Input::kLeftUnread);
  state_ = State::kReceiving;
  listener_.sessions_.splice(listener_.sessions_.end(), listener_.sessions_, at_);
  Advance();
  if (state_ == State::kReceiving) {
    ArmReceiveTimeout();
    if (listener_.door_closed_) BeginDrain();
  }
  AwaitInput();
}

}  // namespace badgerbridge::proxy
