// SPDX-License-Identifier: Apache-2.0
//
// A session's answers.
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

#include "node/session.h"

namespace badgerbridge::node {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Between requests: more than the 2 s that clients may count on.
constexpr std::chrono::milliseconds kKept{2200};
constexpr std::chrono::milliseconds kSlowReader{5000};  // longer than any deadline

}  // namespace

// What one that sends such things sends next is not worth reading: it is told, and that is all.
void Listener::Session::Reject(const Fault& fault) {
  keep_alive_ = false;
  ++listener_.rejected_;
  Write({fault.status, fault.text, "text/plain", Duration(0)});
}

void Listener::Session::Write(Answer answer) {
  if (closed_) return;
  response_ = {};
  response_.version(11);
  response_.result(answer.status);
  if (!answer.content_type.empty()) response_.set(http::field::content_type, answer.content_type);
  if (answer.retry_after > Duration(0)) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", answer.retry_after.count() / 1000);
    response_.set(http::field::retry_after, text);
  }
  response_.body() = std::move(answer.body);
  const bool ending = listener_.stopping_ || listener_.draining_;
  response_.keep_alive(keep_alive_ && (!ending || AnotherHasCome()));
  response_.prepare_payload();
  writing_ = true;
  SetTimer(kSlowReader);  // a client that does not read must not hold the connection for ever
  http::async_write(socket_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
    self->OnWritten(error);
  });
}

// Behind the request that is answered now. One that was read whole has been taken.
bool Listener::Session::AnotherHasCome() const {
  return next_whole_ ||
         (!listener_.door_closed_ && (!NothingHasCome() || (answered_early_ && buffer_.size() > 0)));
}

void Listener::Session::OnWritten(beast::error_code error) {
  if (closed_) return;
  writing_ = false;
  StopTimer();
  if (error) return Close();
  const bool kept = response_.keep_alive();
  response_ = {};  // a connection that stands idle holds no answer
  since_ = listener_.clock_.Now();
  if (!kept) return Linger();
  listener_.sessions_.splice(listener_.sessions_.end(), listener_.sessions_, at_);
  Proceed();
  if (!closed_ && !Busy() && !begun_) SetTimer(kKept);
  if (!closed_ && listener_.door_closed_) WindDown();
}

}  // namespace badgerbridge::node
