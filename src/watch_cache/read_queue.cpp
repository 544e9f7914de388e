// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/read_queue.h"

#include <algorithm>
#include <utility>

#include "watch_cache/actions.h"

namespace badgerbridge::watch_cache {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Status;

// Interval between progress requests while reads wait for the cache to reach their revision.
constexpr Time kProgressRetryInterval{100};

std::string FormatTime(Time time) { return std::to_string(time.count()) + " ms"; }

}  // namespace

ReadQueue::ReadQueue(const Settings& settings)
    : timeout_(settings.read_timeout),
      tokens_per_second_(settings.list_bytes_per_second),
      max_list_tokens_(std::max(1.0, static_cast<double>(settings.list_burst_bytes))),
      list_tokens_(max_list_tokens_) {}

bool ReadQueue::IsList(const pb::RangeRequest& request) {
  return !request.range_end().empty() && !request.count_only();
}

bool ReadQueue::HasReached(const Target& target, const CachePosition& position) {
  return position.known && position.cluster_id == target.cluster_id && position.revision >= target.revision &&
         position.history >= target.min_history;
}

void ReadQueue::Add(Time now, ReadId read, const pb::RangeRequest& request, const CachePosition& position,
                    Actions* actions) {
  const ArrivalNumber arrival = next_arrival_++;
  reads_.emplace(arrival, WaitingRead{read, request, now + timeout_, {}});
  arrivals_.emplace(read, arrival);
  if (!request.serializable()) {
    unconfirmed_.push_back(arrival);
    IssueConfirmation(now, position, actions);
  } else if (position.known) {
    MakeReady(arrival);
  } else {
    awaiting_snapshot_.push_back(arrival);
  }
}

void ReadQueue::Cancel(ReadId read) {
  const auto found = arrivals_.find(read);
  if (found == arrivals_.end()) return;
  reads_.erase(found->second);
  arrivals_.erase(found);
}

// ---- confirmations --------------------------------------------------------------------------------------

void ReadQueue::IssueConfirmation(Time now, const CachePosition& position, Actions* actions) {
  if (confirmation_) return;
  std::erase_if(unconfirmed_, [this](ArrivalNumber arrival) { return !reads_.count(arrival); });
  if (unconfirmed_.empty()) return;
  confirmation_ = Confirmation{next_confirmation_++, now, position, std::exchange(unconfirmed_, {})};
  ++confirmation_count_;
  Append<WatchCache::ConfirmRevision>(actions, confirmation_->id);
}

void ReadQueue::RevisionConfirmed(Time now, std::uint64_t confirmation, const Status& status,
                                  const pb::ResponseHeader& header, const CachePosition& position,
                                  Actions* actions) {
  if (!confirmation_ || confirmation_->id != confirmation) return;  // it has timed out
  const Confirmation confirmed = *std::exchange(confirmation_, std::nullopt);
  if (!status.ok()) {
    for (const ArrivalNumber arrival : confirmed.reads) {
      Fail(arrival, Code::kUnavailable, "the upstream does not confirm a revision: " + status.ToString(),
           actions);
    }
    IssueConfirmation(now, position, actions);
    return;
  }
  const Target target = TargetOf(header, confirmed.position);
  for (const ArrivalNumber arrival : confirmed.reads) {
    ConfirmRead(arrival, target, confirmed.position, position);
  }
  if (!awaiting_target_.empty()) RequestProgress(now, actions);
  IssueConfirmation(now, position, actions);
}

ReadQueue::Target ReadQueue::TargetOf(const pb::ResponseHeader& header,
                                      const CachePosition& position_at_issue) {
  Target target{header.cluster_id(), header.revision(), 0};
  const bool is_same_history =
      !position_at_issue.known || (header.cluster_id() == position_at_issue.cluster_id &&
                                   header.revision() >= position_at_issue.revision);
  // Otherwise the source has replaced the history that the cache held at issue, and the read has to wait for
  // a newer history.
  if (!is_same_history) target.min_history = position_at_issue.history + 1;
  return target;
}

void ReadQueue::ConfirmRead(ArrivalNumber arrival, const Target& target,
                            const CachePosition& position_at_issue, const CachePosition& position) {
  const auto read = reads_.find(arrival);
  if (read == reads_.end()) return;
  read->second.target = target;
  const bool was_replaced_meanwhile = position.history != position_at_issue.history;
  if (was_replaced_meanwhile && !HasReached(target, position)) {
    unconfirmed_.push_back(arrival);
  } else {
    AwaitTarget(arrival, position);
  }
}

void ReadQueue::AwaitTarget(ArrivalNumber arrival, const CachePosition& position) {
  if (HasReached(reads_.at(arrival).target, position)) {
    MakeReady(arrival);
  } else {
    awaiting_target_.push_back(arrival);
  }
}

void ReadQueue::MakeReady(ArrivalNumber arrival) {
  if (IsList(reads_.at(arrival).request)) {
    ready_lists_.push_back(arrival);
  } else {
    ready_.push_back(arrival);
  }
}

// ---- updates of the cache -------------------------------------------------------------------------------

void ReadQueue::CacheChanged(Time now, const CachePosition& position, bool history_replaced,
                             Actions* actions) {
  for (const ArrivalNumber arrival : std::exchange(awaiting_snapshot_, {})) {
    if (reads_.count(arrival)) MakeReady(arrival);
  }
  if (history_replaced) InvalidateReadyLists();
  RecheckReadsAwaitingTarget(position, history_replaced);
  IssueConfirmation(now, position, actions);
}

// Linearizable lists that wait for tokens were confirmed for the replaced history and need a new
// confirmation.
void ReadQueue::InvalidateReadyLists() {
  for (const ArrivalNumber arrival : std::exchange(ready_lists_, {})) {
    const auto read = reads_.find(arrival);
    if (read == reads_.end()) continue;
    if (read->second.request.serializable()) {
      ready_lists_.push_back(arrival);
    } else {
      unconfirmed_.push_back(arrival);
    }
  }
}

void ReadQueue::RecheckReadsAwaitingTarget(const CachePosition& position, bool history_replaced) {
  for (const ArrivalNumber arrival : std::exchange(awaiting_target_, {})) {
    const auto read = reads_.find(arrival);
    if (read == reads_.end()) continue;
    if (history_replaced && !HasReached(read->second.target, position)) {
      unconfirmed_.push_back(arrival);
    } else {
      AwaitTarget(arrival, position);
    }
  }
}

void ReadQueue::RequestProgress(Time now, Actions* actions) {
  progress_requested_at_ = now;
  Append<WatchCache::RequestUpstreamProgress>(actions);
}

void ReadQueue::Fail(ArrivalNumber arrival, Code code, std::string reason, Actions* actions) {
  const auto read = reads_.find(arrival);
  if (read == reads_.end()) return;
  const ReadId id = read->second.read;
  arrivals_.erase(id);
  reads_.erase(read);
  Append<WatchCache::AnswerRead>(actions, id, Status{code, Ending::kStatus, std::move(reason)},
                                 pb::RangeResponse());
}

// ---- timers ---------------------------------------------------------------------------------------------

void ReadQueue::Tick(Time now, const CachePosition& position, const std::string& upstream_error,
                     Actions* actions) {
  AbandonExpiredConfirmation(now);
  FailExpiredReads(now, upstream_error, actions);
  RemoveAnsweredReads();
  if (!awaiting_target_.empty() && now - progress_requested_at_ >= kProgressRetryInterval) {
    RequestProgress(now, actions);
  }
  IssueConfirmation(now, position, actions);
}

// After a confirmation has timed out, its reads share the next one.
void ReadQueue::AbandonExpiredConfirmation(Time now) {
  if (!confirmation_ || now - confirmation_->issued_at < timeout_) return;
  const std::vector<ArrivalNumber> reads = std::exchange(confirmation_, std::nullopt)->reads;
  unconfirmed_.insert(unconfirmed_.begin(), reads.begin(), reads.end());
}

void ReadQueue::FailExpiredReads(Time now, const std::string& upstream_error, Actions* actions) {
  while (!reads_.empty() && reads_.begin()->second.deadline <= now) {
    std::string reason = "not served within " + FormatTime(timeout_);
    if (IsList(reads_.begin()->second.request)) reason += " (lists wait their turn)";
    if (!upstream_error.empty()) reason += "; the upstream: " + upstream_error;
    Fail(reads_.begin()->first, Code::kUnavailable, std::move(reason), actions);
  }
}

void ReadQueue::RemoveAnsweredReads() {
  const auto is_answered = [this](ArrivalNumber arrival) { return !reads_.count(arrival); };
  std::erase_if(awaiting_target_, is_answered);
  std::erase_if(awaiting_snapshot_, is_answered);
  std::erase_if(ready_lists_, is_answered);
}

void ReadQueue::RefillListTokens(Time now) {
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  const double refilled = list_tokens_ + std::max(0.0, seconds) * tokens_per_second_;
  list_tokens_ = std::min(max_list_tokens_, refilled);
  refilled_at_ = now;
}

std::optional<Time> ReadQueue::NextWake() const {
  std::optional<Time> wake;
  const auto wake_at = [&wake](Time time) { wake = wake ? std::min(*wake, time) : time; };
  if (!reads_.empty()) wake_at(reads_.begin()->second.deadline);
  if (confirmation_) wake_at(confirmation_->issued_at + timeout_);
  if (!awaiting_target_.empty()) wake_at(progress_requested_at_ + kProgressRetryInterval);
  if (!ready_lists_.empty() && list_tokens_ <= 0) {
    const auto missing_ms = static_cast<std::int64_t>(-list_tokens_ / tokens_per_second_ * 1000) + 1;
    wake_at(refilled_at_ + Time(missing_ms));
  }
  return wake;
}

// ---- ready reads ----------------------------------------------------------------------------------------

std::optional<ReadQueue::ReadyRead> ReadQueue::NextReady(Time now) {
  if (auto ready = PopReady(&ready_, false)) return ready;
  RefillListTokens(now);
  if (list_tokens_ <= 0) return std::nullopt;
  return PopReady(&ready_lists_, true);
}

std::optional<ReadQueue::ReadyRead> ReadQueue::PopReady(std::deque<ArrivalNumber>* queue, bool is_list) {
  while (!queue->empty()) {
    const auto read = reads_.find(queue->front());
    queue->pop_front();
    if (read == reads_.end()) continue;
    ReadyRead ready{read->second.read, std::move(read->second.request), is_list};
    arrivals_.erase(ready.read);
    reads_.erase(read);
    return ready;
  }
  return std::nullopt;
}

}  // namespace badgerbridge::watch_cache
