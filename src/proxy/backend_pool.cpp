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
namespace {

constexpr Duration kUnaskedMemory{60000};  // what one backend does, others of its make may do too

// Whom to tell how an attempt ended, and the memory that this takes.
struct Completion {
  explicit Completion(BackendPool::Done done) : done(std::move(done)) {}

  BackendPool::Done done;
  net::HandlerMemory memory;
};

}  // namespace

BackendPool::Limits BackendPool::Limits::From(const Config& config) {
  Limits limits;
  limits.connections = config.max_backend_connections;
  limits.connect_timeout = config.connect_timeout;
  limits.idle_limit = config.idle_limit;
  return limits;
}

BackendPool::BackendPool(asio::io_context& io, const ProxyClock& clock, Limits limits)
    : io_(io), clock_(clock), limits_(limits) {
  dial_ = [](tcp::socket& socket, const tcp::endpoint& address, auto ended) {
    socket.async_connect(address, std::move(ended));
  };
}

BackendPool::~BackendPool() {
  for (auto& [id, backend] : backends_) CloseIdle(backend);
}

void BackendPool::Update(const EndpointList& list) {
  // One that is gone is sent nothing more, and nothing of it is needed: attempts that are still out carry
  // what they need.
  if (list.snapshot) {
    std::unordered_set<BackendId> listed;
    for (const Endpoint& endpoint : list.endpoints) listed.insert(endpoint.entry.server);
    for (auto at = backends_.begin(); at != backends_.end();) {
      if (listed.count(at->first)) {
        ++at;
      } else {
        CloseIdle(at->second);
        at = backends_.erase(at);
      }
    }
  }
  for (const Endpoint& endpoint : list.endpoints) {
    const auto found = backends_.find(endpoint.entry.server);
    if (endpoint.entry.state == BackendState::kGone) {
      if (found == backends_.end()) continue;
      CloseIdle(found->second);
      backends_.erase(found);
      continue;
    }
    Backend& backend = backends_[endpoint.entry.server];
    if (endpoint.address != backend.address || endpoint.entry.state != BackendState::kReady)
      CloseIdle(backend);
    backend.address = endpoint.address;
    backend.state = endpoint.entry.state;
  }
}

bool BackendPool::AnyReady() const {
  return std::any_of(backends_.begin(), backends_.end(),
                     [](const auto& entry) { return entry.second.state == BackendState::kReady; });
}

void BackendPool::CloseIdle(Backend& backend) {
  for (const auto& connection : std::exchange(backend.idle, {})) connection->Close();
}

// Those that have been idle since before that: nothing has been heard on them.
void BackendPool::CloseUntested(BackendId server, TimePoint since) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  const auto idle = found->second.idle;  // a copy: each takes itself out
  for (const auto& connection : idle) {
    if (connection->idle_since() < since) connection->Close();
  }
}

// Nothing of the grace after a drain is used: the word may have been long on its way, and what has not begun
// can be sent elsewhere.
bool BackendPool::Takes(BackendId server, const tcp::endpoint& address) const {
  const auto found = backends_.find(server);
  return found != backends_.end() && found->second.address == address &&
         found->second.state == BackendState::kReady;
}

// The newest that has rested.
std::shared_ptr<BackendPool::Connection> BackendPool::TakeIdle(Backend& backend) {
  const TimePoint now = clock_.Now();
  const TimePoint rested = now - unasked_at_ < kUnaskedMemory ? now - limits_.rest : now;
  for (std::size_t at = backend.idle.size(); at-- > 0;) {
    if (backend.idle[at]->idle_since() > rested) continue;
    std::shared_ptr<Connection> newest = std::move(backend.idle[at]);
    backend.idle.erase(backend.idle.begin() + static_cast<std::ptrdiff_t>(at));
    if (!newest->Stale()) return newest;
    newest->Close();
  }
  return nullptr;
}

// At the limit, the connection that has been idle the longest makes room.
bool BackendPool::EvictConnection() {
  if (open_ < limits_.connections) return true;
  std::shared_ptr<Connection> oldest;
  for (const auto& [id, backend] : backends_) {
    if (!backend.idle.empty() && (!oldest || backend.idle.front()->idle_since() < oldest->idle_since()))
      oldest = backend.idle.front();
  }
  if (!oldest) return false;
  oldest->Close();
  return true;
}

BackendPool::Ticket BackendPool::Send(BackendId server, std::shared_ptr<const Forwarded> request,
                                      Duration timeout, TimePoint begin_before, Done done,
                                      std::shared_ptr<Requester> requester) {
  const TimePoint deadline = clock_.Now() + timeout;
  // Through the queue of the io_context also where it ends at once: the caller is in the midst of its
  // actions.
  Done later = [this, completion = std::make_shared<Completion>(std::move(done))](AttemptResult result) {
    const net::HandlerAllocator<void> memory(
        std::shared_ptr<net::HandlerMemory>(completion, &completion->memory));
    asio::post(io_, asio::bind_allocator(memory, [completion, result = std::move(result)]() mutable {
                 completion->done(std::move(result));
               }));
  };
  const auto found = backends_.find(server);
  if (found == backends_.end() || !Takes(server, found->second.address)) {
    later({Outcome::kConnectFailed, {}, {}});
    return {};
  }
  Connection::Attempt attempt{std::move(request), std::move(requester), deadline, begin_before,
                              std::move(later)};
  std::shared_ptr<Connection> connection = TakeIdle(found->second);
  if (connection) {
    connection->Reuse(std::move(attempt));
  } else if (EvictConnection()) {
    connection = std::make_shared<Connection>(*this, server, found->second.address);
    connection->Connect(std::move(attempt));
  } else {
    attempt.done({Outcome::kConnectFailed, {}, {}});
    return {};
  }
  return {connection, connection->number_};
}

void BackendPool::Cancel(const Ticket& attempt) {
  if (const auto connection = attempt.connection.lock()) connection->Cancel(attempt.number);
}

void BackendPool::Withdraw(const Ticket& attempt) {
  if (const auto connection = attempt.connection.lock()) connection->Withdraw(attempt.number);
}

void BackendPool::Park(std::shared_ptr<Connection> connection) {
  const auto found = backends_.find(connection->server_);
  const bool wanted = found != backends_.end() && found->second.state == BackendState::kReady &&
                      found->second.address == connection->address_;
  if (!wanted) return connection->Close();
  std::vector<std::shared_ptr<Connection>>& idle = found->second.idle;
  try {
    idle.push_back(connection);
  } catch (const std::exception&) {
    return connection->Close();
  }
  connection->Idle();  // may close it at once
  if (idle.size() > limits_.idle_per_backend) std::shared_ptr(idle.front())->Close();
}

void BackendPool::Unpark(const Connection* connection) {
  const auto found = backends_.find(connection->server_);
  if (found == backends_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == connection; });
}

}  // namespace badgerbridge::proxy
