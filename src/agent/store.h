// SPDX-License-Identifier: Apache-2.0
//
// The agent's state on disk: a journal of batches, each written whole or not at all. One line a batch,
// "crc32 length json\n", the JSON an array of records; the checksum is CRC-32 (IEEE 802.3) of the JSON. A
// batch counts once it is fsynced. Compaction writes all records to a new file and renames it over the old.
#ifndef BADGERBRIDGE_AGENT_STORE_H_
#define BADGERBRIDGE_AGENT_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace badgerbridge::agent {

// What a store does to the disk; a test puts one in that fails.
class Disk {
 public:
  virtual ~Disk() = default;
  // Each gives 0 or an errno.
  virtual int Write(int file, std::string_view bytes);  // all of them, or an error
  virtual int Sync(int file);
  virtual int Truncate(int file, std::uint64_t size);
  virtual int Rename(const std::string& from, const std::string& to);
};

class BadStore : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Store {
 public:
  // Opens or makes `path` and locks it: two agents never share one. Throws BadStore, one line, also where a
  // batch in the midst is damaged: what stands behind it is not to be guessed. A torn last batch is dropped.
  Store(std::string path, std::shared_ptr<Disk> disk = std::make_shared<Disk>());
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // The records of all whole batches, oldest first; what was read at the start, and no more after it was
  // taken.
  std::vector<std::string> TakeRecords() { return std::move(records_); }
  std::uint64_t dropped() const { return dropped_; }  // bytes of a torn last batch

  // Adds a batch; false if it is not on disk, and then nothing of it is: error() says why. The next call
  // tries again.
  bool Append(const std::vector<std::string>& records);
  // Rewrites the file with these alone. On failure the old file stays in use.
  bool Compact(const std::vector<std::string>& records);
  bool WantsCompaction() const { return size_ > 2 * compacted_size_ + kCompactAt; }

  const std::string& error() const { return error_; }
  std::uint64_t size() const { return size_; }

  static std::string Frame(const std::vector<std::string>& records);

 private:
  static constexpr std::uint64_t kCompactAt = 1 << 20, kMostSize = 256 << 20;

  void Read();
  bool Fail(const char* what, int error);

  std::string path_;
  std::shared_ptr<Disk> disk_;
  int file_ = -1;
  std::uint64_t size_ = 0, compacted_size_ = 0, dropped_ = 0;
  bool torn_ = false;  // a failed write may have left bytes behind size_
  std::string error_;
  std::vector<std::string> records_;
};

// What changed something: who, what, when, with what result. One JSON line each, fsynced, in a file that is
// moved aside at a size; a few such files are kept.
class AuditLog {
 public:
  AuditLog(std::string path, std::uint64_t most_bytes, int kept);
  ~AuditLog();
  AuditLog(const AuditLog&) = delete;
  AuditLog& operator=(const AuditLog&) = delete;

  bool Add(const std::vector<std::string>& lines);  // false: they are not on disk
  bool ok() const { return ok_; }

 private:
  void Open();

  std::string path_;
  std::uint64_t most_bytes_, size_ = 0;
  int kept_, file_ = -1;
  bool ok_ = true;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STORE_H_
