// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Reads the ends of instance logs, and limits their size.
#ifndef BADGERBRIDGE_AGENT_INSTANCE_LOG_H_
#define BADGERBRIDGE_AGENT_INSTANCE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace badgerbridge::agent {

/// The last non-blank line, cut to `max_bytes`; empty if there is none. Replaces control characters by
/// spaces.
std::string ReadLastLine(const std::string& path, std::size_t max_bytes);

/// The last lines of the log and its rotated file PATH.1, the newest last. Reads at most the last 256 KiB of
/// each file. Replaces all but printable ASCII by '?'.
std::vector<std::string> ReadLastLines(const std::string& path, std::size_t max_lines);

/// Rotates a log that is larger than `max_bytes`: copies its last `max_bytes` to PATH.1 and truncates it. The
/// writing process continues, since it has opened the log with O_APPEND. Lines that it writes between the
/// copy and the truncation are lost.
void BoundLogSize(const std::string& path, std::uint64_t max_bytes);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_INSTANCE_LOG_H_
