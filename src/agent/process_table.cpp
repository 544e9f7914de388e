// SPDX-License-Identifier: Apache-2.0
#include "agent/process_table.h"

#include <fcntl.h>

#include <optional>
#include <utility>

namespace badgerbridge::agent {

namespace asio = boost::asio;

ProcessTable::ProcessTable(asio::io_context& io, ExitHandler on_exit)
    : io_(io), on_exit_(std::move(on_exit)) {}

ProcessTable::~ProcessTable() { *alive_ = false; }

void ProcessTable::Add(const std::string& instance, Process process) {
  const pid_t pid = process.pid;
  const int watched = fcntl(process.pidfd.get(), F_DUPFD_CLOEXEC, 0);
  entries_.erase(instance);
  entries_.emplace(instance, Entry{std::move(process), asio::posix::stream_descriptor(io_, watched)});
  AwaitExit(instance, pid);
}

pid_t ProcessTable::FindPid(const std::string& instance) const {
  const auto found = entries_.find(instance);
  return found == entries_.end() ? 0 : found->second.process.pid;
}

void ProcessTable::Signal(const std::string& instance, int number) const {
  const auto found = entries_.find(instance);
  if (found != entries_.end()) SendSignal(found->second.process, number);
}

std::vector<std::string> ProcessTable::Instances() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : entries_) names.push_back(name);
  return names;
}

void ProcessTable::AwaitExit(const std::string& instance, pid_t pid) {
  entries_.at(instance).watch.async_wait(
      asio::posix::stream_descriptor::wait_read,
      [this, alive = alive_, instance, pid](const boost::system::error_code& error) {
        if (!error && *alive) HandleReadable(instance, pid);
      });
}

void ProcessTable::HandleReadable(const std::string& instance, pid_t pid) {
  const auto found = entries_.find(instance);
  if (found == entries_.end() || found->second.process.pid != pid) return;
  const std::optional<std::string> description = ReapProcess(found->second.process);
  // Under load a pidfd was reported readable while its process was still running (docs/agent.md).
  if (!description) return AwaitExit(instance, pid);
  entries_.erase(found);
  on_exit_(instance, pid, *description);
}

}  // namespace badgerbridge::agent
