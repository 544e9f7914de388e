// SPDX-License-Identifier: Apache-2.0
//
// Writes the answers of a session.
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <string_view>

#include "net/socket_state.h"
#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kWriteTimeout{5000};  // longer than any request deadline

}  // namespace

void Session::OnAnswer(Answer answer) noexcept {
  if (state_ == State::kClosed) return;
  request_ = 0;
  if (!answer.was_attempted) listener_.recent_ids_.Remove(correlation_id_);
  BeginAnswer(answer);
}

// The connection ends with this answer. After a malformed request the start of the next one is unknown; after
// other rejections, reading on isn't worth the effort.
void Session::Reject(RequestError error) {
  client_keeps_alive_ = false;
  input_mode_ = InputMode::kDiscard;
  ++listener_.rejected_;
  const Rejection rejection = RejectionOf(error);
  Answer answer;
  answer.status = rejection.status;
  answer.body = rejection.body;
  answer.content_type = "text/plain";
  BeginAnswer(answer);
}

void Session::BeginAnswer(const Answer& answer) noexcept {
  state_ = State::kAnswering;
  const bool is_ending = listener_.stopping() || listener_.draining();
  keep_alive_after_answer_ = client_keeps_alive_ && (!is_ending || HasNextRequestArrived());
  if (!answer_.Assign(answer, keep_alive_after_answer_)) keep_alive_after_answer_ = false;
  state_since_ = listener_.clock_.Now();
  Guarded([this] {
    timer_.Disarm();
    WriteSome();
  });
}

// Usually writes the whole answer without waiting.
void Session::WriteSome() {
  while (!answer_.unwritten().empty()) {
    const std::string_view text = answer_.unwritten();
    beast::error_code error;
    const std::size_t bytes = socket_.write_some(asio::buffer(text.data(), text.size()), error);
    if (error == asio::error::would_block) return AwaitWritable();
    if (error) {
      answer_.DropUnwritten();
      keep_alive_after_answer_ = false;  // the client has disconnected, which lingering detects
      break;
    }
    answer_.Consume(bytes);
  }
  PostEndAnswer();
}

void Session::AwaitWritable() {
  if (!timer_.armed()) ArmTimer(kWriteTimeout);
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](beast::error_code) {
    if (self->state_ == State::kAnswering) self->Guarded([&session = *self] { session.WriteSome(); });
  });
}

// Posts EndAnswer to the event loop, because the caller may be processing other sessions, and a long series
// of answers must not recurse.
void Session::PostEndAnswer() {
  asio::post(listener_.io_, [self = shared_from_this()] {
    if (self->state_ == State::kAnswering) self->Guarded([&session = *self] { session.EndAnswer(); });
  });
}

// Whether a request follows the one being answered. Input that has been read must be answered on this
// connection; input that is still unread is left so if the proxy has no time to answer it.
bool Session::HasNextRequestArrived() const {
  if (input_.buffered_bytes() > 0) return true;
  return !listener_.IsPastAnswerDeadline() && net::UnreadBytes(socket_) > 0;
}

void Session::EndAnswer() {
  timer_.Disarm();
  answer_.Release();
  state_since_ = listener_.clock_.Now();
  if (!keep_alive_after_answer_)
    return BeginLinger(input_mode_ == InputMode::kDiscard ? InputMode::kDiscard : InputMode::kLeaveUnread);
  state_ = State::kIdle;
  listener_.sessions_.MoveToBack(position_);
  Advance();
  if (IsBeforeServing()) {
    state_since_ = listener_.clock_.Now();  // a next request that has begun to arrive waited for this answer
    ArmReceiveTimeout();
    if (listener_.acceptor_.is_closed()) BeginDrain();
  }
  AwaitInput();
}

}  // namespace badgerbridge::proxy
