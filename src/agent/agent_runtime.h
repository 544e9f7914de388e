// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The agent without its API servers: performs the actions of a FleetController on processes, control sockets
/// and files, and stores the state and the audit log on disk.
#ifndef BADGERBRIDGE_AGENT_AGENT_RUNTIME_H_
#define BADGERBRIDGE_AGENT_AGENT_RUNTIME_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "agent/audit_log.h"
#include "agent/change_signal.h"
#include "agent/error.h"
#include "agent/fleet_controller.h"
#include "agent/fleet_file.h"
#include "agent/instance_poller.h"
#include "agent/process_table.h"
#include "agent/store.h"
#include "net/one_shot_timer.h"

namespace badgerbridge::agent {

/// Runs on one event loop; not thread-safe. Destroying it leaves the instances running.
class AgentRuntime {
 public:
  /// Opens and restores the stored state, and adopts running instances. An empty state is initialized with
  /// the instances of the file. Otherwise the stored definitions stay in force, and a file that differs from
  /// them causes only a warning. No instance is started or polled before Start().
  static Result<std::unique_ptr<AgentRuntime>> Create(boost::asio::io_context& io, const FleetFile& file,
                                                      std::shared_ptr<Disk> disk);
  /// Leaves the instances running.
  ~AgentRuntime();
  AgentRuntime(const AgentRuntime&) = delete;
  AgentRuntime& operator=(const AgentRuntime&) = delete;

  /// Starts the instances that are desired to run, and begins polling.
  void Start() { HandleEvent(Tick{}); }

  /// The instances and orders. Valid as long as the runtime.
  const FleetController& controller() const { return controller_; }
  /// The [agent] table of the fleet file given to Create().
  const AgentSettings& settings() const { return settings_; }
  /// MonotonicNow() when the runtime was created.
  Time started_at() const { return started_at_; }

  /// Validates the order. Unless it is a dry run, writes it to the audit log and to the state file before
  /// accepting it. A rejection is a result. An error (kStoreUnavailable, kOrderNotAudited, kOrderNotStored)
  /// means that the order had no effect.
  Result<ValidationResult> SubmitOrder(const Order& order, bool dry_run);

  /// Writes one line to the audit log. A line that cannot be written is printed to standard error.
  Result<void> Audit(std::string_view author, std::string_view action, const boost::json::object& details);

  /// Polls all running instances, and waits at most kMaxStatusWait for their responses.
  boost::asio::awaitable<void> RefreshStatus();
  /// Returns after any change or after `max_wait`. May return early without a change, so the caller checks
  /// its condition again.
  boost::asio::awaitable<void> WaitForChange(std::chrono::milliseconds max_wait) {
    return changes_.Wait(max_wait);
  }
  /// The latest status of the instance's current process; nullptr if it has not responded yet.
  const InstancePoller::LatestStatus* FindStatus(const std::string& instance) const {
    return poller_.FindStatus(instance);
  }
  /// "ok", or a readable text that says which file cannot be written.
  std::string DiskHealth() const;
  /// The paths of the lock file and the log of the instance.
  InstancePaths PathsOf(const std::string& instance) const;

 private:
  AgentRuntime(boost::asio::io_context& io, const FleetFile& file, Store store);

  Result<void> Restore(const FleetFile& file);
  Result<void> RestoreRecords(const std::vector<std::string>& records, std::string& boot_id);
  std::map<std::string, pid_t> AdoptProcesses();
  void MarkEndedTasksAudited();
  Result<void> WarnAboutFileChanges(const FleetFile& file) const;

  void HandleEvent(Event event);
  void Perform(const std::vector<Action>& actions);
  void PerformOne(const Spawn& action);
  void PerformOne(const Call& action);
  void PerformOne(const Signal& action);
  Event SpawnInstance(const Spawn& action);
  void Watch(const std::string& instance, Process process);
  void HandleExit(const std::string& instance, pid_t pid, const std::string& description);
  boost::asio::awaitable<void> CallInstance(std::string instance, std::string socket, bool drain,
                                            Time deadline);

  void SaveChanges();
  void RetrySave(Time now);
  std::vector<std::string> AllRecords() const;
  void AuditEndedTasks();
  Result<void> WriteAuditLines(const std::vector<std::string>& lines);

  void RunDueWork();
  void BoundLogs(Time now);
  void ScheduleWork();

  boost::asio::io_context& io_;
  AgentSettings settings_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed
  Store store_;
  AuditLog audit_log_;
  FleetController controller_;
  Time started_at_;
  ProcessTable processes_;
  InstancePoller poller_;
  std::set<std::string> audited_tasks_;  // "order/instance" of ended tasks that were written to the audit log
  std::deque<Event> events_;             // queue of events to handle
  bool is_handling_events_ = false;
  bool is_unsaved_ = false;  // the latest changes could not be stored
  Time retry_save_at_{0};
  Time bound_logs_at_{0};
  net::OneShotTimer work_timer_;
  ChangeSignal changes_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AGENT_RUNTIME_H_
