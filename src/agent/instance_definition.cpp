// SPDX-License-Identifier: Apache-2.0
#include "agent/instance_definition.h"

#include <boost/json.hpp>
#include <stdexcept>
#include <utility>

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;
using TextMap = std::map<std::string, std::string>;

json::object EncodeTextMap(const TextMap& texts) {
  json::object object;
  for (const auto& [key, value] : texts) object[key] = value;
  return object;
}

TextMap DecodeTextMap(const json::value& value) {
  TextMap texts;
  for (const auto& [key, text] : value.as_object()) texts[std::string(key)] = std::string(text.as_string());
  return texts;
}

AgentError InvalidDefinition(std::string_view text, std::string reason) {
  return {AgentErrorKind::kInvalidDefinition, std::string(text), std::move(reason)};
}

/// Throws std::exception if a member is missing or has another type, as Boost.JSON's accessors do.
InstanceDefinition DecodeDefinition(const json::object& object) {
  const auto read_text = [&](const char* key) { return std::string(object.at(key).as_string()); };
  InstanceDefinition definition;
  definition.name = read_text("name");
  for (const json::value& word : object.at("command").as_array())
    definition.command.emplace_back(word.as_string());
  if (definition.command.empty()) throw std::runtime_error("a definition without a command");
  definition.environment = DecodeTextMap(object.at("environment"));
  definition.listen = read_text("listen");
  definition.operator_file = read_text("operator_file");
  definition.control_socket = read_text("control_socket");
  definition.working_directory = read_text("working_directory");
  definition.labels = DecodeTextMap(object.at("labels"));
  definition.max_descriptors = object.at("descriptors").to_number<std::int64_t>();
  definition.max_address_space_mb = object.at("address_space_mb").to_number<std::int64_t>();
  return definition;
}

Result<json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(json::string_view(text.data(), text.size()), error);
  if (error) return InvalidDefinition(text, error.what());
  if (!value.is_object()) return InvalidDefinition(text, make_error_code(json::error::not_object).what());
  return std::move(value.get_object());
}

/// Lists the members that differ: "descriptors: 0 -> 512; ...".
std::string DescribeChange(const json::object& from, const json::object& to) {
  std::string description;
  for (const auto& [key, value] : to) {
    const json::value* old = from.if_contains(key);
    if (old && *old == value) continue;
    if (!description.empty()) description += "; ";
    const std::string old_text = old ? json::serialize(*old) : "nothing";
    description += std::string(key) + ": " + old_text + " -> " + json::serialize(value);
  }
  return description;
}

Result<std::string> DescribeChange(std::string_view from, std::string_view to) {
  const Result<json::object> old_members = ParseObject(from);
  if (!old_members) return old_members.error();
  const Result<json::object> new_members = ParseObject(to);
  if (!new_members) return new_members.error();
  return DescribeChange(*old_members, *new_members);
}

}  // namespace

std::string SerializeDefinition(const InstanceDefinition& definition) {
  json::array command;
  for (const std::string& word : definition.command) command.emplace_back(word);
  return json::serialize(json::object{{"name", definition.name},
                                      {"command", std::move(command)},
                                      {"environment", EncodeTextMap(definition.environment)},
                                      {"listen", definition.listen},
                                      {"operator_file", definition.operator_file},
                                      {"control_socket", definition.control_socket},
                                      {"working_directory", definition.working_directory},
                                      {"labels", EncodeTextMap(definition.labels)},
                                      {"descriptors", definition.max_descriptors},
                                      {"address_space_mb", definition.max_address_space_mb}});
}

Result<InstanceDefinition> ParseDefinition(std::string_view text) {
  try {
    const json::value value = json::parse(json::string_view(text.data(), text.size()));
    return DecodeDefinition(value.as_object());
  } catch (const std::exception& error) {
    return InvalidDefinition(text, error.what());
  }
}

DefinitionTexts SerializeDefinitions(const std::vector<InstanceDefinition>& definitions) {
  DefinitionTexts texts;
  for (const InstanceDefinition& one : definitions) texts[one.name] = SerializeDefinition(one);
  return texts;
}

Result<std::vector<DefinitionChange>> DiffDefinitions(const DefinitionTexts& from,
                                                      const DefinitionTexts& to) {
  using Kind = DefinitionChange::Kind;
  std::vector<DefinitionChange> changes;
  for (const auto& [name, text] : to) {
    const auto old = from.find(name);
    if (old == from.end()) {
      changes.push_back({name, Kind::kAdd, "new"});
      continue;
    }
    if (old->second == text) continue;
    const Result<std::string> description = DescribeChange(old->second, text);
    if (!description) return description.error();
    changes.push_back({name, Kind::kChange, *description});
  }
  for (const auto& [name, text] : from) {
    if (!to.contains(name)) changes.push_back({name, Kind::kRemove, "no longer in the file"});
  }
  return changes;
}

}  // namespace badgerbridge::agent
