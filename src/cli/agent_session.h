// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Calls to the agents of a context, and where their results are printed. The commands on instances, orders
/// and members use one session each.
#ifndef BADGERBRIDGE_CLI_AGENT_SESSION_H_
#define BADGERBRIDGE_CLI_AGENT_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "cli/context.h"
#include "cli/error.h"
#include "cli/exit_code.h"
#include "cli/table.h"
#include "http_api/client.h"

namespace badgerbridge::cli {

/// How long the tool waits for the answer to one request, unless the command line says otherwise.
constexpr std::chrono::milliseconds kDefaultCallTimeout{5000};

/// The form of the results.
struct OutputFormat {
  bool json = false;           ///< one line of JSON in place of a table
  bool names_only = false;     ///< the names of the instances alone, where a command has that form
  bool color = false;          ///< only on terminals
  bool show_progress = false;  ///< only on terminals
};

/// What a session is made of.
struct AgentSessionSettings {
  std::vector<AgentTarget> agents;       ///< all that may be asked
  OutputFormat output;                   ///< the form of the results
  std::chrono::milliseconds timeout{0};  ///< of each request; 0: each command's default
};

/// One request to an agent's API.
struct AgentCall {
  http_api::Target agent;                                  ///< how the agent is reached
  std::string method = "GET";                              ///< of HTTP
  std::string path;                                        ///< with its query
  std::string body;                                        ///< JSON; empty: none
  std::chrono::milliseconds timeout{kDefaultCallTimeout};  ///< until the answer is complete
};

/// A session of one command. Blocking; to be used by one thread.
class AgentSession {
 public:
  /// Results go to `out`, errors and progress to `err`; both must outlive the session.
  AgentSession(AgentSessionSettings settings, std::ostream& out, std::ostream& err);

  /// All agents of the session.
  const std::vector<AgentTarget>& agents() const { return settings_.agents; }
  /// Whether names must tell the agent, too.
  bool has_several_agents() const { return settings_.agents.size() > 1; }
  /// The agent of this name, which must be one of agents().
  const AgentTarget& FindAgent(const std::string& name) const;
  /// The form of the results.
  const OutputFormat& output() const { return settings_.output; }
  /// Where results go.
  std::ostream& out() { return out_; }
  /// Where errors and progress go.
  std::ostream& err() { return err_; }
  /// The timeout that the command line sets, or this one.
  std::chrono::milliseconds TimeoutOr(std::chrono::milliseconds default_timeout) const;

  /// Makes one request, and waits for its answer.
  http_api::Reply Call(AgentCall call);
  /// GET `path` from this agent, within TimeoutOr(kDefaultCallTimeout).
  http_api::Reply Get(const AgentTarget& agent, std::string path);
  /// POST `body` to `path` of this agent, within TimeoutOr(kDefaultCallTimeout).
  http_api::Reply Post(const AgentTarget& agent, std::string path, std::string body);
  /// Makes all requests at once, and waits for all answers; they are in the order of the requests.
  std::vector<http_api::Reply> CallAll(std::vector<AgentCall> calls);

  /// Prints the error; returns its exit code.
  ExitCode Report(const CliError& error) { return cli::Report(error, err_); }
  /// Prints that this agent rejected a request, or did not answer; returns the exit code for it.
  ExitCode ReportFailedReply(const std::string& agent, const http_api::Reply& reply);

 private:
  AgentSessionSettings settings_;
  std::ostream& out_;
  std::ostream& err_;
  boost::asio::io_context io_;
};

/// A table whose first column is the agent's name, where there are several agents.
class InstanceTable {
 public:
  /// A table without rows. `header` is without the column of the agent.
  InstanceTable(const AgentSession& session, std::vector<std::string> header);
  /// Adds a row; `row` is without the agent's name.
  void Add(const std::string& agent, std::vector<std::string> row);
  /// The table with the agents' names.
  const Table& table() const { return table_; }

 private:
  bool shows_agents_;
  Table table_;
};

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_AGENT_SESSION_H_
