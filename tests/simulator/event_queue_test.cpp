// SPDX-License-Identifier: Apache-2.0
#include "simulator/event_queue.h"

#include <gtest/gtest.h>

#include <vector>

namespace badgerbridge::simulator {
namespace {

/// The numbers of seven events, six of them of one moment, in the order in which they run.
std::vector<int> OrderOfEvents(std::uint64_t tie_seed) {
  EventQueue queue(tie_seed);
  std::vector<int> order;
  for (int i = 0; i < 6; ++i)
    queue.Schedule(TimePoint(Duration(3)), [&order, i](TimePoint) { order.push_back(i); });
  queue.Schedule(TimePoint(Duration(1)), [&order](TimePoint) { order.push_back(9); });
  while (queue.RunNext(TimePoint(Duration(3)))) {
  }
  EXPECT_EQ(queue.steps(), 7u);
  return order;
}

TEST(EventQueue, EventsOfOneMoment_RunAsScheduledOrAsTheTieSeedDecides) {
  EXPECT_EQ(OrderOfEvents(0), (std::vector<int>{9, 0, 1, 2, 3, 4, 5}));
  EXPECT_EQ(OrderOfEvents(5), OrderOfEvents(5));
  EXPECT_NE(OrderOfEvents(5), OrderOfEvents(6));
  EXPECT_EQ(OrderOfEvents(5).front(), 9);
}

TEST(EventQueue, EventInThePast_RunsNow) {
  EventQueue queue;
  std::vector<TimePoint> times;
  queue.Schedule(TimePoint(Duration(5)), [&](TimePoint now) {
    times.push_back(now);
    queue.Schedule(TimePoint(Duration(2)), [&times](TimePoint late) { times.push_back(late); });
  });
  while (queue.RunNext(TimePoint(Duration(9)))) {
  }
  EXPECT_EQ(times, (std::vector<TimePoint>{TimePoint(Duration(5)), TimePoint(Duration(5))}));
  EXPECT_EQ(queue.size(), 0u);
}

}  // namespace
}  // namespace badgerbridge::simulator
