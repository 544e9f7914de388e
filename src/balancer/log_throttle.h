// SPDX-License-Identifier: Apache-2.0
/// \file
/// Rate limit of the balancer's log.
#ifndef BADGERBRIDGE_BALANCER_LOG_THROTTLE_H_
#define BADGERBRIDGE_BALANCER_LOG_THROTTLE_H_

#include <array>
#include <cstddef>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// Topic of a log line; each topic is throttled separately.
enum class LogTopic {
  kOutlier,      ///< A backend was ejected or returned to service.
  kFinalAnswer,  ///< A request was rejected or failed.
  kSlowStart,    ///< A backend was skipped because of its slow-start budget.
};

/// Permits one line per topic and interval.
class LogThrottle {
 public:
  /// Whether a line about `topic` may be written now; if so, the next interval of the topic starts.
  bool Permits(LogTopic topic, TimePoint now) {
    TimePoint& next = next_permitted_[static_cast<std::size_t>(topic)];
    if (now < next) return false;
    next = now + (topic == LogTopic::kOutlier ? kMinOutlierInterval : kMinInterval);
    return true;
  }

 private:
  static constexpr Duration kMinOutlierInterval{1000};
  static constexpr Duration kMinInterval{10000};  // of all other topics
  static constexpr std::size_t kTopics = 3;

  std::array<TimePoint, kTopics> next_permitted_{};
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_LOG_THROTTLE_H_
