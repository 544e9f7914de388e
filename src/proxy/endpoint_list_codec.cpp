// SPDX-License-Identifier: Apache-2.0
#include "proxy/endpoint_list_codec.h"

#include <boost/json.hpp>
#include <string_view>
#include <utility>

#include "http_api/address.h"

namespace badgerbridge::proxy {
namespace json = boost::json;
namespace {

constexpr std::size_t kMaxShownBytes = 100;  // of an invalid value in an error message

// Describes an invalid value for an error message. Objects and arrays may be large and are only named.
std::string Describe(const json::value* found) {
  if (!found) return "nothing";
  if (found->is_object()) return "an object";
  if (found->is_array()) return "a list";
  if (found->is_string()) return json::serialize(found->get_string().subview(0, kMaxShownBytes));
  return json::serialize(*found);
}

EndpointListError InvalidField(std::string_view field, const json::value* found) {
  return {EndpointListErrorCode::kInvalidField, std::string(field), Describe(found)};
}

BackendState DecodeState(std::string_view status) {
  if (status == "Ready") return BackendState::kReady;
  if (status == "Gone") return BackendState::kGone;
  return BackendState::kDraining;
}

std::string_view View(const json::string& text) { return {text.data(), text.size()}; }

EndpointListResult<std::string_view> RequiredText(const json::object& object, std::string_view field) {
  const json::value* found = object.if_contains(field);
  if (!found || !found->is_string()) return InvalidField(field, found);
  return View(found->get_string());
}

// Empty if the field is missing or not a string.
std::string_view OptionalText(const json::object& object, std::string_view field) {
  const json::value* found = object.if_contains(field);
  return found && found->is_string() ? View(found->get_string()) : std::string_view();
}

double OptionalNumber(const json::object& object, std::string_view field, double otherwise) {
  const json::value* found = object.if_contains(field);
  return found && found->is_number() ? found->to_number<double>() : otherwise;
}

EndpointListResult<ListedEndpoint> DecodeEndpoint(const json::value& value) {
  const json::object* object = value.if_object();
  if (!object) return InvalidField("endpoint", &value);
  const EndpointListResult<std::string_view> name = RequiredText(*object, "name");
  if (!name) return name.error();
  const EndpointListResult<std::string_view> status = RequiredText(*object, "status");
  if (!status) return status.error();
  const std::string_view address = OptionalText(*object, "address");
  ListedEndpoint endpoint;
  endpoint.name = std::string(*name);
  endpoint.state = DecodeState(*status);
  endpoint.address = http_api::ParseAddress(address);
  if (!endpoint.address && endpoint.state != BackendState::kGone) {
    return EndpointListError{EndpointListErrorCode::kMissingAddress, endpoint.name.substr(0, kMaxShownBytes),
                             std::string(address.substr(0, kMaxShownBytes))};
  }
  endpoint.zone = std::string(OptionalText(*object, "zone"));
  endpoint.kind = std::string(OptionalText(*object, "type"));
  endpoint.cell = static_cast<int>(OptionalNumber(*object, "group", 0));
  endpoint.weight = OptionalNumber(*object, "weight", 1);
  endpoint.started_at_ms = OptionalNumber(*object, "since_ms", 0);
  return endpoint;
}

}  // namespace

std::string EndpointListTarget(std::uint64_t version) {
  return "/v1/endpoints?stream=1&index=" + std::to_string(version);
}

EndpointListResult<ListedEndpoints> DecodeEndpointList(const json::value& value) {
  const json::object* object = value.if_object();
  if (!object) return InvalidField("list", &value);
  ListedEndpoints list;
  const json::value* version = object->if_contains("index");
  boost::system::error_code error;
  if (version) list.version = version->to_number<std::uint64_t>(error);
  if (!version || error) return InvalidField("index", version);
  const json::value* snapshot = object->if_contains("snapshot");
  if (!snapshot || !snapshot->is_bool()) return InvalidField("snapshot", snapshot);
  list.snapshot = snapshot->get_bool();
  const json::value* endpoints = object->if_contains("endpoints");
  if (!endpoints || !endpoints->is_array()) return InvalidField("endpoints", endpoints);
  for (const json::value& item : endpoints->get_array()) {
    EndpointListResult<ListedEndpoint> endpoint = DecodeEndpoint(item);
    if (!endpoint) return endpoint.error();
    list.endpoints.push_back(std::move(*endpoint));
  }
  return list;
}

}  // namespace badgerbridge::proxy
