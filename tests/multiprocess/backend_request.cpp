// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/backend_request.h"

#include <charconv>
#include <string_view>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr double kDefaultWorkMs = 20;
constexpr double kMicrosecondsPerMs = 1000;
constexpr std::string_view kWorkParameter = "work=";

std::optional<double> TimeLeftOf(const BackendRequest& request) {
  const auto text = request["X-Time-Left-Ms"];
  std::int64_t time_ms = -1;
  std::from_chars(text.data(), text.data() + text.size(), time_ms);
  if (time_ms < 0) return std::nullopt;
  return static_cast<double>(time_ms);
}

// "/convert?obj=7&work=20000": the work in microseconds of a standard core.
double WorkOf(const BackendRequest& request) {
  const std::string target(request.target());
  const std::size_t parameter = target.find(kWorkParameter);
  if (parameter == std::string::npos) return kDefaultWorkMs;
  std::int64_t work_us = 0;
  const auto parsed = std::from_chars(target.data() + parameter + kWorkParameter.size(),
                                      target.data() + target.size(), work_us);
  return parsed.ec == std::errc() ? static_cast<double>(work_us) / kMicrosecondsPerMs : kDefaultWorkMs;
}

}  // namespace

AttemptRecord ReadAttempt(const BackendRequest& request) {
  AttemptRecord attempt;
  attempt.id = std::string(request["X-Correlation-Id"]);
  attempt.idempotency_key = std::string(request["Idempotency-Key"]);
  attempt.received_at_ms = NowMs();
  attempt.work_ms = WorkOf(request);
  attempt.time_left_ms = TimeLeftOf(request);
  return attempt;
}

}  // namespace badgerbridge::multiprocess
