// SPDX-License-Identifier: Apache-2.0
#include "proxy/stop_schedule.h"

#include <algorithm>

namespace badgerbridge::proxy {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNever{Duration(1e300)};
constexpr milliseconds kMaxWait{std::chrono::hours(1)};

milliseconds Until(TimePoint at, TimePoint now) {
  if (at - now >= kMaxWait) return kMaxWait;
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(at - now));
}

}  // namespace

void StopSchedule::Begin(TimePoint now) {
  has_begun_ = true;
  began_at_ = now;
}

TimePoint StopSchedule::AnswerDeadline() const {
  return has_begun_ ? began_at_ + longest_deadline_ + Duration(limits_.answer_margin) : kNever;
}

milliseconds StopSchedule::UntilAnswerDeadline(TimePoint now) const { return Until(AnswerDeadline(), now); }

milliseconds StopSchedule::UntilServingEnds(TimePoint now) const {
  return Until(has_begun_ ? began_at_ + Duration(limits_.serving) : kNever, now);
}

}  // namespace badgerbridge::proxy
