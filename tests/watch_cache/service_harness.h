// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A stand-in for etcd, tiers of watch caches and readers on one event loop, connected by real sockets.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_SERVICE_HARNESS_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_SERVICE_HARNESS_H_

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "etcd/follower_link.h"
#include "etcd/key_range.h"
#include "standins/etcd.h"
#include "watch_cache/relay_file.h"
#include "watch_cache/service.h"

namespace badgerbridge::watch_cache {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
namespace pb = etcdserverpb;

inline const std::string kPrefix = "/badgerbridge/converters/";

inline std::string MemberValue(const std::string& name, const std::string& status = "Ready") {
  return R"({"name":")" + name + R"(","address":"127.0.0.1:1","zone":"a","type":"x","group":1,"status":")" +
         status + R"(","weight":1.0,"since_ms":0})";
}

/// A key's value and revision.
struct HeldValue {
  std::string value;
  std::int64_t mod_revision = 0;
  bool operator==(const HeldValue&) const = default;
};

/// A reader: its state, and counts of the events that it has received.
class Reader {
 public:
  Reader(boost::asio::io_context& io, std::vector<tcp::endpoint> endpoints, std::uint64_t seed,
         std::int64_t page_size = 1000) {
    etcd::FollowerLinkSettings settings;
    settings.endpoints = std::move(endpoints);
    settings.follower.prefix = kPrefix;
    settings.follower.page_size = page_size;
    settings.follower.call_timeout = milliseconds(1000);
    settings.follower.min_step_timeout = milliseconds(500);
    settings.channel.ping_interval = settings.channel.ping_timeout = milliseconds(1000);
    etcd::FollowerLinkCallbacks callbacks;
    callbacks.on_snapshot = [this](std::uint64_t cluster, std::int64_t at, std::vector<pb::KeyValue> kvs) {
      keys.clear();
      for (const pb::KeyValue& kv : kvs) ApplyPut(kv);
      RecordRevision(cluster, at);
    };
    callbacks.on_events = [this](std::uint64_t cluster, std::int64_t at, std::vector<pb::Event> events) {
      for (const pb::Event& event : events) {
        if (event.type() == pb::Event::DELETE) {
          ++deletions[event.kv().key()];
          keys.erase(event.kv().key());
        } else {
          ApplyPut(event.kv());
        }
      }
      RecordRevision(cluster, at);
    };
    callbacks.on_progress = [this](std::int64_t) { ++progress; };
    callbacks.on_disconnected = [this](const etcd::FollowerError& error) {
      ++disconnects;
      last_error = Message(error);
    };
    link = std::make_unique<etcd::FollowerLink>(io, settings, seed, std::move(callbacks));
  }

  void ApplyPut(const pb::KeyValue& kv) {
    keys[kv.key()] = {kv.value(), kv.mod_revision()};
    drains[kv.key()] += IsDrainEvent(kv);
  }
  void RecordRevision(std::uint64_t cluster, std::int64_t at) {
    revision_decreases += cluster == cluster_id && at < revision;
    cluster_id = cluster;
    revision = at;
  }
  bool watching() const { return link->follower().watching(); }

  std::map<std::string, HeldValue> keys;
  std::map<std::string, int> drains;     // received, by key
  std::map<std::string, int> deletions;  // received, by key
  std::uint64_t cluster_id = 0;
  std::int64_t revision = 0;
  int revision_decreases = 0;  // times that the revision decreased within a cluster id
  int disconnects = 0;
  int progress = 0;
  std::string last_error;
  std::unique_ptr<etcd::FollowerLink> link;
};

/// Fixture with the etcd stand-in and the event loop; the tests own the caches and readers.
class ServiceTest : public ::testing::Test {
 protected:
  void StartEtcd(standins::EtcdSettings settings = {}, int members = 4) {
    etcd = std::make_unique<standins::Etcd>(io, settings);
    for (int i = 0; i < members; ++i) Put("m" + std::to_string(i));
  }
  ServiceSettings CacheSettings(std::vector<tcp::endpoint> upstream) {
    ServiceSettings settings;
    settings.listen = tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0);
    settings.upstream.endpoints = std::move(upstream);
    settings.upstream.channel.ping_interval = settings.upstream.channel.ping_timeout = milliseconds(1000);
    settings.upstream.follower.min_step_timeout = milliseconds(500);
    settings.cache.prefix = kPrefix;
    settings.cache.member_id = 77;
    settings.cache.must_deliver = IsDrainEvent;
    settings.cache.progress_interval = Time(100);
    return settings;
  }
  std::unique_ptr<Service> MakeCacheWith(ServiceSettings settings) {
    return std::make_unique<Service>(io, std::move(settings), ++seed);
  }
  std::unique_ptr<Service> MakeCache(std::vector<tcp::endpoint> upstream) {
    return MakeCacheWith(CacheSettings(std::move(upstream)));
  }
  std::unique_ptr<Reader> MakeReader(std::vector<tcp::endpoint> endpoints, std::int64_t page_size = 1000) {
    return std::make_unique<Reader>(io, std::move(endpoints), ++seed, page_size);
  }

  void Put(const std::string& name, const std::string& status = "Ready") {
    etcd->Put(kPrefix + name, MemberValue(name, status));
  }
  void Delete(const std::string& name) { etcd->Delete(kPrefix + name); }

  bool Until(const std::function<bool()>& holds, std::chrono::seconds bound = std::chrono::seconds(30)) {
    const auto due = std::chrono::steady_clock::now() + bound;
    while (!holds()) {
      if (std::chrono::steady_clock::now() > due) return false;
      io.restart();
      if (io.poll() == 0) io.run_one_for(milliseconds(20));
    }
    return true;
  }
  void RunFor(milliseconds time) {
    const auto due = std::chrono::steady_clock::now() + time;
    Until([&] { return std::chrono::steady_clock::now() >= due; });
  }

  /// The source's state, as a reader of all keys holds it.
  std::map<std::string, HeldValue> SourceState() const {
    pb::RangeRequest request;
    request.set_key(kPrefix);
    request.set_range_end(etcd::PrefixRangeEnd(kPrefix));
    pb::RangeResponse response;
    EXPECT_TRUE(etcd->store().Range(request, &response).ok());
    std::map<std::string, HeldValue> state;
    for (const pb::KeyValue& kv : response.kvs()) state[kv.key()] = {kv.value(), kv.mod_revision()};
    return state;
  }
  bool Holds(const Reader& reader) const { return reader.watching() && reader.keys == SourceState(); }
  bool Follows(const Service& cache) const {
    return cache.status().connected && cache.status().revision == etcd->store().revision();
  }

  /// One unary call on a new connection.
  etcd::Status Call(const tcp::endpoint& address, const std::string& path, const std::string& message,
                    std::string* answer = nullptr) {
    std::optional<etcd::Status> ended;
    const auto channel = OpenChannel(address);
    channel->CallUnary(path, {}, message, milliseconds(10000), [&](etcd::Status status, std::string text) {
      ended = std::move(status);
      if (answer) *answer = std::move(text);
    });
    EXPECT_TRUE(Until([&] { return ended.has_value(); }));
    channel->Close("done");
    return ended.value_or(etcd::Status{etcd::Code::kUnknown, etcd::Ending::kLost, "no answer"});
  }
  std::shared_ptr<etcd::Channel> OpenChannel(const tcp::endpoint& address) {
    etcd::ChannelOptions options;
    options.connect_timeout = milliseconds(10000);
    options.ping_interval = options.ping_timeout = milliseconds(10000);
    bool open = false;
    const auto channel = etcd::Channel::Open(
        io, address, options, [&open] { open = true; }, [](const etcd::ConnectionError&) {});
    EXPECT_TRUE(Until([&] { return open; }));
    return channel;
  }

  boost::asio::io_context io{1};
  std::uint64_t seed = 0;
  std::unique_ptr<standins::Etcd> etcd;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_SERVICE_HARNESS_H_
