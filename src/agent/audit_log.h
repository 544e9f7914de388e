// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The audit log: author, time, action and result of each change. Each entry is one JSON line, synced to
/// disk.
#ifndef BADGERBRIDGE_AGENT_AUDIT_LOG_H_
#define BADGERBRIDGE_AGENT_AUDIT_LOG_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "agent/error.h"
#include "agent/file_descriptor.h"
#include "agent/order.h"
#include "agent/order_validation.h"

namespace badgerbridge::agent {

/// An append-only file, rotated by size; PATH.1 is the newest of the rotated files. If the file cannot be
/// opened, each Append() attempts to open it again. Not thread-safe.
class AuditLog {
 public:
  /// Rotates the file at `max_bytes`, and keeps `max_old_files` rotated files.
  AuditLog(std::string path, std::uint64_t max_bytes, int max_old_files);

  /// Appends the lines, given without line ends, and syncs them. Fails with AgentErrorKind::kAuditLogIo if
  /// they are not on disk.
  Result<void> Append(const std::vector<std::string>& lines);
  /// Whether the latest Append() succeeded.
  bool ok() const { return ok_; }

 private:
  void Open();
  void Rotate();
  Result<void> WriteAndSync(const std::string& text) const;

  std::string path_;
  std::uint64_t max_bytes_;
  std::uint64_t size_ = 0;
  int max_old_files_;
  FileDescriptor file_;
  bool ok_ = true;
};

/// One line with the wall-clock time, the author, the action, and the members of `details`.
std::string EncodeAuditLine(std::string_view author, std::string_view action,
                            const boost::json::object& details);

/// The details of a submitted order and the result of its validation.
boost::json::object EncodeAuditOrder(const Order& order, const ValidationResult& validation);

/// The line for the result of an ended task.
std::string EncodeAuditResult(const Order& order, const InstanceTask& task);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AUDIT_LOG_H_
