// SPDX-License-Identifier: Apache-2.0
//
// Startup of the runtime: creates the state directory, restores stored records, adopts running processes, and
// compares the state with the fleet file.
#include <sys/stat.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cerrno>
#include <iostream>
#include <utility>

#include "agent/agent_runtime.h"
#include "agent/agent_state_codec.h"
#include "agent/clock.h"

namespace badgerbridge::agent {
namespace {

constexpr std::uint64_t kMaxAuditLogBytes = 4 << 20;  // per file
constexpr int kMaxOldAuditLogs = 4;

Result<void> MakeDirectory(const std::string& path) {
  if (mkdir(path.c_str(), 0700) == 0 || errno == EEXIST) return {};
  return AgentError{AgentErrorKind::kStateDirectory, "make", path, errno};
}

Result<void> MakeStateDirectories(const std::string& state_dir) {
  for (const char* directory : {"", "/instances", "/logs"}) {
    if (const Result<void> made = MakeDirectory(state_dir + directory); !made) return made.error();
  }
  return {};
}

RestartPolicy RestartPolicyOf(const AgentSettings& settings) {
  return {settings.initial_backoff, settings.max_backoff, settings.min_uptime,
          settings.max_consecutive_crashes};
}

/// Differs between agents that start at the same time and between starts of one agent, so that their restart
/// backoffs are not synchronized.
std::uint64_t JitterSeed() {
  return static_cast<std::uint64_t>(UnixMilliseconds()) ^ static_cast<std::uint64_t>(getpid());
}

}  // namespace

Result<std::unique_ptr<AgentRuntime>> AgentRuntime::Create(boost::asio::io_context& io, const FleetFile& file,
                                                           std::shared_ptr<Disk> disk) {
  const std::string& state_dir = file.agent.state_dir;
  if (const Result<void> made = MakeStateDirectories(state_dir); !made) return made.error();
  Result<Store> store = Store::Open(state_dir + "/state", std::move(disk));
  if (!store) return store.error();
  if (store->dropped_bytes() > 0)
    std::cerr << "badgerbridge-agent: the last " << store->dropped_bytes()
              << " bytes of the state file are an incomplete batch; dropping them\n";
  std::unique_ptr<AgentRuntime> runtime(new AgentRuntime(io, file, std::move(*store)));
  if (const Result<void> restored = runtime->Restore(file); !restored) return restored.error();
  return runtime;
}

AgentRuntime::AgentRuntime(boost::asio::io_context& io, const FleetFile& file, Store store)
    : io_(io),
      settings_(file.agent),
      store_(std::move(store)),
      audit_log_(settings_.state_dir + "/audit.log", kMaxAuditLogBytes, kMaxOldAuditLogs),
      controller_(JitterSeed(), RestartPolicyOf(settings_)),
      started_at_(MonotonicNow()),
      processes_(io, [this](const std::string& instance, pid_t pid,
                            const std::string& description) { HandleExit(instance, pid, description); }),
      poller_(io, controller_, processes_, settings_.poll_interval,
              {[this](Event event) { HandleEvent(std::move(event)); }, [this] { ScheduleWork(); }}),
      work_timer_(io),
      changes_(io) {}

Result<void> AgentRuntime::Restore(const FleetFile& file) {
  const std::vector<std::string> records = store_.TakeRecords();
  const bool is_new = records.empty();
  std::string boot_id;
  if (const Result<void> restored = RestoreRecords(records, boot_id); !restored) return restored.error();
  if (is_new) {
    for (const InstanceDefinition& one : file.instances)
      controller_.AddInstance(one.name, SerializeDefinition(one), true);
  }
  const std::map<std::string, pid_t> adopted = AdoptProcesses();
  controller_.FinishRestore(MonotonicNow(), boot_id == ReadBootId(), adopted);
  if (const Result<void> saved = store_.Compact(AllRecords()); !saved) return saved.error();
  MarkEndedTasksAudited();
  Audit("agent", "started",
        {{"pid", getpid()}, {"adopted", adopted.size()}, {"generation", controller_.generation()}});
  return is_new ? Result<void>() : WarnAboutFileChanges(file);
}

/// Also sets `boot_id` to the boot to which the stored times belong.
Result<void> AgentRuntime::RestoreRecords(const std::vector<std::string>& records, std::string& boot_id) {
  for (const std::string& record : records) {
    if (const auto recorded_boot = DecodeBootRecord(record)) {
      boot_id = *recorded_boot;
      continue;
    }
    if (const Result<void> restored = controller_.RestoreRecord(record); !restored) return restored.error();
  }
  return {};
}

/// Finds all running processes before the controller handles an event, since the controller starts each
/// desired instance that is not reported as running.
std::map<std::string, pid_t> AgentRuntime::AdoptProcesses() {
  std::map<std::string, pid_t> adopted;
  for (const auto& [name, instance] : controller_.instances()) {
    auto process = FindProcess(PathsOf(name));
    if (!process) continue;
    adopted[name] = process->pid;
    Watch(name, std::move(*process));
  }
  return adopted;
}

/// Marks restored ended tasks as audited: the previous agent wrote them to the audit log.
void AgentRuntime::MarkEndedTasksAudited() {
  for (const OrderState& order : controller_.orders()) {
    for (const InstanceTask& task : order.tasks) {
      if (IsTerminal(task.state)) audited_tasks_.insert(order.order.id + "/" + task.instance);
    }
  }
}

Result<void> AgentRuntime::WarnAboutFileChanges(const FleetFile& file) const {
  DefinitionTexts stored;
  for (const auto& [name, instance] : controller_.instances()) stored[name] = instance.definition;
  const auto changes = DiffDefinitions(stored, SerializeDefinitions(file.instances));
  if (!changes) return changes.error();
  if (changes->empty()) return {};
  std::cerr
      << "badgerbridge-agent: the fleet file differs from what was last applied in " << changes->size()
      << " instances; keeping the stored definitions; see badgerbridge-ctl diff and badgerbridge-ctl apply\n";
  return {};
}

}  // namespace badgerbridge::agent
