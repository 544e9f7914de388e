// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/line_io.h"

#include <unistd.h>

#include <cerrno>

namespace badgerbridge::multiprocess {

std::string TakeLine(boost::asio::streambuf& buffer, std::size_t size) {
  std::string line(static_cast<const char*>(buffer.data().data()), size);
  buffer.consume(size);
  return line;
}

void WriteAll(int descriptor, const std::string& text) {
  for (std::size_t written = 0; written < text.size();) {
    const ssize_t n = write(descriptor, text.data() + written, text.size() - written);
    if (n < 0 && errno != EINTR) return;
    if (n > 0) written += static_cast<std::size_t>(n);
  }
}

}  // namespace badgerbridge::multiprocess
