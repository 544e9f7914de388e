// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What the parts of a multi-process run share: its plan, where it runs, and what it records.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_CONTEXT_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "multiprocess/address_block.h"
#include "multiprocess/child_process.h"
#include "multiprocess/error.h"
#include "multiprocess/history.h"
#include "multiprocess/schedule.h"
#include "multiprocess/temporary_directory.h"
#include "simulator/model.h"

namespace badgerbridge::multiprocess {

/// \name Names of zones and groups, and prefixes of etcd's keys
/// @{

/// The prefix of zone failover's keys.
constexpr const char* kZoneFailoverPrefix = "/badgerbridge/regions/";
/// The prefix of the backends' keys, where the proxies follow watch caches. Below it is one prefix for each
/// zone of proxies: each zone reaches a backend at an address of its own.
constexpr const char* kMembersPrefix = "/badgerbridge/converters/";
/// The link proxy's group of discovery.
constexpr const char* kDiscoveryGroup = "discovery";
/// The link proxy's group of etcd.
constexpr const char* kEtcdGroup = "etcd";

/// The name and group of a zone.
std::string ZoneName(int zone);
/// The prefix of the backends' keys for the proxies of a zone.
std::string MembersPrefix(int zone);
/// The name and group of a zone's paced clients.
std::string ClientsName(int zone);

/// @}

/// The paths of the programs that a run starts.
struct RunPrograms {
  std::string self;         ///< This program, for the roles.
  std::string proxy;        ///< badgerbridge.
  std::string watch_cache;  ///< badgerbridge-relay.
};

/// Shared by the parts of a run, for their whole life.
class RunContext {
 public:
  /// Takes a folder and addresses for the run. Throws RunFailure if there are none.
  RunContext(boost::asio::io_context& io_context, simulator::Model scenario, std::uint64_t random_seed,
             RunPrograms run_programs);

  /// Adds a line to the timeline, with the time since the load began.
  void Note(const std::string& text);
  /// Adds a fault of a process.
  void AddFault(ProcessFaultKind kind, const std::string& process, const std::string& detail = {});
  /// Runs the event loop for some ms.
  void RunEvents(int time_ms);
  /// Runs the event loop until the condition holds. Throws RunFailure (kNotInTime, `condition`) if it does
  /// not in time.
  void WaitUntil(const std::function<bool()>& holds, const std::string& condition,
                 double timeout_ms = kDefaultTimeoutMs);
  /// Begins the time of the load now.
  void BeginLoad();
  /// Whether the load has begun.
  bool has_load_begun() const { return load_began_ms > 0; }

  boost::asio::io_context& io;        ///< The event loop of the run.
  const simulator::Model model;       ///< The plan.
  const std::uint64_t seed;           ///< Of all that is drawn.
  const RunPrograms programs;         ///< What is started.
  const TemporaryDirectory folder;    ///< For configurations, sockets and logs.
  const AddressBlock addresses;       ///< For everything that listens.
  Schedule schedule;                  ///< What is due.
  History history;                    ///< What has been recorded.
  std::vector<std::string> timeline;  ///< What was done and what was observed, for people.
  std::vector<ProcessFault> faults;   ///< Of processes.
  std::size_t processes_started = 0;  ///< All of them.
  double load_began_ms = 0;           ///< 0: it has not.

 private:
  static constexpr double kDefaultTimeoutMs = 20000;
};

/// Starts a process of a run, with its log in the run's folder.
std::unique_ptr<ChildProcess> StartProcess(RunContext& context, const std::string& name,
                                           std::vector<std::string> arguments,
                                           std::vector<std::string> extra_environment = {},
                                           ChildProcess::OnLine on_line = nullptr);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_RUN_CONTEXT_H_
