// SPDX-License-Identifier: Apache-2.0
#include "agent/request_body.h"

#include <boost/json.hpp>
#include <cstdint>
#include <utility>

#include "agent/order_codec.h"

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxAliasLength = 64;  // bytes of the member "as", which is appended to the author

/// Reads the members that all verbs have in common.
Order ReadCommonMembers(RequestBody& body, const http_api::Peer& peer) {
  Order order;
  order.id = body.ReadText("id").value_or("");
  order.author = peer.name;
  if (const auto alias = body.ReadText("as")) order.author += " (" + alias->substr(0, kMaxAliasLength) + ")";
  order.expected_generation = static_cast<std::uint64_t>(body.ReadNumber("against", INT64_MAX).value_or(0));
  order.supersede = body.ReadFlag("supersede");
  const auto deadline = body.ReadNumber("deadline_ms", kMaxDeadline.count());
  if (deadline) order.deadline = Time(*deadline);
  const auto force_after = body.ReadNumber("force_after_ms", kMaxDeadline.count());
  if (force_after) order.force_after = Time(*force_after);
  order.max_parallel = static_cast<unsigned>(body.ReadNumber("at_most", kMaxInstances).value_or(0));
  return order;
}

}  // namespace

const json::value* RequestBody::Find(const char* key) {
  if (error_) return nullptr;
  read_keys_.insert(key);
  const json::value* value = object_.if_contains(key);
  return value && !value->is_null() ? value : nullptr;
}

void RequestBody::Fail(std::string_view where, std::string detail) {
  if (!error_) error_ = AgentError{AgentErrorKind::kInvalidRequest, std::string(where), std::move(detail)};
}

std::optional<std::string> RequestBody::ReadText(const char* key) {
  const json::value* value = Find(key);
  if (!value) return std::nullopt;
  if (value->is_string()) return std::string(value->get_string());
  Fail(key, "is no string");
  return std::nullopt;
}

std::optional<std::int64_t> RequestBody::ReadNumber(const char* key, std::int64_t max) {
  const json::value* value = Find(key);
  if (!value) return std::nullopt;
  boost::system::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  if (!error && number >= 0 && number <= max) return number;
  Fail(key, "is no whole number from 0 to " + std::to_string(max));
  return std::nullopt;
}

bool RequestBody::ReadFlag(const char* key) {
  const json::value* value = Find(key);
  if (!value) return false;
  if (value->is_bool()) return value->get_bool();
  Fail(key, "is neither true nor false");
  return false;
}

std::vector<std::string> RequestBody::ReadTexts(const char* key) {
  const json::value* value = Find(key);
  if (!value) return {};
  if (!value->is_array()) {
    Fail(key, "is no list");
    return {};
  }
  std::vector<std::string> texts;
  for (const json::value& item : value->get_array()) {
    if (!item.is_string()) {
      Fail(key, "holds what is no string");
      return {};
    }
    texts.emplace_back(item.get_string());
  }
  return texts;
}

Verb RequestBody::ReadVerb() {
  const auto verb = ParseVerb(ReadText("verb").value_or(""));
  if (verb && *verb != Verb::kApply) return *verb;
  Fail("verb", "is none of start, stop, drain, undrain, reload, restart");
  return Verb::kStart;
}

Result<void> RequestBody::Finish() {
  for (const auto& [key, value] : object_) {
    if (error_) break;
    if (!read_keys_.contains(std::string_view(key.data(), key.size())))
      Fail("unknown member", std::string(key));
  }
  if (error_) return *error_;
  return {};
}

Result<OrderRequest> ParseOrderRequest(const json::object& object, const http_api::Peer& peer) {
  RequestBody body(object);
  OrderRequest request;
  request.order = ReadCommonMembers(body, peer);
  request.order.verb = body.ReadVerb();
  request.order.instances = body.ReadTexts("instances");
  request.dry_run = body.ReadFlag("dry_run");
  if (const Result<void> finished = body.Finish(); !finished) return finished.error();
  return request;
}

Result<FleetRequest> ParseFleetRequest(const json::object& object, const http_api::Peer& peer) {
  RequestBody body(object);
  FleetRequest request;
  request.order_request.order = ReadCommonMembers(body, peer);
  request.order_request.order.verb = Verb::kApply;
  request.fleet_text = body.ReadText("fleet").value_or("");
  request.file_name = body.ReadText("file").value_or("fleet.toml");
  request.order_request.dry_run = body.ReadFlag("dry_run");
  if (const Result<void> finished = body.Finish(); !finished) return finished.error();
  return request;
}

}  // namespace badgerbridge::agent
