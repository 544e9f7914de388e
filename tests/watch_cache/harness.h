// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Test harness of the watch cache's core: calls it in virtual time and records its actions by kind.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_HARNESS_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_HARNESS_H_

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "watch_cache/watch_cache.h"

namespace badgerbridge::watch_cache {

namespace pb = etcdserverpb;
using etcd::Code;

inline const std::string kPrefix = "/p/";
inline const std::string kPrefixEnd = "/p0";
inline constexpr std::uint64_t kCluster = 77;

inline pb::KeyValue MakeKeyValue(const std::string& key, const std::string& value, std::int64_t mod,
                                 std::int64_t create = 0, std::int64_t version = 1) {
  pb::KeyValue kv;
  kv.set_key(key);
  kv.set_value(value);
  kv.set_mod_revision(mod);
  kv.set_create_revision(create == 0 ? mod : create);
  kv.set_version(version);
  return kv;
}
inline pb::Event Put(const std::string& key, const std::string& value, std::int64_t mod) {
  pb::Event event;
  *event.mutable_kv() = MakeKeyValue(key, value, mod);
  return event;
}
inline pb::Event Deletion(const std::string& key, std::int64_t mod) {
  pb::Event event;
  event.set_type(pb::Event::DELETE);
  event.mutable_kv()->set_key(key);
  event.mutable_kv()->set_mod_revision(mod);
  return event;
}
inline pb::ResponseHeader Header(std::int64_t revision, std::uint64_t cluster = kCluster) {
  pb::ResponseHeader header;
  header.set_cluster_id(cluster);
  header.set_revision(revision);
  return header;
}
inline pb::RangeRequest ListAll() {
  pb::RangeRequest request;
  request.set_key(kPrefix);
  request.set_range_end(kPrefixEnd);
  return request;
}
inline pb::RangeRequest Serializable(pb::RangeRequest request) {
  request.set_serializable(true);
  return request;
}
inline pb::RangeRequest Get(const std::string& key) {
  pb::RangeRequest request;
  request.set_key(key);
  return request;
}
inline pb::WatchCreateRequest WatchAll(std::int64_t start_revision = 0) {
  pb::WatchCreateRequest request;
  request.set_key(kPrefix);
  request.set_range_end(kPrefixEnd);
  request.set_start_revision(start_revision);
  return request;
}
inline bool IsDrain(const pb::KeyValue& kv) { return kv.value().rfind("drain", 0) == 0; }

inline Settings TestSettings() {
  Settings settings;
  settings.prefix = kPrefix;
  settings.member_id = 5;
  settings.must_deliver = IsDrain;
  return settings;
}

/// "PUT a=1@5" or "DELETE a@6", keys without the prefix.
inline std::string Text(const pb::Event& event) {
  const std::string key = event.kv().key().substr(kPrefix.size());
  const std::string at = "@" + std::to_string(event.kv().mod_revision());
  if (event.type() == pb::Event::DELETE) return "DELETE " + key + at;
  return "PUT " + key + "=" + event.kv().value() + at;
}
inline std::vector<std::string> Text(const pb::WatchResponse& response) {
  std::vector<std::string> texts;
  for (const pb::Event& event : response.events()) texts.push_back(Text(event));
  return texts;
}
/// "a=1 b=2", keys without the prefix.
inline std::string Text(const pb::RangeResponse& response) {
  std::string text;
  for (const pb::KeyValue& kv : response.kvs())
    text += (text.empty() ? "" : " ") + kv.key().substr(kPrefix.size()) + "=" + kv.value();
  return text;
}

/// Calls a watch cache in virtual time and records its actions.
class Harness {
 public:
  explicit Harness(Settings settings = TestSettings()) : cache_(std::move(settings)) {}

  WatchCache& cache() { return cache_; }
  Time now() const { return now_; }
  std::map<ReadId, WatchCache::AnswerRead> answers;
  std::vector<std::uint64_t> confirmations;
  std::vector<SubscriberId> woken;
  std::map<SubscriberId, etcd::Status> ended;
  std::vector<std::string> rejected;
  int progress_requests = 0;

  void Snapshot(std::int64_t revision, std::vector<pb::KeyValue> kvs, std::uint64_t cluster = kCluster) {
    CallCore(
        [&](auto* actions) { cache_.UpstreamSnapshot(now_, cluster, revision, std::move(kvs), actions); });
  }
  void Events(std::int64_t revision, std::vector<pb::Event> events) {
    CallCore([&](auto* actions) { cache_.UpstreamEvents(now_, revision, std::move(events), actions); });
  }
  /// One event, in a response at the event's revision.
  void Event(const pb::Event& event) { Events(event.kv().mod_revision(), {event}); }
  void Progress(std::int64_t revision) {
    CallCore([&](auto* actions) { cache_.UpstreamProgress(now_, revision, actions); });
  }
  void Lost() {
    CallCore([&](auto* actions) { cache_.UpstreamLost(now_, "connection refused", actions); });
  }
  void Confirm(std::uint64_t confirmation, const pb::ResponseHeader& header, etcd::Status status = {}) {
    CallCore([&](auto* actions) { cache_.RevisionConfirmed(now_, confirmation, status, header, actions); });
  }
  void Read(ReadId read, const pb::RangeRequest& request) {
    CallCore([&](auto* actions) { cache_.Read(now_, read, request, actions); });
  }
  /// A serializable read, which is answered at once.
  WatchCache::AnswerRead ReadNow(const pb::RangeRequest& request) {
    const ReadId read = 1'000'000 + next_read_++;
    Read(read, Serializable(request));
    const auto found = answers.find(read);
    if (found == answers.end()) return {read, {Code::kUnknown, etcd::Ending::kStatus, "not answered"}, {}};
    return found->second;
  }
  std::string StateNow() { return Text(ReadNow(ListAll()).response); }
  void Subscribe(SubscriberId subscriber, const pb::WatchCreateRequest& request) {
    CallCore([&](auto* actions) { cache_.Subscribe(now_, subscriber, request, actions); });
  }
  void RequestProgress(SubscriberId subscriber) {
    CallCore([&](auto* actions) { cache_.RequestProgress(now_, subscriber, actions); });
  }
  std::optional<pb::WatchResponse> NextMessage(SubscriberId subscriber, std::size_t max_bytes = 1 << 20) {
    return cache_.NextMessage(now_, subscriber, max_bytes);
  }
  std::vector<pb::WatchResponse> AllMessages(SubscriberId subscriber, std::size_t max_bytes = 1 << 20) {
    std::vector<pb::WatchResponse> all;
    while (auto response = NextMessage(subscriber, max_bytes)) all.push_back(std::move(*response));
    return all;
  }
  /// Subscribes, and expects the message that confirms the watch.
  void Watch(SubscriberId subscriber, const pb::WatchCreateRequest& request) {
    Subscribe(subscriber, request);
    const auto created = NextMessage(subscriber);
    ASSERT_TRUE(created && created->created() && !created->canceled());
  }
  /// The texts of all events, by message.
  std::vector<std::vector<std::string>> EventTexts(SubscriberId subscriber) {
    std::vector<std::vector<std::string>> all;
    for (const pb::WatchResponse& response : AllMessages(subscriber)) all.push_back(Text(response));
    return all;
  }
  void Advance(Time by) {
    const Time until = now_ + by;
    for (auto wake = cache_.NextWake(); wake && *wake <= until; wake = cache_.NextWake()) {
      ASSERT_LT(++ticks_, 1'000'000) << "NextWake never moves past now";
      now_ = std::max(now_, *wake);
      Tick();
    }
    now_ = until;
    Tick();
  }
  void Tick() {
    CallCore([&](auto* actions) { cache_.Tick(now_, actions); });
  }
  void Drain() {
    CallCore([&](auto* actions) { cache_.Drain(now_, actions); });
  }

 private:
  template <typename Step>
  void CallCore(Step step) {
    WatchCache::Actions actions;
    step(&actions);
    for (WatchCache::Action& action : actions) std::visit([this](auto& one) { Perform(one); }, action);
  }
  void Perform(WatchCache::AnswerRead& action) {
    EXPECT_TRUE(answers.emplace(action.read, action).second) << "answered twice: " << action.read;
  }
  void Perform(const WatchCache::ConfirmRevision& action) { confirmations.push_back(action.confirmation); }
  void Perform(const WatchCache::WakeSubscriber& action) { woken.push_back(action.subscriber); }
  void Perform(const WatchCache::EndSubscriber& action) {
    EXPECT_TRUE(ended.emplace(action.subscriber, action.status).second);
  }
  void Perform(const WatchCache::RequestUpstreamProgress&) { ++progress_requests; }
  void Perform(const WatchCache::RejectUpstream& action) { rejected.push_back(action.reason); }

  WatchCache cache_;
  Time now_{1000};
  ReadId next_read_ = 0;
  int ticks_ = 0;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_HARNESS_H_
