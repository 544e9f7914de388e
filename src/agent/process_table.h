// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The running processes of all instances, and the notification of their exits.
#ifndef BADGERBRIDGE_AGENT_PROCESS_TABLE_H_
#define BADGERBRIDGE_AGENT_PROCESS_TABLE_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/process.h"

namespace badgerbridge::agent {

/// Holds at most one process per instance until the process ends. Destroying the table leaves the processes
/// running. Runs on one event loop; not thread-safe.
class ProcessTable {
 public:
  /// Called on the event loop when a process has ended, after its removal from the table. `description` is
  /// the text of ReapProcess().
  using ExitHandler =
      std::function<void(const std::string& instance, pid_t pid, const std::string& description)>;

  /// `io` must outlive the table.
  ProcessTable(boost::asio::io_context& io, ExitHandler on_exit);
  /// Leaves the processes running.
  ~ProcessTable();
  ProcessTable(const ProcessTable&) = delete;
  ProcessTable& operator=(const ProcessTable&) = delete;

  /// Adds the process of the instance, replacing an earlier one, and watches it for its end.
  void Add(const std::string& instance, Process process);
  /// The pid of the instance's process; 0 if it has none.
  pid_t FindPid(const std::string& instance) const;
  /// Sends the signal if the instance has a process, else does nothing.
  void Signal(const std::string& instance, int number) const;
  /// The names of the instances that have a process.
  std::vector<std::string> Instances() const;
  /// Whether no instance has a process.
  bool empty() const { return entries_.empty(); }

 private:
  struct Entry {
    Process process;
    boost::asio::posix::stream_descriptor watch;  // a duplicate of the pidfd
  };

  void AwaitExit(const std::string& instance, pid_t pid);
  void HandleReadable(const std::string& instance, pid_t pid);

  boost::asio::io_context& io_;
  ExitHandler on_exit_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed
  std::map<std::string, Entry> entries_;                        // by instance
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_PROCESS_TABLE_H_
