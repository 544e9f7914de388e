// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The core of the watch cache: lists, events and losses of its upstream, reads of all kinds, and watches
/// that keep up, fall behind, resume, or leave.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "etcd/key_range.h"
#include "fingerprint/fingerprint.h"
#include "fingerprint/random.h"
#include "standins/etcd_store.h"
#include "watch_cache/watch_cache.h"

namespace badgerbridge::fingerprint {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Status;
using standins::EtcdStore;
using watch_cache::ReadId;
using watch_cache::SubscriberId;
using watch_cache::Time;
using watch_cache::WatchCache;

constexpr std::uint64_t kSeeds = 20;
constexpr int kSteps = 4000;
constexpr int kDrainStep = 3700;
constexpr int kKeys = 14;
constexpr char kPrefix[] = "/p/";

/// How often the runs met what they must meet, summed over the seeds.
struct Coverage {
  std::uint64_t answers = 0, failed_answers = 0, confirmations = 0, wakes = 0, ended_subscribers = 0;
  std::uint64_t progress_requests = 0, rejections = 0, messages = 0, fragments = 0, canceled = 0,
                compacted = 0;
  std::uint64_t slow = 0, merged = 0, resumed = 0, rereads = 0, waiting_reads = 0, refused = 0, drained = 0;
};

bool IsDrain(const pb::KeyValue& kv) { return kv.value().rfind("drain", 0) == 0; }

/// A watch cache between a simulated source and its readers.
class SimulatedCache {
 public:
  SimulatedCache(std::uint64_t seed, Coverage* coverage)
      : random_(seed), cache_(DrawSettings()), fingerprint_("watch_cache", seed), coverage_(coverage) {}

  void Execute() {
    for (int step = 1; step <= kSteps; ++step) {
      now_ += Time(random_.Chance(0.01) ? random_.Integer(500, 3000) : random_.Integer(0, 25));
      if (step == kDrainStep) cache_.Drain(now_, &actions_);
      TakeStep();
      EndStep();
      if (step % 25 == 0) AddStatus();
      fingerprint_.EndStep();
      if (step % (kSteps / static_cast<int>(Fingerprint::kParts)) == 0) fingerprint_.EndPart();
    }
    coverage_->drained += cache_.drained();
    fingerprint_.Check();
  }

 private:
  struct Confirmation {
    std::uint64_t number = 0;
    Time answered{0};
  };

  watch_cache::Settings DrawSettings() {
    watch_cache::Settings settings;
    settings.prefix = kPrefix;
    settings.member_id = 7;
    settings.max_window_events = static_cast<std::size_t>(random_.Integer(20, 100));
    settings.max_window_bytes = static_cast<std::size_t>(random_.Integer(3000, 30000));
    settings.max_backlog_bytes = static_cast<std::size_t>(random_.Integer(300, 2000));
    settings.max_merged_events = static_cast<std::size_t>(random_.Integer(5, 30));
    settings.max_subscribers = static_cast<std::size_t>(random_.Integer(6, 30));
    settings.max_waiting_reads = static_cast<std::size_t>(random_.Integer(3, 20));
    settings.read_timeout = Time(random_.Integer(100, 800));
    settings.progress_interval = Time(random_.Integer(100, 800));
    settings.list_bytes_per_second = random_.Between(2000, 100000);
    settings.list_burst_bytes = static_cast<std::size_t>(random_.Integer(500, 5000));
    settings.drain_period = Time(random_.Integer(500, 3000));
    settings.upstream_grace = Time(random_.Integer(50, 500));
    if (random_.Chance(0.8)) settings.must_deliver = IsDrain;
    return settings;
  }

  // ---- what happens ----

  void TakeStep() {
    const double draw = random_.Unit();
    if (draw < 0.20) {
      WriteKeys();
    } else if (draw < 0.38) {
      DeliverEvents();
    } else if (draw < 0.44) {
      if (connected_) cache_.UpstreamProgress(now_, delivered_, &actions_);
    } else if (draw < 0.46) {
      connected_ = false;
      cache_.UpstreamLost(now_, "lost", &actions_);
    } else if (draw < 0.50) {
      if (!connected_ || random_.Chance(0.1)) Connect();
    } else if (draw < 0.505) {
      ReplaceHistory();
    } else if (draw < 0.51) {
      DeliverNonsense();
    } else if (draw < 0.68) {
      Read();
    } else if (draw < 0.76) {
      Subscribe();
    } else if (draw < 0.80) {
      DisturbReaders();
    } else if (draw < 0.92) {
      TakeMessages();
    } else if (const auto wake = cache_.NextWake(); wake && random_.Chance(0.8)) {
      now_ = std::max(now_, std::min(*wake, now_ + Time(1000)));
    }
    if (random_.Chance(0.5)) cache_.Tick(now_, &actions_);
    AnswerConfirmation();
  }

  std::string DrawKey() { return kPrefix + ("k" + std::to_string(random_.Integer(10, 10 + kKeys - 1))); }

  void WriteKeys() {
    pb::TxnRequest transaction;
    std::set<std::string> written;
    for (int count = random_.Chance(0.1) ? kKeys : random_.Integer(1, 3); count > 0; --count) {
      const std::string key = random_.Chance(0.1) ? "/other" : DrawKey();
      if (!written.insert(key).second) continue;
      if (random_.Chance(0.2)) {
        transaction.add_success()->mutable_request_delete_range()->set_key(key);
        continue;
      }
      pb::PutRequest* put = transaction.add_success()->mutable_request_put();
      put->set_key(key);
      const std::string number = std::to_string(random_.Next() % 1000);
      put->set_value((random_.Chance(0.2) ? "drain" : "value") + number);
    }
    pb::TxnResponse response;
    EXPECT_TRUE(store_.Txn(transaction, &response).ok());
  }

  void Connect() {
    pb::RangeRequest all;
    all.set_key(kPrefix);
    all.set_range_end(etcd::PrefixRangeEnd(kPrefix));
    pb::RangeResponse response;
    EXPECT_TRUE(store_.Range(all, &response).ok());
    const std::vector<pb::KeyValue> kvs(response.kvs().begin(), response.kvs().end());
    connected_ = true;
    delivered_ = store_.revision();
    cache_.UpstreamSnapshot(now_, cluster_id_, delivered_, kvs, &actions_);
  }

  /// All that is new, as etcd gives it, or merged by key, as another watch cache does.
  void DeliverEvents() {
    if (!connected_ || delivered_ >= store_.revision()) return;
    std::vector<pb::Event> events =
        store_.Events(kPrefix, etcd::PrefixRangeEnd(kPrefix), delivered_ + 1, false);
    if (random_.Chance(0.2)) {
      std::set<std::string> newer;
      std::vector<pb::Event> merged;
      for (auto event = events.rbegin(); event != events.rend(); ++event) {
        if (newer.insert(event->kv().key()).second) merged.push_back(*event);
      }
      events.assign(merged.rbegin(), merged.rend());
    }
    delivered_ = store_.revision();
    cache_.UpstreamEvents(now_, delivered_, std::move(events), &actions_);
  }

  void ReplaceHistory() {
    store_ = EtcdStore();
    if (random_.Chance(0.5)) ++cluster_id_;
    for (int count = random_.Integer(0, 5); count > 0; --count) WriteKeys();
    Connect();
  }

  /// What no source would send: the cache must refuse it, and list again.
  void DeliverNonsense() {
    const int kind = random_.Integer(0, 3);
    pb::Event event;
    event.mutable_kv()->set_key(kind == 0 ? "/other" : DrawKey());
    event.mutable_kv()->set_mod_revision(kind == 1 ? 1 : delivered_ + 1);
    if (kind == 2) event.mutable_kv()->set_mod_revision(delivered_ + 9);
    if (kind == 3) return cache_.UpstreamProgress(now_, delivered_ - 1, &actions_);
    cache_.UpstreamEvents(now_, delivered_ + 1, {event}, &actions_);
  }

  // ---- readers ----

  void Read() {
    pb::RangeRequest request;
    request.set_key(random_.Chance(0.03) ? "/other" : DrawKey());
    if (random_.Chance(0.5)) {
      request.set_key(kPrefix);
      request.set_range_end(random_.Chance(0.8) ? etcd::PrefixRangeEnd(kPrefix) : DrawKey());
    }
    request.set_serializable(random_.Chance(0.4));
    request.set_limit(random_.Chance(0.3) ? random_.Integer(1, 6) : 0);
    request.set_keys_only(random_.Chance(0.2));
    request.set_count_only(random_.Chance(0.1));
    if (random_.Chance(0.2))
      request.set_revision(std::max<std::int64_t>(1, delivered_ + random_.Integer(-30, 2)));
    if (random_.Chance(0.1)) request.set_min_mod_revision(delivered_ - random_.Integer(0, 20));
    if (random_.Chance(0.1)) request.set_max_mod_revision(delivered_ - random_.Integer(0, 20));
    if (random_.Chance(0.2)) {
      request.set_sort_order(static_cast<pb::RangeRequest::SortOrder>(random_.Integer(0, 2)));
      request.set_sort_target(static_cast<pb::RangeRequest::SortTarget>(random_.Integer(0, 4)));
    }
    cache_.Read(now_, ++last_read_, request, &actions_);
  }

  void AnswerConfirmation() {
    if (!confirmation_ || now_ < confirmation_->answered) return;
    const Confirmation confirmation = *std::exchange(confirmation_, std::nullopt);
    Status status;
    if (!connected_ || random_.Chance(0.1)) status = {Code::kUnavailable, Ending::kLost, "lost"};
    pb::ResponseHeader header;
    header.set_cluster_id(cluster_id_);
    header.set_revision(store_.revision());
    cache_.RevisionConfirmed(now_, confirmation.number, status, header, &actions_);
  }

  void Subscribe() {
    pb::WatchCreateRequest request;
    request.set_key(kPrefix);
    request.set_range_end(etcd::PrefixRangeEnd(kPrefix));
    if (random_.Chance(0.3)) {
      request.set_key(DrawKey());
      request.set_range_end(random_.Chance(0.5) ? "" : kPrefix + std::string("k20"));
    }
    if (random_.Chance(0.03)) request.set_key("/other");
    if (random_.Chance(0.6))
      request.set_start_revision(std::max<std::int64_t>(0, delivered_ + random_.Integer(-40, 3)));
    request.set_progress_notify(random_.Chance(0.5));
    request.set_prev_kv(random_.Chance(0.3));
    request.set_fragment(random_.Chance(0.5));
    if (random_.Chance(0.15))
      request.add_filters(static_cast<pb::WatchCreateRequest::FilterType>(random_.Integer(0, 1)));
    const SubscriberId subscriber = ++last_subscriber_;
    subscribers_.insert(subscriber);
    if (random_.Chance(0.3)) stalled_.insert(subscriber);
    cache_.Subscribe(now_, subscriber, request, &actions_);
  }

  SubscriberId DrawSubscriber() {
    return *std::next(subscribers_.begin(), static_cast<std::ptrdiff_t>(random_.Index(subscribers_.size())));
  }

  void DisturbReaders() {
    if (random_.Chance(0.2)) cache_.CancelRead(last_read_);
    if (subscribers_.empty()) return;
    const SubscriberId subscriber = DrawSubscriber();
    const double draw = random_.Unit();
    if (draw < 0.2) {
      Forget(subscriber);
      cache_.Unsubscribe(subscriber);
    } else if (draw < 0.5) {
      cache_.RequestProgress(now_, subscriber, &actions_);
    } else if (stalled_.erase(subscriber) == 0) {
      stalled_.insert(subscriber);
    }
  }

  void Forget(SubscriberId subscriber) {
    subscribers_.erase(subscriber);
    stalled_.erase(subscriber);
    awake_.erase(subscriber);
  }

  /// Those that have something to be sent and whose transport has room.
  void TakeMessages() {
    const std::set<SubscriberId> awake = awake_;
    for (const SubscriberId subscriber : awake) {
      if (stalled_.count(subscriber)) continue;
      for (int room = random_.Integer(1, 6); room > 0 && awake_.count(subscriber); --room)
        TakeMessage(subscriber);
    }
  }

  void TakeMessage(SubscriberId subscriber) {
    const auto most = static_cast<std::size_t>(random_.Integer(60, 600));
    std::optional<pb::WatchResponse> message = cache_.NextMessage(now_, subscriber, most);
    fingerprint_.digest().Add(subscriber, message.has_value());
    if (!message) {
      awake_.erase(subscriber);
      return;
    }
    pb::WatchResponse& response = *message;
    fingerprint_.digest().Add(!response.cancel_reason().empty());
    response.clear_cancel_reason();  // a message for people
    fingerprint_.digest().Add(response.SerializeAsString());
    ++coverage_->messages;
    coverage_->fragments += response.fragment();
    coverage_->canceled += response.canceled();
    coverage_->compacted += response.compact_revision() > 0;
    if (response.canceled()) Forget(subscriber);
  }

  // ---- what the cache does; the first number that each adds stands for the kind of action ----

  void EndStep() {
    WatchCache::Actions actions = std::exchange(actions_, {});
    fingerprint_.digest().Add(actions.size());
    SortWakes(&actions);
    for (const WatchCache::Action& action : actions)
      std::visit([this](const auto& act) { Perform(act); }, action);
    const auto wake = cache_.NextWake();
    fingerprint_.digest().Add(wake.has_value(), wake.value_or(Time(0)));
  }

  /// Subscribers that are woken one right after the other come in no particular order (that of a hash table).
  static void SortWakes(WatchCache::Actions* actions) {
    const auto is_wake = [](const WatchCache::Action& action) {
      return std::holds_alternative<WatchCache::WakeSubscriber>(action);
    };
    auto begin = actions->begin();
    while (begin != actions->end()) {
      begin = std::find_if(begin, actions->end(), is_wake);
      const auto end = std::find_if_not(begin, actions->end(), is_wake);
      std::sort(begin, end, [](const WatchCache::Action& left, const WatchCache::Action& right) {
        return std::get<WatchCache::WakeSubscriber>(left).subscriber <
               std::get<WatchCache::WakeSubscriber>(right).subscriber;
      });
      begin = end;
    }
  }

  void AddStatusCode(const Status& status) {
    fingerprint_.digest().Add(status.code, status.ending, !status.message.empty());
  }

  void Perform(const WatchCache::AnswerRead& action) {
    fingerprint_.digest().Add(1, action.read);
    AddStatusCode(action.status);
    ++(action.status.ok() ? coverage_->answers : coverage_->failed_answers);
    if (action.status.ok()) fingerprint_.digest().Add(action.response.SerializeAsString());
  }
  void Perform(const WatchCache::ConfirmRevision& action) {
    fingerprint_.digest().Add(2, action.confirmation);
    ++coverage_->confirmations;
    confirmation_.reset();
    if (random_.Chance(0.95)) confirmation_ = {action.confirmation, now_ + Time(random_.Integer(0, 60))};
  }
  void Perform(const WatchCache::WakeSubscriber& action) {
    fingerprint_.digest().Add(3, action.subscriber);
    ++coverage_->wakes;
    awake_.insert(action.subscriber);
  }
  void Perform(const WatchCache::EndSubscriber& action) {
    fingerprint_.digest().Add(4, action.subscriber);
    AddStatusCode(action.status);
    ++coverage_->ended_subscribers;
    Forget(action.subscriber);
  }
  void Perform(const WatchCache::RequestUpstreamProgress&) {
    fingerprint_.digest().Add(5);
    ++coverage_->progress_requests;
    if (connected_ && delivered_ == store_.revision()) cache_.UpstreamProgress(now_, delivered_, &actions_);
  }
  void Perform(const WatchCache::RejectUpstream& action) {
    fingerprint_.digest().Add(6, !action.reason.empty());
    ++coverage_->rejections;
    connected_ = false;
  }

  void AddStatus() {
    const WatchCache::Status status = cache_.status();
    Digest& digest = fingerprint_.digest();
    digest.Add(status.connected, status.cluster_id, status.revision, status.compact_revision,
               status.last_upstream_message);
    digest.Add(status.keys, status.state_bytes, status.window_events, status.window_bytes,
               status.subscribers);
    digest.Add(status.slow_subscribers, status.merged_events, status.waiting_reads, status.reads,
               status.lists);
    digest.Add(status.confirmations, status.snapshots, status.resumed, status.compacted, status.rejected);
    digest.Add(status.upstream_rejections, !status.last_upstream_error.empty());
    coverage_->slow += status.slow_subscribers;
    coverage_->merged += status.merged_events;
    coverage_->resumed += status.resumed;
    coverage_->rereads += status.compacted;
    coverage_->waiting_reads += status.waiting_reads;
    coverage_->refused += status.rejected;
  }

  Random random_;
  WatchCache cache_;
  EtcdStore store_;
  std::uint64_t cluster_id_ = 1;
  bool connected_ = false;      // the cache to the source
  std::int64_t delivered_ = 0;  // revision up to which the cache was told
  Time now_{1000};
  WatchCache::Actions actions_;  // of the step that is under way
  ReadId last_read_ = 0;
  SubscriberId last_subscriber_ = 0;
  std::set<SubscriberId> subscribers_, stalled_, awake_;
  std::optional<Confirmation> confirmation_;  // under way
  Fingerprint fingerprint_;
  Coverage* coverage_;
};

TEST(WatchCacheFingerprint, RandomReadersAndFaults_SameMessagesAsRecorded) {
  Coverage coverage;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) SimulatedCache(seed, &coverage).Execute();
  EXPECT_GT(coverage.answers, 1000U);
  EXPECT_GT(coverage.failed_answers, 100U);
  EXPECT_GT(coverage.confirmations, 100U);
  EXPECT_GT(coverage.wakes, 1000U);
  EXPECT_GT(coverage.ended_subscribers, 100U);
  EXPECT_GT(coverage.progress_requests, 10U);
  EXPECT_GT(coverage.rejections, 10U);
  EXPECT_GT(coverage.messages, 1000U);
  EXPECT_GT(coverage.fragments, 100U);
  EXPECT_GT(coverage.canceled, 50U);
  EXPECT_GT(coverage.compacted, 50U);
  EXPECT_GT(coverage.slow, 50U);
  EXPECT_GT(coverage.merged, 50U);
  EXPECT_GT(coverage.resumed, 50U);
  EXPECT_GT(coverage.rereads, 50U);
  EXPECT_GT(coverage.waiting_reads, 100U);
  EXPECT_GT(coverage.refused, 50U);
  EXPECT_GT(coverage.drained, 5U);
}

}  // namespace
}  // namespace badgerbridge::fingerprint
