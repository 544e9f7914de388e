// SPDX-License-Identifier: Apache-2.0
//
// Tests of the stand-in etcd with the independent client: leases (service Lease), and the published recipes
// for a lock and an election.
#include <cstdint>
#include <future>
#include <optional>
#include <string>
#include <utility>

#include "independent_client_fixture.h"
#include "independent_watcher.h"

namespace badgerbridge::independent_client {
namespace {

constexpr std::int64_t kLeaseSeconds = 60;

TEST_F(IndependentEtcdClient, Lease_KeepsItsKeysUntilRevoked) {
  const pb::LeaseGrantResponse granted = client().MustGrant(kLeaseSeconds);
  EXPECT_EQ(granted.ttl(), kLeaseSeconds);
  ASSERT_NE(granted.id(), 0);
  client().MustPut("leased", "x", granted.id());
  const pb::RangeResponse bound = client().MustRange(KeyRequest("leased"));
  ASSERT_EQ(bound.kvs_size(), 1);
  EXPECT_EQ(bound.kvs(0).lease(), granted.id());

  pb::LeaseTimeToLiveRequest ask;
  ask.set_id(granted.id());
  ask.set_keys(true);
  pb::LeaseTimeToLiveResponse left;
  ASSERT_TRUE(client().lease().LeaseTimeToLive(NewContext().get(), ask, &left).ok());
  EXPECT_EQ(left.grantedttl(), kLeaseSeconds);
  EXPECT_GT(left.ttl(), 0);
  EXPECT_LE(left.ttl(), kLeaseSeconds);
  ASSERT_EQ(left.keys_size(), 1);
  EXPECT_EQ(left.keys(0), "leased");

  pb::LeaseLeasesResponse list;
  ASSERT_TRUE(client().lease().LeaseLeases(NewContext().get(), {}, &list).ok());
  ASSERT_EQ(list.leases_size(), 1);
  EXPECT_EQ(list.leases(0).id(), granted.id());

  client().MustRevoke(granted.id());
  EXPECT_EQ(client().MustRange(KeyRequest("leased")).count(), 0);
  ASSERT_TRUE(client().lease().LeaseLeases(NewContext().get(), {}, &list).ok());
  EXPECT_EQ(list.leases_size(), 0);
}

TEST_F(IndependentEtcdClient, KeepAlive_RenewsLease) {
  const std::int64_t lease = client().MustGrant(kLeaseSeconds).id();
  const auto context = NewContext();
  const auto stream = client().lease().LeaseKeepAlive(context.get());
  pb::LeaseKeepAliveRequest request;
  request.set_id(lease);
  for (int i = 0; i < 2; ++i) {
    ASSERT_TRUE(stream->Write(request));
    pb::LeaseKeepAliveResponse response;
    ASSERT_TRUE(stream->Read(&response));
    EXPECT_EQ(response.id(), lease);
    EXPECT_EQ(response.ttl(), kLeaseSeconds);
  }
  request.set_id(lease + 1);  // an id that was never granted
  ASSERT_TRUE(stream->Write(request));
  pb::LeaseKeepAliveResponse unknown;
  ASSERT_TRUE(stream->Read(&unknown));
  EXPECT_EQ(unknown.ttl(), 0);
  EXPECT_TRUE(stream->WritesDone());
  EXPECT_TRUE(stream->Finish().ok());
}

TEST_F(IndependentEtcdClient, ExpiredLease_DeletesItsKey) {
  Watcher watcher(client(1), WatchPrefix("short"));
  client().MustPut("short", "x", client().MustGrant(1).id());
  const std::optional<pb::Event> put = watcher.NextEvent();
  const std::optional<pb::Event> deletion = watcher.NextEvent();
  ASSERT_TRUE(put && deletion);
  EXPECT_EQ(put->type(), pb::Event::PUT);
  EXPECT_EQ(deletion->type(), pb::Event::DELETE);
  EXPECT_EQ(client().MustRange(KeyRequest("short")).count(), 0);
}

/// A contender for a lock or an election, following the published recipe: a key under the prefix, bound to a
/// lease. The key with the lowest create revision owns the lock. Each other contender waits for the deletion
/// of its predecessor.
class Contender {
 public:
  Contender(Client& client, std::string prefix, const std::string& value)
      : client_(client), prefix_(std::move(prefix)), lease_(client.MustGrant(kLeaseSeconds).id()) {
    key_ = prefix_ + std::to_string(lease_);
    pb::TxnRequest txn;
    pb::Compare* absent = txn.add_compare();
    absent->set_key(key_);
    absent->set_target(pb::Compare::CREATE);
    absent->set_result(pb::Compare::EQUAL);
    absent->set_create_revision(0);
    pb::PutRequest* put = txn.add_success()->mutable_request_put();
    put->set_key(key_);
    put->set_value(value);
    put->set_lease(lease_);
    *txn.add_failure()->mutable_request_range() = KeyRequest(key_);
    const pb::TxnResponse response = client_.MustTxn(txn);
    EXPECT_TRUE(response.succeeded());
    create_revision_ = response.header().revision();
  }

  /// Returns the newest key that is older than the contender's own; nullopt if the contender holds the lock.
  std::optional<pb::KeyValue> Predecessor(std::int64_t* revision = nullptr) {
    pb::RangeRequest request = PrefixRequest(prefix_);
    request.set_sort_target(pb::RangeRequest::CREATE);
    request.set_sort_order(pb::RangeRequest::DESCEND);
    request.set_limit(1);
    request.set_max_create_revision(create_revision_ - 1);
    const pb::RangeResponse response = client_.MustRange(request);
    if (revision) *revision = response.header().revision();
    if (response.kvs().empty()) return std::nullopt;
    return response.kvs(0);
  }
  bool HoldsLock() { return !Predecessor(); }

  /// Waits until the contender holds the lock; returns false if a watch ends first. Sets `waiting` once the
  /// first watch is created.
  bool WaitUntilHeld(std::promise<void>* waiting) {
    std::int64_t revision = 0;
    while (const auto predecessor = Predecessor(&revision)) {
      pb::WatchCreateRequest create;
      create.set_key(predecessor->key());
      create.set_start_revision(revision + 1);
      Watcher watcher(client_, create);
      if (!watcher.created().created()) return false;
      if (waiting) std::exchange(waiting, nullptr)->set_value();
      if (!WaitForDeletion(watcher)) return false;
    }
    return true;
  }

  void ReleaseByDeletion() {
    pb::DeleteRangeRequest request;
    request.set_key(key_);
    EXPECT_EQ(client_.MustDelete(request).deleted(), 1);
  }
  void ReleaseByRevoking() { client_.MustRevoke(lease_); }

 private:
  static bool WaitForDeletion(Watcher& watcher) {
    for (;;) {
      const std::optional<pb::Event> event = watcher.NextEvent();
      if (!event) return false;
      if (event->type() == pb::Event::DELETE) return true;
    }
  }

  Client& client_;
  std::string prefix_;
  std::string key_;
  std::int64_t lease_ = 0;
  std::int64_t create_revision_ = 0;
};

/// Returns the value of the key that holds the lock or the leadership.
std::string ValueOfHolder(Client& client, const std::string& prefix) {
  pb::RangeRequest request = PrefixRequest(prefix);
  request.set_sort_target(pb::RangeRequest::CREATE);
  request.set_sort_order(pb::RangeRequest::ASCEND);
  request.set_limit(1);
  const pb::RangeResponse response = client.MustRange(request);
  return response.kvs().empty() ? "" : response.kvs(0).value();
}

class IndependentEtcdLocks : public IndependentEtcdClient {
 protected:
  /// The second contender waits while the first holds the lock. Once the first releases it, the second must
  /// hold it.
  void ExpectHandover(const std::string& prefix, void (Contender::*release)()) {
    Contender first(client(0), prefix, "first");
    EXPECT_TRUE(first.HoldsLock());
    EXPECT_EQ(ValueOfHolder(client(2), prefix), "first");
    Contender second(client(1), prefix, "second");
    EXPECT_FALSE(second.HoldsLock());
    std::promise<void> waiting;
    std::future<void> watch_created = waiting.get_future();
    std::future<bool> held =
        std::async(std::launch::async, [&second, &waiting] { return second.WaitUntilHeld(&waiting); });
    ASSERT_EQ(watch_created.wait_for(kCallDeadline), std::future_status::ready);
    EXPECT_EQ(ValueOfHolder(client(2), prefix), "first");
    EXPECT_TRUE(first.HoldsLock());
    (first.*release)();
    EXPECT_TRUE(held.get());  // bounded by the watch's deadline
    EXPECT_TRUE(second.HoldsLock());
    EXPECT_EQ(ValueOfHolder(client(2), prefix), "second");
  }
};

TEST_F(IndependentEtcdLocks, Lock_IsHandedOverWhenLeaseIsRevoked) {
  ExpectHandover("lock/", &Contender::ReleaseByRevoking);
}

TEST_F(IndependentEtcdLocks, Election_IsHandedOverWhenLeaderResigns) {
  ExpectHandover("election/", &Contender::ReleaseByDeletion);
}

}  // namespace
}  // namespace badgerbridge::independent_client
