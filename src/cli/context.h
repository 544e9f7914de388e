// SPDX-License-Identifier: Apache-2.0
//
// The context file: which agents badgerbridge-ctl commands, and how each is reached. deploy/context.toml
// lists every key.
#ifndef BADGERBRIDGE_CLI_CONTEXT_H_
#define BADGERBRIDGE_CLI_CONTEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include "http_api/client.h"
#include "operator_config/problem.h"

namespace badgerbridge::cli {

struct AgentTarget {
  std::string name;
  http_api::Target target;
};

std::vector<AgentTarget> ParseContext(std::string_view text, const std::string& file,
                                      operator_config::Problems& problems);
std::vector<AgentTarget> LoadContext(const std::string& path, operator_config::Problems& problems);

// The name in the [agent] table of a fleet file; empty if it has none.
std::string AgentNameIn(const std::string& fleet_text, const std::string& file,
                        operator_config::Problems& problems);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_CONTEXT_H_
