// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Limits: slow and unresponsive readers, too many connections and watches, and the drain.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <array>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "watch_cache/service.h"
#include "watch_cache/service_harness.h"
#include "watch_cache/service_requests.h"

namespace badgerbridge::watch_cache {
namespace {

using etcd::Code;

class ServiceLimitsTest : public ServiceTest {};

TEST_F(ServiceLimitsTest, WatchThatNeverReadsIsMergedAndOthersAreUnaffected) {
  StartEtcd();
  ServiceSettings settings = CacheSettings({etcd->address(0)});
  settings.cache.max_backlog_bytes = 64 << 10;
  settings.max_unsent_bytes = 32 << 10;
  const auto cache = MakeCacheWith(settings);
  ASSERT_TRUE(Until([&] { return Follows(*cache); }));
  // A connection that creates a watch and then reads nothing.
  tcp::socket unresponsive(io);
  unresponsive.connect(cache->address());
  unresponsive.set_option(tcp::socket::receive_buffer_size(4096));
  etcd::Http2Client client("unresponsive");
  client.BeginCall(kWatchPath, {}, CreateRequest(etcd->store().revision() + 1), false, {});
  const std::string opening = client.TakeOutput();
  boost::asio::write(unresponsive, boost::asio::buffer(opening));
  ASSERT_TRUE(Until([&] { return cache->status().subscribers == 1; }));
  const auto reader = MakeReader({cache->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  const std::string large(16 << 10, 'x');
  for (int i = 0; i < 800; ++i) {
    etcd->Put(kPrefix + "large" + std::to_string(i % 3), large + std::to_string(i));
    if (i % 50 != 0) continue;
    ASSERT_TRUE(Until([&] { return Holds(*reader); })) << i << reader->last_error;
  }
  ASSERT_TRUE(Until([&] { return Holds(*reader) && cache->status().slow_subscribers == 1; }));
  EXPECT_LE(cache->status().merged_events, 3u);
  EXPECT_EQ(reader->disconnects, 0);
}

TEST_F(ServiceLimitsTest, ConnectionWithUnreadAnswersIsClosedAtStallTimeout) {
  StartEtcd({}, 4);
  const std::string large(64 << 10, 'x');
  for (int i = 0; i < 40; ++i) etcd->Put(kPrefix + "large" + std::to_string(i), large);
  ServiceSettings settings = CacheSettings({etcd->address(0)});
  settings.server.stall_timeout = milliseconds(300);
  const auto cache = MakeCacheWith(settings);
  ASSERT_TRUE(Until([&] { return Follows(*cache); }));
  tcp::socket unresponsive(io);
  unresponsive.connect(cache->address());
  etcd::Http2Client client("unresponsive");
  client.BeginCall(kRangePath, {}, ListRequest().SerializeAsString(), true, {});
  const std::string opening = client.TakeOutput();
  boost::asio::write(unresponsive, boost::asio::buffer(opening));
  ASSERT_TRUE(Until([&] { return cache->status().lists == 1 && cache->connections() == 1; }));
  ASSERT_TRUE(Until([&] { return cache->connections() == 0; }));
}

TEST_F(ServiceLimitsTest, AnswerBehindUnreadOnesIsRejected) {
  StartEtcd({}, 4);
  const std::string large(64 << 10, 'x');
  for (int i = 0; i < 40; ++i) etcd->Put(kPrefix + "large" + std::to_string(i), large);
  ServiceSettings settings = CacheSettings({etcd->address(0)});
  settings.server.limits.max_unsent_bytes = 100 << 10;
  const auto cache = MakeCacheWith(settings);
  ASSERT_TRUE(Until([&] { return Follows(*cache); }));
  tcp::socket socket(io);
  socket.connect(cache->address());
  std::vector<etcd::Status> ends;
  std::size_t received = 0;
  etcd::Http2Client client("slow");
  for (int i = 0; i < 2; ++i) {
    etcd::CallHandler handler;
    handler.on_message = [&](std::string_view text) { received += text.size(); };
    handler.on_end = [&](const etcd::Status& status) { ends.push_back(status); };
    client.BeginCall(kRangePath, {}, ListRequest().SerializeAsString(), true, std::move(handler));
  }
  boost::asio::write(socket, boost::asio::buffer(client.TakeOutput()));
  ASSERT_TRUE(Until([&] { return cache->status().lists == 2 && cache->status().waiting_reads == 0; }));
  // The client reads only now.
  std::array<char, 65536> buffer_storage;
  ASSERT_TRUE(Until([&] {
    if (socket.available() == 0) return ends.size() == 2;
    client.Feed({buffer_storage.data(), socket.read_some(boost::asio::buffer(buffer_storage))});
    boost::asio::write(socket, boost::asio::buffer(client.TakeOutput()));
    return ends.size() == 2;
  }));
  EXPECT_EQ(ends[0].ok() + ends[1].ok(), 1);
  const etcd::Status& rejected = ends[0].ok() ? ends[1] : ends[0];
  EXPECT_EQ(rejected.code, Code::kResourceExhausted) << rejected.ToString();
  EXPECT_GT(received, 40 * large.size());
}

TEST_F(ServiceLimitsTest, ConnectionWithoutCallsIsClosedAtIdleTimeout) {
  StartEtcd();
  ServiceSettings settings = CacheSettings({etcd->address(0)});
  settings.server.idle_timeout = milliseconds(100);
  const auto cache = MakeCacheWith(settings);
  ASSERT_TRUE(Until([&] { return Follows(*cache); }));
  const auto busy = MakeReader({cache->address()});
  const auto idle = OpenChannel(cache->address());
  ASSERT_TRUE(Until([&] { return idle->going_away(); }));
  ASSERT_TRUE(Until([&] { return cache->connections() == 1 && Holds(*busy); }));
  RunFor(milliseconds(300));
  EXPECT_EQ(busy->disconnects, 0);
}

TEST_F(ServiceLimitsTest, WatchBeyondConnectionBoundEndsOnlyItsStream) {
  StartEtcd();
  ServiceSettings settings = CacheSettings({etcd->address(0)});
  settings.max_watches_per_connection = 2;
  const auto cache = MakeCacheWith(settings);
  ASSERT_TRUE(Until([&] { return Follows(*cache); }));
  const auto channel = OpenChannel(cache->address());
  const std::string create = CreateRequest(etcd->store().revision() + 1);
  WatchStream first, second;
  first.Open(channel, create);
  first.channel->SendMessage(*first.call, create, false);
  ASSERT_TRUE(Until([&] { return first.responses.size() == 2; }));
  second.Open(channel, create);
  ASSERT_TRUE(Until([&] { return second.ended.has_value(); }));
  EXPECT_EQ(second.ended->code, Code::kResourceExhausted);
  EXPECT_FALSE(first.ended);
  Put("m1");
  EXPECT_TRUE(Until([&] { return first.EventsOf(0) == 1 && first.EventsOf(1) == 1; }));
}

TEST_F(ServiceLimitsTest, SilentClientIsPingedAndClosed) {
  StartEtcd();
  ServiceSettings settings = CacheSettings({etcd->address(0)});
  settings.server.ping_interval = settings.server.ping_timeout = milliseconds(100);
  const auto cache = MakeCacheWith(settings);
  tcp::socket unresponsive(io);
  unresponsive.connect(cache->address());
  ASSERT_TRUE(Until([&] { return cache->connections() == 1; }));
  ASSERT_TRUE(Until([&] { return cache->connections() == 0; }));
}

TEST_F(ServiceLimitsTest, AcceptingPausesWithoutDescriptorsAndWatchesContinue) {
  StartEtcd();
  const auto cache = MakeCache({etcd->address(0)});
  const auto reader = MakeReader({cache->address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  tcp::socket waiting(io, tcp::v4());
  rlimit original_limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &original_limit), 0);
  rlimit no_descriptors = original_limit;
  no_descriptors.rlim_cur = 3;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &no_descriptors), 0);
  waiting.connect(cache->address());
  Put("m1", "Terminating");
  EXPECT_TRUE(Until([&] { return reader->drains[kPrefix + "m1"] == 1; }));
  RunFor(milliseconds(120));  // longer than one pause of the accept loop
  EXPECT_EQ(cache->connections(), 1u);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &original_limit), 0);
  EXPECT_TRUE(Until([&] { return cache->connections() == 2; }));
  EXPECT_EQ(reader->disconnects, 0);
}

TEST_F(ServiceLimitsTest, ConnectionBeyondBoundWaits) {
  StartEtcd();
  ServiceSettings settings = CacheSettings({etcd->address(0)});
  settings.server.max_connections = 1;
  const auto cache = MakeCacheWith(settings);
  auto first = MakeReader({cache->address()});
  ASSERT_TRUE(Until([&] { return Holds(*first); }));
  const auto second = MakeReader({cache->address()});
  RunFor(milliseconds(100));
  EXPECT_EQ(cache->connections(), 1u);
  EXPECT_FALSE(second->watching());
  first.reset();
  ASSERT_TRUE(Until([&] { return Holds(*second); })) << second->last_error;
}

TEST_F(ServiceLimitsTest, DrainEndsReadersOverItsPeriod) {
  StartEtcd();
  ServiceSettings settings = CacheSettings({etcd->address(0)});
  settings.cache.drain_period = Time(400);
  auto draining = MakeCacheWith(settings);
  const auto other = MakeCache({etcd->address(0)});
  ASSERT_TRUE(Until([&] { return Follows(*draining) && Follows(*other); }));
  std::vector<std::unique_ptr<Reader>> readers;
  for (int i = 0; i < 8; ++i) {
    readers.push_back(MakeReader({draining->address()}));
  }
  WatchStream stream;
  stream.Open(OpenChannel(draining->address()), CreateRequest(etcd->store().revision() + 1));
  ASSERT_TRUE(Until([&] { return draining->status().subscribers == 9; }));
  bool drained = false;
  const auto began = std::chrono::steady_clock::now();
  draining->Drain([&] { drained = true; });
  EXPECT_FALSE(drained);
  EXPECT_GT(draining->status().subscribers, 0u);  // not ended at once
  Put("m1", "Terminating");                       // still delivered to remaining watches
  ASSERT_TRUE(Until([&] { return stream.EventsOf(0) == 1 || stream.ended; }));
  ASSERT_TRUE(Until([&] { return drained; }));
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(20));
  EXPECT_EQ(draining->status().subscribers, 0u);
  ASSERT_TRUE(Until([&] { return stream.ended.has_value(); }));
  EXPECT_EQ(stream.ended->code, Code::kUnavailable) << stream.ended->ToString();
  EXPECT_TRUE(stream.ended->IsRetriable());
  for (const auto& reader : readers) EXPECT_TRUE(Until([&] { return reader->disconnects > 0; }));
}

}  // namespace
}  // namespace badgerbridge::watch_cache
