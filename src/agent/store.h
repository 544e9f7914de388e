// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The agent's state on disk: a journal of batches (store_codec.h), each written whole or not at all. A batch
/// counts once it is synced. Compaction writes all records to a new file and renames it over the old one.
#ifndef BADGERBRIDGE_AGENT_STORE_H_
#define BADGERBRIDGE_AGENT_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "agent/disk.h"
#include "agent/error.h"
#include "agent/file_descriptor.h"

namespace badgerbridge::agent {

/// An open state file, locked against other agents (flock(2)). Movable, not copyable; not thread-safe.
class Store {
 public:
  /// Opens or makes `path` and reads it. Fails if another process has it, or if intact batches follow a
  /// damaged one: what the damaged one said cannot be guessed. A torn last batch is dropped.
  static Result<Store> Open(std::string path, std::shared_ptr<Disk> disk = std::make_shared<Disk>());

  /// The records of all batches at the time of Open, oldest first, as JSON texts. Empty after the first call.
  std::vector<std::string> TakeRecords() { return std::exchange(records_, {}); }
  /// Bytes of the torn last batch that Open dropped.
  std::uint64_t dropped_bytes() const { return dropped_bytes_; }

  /// Adds a batch of JSON texts and syncs it. On failure nothing of it is stored, and the next call tries
  /// again.
  Result<void> Append(const std::vector<std::string>& records);
  /// Rewrites the file with these records alone. On failure the old file stays in use.
  Result<void> Compact(const std::vector<std::string>& records);
  /// Whether the file has grown enough since the last compaction to be worth another.
  bool WantsCompaction() const { return size_ > 2 * compacted_size_ + kMinCompactionGrowth; }

  /// The error of the newest Append or Compact; nothing if it succeeded.
  const std::optional<AgentError>& last_error() const { return last_error_; }
  /// Bytes of the file.
  std::uint64_t size() const { return size_; }

 private:
  static constexpr std::uint64_t kMinCompactionGrowth = 1 << 20;  // bytes
  static constexpr std::uint64_t kMaxFileSize = 256 << 20;        // bytes

  Store(std::string path, std::shared_ptr<Disk> disk, FileDescriptor file)
      : path_(std::move(path)), disk_(std::move(disk)), file_(std::move(file)) {}

  Result<void> Load();
  Result<std::string> ReadFile() const;
  Result<std::size_t> ReadBatches(std::string_view text);
  Result<void> CheckTornEnd(std::string_view text, std::size_t intact_size) const;
  std::error_code WriteSuccessor(int file, const std::string& successor, const std::string& batch);
  AgentError IoError(std::string_view operation, int error_number) const;
  AgentError Fail(std::string_view operation, const std::error_code& error);

  std::string path_;
  std::shared_ptr<Disk> disk_;
  FileDescriptor file_;
  std::uint64_t size_ = 0;
  std::uint64_t compacted_size_ = 0;
  std::uint64_t dropped_bytes_ = 0;
  bool has_torn_end_ = false;  // a failed write may have left bytes behind size_
  std::optional<AgentError> last_error_;
  std::vector<std::string> records_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STORE_H_
