// SPDX-License-Identifier: Apache-2.0
#include "agent/status_codec.h"

#include <boost/json.hpp>

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

std::uint64_t ReadNumber(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  boost::system::error_code error;
  const auto number = value ? value->to_number<std::uint64_t>(error) : 0;
  return error ? 0 : number;
}

/// nullptr if the member is missing or not an object.
const json::object* ReadObject(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value ? value->if_object() : nullptr;
}

void ReadReloads(const json::object& reloads, Observation& observation) {
  observation.reloads_applied = ReadNumber(reloads, "applied");
  observation.reloads_rejected = ReadNumber(reloads, "refused");
  const json::value* error = reloads.if_contains("last_error");
  if (error && error->is_string()) observation.reload_error = std::string(error->get_string());
}

}  // namespace

std::optional<ProxyStatus> DecodeProxyStatus(const json::value& value) {
  const json::object* status = value.if_object();
  const json::value* state = status ? status->if_contains("state") : nullptr;
  if (!state || !state->is_string()) return std::nullopt;
  ProxyStatus result;
  result.pid = ReadNumber(*status, "pid");
  result.observation.state = std::string(state->get_string());
  result.observation.connections = ReadNumber(*status, "connections");
  if (const json::object* requests = ReadObject(*status, "requests"))
    result.observation.open_requests = ReadNumber(*requests, "open");
  if (const json::object* reloads = ReadObject(*status, "reloads")) ReadReloads(*reloads, result.observation);
  return result;
}

}  // namespace badgerbridge::agent
