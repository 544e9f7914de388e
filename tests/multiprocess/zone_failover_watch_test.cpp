// SPDX-License-Identifier: Apache-2.0
//
// What a trial holds against the common decision, with each breach planted.
#include "multiprocess/zone_failover_watch.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace badgerbridge::multiprocess {
namespace {

Part PartOf(int zone, std::uint64_t epoch, std::vector<double> shares) {
  return {zone, epoch, true, false, std::move(shares), {10, 10}, {"sound", "sound"}};
}

TEST(RegionsWatch, SharesOfAllEpochsAreHeldTogetherAgainstTheReceiversLimit) {
  const Part a = PartOf(0, 4, {-1, 3}), b = PartOf(0, 5, {-1, 6}), home = PartOf(1, 5, {0, -1});
  EXPECT_DOUBLE_EQ(WorstReceiver({&a, &b, &home}), 0.9);
  const Part more = PartOf(0, 3, {-1, 3});
  EXPECT_DOUBLE_EQ(WorstReceiver({&a, &b, &more, &home}), 1.2);
  // Without limit elsewhere is a breach; one that has heard of no decision is not looked at.
  const Part free = PartOf(0, 5, {-1, -1}), fresh = PartOf(0, 0, {-1, -1});
  EXPECT_GT(WorstReceiver({&a, &free}), 1000);
  EXPECT_DOUBLE_EQ(WorstReceiver({&a, &fresh}), 0.3);
  // Its own members count where the zone is not sound.
  Part ill = PartOf(1, 5, {0, 9});
  ill.states[1] = "dark";
  EXPECT_DOUBLE_EQ(WorstReceiver({&a, &ill}), 1.2);
  // A share of what has no limit at all.
  Part none = PartOf(0, 5, {-1, 1});
  none.limits = {0, 0};
  EXPECT_GT(WorstReceiver({&none}), 1000);
  EXPECT_EQ(WorstReceiver({}), 0);
}

TEST(RegionsWatch, WhatIsNoPartIsNone) {
  const std::vector<std::string> zones = {"z0", "z1"};
  const auto read = [&](const char* text) { return ReadPart(boost::json::parse(text).as_object(), zones); };
  const auto part = read(
      R"({"zone":"z1","epoch":3,"in_touch":true,"zones":[{"share":null},{"share":2,"limit":5,"state":"dark"}]})");
  ASSERT_TRUE(part);
  EXPECT_EQ(part->zone, 1);
  EXPECT_EQ(part->shares, (std::vector<double>{-1, 2}));
  EXPECT_EQ(part->states[1], "dark");
  for (const char* text : {"{}", R"({"zone":"z9","zones":[{},{}]})", R"({"zone":"z0","zones":[{}]})",
                           R"({"zone":"z0","zones":[1,2]})", R"({"zone":7,"zones":[{},{}]})"})
    EXPECT_FALSE(read(text)) << text;
}

class Words : public ::testing::Test {
 protected:
  void Put(const std::string& key, const std::string& value) {
    etcdserverpb::PutRequest request;
    request.set_key("/r/" + key);
    request.set_value(value);
    etcdserverpb::PutResponse response;
    ASSERT_TRUE(store.Put(request, &response).ok());
  }
  void Word(int epoch, const std::string& by) {
    Put("decision", "{\"epoch\":" + std::to_string(epoch) + ",\"decider\":\"" + by + "\"}");
  }
  standins::EtcdStore store;
};

TEST_F(Words, OfTheDeciderOfTheMomentAndInOrderAreWell) {
  EXPECT_EQ(CheckWords(store, "/r/").words, 0u);
  Put("decider", "n1");
  Word(1, "n1");
  Word(2, "n1");
  Put("decider", "n2");
  Word(5, "n2");
  const WordsWritten all = CheckWords(store, "/r/");
  EXPECT_EQ(all.words, 3u);
  EXPECT_EQ(all.disorder + all.unfenced, 0u);
  EXPECT_EQ(DeciderIn(store, "/r/"), "n2");
}

TEST_F(Words, OfOneThatSleptOrOfAnOlderEpochAreFound) {
  Put("decider", "n1");
  Word(1, "n1");
  Put("decider", "n2");
  Word(2, "n1");  // its term is over
  EXPECT_EQ(CheckWords(store, "/r/").unfenced, 1u);
  Word(2, "n2");  // no higher than the one before
  EXPECT_EQ(CheckWords(store, "/r/").disorder, 1u);
  Put("decision", "nonsense");
  const WordsWritten all = CheckWords(store, "/r/");
  EXPECT_EQ(all.words, 4u);
  EXPECT_EQ(all.disorder, 2u);
  EXPECT_EQ(all.unfenced, 2u);
}

}  // namespace
}  // namespace badgerbridge::multiprocess
