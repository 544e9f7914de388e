// SPDX-License-Identifier: Apache-2.0
#include "agent/instance_log.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace badgerbridge::agent {
namespace {

constexpr std::size_t kMaxLastLineBytes = 4096;      // searched for the last line
constexpr std::size_t kMaxBytesPerFile = 256 << 10;  // read for the last lines
constexpr std::size_t kCopyBufferBytes = 1 << 16;

/// The last bytes of the file, `max_bytes` at most. Empty if it cannot be read.
std::string ReadEnd(const std::string& path, std::size_t max_bytes) {
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
void CopyEnd(const std::string& from, std::uint64_t size, const std::string& to, std::uint64_t max_bytes) {
  std::ifstream in(from, std::ios::binary);
  in.seekg(static_cast<std::streamoff>(size - max_bytes));
  std::ofstream out(to, std::ios::binary | std::ios::trunc);
  std::vector<char> buffer(kCopyBufferBytes);
  std::uint64_t left = max_bytes;
  while (left > 0 && in) {
    in.read(buffer.data(), static_cast<std::streamsize>(std::min<std::uint64_t>(left, buffer.size())));
    if (in.gcount() <= 0) return;
    out.write(buffer.data(), in.gcount());
    left -= static_cast<std::uint64_t>(in.gcount());
  }
}

}  // namespace

std::string ReadLastLine(const std::string& path, std::size_t max_bytes) {
  const std::string text = ReadEnd(path, kMaxLastLineBytes);
  const std::size_t last = text.find_last_not_of(" \r\n");
  if (last == std::string::npos) return "";
  const std::size_t line_end = text.rfind('\n', last);
  const std::size_t begin = line_end == std::string::npos ? 0 : line_end + 1;
  std::string line = text.substr(begin, last + 1 - begin);
  std::replace_if(line.begin(), line.end(), IsControl, ' ');
  return line.substr(0, max_bytes);
}

std::vector<std::string> ReadLastLines(const std::string& path, std::size_t max_lines) {
  const std::string text = ReadEnd(path + ".1", kMaxBytesPerFile) + ReadEnd(path, kMaxBytesPerFile);
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
  struct stat about {};
  if (stat(path.c_str(), &about) != 0) return;
  const auto size = static_cast<std::uint64_t>(about.st_size);
  if (size <= max_bytes) return;
  // The newest part alone: a process that writes a great deal between two looks must not fill the disk twice.
  CopyEnd(path, size, path + ".1", max_bytes);
  if (truncate(path.c_str(), 0) != 0) std::perror(path.c_str());
}

}  // namespace badgerbridge::agent
