// SPDX-License-Identifier: Apache-2.0
#include "node/client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "node/session.h"

namespace badgerbridge::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMostLingering = 16;  // connections shut, beyond the clients' share of the descriptors
constexpr Duration kSettled{2000};          // without a request: nothing is on its way from this client
constexpr std::chrono::milliseconds kRoomPause{25};    // at the limit, until one of those is due
constexpr std::chrono::milliseconds kAcceptPause{20};  // after a failure for want of descriptors
constexpr std::chrono::milliseconds kDrainSweep{100};  // between two looks for idle connections
constexpr Duration kRemembered{10000};                 // an id; longer than any request and its attempts

}  // namespace

Listener::Listener(asio::io_context& io, const NodeClock& clock, Proxy& proxy, const Config& config,
                   ListenerLimits limits)
    : io_(io),
      clock_(clock),
      proxy_(proxy),
      class_settings_(config.settings.classes),
      max_clients_(config.max_clients),
      limits_(limits),
      acceptor_(io),
      timer_(io),
      pause_(io),
      sweep_(io) {
  for (std::size_t i = 0; i < config.classes.size(); ++i) classes_.emplace(config.classes[i], i);
  for (std::size_t i = 0; i < config.tenants.size(); ++i) tenants_.emplace(config.tenants[i], i);
  acceptor_.open(config.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(config.listen);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  Accept();
}

Listener::~Listener() = default;

void Listener::Accept() {
  if (accepting_ || door_closed_) return;
  // At the limit the next waits in the kernel's queue until there is room.
  if (sessions_.size() - lingering_ >= max_clients_ && !MakeRoom()) return AcceptAfter(kRoomPause);
  if (sessions_.size() >= max_clients_ + kMostLingering) CloseOldestLingering();
  accepting_ = true;
  acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
    accepting_ = false;
    if (door_closed_) {
      // What had been accepted by then counts.
      if (!error) Admit(std::move(socket))->WindDown();
      return StopIfDone();
    }
    if (error == asio::error::operation_aborted) return;
    if (error == asio::error::connection_aborted) return Accept();
    if (error) {
      MakeRoom();
      return AcceptAfter(kAcceptPause);
    }
    Admit(std::move(socket));
    Accept();
  });
}

// Out of descriptors, say: at once again would only spin.
void Listener::AcceptAfter(std::chrono::milliseconds wait) {
  pause_.expires_after(wait);
  pause_.async_wait([this](beast::error_code error) {
    if (!error) Accept();
  });
}

std::shared_ptr<Listener::Session> Listener::Admit(tcp::socket socket) {
  auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.push_back(session);
  session->Start(std::prev(sessions_.end()));
  return session;
}

// Its descriptor is free when the client closes its side, or has had its time for that.
bool Listener::MakeRoom() {
  const auto end_first = [this](auto which) {
    const auto found = std::find_if(sessions_.begin(), sessions_.end(), which);
    if (found == sessions_.end()) return false;
    std::shared_ptr(*found)->Linger();
    return true;
  };
  return end_first([](const auto& session) { return session->Settled(kSettled); }) ||
         end_first([](const auto& session) { return session->Stranger(); }) ||
         end_first([](const auto& session) { return session->Settled(Duration(0)); });
}

void Listener::CloseOldestLingering() {
  const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                  [](const auto& session) { return session->lingering(); });
  if (found != sessions_.end()) std::shared_ptr(*found)->Close();
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

void Listener::Remove(Sessions::iterator at) {
  sessions_.erase(at);
  if (door_closed_) {
    StopIfDone();
  } else {
    asio::post(io_, [this] { Accept(); });
  }
}

void Listener::StopIfDone() {
  if (sessions_.empty() && !accepting_ && stopped_) asio::post(io_, std::exchange(stopped_, nullptr));
}

void Listener::Stop(std::function<void()> stopped) {
  if (stopping_) return;
  stopping_ = true;
  stopped_ = std::move(stopped);
  last_call_ = clock_.Now() + 2 * Duration(limits_.door_open);
  CloseDoorAfter(limits_.door_open);
}

void Listener::CloseDoorAfter(std::chrono::milliseconds wait) {
  timer_.expires_after(wait);
  timer_.async_wait([this](beast::error_code error) {
    if (!error) CloseDoor();
  });
}

void Listener::Drain() {
  if (std::exchange(draining_, true)) return;
  last_busy_ = clock_.Now();  // what is on its way comes within the quiet time
  SweepWhileDraining();
}

void Listener::Undrain() {
  draining_ = false;
  sweep_.cancel();
}

void Listener::SweepWhileDraining() {
  if (!draining_ || door_closed_) return;
  for (auto at = sessions_.begin(); at != sessions_.end();) std::shared_ptr(*at++)->EndIfIdle();
  sweep_.expires_after(kDrainSweep);
  sweep_.async_wait([this](beast::error_code error) {
    if (!error) SweepWhileDraining();
  });
}

bool Listener::Quiet() const {
  return proxy_.open() == 0 && clock_.Now() - last_busy_ >= kDrainQuiet &&
         std::all_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->Quiet(); });
}

void Listener::CloseDoor() {
  // What stands in the kernel's queue has been accepted as far as its client can tell.
  beast::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Admit(std::move(socket));
  }
  if (error != asio::error::would_block && clock_.Now() < last_call_) {  // no descriptor for one that waits
    MakeRoom();
    return CloseDoorAfter(kAcceptPause);
  }
  door_closed_ = true;
  acceptor_.close(error);
  for (auto at = sessions_.begin(); at != sessions_.end();) std::shared_ptr(*at++)->WindDown();
  StopIfDone();
}

}  // namespace badgerbridge::node
