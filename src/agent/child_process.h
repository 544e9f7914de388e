// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The part of StartProcess that runs in the child, between fork(2) and execve(2). Only async-signal-safe
/// functions are called there, so all that allocates is prepared before.
#ifndef BADGERBRIDGE_AGENT_CHILD_PROCESS_H_
#define BADGERBRIDGE_AGENT_CHILD_PROCESS_H_

#include <string>
#include <vector>

#include "agent/instance_definition.h"

namespace badgerbridge::agent {

/// The descriptor on which an instance holds its lock. All higher ones are closed.
constexpr int kLockDescriptor = 3;

/// A null-terminated array of C strings, as execve(2) takes it, with the memory behind it.
class CStringArray {
 public:
  /// Takes the strings over.
  explicit CStringArray(std::vector<std::string> strings);
  CStringArray(const CStringArray&) = delete;
  CStringArray& operator=(const CStringArray&) = delete;

  /// Valid as long as this object.
  char* const* data() const { return pointers_.data(); }

 private:
  std::vector<std::string> strings_;
  std::vector<char*> pointers_;
};

/// All that the child needs.
struct ChildSetup {
  const InstanceDefinition& definition;  ///< working directory and limits
  const CStringArray& arguments;         ///< the first is the program's path
  const CStringArray& environment;       ///< as NAME=value
  int lock = -1;                         ///< descriptor of the locked file
  int log = -1;                          ///< descriptor of the log
  int report = -1;  ///< close-on-exec pipe: what failed is written there, as "errno text"
};

/// The instance's environment: the agent's own without its settings, then those of the definition.
std::vector<std::string> BuildEnvironment(const InstanceDefinition& definition);

/// Replaces the child by the instance. Ends the child if that fails.
[[noreturn]] void RunChild(const ChildSetup& setup);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_CHILD_PROCESS_H_
