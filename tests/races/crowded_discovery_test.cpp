// SPDX-License-Identifier: Apache-2.0
//
// Plays several proxies on one slow discovery while backends begin to drain, in virtual time. Counts what a
// proxy that gives up watches in good order costs: calls, rejected calls, and requests to draining backends.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "proxy/discovery.h"
#include "proxy/proxy_harness.h"
#include "races/turn.h"

namespace badgerbridge::proxy::testing {
namespace {

using std::chrono::milliseconds;
using TimePoint = ProxyClock::Steady::time_point;

constexpr milliseconds kHeartbeat{2000};
constexpr milliseconds kMaxQueueTime{2000};  // a call that would have to wait longer is rejected
constexpr milliseconds kStep{20};
constexpr milliseconds kNotifiedAfter{6000};  // a drain counts as notified by then
constexpr milliseconds kDrainGrace{500};
constexpr int kProxies = 5;

// Works through calls one after another, and then sends changes and heartbeats.
class SlowDiscovery {
 public:
  // `begins_with_changes`: a watch begins with what has changed, if anything; otherwise with a snapshot.
  SlowDiscovery(asio::io_context& io, milliseconds call_time, bool begins_with_changes)
      : peer_(io, [this](Wire& wire) { OnCall(wire); }),
        call_time_(call_time),
        begins_with_changes_(begins_with_changes) {}

  tcp::endpoint endpoint() const { return peer_.endpoint(); }
  void Add(const std::string& name, const std::string& address) {
    entries_[name] = {address, "Ready", index_};
  }
  void Drain(const std::string& name) {
    entries_[name].status = "Terminating";
    entries_[name].index = ++index_;
  }
  std::string Snapshot() const { return List(0, true); }
  std::size_t calls() const { return peer_.requests.size(); }
  int rejected() const { return rejected_; }
  // Watches whose connection the proxy has closed; discovery itself closes none.
  std::ptrdiff_t given_up() const {
    return std::count_if(watches_.begin(), watches_.end(),
                         [](const Watch& watch) { return watch.wire->closed; });
  }
  std::size_t watches() const { return watches_.size(); }

  void Tick(TimePoint now) {
    while (!queue_.empty() && queue_.front().due <= now) {
      const auto [wire, index, due] = queue_.front();
      queue_.pop_front();
      if (wire->closed) continue;
      wire->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      if (!begins_with_changes_) wire->Send(Chunk(Snapshot() + "\n"));
      watches_.push_back({wire, begins_with_changes_ ? index : index_, now});
    }
    for (Watch& watch : watches_) Write(watch, now);
  }

 private:
  struct Entry {
    std::string address, status;
    int index = 0;  // of its last change
  };
  struct Call {
    std::shared_ptr<Wire> wire;
    int index;  // the version that the proxy knows
    TimePoint due;
  };
  struct Watch {
    std::shared_ptr<Wire> wire;
    int index;
    TimePoint written;
  };

  void OnCall(Wire& wire) {
    const TimePoint now = ProxyClock::Steady::now();
    const TimePoint begin = queue_.empty() ? now : std::max(now, queue_.back().due);
    if (begin + call_time_ <= now + kMaxQueueTime) {
      const std::string& request = peer_.requests.back();
      const int index = std::stoi(request.substr(request.find("index=") + 6));
      return queue_.push_back({wire.shared_from_this(), index, begin + call_time_});
    }
    ++rejected_;
    wire.Send(Reply(503, "", "Connection: close\r\n"));
    wire.Close();
  }
  void Write(Watch& watch, TimePoint now) {
    if (watch.wire->closed) return;
    if (watch.index < index_) {
      watch.wire->Send(Chunk(List(watch.index, false) + "\n"));
      watch.index = index_;
    } else if (now - watch.written >= kHeartbeat) {
      watch.wire->Send(Chunk("\n"));
    } else {
      return;
    }
    watch.written = now;
  }
  std::string List(int after, bool snapshot) const {
    std::vector<std::string> endpoints;
    for (const auto& [name, entry] : entries_) {
      if (snapshot || entry.index > after)
        endpoints.push_back(EndpointJson(name, entry.address, entry.status));
    }
    return ListJson(index_, snapshot, endpoints);
  }

  Peer peer_;
  milliseconds call_time_;
  bool begins_with_changes_;
  std::map<std::string, Entry> entries_;
  std::deque<Call> queue_;
  std::vector<Watch> watches_;
  int index_ = 40;
  int rejected_ = 0;
};

Config ConfigFor(bool polls) {
  std::string text = ConfigJson({});
  if (polls) {
    const std::string push = R"("registryMode":"push")";
    text.replace(text.find(push), push.size(), R"("registryMode":"ask")");
    const std::string rules = R"("rules":{)";
    text.replace(text.find(rules), rules.size(), rules + R"("mustAskInMs":10000.0,)");
  }
  return ParseConfig(text, [](const char*) { return nullptr; });
}

// A reader at the version that discovery has now, as after the start of a proxy.
EndpointListReader KnowingReader(const Config& config, const SlowDiscovery& server) {
  EndpointListReader reader(config);
  reader.Read(boost::json::parse(server.Snapshot())).value();
  return reader;
}

// A proxy that follows discovery, and its client.
struct FollowingProxy {
  FollowingProxy(asio::io_context& io, const Config& config, const SlowDiscovery& server, std::uint64_t seed)
      : node(io, config),
        discovery(
            io, server.endpoint(), KnowingReader(config, server), config.settings.polls_endpoint_list, seed,
            [this](const EndpointList& list) {
              node.proxy.UpdateList(list.snapshot ? EndpointListKind::kFull : EndpointListKind::kDelta, list);
            },
            [this] { node.proxy.EndpointListFailed(); },
            Discovery::Timing::For(config.settings.polls_endpoint_list)) {
    node.proxy.SetSubscribeHandler([this] { discovery.Watch(); });
    if (!config.settings.polls_endpoint_list) discovery.Watch();
  }

  Node node;
  Discovery discovery;
  std::shared_ptr<Wire> client;
};

struct Case {
  const char* name;
  bool polls;
  milliseconds call_time;
  bool begins_with_changes;  // discovery sends no list to a watch whose version is current
};

void PrintTo(const Case& one, std::ostream* out) { *out << one.name; }

class CrowdedDiscoveryTest : public badgerbridge::testing::EventLoopRaceTest,
                             public ::testing::WithParamInterface<Case> {
 protected:
  CrowdedDiscoveryTest() : discovery_(io_, GetParam().call_time, GetParam().begins_with_changes) {
    for (const char* name : {"s-1", "s-2", "s-3", "s-4", "s-5", "s-6"}) {
      backends_.push_back(std::make_unique<Peer>(io_, [this, name](Wire& wire) {
        last_request_[name] = ProxyClock::Steady::now();
        wire.Send(Reply(200, "served"));
        ++served_;
      }));
      discovery_.Add(name, backends_.back()->address());
    }
    for (int number = 0; number < kProxies; ++number) {
      const Config config = ConfigFor(GetParam().polls);
      proxies_.push_back(
          std::make_unique<FollowingProxy>(io_, config, discovery_, static_cast<std::uint64_t>(number) + 1));
      Subscribe(*proxies_.back());
    }
  }

  // As at the start of a proxy: the cached list makes the decision module poll at once.
  void Subscribe(FollowingProxy& proxy) {
    EndpointListReader reader(ConfigFor(GetParam().polls));
    proxy.node.proxy.UpdateList(EndpointListKind::kCached,
                                reader.Read(boost::json::parse(discovery_.Snapshot())).value());
  }
  void StartRequests() {
    for (const auto& proxy : proxies_) proxy->client = proxy->node.Connect();
    sends_requests_ = true;
  }

  template <typename Condition>
  bool PlayUntil(Condition holds, milliseconds max_time) {
    const TimePoint end = ProxyClock::Steady::now() + max_time;
    while (!holds()) {
      const TimePoint now = ProxyClock::Steady::now();
      if (now >= end) return false;
      discovery_.Tick(now);
      if (sends_requests_ && now >= next_requests_) SendRequests(now);
      AdvanceAndRun(kStep);
    }
    return true;
  }
  void PlayFor(milliseconds time) {
    PlayUntil([] { return false; }, time);
  }
  void SendRequests(TimePoint now) {
    constexpr milliseconds kBetween{250};
    next_requests_ = now + kBetween;
    for (const auto& proxy : proxies_) proxy->client->Send(Get("r" + std::to_string(++sent_)));
  }

  // The backend that the most recent request went to.
  std::string LastUsedBackend() const {
    return std::max_element(last_request_.begin(), last_request_.end(),
                            [](const auto& one, const auto& other) { return one.second < other.second; })
        ->first;
  }

  SlowDiscovery discovery_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::vector<std::unique_ptr<FollowingProxy>> proxies_;
  std::map<std::string, TimePoint> last_request_;  // by backend
  bool sends_requests_ = false;
  TimePoint next_requests_{};
  int sent_ = 0;
  int served_ = 0;
};

// Guards against watches in good order that are given up: the calls that follow crowd discovery, and a drain
// is heard of too late (review/8).
TEST_P(CrowdedDiscoveryTest, OpenWatchesStayAndDrainsAreHeardInTime) {
  constexpr milliseconds kStartTime{20000};
  constexpr milliseconds kBetweenDrains{7000};
  constexpr int kDrains = 3;
  constexpr int kMinServed = 400;
  ASSERT_TRUE(PlayUntil([&] { return discovery_.watches() == kProxies; }, kStartTime));
  const std::size_t calls_at_start = discovery_.calls();
  const int rejected_at_start = discovery_.rejected();
  StartRequests();
  PlayFor(kBetweenDrains);
  for (int drain = 0; drain < kDrains; ++drain) {
    const std::string name = LastUsedBackend();
    const TimePoint drained = ProxyClock::Steady::now();
    discovery_.Drain(name);
    PlayFor(kBetweenDrains);
    EXPECT_LE(last_request_.at(name) - drained, kNotifiedAfter + kDrainGrace) << name;
  }
  EXPECT_EQ(discovery_.given_up(), 0) << "watches in good order";
  EXPECT_EQ(discovery_.calls() - calls_at_start, 0u);
  EXPECT_EQ(discovery_.rejected() - rejected_at_start, 0);
  EXPECT_EQ(served_, sent_);
  EXPECT_GT(served_, kMinServed);
}

INSTANTIATE_TEST_SUITE_P(AllModes, CrowdedDiscoveryTest,
                         ::testing::Values(Case{"Pushed", false, milliseconds(0), false},
                                           Case{"PolledSlow", true, milliseconds(1600), false},
                                           Case{"PolledSlowChanges", true, milliseconds(1600), true}),
                         [](const ::testing::TestParamInfo<Case>& one) { return one.param.name; });

}  // namespace
}  // namespace badgerbridge::proxy::testing
