// SPDX-License-Identifier: Apache-2.0
#include "cli/error.h"

#include <ostream>

namespace badgerbridge::cli {
namespace {

/// Prints one error, and tells its exit code.
class Reporter {
 public:
  explicit Reporter(std::ostream& err) : err_(err) {}

  ExitCode operator()(const InvalidDurations& error) const {
    for (const InvalidDurations::Option& option : error.options) {
      err_ << "badgerbridge-ctl: " << option.name << " " << option.value
           << " is no duration; \"250ms\", \"10s\" or \"2m\" would be right\n";
    }
    return ExitCode::kUsage;
  }
  ExitCode operator()(const InvalidFile& error) const {
    err_ << operator_config::FormatProblems(error.problems);
    return error.code;
  }
  ExitCode operator()(const InvalidContext& error) const {
    err_ << operator_config::FormatProblems(error.problems);
    err_ << "badgerbridge-ctl: name the agents by --context FILE or BADGERCTL_CONTEXT, or one by "
            "--socket PATH\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const MissingSelection& /*error*/) const {
    err_ << "badgerbridge-ctl: say which instances: names, --label, --agent, --state or --all\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const EmptySelection& /*error*/) const {
    err_ << "badgerbridge-ctl: no instance fits the selection\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const UnknownAgent& error) const {
    err_ << "badgerbridge-ctl: the context names no agent " << error.name << '\n';
    return ExitCode::kUsage;
  }
  ExitCode operator()(const UnknownInstance& error) const {
    err_ << "badgerbridge-ctl: there is no instance " << error.name << '\n';
    return ExitCode::kUsage;
  }
  ExitCode operator()(const UnknownOrder& error) const {
    err_ << "badgerbridge-ctl: no agent knows order " << error.id << '\n';
    return ExitCode::kUsage;
  }
  ExitCode operator()(const RequestFailed& error) const {
    err_ << "badgerbridge-ctl: " << error.peer << ": " << error.reason << '\n';
    return error.code;
  }
  ExitCode operator()(const OrderUnreachable& error) const {
    err_ << "badgerbridge-ctl: " << error.agent << " is out of reach; order " << error.id
         << " goes on there once it is back (badgerbridge-ctl orders " << error.id << ")\n";
    return ExitCode::kUnreachable;
  }
  ExitCode operator()(const OrderUnfinished& error) const {
    err_ << "badgerbridge-ctl: order " << error.id << " goes on at " << error.agent
         << " (badgerbridge-ctl orders " << error.id << ")\n";
    return ExitCode::kPartialFailure;
  }
  ExitCode operator()(const RollHalted& error) const {
    err_ << "badgerbridge-ctl: " << error.agent << ": not begun: the roll halted at " << error.failed_agent
         << '\n';
    return ExitCode::kPartialFailure;
  }
  ExitCode operator()(const MissingEtcdAddress& /*error*/) const {
    err_ << "badgerbridge-ctl: say where etcd is: --operator FILE, whose [etcd] table tells, or --etcd "
            "ADDRESS\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const InvalidEtcdAddress& error) const {
    err_ << "badgerbridge-ctl: --etcd " << error.value
         << " is no address and port; 127.0.0.1:2379 would be right\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const InvalidRegistration& /*error*/) const {
    err_ << "badgerbridge-ctl: register takes --address ADDRESS:PORT and a --ttl of at least 1s\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const MissingServiceName& error) const {
    err_ << "badgerbridge-ctl: the operator's file names services; SERVICE/" << error.backend
         << " would be right\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const MissingZoneFile& /*error*/) const {
    err_ << "badgerbridge-ctl: say where the [regions] table is: --operator FILE, or BADGERBRIDGE_OPERATOR\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const InvalidEvacuationTime& error) const {
    err_ << "badgerbridge-ctl: --for " << error.value << " is not from 1s to 168h\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const UnknownZone& error) const {
    err_ << "badgerbridge-ctl: there is no zone " << error.zone << "; [regions] names";
    for (const std::string& zone : error.zones) err_ << ' ' << zone;
    err_ << '\n';
    return ExitCode::kUsage;
  }
  ExitCode operator()(const MissingDecision& error) const {
    err_ << "badgerbridge-ctl: no proxy has decided anything yet; " << error.proxies
         << " take part. Does their operator's file have a [regions] table?\n";
    return ExitCode::kPartialFailure;
  }
  ExitCode operator()(const InsufficientCapacity& /*error*/) const {
    err_ << "badgerbridge-ctl: the others have no room for all of it; --force orders it all the same\n";
    return ExitCode::kPartialFailure;
  }
  ExitCode operator()(const BuiltWithoutEtcd& /*error*/) const {
    err_ << "badgerbridge-ctl: this build is without etcd; build with -DBADGERBRIDGE_ETCD=ON\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const EtcdError& error) const {
    err_ << "badgerbridge-ctl: " << Message(error) << '\n';
    return error.code;
  }

 private:
  std::ostream& err_;
};

}  // namespace

std::string Message(const EtcdError& error) {
  switch (error.kind) {
    case EtcdError::Kind::kNotCalled:
      return "the call could not be made";
    case EtcdError::Kind::kInvalidClientSettings:
    case EtcdError::Kind::kRegistrationChanged:
      return error.detail;
    case EtcdError::Kind::kCallFailed:
      return "etcd: " + error.detail;
    case EtcdError::Kind::kUnreadableDecision:
      return "the decision can't be read: " + error.detail;
    case EtcdError::Kind::kUnreadablePastDecision:
      return "a decision can't be read: " + error.detail;
    case EtcdError::Kind::kNoDecisionToFollow:
      return "no proxy has decided anything yet, so nobody would follow the order";
    case EtcdError::Kind::kOrderExists:
      return "there is an order for " + error.where + " already, by " + error.detail +
             "; badgerbridge-ctl zones return " + error.where + " ends it";
    case EtcdError::Kind::kConcurrentOrder:
      return "somebody else has just given an order for " + error.where;
  }
  return "unknown error";
}

ExitCode Report(const CliError& error, std::ostream& err) { return std::visit(Reporter(err), error); }

}  // namespace badgerbridge::cli
