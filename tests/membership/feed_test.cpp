// SPDX-License-Identifier: Apache-2.0
//
// How long a feed waits for a member, step by step, without a socket.
#include "membership/feed.h"

#include <gtest/gtest.h>

namespace badgerbridge::membership {
namespace {

namespace pb = etcdserverpb;

class PatienceTest : public ::testing::Test {
 protected:
  PatienceTest()
      : feed(
            [] {
              FeedSettings settings;
              settings.endpoints = 3;
              return settings;
            }(),
            1) {}
  template <typename Action>
  const Action* Find() const {
    for (const auto& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) return found;
    }
    return nullptr;
  }
  void Tick() {
    now = std::max(now, *feed.NextWake());
    actions.clear();
    feed.Tick(now, &actions);
  }
  // From a connection on, each step answered after `step`; until the watch is there.
  void Follow(Time step) {
    while (!Find<Feed::Connect>()) Tick();
    now += step;
    actions.clear();
    feed.Opened(now, &actions);
    pb::RangeResponse response;
    response.mutable_header()->set_cluster_id(1);
    response.mutable_header()->set_revision(7);
    while (Find<Feed::Range>()) {
      now += step;
      actions.clear();
      feed.Ranged(now, {}, response, &actions);
    }
    ASSERT_TRUE(Find<Feed::Watch>());
    pb::WatchResponse created;
    created.mutable_header()->set_cluster_id(1);
    created.set_created(true);
    feed.Watched(now, created, &actions);
    actions.clear();
  }
  // How long the next connection is given before another is tried.
  Time GivenUpAfter() {
    while (!Find<Feed::Connect>()) Tick();
    const Time began = now;
    actions.clear();
    Tick();
    EXPECT_EQ(feed.last_trouble(), "no answer in time");
    return now - began;
  }

  Feed feed;
  Feed::Actions actions;
  Time now{1000};
};

TEST_F(PatienceTest, AMemberThatSaysNothingIsLeftSoonAndMoreTimeIsGivenWhileAllFail) {
  EXPECT_EQ(GivenUpAfter(), Time(1000)) << "at the start nothing is known of how long it takes";
  Follow(Time(5));
  feed.Closed(now, "cut", &actions);  // the one in use: a failure as well
  for (const int expected : {100, 100, 200, 200, 200, 400, 400, 400, 800, 800, 800, 1000, 1000, 1000, 1000})
    EXPECT_EQ(GivenUpAfter(), Time(expected));
}

TEST_F(PatienceTest, WhereStepsTakeLongTheyAreGivenTwiceThat) {
  Follow(Time(180));
  feed.Closed(now, "cut", &actions);
  EXPECT_EQ(GivenUpAfter(), Time(360));
  Follow(Time(5));
  feed.Closed(now, "cut", &actions);
  EXPECT_EQ(GivenUpAfter(), Time(100)) << "and no more once they don't";
}

}  // namespace
}  // namespace badgerbridge::membership
