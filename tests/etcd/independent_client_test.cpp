// SPDX-License-Identifier: Apache-2.0
//
// The stand-in etcd, as a program of three members, against a client that shares no code with src/etcd:
// gRPC's C++ library over the published API. It is used as etcd's documentation shows it, with the published
// recipes for a lock and an election (keys under leases, the lowest create revision owns, the next waits for
// its predecessor's deletion). Each call has a deadline, and each wait ends on a condition.
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "etcd.grpc.pb.h"

extern char** environ;

namespace badgerbridge {
namespace {

namespace pb = etcdserverpb;

constexpr std::size_t kMembers = 3;
constexpr auto kCallDeadline = std::chrono::seconds(20);  // far beyond any need
constexpr std::int64_t kLeaseSeconds = 60;
const std::string kFromFirstKey(1, '\0');  // as a range's start and end: all keys

// The program `standin_etcd` with three members. It prints their addresses, one a line, and runs until it is
// ended.
class StandinProcess {
 public:
  StandinProcess() {
    std::array<int, 2> output{};
    if (pipe(output.data()) != 0) throw std::runtime_error("pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&actions, output[0]);
    posix_spawn_file_actions_addclose(&actions, output[1]);
    std::string program = STANDIN_ETCD_PATH, members = std::to_string(kMembers);
    std::array<char*, 3> arguments = {program.data(), members.data(), nullptr};
    const int error = posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    if (error != 0) throw std::runtime_error("cannot start " + program);
    ReadAddresses(output[0]);
  }
  ~StandinProcess() {
    kill(process_, SIGTERM);
    waitpid(process_, nullptr, 0);
  }
  StandinProcess(const StandinProcess&) = delete;
  StandinProcess& operator=(const StandinProcess&) = delete;

  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  void ReadAddresses(int descriptor) {
    FILE* lines = fdopen(descriptor, "r");
    std::array<char, 64> line{};
    while (addresses_.size() < kMembers && fgets(line.data(), line.size(), lines))
      addresses_.emplace_back(line.data(), std::string_view(line.data()).find('\n'));
    fclose(lines);
  }

  pid_t process_ = -1;
  std::vector<std::string> addresses_;
};

// A context whose call ends by then, whatever happens.
std::unique_ptr<grpc::ClientContext> NewContext() {
  auto context = std::make_unique<grpc::ClientContext>();
  context->set_deadline(std::chrono::system_clock::now() + kCallDeadline);
  return context;
}

// A client of one member.
class Client {
 public:
  explicit Client(const std::string& address)
      : channel_(OpenChannel(address)),
        kv_(pb::KV::NewStub(channel_)),
        watch_(pb::Watch::NewStub(channel_)),
        lease_(pb::Lease::NewStub(channel_)),
        cluster_(pb::Cluster::NewStub(channel_)),
        maintenance_(pb::Maintenance::NewStub(channel_)),
        auth_(pb::Auth::NewStub(channel_)) {}

  pb::KV::Stub& kv() { return *kv_; }
  pb::Watch::Stub& watch() { return *watch_; }
  pb::Lease::Stub& lease() { return *lease_; }
  pb::Cluster::Stub& cluster() { return *cluster_; }
  pb::Maintenance::Stub& maintenance() { return *maintenance_; }
  pb::Auth::Stub& auth() { return *auth_; }

  grpc::Status Range(const pb::RangeRequest& request, pb::RangeResponse* response) {
    return kv_->Range(NewContext().get(), request, response);
  }
  grpc::Status Put(const pb::PutRequest& request, pb::PutResponse* response) {
    return kv_->Put(NewContext().get(), request, response);
  }
  grpc::Status Delete(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse* response) {
    return kv_->DeleteRange(NewContext().get(), request, response);
  }
  grpc::Status Txn(const pb::TxnRequest& request, pb::TxnResponse* response) {
    return kv_->Txn(NewContext().get(), request, response);
  }

  // The calls that must succeed.
  pb::RangeResponse MustRange(const pb::RangeRequest& request) {
    pb::RangeResponse response;
    const grpc::Status status = Range(request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  pb::PutResponse MustPut(const std::string& key, const std::string& value, std::int64_t lease = 0) {
    pb::PutRequest request;
    request.set_key(key);
    request.set_value(value);
    request.set_lease(lease);
    pb::PutResponse response;
    const grpc::Status status = Put(request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  pb::DeleteRangeResponse MustDelete(const pb::DeleteRangeRequest& request) {
    pb::DeleteRangeResponse response;
    const grpc::Status status = Delete(request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  pb::TxnResponse MustTxn(const pb::TxnRequest& request) {
    pb::TxnResponse response;
    const grpc::Status status = Txn(request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  pb::LeaseGrantResponse MustGrant(std::int64_t seconds) {
    pb::LeaseGrantRequest request;
    request.set_ttl(seconds);
    pb::LeaseGrantResponse response;
    const grpc::Status status = lease_->LeaseGrant(NewContext().get(), request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
    return response;
  }
  void MustRevoke(std::int64_t lease) {
    pb::LeaseRevokeRequest request;
    request.set_id(lease);
    pb::LeaseRevokeResponse response;
    const grpc::Status status = lease_->LeaseRevoke(NewContext().get(), request, &response);
    EXPECT_TRUE(status.ok()) << status.error_message();
  }

 private:
  static std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
  }

  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<pb::KV::Stub> kv_;
  std::unique_ptr<pb::Watch::Stub> watch_;
  std::unique_ptr<pb::Lease::Stub> lease_;
  std::unique_ptr<pb::Cluster::Stub> cluster_;
  std::unique_ptr<pb::Maintenance::Stub> maintenance_;
  std::unique_ptr<pb::Auth::Stub> auth_;
};

// The end of the range of all keys that begin with `prefix`, whose last byte is below 0xff.
std::string EndOfPrefix(std::string prefix) {
  ++prefix.back();
  return prefix;
}

pb::RangeRequest KeyRequest(const std::string& key) {
  pb::RangeRequest request;
  request.set_key(key);
  return request;
}
pb::RangeRequest PrefixRequest(const std::string& prefix) {
  pb::RangeRequest request = KeyRequest(prefix);
  request.set_range_end(EndOfPrefix(prefix));
  return request;
}
pb::RangeRequest SortedRequest(pb::RangeRequest::SortTarget target, pb::RangeRequest::SortOrder order,
                               std::int64_t limit = 0) {
  pb::RangeRequest request = KeyRequest(kFromFirstKey);
  request.set_range_end(kFromFirstKey);
  request.set_sort_target(target);
  request.set_sort_order(order);
  request.set_limit(limit);
  return request;
}

using Pairs = std::vector<std::pair<std::string, std::string>>;
Pairs PairsOf(const pb::RangeResponse& response) {
  Pairs pairs;
  for (const pb::KeyValue& kv : response.kvs()) pairs.emplace_back(kv.key(), kv.value());
  return pairs;
}
std::vector<std::string> KeysOf(const pb::RangeResponse& response) {
  std::vector<std::string> keys;
  for (const pb::KeyValue& kv : response.kvs()) keys.push_back(kv.key());
  return keys;
}

// One watch on a stream of its own.
class Watcher {
 public:
  Watcher(Client& client, const pb::WatchCreateRequest& create)
      : context_(NewContext()), stream_(client.watch().Watch(context_.get())) {
    pb::WatchRequest request;
    *request.mutable_create_request() = create;
    EXPECT_TRUE(stream_->Write(request));
    created_ = Read();
  }
  ~Watcher() { context_->TryCancel(); }
  Watcher(const Watcher&) = delete;
  Watcher& operator=(const Watcher&) = delete;

  // The first answer. A default one if the stream has ended.
  const pb::WatchResponse& created() const { return created_; }
  pb::WatchResponse Read() {
    pb::WatchResponse response;
    EXPECT_TRUE(stream_->Read(&response)) << "the watch has ended";
    return response;
  }
  // The next event; none if the stream has ended.
  std::optional<pb::Event> NextEvent() {
    pb::WatchResponse response;
    while (pending_.empty()) {
      if (!stream_->Read(&response)) return std::nullopt;
      pending_.assign(response.events().rbegin(), response.events().rend());
    }
    pb::Event event = pending_.back();
    pending_.pop_back();
    return event;
  }
  void Cancel() {
    pb::WatchRequest request;
    request.mutable_cancel_request()->set_watch_id(created_.watch_id());
    EXPECT_TRUE(stream_->Write(request));
  }

 private:
  std::unique_ptr<grpc::ClientContext> context_;
  std::unique_ptr<grpc::ClientReaderWriter<pb::WatchRequest, pb::WatchResponse>> stream_;
  pb::WatchResponse created_;
  std::vector<pb::Event> pending_;  // the next one last
};

pb::WatchCreateRequest WatchPrefix(const std::string& prefix) {
  pb::WatchCreateRequest create;
  create.set_key(prefix);
  create.set_range_end(EndOfPrefix(prefix));
  return create;
}

// A contender for a lock or an election, by the published recipe: a key under the prefix, bound to a lease.
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

  // The newest key older than its own: the one it waits for. None: it holds the lock.
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
  bool Holds() { return !Predecessor(); }

  // Waits until it holds the lock; false if a watch has ended before. `waiting` is set when the first watch
  // is up.
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
  std::string prefix_, key_;
  std::int64_t lease_ = 0, create_revision_ = 0;
};

// The value of the key that holds the lock or leads.
std::string ValueOfHolder(Client& client, const std::string& prefix) {
  pb::RangeRequest request = PrefixRequest(prefix);
  request.set_sort_target(pb::RangeRequest::CREATE);
  request.set_sort_order(pb::RangeRequest::ASCEND);
  request.set_limit(1);
  const pb::RangeResponse response = client.MustRange(request);
  return response.kvs().empty() ? "" : response.kvs(0).value();
}

class IndependentEtcdClient : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(standin_.addresses().size(), kMembers);
    for (const std::string& address : standin_.addresses())
      clients_.push_back(std::make_unique<Client>(address));
  }
  Client& client(std::size_t member = 0) { return *clients_[member]; }

  void PutThree() {
    client().MustPut("a", "1");
    client().MustPut("b", "3");
    client().MustPut("c", "2");
  }
  // The second contender waits while the first holds; then the first is released and the second must hold.
  void PassOn(const std::string& prefix, void (Contender::*release)()) {
    Contender first(client(0), prefix, "first");
    EXPECT_TRUE(first.Holds());
    EXPECT_EQ(ValueOfHolder(client(2), prefix), "first");
    Contender second(client(1), prefix, "second");
    EXPECT_FALSE(second.Holds());
    std::promise<void> waiting;
    std::future<void> watch_up = waiting.get_future();
    std::future<bool> held =
        std::async(std::launch::async, [&second, &waiting] { return second.WaitUntilHeld(&waiting); });
    ASSERT_EQ(watch_up.wait_for(kCallDeadline), std::future_status::ready);
    EXPECT_EQ(ValueOfHolder(client(2), prefix), "first");
    EXPECT_TRUE(first.Holds());
    (first.*release)();
    EXPECT_TRUE(held.get());  // bounded by the watch's deadline
    EXPECT_TRUE(second.Holds());
    EXPECT_EQ(ValueOfHolder(client(2), prefix), "second");
  }

  StandinProcess standin_;

 private:
  std::vector<std::unique_ptr<Client>> clients_;
};

TEST_F(IndependentEtcdClient, PutsGiveRevisionsInOrder) {
  const std::int64_t first = client().MustPut("a", "1").header().revision();
  EXPECT_EQ(client().MustPut("b", "3").header().revision(), first + 1);
  EXPECT_EQ(client().MustPut("c", "2").header().revision(), first + 2);
}

TEST_F(IndependentEtcdClient, ReadsARangeWithoutItsEnd) {
  PutThree();
  pb::RangeRequest request = KeyRequest("a");
  request.set_range_end("c");
  const pb::RangeResponse response = client().MustRange(request);
  EXPECT_EQ(PairsOf(response), (Pairs{{"a", "1"}, {"b", "3"}}));
  EXPECT_EQ(response.count(), 2);
  EXPECT_FALSE(response.more());
}

TEST_F(IndependentEtcdClient, SortsByValueWithALimit) {
  PutThree();
  const pb::RangeResponse response =
      client().MustRange(SortedRequest(pb::RangeRequest::VALUE, pb::RangeRequest::DESCEND, 2));
  EXPECT_EQ(PairsOf(response), (Pairs{{"b", "3"}, {"c", "2"}}));
  EXPECT_EQ(response.count(), 3);
  EXPECT_TRUE(response.more());
}

TEST_F(IndependentEtcdClient, SortsByRevisionCreationAndVersion) {
  PutThree();
  client().MustPut("a", "0");
  pb::RangeRequest by_revision = SortedRequest(pb::RangeRequest::MOD, pb::RangeRequest::ASCEND);
  by_revision.set_keys_only(true);
  EXPECT_EQ(PairsOf(client().MustRange(by_revision)), (Pairs{{"b", ""}, {"c", ""}, {"a", ""}}));
  EXPECT_EQ(KeysOf(client().MustRange(SortedRequest(pb::RangeRequest::CREATE, pb::RangeRequest::ASCEND))),
            (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(
      KeysOf(client().MustRange(SortedRequest(pb::RangeRequest::VERSION, pb::RangeRequest::DESCEND, 1))),
      (std::vector<std::string>{"a"}));
  EXPECT_EQ(KeysOf(client().MustRange(SortedRequest(pb::RangeRequest::KEY, pb::RangeRequest::DESCEND))),
            (std::vector<std::string>{"c", "b", "a"}));
}

TEST_F(IndependentEtcdClient, ReadsAnOlderRevision) {
  const std::int64_t old = client().MustPut("a", "1").header().revision();
  client().MustPut("a", "0");
  pb::RangeRequest request = KeyRequest("a");
  request.set_revision(old);
  EXPECT_EQ(PairsOf(client().MustRange(request)), (Pairs{{"a", "1"}}));
  EXPECT_EQ(PairsOf(client().MustRange(KeyRequest("a"))), (Pairs{{"a", "0"}}));
}

TEST_F(IndependentEtcdClient, DeletionGivesWhatWasThere) {
  client().MustPut("a", "0");
  pb::DeleteRangeRequest request;
  request.set_key("a");
  request.set_prev_kv(true);
  const pb::DeleteRangeResponse response = client().MustDelete(request);
  EXPECT_EQ(response.deleted(), 1);
  ASSERT_EQ(response.prev_kvs_size(), 1);
  EXPECT_EQ(response.prev_kvs(0).key(), "a");
  EXPECT_EQ(response.prev_kvs(0).value(), "0");
  EXPECT_EQ(client().MustRange(KeyRequest("a")).count(), 0);
}

TEST_F(IndependentEtcdClient, ATransactionThatHoldsRunsItsFirstBranch) {
  client().MustPut("b", "3");
  pb::TxnRequest txn;
  pb::Compare* compare = txn.add_compare();
  compare->set_key("b");
  compare->set_target(pb::Compare::MOD);
  compare->set_result(pb::Compare::GREATER);
  compare->set_mod_revision(0);
  pb::PutRequest* put = txn.add_success()->mutable_request_put();
  put->set_key("b");
  put->set_value("9");
  *txn.add_success()->mutable_request_range() = KeyRequest("b");
  pb::PutRequest* other = txn.add_failure()->mutable_request_put();
  other->set_key("z");
  other->set_value("1");
  const pb::TxnResponse response = client().MustTxn(txn);
  EXPECT_TRUE(response.succeeded());
  ASSERT_EQ(response.responses_size(), 2);
  EXPECT_TRUE(response.responses(0).has_response_put());
  EXPECT_EQ(PairsOf(response.responses(1).response_range()), (Pairs{{"b", "9"}}));
  EXPECT_EQ(client().MustRange(KeyRequest("z")).count(), 0);
}

TEST_F(IndependentEtcdClient, ATransactionThatDoesNotHoldRunsItsSecondBranch) {
  client().MustPut("b", "9");
  pb::TxnRequest txn;
  pb::Compare* compare = txn.add_compare();
  compare->set_key("b");
  compare->set_target(pb::Compare::VALUE);
  compare->set_result(pb::Compare::EQUAL);
  compare->set_value("3");
  pb::PutRequest* put = txn.add_success()->mutable_request_put();
  put->set_key("b");
  put->set_value("1");
  pb::PutRequest* other = txn.add_failure()->mutable_request_put();
  other->set_key("z");
  other->set_value("1");
  const pb::TxnResponse response = client().MustTxn(txn);
  EXPECT_FALSE(response.succeeded());
  ASSERT_EQ(response.responses_size(), 1);
  EXPECT_TRUE(response.responses(0).has_response_put());
  EXPECT_EQ(PairsOf(client().MustRange(KeyRequest("b"))), (Pairs{{"b", "9"}}));
  EXPECT_EQ(PairsOf(client().MustRange(KeyRequest("z"))), (Pairs{{"z", "1"}}));
}

TEST_F(IndependentEtcdClient, ALeaseHoldsItsKeysUntilItIsRevoked) {
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

TEST_F(IndependentEtcdClient, ALeaseIsKeptAlive) {
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
  request.set_id(lease + 1);  // one that nobody was granted
  ASSERT_TRUE(stream->Write(request));
  pb::LeaseKeepAliveResponse unknown;
  ASSERT_TRUE(stream->Read(&unknown));
  EXPECT_EQ(unknown.ttl(), 0);
  EXPECT_TRUE(stream->WritesDone());
  EXPECT_TRUE(stream->Finish().ok());
}

TEST_F(IndependentEtcdClient, ALeaseThatIsNotKeptAliveTakesItsKeyAlong) {
  Watcher watcher(client(1), WatchPrefix("short"));
  client().MustPut("short", "x", client().MustGrant(1).id());
  const std::optional<pb::Event> put = watcher.NextEvent(), deletion = watcher.NextEvent();
  ASSERT_TRUE(put && deletion);
  EXPECT_EQ(put->type(), pb::Event::PUT);
  EXPECT_EQ(deletion->type(), pb::Event::DELETE);
  EXPECT_EQ(client().MustRange(KeyRequest("short")).count(), 0);
}

TEST_F(IndependentEtcdClient, ALockIsPassedOnWhenItsLeaseIsRevoked) {
  PassOn("lock/", &Contender::ReleaseByRevoking);
}

TEST_F(IndependentEtcdClient, AnElectionIsPassedOnWhenItsLeaderResigns) {
  PassOn("election/", &Contender::ReleaseByDeletion);
}

TEST_F(IndependentEtcdClient, ListsItsMembers) {
  pb::MemberListResponse list;
  ASSERT_TRUE(client().cluster().MemberList(NewContext().get(), {}, &list).ok());
  ASSERT_EQ(list.members_size(), static_cast<int>(kMembers));
  for (std::size_t i = 0; i < kMembers; ++i) {
    const pb::Member& member = list.members(static_cast<int>(i));
    ASSERT_EQ(member.clienturls_size(), 1);
    EXPECT_EQ(member.clienturls(0), "http://" + standin_.addresses()[i]);
  }
}

// Health as etcd's tools check it: a linearizable read of the key "health" at each member.
TEST_F(IndependentEtcdClient, EveryMemberIsHealthyAndTellsItsStatus) {
  const std::int64_t written = client().MustPut("a", "1").header().revision();
  for (std::size_t member = 0; member < kMembers; ++member) {
    pb::RangeResponse health;
    const grpc::Status status = client(member).Range(KeyRequest("health"), &health);
    EXPECT_TRUE(status.ok()) << member << ": " << status.error_message();
    EXPECT_EQ(health.header().revision(), written) << member;
    EXPECT_EQ(PairsOf(client(member).MustRange(KeyRequest("a"))), (Pairs{{"a", "1"}})) << member;
    pb::StatusResponse answer;
    ASSERT_TRUE(client(member).maintenance().Status(NewContext().get(), {}, &answer).ok()) << member;
    EXPECT_EQ(answer.version(), "3.5.0");
    EXPECT_NE(answer.leader(), 0u);
    EXPECT_EQ(answer.header().member_id(), member + 1);
  }
}

TEST_F(IndependentEtcdClient, AWatchSeesPutsAndDeletions) {
  Watcher watcher(client(1), WatchPrefix("w"));
  ASSERT_TRUE(watcher.created().created());
  client().MustPut("v", "not watched");
  client().MustPut("w1", "x");
  const std::optional<pb::Event> put = watcher.NextEvent();
  ASSERT_TRUE(put);
  EXPECT_EQ(put->type(), pb::Event::PUT);
  EXPECT_EQ(put->kv().key(), "w1");
  EXPECT_EQ(put->kv().value(), "x");
  pb::DeleteRangeRequest request;
  request.set_key("w");
  request.set_range_end(EndOfPrefix("w"));
  EXPECT_EQ(client().MustDelete(request).deleted(), 1);
  const std::optional<pb::Event> deletion = watcher.NextEvent();
  ASSERT_TRUE(deletion);
  EXPECT_EQ(deletion->type(), pb::Event::DELETE);
  EXPECT_EQ(deletion->kv().key(), "w1");
  watcher.Cancel();
  EXPECT_TRUE(watcher.Read().canceled());
}

TEST_F(IndependentEtcdClient, AWatchFromAnOlderRevisionSeesWhatCameSince) {
  const std::int64_t first = client().MustPut("w1", "x").header().revision();
  client().MustPut("w1", "y");
  pb::WatchCreateRequest create = WatchPrefix("w");
  create.set_start_revision(first);
  create.set_prev_kv(true);
  Watcher watcher(client(), create);
  const std::optional<pb::Event> older = watcher.NextEvent(), newer = watcher.NextEvent();
  ASSERT_TRUE(older && newer);
  EXPECT_EQ(older->kv().mod_revision(), first);
  EXPECT_EQ(newer->kv().value(), "y");
  EXPECT_EQ(newer->prev_kv().value(), "x");
}

TEST_F(IndependentEtcdClient, WhatWasCompactedIsRefusedInEtcdsWords) {
  const std::int64_t old = client().MustPut("b", "1").header().revision();
  client().MustPut("b", "2");
  const std::int64_t revision = client().MustPut("b", "9").header().revision();
  pb::CompactionRequest compact;
  compact.set_revision(revision);
  pb::CompactionResponse compacted;
  ASSERT_TRUE(client().kv().Compact(NewContext().get(), compact, &compacted).ok());
  EXPECT_EQ(compacted.header().revision(), revision);
  EXPECT_EQ(PairsOf(client().MustRange(KeyRequest("b"))), (Pairs{{"b", "9"}}));

  pb::RangeRequest request = KeyRequest("b");
  request.set_revision(old);
  pb::RangeResponse response;
  const grpc::Status refused = client().Range(request, &response);
  EXPECT_EQ(refused.error_code(), grpc::StatusCode::OUT_OF_RANGE);
  EXPECT_NE(refused.error_message().find("required revision has been compacted"), std::string::npos)
      << refused.error_message();

  EXPECT_EQ(client().kv().Compact(NewContext().get(), compact, &compacted).error_code(),
            grpc::StatusCode::OUT_OF_RANGE);

  pb::WatchCreateRequest create = WatchPrefix("b");
  create.set_start_revision(old);
  Watcher watcher(client(), create);
  const pb::WatchResponse ended = watcher.Read();
  EXPECT_TRUE(ended.canceled());
  EXPECT_EQ(ended.compact_revision(), revision);
}

TEST_F(IndependentEtcdClient, ACallThatItDoesNotServeIsUnimplemented) {
  pb::AlarmResponse response;
  const grpc::Status status = client().maintenance().Alarm(NewContext().get(), {}, &response);
  EXPECT_FALSE(status.ok());
  EXPECT_EQ(status.error_code(), grpc::StatusCode::UNIMPLEMENTED) << status.error_message();
}

TEST_F(IndependentEtcdClient, BadRequestsAreRefusedWithEtcdsCodes) {
  pb::RangeResponse range;
  EXPECT_EQ(client().Range({}, &range).error_code(), grpc::StatusCode::INVALID_ARGUMENT);
  pb::RangeRequest future = KeyRequest("a");
  future.set_revision(1000);
  const grpc::Status refused = client().Range(future, &range);
  EXPECT_EQ(refused.error_code(), grpc::StatusCode::OUT_OF_RANGE);
  EXPECT_NE(refused.error_message().find("required revision is a future revision"), std::string::npos)
      << refused.error_message();

  pb::PutRequest unbound;
  unbound.set_key("a");
  unbound.set_lease(123456);
  pb::PutResponse put;
  EXPECT_EQ(client().Put(unbound, &put).error_code(), grpc::StatusCode::NOT_FOUND);

  pb::LeaseRevokeRequest revoke;
  revoke.set_id(123456);
  pb::LeaseRevokeResponse revoked;
  EXPECT_EQ(client().lease().LeaseRevoke(NewContext().get(), revoke, &revoked).error_code(),
            grpc::StatusCode::NOT_FOUND);

  pb::AuthenticateRequest authenticate;
  authenticate.set_name("root");
  authenticate.set_password("secret");
  pb::AuthenticateResponse token;
  EXPECT_EQ(client().auth().Authenticate(NewContext().get(), authenticate, &token).error_code(),
            grpc::StatusCode::FAILED_PRECONDITION);
}

}  // namespace
}  // namespace badgerbridge
