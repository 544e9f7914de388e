// SPDX-License-Identifier: Apache-2.0
#include "agent/store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <boost/json.hpp>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

std::string Crc(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  char text[9];
  std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(crc.checksum()));
  return text;
}

// The JSON of the batch that begins the text, and the bytes it takes; 0 bytes: no whole batch.
std::size_t FirstBatch(std::string_view text, std::string_view* json) {
  const std::size_t first = text.find(' ');
  if (first != 8) return 0;
  const std::size_t second = text.find(' ', first + 1);
  if (second == std::string_view::npos || second - first > 12) return 0;
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(text.data() + first + 1, text.data() + second, length);
  if (error != std::errc() || end != text.data() + second) return 0;
  const std::size_t whole = second + 1 + length + 1;
  if (whole > text.size() || text[whole - 1] != '\n') return 0;
  *json = text.substr(second + 1, length);
  return Crc(*json) == text.substr(0, 8) ? whole : 0;
}

// Renames and new files last once their folder is synced.
void SyncFolder(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const int folder = open(slash == std::string::npos ? "." : path.substr(0, slash + 1).c_str(),
                          O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return;
  fsync(folder);
  close(folder);
}

}  // namespace

int Disk::Write(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = write(file, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return errno;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return 0;
}
int Disk::Sync(int file) { return fdatasync(file) == 0 ? 0 : errno; }
int Disk::Truncate(int file, std::uint64_t size) {
  return ftruncate(file, static_cast<off_t>(size)) == 0 ? 0 : errno;
}
int Disk::Rename(const std::string& from, const std::string& to) {
  return rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
}

Store::Store(std::string path, std::shared_ptr<Disk> disk) : path_(std::move(path)), disk_(std::move(disk)) {
  file_ = open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file_ < 0) throw BadStore("cannot open " + path_ + ": " + std::strerror(errno));
  try {
    if (flock(file_, LOCK_EX | LOCK_NB) != 0) throw BadStore(path_ + " is in use by another agent");
    Read();
  } catch (...) {
    close(file_);
    throw;
  }
}

Store::~Store() { close(file_); }

void Store::Read() {
  struct stat about {};
  if (fstat(file_, &about) != 0) throw BadStore("cannot read " + path_ + ": " + std::strerror(errno));
  if (about.st_size > static_cast<off_t>(kMostSize)) throw BadStore(path_ + " is too large to be a state");
  std::string text(static_cast<std::size_t>(about.st_size), '\0');
  for (std::size_t at = 0; at < text.size();) {
    const ssize_t n = pread(file_, text.data() + at, text.size() - at, static_cast<off_t>(at));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) throw BadStore("cannot read " + path_ + ": " + (n < 0 ? std::strerror(errno) : "it shrinks"));
    at += static_cast<std::size_t>(n);
  }
  std::size_t at = 0;
  while (at < text.size()) {
    std::string_view batch;
    const std::size_t size = FirstBatch(std::string_view(text).substr(at), &batch);
    if (size == 0) break;
    boost::system::error_code error;
    const json::value value = json::parse(json::string_view(batch.data(), batch.size()), error);
    if (error || !value.is_array())
      throw BadStore(path_ + ": the batch at byte " + std::to_string(at) + " is no list of records");
    for (const json::value& record : value.get_array()) records_.push_back(json::serialize(record));
    at += size;
  }
  // Torn: the rest is less than one batch, with nothing whole behind it. A whole one means damage in between.
  for (std::size_t next = text.find('\n', at); next != std::string::npos && next + 1 < text.size();
       next = text.find('\n', next + 1)) {
    std::string_view ignored;
    if (FirstBatch(std::string_view(text).substr(next + 1), &ignored) > 0)
      throw BadStore(path_ + " is damaged from byte " + std::to_string(at) + " to " + std::to_string(next) +
                     ", with good state behind it; restore it, or cut it at byte " + std::to_string(at) +
                     " to go on from there (instances that run are adopted in either case)");
  }
  dropped_ = text.size() - at;
  size_ = compacted_size_ = at;
  torn_ = dropped_ > 0;
}

bool Store::Fail(const char* what, int error) {
  error_ = "cannot " + std::string(what) + " " + path_ + ": " + std::strerror(error);
  return false;
}

std::string Store::Frame(const std::vector<std::string>& records) {
  std::string text = "[";
  for (const std::string& record : records) text += (text.size() > 1 ? "," : "") + record;
  text += "]";
  return Crc(text) + " " + std::to_string(text.size()) + " " + text + "\n";
}

bool Store::Append(const std::vector<std::string>& records) {
  if (records.empty()) return true;
  if (torn_) {
    if (const int error = disk_->Truncate(file_, size_)) return Fail("cut the torn end of", error);
    torn_ = false;
  }
  const std::string batch = Frame(records);
  int error = disk_->Write(file_, batch);
  const char* what = "write to";
  if (!error) {
    error = disk_->Sync(file_);
    what = "sync";
  }
  if (error) {
    // Also after a failed sync: what the disk holds then is not known, and must not come back as accepted.
    torn_ = disk_->Truncate(file_, size_) != 0;
    return Fail(what, error);
  }
  size_ += batch.size();
  error_.clear();
  return true;
}

bool Store::Compact(const std::vector<std::string>& records) {
  const std::string fresh = path_ + ".new";
  const int file = open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (file < 0) return Fail("make the successor of", errno);
  const std::string batch = Frame(records);
  int error = disk_->Write(file, batch);
  if (!error) error = disk_->Sync(file);
  if (!error && flock(file, LOCK_EX | LOCK_NB) != 0) error = errno;
  if (!error) error = disk_->Rename(fresh, path_);
  if (error) {
    close(file);
    unlink(fresh.c_str());
    return Fail("compact", error);
  }
  SyncFolder(path_);
  close(file_);
  file_ = file;
  size_ = compacted_size_ = batch.size();
  torn_ = false;
  error_.clear();
  return true;
}

AuditLog::AuditLog(std::string path, std::uint64_t most_bytes, int kept)
    : path_(std::move(path)), most_bytes_(most_bytes), kept_(kept) {
  Open();
}

AuditLog::~AuditLog() {
  if (file_ >= 0) close(file_);
}

void AuditLog::Open() {
  if (file_ >= 0) close(file_);
  file_ = open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  struct stat about {};
  size_ = file_ >= 0 && fstat(file_, &about) == 0 ? static_cast<std::uint64_t>(about.st_size) : 0;
}

bool AuditLog::Add(const std::vector<std::string>& lines) {
  if (lines.empty()) return ok_;
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  if (size_ >= most_bytes_) {
    for (int i = kept_ - 1; i >= 1; --i)
      rename((path_ + "." + std::to_string(i)).c_str(), (path_ + "." + std::to_string(i + 1)).c_str());
    rename(path_.c_str(), (path_ + ".1").c_str());
    Open();
  }
  if (file_ < 0) Open();
  Disk disk;
  ok_ = file_ >= 0 && disk.Write(file_, text) == 0 && disk.Sync(file_) == 0;
  if (ok_) size_ += text.size();
  return ok_;
}

}  // namespace badgerbridge::agent
