// SPDX-License-Identifier: Apache-2.0
#include "agent/disk.h"

#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace badgerbridge::agent {
namespace {

/// The error of a system call that returned `result`.
std::error_code ErrorOf(int result) {
  return result == 0 ? std::error_code() : std::error_code(errno, std::generic_category());
}

}  // namespace

std::error_code Disk::Write(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return {errno, std::generic_category()};
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

std::error_code Disk::Sync(int file) { return ErrorOf(fdatasync(file)); }

std::error_code Disk::Truncate(int file, std::uint64_t size) {
  return ErrorOf(ftruncate(file, static_cast<off_t>(size)));
}

std::error_code Disk::Rename(const std::string& from, const std::string& to) {
  return ErrorOf(rename(from.c_str(), to.c_str()));
}

}  // namespace badgerbridge::agent
