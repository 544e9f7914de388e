// SPDX-License-Identifier: Apache-2.0
#include "agent/store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cerrno>

#include "agent/store_codec.h"

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

/// A rename or a new file is durable only once its directory is synced.
void SyncDirectoryOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string name = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const FileDescriptor directory(open(name.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (directory.is_open()) fsync(directory.get());
}

/// The temporary file of a compaction. Removed on destruction unless it was renamed over the state file.
class TemporaryFile {
 public:
  explicit TemporaryFile(std::string path)
      : path_(std::move(path)),
        file_(open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600)) {}
  ~TemporaryFile() {
    if (file_.is_open()) unlink(path_.c_str());
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const FileDescriptor& file() const { return file_; }
  const std::string& path() const { return path_; }
  /// Called after the rename: keeps the file, and moves its ownership to the caller.
  FileDescriptor Keep() { return std::move(file_); }

 private:
  std::string path_;
  FileDescriptor file_;
};

}  // namespace

Result<Store> Store::Open(std::string path, std::shared_ptr<Disk> disk) {
  FileDescriptor file(open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  if (!file.is_open()) return AgentError{AgentErrorKind::kStoreIo, "open", std::move(path), errno};
  if (flock(file.get(), LOCK_EX | LOCK_NB) != 0)
    return AgentError{AgentErrorKind::kStoreInUse, std::move(path), ""};
  Store store(std::move(path), std::move(disk), std::move(file));
  if (const Result<void> loaded = store.Load(); !loaded) return loaded.error();
  return store;
}

Result<void> Store::Load() {
  const Result<std::string> text = ReadFile();
  if (!text) return text.error();
  const Result<std::size_t> intact_size = ReadBatches(*text);
  if (!intact_size) return intact_size.error();
  if (const Result<void> checked = CheckTornEnd(*text, *intact_size); !checked) return checked.error();
  dropped_bytes_ = text->size() - *intact_size;
  size_ = *intact_size;
  compacted_size_ = *intact_size;
  has_torn_end_ = dropped_bytes_ > 0;
  return {};
}

Result<std::string> Store::ReadFile() const {
  struct stat file_status {};
  if (fstat(file_.get(), &file_status) != 0) return IoError("read", errno);
  if (file_status.st_size > static_cast<off_t>(kMaxFileBytes))
    return AgentError{AgentErrorKind::kStoreTooLarge, path_, ""};
  std::string text(static_cast<std::size_t>(file_status.st_size), '\0');
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t count =
        pread(file_.get(), text.data() + done, text.size() - done, static_cast<off_t>(done));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return IoError("read", errno);
    if (count == 0) return AgentError{AgentErrorKind::kStoreTruncated, path_, ""};
    done += static_cast<std::size_t>(count);
  }
  return text;
}

/// Reads the records of all batches up to the first that is not intact. Returns the size in bytes of these
/// batches.
Result<std::size_t> Store::ReadBatches(std::string_view text) {
  std::size_t offset = 0;
  while (const auto batch = FindBatch(text.substr(offset))) {
    boost::system::error_code error;
    const json::value records = json::parse(json::string_view(batch->json.data(), batch->json.size()), error);
    if (error || !records.is_array())
      return AgentError{AgentErrorKind::kStoreInvalidBatch, path_, "", 0, offset};
    for (const json::value& record : records.get_array()) records_.push_back(json::serialize(record));
    offset += batch->size;
  }
  return offset;
}

/// Only one torn batch may follow the intact batches. An intact batch after it means that the file is damaged
/// in between.
Result<void> Store::CheckTornEnd(std::string_view text, std::size_t intact_size) const {
  std::size_t line_end = text.find('\n', intact_size);
  while (line_end != std::string_view::npos && line_end + 1 < text.size()) {
    if (FindBatch(text.substr(line_end + 1)))
      return AgentError{AgentErrorKind::kStoreDamaged, path_, "", 0, intact_size, line_end};
    line_end = text.find('\n', line_end + 1);
  }
  return {};
}

AgentError Store::IoError(std::string_view operation, int error_number) const {
  return {AgentErrorKind::kStoreIo, std::string(operation), path_, error_number};
}

AgentError Store::Fail(std::string_view operation, const std::error_code& error) {
  last_error_ = IoError(operation, error.value());
  return *last_error_;
}

Result<void> Store::Append(const std::vector<std::string>& records) {
  if (records.empty()) return {};
  if (has_torn_end_) {
    if (const auto error = disk_->Truncate(file_.get(), size_)) return Fail("cut the torn end of", error);
    has_torn_end_ = false;
  }
  const std::string batch = EncodeBatch(records);
  const std::error_code write_error = disk_->Write(file_.get(), batch);
  const std::error_code error = write_error ? write_error : disk_->Sync(file_.get());
  if (error) {
    // Truncates also after a failed sync: the batch may be on disk, and must not be read back as stored.
    has_torn_end_ = static_cast<bool>(disk_->Truncate(file_.get(), size_));
    return Fail(write_error ? "write to" : "sync", error);
  }
  size_ += batch.size();
  last_error_.reset();
  return {};
}

/// Writes, syncs and locks the temporary file, then renames it over the state file.
std::error_code Store::WriteCompacted(int file, const std::string& temporary_path, const std::string& batch) {
  if (const auto error = disk_->Write(file, batch)) return error;
  if (const auto error = disk_->Sync(file)) return error;
  if (flock(file, LOCK_EX | LOCK_NB) != 0) return {errno, std::generic_category()};
  return disk_->Rename(temporary_path, path_);
}

Result<void> Store::Compact(const std::vector<std::string>& records) {
  TemporaryFile temporary(path_ + ".new");
  if (!temporary.file().is_open())
    return Fail("make the successor of", std::error_code(errno, std::generic_category()));
  const std::string batch = EncodeBatch(records);
  if (const auto error = WriteCompacted(temporary.file().get(), temporary.path(), batch))
    return Fail("compact", error);
  SyncDirectoryOf(path_);
  file_ = temporary.Keep();
  size_ = batch.size();
  compacted_size_ = batch.size();
  has_torn_end_ = false;
  last_error_.reset();
  return {};
}

}  // namespace badgerbridge::agent
