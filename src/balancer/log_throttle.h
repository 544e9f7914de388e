// SPDX-License-Identifier: Apache-2.0
/// \file
/// Keeps the balancer's log short.
#ifndef BADGERBRIDGE_BALANCER_LOG_THROTTLE_H_
#define BADGERBRIDGE_BALANCER_LOG_THROTTLE_H_

#include <array>
#include <cstddef>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer {

/// What a log line is about; each topic is throttled by itself.
enum class LogTopic {
  kOutlier,      ///< A backend was ejected or returned to service.
  kFinalAnswer,  ///< A request was rejected or failed.
  kSlowStart,    ///< A backend was passed over because it is warming up.
};

/// Permits one line for each topic within the topic's interval.
class LogThrottle {
 public:
  /// Whether a line about `topic` may be written now; if so, the topic's interval starts.
  bool Permits(LogTopic topic, TimePoint now) {
    TimePoint& next = next_permitted_[static_cast<std::size_t>(topic)];
    if (now < next) return false;
    next = now + (topic == LogTopic::kOutlier ? kMinOutlierInterval : kMinInterval);
    return true;
  }

 private:
  static constexpr Duration kMinOutlierInterval{1000};  // between lines about ejections and returns
  static constexpr Duration kMinInterval{10000};        // between lines about any other topic
  static constexpr std::size_t kTopics = 3;

  std::array<TimePoint, kTopics> next_permitted_{};
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_LOG_THROTTLE_H_
