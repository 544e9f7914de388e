// SPDX-License-Identifier: Apache-2.0
#include "proxy/backend_pool.h"

#include <algorithm>
#include <boost/asio/bind_allocator.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <unordered_set>
#include <utility>

#include "net/handler_memory.h"
#include "proxy/backend_connection.h"

namespace badgerbridge::proxy {
namespace asio = boost::asio;
using asio::ip::tcp;
namespace {

// Unsolicited bytes from one backend affect all backends for this time, as others may run the same software.
constexpr Duration kUnsolicitedBytesWindow{60000};

// The callback of an attempt, with preallocated memory for posting it.
struct Completion {
  explicit Completion(BackendPool::AttemptCallback callback) : on_end(std::move(callback)) {}

  BackendPool::AttemptCallback on_end;
  net::HandlerMemory memory;
};

}  // namespace

BackendPool::Limits BackendPool::Limits::From(const Config& config) {
  Limits limits;
  limits.max_connections = config.max_backend_connections;
  limits.connect_timeout = config.connect_timeout;
  limits.idle_timeout = config.backend_idle_timeout;
  return limits;
}

BackendPool::BackendPool(asio::io_context& io, const ProxyClock& clock, Limits limits)
    : io_(io), clock_(clock), limits_(limits) {
  connector_ = [](tcp::socket& socket, const tcp::endpoint& address, auto on_connected) {
    socket.async_connect(address, std::move(on_connected));
  };
}

BackendPool::~BackendPool() {
  for (auto& [id, backend] : backends_) CloseIdle(backend);
}

void BackendPool::Update(const EndpointList& list) {
  if (list.snapshot) RemoveUnlisted(list);
  for (const Endpoint& endpoint : list.endpoints) UpdateBackend(endpoint);
}

// Attempts in flight on removed backends continue: their connections do not depend on the entry in backends_.
void BackendPool::RemoveUnlisted(const EndpointList& snapshot) {
  std::unordered_set<BackendId> listed;
  for (const Endpoint& endpoint : snapshot.endpoints) listed.insert(endpoint.entry.server);
  for (auto at = backends_.begin(); at != backends_.end();) {
    if (listed.contains(at->first)) {
      ++at;
    } else {
      CloseIdle(at->second);
      at = backends_.erase(at);
    }
  }
}

void BackendPool::UpdateBackend(const Endpoint& endpoint) {
  if (endpoint.entry.state == BackendState::kGone) {
    const auto found = backends_.find(endpoint.entry.server);
    if (found == backends_.end()) return;
    CloseIdle(found->second);
    backends_.erase(found);
    return;
  }
  const BackendEntry& entry = endpoint.entry;
  const Instance instance{endpoint.address, entry.up_since, entry.zone, entry.cell};
  Backend& backend = backends_[entry.server];
  if (instance != backend.instance || entry.state != BackendState::kReady) CloseIdle(backend);
  backend.instance = instance;
  backend.state = entry.state;
}

bool BackendPool::HasReadyBackend() const {
  return std::any_of(backends_.begin(), backends_.end(),
                     [](const auto& entry) { return entry.second.state == BackendState::kReady; });
}

void BackendPool::CloseIdle(Backend& backend) {
  for (const auto& connection : std::exchange(backend.idle, {})) connection->Close();
}

// Closes the connections of a backend that became idle before `before`.
void BackendPool::CloseIdleSince(BackendId backend, TimePoint before) {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) return;
  const auto idle = found->second.idle;  // a copy, because Close() removes the connection from the list
  for (const auto& connection : idle) {
    if (connection->idle_since() < before) connection->Close();
  }
}

// Does not use the grace period after a drain: the notification may have been delayed, and an attempt that
// has not begun can be sent to another backend.
bool BackendPool::AcceptsRequests(BackendId backend, const Instance& instance) const {
  const auto found = backends_.find(backend);
  return found != backends_.end() && found->second.IsReady(instance);
}

// Removes and returns the most recently used connection that has been idle for long enough; null if none.
std::shared_ptr<BackendPool::Connection> BackendPool::AcquireIdle(Backend& backend) {
  const TimePoint now = clock_.Now();
  const bool requires_idle_time = now - last_unsolicited_at_ < kUnsolicitedBytesWindow;
  const TimePoint latest_idle_since = requires_idle_time ? now - limits_.min_idle_after_unsolicited : now;
  for (std::size_t at = backend.idle.size(); at-- > 0;) {
    if (backend.idle[at]->idle_since() > latest_idle_since) continue;
    std::shared_ptr<Connection> newest = std::move(backend.idle[at]);
    backend.idle.erase(backend.idle.begin() + static_cast<std::ptrdiff_t>(at));
    if (!newest->CheckStale()) return newest;
    newest->Close();
  }
  return nullptr;
}

// At the limit of connections, closes the one that has been idle the longest. Returns false if none is idle.
bool BackendPool::EvictConnection() {
  if (open_connections_ < limits_.max_connections) return true;
  std::shared_ptr<Connection> oldest;
  for (const auto& [id, backend] : backends_) {
    if (backend.idle.empty()) continue;
    if (!oldest || backend.idle.front()->idle_since() < oldest->idle_since()) oldest = backend.idle.front();
  }
  if (!oldest) return false;
  oldest->Close();
  return true;
}

// Wraps the callback so that it is always posted to the io_context, even if the attempt ends within Send():
// the caller must not be re-entered.
BackendPool::AttemptCallback BackendPool::PostedCallback(AttemptCallback on_end) {
  return [this, completion = std::make_shared<Completion>(std::move(on_end))](AttemptResult result) {
    const net::HandlerAllocator<void> memory(
        std::shared_ptr<net::HandlerMemory>(completion, &completion->memory));
    asio::post(io_, asio::bind_allocator(memory, [completion, result = std::move(result)]() mutable {
                 completion->on_end(std::move(result));
               }));
  };
}

BackendPool::AttemptHandle BackendPool::Send(BackendId backend,
                                             std::shared_ptr<const ForwardedRequest> request,
                                             Duration timeout, TimePoint begin_before, AttemptCallback on_end,
                                             std::shared_ptr<Requester> requester) {
  const TimePoint deadline = clock_.Now() + timeout;
  AttemptCallback deferred = PostedCallback(std::move(on_end));
  const auto found = backends_.find(backend);
  if (found == backends_.end() || !AcceptsRequests(backend, found->second.instance)) {
    deferred({Outcome::kConnectFailed, {}, {}});
    return {};
  }
  Connection::Attempt attempt{std::move(request), std::move(requester), deadline, begin_before,
                              std::move(deferred)};
  std::shared_ptr<Connection> connection = AcquireIdle(found->second);
  if (connection) {
    connection->Reuse(std::move(attempt));
  } else if (EvictConnection()) {
    connection = std::make_shared<Connection>(*this, backend, found->second.instance);
    connection->Connect(std::move(attempt));
  } else {
    attempt.on_end({Outcome::kConnectFailed, {}, {}});
    return {};
  }
  return {connection, connection->attempt_number()};
}

void BackendPool::Cancel(const AttemptHandle& attempt) {
  if (const auto connection = attempt.connection.lock()) connection->Cancel(attempt.number);
}

void BackendPool::Withdraw(const AttemptHandle& attempt) {
  if (const auto connection = attempt.connection.lock()) connection->Withdraw(attempt.number);
}

void BackendPool::AddIdle(std::shared_ptr<Connection> connection) {
  const auto found = backends_.find(connection->backend());
  const bool is_usable = found != backends_.end() && found->second.IsReady(connection->instance());
  if (!is_usable) return connection->Close();
  std::vector<std::shared_ptr<Connection>>& idle = found->second.idle;
  try {
    idle.push_back(connection);
  } catch (const std::exception&) {
    return connection->Close();
  }
  connection->BecomeIdle();  // may close it before returning
  if (idle.size() > limits_.max_idle_per_backend) std::shared_ptr(idle.front())->Close();
}

void BackendPool::RemoveIdle(const Connection& connection) {
  const auto found = backends_.find(connection.backend());
  if (found == backends_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == &connection; });
}

}  // namespace badgerbridge::proxy
