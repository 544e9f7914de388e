// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A run's end of the pipes to a role process: commands to it, events from it.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ROLE_PROCESS_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ROLE_PROCESS_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "multiprocess/message_dispatcher.h"
#include "multiprocess/run_context.h"

namespace badgerbridge::multiprocess {

/// A process of this program that plays a role (roles.h). What it records goes into the run's history.
class RoleProcess {
 public:
  /// Starts it. `role`: as the command line has it; `name`: of this process.
  RoleProcess(RunContext& context, const std::string& role, std::string name);
  RoleProcess(const RoleProcess&) = delete;
  RoleProcess& operator=(const RoleProcess&) = delete;

  /// Sends a command.
  template <typename Command>
  void Send(const Command& command) {
    process_->Write(EncodeMessage(command));
  }

  /// Sets the handler of a type of event, beside those that this class handles itself: Ready, Records, Ended
  /// and RoleError.
  template <typename Event>
  void On(std::function<void(const Event&)> handler) {
    dispatcher_.On<Event>(std::move(handler));
  }

  /// Whether it is set up.
  bool is_ready() const { return is_ready_; }
  /// The addresses of its servers, once it is set up.
  const std::vector<std::string>& addresses() const { return addresses_; }
  /// Whether it has sent all its records.
  bool has_reported() const { return has_reported_; }

 private:
  void AddRecords(const Records& records);
  void AddEnded(const Ended& ended);

  RunContext& context_;
  std::string name_;
  MessageDispatcher dispatcher_;
  bool is_ready_ = false;
  bool has_reported_ = false;
  std::vector<std::string> addresses_;
  std::unique_ptr<ChildProcess> process_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ROLE_PROCESS_H_
