// SPDX-License-Identifier: Apache-2.0
#include "agent/instance_log.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace badgerbridge::agent {
namespace {

constexpr std::size_t kMaxLastLineBytes = 4096;      // read at the end to find the last line
constexpr std::size_t kMaxBytesPerFile = 256 << 10;  // read at the end of each file
constexpr std::size_t kCopyBufferBytes = 1 << 16;

/// Reads at most `max_bytes` at the end of the file. Returns an empty string if it cannot be read.
std::string ReadTail(const std::string& path, std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary | std::ios::ate);
  if (!file) return "";
  const std::streamoff size = file.tellg();
  const std::streamoff begin = std::max<std::streamoff>(0, size - static_cast<std::streamoff>(max_bytes));
  file.seekg(begin);
  std::string text(static_cast<std::size_t>(size - begin), '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

bool IsControl(char character) { return static_cast<unsigned char>(character) < ' '; }

bool IsPrintableAscii(char character) { return character >= ' ' && character <= '~'; }

/// Copies the last `max_bytes` of a file of `size` bytes to another file.
void CopyTail(const std::string& from, std::uint64_t size, const std::string& to, std::uint64_t max_bytes) {
  std::ifstream input(from, std::ios::binary);
  input.seekg(static_cast<std::streamoff>(size - max_bytes));
  std::ofstream output(to, std::ios::binary | std::ios::trunc);
  std::vector<char> buffer(kCopyBufferBytes);
  std::uint64_t left = max_bytes;
  while (left > 0 && input) {
    input.read(buffer.data(), static_cast<std::streamsize>(std::min<std::uint64_t>(left, buffer.size())));
    if (input.gcount() <= 0) return;
    output.write(buffer.data(), input.gcount());
    left -= static_cast<std::uint64_t>(input.gcount());
  }
}

}  // namespace

std::string ReadLastLine(const std::string& path, std::size_t max_bytes) {
  const std::string text = ReadTail(path, kMaxLastLineBytes);
  const std::size_t last = text.find_last_not_of(" \r\n");
  if (last == std::string::npos) return "";
  const std::size_t line_end = text.rfind('\n', last);
  const std::size_t begin = line_end == std::string::npos ? 0 : line_end + 1;
  std::string line = text.substr(begin, last + 1 - begin);
  std::replace_if(line.begin(), line.end(), IsControl, ' ');
  return line.substr(0, max_bytes);
}

std::vector<std::string> ReadLastLines(const std::string& path, std::size_t max_lines) {
  const std::string text = ReadTail(path + ".1", kMaxBytesPerFile) + ReadTail(path, kMaxBytesPerFile);
  std::vector<std::string> lines;
  std::size_t end = text.size();
  while (end > 0 && lines.size() < max_lines) {
    if (text[end - 1] == '\n') --end;
    const std::size_t line_end = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
    const std::size_t begin = line_end == std::string::npos ? 0 : line_end + 1;
    std::string line = text.substr(begin, end - begin);
    std::replace_if(
        line.begin(), line.end(), [](char character) { return !IsPrintableAscii(character); }, '?');
    lines.push_back(std::move(line));
    end = begin;
  }
  std::reverse(lines.begin(), lines.end());
  return lines;
}

void BoundLogSize(const std::string& path, std::uint64_t max_bytes) {
  struct stat file_status {};
  if (stat(path.c_str(), &file_status) != 0) return;
  const auto size = static_cast<std::uint64_t>(file_status.st_size);
  if (size <= max_bytes) return;
  // Copies the end only: a process that writes much between two checks must not use twice that disk space.
  CopyTail(path, size, path + ".1", max_bytes);
  if (truncate(path.c_str(), 0) != 0) std::perror(path.c_str());
}

}  // namespace badgerbridge::agent
