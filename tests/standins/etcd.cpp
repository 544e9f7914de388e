// SPDX-License-Identifier: Apache-2.0
//
// The cluster of the stand-in etcd: its members, and what a test does to them.
#include "standins/etcd.h"

#include <algorithm>

#include "standins/etcd_internal.h"

namespace badgerbridge::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxUnsentBytes = 1 << 30;  // no limit that tests of clients could meet
constexpr milliseconds kTickInterval{20};

milliseconds Now() { return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()); }

}  // namespace

Etcd::Etcd(asio::io_context& io, EtcdSettings settings)
    : io_(io), settings_(std::move(settings)), store_(std::make_unique<EtcdStore>()), timer_(io) {
  const auto count = static_cast<std::size_t>(settings_.members);
  for (std::size_t i = 0; i < count; ++i) {
    members_.push_back(std::make_unique<Member>(io_, i));
    Up(i);
  }
  Tick();
}

Etcd::~Etcd() {
  *alive_ = false;
  for (auto& member : members_) member->server.reset();
}

tcp::endpoint Etcd::address(std::size_t member) const { return members_[member]->port.address(); }

void Etcd::Up(std::size_t number) {
  Member& member = *members_[number];
  etcd::ServerOptions options;
  options.ping_interval = milliseconds(0);
  options.idle_timeout = milliseconds(0);
  options.stall_timeout = milliseconds(0);
  options.limits.max_unsent_bytes = kMaxUnsentBytes;
  options.faults.is_frozen = [&member] { return member.is_silent; };
  options.faults.filter_output = [&member](const etcd::ServerConnection& link, std::string* bytes) {
    const auto found = std::find_if(member.connections.begin(), member.connections.end(),
                                    [&](const auto& connection) { return connection->link.get() == &link; });
    return found == member.connections.end() || (*found)->FilterOutput(bytes);
  };
  const auto on_connection = [this, &member](const std::shared_ptr<etcd::ServerConnection>& link) {
    return AcceptConnection(member, link);
  };
  member.server =
      std::make_unique<etcd::Server>(io_, member.port.address(), std::move(options), on_connection);
}

etcd::Http2ServerHandler Etcd::AcceptConnection(Member& member,
                                                const std::shared_ptr<etcd::ServerConnection>& link) {
  const auto connection = std::make_shared<Connection>(*this, member, link);
  member.connections.insert(connection);
  link->on_disconnected = [&member,
                           weak = std::weak_ptr<Connection>(connection)](const etcd::ConnectionError&) {
    if (const auto self = weak.lock()) member.connections.erase(self);
  };
  return connection->MakeHandler();
}

void Etcd::Down(std::size_t number) { members_[number]->server.reset(); }

void Etcd::CutAfter(std::size_t member, std::size_t bytes) { members_[member]->cut_after_bytes = bytes; }

void Etcd::Silence(std::size_t number, bool silent) {
  Member& member = *members_[number];
  member.is_silent = silent;
  if (silent) return;
  // Their clients have given them up long ago.
  const auto connections = member.connections;
  for (const auto& connection : connections) connection->link->Close("silent for too long");
}

void Etcd::Lag(std::size_t number, bool lag) {
  members_[number]->is_lagging = lag;
  members_[number]->applied_revision = store_->revision();
  if (!lag) Publish();
}

bool Etcd::Watches(std::size_t member, const std::string& key) const {
  for (const auto& connection : members_[member]->connections) {
    for (const auto& [id, stream] : connection->streams) {
      const auto& watches = stream->watches;
      if (std::any_of(watches.begin(), watches.end(), [&](const Watch& watch) { return watch.key == key; }))
        return true;
    }
  }
  return false;
}

std::size_t Etcd::watches() const {
  std::size_t count = 0;
  for (const auto& member : members_) {
    for (const auto& connection : member->connections) {
      for (const auto& [id, stream] : connection->streams) count += stream->watches.size();
    }
  }
  return count;
}

std::size_t Etcd::connections(std::size_t member) const { return members_[member]->connections.size(); }

void Etcd::Put(const std::string& key, const std::string& value, std::int64_t lease) {
  pb::PutRequest request;
  request.set_key(key);
  request.set_value(value);
  request.set_lease(lease);
  pb::PutResponse ignored;
  store_->Put(request, &ignored);
  Publish();
}

void Etcd::Delete(const std::string& key) {
  pb::DeleteRangeRequest request;
  request.set_key(key);
  pb::DeleteRangeResponse ignored;
  store_->DeleteRange(request, &ignored);
  Publish();
}

void Etcd::Compact(std::int64_t revision) { store_->Compact(revision); }

void Etcd::Restore(EtcdStore backup, std::uint64_t cluster_id) {
  *store_ = std::move(backup);
  settings_.cluster_id = cluster_id;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Down(i);
    Up(i);
  }
}

// Expires leases and sends progress notifications, from time to time.
void Etcd::Tick() {
  if (store_->Expire(Now())) Publish();
  for (const auto& member : members_) {
    const auto connections = member->connections;
    for (const auto& connection : connections) NotifyProgress(*connection);
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (!error && *alive) Tick();
  });
}

}  // namespace badgerbridge::standins
