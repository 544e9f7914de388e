// SPDX-License-Identifier: Apache-2.0
//
// Many followers that lose their server at the same instant: their next attempts spread over time and
// servers.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "etcd/follower.h"

namespace badgerbridge::etcd {
namespace {

namespace pb = etcdserverpb;

const std::string kPrefix = "/members/";
using Time = Follower::Time;

/// One of many followers, driven up to an established watch.
class Reader {
 public:
  explicit Reader(std::uint64_t seed) : follower_(SettingsOfReader(), seed) {
    Follower::Actions actions;
    follower_.Tick(Time(0), &actions);
    endpoint_ = std::get<Follower::Connect>(actions.at(0)).endpoint;
  }
  /// Up to an established watch.
  void Establish() {
    Follower::Actions actions;
    follower_.Opened(Time(1), &actions);
    pb::RangeResponse list;
    list.mutable_header()->set_cluster_id(1);
    list.mutable_header()->set_revision(7);
    follower_.RangeCompleted(Time(1), {}, list, &actions);
    pb::WatchResponse created;
    created.mutable_header()->set_cluster_id(1);
    created.set_created(true);
    follower_.WatchReceived(Time(1), created, &actions);
    ASSERT_TRUE(follower_.watching());
  }
  /// An attempt to connect.
  struct Attempt {
    Time at;
    std::size_t endpoint;
  };

  /// The next attempt to connect.
  Attempt NextAttempt() {
    const Time at = follower_.NextWake();
    Follower::Actions actions;
    follower_.Tick(at, &actions);
    return {at, std::get<Follower::Connect>(actions.at(0)).endpoint};
  }
  std::size_t endpoint() const { return endpoint_; }
  Follower& follower() { return follower_; }

 private:
  static FollowerSettings SettingsOfReader() {
    FollowerSettings settings;
    settings.prefix = kPrefix;
    settings.endpoints = 5;
    return settings;
  }
  Follower follower_;
  std::size_t endpoint_;
};

/// The next attempts of followers that lost their watches together.
struct Attempts {
  std::map<std::int64_t, int> by_time;  ///< Counts, in steps of 10 ms.
  std::map<std::size_t, int> by_endpoint;
};

/// Followers of endpoint 0 all lose their watches at 1000 ms, by `lose`.
Attempts LoseAll(int readers, const std::function<void(Follower&, Follower::Actions*)>& lose) {
  Attempts attempts;
  for (std::uint64_t seed = 1; readers > 0; ++seed) {
    Reader reader(seed);
    if (reader.endpoint() != 0) continue;
    --readers;
    reader.Establish();
    Follower::Actions actions;
    lose(reader.follower(), &actions);
    const auto [at, endpoint] = reader.NextAttempt();
    ++attempts.by_time[(at - Time(1000)) / Time(10)];
    ++attempts.by_endpoint[endpoint];
  }
  return attempts;
}

void ExpectSpread(const Attempts& attempts) {
  EXPECT_GE(attempts.by_time.size(), 8u) << "over 80 ms";
  EXPECT_LE(attempts.by_time.rbegin()->first, 8) << "and no more: a drain may be waiting";
  for (const auto& [tens, count] : attempts.by_time)
    EXPECT_LE(count, 170) << "from " << tens * 10 << " ms on";
  EXPECT_EQ(attempts.by_endpoint.count(0), 0u) << "another endpoint";
  EXPECT_EQ(attempts.by_endpoint.size(), 4u);
  for (const auto& [endpoint, count] : attempts.by_endpoint) EXPECT_LE(count, 320) << endpoint;
}

TEST(FollowerReconnectTest, ServerEnded_ThousandReadersSpreadOverTimeAndServers) {
  ExpectSpread(LoseAll(1000, [](Follower& follower, Follower::Actions* actions) {
    follower.Closed(Time(1000), {ConnectionErrorCode::kTransportFailed, "end of file"}, actions);
  }));
}

TEST(FollowerReconnectTest, ServerDrains_ThousandReadersSpreadOverTimeAndServers) {
  ExpectSpread(LoseAll(1000, [](Follower& follower, Follower::Actions* actions) {
    follower.WatchEnded(Time(1000), {Code::kUnavailable, Ending::kStatus, "draining"}, actions);
  }));
}

TEST(FollowerReconnectTest, ServerOverloaded_ReadersBackOff) {
  const Attempts attempts = LoseAll(200, [](Follower& follower, Follower::Actions* actions) {
    follower.WatchEnded(Time(1000), {Code::kResourceExhausted, Ending::kStatus, "too many"}, actions);
  });
  EXPECT_GE(attempts.by_time.begin()->first, 25) << "from 250 ms on";
  EXPECT_LE(attempts.by_time.rbegin()->first, 50);
  // Also where a snapshot is rejected; the backoff doubles.
  Reader reader(1);
  Follower::Actions actions;
  Time now{1000};
  for (const int at_least : {250, 500, 1000, 1000}) {
    reader.follower().Opened(now, &actions);
    reader.follower().RangeCompleted(now, {Code::kResourceExhausted, Ending::kStatus, "lists"}, {}, &actions);
    EXPECT_GE(reader.follower().NextWake() - now, Time(at_least));
    EXPECT_LE(reader.follower().NextWake() - now, Time(std::min(2000, 2 * at_least)));
    now = reader.NextAttempt().at;
  }
}

}  // namespace
}  // namespace badgerbridge::etcd
