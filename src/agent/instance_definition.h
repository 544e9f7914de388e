// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// How an instance is started, its stored form (JSON), and the differences between two sets of definitions.
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

/// How one instance is started. As JSON it is what orders carry and what the agent stores.
struct InstanceDefinition {
  std::string name;                                ///< unique among the instances of the agent; ROUTER_NAME
  std::vector<std::string> command;                ///< the program, by path, and its arguments
  std::map<std::string, std::string> environment;  ///< variables beside the agent's own
  std::string listen;                              ///< ROUTER_LISTEN; empty: as the configuration says
  std::string operator_file;                       ///< path; its [control] table is how the agent reaches it
  std::string control_socket;                 ///< path, from the operator's file when the fleet file is read
  std::string working_directory;              ///< path; empty: the agent's own
  std::map<std::string, std::string> labels;  ///< for selectors
  std::int64_t max_descriptors = 0;           ///< RLIMIT_NOFILE; 0: the agent's own
  std::int64_t max_address_space_mb = 0;      ///< RLIMIT_AS in MiB; 0: the agent's own

  /// Equal in every member.
  friend bool operator==(const InstanceDefinition&, const InstanceDefinition&) = default;
};

/// The definition as JSON, members in a fixed order, so that equal definitions have equal texts.
std::string SerializeDefinition(const InstanceDefinition& definition);

/// Reads what SerializeDefinition wrote. AgentErrorKind::kInvalidDefinition if it is none.
Result<InstanceDefinition> ParseDefinition(std::string_view text);

/// The texts of the definitions, by name.
DefinitionTexts SerializeDefinitions(const std::vector<InstanceDefinition>& definitions);

/// What has to be done with one instance to go from one set of definitions to another.
struct DefinitionChange {
  /// What is done.
  enum class Kind { kAdd = 0, kChange = 1, kRemove = 2 };
  std::string instance;     ///< name
  Kind kind = Kind::kAdd;   ///< what is done with it
  std::string description;  ///< for people: which members differ, and how
};

/// The changes that lead from one set of definitions to another: additions and changes by name, then
/// removals. AgentErrorKind::kInvalidDefinition if a text that has to be compared is no JSON object.
Result<std::vector<DefinitionChange>> DiffDefinitions(const DefinitionTexts& from, const DefinitionTexts& to);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_INSTANCE_DEFINITION_H_
