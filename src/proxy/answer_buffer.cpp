// SPDX-License-Identifier: Apache-2.0
#include "proxy/answer_buffer.h"

#include <array>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <exception>

namespace badgerbridge::proxy {

namespace {

constexpr double kMsPerSecond = 1000;
constexpr std::string_view kOutOfMemoryAnswer =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

std::string FormatHeader(const Answer& answer, bool keep_alive) {
  namespace http = boost::beast::http;
  const boost::beast::string_view reason = http::obsolete_reason(http::int_to_status(answer.status));
  std::string header = "HTTP/1.1 " + std::to_string(answer.status) + " " + std::string(reason) + "\r\n";
  if (!answer.content_type.empty()) header += "Content-Type: " + answer.content_type + "\r\n";
  if (answer.retry_after > Duration(0)) {
    std::array<char, 48> text;
    const double seconds = answer.retry_after.count() / kMsPerSecond;
    std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n", seconds);
    header += text.data();
  }
  if (!keep_alive) header += "Connection: close\r\n";
  return header + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
}

}  // namespace

bool AnswerBuffer::Assign(const Answer& answer, bool keep_alive) noexcept {
  try {
    text_ = FormatHeader(answer, keep_alive);
    text_ += answer.body;
    unwritten_ = text_;
    return true;
  } catch (const std::exception&) {
    unwritten_ = kOutOfMemoryAnswer;
    return false;
  }
}

}  // namespace badgerbridge::proxy
