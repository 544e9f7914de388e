// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/reads.h"

#include <algorithm>
#include <utility>

#include "watch_cache/actions.h"

namespace badgerbridge::watch_cache {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Status;

// How often the upstream's watch is asked for progress while reads wait for the cache.
constexpr Time kProgressRetry{100};

std::string Text(Time time) { return std::to_string(time.count()) + " ms"; }

}  // namespace

Reads::Reads(const Settings& settings)
    : timeout_(settings.read_timeout),
      rate_(settings.list_bytes_per_second),
      burst_(std::max(1.0, static_cast<double>(settings.list_burst_bytes))),
      tokens_(burst_) {}

bool Reads::IsList(const pb::RangeRequest& request) {
  return !request.range_end().empty() && !request.count_only();
}

bool Reads::Reached(const Target& target, const CachePosition& position) {
  return position.known && position.cluster_id == target.cluster_id && position.revision >= target.revision &&
         position.history >= target.history;
}

void Reads::Add(Time now, ReadId read, const pb::RangeRequest& request, const CachePosition& position,
                Actions* actions) {
  const Order order = next_order_++;
  reads_.emplace(order, Waiting{read, request, now + timeout_, {}});
  orders_.emplace(read, order);
  if (!request.serializable()) {
    unconfirmed_.push_back(order);
    return Confirm(now, position, actions);
  }
  if (position.known) {
    MakeReady(order);
  } else {
    without_state_.push_back(order);
  }
}

void Reads::Cancel(ReadId read) {
  const auto found = orders_.find(read);
  if (found == orders_.end()) return;
  reads_.erase(found->second);
  orders_.erase(found);
}

void Reads::Confirm(Time now, const CachePosition& position, Actions* actions) {
  if (confirmation_) return;
  std::erase_if(unconfirmed_, [this](Order order) { return !reads_.count(order); });
  if (unconfirmed_.empty()) return;
  confirmation_ = Confirmation{next_confirmation_++, now, position, std::exchange(unconfirmed_, {})};
  ++confirmations_;
  Append<Relay::ConfirmRevision>(actions, confirmation_->id);
}

void Reads::Confirmed(Time now, std::uint64_t confirmation, const Status& status,
                      const pb::ResponseHeader& header, const CachePosition& position, Actions* actions) {
  if (!confirmation_ || confirmation_->id != confirmation) return;  // was given up
  const Confirmation confirmed = *std::exchange(confirmation_, std::nullopt);
  if (!status.ok()) {
    for (const Order order : confirmed.reads)
      Fail(order, Code::kUnavailable, "the upstream does not confirm a revision: " + status.Text(), actions);
    return Confirm(now, position, actions);
  }
  Target target{header.cluster_id(), header.revision(), 0};
  const CachePosition& then = confirmed.position;
  const bool same_history =
      !then.known || (header.cluster_id() == then.cluster_id && header.revision() >= then.revision);
  if (!same_history) target.history = then.history + 1;  // what the cache held then is void
  for (const Order order : confirmed.reads) {
    const auto read = reads_.find(order);
    if (read == reads_.end()) continue;
    read->second.target = target;
    if (!Reached(target, position) && position.history != then.history) {
      unconfirmed_.push_back(order);  // replaced while it was under way
    } else {
      Settle(order, position);
    }
  }
  if (!behind_.empty()) RequestProgress(now, actions);
  Confirm(now, position, actions);
}

void Reads::Settle(Order order, const CachePosition& position) {
  if (Reached(reads_.at(order).target, position)) {
    MakeReady(order);
  } else {
    behind_.push_back(order);
  }
}

void Reads::MakeReady(Order order) {
  (IsList(reads_.at(order).request) ? ready_lists_ : ready_).push_back(order);
}

void Reads::CacheChanged(Time now, const CachePosition& position, bool replaced, Actions* actions) {
  for (const Order order : std::exchange(without_state_, {})) {
    if (reads_.count(order)) MakeReady(order);
  }
  if (replaced) {
    // Lists that were due were confirmed for the old history.
    for (const Order order : std::exchange(ready_lists_, {})) {
      const auto read = reads_.find(order);
      if (read == reads_.end()) continue;
      if (read->second.request.serializable()) {
        ready_lists_.push_back(order);
      } else {
        unconfirmed_.push_back(order);
      }
    }
  }
  for (const Order order : std::exchange(behind_, {})) {
    const auto read = reads_.find(order);
    if (read == reads_.end()) continue;
    if (replaced && !Reached(read->second.target, position)) {
      unconfirmed_.push_back(order);
    } else {
      Settle(order, position);
    }
  }
  Confirm(now, position, actions);
}

void Reads::RequestProgress(Time now, Actions* actions) {
  progress_requested_ = now;
  Append<Relay::RequestUpstreamProgress>(actions);
}

void Reads::Fail(Order order, Code code, std::string why, Actions* actions) {
  const auto read = reads_.find(order);
  if (read == reads_.end()) return;
  const ReadId id = read->second.read;
  orders_.erase(id);
  reads_.erase(read);
  Append<Relay::AnswerRead>(actions, id, Status{code, Ending::kStatus, std::move(why)}, pb::RangeResponse());
}

void Reads::Tick(Time now, const CachePosition& position, const std::string& upstream_error,
                 Actions* actions) {
  if (confirmation_ && now - confirmation_->issued >= timeout_) {
    std::vector<Order> reads = std::exchange(confirmation_, std::nullopt)->reads;
    unconfirmed_.insert(unconfirmed_.begin(), reads.begin(), reads.end());
  }
  const auto over = [&] { return !reads_.empty() && reads_.begin()->second.deadline <= now; };
  while (over()) {
    const bool list = IsList(reads_.begin()->second.request);
    std::string why = "not served within " + Text(timeout_) + (list ? " (lists wait their turn)" : "");
    if (!upstream_error.empty()) why += "; the upstream: " + upstream_error;
    Fail(reads_.begin()->first, Code::kUnavailable, std::move(why), actions);
  }
  const auto gone = [this](Order order) { return !reads_.count(order); };
  std::erase_if(behind_, gone);
  std::erase_if(without_state_, gone);
  std::erase_if(ready_lists_, gone);
  if (!behind_.empty() && now - progress_requested_ >= kProgressRetry) RequestProgress(now, actions);
  Confirm(now, position, actions);
}

void Reads::Refill(Time now) {
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  tokens_ = std::min(burst_, tokens_ + std::max(0.0, seconds) * rate_);
  refilled_ = now;
}

std::optional<Time> Reads::NextWake() const {
  std::optional<Time> wake;
  const auto at = [&](Time time) { wake = wake ? std::min(*wake, time) : time; };
  if (!reads_.empty()) at(reads_.begin()->second.deadline);
  if (confirmation_) at(confirmation_->issued + timeout_);
  if (!behind_.empty()) at(progress_requested_ + kProgressRetry);
  if (!ready_lists_.empty() && tokens_ <= 0) {
    const auto missing = static_cast<std::int64_t>(-tokens_ / rate_ * 1000) + 1;
    at(refilled_ + Time(missing));
  }
  return wake;
}

std::optional<Reads::Ready> Reads::NextReady(Time now) {
  const auto next = [this](std::deque<Order>* queue) -> std::optional<Ready> {
    while (!queue->empty()) {
      const auto read = reads_.find(queue->front());
      queue->pop_front();
      if (read == reads_.end()) continue;
      Ready ready{read->second.read, std::move(read->second.request), queue == &ready_lists_};
      orders_.erase(ready.read);
      reads_.erase(read);
      return ready;
    }
    return std::nullopt;
  };
  if (auto ready = next(&ready_)) return ready;
  Refill(now);
  if (tokens_ <= 0) return std::nullopt;
  return next(&ready_lists_);
}

}  // namespace badgerbridge::watch_cache
