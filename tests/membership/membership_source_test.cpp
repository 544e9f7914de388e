// SPDX-License-Identifier: Apache-2.0
//
// What a proxy is given of a list from a stand-in etcd, and in which order.
#include "app/membership_source.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <map>

#include "membership/value.h"
#include "node_harness.h"
#include "standins/etcd.h"

namespace badgerbridge::app {
namespace {

namespace json = boost::json;
using fordlb::ServerState;
using membership::State;
using node::EndpointList;

class MembershipSourceTest : public ::testing::Test {
 protected:
  using Pairs = std::vector<std::pair<std::string, std::string>>;

  void Start(std::size_t max_members = membership::kMaxMembers) {
    operator_file::Etcd table;
    table.endpoints = {"127.0.0.1:" + std::to_string(etcd.address(0).port())};
    source.emplace(
        io, node::testing::TestConfig({}), table, [this](const EndpointList& list) { Take(list); },
        [this] {
          ++completions;
          size_at_completion = proxy.size();
        },
        max_members);
  }
  static std::pair<std::string, std::string> Pair(const std::string& name, State state = State::kReady) {
    membership::Member member;
    member.name = name;
    member.address = "127.0.0.1:1";
    member.state = state;
    return {membership::kConvertersPrefix + name, membership::ValueOf(member)};
  }
  // All in one revision.
  void Write(const Pairs& pairs) {
    etcd.store().PutAll(pairs);
    etcd.Publish();
  }
  Pairs Numbered(const std::string& prefix, int count, State state = State::kReady) {
    Pairs pairs;
    for (int i = 0; i < count; ++i) pairs.push_back(Pair(prefix + std::to_string(i), state));
    return pairs;
  }
  void Take(const EndpointList& list) {
    EXPECT_FALSE(list.snapshot);
    largest = std::max(largest, list.endpoints.size());
    for (const node::Endpoint& endpoint : list.endpoints) {
      order.push_back(endpoint.entry.state);
      proxy[endpoint.name] = endpoint.entry.state;
      if (endpoint.entry.state == ServerState::kGone) proxy.erase(endpoint.name);
    }
  }
  bool Until(const std::function<bool()>& holds) { return node::testing::RunUntil(io, holds); }
  json::object EtcdSource() { return source->Describe().at("sources").at(0).as_object(); }

  boost::asio::io_context io{1};
  standins::Etcd etcd{io, {}};
  std::optional<MembershipSource> source;
  std::map<std::string, ServerState> proxy;
  std::vector<ServerState> order;  // of all entries, as they came
  std::size_t largest = 0, size_at_completion = 0;
  int completions = 0;
};

TEST_F(MembershipSourceTest, AListComesInBoundedSlicesAndIsCompleteAtItsEnd) {
  Write(Numbered("m", 1000));
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  EXPECT_EQ(size_at_completion, 1000u) << "and not before";
  EXPECT_EQ(largest, MembershipSource::kSliceMembers);
  EXPECT_EQ(order.size(), 1000u) << "each once";
  Write({Pair("m7", State::kDraining)});
  ASSERT_TRUE(Until([&] { return proxy["m7"] == ServerState::kDraining; }));
  EXPECT_EQ(completions, 1);
  EXPECT_EQ(source->Describe().at("pending").to_number<int>(), 0);
}

TEST_F(MembershipSourceTest, AnEmptyListIsCompleteToo) {
  Start();
  EXPECT_TRUE(Until([&] { return completions == 1; }));
}

TEST_F(MembershipSourceTest, DrainsAndDeparturesComeBeforeJoinsOfTheSameRevision) {
  Write(Numbered("m", 400));
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  order.clear();
  Pairs pairs = Numbered("a", 500);  // before the others by name and by order
  for (const auto& pair : Numbered("m", 300, State::kDraining)) pairs.push_back(pair);
  Write(pairs);
  ASSERT_TRUE(Until([&] { return proxy.size() == 900 && order.size() == 800; }));
  const auto first_join = std::find(order.begin(), order.end(), ServerState::kReady);
  EXPECT_EQ(first_join - order.begin(), 300);
  EXPECT_EQ(std::count(order.begin(), order.end(), ServerState::kDraining), 300);
  EXPECT_EQ(largest, MembershipSource::kSliceMembers);
}

TEST_F(MembershipSourceTest, AListThatIsReadAgainChangesOnlyWhatChanged) {
  Write(Numbered("m", 700));
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  order.clear();
  etcd.Down(0);
  etcd.Delete(std::string(membership::kConvertersPrefix) + "m3");
  Write({Pair("m5", State::kDraining), Pair("new")});
  etcd.Compact(etcd.store().revision());
  etcd.Up(0);
  ASSERT_TRUE(Until([&] { return proxy.count("m3") == 0 && proxy.count("new") == 1; }));
  EXPECT_EQ(proxy["m5"], ServerState::kDraining);
  EXPECT_EQ(order.size(), 3u);
  EXPECT_EQ(proxy.size(), 700u);
}

TEST_F(MembershipSourceTest, WhatIsRefusedForItsNumberIsSaidInStatus) {
  Write(Numbered("m", 5));
  Start(3);
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  EXPECT_EQ(proxy.size(), 3u);
  EXPECT_EQ(EtcdSource().at("refused").as_string(),
            "2 members are refused: at most 3 are taken; drains and departures still count");
}

TEST_F(MembershipSourceTest, SaysHowOldWhatItHasIs) {
  Write(Numbered("m", 2));
  Start();
  EXPECT_TRUE(EtcdSource().at("age_ms").is_null()) << "never heard";
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  ASSERT_TRUE(EtcdSource().at("age_ms").is_number());
  etcd.Down(0);
  ASSERT_TRUE(Until([&] { return EtcdSource().at("age_ms").to_number<int>() > 500; }));
  EXPECT_EQ(proxy.size(), 2u) << "and keeps it";
  etcd.Up(0);
  ASSERT_TRUE(Until([&] { return EtcdSource().at("age_ms").to_number<int>() < 500; }));
}

}  // namespace
}  // namespace badgerbridge::app
