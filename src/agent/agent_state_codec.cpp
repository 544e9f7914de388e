// SPDX-License-Identifier: Apache-2.0
#include "agent/agent_state_codec.h"

#include <boost/json.hpp>

namespace badgerbridge::agent {

namespace json = boost::json;

std::string EncodeBootRecord(const std::string& boot_id) {
  return json::serialize(json::object{{"boot", boot_id}});
}

std::optional<std::string> DecodeBootRecord(std::string_view record) {
  boost::system::error_code error;
  const json::value value = json::parse(json::string_view(record.data(), record.size()), error);
  if (error || !value.is_object()) return std::nullopt;
  const json::value* boot_id = value.get_object().if_contains("boot");
  if (!boot_id || !boot_id->is_string()) return std::nullopt;
  return std::string(boot_id->get_string());
}

}  // namespace badgerbridge::agent
