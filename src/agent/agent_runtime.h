// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The agent without its servers: carries out what a FleetController decides with processes, calls, files and
/// the clock, and keeps the state and the audit log on disk.
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
  /// Opens the state, restores it, and adopts what runs. A state without records takes the file's instances;
  /// otherwise a file that differs from the state is only warned about. Start() makes it act.
  static Result<std::unique_ptr<AgentRuntime>> Create(boost::asio::io_context& io, const FleetFile& file,
                                                      std::shared_ptr<Disk> disk);
  /// Leaves the instances running.
  ~AgentRuntime();
  AgentRuntime(const AgentRuntime&) = delete;
  AgentRuntime& operator=(const AgentRuntime&) = delete;

  /// Starts what shall run, and begins to poll.
  void Start() { HandleEvent(Tick{}); }

  /// What it knows of instances and orders.
  const FleetController& controller() const { return controller_; }
  /// The [agent] table that it was made with.
  const AgentSettings& settings() const { return settings_; }
  /// MonotonicNow() when the runtime was made.
  Time started_at() const { return started_at_; }

  /// Validates the order and, unless it is a dry run, accepts it: only once it is in the audit log and on
  /// disk. A rejection is a result; an error means that nothing of the order has happened (kStoreUnavailable,
  /// kOrderNotAudited, kOrderNotStored).
  Result<ValidationResult> SubmitOrder(const Order& order, bool dry_run);

  /// Writes one line to the audit log; a line that cannot be written goes to the error output.
  Result<void> Audit(std::string_view author, std::string_view action, const boost::json::object& details);

  /// Polls all that run, and waits for the answers, but not for those that do not come at once.
  boost::asio::awaitable<void> RefreshStatus();
  /// Returns after any change, or after `max_wait`; also without a change.
  boost::asio::awaitable<void> WaitForChange(std::chrono::milliseconds max_wait) {
    return changes_.Wait(max_wait);
  }
  /// The newest answer of the instance's process; nullptr: there is none.
  const InstancePoller::LatestStatus* FindStatus(const std::string& instance) const {
    return poller_.FindStatus(instance);
  }
  /// "ok", or what cannot be written, for people.
  std::string DiskHealth() const;
  /// Where the instance keeps its files.
  InstancePaths PathsOf(const std::string& instance) const;

 private:
  AgentRuntime(boost::asio::io_context& io, const FleetFile& file, Store store);

  Result<void> Restore(const FleetFile& file);
  Result<void> RestoreRecords(const std::vector<std::string>& records, std::string& boot_id);
  std::map<std::string, pid_t> AdoptProcesses();
  void SkipAuditOfEndedTasks();
  Result<void> WarnOfFileChanges(const FleetFile& file) const;

  void HandleEvent(Event event);
  void Perform(const std::vector<Action>& actions);
  void Do(const Spawn& action);
  void Do(const Call& action);
  void Do(const Signal& action);
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
  std::set<std::string> audited_tasks_;  // "order/instance" of ended tasks that are in the audit log
  std::deque<Event> events_;             // not handled yet
  bool is_handling_events_ = false;
  bool is_unsaved_ = false;  // the disk did not take the newest changes
  Time retry_save_at_{0};
  Time bound_logs_at_{0};
  net::OneShotTimer work_timer_;
  ChangeSignal changes_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AGENT_RUNTIME_H_
