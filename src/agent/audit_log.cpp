// SPDX-License-Identifier: Apache-2.0
#include "agent/audit_log.h"

#include <fcntl.h>
#include <sys/stat.h>

#include <boost/json.hpp>
#include <cerrno>
#include <cstdio>
#include <ctime>
#include <utility>

#include "agent/disk.h"
#include "agent/order_codec.h"

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

std::string FormatUtcNow() {
  const std::time_t seconds = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

}  // namespace

AuditLog::AuditLog(std::string path, std::uint64_t max_bytes, int max_old_files)
    : path_(std::move(path)), max_bytes_(max_bytes), max_old_files_(max_old_files) {
  Open();
}

void AuditLog::Open() {
  file_ = FileDescriptor(open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  struct stat file_status {};
  const bool has_status = file_.is_open() && fstat(file_.get(), &file_status) == 0;
  size_ = has_status ? static_cast<std::uint64_t>(file_status.st_size) : 0;
}

void AuditLog::Rotate() {
  for (int i = max_old_files_ - 1; i >= 1; --i) {
    const std::string from = path_ + "." + std::to_string(i);
    const std::string to = path_ + "." + std::to_string(i + 1);
    rename(from.c_str(), to.c_str());
  }
  rename(path_.c_str(), (path_ + ".1").c_str());
  Open();
}

Result<void> AuditLog::Append(const std::vector<std::string>& lines) {
  if (lines.empty()) return {};
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  if (size_ >= max_bytes_) Rotate();
  if (!file_.is_open()) Open();
  Result<void> written = WriteAndSync(text);
  ok_ = written.has_value();
  if (ok_) size_ += text.size();
  return written;
}

Result<void> AuditLog::WriteAndSync(const std::string& text) const {
  if (!file_.is_open()) return AgentError{AgentErrorKind::kAuditLogIo, "open", path_, errno};
  Disk disk;
  if (const auto error = disk.Write(file_.get(), text))
    return AgentError{AgentErrorKind::kAuditLogIo, "write to", path_, error.value()};
  if (const auto error = disk.Sync(file_.get()))
    return AgentError{AgentErrorKind::kAuditLogIo, "sync", path_, error.value()};
  return {};
}

std::string EncodeAuditLine(std::string_view author, std::string_view action, const json::object& details) {
  json::object line{{"when", FormatUtcNow()}, {"who", author}, {"what", action}};
  for (const auto& [key, value] : details) line[key] = value;
  return json::serialize(line);
}

json::object EncodeAuditOrder(const Order& order, const ValidationResult& validation) {
  json::array instances;
  for (const std::string& name : order.instances) instances.emplace_back(name);
  return {{"order", order.id},
          {"verb", VerbName(order.verb)},
          {"against", order.expected_generation},
          {"supersede", order.supersede},
          {"verdict", validation.accepted() ? "accepted" : validation.message},
          {"instances", std::move(instances)}};
}

std::string EncodeAuditResult(const Order& order, const InstanceTask& task) {
  const bool has_begun = task.started_at != Time(0);
  return EncodeAuditLine(order.author, "result",
                         {{"order", order.id},
                          {"verb", VerbName(order.verb)},
                          {"instance", task.instance},
                          {"result", TaskStateName(task.state)},
                          {"text", task.message},
                          {"took_ms", has_begun ? (task.ended_at - task.started_at).count() : 0}});
}

}  // namespace badgerbridge::agent
