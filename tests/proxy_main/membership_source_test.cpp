// SPDX-License-Identifier: Apache-2.0
//
// Changes that a proxy receives from a stand-in etcd, and their order.
#include "proxy_main/membership_source.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <map>
#include <random>

#include "membership/member_codec.h"
#include "proxy/proxy_harness.h"
#include "standins/etcd.h"

namespace badgerbridge::proxy_main {
namespace {

namespace json = boost::json;
using balancer::BackendState;
using membership::MemberState;
using proxy::EndpointList;

/// A stand-in etcd, a source that watches it, and the member list that results from the source's changes.
class MembershipSourceTest : public ::testing::Test {
 protected:
  using Pairs = std::vector<std::pair<std::string, std::string>>;

  void Start(std::size_t max_members = membership::kMaxMembers) {
    operator_config::EtcdSettings table;
    table.endpoints = {"127.0.0.1:" + std::to_string(etcd.address(0).port())};
    table.services = services;
    source.emplace(
        io, proxy::testing::TestConfig({}), table, [this](const EndpointList& list) { ApplySlice(list); },
        [this] {
          ++completions;
          size_at_completion = proxy.size();
        },
        max_members);
  }
  /// A member's key and value.
  static std::pair<std::string, std::string> Pair(const std::string& name,
                                                  MemberState state = MemberState::kReady) {
    membership::Member member;
    member.name = name;
    member.address = "127.0.0.1:1";
    member.state = state;
    return {membership::kBackendsPrefix + name, membership::SerializeMember(member)};
  }
  /// Writes all pairs in one revision.
  void Write(const Pairs& pairs) {
    etcd.store().PutAll(pairs);
    etcd.Publish();
  }
  /// Members named with the prefix and a number from 0 to count - 1.
  Pairs Numbered(const std::string& prefix, int count, MemberState state = MemberState::kReady) {
    Pairs pairs;
    for (int i = 0; i < count; ++i) pairs.push_back(Pair(prefix + std::to_string(i), state));
    return pairs;
  }
  void ApplySlice(const EndpointList& list) {
    EXPECT_FALSE(list.snapshot);
    largest_slice = std::max(largest_slice, list.endpoints.size());
    for (const proxy::Endpoint& endpoint : list.endpoints) {
      published_states.push_back(endpoint.entry.state);
      proxy[endpoint.name] = endpoint.entry.state;
      if (endpoint.entry.state == BackendState::kGone) proxy.erase(endpoint.name);
    }
  }
  /// Runs the event loop until `holds` returns true; returns false on a timeout.
  bool Until(const std::function<bool()>& holds) { return proxy::testing::RunUntil(io, holds); }
  /// The status of the source "etcd".
  json::object EtcdSource() { return source->DescribeStatus().at("sources").at(0).as_object(); }

  boost::asio::io_context io{1};
  standins::Etcd etcd{io, {}};
  std::optional<MembershipSource> source;
  std::vector<std::string> services;
  std::map<std::string, BackendState> proxy;
  std::vector<BackendState> published_states;  // states of all published entries, in order
  std::size_t largest_slice = 0, size_at_completion = 0;
  int completions = 0;
};

/// As MembershipSourceTest, with members listed by service.
class ServicesTest : public MembershipSourceTest {
 protected:
  void PutServiceMember(const std::string& service, const std::string& name,
                        MemberState state = MemberState::kReady) {
    etcd.Put("/badgerbridge/services/" + service + "/" + name, Pair(name, state).second);
  }
  void DeleteServiceMember(const std::string& service, const std::string& name) {
    etcd.Delete("/badgerbridge/services/" + service + "/" + name);
  }
  /// The service of a member in the current view; "none" if the member is absent.
  std::string ServiceOf(const std::string& name) const {
    const json::value answer = source->DescribeStatus();
    for (const json::value& member : answer.at("members").as_array()) {
      if (member.at("name").as_string() == name) return std::string(member.at("service").as_string());
    }
    return "none";
  }
};

TEST_F(MembershipSourceTest, ListIsPublishedInBoundedSlicesAndCompleteAtItsEnd) {
  Write(Numbered("m", 1000));
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  EXPECT_EQ(size_at_completion, 1000u) << "completion must follow the last slice";
  EXPECT_EQ(largest_slice, ChangePublisher::kMaxSliceSize);
  EXPECT_EQ(published_states.size(), 1000u) << "each member must be published once";
  Write({Pair("m7", MemberState::kDraining)});
  ASSERT_TRUE(Until([&] { return proxy["m7"] == BackendState::kDraining; }));
  EXPECT_EQ(completions, 1);
  EXPECT_EQ(source->DescribeStatus().at("pending").to_number<int>(), 0);
}

TEST_F(MembershipSourceTest, EmptyListIsComplete) {
  Start();
  EXPECT_TRUE(Until([&] { return completions == 1; }));
}

TEST_F(MembershipSourceTest, DrainsAndDeparturesArePublishedBeforeJoinsOfTheSameRevision) {
  Write(Numbered("m", 400));
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  published_states.clear();
  Pairs pairs = Numbered("a", 500);  // sorted and written before the others
  for (const auto& pair : Numbered("m", 300, MemberState::kDraining)) pairs.push_back(pair);
  Write(pairs);
  ASSERT_TRUE(Until([&] { return proxy.size() == 900 && published_states.size() == 800; }));
  const auto first_join = std::find(published_states.begin(), published_states.end(), BackendState::kReady);
  EXPECT_EQ(first_join - published_states.begin(), 300);
  EXPECT_EQ(std::count(published_states.begin(), published_states.end(), BackendState::kDraining), 300);
  EXPECT_EQ(largest_slice, ChangePublisher::kMaxSliceSize);
}

TEST_F(MembershipSourceTest, ListThatIsReadAgainPublishesOnlyDifferences) {
  Write(Numbered("m", 700));
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  published_states.clear();
  etcd.Down(0);
  etcd.Delete(std::string(membership::kBackendsPrefix) + "m3");
  Write({Pair("m5", MemberState::kDraining), Pair("new")});
  etcd.Compact(etcd.store().revision());
  etcd.Up(0);
  ASSERT_TRUE(Until([&] { return proxy.count("m3") == 0 && proxy.count("new") == 1; }));
  EXPECT_EQ(proxy["m5"], BackendState::kDraining);
  EXPECT_EQ(published_states.size(), 3u);
  EXPECT_EQ(proxy.size(), 700u);
}

TEST_F(MembershipSourceTest, MembersBeyondTheBoundAreReportedInStatus) {
  Write(Numbered("m", 5));
  Start(3);
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  EXPECT_EQ(proxy.size(), 3u);
  EXPECT_EQ(EtcdSource().at("refused").as_string(),
            "2 members are refused: at most 3 are taken; drains and departures still count");
}

TEST_F(MembershipSourceTest, StatusReportsTheAgeOfTheData) {
  Write(Numbered("m", 2));
  Start();
  EXPECT_TRUE(EtcdSource().at("age_ms").is_null()) << "the source has never reported";
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  ASSERT_TRUE(EtcdSource().at("age_ms").is_number());
  etcd.Down(0);
  ASSERT_TRUE(Until([&] { return EtcdSource().at("age_ms").to_number<int>() > 500; }));
  EXPECT_EQ(proxy.size(), 2u) << "the list must be kept while etcd is down";
  etcd.Up(0);
  ASSERT_TRUE(Until([&] { return EtcdSource().at("age_ms").to_number<int>() < 500; }));
}

TEST_F(ServicesTest, OnlyTheNamedServicesAreFollowedAndAllBeforeCompletion) {
  for (const char* service : {"billing", "billing-old", "search", "other"}) {
    for (int i = 0; i < 300; ++i) PutServiceMember(service, std::string(service) + std::to_string(i));
  }
  PutServiceMember("", "flat");
  services = {"billing", "search"};
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  EXPECT_EQ(size_at_completion, 600u);
  EXPECT_EQ(ServiceOf("search7"), "search");
  PutServiceMember("search", "search7", MemberState::kDraining);
  PutServiceMember("other", "other7", MemberState::kDraining);
  PutServiceMember("billing", "new");
  DeleteServiceMember("billing", "billing3");
  ASSERT_TRUE(Until([&] {
    return proxy["search7"] == BackendState::kDraining && proxy.count("new") == 1 &&
           proxy.count("billing3") == 0;
  }));
  EXPECT_EQ(proxy.size(), 600u);
  EXPECT_EQ(ServiceOf("new"), "billing");
  EXPECT_EQ(etcd.watches(), 2u);
  EXPECT_EQ(etcd.connections(0), 1u);
}

TEST_F(ServicesTest, WatchesAreResumedAndListedAgainAfterACompaction) {
  for (const char* name : {"a", "b"}) PutServiceMember("x", name);
  PutServiceMember("y", "c");
  services = {"x", "y", "empty"};
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  etcd.Down(0);
  PutServiceMember("y", "c", MemberState::kDraining);
  PutServiceMember("empty", "d");
  etcd.Up(0);
  ASSERT_TRUE(Until([&] { return proxy["c"] == BackendState::kDraining && proxy.count("d") == 1; }));
  EXPECT_EQ(source->DescribeStatus().at("etcd").at("lists").to_number<int>(), 1);
  EXPECT_EQ(source->DescribeStatus().at("etcd").at("resumes").to_number<int>(), 1);
  etcd.Down(0);
  DeleteServiceMember("x", "a");
  DeleteServiceMember("x", "b");  // moves to the service y
  PutServiceMember("y", "b");
  etcd.Compact(etcd.store().revision());
  etcd.Up(0);
  ASSERT_TRUE(Until([&] { return proxy.count("a") == 0 && ServiceOf("b") == "y"; }));
  EXPECT_EQ(proxy.size(), 3u);
  EXPECT_EQ(source->DescribeStatus().at("etcd").at("lists").to_number<int>(), 2);
  PutServiceMember("x", "e");
  ASSERT_TRUE(Until([&] { return proxy.count("e") == 1; })) << "the watch must be restored";
  EXPECT_EQ(etcd.protocol_errors(), 0u);
}

TEST_F(ServicesTest, NameInTwoServicesIsReported) {
  PutServiceMember("x", "a");
  PutServiceMember("y", "a");
  services = {"x", "y"};
  Start();
  ASSERT_TRUE(Until([&] { return completions == 1; }));
  EXPECT_EQ(proxy.size(), 1u);
  const json::object problems = EtcdSource().at("problems").as_object();
  ASSERT_TRUE(problems.contains("y/a"));
  EXPECT_EQ(problems.at("y/a").as_string(), "the service x has a member of this name, which stays");
}

TEST_F(ServicesTest, ListConvergesAfterConnectionCutsAtRandomBytes) {
  services = {"x", "y", "z"};
  Start();
  std::mt19937 random(7);
  std::map<std::string, BackendState> expected;
  for (int round = 0; round < 40; ++round) {
    etcd.CutAfter(0, random() % 2500);
    for (unsigned n = random() % 4 + 1; n > 0; --n) {
      const std::string service = services[random() % 3];
      const std::string name = service + std::to_string(random() % 8);
      const unsigned action = random() % 3;
      if (action == 0) {
        DeleteServiceMember(service, name);
        expected.erase(name);
      } else {
        PutServiceMember(service, name, action == 1 ? MemberState::kReady : MemberState::kDraining);
        expected[name] = action == 1 ? BackendState::kReady : BackendState::kDraining;
      }
    }
    if (random() % 4 == 0 && etcd.store().revision() > etcd.store().compacted() + 1)
      etcd.Compact(etcd.store().revision());
    io.restart();
    io.run_for(std::chrono::milliseconds(random() % 30));
  }
  etcd.CutAfter(0, SIZE_MAX);
  // The number of departures in one list depends on when the connection was cut. Departures of more than half
  // of the list are retained until an operator releases them.
  ASSERT_TRUE(Until([&] {
    source->ReleaseRetained();
    return proxy == expected;
  }));
  EXPECT_EQ(etcd.protocol_errors(), 0u);
}

}  // namespace
}  // namespace badgerbridge::proxy_main
