// SPDX-License-Identifier: Apache-2.0
//
// A session's start and its end: time-outs, the place that it gives up, and the close.
#include "node/session.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <utility>

namespace badgerbridge::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMostDropped = 256 << 10;  // read of a client that has had its last answer
// Between pieces beyond that, of one that waits for its own.
constexpr std::chrono::milliseconds kDropPause{2};
constexpr Duration kStranger{250};  // connected, and no request whole: no usual client

}  // namespace

Listener::Session::Session(Listener& listener, tcp::socket socket)
    : listener_(listener), socket_(std::move(socket)), timer_(listener.io_), pause_(listener.io_) {}

void Listener::Session::Start(Sessions::iterator at) {
  at_ = at;
  beast::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  since_ = listener_.clock_.Now();
  SetTimer(kSlowRequest);  // also for one that says nothing at all
  NextRequest();
}

bool Listener::Session::Settled(Duration silent) const {
  return asked_ && !begun_ && !Busy() && listener_.clock_.Now() - since_ >= silent && NothingHasCome();
}

bool Listener::Session::Stranger() const {
  return (!asked_ || begun_) && !Busy() && listener_.clock_.Now() - since_ >= kStranger;
}

void Listener::Session::Close() {
  if (closed_) return;
  closed_ = true;
  if (lingering_) --listener_.lingering_;
  timer_.cancel();
  pause_.cancel();
  beast::error_code ignored;
  socket_.close(ignored);
  if (serving_ != 0) listener_.proxy_.Gone(std::exchange(serving_, 0));
  listener_.Remove(at_);
}

void Listener::Session::EndIfIdle() {
  if (asked_ && Quiet() && !lingering_ && NothingHasCome()) Linger();
}

void Listener::Session::WindDown() {
  if (serving_ != 0 || writing_ || lingering_ || closed_) return;
  if (!begun_ && NothingHasCome()) return Linger();
  SetTimer(listener_.limits_.linger);
}

void Listener::Session::Linger() {
  lingering_ = deaf_ = true;
  ++listener_.lingering_;
  dropped_ = 0;
  beast::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  SetTimer(listener_.limits_.linger);
  Read();
}

// What 60 MB of a body that was turned away would cost is not spent on it. One that is owed an answer is
// read on, slowly: its end may stand behind what it sent.
void Listener::Session::Drop(std::size_t n) {
  dropped_ += n;
  if (dropped_ <= kMostDropped) return Read();
  if (lingering_) return Close();
  pause_.expires_after(kDropPause);
  pause_.async_wait([self = shared_from_this()](beast::error_code error) {
    if (!error) self->Read();
  });
}

void Listener::Session::OnTimer() {
  // Half a request: it will not be whole, and its client is told.
  if (begun_ && !Busy() && !failed_) return Reject({408, "the request is not whole\n"});
  if (Busy()) return Close();
  if (!NothingHasCome()) return SetTimer(kSlowRequest);  // its read is about to be told
  Linger();
}

void Listener::Session::SetTimer(std::chrono::milliseconds wait) {
  timed_ = true;
  timer_.expires_after(wait);
  timer_.async_wait([self = shared_from_this()](beast::error_code error) {
    if (!error && !self->closed_ && self->timer_.expiry() <= NodeClock::Steady::now()) self->OnTimer();
  });
}

void Listener::Session::StopTimer() {
  timed_ = false;
  timer_.cancel();
}

bool Listener::Session::NothingHasCome() const {
  beast::error_code error;
  return socket_.available(error) == 0 || error;
}

}  // namespace badgerbridge::node
