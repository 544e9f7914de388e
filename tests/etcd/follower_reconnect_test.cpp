// SPDX-License-Identifier: Apache-2.0
//
// Many followers lose their server at the same instant. Their reconnect attempts must spread over time and
// over the remaining servers.
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

/// A follower that the test drives without a connection.
class DrivenFollower {
 public:
  explicit DrivenFollower(std::uint64_t seed) : follower_(MakeSettings(), seed) {
    Follower::Actions actions;
    follower_.Tick(Time(0), &actions);
    endpoint_ = std::get<Follower::Connect>(actions.at(0)).endpoint;
  }
  /// Drives the follower to an established watch.
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
  /// A connection attempt.
  struct Attempt {
    Time at;
    std::size_t endpoint;
  };

  /// Advances to the next connection attempt.
  Attempt NextAttempt() {
    const Time at = follower_.NextWake();
    Follower::Actions actions;
    follower_.Tick(at, &actions);
    return {at, std::get<Follower::Connect>(actions.at(0)).endpoint};
  }
  std::size_t endpoint() const { return endpoint_; }
  Follower& follower() { return follower_; }

 private:
  static FollowerSettings MakeSettings() {
    FollowerSettings settings;
    settings.prefix = kPrefix;
    settings.endpoints = 5;
    return settings;
  }
  Follower follower_;
  std::size_t endpoint_;
};

/// Reconnect attempts of followers that lost their watches at the same time.
struct Attempts {
  std::map<std::int64_t, int> by_time;  ///< Counts per 10 ms after the loss.
  std::map<std::size_t, int> by_endpoint;
};

/// Lets `lose` end the watches of `followers` followers of endpoint 0 at 1000 ms. Returns their next
/// attempts.
Attempts DisconnectAll(int followers, const std::function<void(Follower&, Follower::Actions*)>& lose) {
  Attempts attempts;
  for (std::uint64_t seed = 1; followers > 0; ++seed) {
    DrivenFollower driven(seed);
    if (driven.endpoint() != 0) continue;
    --followers;
    driven.Establish();
    Follower::Actions actions;
    lose(driven.follower(), &actions);
    const auto [at, endpoint] = driven.NextAttempt();
    ++attempts.by_time[(at - Time(1000)) / Time(10)];
    ++attempts.by_endpoint[endpoint];
  }
  return attempts;
}

void ExpectSpread(const Attempts& attempts) {
  EXPECT_GE(attempts.by_time.size(), 8u) << "must spread over 80 ms";
  EXPECT_LE(attempts.by_time.rbegin()->first, 8) << "must not exceed 80 ms, because a drain may be pending";
  for (const auto& [bucket, count] : attempts.by_time)
    EXPECT_LE(count, 170) << "attempts from " << bucket * 10 << " ms";
  EXPECT_EQ(attempts.by_endpoint.count(0), 0u) << "must use another endpoint";
  EXPECT_EQ(attempts.by_endpoint.size(), 4u);
  for (const auto& [endpoint, count] : attempts.by_endpoint) EXPECT_LE(count, 320) << endpoint;
}

TEST(FollowerReconnectTest, ServerTerminated_ThousandFollowersSpreadOverTimeAndServers) {
  ExpectSpread(DisconnectAll(1000, [](Follower& follower, Follower::Actions* actions) {
    follower.Closed(Time(1000), {ConnectionErrorCode::kTransportFailed, "end of file"}, actions);
  }));
}

TEST(FollowerReconnectTest, ServerDrains_ThousandFollowersSpreadOverTimeAndServers) {
  ExpectSpread(DisconnectAll(1000, [](Follower& follower, Follower::Actions* actions) {
    follower.WatchEnded(Time(1000), {Code::kUnavailable, Ending::kStatus, "draining"}, actions);
  }));
}

TEST(FollowerReconnectTest, ServerOverloaded_FollowersBackOff) {
  const Attempts attempts = DisconnectAll(200, [](Follower& follower, Follower::Actions* actions) {
    follower.WatchEnded(Time(1000), {Code::kResourceExhausted, Ending::kStatus, "too many"}, actions);
  });
  EXPECT_GE(attempts.by_time.begin()->first, 25) << "not before 250 ms";
  EXPECT_LE(attempts.by_time.rbegin()->first, 50);
  // The same backoff applies to a rejected snapshot, and doubles with each rejection.
  DrivenFollower driven(1);
  Follower::Actions actions;
  Time now{1000};
  for (const int at_least : {250, 500, 1000, 1000}) {
    driven.follower().Opened(now, &actions);
    driven.follower().RangeCompleted(now, {Code::kResourceExhausted, Ending::kStatus, "lists"}, {}, &actions);
    EXPECT_GE(driven.follower().NextWake() - now, Time(at_least));
    EXPECT_LE(driven.follower().NextWake() - now, Time(std::min(2000, 2 * at_least)));
    now = driven.NextAttempt().at;
  }
}

}  // namespace
}  // namespace badgerbridge::etcd
