// SPDX-License-Identifier: Apache-2.0
//
// A follower's connections against the stand-in etcd: complete snapshots, events, confirmation of a revision.
#include "etcd/follower_link.h"

#include <gtest/gtest.h>

#include <optional>

#include "standins/etcd.h"

namespace badgerbridge::etcd {
namespace {

namespace asio = boost::asio;
namespace pb = etcdserverpb;
using std::chrono::milliseconds;

const std::string kPrefix = "/members/";

class FollowerLinkTest : public ::testing::Test {
 protected:
  /// Starts the cluster with three keys, and a link to all members.
  void Start(standins::EtcdSettings settings = {}) {
    etcd = std::make_unique<standins::Etcd>(io, settings);
    for (const char* name : {"a", "b", "c"}) etcd->Put(kPrefix + name, "1");
    FollowerLinkSettings link_settings;
    for (int i = 0; i < settings.members; ++i)
      link_settings.endpoints.push_back(etcd->address(static_cast<std::size_t>(i)));
    link_settings.follower.prefix = kPrefix;
    link_settings.follower.page_size = 2;
    link_settings.follower.call_timeout = milliseconds(300);
    link_settings.user = settings.user;
    link_settings.password = settings.password;
    FollowerLinkCallbacks callbacks;
    callbacks.on_snapshot = [this](std::uint64_t cluster_id, std::int64_t at, std::vector<pb::KeyValue> kvs) {
      ++snapshots;
      EXPECT_EQ(cluster_id, 0x1234u);
      keys.clear();
      for (const pb::KeyValue& kv : kvs) keys[kv.key()] = kv.value();
      revision = at;
    };
    callbacks.on_events = [this](std::uint64_t, std::int64_t at, std::vector<pb::Event> events) {
      EXPECT_GT(at, revision);
      for (const pb::Event& event : events) {
        if (event.type() == pb::Event::DELETE) {
          keys.erase(event.kv().key());
        } else {
          keys[event.kv().key()] = event.kv().value();
        }
      }
      revision = at;
    };
    callbacks.on_progress = [this](std::int64_t at) { progress = at; };
    callbacks.on_disconnected = [this](const FollowerError& error) { disconnected = Message(error); };
    link = std::make_unique<FollowerLink>(io, link_settings, 1, std::move(callbacks));
  }
  /// Runs the event loop until the condition holds; false after a long time.
  bool Until(const std::function<bool()>& holds) {
    const auto due = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > due) return false;
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    return true;
  }
  /// Whether everything that was written has arrived.
  bool HasCaughtUp() { return revision == etcd->store().revision() && link->follower().watching(); }
  struct Confirmation {
    Status status;
    pb::ResponseHeader header;
  };
  /// One confirmation to its end.
  Confirmation Confirm() {
    std::optional<Confirmation> result;
    int calls = 0;
    link->Confirm([&](const Status& status, const pb::ResponseHeader& header) {
      ++calls;
      result = {status, header};
    });
    EXPECT_FALSE(result) << "not from within";
    EXPECT_TRUE(Until([&] { return result.has_value(); }));
    EXPECT_EQ(calls, 1);
    return result.value_or(Confirmation{});
  }

  asio::io_context io{1};
  std::unique_ptr<standins::Etcd> etcd;
  std::unique_ptr<FollowerLink> link;
  std::map<std::string, std::string> keys;
  std::int64_t revision = 0;
  std::int64_t progress = 0;
  int snapshots = 0;
  std::string disconnected;
};

TEST_F(FollowerLinkTest, Started_DeliversOneSnapshotOfAllPagesThenEvents) {
  Start();
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  EXPECT_EQ(keys.size(), 3u);
  EXPECT_EQ(snapshots, 1);
  etcd->Put(kPrefix + "d", "2");
  etcd->Delete(kPrefix + "a");
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  EXPECT_EQ(keys.size(), 3u);
  EXPECT_EQ(keys.count(kPrefix + "a"), 0u);
  etcd->Put("/elsewhere", "2");
  ASSERT_TRUE(Until([&] { return progress == etcd->store().revision(); }));
  EXPECT_EQ(snapshots, 1);
}

TEST_F(FollowerLinkTest, LostConnection_IsReportedAndResumedWithoutSnapshot) {
  Start();
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  etcd->Down(0);
  ASSERT_TRUE(Until([&] { return !disconnected.empty(); }));
  etcd->Put(kPrefix + "d", "2");
  etcd->Up(0);
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  EXPECT_EQ(keys.size(), 4u);
  EXPECT_EQ(snapshots, 1);
  EXPECT_EQ(link->follower().resumes(), 1u);
}

TEST_F(FollowerLinkTest, Confirm_GivesCommittedRevision) {
  standins::EtcdSettings settings;
  settings.user = "relay";
  settings.password = "secret";
  Start(settings);
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  etcd->store().PutAll({{kPrefix + "d", "2"}});  // committed, whether or not the watch was notified yet
  const Confirmation confirmation = Confirm();
  EXPECT_TRUE(confirmation.status.ok()) << confirmation.status.ToString();
  EXPECT_EQ(confirmation.header.revision(), etcd->store().revision());
  EXPECT_EQ(confirmation.header.cluster_id(), 0x1234u);
}

TEST_F(FollowerLinkTest, ConfirmWithoutConnectionOrAnswer_Fails) {
  Start();
  EXPECT_EQ(Confirm().status.code, Code::kUnavailable) << "not connected yet";
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  etcd->Lag(0, true);  // linearizable reads wait
  const Confirmation late = Confirm();
  EXPECT_EQ(late.status.ending, Ending::kTimeout) << late.status.ToString();
  etcd->Lag(0, false);
  std::optional<Status> cut;
  etcd->Lag(0, true);
  link->Confirm([&](const Status& status, const pb::ResponseHeader&) { cut = status; });
  etcd->Down(0);
  ASSERT_TRUE(Until([&] { return cut.has_value(); }));
  EXPECT_FALSE(cut->ok());
  ASSERT_TRUE(Until([&] { return !link->follower().watching(); }));
  EXPECT_EQ(Confirm().status.code, Code::kUnavailable);
}

TEST_F(FollowerLinkTest, LaggingMember_RevertsNothingAndIsLeftForAnother) {
  standins::EtcdSettings settings;
  settings.members = 3;
  Start(settings);
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  std::size_t in_use = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    if (etcd->connections(i) > 0) in_use = i;
  }
  const std::size_t behind = (in_use + 1) % 3;
  const std::size_t last = (in_use + 2) % 3;
  etcd->Lag(behind, true);
  etcd->Put(kPrefix + "d", "2");
  etcd->Delete(kPrefix + "a");
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  const std::int64_t before = revision;
  etcd->Down(in_use);
  etcd->Down(last);  // only the one that is behind is left
  const auto until = std::chrono::steady_clock::now() + milliseconds(700);
  ASSERT_TRUE(Until([&] { return std::chrono::steady_clock::now() > until; }));
  EXPECT_EQ(revision, before);
  EXPECT_EQ(keys.count(kPrefix + "a"), 0u);
  etcd->Up(last);
  etcd->Put(kPrefix + "e", "2");
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); })) << "the one that lags is left";
  EXPECT_EQ(keys.size(), 4u);
  EXPECT_EQ(snapshots, 1) << "history was not replaced";
}

TEST_F(FollowerLinkTest, Destroyed_CallsNothing) {
  Start();
  ASSERT_TRUE(Until([&] { return HasCaughtUp(); }));
  bool called = false;
  link->Confirm([&](const Status&, const pb::ResponseHeader&) { called = true; });
  link.reset();
  io.restart();
  io.run_for(milliseconds(50));
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace badgerbridge::etcd
