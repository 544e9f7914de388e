// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The part of StartProcess that runs in the child, between fork(2) and execve(2). Only async-signal-safe
/// functions may be called there, so everything that allocates memory is prepared before the fork.
#ifndef BADGERBRIDGE_AGENT_CHILD_PROCESS_H_
#define BADGERBRIDGE_AGENT_CHILD_PROCESS_H_

#include <string>
#include <vector>

#include "agent/instance_definition.h"

namespace badgerbridge::agent {

/// The descriptor that holds the lock of an instance. The child closes all higher descriptors.
constexpr int kLockDescriptor = 3;

/// Owns a null-terminated array of C strings in the form that execve(2) expects.
class CStringArray {
 public:
  /// The strings need no terminating null characters.
  explicit CStringArray(std::vector<std::string> strings);
  CStringArray(const CStringArray&) = delete;
  CStringArray& operator=(const CStringArray&) = delete;

  /// Valid as long as this object.
  char* const* data() const { return pointers_.data(); }

 private:
  std::vector<std::string> strings_;
  std::vector<char*> pointers_;
};

/// The inputs of RunChild(). The references must be valid until execve(2).
struct ChildSetup {
  const InstanceDefinition& definition;  ///< working directory and limits
  const CStringArray& arguments;         ///< the first is the path of the program
  const CStringArray& environment;       ///< as NAME=value
  int lock = -1;                         ///< descriptor of the locked file
  int log = -1;                          ///< descriptor of the log
  int report = -1;  ///< close-on-exec pipe to the parent, for the failed operation as "errno text"
};

/// The environment of the instance: the agent's own environment without proxy settings, then the variables of
/// the definition.
std::vector<std::string> BuildEnvironment(const InstanceDefinition& definition);

/// Executes the program of the instance. If that fails, reports the error to the parent and exits.
[[noreturn]] void RunChild(const ChildSetup& setup);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_CHILD_PROCESS_H_
