// SPDX-License-Identifier: Apache-2.0
//
// Tests of FollowerLink against the stand-in etcd: complete snapshots, events and revision confirmation.
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
  /// Starts a cluster with three keys and a link to all its members.
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
  /// Runs the event loop until the condition holds. Returns false after 20 s.
  bool RunUntil(const std::function<bool()>& holds) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    return true;
  }
  /// Whether the link has received all writes and is watching.
  bool HasCaughtUp() { return revision == etcd->store().revision() && link->follower().watching(); }
  struct Confirmation {
    Status status;
    pb::ResponseHeader header;
  };
  /// Confirms a revision and waits for the result.
  Confirmation Confirm() {
    std::optional<Confirmation> result;
    int calls = 0;
    link->Confirm([&](const Status& status, const pb::ResponseHeader& header) {
      ++calls;
      result = {status, header};
    });
    EXPECT_FALSE(result) << "called before Confirm returned";
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
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
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  EXPECT_EQ(keys.size(), 3u);
  EXPECT_EQ(snapshots, 1);
  etcd->Put(kPrefix + "d", "2");
  etcd->Delete(kPrefix + "a");
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  EXPECT_EQ(keys.size(), 3u);
  EXPECT_EQ(keys.count(kPrefix + "a"), 0u);
  etcd->Put("/elsewhere", "2");
  ASSERT_TRUE(RunUntil([&] { return progress == etcd->store().revision(); }));
  EXPECT_EQ(snapshots, 1);
}

TEST_F(FollowerLinkTest, LostConnection_IsReportedAndResumedWithoutSnapshot) {
  Start();
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  etcd->Down(0);
  ASSERT_TRUE(RunUntil([&] { return !disconnected.empty(); }));
  etcd->Put(kPrefix + "d", "2");
  etcd->Up(0);
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  EXPECT_EQ(keys.size(), 4u);
  EXPECT_EQ(snapshots, 1);
  EXPECT_EQ(link->follower().resumes(), 1u);
}

TEST_F(FollowerLinkTest, Confirm_GivesCommittedRevision) {
  standins::EtcdSettings settings;
  settings.user = "relay";
  settings.password = "secret";
  Start(settings);
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  etcd->store().PutAll({{kPrefix + "d", "2"}});  // committed, possibly not yet sent to the watch
  const Confirmation confirmation = Confirm();
  EXPECT_TRUE(confirmation.status.ok()) << confirmation.status.ToString();
  EXPECT_EQ(confirmation.header.revision(), etcd->store().revision());
  EXPECT_EQ(confirmation.header.cluster_id(), 0x1234u);
}

TEST_F(FollowerLinkTest, ConfirmWithoutConnectionOrAnswer_Fails) {
  Start();
  EXPECT_EQ(Confirm().status.code, Code::kUnavailable) << "not connected yet";
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  etcd->Lag(0, true);  // blocks linearizable reads
  const Confirmation late = Confirm();
  EXPECT_EQ(late.status.ending, Ending::kTimeout) << late.status.ToString();
  etcd->Lag(0, false);
  std::optional<Status> status_after_cut;
  etcd->Lag(0, true);
  link->Confirm([&](const Status& status, const pb::ResponseHeader&) { status_after_cut = status; });
  etcd->Down(0);
  ASSERT_TRUE(RunUntil([&] { return status_after_cut.has_value(); }));
  EXPECT_FALSE(status_after_cut->ok());
  ASSERT_TRUE(RunUntil([&] { return !link->follower().watching(); }));
  EXPECT_EQ(Confirm().status.code, Code::kUnavailable);
}

TEST_F(FollowerLinkTest, LaggingMember_RevertsNothingAndFailsOver) {
  standins::EtcdSettings settings;
  settings.members = 3;
  Start(settings);
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  std::size_t connected = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    if (etcd->connections(i) > 0) connected = i;
  }
  const std::size_t lagging = (connected + 1) % 3;
  const std::size_t last = (connected + 2) % 3;
  etcd->Lag(lagging, true);
  etcd->Put(kPrefix + "d", "2");
  etcd->Delete(kPrefix + "a");
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  const std::int64_t before = revision;
  etcd->Down(connected);
  etcd->Down(last);  // only the lagging member remains
  const auto wait_end = std::chrono::steady_clock::now() + milliseconds(700);
  ASSERT_TRUE(RunUntil([&] { return std::chrono::steady_clock::now() > wait_end; }));
  EXPECT_EQ(revision, before);
  EXPECT_EQ(keys.count(kPrefix + "a"), 0u);
  etcd->Up(last);
  etcd->Put(kPrefix + "e", "2");
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); })) << "must fail over from the lagging member";
  EXPECT_EQ(keys.size(), 4u);
  EXPECT_EQ(snapshots, 1) << "history was not replaced, so no new snapshot is needed";
}

TEST_F(FollowerLinkTest, Destroyed_RunsNoCallback) {
  Start();
  ASSERT_TRUE(RunUntil([&] { return HasCaughtUp(); }));
  bool called = false;
  link->Confirm([&](const Status&, const pb::ResponseHeader&) { called = true; });
  link.reset();
  io.restart();
  io.run_for(milliseconds(50));
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace badgerbridge::etcd
