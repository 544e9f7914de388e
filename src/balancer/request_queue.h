// SPDX-License-Identifier: Apache-2.0
/// \file
/// The queue of requests that wait for a backend.
#ifndef BADGERBRIDGE_BALANCER_REQUEST_QUEUE_H_
#define BADGERBRIDGE_BALANCER_REQUEST_QUEUE_H_

#include <cstddef>
#include <set>
#include <tuple>

#include "badgerbridge/balancer.h"
#include "balancer/request.h"

namespace badgerbridge::balancer {

/// Queued requests by descending priority, and newest first at equal priority: in oldest-first order, an
/// overloaded proxy would send only requests that are close to their deadline.
class RequestQueue {
 public:
  /// Adds a request that is not queued.
  void Enqueue(Request& request) {
    request.queued = true;
    queue_.insert(PositionOf(request));
  }

  /// Removes a request if it is queued.
  void Dequeue(Request& request) {
    if (request.queued) queue_.erase(PositionOf(request));
    request.queued = false;
  }

  /// Calls `dispatch` with the id of each queued request in order, until it has returned false
  /// kMaxFailedDispatches times. `dispatch` may remove only the request with that id.
  template <typename Dispatch>
  void DispatchInOrder(Dispatch dispatch) {
    int failures = 0;
    for (auto next = queue_.begin(); next != queue_.end() && failures < kMaxFailedDispatches;) {
      const RequestId id = next->id;
      ++next;
      if (!dispatch(id)) ++failures;
    }
  }

  std::size_t size() const { return queue_.size(); }  ///< Number of queued requests.

 private:
  static constexpr int kMaxFailedDispatches = 8;  // per pass over the queue

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
