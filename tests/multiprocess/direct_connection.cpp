// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/direct_connection.h"

#include <array>
#include <utility>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr std::size_t kPieceBytes = 16384;
constexpr unsigned kOk = 200;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

RequestOutcome OutcomeOf(unsigned status) {
  if (status == kOk) return RequestOutcome::kServed;
  const bool is_rejected = status == kTooManyRequests || status == kServiceUnavailable;
  return is_rejected ? RequestOutcome::kRejected : RequestOutcome::kFailed;
}

}  // namespace

DirectConnection::DirectConnection(asio::io_context& io, std::size_t proxy_index, OnAnswer on_answer)
    : socket_(io), proxy_index_(proxy_index), on_answer_(std::move(on_answer)) {}

void DirectConnection::Connected() {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  local_address_ = socket_.local_endpoint(ignored);
  remote_address_ = socket_.remote_endpoint(ignored);
}

void DirectConnection::AddSent(DirectRequest request) {
  last_sent_ms_ = request.record.sent_at_ms;
  in_flight_.push_back(std::move(request));
}

void DirectConnection::ReadArrived() {
  std::array<char, kPieceBytes> piece;
  while (!has_ended_) {
    Error error;
    const std::size_t size = socket_.read_some(asio::buffer(piece), error);
    if (error == asio::error::would_block) return;
    has_ended_ = error.failed();
    has_failed_ = error && error != asio::error::eof;
    buffer_.commit(asio::buffer_copy(buffer_.prepare(size), asio::buffer(piece.data(), size)));
    while (!in_flight_.empty() && buffer_.size() > 0 && TakeAnswer()) {
    }
  }
}

// False: the answer is not complete yet.
bool DirectConnection::TakeAnswer() {
  if (!parser_) parser_.emplace().eager(true);
  Error error;
  buffer_.consume(parser_->put(buffer_.data(), error));
  if (error == http::error::need_more) error = {};
  if (!error && !parser_->is_done()) return false;
  DirectRequest request = std::move(in_flight_.front());
  in_flight_.pop_front();
  last_answer_ms_ = NowMs();
  const auto& answer = parser_->get();
  const RequestOutcome outcome = error ? RequestOutcome::kFailed : OutcomeOf(answer.result_int());
  const bool is_wrong =
      outcome == RequestOutcome::kServed && answer.body().find("converted " + request.record.id + " ") != 0;
  const bool has_extra_bytes = in_flight_.empty() && buffer_.size() > 0;
  request.record.has_wrong_response = error || is_wrong || has_extra_bytes;
  is_persistent_ = !error && answer.keep_alive();
  parser_.reset();
  on_answer_(request, outcome);
  return true;
}

void DirectConnection::Close(bool is_reset) {
  Error ignored;
  if (is_reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

std::deque<DirectRequest> DirectConnection::TakeInFlight() { return std::exchange(in_flight_, {}); }

}  // namespace badgerbridge::multiprocess
