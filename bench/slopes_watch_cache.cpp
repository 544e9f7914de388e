// SPDX-License-Identifier: Apache-2.0
//
// The relay's core: what a key, a past event and a subscriber hold, and what an event costs for each
// subscriber. In process, without sockets; a message's serialization is counted, gRPC's framing and HTTP/2
// are not.
#include <string>
#include <vector>

#include "allocations.h"
#include "etcd/key_range.h"
#include "membership/member_codec.h"
#include "slopes.h"
#include "slopes_names.h"
#include "watch_cache/relay.h"

namespace badgerbridge::bench {
namespace {

namespace pb = etcdserverpb;
using watch_cache::Relay;
using watch_cache::Time;

constexpr int kKeySizes[] = {1000, 3000, 10000, 30000, kBackends};
constexpr int kSubscriberSizes[] = {100, 300, 1000, kProxies, 10000};
constexpr int kRepetitions = 3;
constexpr int kSingleEvents = 20;
constexpr int kBurst = 4583;  // a zone's backends
constexpr int kBurstSubscribers[] = {10, 30, 100, 300};
constexpr std::size_t kMostMessageBytes = 64 << 10;
constexpr std::uint64_t kCluster = 0x8e9e05c52164694dULL;
constexpr std::int64_t kFirstRevision = 5000000;
const std::string kPrefix = "/badgerbridge/converters/";

watch_cache::Settings SettingsOf() {
  watch_cache::Settings settings;
  settings.prefix = kPrefix;
  settings.member_id = 1;
  return settings;
}

pb::KeyValue KeyValueOf(int index, std::int64_t revision, membership::MemberState state) {
  membership::Member member = BackendMember(index);
  member.state = state;
  pb::KeyValue kv;
  kv.set_key(kPrefix + member.name);
  kv.set_value(SerializeMember(member));
  kv.set_create_revision(kFirstRevision);
  kv.set_mod_revision(revision);
  kv.set_version(1 + revision - kFirstRevision);
  kv.set_lease(0x694d7c9a6b1f0a01LL);
  return kv;
}

std::vector<pb::KeyValue> StateOf(int keys) {
  std::vector<pb::KeyValue> kvs;
  for (int i = 0; i < keys; ++i)
    kvs.push_back(KeyValueOf(i, kFirstRevision, membership::MemberState::kReady));
  return kvs;
}

class RelayRig {
 public:
  explicit RelayRig(int keys) : relay_(SettingsOf()) {
    auto kvs = StateOf(keys);
    const std::size_t live = LiveBytes();
    const double before = ThreadCpuMs();
    relay_.UpstreamSnapshot(Time(1), kCluster, kFirstRevision, std::move(kvs), &actions_);
    load_ms = ThreadCpuMs() - before;
    moved_bytes = static_cast<double>(LiveBytes()) - static_cast<double>(live);
  }

  void Subscribe(int count) {
    pb::WatchCreateRequest request;
    request.set_key(kPrefix);
    request.set_range_end(etcd::PrefixRangeEnd(kPrefix));
    request.set_start_revision(revision_ + 1);
    request.set_fragment(true);
    request.set_progress_notify(true);
    for (int i = 0; i < count; ++i) relay_.Subscribe(Time(2), ++subscribers_, request, &actions_);
    actions_.clear();
    TakeAll();
  }

  // One revision each, as a lease that ends has.
  double PutMs(int first, int count) {
    std::vector<pb::Event> events;
    for (int i = first; i < first + count; ++i)
      *events.emplace_back().mutable_kv() = KeyValueOf(i, ++revision_, membership::MemberState::kDraining);
    const double before = ThreadCpuMs();
    relay_.UpstreamEvents(Time(3), revision_, std::move(events), &actions_);
    const double took = ThreadCpuMs() - before;
    actions_.clear();
    return took;
  }

  struct Delivered {
    double cpu_ms = 0, bytes = 0, events = 0;
  };

  // What the shell does once every subscriber's transport has room.
  Delivered TakeAll() {
    Delivered delivered;
    const double before = ThreadCpuMs();
    for (watch_cache::SubscriberId subscriber = 1; subscriber <= subscribers_; ++subscriber) {
      for (;;) {
        pb::WatchResponse response;
        if (!relay_.Take(Time(4), subscriber, kMostMessageBytes, &response)) break;
        delivered.bytes += static_cast<double>(response.SerializeAsString().size());
        delivered.events += response.events_size();
      }
    }
    delivered.cpu_ms = ThreadCpuMs() - before;
    return delivered;
  }

  // CPU in ms and bytes of the pages of a whole list.
  Delivered List() {
    Delivered listed;
    const double before = ThreadCpuMs();
    std::string from = kPrefix;
    for (bool more = true; more;) {
      pb::RangeRequest request;
      request.set_key(from);
      request.set_range_end(etcd::PrefixRangeEnd(kPrefix));
      request.set_limit(1000);
      request.set_serializable(true);
      actions_.clear();
      relay_.Read(Time(5), ++reads_, request, &actions_);
      more = false;
      for (const Relay::Action& action : actions_) {
        const auto* answer = std::get_if<Relay::AnswerRead>(&action);
        if (!answer || !answer->status.ok() || answer->response.kvs_size() == 0) continue;
        listed.bytes += static_cast<double>(answer->response.SerializeAsString().size());
        listed.events += answer->response.kvs_size();
        from = answer->response.kvs(answer->response.kvs_size() - 1).key() + std::string(1, '\0');
        more = answer->response.more();
      }
    }
    actions_.clear();
    listed.cpu_ms = ThreadCpuMs() - before;
    return listed;
  }

  Relay::Status status() const { return relay_.status(); }
  double load_ms = 0, moved_bytes = 0;

 private:
  Relay relay_;
  Relay::Actions actions_;
  std::int64_t revision_ = kFirstRevision;
  watch_cache::SubscriberId subscribers_ = 0;
  watch_cache::ReadId reads_ = 0;
};

void MeasureState(Report& report) {
  Series memory("relay: memory of the cache", "bytes", "keys");
  Series load("relay: a snapshot taken in, CPU", "ms", "keys");
  Series list("relay: a whole list read by one reader, CPU", "ms", "keys");
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    for (const int keys : kKeySizes) {
      const std::size_t live = LiveBytes();
      RelayRig rig(keys);
      memory.Add(keys, static_cast<double>(LiveBytes() - live));
      load.Add(keys, rig.load_ms);
      const RelayRig::Delivered listed = rig.List();
      list.Add(keys, listed.cpu_ms);
      report.checks.Expect(listed.events == keys, "relay: a list is not whole");
    }
  }
  report.Fit(memory, "relay_bytes_per_key");
  report.Fit(load, "relay_snapshot_ms_per_key");
  report.Fit(list, "relay_list_ms_per_key");
}

void MeasureWindow(Report& report) {
  Series window("relay: memory of the window", "bytes", "past events");
  for (const int events : {1000, 3000, 10000, 30000}) {
    RelayRig rig(kBackends);
    const std::size_t live = LiveBytes();
    rig.PutMs(0, events);
    report.checks.Expect(rig.status().window_events == static_cast<std::size_t>(events),
                         "relay: the window is not whole");
    window.Add(events, static_cast<double>(LiveBytes()) - static_cast<double>(live));
  }
  report.Fit(window, "relay_bytes_per_window_event");
}

void MeasureSubscribers(Report& report) {
  Series memory("relay: memory of subscribers", "bytes", "subscribers");
  Series subscribe("relay: subscribers taken on, CPU", "ms", "subscribers");
  Series event("relay: one event to all, CPU", "ms", "subscribers");
  Series burst("relay: 4,583 events to each, CPU", "ms", "subscribers");
  Series burst_bytes("relay: 4,583 events to each", "bytes", "subscribers");
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    for (const int subscribers : kSubscriberSizes) {
      RelayRig rig(10000);
      const std::size_t live = LiveBytes();
      const double before = ThreadCpuMs();
      rig.Subscribe(subscribers);
      subscribe.Add(subscribers, ThreadCpuMs() - before);
      memory.Add(subscribers, static_cast<double>(LiveBytes()) - static_cast<double>(live));
      double took = 0;
      double events = 0;
      for (int i = 0; i < kSingleEvents; ++i) {
        took += rig.PutMs(i, 1);
        const RelayRig::Delivered delivered = rig.TakeAll();
        took += delivered.cpu_ms;
        events += delivered.events;
      }
      event.Add(subscribers, took / kSingleEvents);
      report.checks.Expect(events == static_cast<double>(subscribers) * kSingleEvents,
                           "relay: subscribers were not told all");
    }
    for (const int subscribers : kBurstSubscribers) {
      RelayRig rig(10000);
      rig.Subscribe(subscribers);
      const double put = rig.PutMs(0, kBurst);
      const RelayRig::Delivered delivered = rig.TakeAll();
      burst.Add(subscribers, put + delivered.cpu_ms);
      burst_bytes.Add(subscribers, delivered.bytes);
      report.checks.Expect(delivered.events == static_cast<double>(subscribers) * kBurst,
                           "relay: subscribers were not told a zone's backends");
    }
  }
  report.Fit(memory, "relay_bytes_per_subscriber");
  report.Fit(subscribe, "relay_subscribe_ms_per_subscriber");
  report.Fit(event, "relay_event_ms_per_subscriber");
  report.Fit(burst, "relay_burst_ms_per_subscriber");
  report.Fit(burst_bytes, "relay_burst_bytes_per_subscriber");
}

}  // namespace

void MeasureRelay(Report& report) {
  MeasureState(report);
  MeasureWindow(report);
  MeasureSubscribers(report);
}

}  // namespace badgerbridge::bench
