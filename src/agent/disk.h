// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The system calls that modify the agent's state file.
#ifndef BADGERBRIDGE_AGENT_DISK_H_
#define BADGERBRIDGE_AGENT_DISK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace badgerbridge::agent {

/// Writes to the file system; tests override it to inject failures. Errors are errno values of
/// std::generic_category(); an empty error code means success.
class Disk {
 public:
  /// Closes no file: the caller owns the descriptors.
  virtual ~Disk() = default;
  /// Writes all bytes. After a failure, some of them may have been written.
  virtual std::error_code Write(int file, std::string_view bytes);
  /// fdatasync(2).
  virtual std::error_code Sync(int file);
  /// ftruncate(2).
  virtual std::error_code Truncate(int file, std::uint64_t size);
  /// rename(2).
  virtual std::error_code Rename(const std::string& from, const std::string& to);
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_DISK_H_
