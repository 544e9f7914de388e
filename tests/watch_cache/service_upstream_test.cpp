// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Faults of the upstream: lost connections, caches that stop or lag, contradictory data, and replaced
/// history.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "watch_cache/service.h"
#include "watch_cache/service_harness.h"
#include "watch_cache/service_requests.h"

namespace badgerbridge::watch_cache {
namespace {

using etcd::Code;
using standins::EtcdFault;
using standins::EtcdSettings;

class ServiceUpstreamTest : public ServiceTest {};

TEST_F(ServiceUpstreamTest, DrainReachesReadersOfCacheCutOffFromSource) {
  EtcdSettings two;
  two.members = 2;
  StartEtcd(two);
  const auto make_cache = [this](std::vector<tcp::endpoint> upstream) {
    ServiceSettings settings = CacheSettings(std::move(upstream));
    settings.upstream.channel = etcd::ChannelOptions();  // with the default ping settings
    return MakeCacheWith(settings);
  };
  const auto first = make_cache({etcd->address(0)});
  const auto second = make_cache({etcd->address(1)});
  ASSERT_TRUE(Until([&] { return Follows(*first) && Follows(*second); }));
  const auto zone = make_cache({first->address(), second->address()});
  const auto reader = MakeReader({zone->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); })) << reader->last_error;
  ASSERT_TRUE(Until([&] { return first->connections() + second->connections() == 1; }));
  const std::size_t used = first->connections() == 1 ? 0 : 1;
  const auto began = std::chrono::steady_clock::now();
  etcd->Silence(used, true);
  Put("m2", "Terminating");
  ASSERT_TRUE(Until([&] { return reader->drains[kPrefix + "m2"] == 1; }));
  // The cache detects the silent connection after 250 ms and ends its readers' watches 100 ms later; the
  // readers reach another cache within 80 ms. By a timeout of their own watch they would notice after 1.5 s
  // at the earliest.
  EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds(1200));
  EXPECT_TRUE(Until([&] { return Holds(*reader); }));
  EXPECT_EQ(reader->revision_decreases, 0);
}

TEST_F(ServiceUpstreamTest, UpstreamReconnectResumesAndReadersKeepState) {
  StartEtcd();
  const auto cache = MakeCache({etcd->address(0)});
  const auto reader = MakeReader({cache->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  const auto held = reader->keys;
  etcd->Down(0);
  ASSERT_TRUE(Until([&] { return !cache->status().connected; }));
  Put("m8");
  Delete("m0");
  RunFor(milliseconds(300));
  EXPECT_EQ(reader->keys, held);
  EXPECT_FALSE(cache->Describe().at("upstream").at("connected").as_bool());
  // A linearizable read cannot be confirmed and fails; a serializable read is answered.
  pb::RangeRequest list = ListRequest();
  EXPECT_EQ(Call(cache->address(), kRangePath, list.SerializeAsString()).code, Code::kUnavailable);
  list.set_serializable(true);
  EXPECT_TRUE(Call(cache->address(), kRangePath, list.SerializeAsString()).ok());
  etcd->Up(0);
  ASSERT_TRUE(Until([&] { return Holds(*reader); })) << reader->last_error;
  EXPECT_EQ(cache->status().snapshots, 1u);  // the watch was resumed without a new list
  EXPECT_EQ(reader->revision_decreases, 0);
}

TEST_F(ServiceUpstreamTest, CompactionWhileUpstreamIsCutLeadsToNewState) {
  StartEtcd();
  const auto cache = MakeCache({etcd->address(0)});
  const auto reader = MakeReader({cache->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  etcd->Down(0);
  ASSERT_TRUE(Until([&] { return !cache->status().connected; }));
  Put("m8");
  Delete("m0");
  Put("m2", "Terminating");
  etcd->Compact(etcd->store().revision());
  etcd->Up(0);
  ASSERT_TRUE(Until([&] { return Holds(*reader); })) << reader->last_error;
  EXPECT_EQ(cache->status().snapshots, 2u);
  EXPECT_EQ(reader->drains[kPrefix + "m2"], 1);
  EXPECT_EQ(reader->revision_decreases, 0);
}

TEST_F(ServiceUpstreamTest, DeletionIsNotLostWhenUpstreamStopsBeforeSendingIt) {
  StartEtcd();
  const auto first = MakeCache({etcd->address(0)});
  const auto second = MakeCache({etcd->address(0)});
  // The reader's cache stops when it has received the deletion, before it has sent any of it.
  for (int round = 0; round < 6; ++round) {
    std::unique_ptr<Service> stopping = MakeCache({etcd->address(0)});
    ASSERT_TRUE(Until([&] { return Follows(*stopping) && Follows(*first) && Follows(*second); }));
    const std::string name = "gone" + std::to_string(round);
    Put(name);
    const auto reader = MakeReader({stopping->address(), first->address(), second->address()});
    ASSERT_TRUE(Until([&] { return Holds(*reader); }));
    Delete(name);
    const std::int64_t deleted = etcd->store().revision();
    ASSERT_TRUE(Until([&] { return stopping->status().revision >= deleted; }));
    stopping.reset();
    ASSERT_TRUE(Until([&] { return Holds(*reader) && reader->revision >= deleted; })) << reader->last_error;
    EXPECT_FALSE(reader->keys.count(kPrefix + name));
    EXPECT_EQ(reader->revision_decreases, 0);
  }
}

TEST_F(ServiceUpstreamTest, LaggingUpstreamDoesNotDecreaseReaderRevision) {
  EtcdSettings two;
  two.members = 2;
  StartEtcd(two);
  const auto ahead = MakeCache({etcd->address(0)});
  const auto behind = MakeCache({etcd->address(1)});
  ASSERT_TRUE(Until([&] { return Follows(*ahead) && Follows(*behind); }));
  etcd->Lag(1, true);
  Put("m5");
  Delete("m0");
  ASSERT_TRUE(Until([&] { return Follows(*ahead); }));
  const auto reader = MakeReader({ahead->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  const auto child = MakeCache({ahead->address(), behind->address()});
  const auto child_reader = MakeReader({child->address()});
  ASSERT_TRUE(Until([&] { return Holds(*child_reader); })) << child_reader->last_error;
  EXPECT_LT(behind->status().revision, ahead->status().revision);
  EXPECT_EQ(child_reader->revision_decreases, 0);
  etcd->Lag(1, false);
  ASSERT_TRUE(Until([&] { return Follows(*behind); }));
}

TEST_F(ServiceUpstreamTest, InvalidUpstreamResponsesDisconnectNoReader) {
  EtcdSettings two;
  two.members = 2;
  StartEtcd(two);
  ServiceSettings settings = CacheSettings({etcd->address(0), etcd->address(1)});
  settings.cache.upstream_grace = Time(60000);  // longer than any fault here, so that no watch is ended
  const auto cache = MakeCacheWith(settings);
  const auto reader = MakeReader({cache->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  int number = 0;
  for (const EtcdFault fault :
       {EtcdFault::kTrailersOnly, EtcdFault::kNoStatus, EtcdFault::kStatusAlone, EtcdFault::kReset,
        EtcdFault::kRefused, EtcdFault::kHttp503, EtcdFault::kHugeMessage, EtcdFault::kEndlessHeader,
        EtcdFault::kGarbage, EtcdFault::kGoaway, EtcdFault::kTwoMessages, EtcdFault::kNever}) {
    etcd->Next(fault);  // affects the next call: a confirmation, a list or a watch
    for (std::size_t member : {0u, 1u}) {
      etcd->Down(member);
      etcd->Up(member);
    }
    Put("m" + std::to_string(number % 4), number % 2 ? "Ready" : "Terminating");
    ++number;
    ASSERT_TRUE(Until([&] { return Follows(*cache) && Holds(*reader); }))
        << static_cast<int>(fault) << " " << cache->status().last_upstream_error;
  }
  EXPECT_EQ(reader->revision_decreases, 0);
  EXPECT_EQ(reader->disconnects, 0);  // the cache forwards none of the faults
}

// An upstream whose lists contain a key with a higher revision than the list's header.
class ContradictoryUpstream {
 public:
  explicit ContradictoryUpstream(boost::asio::io_context& io) {
    server_ = std::make_unique<etcd::Server>(
        io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), etcd::ServerOptions{},
        [this](const std::shared_ptr<etcd::ServerConnection>& link) { return Handlers(link); });
  }
  tcp::endpoint address() const { return server_->address(); }
  int contradictory_lists() const { return contradictory_lists_; }

 private:
  etcd::Http2ServerHandler Handlers(const std::weak_ptr<etcd::ServerConnection>& link) {
    etcd::Http2ServerHandler handler;
    handler.on_half_closed = [this, link](etcd::StreamId stream) {
      pb::RangeResponse list;
      list.mutable_header()->set_cluster_id(0x1234);
      list.mutable_header()->set_revision(1000);
      auto* kv = list.add_kvs();
      kv->set_key(kPrefix + "lie");
      kv->set_value(MemberValue("lie"));
      kv->set_mod_revision(1001);
      etcd::Http2Server& http2 = link.lock()->http2();
      http2.SendMessage(stream, list.SerializeAsString());
      http2.Finish(stream, {});
      ++contradictory_lists_;
    };
    return handler;
  }

  int contradictory_lists_ = 0;
  std::unique_ptr<etcd::Server> server_;
};

TEST_F(ServiceUpstreamTest, UpstreamWithContradictoryListIsReplaced) {
  StartEtcd();
  ContradictoryUpstream upstream(io);
  // The first endpoint is chosen at random: repeats until the contradictory upstream was chosen.
  std::unique_ptr<Service> cache;
  for (int i = 0; i < 50 && upstream.contradictory_lists() == 0; ++i) {
    cache = MakeCache({upstream.address(), etcd->address(0)});
    ASSERT_TRUE(Until([&] { return upstream.contradictory_lists() > 0 || Follows(*cache); }));
  }
  ASSERT_GT(upstream.contradictory_lists(), 0);
  const auto reader = MakeReader({cache->address()});
  ASSERT_TRUE(Until([&] { return Follows(*cache) && Holds(*reader); }))
      << cache->status().last_upstream_error;
  EXPECT_EQ(cache->status().upstream_rejections, 1u);
  EXPECT_FALSE(reader->keys.count(kPrefix + "lie"));
  EXPECT_EQ(reader->revision_decreases, 0);
}

TEST_F(ServiceUpstreamTest, RestoredSourceLeadsReadersToItsState) {
  StartEtcd();
  const auto region = MakeCache({etcd->address(0)});
  const auto zone = MakeCache({region->address()});
  const auto reader = MakeReader({zone->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  const standins::EtcdStore backup = etcd->store();
  for (int i = 0; i < 5; ++i) Put("later" + std::to_string(i));
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  etcd->Restore(backup, 0x9999);
  Put("other");
  ASSERT_TRUE(Until([&] { return Holds(*reader) && reader->cluster_id == 0x9999; })) << reader->last_error;
  EXPECT_FALSE(reader->keys.count(kPrefix + "later1"));
  EXPECT_TRUE(reader->keys.count(kPrefix + "other"));
}

TEST_F(ServiceUpstreamTest, LowerSourceRevisionLeadsReadersToItsState) {
  StartEtcd();
  const auto region = MakeCache({etcd->address(0)});
  const auto zone = MakeCache({region->address()});
  const auto reader = MakeReader({zone->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  const standins::EtcdStore backup = etcd->store();
  for (int i = 0; i < 5; ++i) Put("later" + std::to_string(i));
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  etcd->Restore(backup, 0x1234);  // the cluster id is unchanged
  ASSERT_TRUE(Until([&] { return Holds(*reader) && reader->revision == etcd->store().revision(); }))
      << reader->last_error;
  EXPECT_FALSE(reader->keys.count(kPrefix + "later1"));
}

TEST_F(ServiceUpstreamTest, ReadersOfRestartedCacheCauseOneListAtSource) {
  StartEtcd({}, 30);
  auto cache = MakeCache({etcd->address(0)});
  ASSERT_TRUE(Until([&] { return Follows(*cache); }));
  ServiceSettings restarted_settings = CacheSettings({etcd->address(0)});
  restarted_settings.listen = cache->address();
  std::vector<std::unique_ptr<Reader>> readers;
  for (int i = 0; i < 150; ++i) readers.push_back(MakeReader({cache->address()}));
  const auto all_hold = [&] {
    const auto source_state = SourceState();
    return std::all_of(readers.begin(), readers.end(),
                       [&](const auto& one) { return one->watching() && one->keys == source_state; });
  };
  ASSERT_TRUE(Until(all_hold));
  const std::size_t reads = etcd->calls(kRangePath), watches = etcd->calls(kWatchPath);
  cache.reset();
  Put("m1", "Terminating");
  Delete("m2");
  cache = MakeCacheWith(restarted_settings);
  ASSERT_TRUE(Until(all_hold));
  EXPECT_EQ(etcd->watches(), 1u);
  EXPECT_EQ(cache->status().snapshots, 1u);
  EXPECT_EQ(etcd->calls(kWatchPath), watches + 1);
  // The cache's own list is one page; all other reads are of one key and confirm a revision.
  EXPECT_EQ(etcd->calls(kRangePath) - reads, cache->status().confirmations + 1);
  for (const auto& reader : readers) {
    EXPECT_EQ(reader->revision_decreases, 0);
    EXPECT_GE(reader->drains[kPrefix + "m1"], 1);
  }
}

}  // namespace
}  // namespace badgerbridge::watch_cache
