// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The definition of an instance (how it is started), its stored form (JSON), and the difference between two
/// sets of definitions.
#ifndef BADGERBRIDGE_AGENT_INSTANCE_DEFINITION_H_
#define BADGERBRIDGE_AGENT_INSTANCE_DEFINITION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "agent/error.h"
#include "agent/order.h"

namespace badgerbridge::agent {

/// How one instance is started. Orders and the state file contain its JSON form.
struct InstanceDefinition {
  std::string name;                                ///< unique among the instances of the agent; ROUTER_NAME
  std::vector<std::string> command;                ///< path of the program, and its arguments
  std::map<std::string, std::string> environment;  ///< variables added to those of the agent
  std::string listen;                              ///< ROUTER_LISTEN; empty: set by the configuration
  std::string operator_file;                       ///< path; its [control] table has the control socket
  std::string control_socket;                      ///< path, taken from the operator file
  std::string working_directory;                   ///< path; empty: that of the agent
  std::map<std::string, std::string> labels;       ///< for selectors
  std::int64_t max_descriptors = 0;                ///< RLIMIT_NOFILE; 0: that of the agent
  std::int64_t max_address_space_mb = 0;           ///< RLIMIT_AS in MiB; 0: that of the agent

  /// Equal in every member.
  friend bool operator==(const InstanceDefinition&, const InstanceDefinition&) = default;
};

/// Returns the JSON text. Members have a fixed order, so that equal definitions have equal texts.
std::string SerializeDefinition(const InstanceDefinition& definition);

/// Parses a text of SerializeDefinition(). Fails with AgentErrorKind::kInvalidDefinition if it is malformed.
Result<InstanceDefinition> ParseDefinition(std::string_view text);

/// The JSON texts of the definitions, by instance name.
DefinitionTexts SerializeDefinitions(const std::vector<InstanceDefinition>& definitions);

/// The change of one instance between two sets of definitions.
struct DefinitionChange {
  /// The kind of a change. The values index the wire names in response_codec.cpp.
  enum class Kind { kAdd = 0, kChange = 1, kRemove = 2 };
  std::string instance;     ///< name
  Kind kind = Kind::kAdd;   ///< whether it is added, changed or removed
  std::string description;  ///< readable text: the members that differ, with both values
};

/// The changes between two sets of definitions: additions and changes by name, then removals. Fails with
/// AgentErrorKind::kInvalidDefinition if a text that must be compared is not a JSON object.
Result<std::vector<DefinitionChange>> DiffDefinitions(const DefinitionTexts& from, const DefinitionTexts& to);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_INSTANCE_DEFINITION_H_
