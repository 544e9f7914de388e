// SPDX-License-Identifier: Apache-2.0
//
// Persistence of the runtime: accepted orders, the state file, and the audit log.
#include <boost/asio/post.hpp>
#include <iostream>

#include "agent/agent_runtime.h"
#include "agent/agent_state_codec.h"
#include "agent/clock.h"

namespace badgerbridge::agent {
namespace {

constexpr Time kSaveRetryDelay{2000};  // after a failed write of the state
/// Size of audited_tasks_ at which the entries of pruned orders are removed.
constexpr std::size_t kMaxAuditedTasks = 4 * kMaxOrders * 16;

}  // namespace

Result<ValidationResult> AgentRuntime::SubmitOrder(const Order& order, bool dry_run) {
  const ValidationResult validation = controller_.Validate(order);
  if (dry_run || validation.code == ValidationResult::Code::kDuplicate) return validation;
  if (is_unsaved_) return AgentError{AgentErrorKind::kStoreUnavailable, "", Message(*store_.last_error())};
  if (!Audit(order.author, "order", EncodeAuditOrder(order, validation)))
    return AgentError{AgentErrorKind::kOrderNotAudited, "", order.id};
  if (!validation.accepted()) return validation;

  const FleetController before = controller_;
  std::vector<Action> actions;
  controller_.Submit(MonotonicNow(), UnixMilliseconds(), order, &actions);
  if (const Result<void> stored = store_.Append(controller_.TakeChanges()); !stored) {
    controller_ = before;
    const std::string reason = Message(stored.error());
    Audit("agent", "not taken after all", {{"order", order.id}, {"why", reason}});
    return AgentError{AgentErrorKind::kOrderNotStored, "", reason};
  }
  // Events that result from the actions are queued, so that the response describes the order as accepted.
  is_handling_events_ = true;
  Perform(actions);
  is_handling_events_ = false;
  boost::asio::post(io_, [this, alive = alive_] {
    if (*alive) HandleEvent(Tick{});
  });
  return validation;
}

std::vector<std::string> AgentRuntime::AllRecords() const {
  std::vector<std::string> records = controller_.AllRecords();
  records.push_back(EncodeBootRecord(ReadBootId()));
  return records;
}

void AgentRuntime::SaveChanges() {
  const std::vector<std::string> changes = controller_.TakeChanges();
  if (is_unsaved_) return;  // RetrySave() writes all records
  if (const Result<void> saved = store_.Append(changes); !saved) {
    is_unsaved_ = true;
    retry_save_at_ = MonotonicNow() + kSaveRetryDelay;
    std::cerr << "badgerbridge-agent: " << Message(saved.error())
              << "; rejecting new orders until the state can be stored again\n";
    return;
  }
  // A failed compaction leaves the old file in use, and is attempted again with the next change.
  if (store_.NeedsCompaction()) static_cast<void>(store_.Compact(AllRecords()));
}

void AgentRuntime::RetrySave(Time now) {
  if (!is_unsaved_ || now < retry_save_at_) return;
  is_unsaved_ = !store_.Compact(AllRecords());
  retry_save_at_ = now + kSaveRetryDelay;
  if (!is_unsaved_) std::cerr << "badgerbridge-agent: the state is stored again; accepting new orders\n";
}

std::string AgentRuntime::DiskHealth() const {
  if (is_unsaved_) return Message(*store_.last_error());
  return audit_log_.ok() ? "ok" : "the audit log cannot be written";
}

Result<void> AgentRuntime::Audit(std::string_view author, std::string_view action,
                                 const boost::json::object& details) {
  return WriteAuditLines({EncodeAuditLine(author, action, details)});
}

Result<void> AgentRuntime::WriteAuditLines(const std::vector<std::string>& lines) {
  Result<void> written = audit_log_.Append(lines);
  if (written) return written;
  for (const std::string& line : lines)
    std::cerr << "badgerbridge-agent: cannot write the audit log; the line was: " << line << '\n';
  return written;
}

void AgentRuntime::AuditEndedTasks() {
  std::vector<std::string> lines;
  for (const OrderState& order : controller_.orders()) {
    for (const InstanceTask& task : order.tasks) {
      if (!IsTerminal(task.state)) continue;
      const bool is_new = audited_tasks_.insert(order.order.id + "/" + task.instance).second;
      if (is_new) lines.push_back(EncodeAuditResult(order.order, task));
    }
  }
  if (!lines.empty()) WriteAuditLines(lines);
  if (audited_tasks_.size() <= kMaxAuditedTasks) return;
  std::erase_if(audited_tasks_, [this](const std::string& key) {
    return !controller_.FindOrder(key.substr(0, key.find('/')));
  });
}

}  // namespace badgerbridge::agent
