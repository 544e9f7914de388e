// SPDX-License-Identifier: Apache-2.0
#include "proxy/listener.h"

#include <boost/asio/post.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <utility>

#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxLingering = 16;        // lingering connections allowed in addition to max_clients
constexpr milliseconds kEvictionRetryPause{25};  // at max_clients, while no connection can be evicted
constexpr milliseconds kAcceptRetryPause{20};    // after a failed accept, for example without a descriptor
constexpr milliseconds kDrainSweepInterval{100};
constexpr Duration kMinIdRetentionAfterDeadline{1000};  // for a client that repeats its request at once

}  // namespace

Listener::Listener(asio::io_context& io, const ProxyClock& clock, Proxy& proxy, const Config& config,
                   ListenerLimits limits)
    : io_(io),
      clock_(clock),
      proxy_(proxy),
      validator_(config),
      max_clients_(config.max_clients),
      protocol_(config.listen.protocol()),
      limits_(limits),
      stop_schedule_(limits, validator_.longest_deadline()),
      recent_ids_(limits.max_recent_ids, validator_.longest_deadline() + kMinIdRetentionAfterDeadline),
      acceptor_(io, config.listen, [this](int descriptor) { Admit(descriptor); }),
      stop_timer_(io),
      accept_pause_(io),
      drain_sweep_(io) {
  Accept();
}

// Always leaves a wait or a retry timer pending; otherwise no client could connect any more.
void Listener::Accept() noexcept {
  if (acceptor_.is_waiting() || acceptor_.is_closed()) return;
  try {
    AwaitConnection();
  } catch (const std::exception& error) {
    std::cerr << "failed to accept a client connection; retrying: " << error.what() << '\n';
    AcceptAfter(kAcceptRetryPause);
  }
}

void Listener::AwaitConnection() {
  // At max_clients the next connection waits in the kernel's accept queue until another one ends.
  if (!MakeRoom()) return AcceptAfter(kEvictionRetryPause);
  if (acceptor_.has_unadmitted()) return OnConnection();
  acceptor_.AsyncWait([this](beast::error_code error) {
    if (acceptor_.is_closed()) return FinishStopIfDone();
    if (error) return Accept();
    OnConnection();
  });
}

// Whether another connection may be accepted. A rejected session counts until its answer has been written.
bool Listener::MakeRoom() {
  if (sessions_.active() >= max_clients_) sessions_.Evict();
  if (sessions_.active() >= max_clients_) return false;
  if (sessions_.size() >= max_clients_ + kMaxLingering) sessions_.CloseOneLingering();
  return true;
}

void Listener::OnConnection() {
  // While the wait was pending, AcceptAll() may have used the room.
  if (sessions_.active() >= max_clients_) return Accept();
  if (acceptor_.AcceptOne() != AcceptResult::kFailed) return Accept();
  sessions_.Evict();
  AcceptAfter(kAcceptRetryPause);
}

// The pause keeps a persistent failure, for example a lack of descriptors, from making the loop spin.
void Listener::AcceptAfter(milliseconds wait) noexcept {
  constexpr int kMaxTries = 2;  // memory that the first try lacks may be free for the second
  for (int tries = 0; tries < kMaxTries; ++tries) {
    try {
      return accept_pause_.ArmAfter(wait, [this] { Accept(); });
    } catch (const std::exception& error) {
      std::cerr << "failed to schedule the next accept: " << error.what() << '\n';
    }
  }
}

// Adopt is the last step that may throw, so an exception leaves the descriptor with the caller.
void Listener::Admit(int descriptor) {
  SessionList::Sessions added(1);
  added.front() = std::make_shared<Session>(*this);
  added.front()->Adopt(protocol_, descriptor);
  const SessionList::Position position = sessions_.Append(added);
  std::shared_ptr(*position)->Start(position);
}

void Listener::Remove(SessionList::Position position) noexcept {
  sessions_.Remove(position);
  if (acceptor_.is_closed()) return FinishStopIfDone();
  ResumeAccept();
}

// Called when there may be room for another connection.
void Listener::ResumeAccept() noexcept {
  try {
    asio::post(io_, [this] { Accept(); });
  } catch (const std::exception&) {
    // Not needed: a wait for connections or its retry timer is already pending.
  }
}

void Listener::Drain() {
  if (std::exchange(draining_, true)) return;
  last_request_at_ = clock_.Now();  // requests already in transit arrive within kDrainIdleTime
  SweepIdleSessions();
}

void Listener::Undrain() {
  draining_ = false;
  drain_sweep_.Disarm();
}

void Listener::SweepIdleSessions() {
  if (!draining_ || acceptor_.is_closed()) return;
  drain_sweep_.ArmAfter(kDrainSweepInterval, [this] { SweepIdleSessions(); });
  for (const auto& session : sessions_.Snapshot()) session->EndIfDrained();
}

bool Listener::IsIdle() const {
  return proxy_.open_requests() == 0 && clock_.Now() - last_request_at_ >= kDrainIdleTime &&
         sessions_.AllIdle();
}

void Listener::Stop(std::function<void()> stopped) {
  if (stopping()) return;
  stopped_ = std::move(stopped);
  stop_schedule_.Begin(clock_.Now());
  stop_timer_.ArmAfter(limits_.accept_grace, [this] { StopHandshakes(); });
}

// Closing the listening socket resets the connections in its accept queue, including one established between
// the last accept and the close, and this process may be descheduled for any time in between. So new
// handshakes are stopped first, and handshakes in progress get time to complete. On a system that can't stop
// new handshakes the race remains.
void Listener::StopHandshakes() {
  acceptor_.StopNewHandshakes();
  CloseListenerAfter(limits_.handshake);
}

void Listener::CloseListenerAfter(milliseconds wait) {
  stop_timer_.ArmAfter(wait, [this] { CloseListener(); });
}

void Listener::CloseListener() {
  if (!AcceptAll() && stop_schedule_.MayRetryAccept(clock_.Now()))
    return CloseListenerAfter(kAcceptRetryPause);
  accept_pause_.Disarm();
  acceptor_.Close();
  for (const auto& session : sessions_.Snapshot()) session->BeginDrain();
  FinishStopIfDone();
}

// Empties the kernel's accept queue, because the clients consider their connections established. False if one
// is waiting that can't be accepted now.
bool Listener::AcceptAll() {
  while (MakeRoom()) {
    const AcceptResult result = acceptor_.AcceptOne();
    if (result == AcceptResult::kQueueEmpty) return true;
    if (result == AcceptResult::kFailed) {
      sessions_.Evict();
      return false;
    }
  }
  return !acceptor_.HasWaiting();
}

void Listener::FinishStopIfDone() noexcept {
  if (!sessions_.empty() || acceptor_.is_waiting() || !stopped_) return;
  const std::function<void()> stopped = std::exchange(stopped_, nullptr);
  try {
    asio::post(io_, stopped);
  } catch (const std::exception&) {
    stopped();
  }
}

bool Listener::IsPastAnswerDeadline() const {
  return stopping() && clock_.Now() >= stop_schedule_.AnswerDeadline();
}

}  // namespace badgerbridge::proxy
