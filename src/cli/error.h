// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The errors of badgerbridge-ctl: one type for each thing that can go wrong, with the values that were
/// wrong. Report prints them; nothing else in the tool composes error lines.
#ifndef BADGERBRIDGE_CLI_ERROR_H_
#define BADGERBRIDGE_CLI_ERROR_H_

#include <boost/system/result.hpp>
#include <cstddef>
#include <iosfwd>
#include <string>
#include <variant>
#include <vector>

#include "cli/exit_code.h"
#include "operator_config/problem.h"

namespace badgerbridge::cli {

/// Options whose values are no durations.
struct InvalidDurations {
  /// One such option.
  struct Option {
    std::string name;   ///< as in "--deadline"
    std::string value;  ///< as given
  };
  std::vector<Option> options;  ///< in the order in which they are reported
};

/// A file cannot be read, or its content is wrong.
struct InvalidFile {
  operator_config::Problems problems;  ///< all that is wrong with it
  ExitCode code = ExitCode::kUsage;    ///< kPartialFailure for the command that checks files
};

/// The context file cannot be used, so that no agent is known.
struct InvalidContext {
  operator_config::Problems problems;  ///< all that is wrong with the file
};

/// The command needs a selection of instances, and none was given.
struct MissingSelection {};
/// No instance has what the selection asks for.
struct EmptySelection {};
/// The selection names an agent that the context lacks.
struct UnknownAgent {
  std::string name;  ///< of the agent
};
/// The selection names an instance that no agent has.
struct UnknownInstance {
  std::string name;  ///< as given
};
/// No agent has an order of this id.
struct UnknownOrder {
  std::string id;  ///< as given
};

/// An agent, an instance or a watch cache did not answer, or rejected a request.
struct RequestFailed {
  std::string peer;                           ///< the name of the agent or instance, or a socket's path
  std::string reason;                         ///< the peer's own message, or why none came
  ExitCode code = ExitCode::kPartialFailure;  ///< by the HTTP status
};

/// An order was accepted, and its agent stopped answering before it ended.
struct OrderUnreachable {
  std::string agent;  ///< name of the agent
  std::string id;     ///< of the order
};
/// An order was accepted, and had not ended when the tool stopped waiting.
struct OrderUnfinished {
  std::string agent;  ///< name of the agent
  std::string id;     ///< of the order
};
/// A roll over several agents did not reach one of them.
struct RollHalted {
  std::string agent;         ///< the agent that was not asked
  std::string failed_agent;  ///< the agent at which the roll failed
};

/// A command on etcd was called without its address.
struct MissingEtcdAddress {};
/// The value of --etcd is no address with a port.
struct InvalidEtcdAddress {
  std::string value;  ///< as given
};
/// The options of `members register` are no usable address or lease time.
struct InvalidRegistration {};
/// The operator's file names services, and the name of a backend has none before it.
struct MissingServiceName {
  std::string backend;  ///< as given
};
/// `zones` was called without an operator's file.
struct MissingZoneFile {};
/// The value of --for is out of range.
struct InvalidEvacuationTime {
  std::string value;  ///< as given
};
/// The operator's file does not list the zone.
struct UnknownZone {
  std::string zone;                ///< as given
  std::vector<std::string> zones;  ///< those that it lists
};
/// etcd holds no decision of the proxies on zones.
struct MissingDecision {
  std::size_t proxies = 0;  ///< how many proxies take part
};
/// An evacuation was not ordered since the other zones lack capacity.
struct InsufficientCapacity {};
/// The program was built without the client of etcd.
struct BuiltWithoutEtcd {};

/// A command on etcd failed.
struct EtcdError {
  /// What went wrong.
  enum class Kind {
    kNotCalled,               ///< the call ended with an exception
    kInvalidClientSettings,   ///< no client could be made; `detail` says why
    kCallFailed,              ///< `detail` is etcd's status
    kUnreadableDecision,      ///< the decision in force is malformed; `detail` says how
    kUnreadablePastDecision,  ///< an older decision is malformed; `detail` says how
    kNoDecisionToFollow,      ///< no proxy has made a decision, so that none would follow an order
    kOrderExists,             ///< there is an order for the zone `where`, made by `detail`
    kConcurrentOrder,         ///< somebody else ordered the evacuation of the zone `where` meanwhile
    kRegistrationChanged,     ///< a registration has failed or ended; `detail` says why
  };
  Kind kind = Kind::kNotCalled;               ///< what went wrong
  ExitCode code = ExitCode::kPartialFailure;  ///< the exit code that follows
  std::string where;                          ///< the name of the zone, if it is about one
  std::string detail;                         ///< see Kind
};

/// The error as text for people, without the program's name and a line end.
std::string Message(const EtcdError& error);

/// Any error of the tool.
using CliError =
    std::variant<InvalidDurations, InvalidFile, InvalidContext, MissingSelection, EmptySelection,
                 UnknownAgent, UnknownInstance, UnknownOrder, RequestFailed, OrderUnreachable,
                 OrderUnfinished, RollHalted, MissingEtcdAddress, InvalidEtcdAddress, InvalidRegistration,
                 MissingServiceName, MissingZoneFile, InvalidEvacuationTime, UnknownZone, MissingDecision,
                 InsufficientCapacity, BuiltWithoutEtcd, EtcdError>;

/// A value, or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, CliError>;

/// Prints the error, one or more lines, to `err`. Returns the exit code that follows from it.
ExitCode Report(const CliError& error, std::ostream& err);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ERROR_H_
