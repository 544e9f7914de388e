// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/tcp_bytes.h"

#include <linux/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>

namespace badgerbridge::scale {

TcpBytes TcpByteCounter::Sample() {
  constexpr int kTcpLevel = 6;    // IPPROTO_TCP; its header does not go together with linux/tcp.h
  constexpr int kListening = 10;  // TCP_LISTEN of the kernel's states
  std::map<std::uint64_t, Counts> open;
  std::error_code none;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", none)) {
    const int number = std::atoi(entry.path().filename().c_str());
    tcp_info info{};
    socklen_t size = sizeof info;
    struct stat about {};
    if (getsockopt(number, kTcpLevel, TCP_INFO, &info, &size) != 0 || info.tcpi_state == kListening) continue;
    if (fstat(number, &about) != 0) continue;
    open[about.st_ino] = {info.tcpi_bytes_received, info.tcpi_bytes_acked};
  }
  for (const auto& [inode, counts] : open_) {
    if (open.count(inode)) continue;
    closed_.received += counts.received;
    closed_.sent += counts.sent;
  }
  TcpBytes bytes{closed_.received, closed_.sent, open.size(), 0};
  for (const auto& [inode, counts] : open) {
    bytes.received += counts.received;
    bytes.sent += counts.sent;
    opened_ += open_.count(inode) == 0;
  }
  bytes.opened = opened_;
  open_ = std::move(open);
  return bytes;
}

}  // namespace badgerbridge::scale
