// SPDX-License-Identifier: Apache-2.0
#include "proxy/listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <exception>
#include <iostream>
#include <utility>

#include "net/socket_state.h"
#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMostEnding = 16;  // connections shut, beyond the clients' share of the descriptors
constexpr Duration kSettled{2000};       // without a request: nothing is on its way from this client
constexpr std::chrono::milliseconds kRoomPause{25};    // at the limit, until one of those is due
constexpr std::chrono::milliseconds kAcceptPause{20};  // after a failure for want of descriptors
constexpr std::chrono::milliseconds kDrainSweep{100};  // between two looks for idle connections
constexpr Duration kRemembered{10000};                 // an id; longer than any request and its attempts
constexpr TimePoint kNever{Duration(1e300)};

std::chrono::milliseconds Until(TimePoint at, TimePoint now) {
  constexpr std::chrono::milliseconds kFar{std::chrono::hours(1)};
  if (at - now >= kFar) return kFar;
  return std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(at - now));
}

}  // namespace

Listener::Listener(asio::io_context& io, const ProxyClock& clock, Proxy& proxy, const Config& config,
                   ListenerLimits limits)
    : io_(io),
      clock_(clock),
      proxy_(proxy),
      class_settings_(config.settings.classes),
      max_clients_(config.max_clients),
      protocol_(config.listen.protocol()),
      limits_(limits),
      acceptor_(io),
      stop_timer_(io),
      accept_pause_(io),
      drain_sweep_(io) {
  for (const ClassSettings& one : class_settings_)
    longest_deadline_ = std::max(longest_deadline_, Duration(one.deadline));
  for (std::size_t i = 0; i < config.classes.size(); ++i) classes_.emplace(config.classes[i], i);
  for (std::size_t i = 0; i < config.tenants.size(); ++i) tenants_.emplace(config.tenants[i], i);
  acceptor_.open(config.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(config.listen);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  acceptor_.non_blocking(true);
  Accept();
}

Listener::~Listener() { CloseUnadmitted(); }

void Listener::CloseUnadmitted() {
  if (unadmitted_ != kNoDescriptor) ::close(std::exchange(unadmitted_, kNoDescriptor));
}

// Whatever fails is tried again: no wait out and no pause set would keep all clients out for ever.
void Listener::Accept() noexcept {
  if (awaiting_connection_ || door_closed_) return;
  try {
    AwaitConnection();
  } catch (const std::exception& error) {
    std::cerr << "accepting failed: " << error.what() << '\n';
    AcceptAfter(kAcceptPause);
  }
}

void Listener::AwaitConnection() {
  // At the limit the next waits in the kernel's queue until there is room.
  if (sessions_.size() - ending_ >= max_clients_ && !EvictConnection()) return AcceptAfter(kRoomPause);
  if (sessions_.size() >= max_clients_ + kMostEnding) CloseOneThatHasEnded();
  if (unadmitted_ != kNoDescriptor) return OnConnection();
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](beast::error_code error) {
    awaiting_connection_ = false;
    if (door_closed_) return StopIfDone();
    if (error) return Accept();
    OnConnection();
  });
  awaiting_connection_ = true;
}

void Listener::OnConnection() {
  if (AcceptOne() != AcceptResult::kFailed) return Accept();
  EvictConnection();
  AcceptAfter(kAcceptPause);
}

// By the system's own call: Asio's closes a connection for which it has no memory, or the system no place
// among those that are waited for. Such a one is kept until it can be admitted.
Listener::AcceptResult Listener::AcceptOne() {
  if (unadmitted_ == kNoDescriptor) {
    unadmitted_ = ::accept(acceptor_.native_handle(), nullptr, nullptr);
    if (unadmitted_ == kNoDescriptor) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::kNoneWaits;
      // Of one that has gone by itself meanwhile.
      const bool gone = errno == ECONNABORTED || errno == EINTR;
      return gone ? AcceptResult::kAccepted : AcceptResult::kFailed;
    }
  }
  try {
    Admit(unadmitted_);
  } catch (const std::exception& error) {
    std::cerr << "a connection could not be admitted yet: " << error.what() << '\n';
    return AcceptResult::kFailed;
  }
  unadmitted_ = kNoDescriptor;
  return AcceptResult::kAccepted;
}

// Out of descriptors, say: at once again would only spin.
void Listener::AcceptAfter(std::chrono::milliseconds wait) noexcept {
  constexpr int kTries = 2;  // the memory that the first lacks may be there for the second
  for (int tries = 0; tries < kTries; ++tries) {
    try {
      return accept_pause_.ArmAfter(wait, [this] { Accept(); });
    } catch (const std::exception& error) {
      std::cerr << "accepting could not be put off: " << error.what() << '\n';
    }
  }
}

// Throws, and has not taken the descriptor then. The session takes it as the last of all that may fail.
void Listener::Admit(int descriptor) {
  Sessions place(1);
  place.front() = std::make_shared<Session>(*this);
  place.front()->Adopt(protocol_, descriptor);
  sessions_.splice(sessions_.end(), place);
  const auto at = std::prev(sessions_.end());
  std::shared_ptr(*at)->Start(at);
}

std::shared_ptr<Listener::Session> Listener::FirstOf(const std::function<bool(const Session&)>& which) const {
  const auto found =
      std::find_if(sessions_.begin(), sessions_.end(), [&](const auto& session) { return which(*session); });
  return found == sessions_.end() ? nullptr : *found;
}

// Its descriptor is free when the client closes its side, or has had its time for that. None of them has sent
// a request that nobody has read; those that have sent half of one are answered.
bool Listener::EvictConnection() {
  const auto settled = [](const Session& session) { return session.HasBeenIdleFor(kSettled); };
  const auto never_asked = [](const Session& session) { return session.NeverAsked(); };
  const auto at_rest = [](const Session& session) { return session.HasBeenIdleFor(Duration(0)); };
  const auto slow_to_send = [](const Session& session) { return session.SlowToSend(); };
  const auto slow_to_read = [](const Session& session) { return session.SlowToRead(); };
  if (const auto session = FirstOf(settled)) return session->ShutdownIfIdle(), true;
  if (const auto session = FirstOf(never_asked)) return session->ShutdownIfIdle(), true;
  if (const auto session = FirstOf(slow_to_send)) return session->RejectPartialRequest(), true;
  if (const auto session = FirstOf(at_rest)) return session->ShutdownIfIdle(), true;
  if (const auto session = FirstOf(slow_to_read)) return session->Close(), true;
  return false;
}

// Rather one from which a close takes nothing away.
void Listener::CloseOneThatHasEnded() {
  std::shared_ptr<Session> session = FirstOf([](const Session& one) { return one.EndedCleanly(); });
  if (!session) session = FirstOf([](const Session& one) { return one.ending(); });
  if (session) session->Close();
}

// False if a request with this id is open, or may still be at a backend: two of one id there could not be
// told apart, and the second would count as a repeat of the first.
bool Listener::NoteId(std::string_view id) {
  const TimePoint now = clock_.Now();
  while (!ids_by_age_.empty() &&
         (ids_by_age_.front().first + kRemembered < now || ids_by_age_.size() >= limits_.remembered)) {
    ids_.erase(ids_by_age_.front().second);
    ids_by_age_.pop_front();
  }
  const std::size_t hash = std::hash<std::string_view>()(id);
  if (!ids_.insert(hash).second) return false;
  ids_by_age_.emplace_back(now, hash);
  return true;
}

void Listener::Remove(Sessions::iterator at) noexcept {
  sessions_.erase(at);
  if (door_closed_) return StopIfDone();
  try {
    asio::post(io_, [this] { Accept(); });
  } catch (const std::exception&) {
    // A wait for connections is out, or the pause before the next one is set.
  }
}

void Listener::StopIfDone() noexcept {
  if (!sessions_.empty() || awaiting_connection_ || !stopped_) return;
  const std::function<void()> stopped = std::exchange(stopped_, nullptr);
  try {
    asio::post(io_, stopped);
  } catch (const std::exception&) {
    stopped();
  }
}

void Listener::Stop(std::function<void()> stopped) {
  if (stopping_) return;
  stopping_ = true;
  stopped_ = std::move(stopped);
  stop_began_ = clock_.Now();
  stop_timer_.ArmAfter(limits_.accept_grace, [this] { EndHandshakes(); });
}

bool Listener::PastLastAnswer() const { return stopping_ && clock_.Now() >= LastAnswer(); }

std::chrono::milliseconds Listener::UntilPastServing() const {
  return Until(stopping_ ? stop_began_ + Duration(limits_.serving) : kNever, clock_.Now());
}

TimePoint Listener::LastAnswer() const {
  return stopping_ ? stop_began_ + longest_deadline_ + Duration(limits_.last_answer) : kNever;
}

std::chrono::milliseconds Listener::UntilLastAnswer() const { return Until(LastAnswer(), clock_.Now()); }

// Closing the listener resets the connections in its queue, also one that comes up between the last accept
// and the close, however long this process is descheduled there. So first no new one may begin to come up,
// and those that have begun are waited for.
void Listener::EndHandshakes() {
  net::StopNewHandshakes(acceptor_);  // where the system can't, that gap remains
  CloseListenerAfter(limits_.handshake);
}

void Listener::CloseListenerAfter(std::chrono::milliseconds wait) {
  stop_timer_.ArmAfter(wait, [this] { CloseListener(); });
}

void Listener::Drain() {
  if (std::exchange(draining_, true)) return;
  last_busy_ = clock_.Now();  // what is on its way comes within the quiet time
  SweepWhileDraining();
}

void Listener::Undrain() {
  draining_ = false;
  drain_sweep_.Disarm();
}

void Listener::SweepWhileDraining() {
  if (!draining_ || door_closed_) return;
  drain_sweep_.ArmAfter(kDrainSweep, [this] { SweepWhileDraining(); });
  for (const auto& session : Snapshot()) session->EndIfDrained();
}

bool Listener::IsIdle() const {
  return proxy_.open() == 0 && clock_.Now() - last_busy_ >= kDrainIdleTime &&
         std::all_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->IsIdle(); });
}

// What stands in the kernel's queue has been accepted as far as its client can tell. False if one waits that
// can't be accepted for want of a descriptor or of memory.
bool Listener::AcceptAllThatWait() {
  AcceptResult result = AcceptResult::kAccepted;
  while (result == AcceptResult::kAccepted) result = AcceptOne();
  return result == AcceptResult::kNoneWaits;
}

void Listener::CloseListener() {
  if (!AcceptAllThatWait() && clock_.Now() < stop_began_ + 2 * Duration(limits_.accept_grace)) {
    CloseListenerAfter(kAcceptPause);
    EvictConnection();
    return;
  }
  door_closed_ = true;
  accept_pause_.Disarm();
  beast::error_code ignored;
  acceptor_.close(ignored);
  CloseUnadmitted();
  for (const auto& session : Snapshot()) session->BeginDrain();
  StopIfDone();
}

}  // namespace badgerbridge::proxy
