// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The agent's state on disk: a journal of batches (store_codec.h). A batch is atomic, and durable once it is
/// synced. Compaction writes all records to a new file and renames it over the old one.
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
  /// Opens or creates `path` and reads it. Fails if another process has it open, or if intact batches follow
  /// a damaged one, since the records of the damaged batch are lost. A torn last batch is dropped.
  static Result<Store> Open(std::string path, std::shared_ptr<Disk> disk = std::make_shared<Disk>());

  /// Moves out the records that Open() read, oldest first, as JSON texts. Empty after the first call.
  std::vector<std::string> TakeRecords() { return std::exchange(records_, {}); }
  /// Size in bytes of the torn last batch that Open() dropped; 0 if there was none.
  std::uint64_t dropped_bytes() const { return dropped_bytes_; }

  /// Appends a batch of JSON texts and syncs it. On failure none of its records is stored, and a later call
  /// can succeed.
  Result<void> Append(const std::vector<std::string>& records);
  /// Replaces the file by one with only these records. On failure the old file stays in use.
  Result<void> Compact(const std::vector<std::string>& records);
  /// Whether the file has more than doubled since the last compaction, and grown by
  /// kMinCompactionGrowthBytes.
  bool NeedsCompaction() const { return size_ > 2 * compacted_size_ + kMinCompactionGrowthBytes; }

  /// The error of the latest Append() or Compact(); nullopt if it succeeded.
  const std::optional<AgentError>& last_error() const { return last_error_; }
  /// Size of the file in bytes, without a torn end.
  std::uint64_t size() const { return size_; }

 private:
  static constexpr std::uint64_t kMinCompactionGrowthBytes = 1 << 20;
  static constexpr std::uint64_t kMaxFileBytes = 256 << 20;

  Store(std::string path, std::shared_ptr<Disk> disk, FileDescriptor file)
      : path_(std::move(path)), disk_(std::move(disk)), file_(std::move(file)) {}

  Result<void> Load();
  Result<std::string> ReadFile() const;
  Result<std::size_t> ReadBatches(std::string_view text);
  Result<void> CheckTornEnd(std::string_view text, std::size_t intact_size) const;
  std::error_code WriteCompacted(int file, const std::string& temporary_path, const std::string& batch);
  AgentError IoError(std::string_view operation, int error_number) const;
  AgentError Fail(std::string_view operation, const std::error_code& error);

  std::string path_;
  std::shared_ptr<Disk> disk_;
  FileDescriptor file_;
  std::uint64_t size_ = 0;
  std::uint64_t compacted_size_ = 0;
  std::uint64_t dropped_bytes_ = 0;
  bool has_torn_end_ = false;  // a failed write may have left bytes after size_
  std::optional<AgentError> last_error_;
  std::vector<std::string> records_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STORE_H_
