// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Reads what all agents of a session report, and picks the instances that a selection names.
#ifndef BADGERBRIDGE_CLI_FLEET_STATUS_H_
#define BADGERBRIDGE_CLI_FLEET_STATUS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "cli/agent_session.h"

namespace badgerbridge::cli {

/// Which instances a command is for: those that fit all that is given; empty lists exclude none.
struct Selection {
  std::vector<std::string> names;   ///< "n1" or "agent/n1"
  std::vector<std::string> labels;  ///< "key=value"; an instance must have all of them
  std::vector<std::string> agents;  ///< names of agents
  std::vector<std::string> states;  ///< as in the agents' answers
  bool all = false;                 ///< every instance, said explicitly

  /// Whether nothing was given; commands that change something require a selection.
  bool empty() const { return names.empty() && labels.empty() && agents.empty() && states.empty() && !all; }
};

/// An instance that fits the selection.
struct SelectedInstance {
  std::string agent;           ///< name of its agent
  std::string name;            ///< its own name
  boost::json::object status;  ///< as its agent reports it
};

/// What one agent answered.
struct AgentStatus {
  AgentTarget target;            ///< the agent
  boost::json::object status;    ///< empty: it did not answer, or with an error
  std::uint64_t generation = 0;  ///< of the agent's state
};

/// What all agents answered.
struct FleetStatus {
  std::vector<AgentStatus> agents;          ///< in the order of the context
  std::vector<SelectedInstance> instances;  ///< in the order of their agents
  ExitCode code = ExitCode::kSuccess;       ///< the worst of all: names that are not there, agents' errors
};

/// Asks the agents of the selection for their status. Faults are printed, and are in the code of the result.
FleetStatus ReadFleetStatus(AgentSession& session, const Selection& selection);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_FLEET_STATUS_H_
