// SPDX-License-Identifier: Apache-2.0
//
// The client's connection against a stand-in etcd over sockets.
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
  template <typename Condition>
  bool Until(Condition holds) {
    const auto due = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > due) return false;
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    return true;
  }
  void Connect(EtcdSettings settings = {}) {
    if (!etcd) etcd = std::make_unique<Etcd>(io, settings);
    closed.clear();
    opened = false;
    channel = Channel::Open(
        io, etcd->address(0), options, [this] { opened = true; },
        [this](const std::string& why) { closed = why; });
    ASSERT_TRUE(Until([&] { return opened || !closed.empty(); }));
  }
  template <typename Response>
  Status Ask(const std::string& path, const google::protobuf::MessageLite& request, Response* response,
             milliseconds timeout = milliseconds(5000)) {
    std::optional<Status> status;
    std::string text;
    int ends = 0;
    channel->Unary(path, metadata, request.SerializeAsString(), timeout, [&](Status s, std::string body) {
      ++ends;
      status = s;
      text = std::move(body);
    });
    EXPECT_TRUE(Until([&] { return status.has_value(); }));
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
    return Ask("/etcdserverpb.KV/Range", request, response, timeout);
  }

  asio::io_context io{1};
  ChannelOptions options;
  std::unique_ptr<Etcd> etcd;
  std::shared_ptr<Channel> channel;
  std::vector<std::pair<std::string, std::string>> metadata;
  bool opened = false;
  std::string closed;
};

TEST_F(ChannelTest, PutsGetsComparesAndDeletes) {
  Connect();
  pb::PutRequest put;
  put.set_key("a");
  put.set_value(std::string(100000, 'v'));
  pb::PutResponse put_response;
  ASSERT_TRUE(Ask("/etcdserverpb.KV/Put", put, &put_response).ok());
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
  ASSERT_TRUE(Ask("/etcdserverpb.KV/Txn", txn, &txn_response).ok());
  EXPECT_TRUE(txn_response.succeeded());
  ASSERT_TRUE(Ask("/etcdserverpb.KV/Txn", txn, &txn_response).ok());
  EXPECT_FALSE(txn_response.succeeded()) << "it has changed since";
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

TEST_F(ChannelTest, PagesAtOneRevisionSeeNoLaterWrite) {
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
    ASSERT_TRUE(Ask("/etcdserverpb.KV/Range", request, &page).ok());
    for (const auto& kv : page.kvs()) EXPECT_TRUE(keys.insert(kv.key()).second);
    if (request.revision() == 0) request.set_revision(page.header().revision());
    more = page.more();
    request.set_key(*keys.rbegin() + std::string(1, '\0'));
    etcd->Put("k/99", "late");
  }
  EXPECT_EQ(pages, 3);
  EXPECT_EQ(keys.size(), 25u);
  // Compacted beneath the pages: told, and not an empty list.
  etcd->Compact(etcd->store().revision());
  pb::RangeResponse page;
  const Status status = Ask("/etcdserverpb.KV/Range", request, &page);
  EXPECT_EQ(status.code, Code::kOutOfRange);
  EXPECT_EQ(status.message, standins::kCompactedText);
}

TEST_F(ChannelTest, EveryWayToEndACallIsToldApart) {
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
  for (const Case& one : cases) {
    Connect();
    etcd->Next(one.fault);
    pb::RangeResponse response;
    const Status status = Range("a", &response);
    EXPECT_EQ(status.code, one.code) << static_cast<int>(one.fault) << " " << status.Text();
    EXPECT_EQ(status.ending, one.ending) << static_cast<int>(one.fault) << " " << status.Text();
    if (one.connection_stays) {
      EXPECT_TRUE(Range("a", &response).ok()) << static_cast<int>(one.fault);
    } else {
      EXPECT_TRUE(Until([&] { return !closed.empty(); })) << static_cast<int>(one.fault);
    }
    channel->Close("done");
    ASSERT_TRUE(Until([&] { return !closed.empty(); }));
  }
}

TEST_F(ChannelTest, ACallThatIsNotAnsweredEndsByItsTimeAndTheNextIsServed) {
  Connect();
  etcd->Next(EtcdFault::kNever);
  pb::RangeResponse response;
  const Status status = Range("a", &response, milliseconds(50));
  EXPECT_EQ(status.code, Code::kDeadlineExceeded);
  EXPECT_EQ(status.ending, Ending::kTimeout);
  EXPECT_TRUE(Range("a", &response).ok());
  EXPECT_EQ(channel->calls(), 0u);
}

TEST_F(ChannelTest, CutAtAnyByteEveryCallEndsOnce) {
  Connect();
  etcd->Put("a", std::string(200, 'v'));
  int whole = 0, lost = 0;
  for (std::size_t bytes = 0; bytes < 420; bytes += 3) {
    channel->Close("next");
    etcd->CutAfter(0, bytes);
    closed.clear();
    opened = false;
    channel = Channel::Open(
        io, etcd->address(0), options, [this] { opened = true; },
        [this](const std::string& why) { closed = why; });
    int ends = 0;
    std::optional<Status> status;
    std::string text;
    pb::RangeRequest request;
    request.set_key("a");
    channel->Unary("/etcdserverpb.KV/Range", {}, request.SerializeAsString(), milliseconds(5000),
                   [&](Status s, std::string body) {
                     ++ends;
                     status = s;
                     text = std::move(body);
                   });
    ASSERT_TRUE(Until([&] { return status.has_value(); })) << bytes;
    if (status->ok()) {
      pb::RangeResponse response;
      ASSERT_TRUE(response.ParseFromString(text));
      EXPECT_EQ(response.kvs(0).value().size(), 200u);
      ++whole;
    } else {
      ++lost;
      EXPECT_EQ(status->ending, Ending::kLost) << status->Text();
    }
    EXPECT_EQ(ends, 1);
  }
  EXPECT_GT(lost, 50);
  EXPECT_GT(whole, 5);
}

TEST_F(ChannelTest, ASilentLinkIsFoundByPings) {
  Connect();
  etcd->Silence(0, true);
  const auto began = std::chrono::steady_clock::now();
  ASSERT_TRUE(Until([&] { return !closed.empty(); }));
  EXPECT_EQ(closed, "the link is silent: no answer to a ping");
  EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds(2000));
  // A connection that comes up and says nothing is found as well.
  closed.clear();
  Connect();
  ASSERT_TRUE(Until([&] { return !closed.empty(); }));
  etcd->Silence(0, false);
  Connect();
  pb::RangeResponse response;
  EXPECT_TRUE(Range("a", &response).ok());
}

TEST_F(ChannelTest, AHealthyLinkOutlivesAStallOfThisProcess) {
  Connect();
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(options.ping_every + 2 * options.ping_timeout);
    pb::RangeResponse response;
    EXPECT_TRUE(Range("k", &response).ok());
    EXPECT_EQ(closed, "");
  }
}

TEST_F(ChannelTest, NothingThereIsOneLine) {
  etcd = std::make_unique<Etcd>(io, EtcdSettings{});
  etcd->Down(0);
  Connect();
  EXPECT_FALSE(opened);
  EXPECT_EQ(closed.rfind("cannot connect: ", 0), 0u) << closed;
}

TEST_F(ChannelTest, WatchesGetEventsInOrderFragmentsAndTheWordOfACompaction) {
  EtcdSettings settings;
  settings.fragment_bytes = 2000;
  Connect(settings);
  for (int i = 0; i < 5; ++i) etcd->Put("k/" + std::to_string(i), "before");
  std::vector<pb::WatchResponse> got;
  std::optional<Status> ended;
  CallHandler handler;
  handler.on_message = [&](std::string_view text) {
    got.emplace_back();
    EXPECT_TRUE(got.back().ParseFromArray(text.data(), static_cast<int>(text.size())));
  };
  handler.on_end = [&](const Status& status) { ended = status; };
  pb::WatchRequest request;
  auto* create = request.mutable_create_request();
  create->set_key("k/");
  create->set_range_end("k0");
  create->set_start_revision(4);  // the third of them on
  create->set_fragment(true);
  create->set_progress_notify(true);
  const CallId watch =
      channel->Begin("/etcdserverpb.Watch/Watch", {}, request.SerializeAsString(), false, std::move(handler));
  ASSERT_GT(watch, 0);
  ASSERT_TRUE(Until([&] { return got.size() >= 2; }));
  EXPECT_TRUE(got[0].created());
  EXPECT_EQ(got[1].events_size(), 3);
  // One transaction of a thousand keys: fragments, of which only the last says that it is the last.
  got.clear();
  std::vector<std::pair<std::string, std::string>> pairs;
  for (int i = 0; i < 1000; ++i) pairs.emplace_back("k/" + std::to_string(i), "burst");
  etcd->store().PutAll(pairs);
  etcd->Publish();
  int events = 0;
  ASSERT_TRUE(Until([&] {
    events = 0;
    for (const auto& response : got) events += response.events_size();
    return events >= 1000;
  }));
  EXPECT_EQ(events, 1000);
  std::size_t fragments = 0;
  for (const auto& response : got) {
    if (response.events_size() == 0) continue;
    fragments += response.fragment();
    for (const auto& event : response.events())
      EXPECT_EQ(event.kv().mod_revision(), etcd->store().revision());
  }
  EXPECT_GE(fragments, 10u);
  // Told of the progress where nothing happens.
  got.clear();
  etcd->Put("other", "x");
  ASSERT_TRUE(Until([&] { return !got.empty() && got.back().events_size() == 0; }));
  EXPECT_EQ(got.back().header().revision(), etcd->store().revision());
  // A watch of what has been compacted is created, and cancelled with the revision.
  etcd->Compact(etcd->store().revision());
  got.clear();
  EXPECT_TRUE(channel->Send(watch, request.SerializeAsString(), false));
  ASSERT_TRUE(Until([&] { return !got.empty() && got.back().canceled(); }));
  EXPECT_EQ(got.back().compact_revision(), etcd->store().compacted());
  channel->Cancel(watch);
  EXPECT_EQ(ended->ending, Ending::kCancelled);
  EXPECT_TRUE(Until([&] { return etcd->watches() == 0; }));
}

TEST_F(ChannelTest, LeasesExpireWithTheirKeys) {
  Connect();
  pb::LeaseGrantRequest grant;
  grant.set_ttl(1);
  pb::LeaseGrantResponse lease;
  ASSERT_TRUE(Ask("/etcdserverpb.Lease/LeaseGrant", grant, &lease).ok());
  etcd->Put("k", "v", lease.id());
  pb::RangeResponse response;
  ASSERT_TRUE(Range("k", &response).ok());
  EXPECT_EQ(response.kvs_size(), 1);
  EXPECT_EQ(response.kvs(0).lease(), lease.id());
  ASSERT_TRUE(Until([&] { return Range("k", &response).ok() && response.kvs_size() == 0; }));
  pb::LeaseRevokeRequest revoke;
  revoke.set_id(lease.id());
  pb::LeaseRevokeResponse revoked;
  EXPECT_EQ(Ask("/etcdserverpb.Lease/LeaseRevoke", revoke, &revoked).code, Code::kNotFound);
}

TEST_F(ChannelTest, WithoutATokenOrWithAnOldOneCallsAreRefused) {
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
  EXPECT_EQ(Ask("/etcdserverpb.Auth/Authenticate", request, &token).code, Code::kInvalidArgument);
  request.set_password("secret");
  ASSERT_TRUE(Ask("/etcdserverpb.Auth/Authenticate", request, &token).ok());
  metadata = {{"token", token.token()}};
  EXPECT_TRUE(Range("a", &response).ok());
  etcd->ExpireTokens();
  EXPECT_EQ(Range("a", &response).message, "etcdserver: invalid auth token");
}

TEST_F(ChannelTest, AFollowerThatLagsServesOldReadsAndKeepsOthersWaiting) {
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
  ASSERT_TRUE(Ask("/etcdserverpb.KV/Range", request, &response).ok());
  EXPECT_EQ(response.kvs(0).value(), "1");
  EXPECT_EQ(Range("a", &response, milliseconds(60)).code, Code::kDeadlineExceeded);
  etcd->Lag(0, false);
  ASSERT_TRUE(Range("a", &response).ok());
  EXPECT_EQ(response.kvs(0).value(), "2");
}

}  // namespace
}  // namespace badgerbridge::etcd
