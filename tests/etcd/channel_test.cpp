// SPDX-License-Identifier: Apache-2.0
//
// Tests of Channel against the stand-in etcd over TCP sockets.
#include "etcd/channel.h"

#include <gtest/gtest.h>

#include <thread>

#include "etcd.pb.h"
#include "standins/etcd.h"

namespace badgerbridge::etcd {
namespace {

namespace asio = boost::asio;
namespace pb = etcdserverpb;
using standins::Etcd;
using standins::EtcdFault;
using standins::EtcdSettings;
using std::chrono::milliseconds;

class ChannelTest : public ::testing::Test {
 protected:
  /// Runs the event loop until the condition holds. Returns false after 20 s.
  template <typename Condition>
  bool RunUntil(Condition holds) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    return true;
  }
  /// Opens a channel to the first member and waits until it is open or closed.
  void Connect(EtcdSettings settings = {}) {
    if (!etcd) etcd = std::make_unique<Etcd>(io, settings);
    closed.clear();
    opened = false;
    channel = Channel::Open(
        io, etcd->address(0), options, [this] { opened = true; },
        [this](const ConnectionError& error) { closed = Message(error); });
    ASSERT_TRUE(RunUntil([&] { return opened || !closed.empty(); }));
  }
  /// Makes a unary call and waits for its result.
  template <typename Response>
  Status CallUnary(const std::string& path, const google::protobuf::MessageLite& request, Response* response,
                   milliseconds timeout = milliseconds(5000)) {
    std::optional<Status> status;
    std::string text;
    int ends = 0;
    channel->CallUnary(path, metadata, request.SerializeAsString(), timeout,
                       [&](Status result, std::string body) {
                         ++ends;
                         status = std::move(result);
                         text = std::move(body);
                       });
    EXPECT_TRUE(RunUntil([&] { return status.has_value(); }));
    io.restart();
    io.poll();
    EXPECT_EQ(ends, 1);
    EXPECT_TRUE(response->ParseFromString(text));
    return *status;
  }
  Status Range(const std::string& key, pb::RangeResponse* response,
               milliseconds timeout = milliseconds(5000)) {
    pb::RangeRequest request;
    request.set_key(key);
    return CallUnary("/etcdserverpb.KV/Range", request, response, timeout);
  }

  asio::io_context io{1};
  ChannelOptions options;
  std::unique_ptr<Etcd> etcd;
  std::shared_ptr<Channel> channel;
  HeaderFields metadata;
  bool opened = false;
  std::string closed;  // reason of the close; empty while not closed
};

TEST_F(ChannelTest, PutReadAndCompareAndSwap_GiveRevisionsAndValues) {
  Connect();
  pb::PutRequest put;
  put.set_key("a");
  put.set_value(std::string(100000, 'v'));
  pb::PutResponse put_response;
  ASSERT_TRUE(CallUnary("/etcdserverpb.KV/Put", put, &put_response).ok());
  EXPECT_EQ(put_response.header().revision(), 2);
  pb::RangeResponse range;
  ASSERT_TRUE(Range("a", &range).ok());
  ASSERT_EQ(range.kvs_size(), 1);
  EXPECT_EQ(range.kvs(0).value().size(), 100000u);
  EXPECT_EQ(range.header().cluster_id(), 0x1234u);
  pb::TxnRequest txn;
  auto* compare = txn.add_compare();
  compare->set_key("a");
  compare->set_target(pb::Compare::MOD);
  compare->set_mod_revision(range.kvs(0).mod_revision());
  auto* op = txn.add_success()->mutable_request_put();
  op->set_key("a");
  op->set_value("b");
  pb::TxnResponse txn_response;
  ASSERT_TRUE(CallUnary("/etcdserverpb.KV/Txn", txn, &txn_response).ok());
  EXPECT_TRUE(txn_response.succeeded());
  ASSERT_TRUE(CallUnary("/etcdserverpb.KV/Txn", txn, &txn_response).ok());
  EXPECT_FALSE(txn_response.succeeded()) << "the first transaction has changed the revision";
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

TEST_F(ChannelTest, PagesAtOneRevision_SeeNoLaterWrite) {
  Connect();
  for (int i = 0; i < 25; ++i) etcd->Put("k/" + std::to_string(10 + i), "v");
  pb::RangeRequest request;
  request.set_key("k/");
  request.set_range_end("k0");
  request.set_limit(10);
  std::set<std::string> keys;
  int pages = 0;
  for (bool more = true; more; ++pages) {
    pb::RangeResponse page;
    ASSERT_TRUE(CallUnary("/etcdserverpb.KV/Range", request, &page).ok());
    for (const auto& kv : page.kvs()) EXPECT_TRUE(keys.insert(kv.key()).second);
    if (request.revision() == 0) request.set_revision(page.header().revision());
    more = page.more();
    request.set_key(*keys.rbegin() + std::string(1, '\0'));
    etcd->Put("k/99", "late");
  }
  EXPECT_EQ(pages, 3);
  EXPECT_EQ(keys.size(), 25u);
  // Compaction between two pages must give an error, not an empty page.
  etcd->Compact(etcd->store().revision());
  pb::RangeResponse page;
  const Status status = CallUnary("/etcdserverpb.KV/Range", request, &page);
  EXPECT_EQ(status.code, Code::kOutOfRange);
  EXPECT_EQ(status.message, standins::kCompactedText);
}

TEST_F(ChannelTest, EachFault_EndsCallWithItsStatus) {
  struct Case {
    EtcdFault fault;
    Code code;
    Ending ending;
    bool connection_stays;
  };
  const Case cases[] = {{EtcdFault::kTrailersOnly, Code::kUnavailable, Ending::kStatus, true},
                        {EtcdFault::kNoStatus, Code::kUnknown, Ending::kNoStatus, true},
                        {EtcdFault::kStatusAlone, Code::kInternal, Ending::kMalformed, true},
                        {EtcdFault::kTwoMessages, Code::kInternal, Ending::kMalformed, true},
                        {EtcdFault::kReset, Code::kInternal, Ending::kReset, true},
                        {EtcdFault::kRefused, Code::kUnavailable, Ending::kRefused, true},
                        {EtcdFault::kHttp503, Code::kUnavailable, Ending::kHttpStatus, true},
                        {EtcdFault::kHugeMessage, Code::kResourceExhausted, Ending::kTooLarge, true},
                        {EtcdFault::kEndlessHeader, Code::kResourceExhausted, Ending::kTooLarge, true},
                        {EtcdFault::kGoaway, Code::kUnavailable, Ending::kRefused, false},
                        {EtcdFault::kGarbage, Code::kUnavailable, Ending::kLost, false}};
  for (const Case& test_case : cases) {
    Connect();
    etcd->Next(test_case.fault);
    pb::RangeResponse response;
    const Status status = Range("a", &response);
    EXPECT_EQ(status.code, test_case.code) << static_cast<int>(test_case.fault) << " " << status.ToString();
    EXPECT_EQ(status.ending, test_case.ending)
        << static_cast<int>(test_case.fault) << " " << status.ToString();
    if (test_case.connection_stays) {
      EXPECT_TRUE(Range("a", &response).ok()) << static_cast<int>(test_case.fault);
    } else {
      EXPECT_TRUE(RunUntil([&] { return !closed.empty(); })) << static_cast<int>(test_case.fault);
    }
    channel->Close("done");
    ASSERT_TRUE(RunUntil([&] { return !closed.empty(); }));
  }
}

TEST_F(ChannelTest, UnansweredCall_TimesOutAndNextIsServed) {
  Connect();
  etcd->Next(EtcdFault::kNever);
  pb::RangeResponse response;
  const Status status = Range("a", &response, milliseconds(50));
  EXPECT_EQ(status.code, Code::kDeadlineExceeded);
  EXPECT_EQ(status.ending, Ending::kTimeout);
  EXPECT_TRUE(Range("a", &response).ok());
  EXPECT_EQ(channel->open_calls(), 0u);
}

TEST_F(ChannelTest, ConnectionCutAtAnyByte_EndsCallOnce) {
  Connect();
  etcd->Put("a", std::string(200, 'v'));
  int complete = 0;
  int lost = 0;
  for (std::size_t bytes = 0; bytes < 420; bytes += 3) {
    channel->Close("next");
    etcd->CutAfter(0, bytes);
    closed.clear();
    opened = false;
    channel = Channel::Open(
        io, etcd->address(0), options, [this] { opened = true; },
        [this](const ConnectionError& error) { closed = Message(error); });
    int ends = 0;
    std::optional<Status> status;
    std::string text;
    pb::RangeRequest request;
    request.set_key("a");
    channel->CallUnary("/etcdserverpb.KV/Range", {}, request.SerializeAsString(), milliseconds(5000),
                       [&](Status result, std::string body) {
                         ++ends;
                         status = std::move(result);
                         text = std::move(body);
                       });
    ASSERT_TRUE(RunUntil([&] { return status.has_value(); })) << bytes;
    if (status->ok()) {
      pb::RangeResponse response;
      ASSERT_TRUE(response.ParseFromString(text));
      EXPECT_EQ(response.kvs(0).value().size(), 200u);
      ++complete;
    } else {
      ++lost;
      EXPECT_EQ(status->ending, Ending::kLost) << status->ToString();
    }
    EXPECT_EQ(ends, 1);
  }
  EXPECT_GT(lost, 50);
  EXPECT_GT(complete, 5);
}

TEST_F(ChannelTest, UnresponsiveConnection_IsClosedByPingTimeout) {
  Connect();
  etcd->Silence(0, true);
  const auto began = std::chrono::steady_clock::now();
  ASSERT_TRUE(RunUntil([&] { return !closed.empty(); }));
  EXPECT_EQ(closed, "the link is silent: no answer to a ping");
  EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds(2000));
  // The same holds for a connection on which the server never sends anything.
  closed.clear();
  Connect();
  ASSERT_TRUE(RunUntil([&] { return !closed.empty(); }));
  etcd->Silence(0, false);
  Connect();
  pb::RangeResponse response;
  EXPECT_TRUE(Range("a", &response).ok());
}

TEST_F(ChannelTest, StalledClientProcess_KeepsConnection) {
  Connect();
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(options.ping_interval + 2 * options.ping_timeout);
    pb::RangeResponse response;
    EXPECT_TRUE(Range("k", &response).ok());
    EXPECT_EQ(closed, "");
  }
}

TEST_F(ChannelTest, NoListener_GivesConnectError) {
  etcd = std::make_unique<Etcd>(io, EtcdSettings{});
  etcd->Down(0);
  Connect();
  EXPECT_FALSE(opened);
  EXPECT_EQ(closed.rfind("cannot connect: ", 0), 0u) << closed;
}

/// Writes five keys and watches from the third write, with small fragments and progress notifications.
class ChannelWatchTest : public ChannelTest {
 protected:
  void SetUp() override {
    EtcdSettings settings;
    settings.fragment_bytes = 2000;
    Connect(settings);
    for (int i = 0; i < 5; ++i) etcd->Put("k/" + std::to_string(i), "before");
    CallHandler handler;
    handler.on_message = [this](std::string_view message) {
      received.emplace_back();
      EXPECT_TRUE(received.back().ParseFromArray(message.data(), static_cast<int>(message.size())));
    };
    handler.on_end = [this](const Status& status) { ended = status; };
    auto* create = request.mutable_create_request();
    create->set_key("k/");
    create->set_range_end("k0");
    create->set_start_revision(4);
    create->set_fragment(true);
    create->set_progress_notify(true);
    watch = channel->BeginCall("/etcdserverpb.Watch/Watch", {}, request.SerializeAsString(), false,
                               std::move(handler));
    ASSERT_TRUE(watch.has_value());
    ASSERT_GT(*watch, 0);
    ASSERT_TRUE(RunUntil([&] { return received.size() >= 2; }));
  }
  // Handlers of open calls refer to members of this fixture, which are destroyed before the channel.
  void TearDown() override { channel->Close("the test ends"); }

  int ReceivedEvents() const {
    int events = 0;
    for (const auto& response : received) events += response.events_size();
    return events;
  }

  pb::WatchRequest request;
  std::optional<CallId> watch;
  std::vector<pb::WatchResponse> received;
  std::optional<Status> ended;
};

TEST_F(ChannelWatchTest, StartInPast_ReceivesCreationAndEventsSince) {
  EXPECT_TRUE(received[0].created());
  EXPECT_EQ(received[1].events_size(), 3);
}

TEST_F(ChannelWatchTest, LargeTransaction_ArrivesInFragments) {
  received.clear();
  std::vector<std::pair<std::string, std::string>> pairs;
  for (int i = 0; i < 1000; ++i) pairs.emplace_back("k/" + std::to_string(i), "burst");
  etcd->store().PutAll(pairs);
  etcd->Publish();
  ASSERT_TRUE(RunUntil([&] { return ReceivedEvents() >= 1000; }));
  EXPECT_EQ(ReceivedEvents(), 1000);
  std::size_t fragments = 0;  // all fragments but the last
  for (const auto& response : received) {
    if (response.events_size() == 0) continue;
    fragments += response.fragment();
    for (const auto& event : response.events())
      EXPECT_EQ(event.kv().mod_revision(), etcd->store().revision());
  }
  EXPECT_GE(fragments, 10u);
}

TEST_F(ChannelWatchTest, NoEvents_ReceivesProgressNotifications) {
  received.clear();
  etcd->Put("other", "x");
  ASSERT_TRUE(RunUntil([&] { return !received.empty() && received.back().events_size() == 0; }));
  EXPECT_EQ(received.back().header().revision(), etcd->store().revision());
}

TEST_F(ChannelWatchTest, CompactedStart_IsCreatedAndCancelledWithRevision) {
  etcd->Compact(etcd->store().revision());
  received.clear();
  EXPECT_TRUE(channel->SendMessage(*watch, request.SerializeAsString(), false));
  ASSERT_TRUE(RunUntil([&] { return !received.empty() && received.back().canceled(); }));
  EXPECT_EQ(received.back().compact_revision(), etcd->store().compacted());
}

TEST_F(ChannelWatchTest, CancelledCall_EndsItsWatch) {
  channel->CancelCall(*watch);
  ASSERT_TRUE(ended.has_value());
  EXPECT_EQ(ended->ending, Ending::kCancelled);
  EXPECT_TRUE(RunUntil([&] { return etcd->watches() == 0; }));
}

TEST_F(ChannelTest, ExpiredLease_DeletesItsKeys) {
  Connect();
  pb::LeaseGrantRequest grant;
  grant.set_ttl(1);
  pb::LeaseGrantResponse lease;
  ASSERT_TRUE(CallUnary("/etcdserverpb.Lease/LeaseGrant", grant, &lease).ok());
  etcd->Put("k", "v", lease.id());
  pb::RangeResponse response;
  ASSERT_TRUE(Range("k", &response).ok());
  EXPECT_EQ(response.kvs_size(), 1);
  EXPECT_EQ(response.kvs(0).lease(), lease.id());
  ASSERT_TRUE(RunUntil([&] { return Range("k", &response).ok() && response.kvs_size() == 0; }));
  pb::LeaseRevokeRequest revoke;
  revoke.set_id(lease.id());
  pb::LeaseRevokeResponse revoked;
  EXPECT_EQ(CallUnary("/etcdserverpb.Lease/LeaseRevoke", revoke, &revoked).code, Code::kNotFound);
}

TEST_F(ChannelTest, MissingOrExpiredToken_IsUnauthenticated) {
  EtcdSettings settings;
  settings.user = "proxy";
  settings.password = "secret";
  Connect(settings);
  pb::RangeResponse response;
  EXPECT_EQ(Range("a", &response).code, Code::kUnauthenticated);
  pb::AuthenticateRequest request;
  request.set_name("proxy");
  request.set_password("wrong");
  pb::AuthenticateResponse token;
  EXPECT_EQ(CallUnary("/etcdserverpb.Auth/Authenticate", request, &token).code, Code::kInvalidArgument);
  request.set_password("secret");
  ASSERT_TRUE(CallUnary("/etcdserverpb.Auth/Authenticate", request, &token).ok());
  metadata = {{"token", token.token()}};
  EXPECT_TRUE(Range("a", &response).ok());
  etcd->ExpireTokens();
  EXPECT_EQ(Range("a", &response).message, "etcdserver: invalid auth token");
}

TEST_F(ChannelTest, LaggingMember_ServesSerializableReadsOnly) {
  EtcdSettings settings;
  settings.members = 2;
  Connect(settings);
  etcd->Put("a", "1");
  etcd->Lag(0, true);
  etcd->Put("a", "2");
  pb::RangeRequest request;
  request.set_key("a");
  request.set_serializable(true);
  pb::RangeResponse response;
  ASSERT_TRUE(CallUnary("/etcdserverpb.KV/Range", request, &response).ok());
  EXPECT_EQ(response.kvs(0).value(), "1");
  EXPECT_EQ(Range("a", &response, milliseconds(60)).code, Code::kDeadlineExceeded);
  etcd->Lag(0, false);
  ASSERT_TRUE(Range("a", &response).ok());
  EXPECT_EQ(response.kvs(0).value(), "2");
}

}  // namespace
}  // namespace badgerbridge::etcd
