// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The context file (TOML): which agents badgerbridge-ctl commands, and how each is reached.
/// deploy/context.toml lists every key.
#ifndef BADGERBRIDGE_CLI_CONTEXT_H_
#define BADGERBRIDGE_CLI_CONTEXT_H_

#include <boost/system/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "http_api/client.h"
#include "operator_config/problem.h"

namespace badgerbridge::cli {

/// An agent, and how it is reached.
struct AgentTarget {
  std::string name;         ///< as in its fleet file; empty: the one agent that --socket names
  http_api::Target target;  ///< its socket or its address
};

/// What a file holds, or all that is wrong with it.
template <typename T>
using FileResult = boost::system::result<T, operator_config::Problems>;

/// The agents that the text of a context file lists. `file` is its name in the problems.
FileResult<std::vector<AgentTarget>> ParseContext(std::string_view text, const std::string& file);

/// Reads and parses the context file at `path`.
FileResult<std::vector<AgentTarget>> LoadContext(const std::string& path);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_CONTEXT_H_
