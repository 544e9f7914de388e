// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The audit log: who changed what, when, and with what result. One JSON line each, synced.
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

/// An append-only file that is rotated at a size; PATH.1 is the newest of the old files. A file that cannot
/// be opened is tried again with each Append. Not thread-safe.
class AuditLog {
 public:
  /// `max_bytes` is the size at which the file is rotated, `max_old_files` how many old files are kept.
  AuditLog(std::string path, std::uint64_t max_bytes, int max_old_files);

  /// Appends lines without line ends and syncs them. AgentErrorKind::kAuditLogIo if they are not on disk.
  Result<void> Append(const std::vector<std::string>& lines);
  /// Whether the newest Append has succeeded.
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

/// One line: the time of the wall clock, the author, what was done, and further members.
std::string EncodeAuditLine(std::string_view author, std::string_view action,
                            const boost::json::object& details);

/// The details of a submitted order and what became of it.
boost::json::object EncodeAuditOrder(const Order& order, const ValidationResult& validation);

/// The line for a task that has ended.
std::string EncodeAuditResult(const Order& order, const InstanceTask& task);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AUDIT_LOG_H_
