// SPDX-License-Identifier: Apache-2.0
/// \file
/// The requests that wait for a backend.
#ifndef BADGERBRIDGE_BALANCER_REQUEST_QUEUE_H_
#define BADGERBRIDGE_BALANCER_REQUEST_QUEUE_H_

#include <cstddef>
#include <set>
#include <tuple>

#include "badgerbridge/balancer.h"
#include "balancer/request.h"

namespace badgerbridge::balancer {

/// Queued requests, those of the highest priority first; of equal priority the newest first, since an
/// overloaded proxy that took the oldest would send only what has hardly any of its time left.
class RequestQueue {
 public:
  /// Adds a request that is not queued.
  void Enqueue(Request& request) {
    request.queued = true;
    queue_.insert(PositionOf(request));
  }

  /// Removes a request, if it is queued.
  void Dequeue(Request& request) {
    if (request.queued) queue_.erase(PositionOf(request));
    request.queued = false;
  }

  /// Calls `dispatch` with the id of each queued request, in order, until it has returned false
  /// kMaxFailures times. `dispatch` may remove the request that it is called with, and no other.
  template <typename Dispatch>
  void DispatchInOrder(Dispatch dispatch) {
    int failures = 0;
    for (auto next = queue_.begin(); next != queue_.end() && failures < kMaxFailures;) {
      const RequestId id = next->id;
      ++next;
      if (!dispatch(id)) ++failures;
    }
  }

  std::size_t size() const { return queue_.size(); }  ///< Number of queued requests.

 private:
  static constexpr int kMaxFailures = 8;  // requests tried although there is capacity for none

  struct Position {
    double priority = 0;
    TimePoint arrived_at{};
    RequestId id = 0;

    bool operator<(const Position& other) const {
      return std::tie(other.priority, other.arrived_at, id) < std::tie(priority, arrived_at, other.id);
    }
  };

  static Position PositionOf(const Request& request) {
    return {request.priority, request.arrived_at, request.id};
  }

  std::set<Position> queue_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_REQUEST_QUEUE_H_
