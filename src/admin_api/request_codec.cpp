// SPDX-License-Identifier: Apache-2.0
#include "admin_api/request_codec.h"

#include <boost/json.hpp>
#include <string>

namespace badgerbridge::admin_api {
namespace {

struct Route {
  std::string_view path;
  std::string_view method;
  Operation operation;
};
constexpr Route kRoutes[] = {{"/v1/status", "GET", Operation::kGetStatus},
                             {"/v1/converters", "GET", Operation::kGetBackends},
                             {"/v1/members", "GET", Operation::kGetMembers},
                             {"/v1/zones", "GET", Operation::kGetZones},
                             {"/v1/drain", "POST", Operation::kDrain},
                             {"/v1/undrain", "POST", Operation::kUndrain},
                             {"/v1/stop", "POST", Operation::kStop},
                             {"/v1/members/release", "POST", Operation::kReleaseMembers}};

Result<balancer::Duration> ParseDeadline(const boost::json::value& value) {
  constexpr double kMaxMs = static_cast<double>(kMaxDrainDeadline.count());
  const double deadline_ms = value.is_number() ? value.to_number<double>() : -1;
  const bool is_in_range = deadline_ms >= 0 && deadline_ms <= kMaxMs;  // false for NaN
  if (!is_in_range) return RequestError{RequestErrorCode::kInvalidDeadline, ""};
  return balancer::Duration(deadline_ms);
}

}  // namespace

Result<Operation> ParseOperation(std::string_view path, std::string_view method) {
  for (const Route& route : kRoutes) {
    if (route.path != path) continue;
    if (route.method != method)
      return RequestError{RequestErrorCode::kWrongMethod, std::string(route.method)};
    return route.operation;
  }
  return RequestError{RequestErrorCode::kUnknownPath, std::string(path)};
}

Result<DrainRequest> ParseDrainRequest(const http_api::Request& request) {
  DrainRequest drain;
  if (request.body.empty()) return drain;
  const auto body = http_api::ParseJsonObject(request);
  if (!body) return RequestError{RequestErrorCode::kInvalidBody, http_api::Message(body.error())};
  for (const auto& [key, value] : *body) {
    if (key != "deadline_ms") return RequestError{RequestErrorCode::kUnknownField, std::string(key)};
    const Result<balancer::Duration> deadline = ParseDeadline(value);
    if (!deadline) return deadline.error();
    drain.deadline = *deadline;
  }
  return drain;
}

}  // namespace badgerbridge::admin_api
