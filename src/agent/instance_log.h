// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The log files of instances: read from the end, and bounded in size.
#ifndef BADGERBRIDGE_AGENT_INSTANCE_LOG_H_
#define BADGERBRIDGE_AGENT_INSTANCE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace badgerbridge::agent {

/// The last line that is not blank, at most `max_bytes` of it. Empty if there is none. Control characters are
/// replaced by spaces.
std::string ReadLastLine(const std::string& path, std::size_t max_bytes);

/// The last lines of the log and of its old file PATH.1, the newest last; of each file the last 256 KiB at
/// most. Whatever is not printable ASCII is replaced by '?'.
std::vector<std::string> ReadLastLines(const std::string& path, std::size_t max_lines);

/// Empties a log that has grown over `max_bytes`; the newest part of it moves to PATH.1. The process that
/// writes it appends and notices nothing; what it writes in between is lost.
void BoundLogSize(const std::string& path, std::uint64_t max_bytes);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_INSTANCE_LOG_H_
