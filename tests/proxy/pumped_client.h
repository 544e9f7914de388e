// SPDX-License-Identifier: Apache-2.0
//
// A client that a test drives step by step, without an event loop.
#ifndef BADGERBRIDGE_TESTS_PROXY_PUMPED_CLIENT_H_
#define BADGERBRIDGE_TESTS_PROXY_PUMPED_CLIENT_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "proxy/http_text.h"
#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {

// A complete answer that a client has read.
struct CompleteAnswer {
  int status = 0;
  bool closes = false;
  std::string body;
};

// The answers that a client has read.
struct ReadAnswers {
  std::vector<CompleteAnswer> answers;
  std::size_t rest = 0;  // bytes after the last complete answer
};

// A client without handlers in an event loop: it reads and writes only in Pump(), and never blocks.
struct PumpedClient {
  explicit PumpedClient(tcp::socket connected) : socket(std::move(connected)) { socket.non_blocking(true); }

  // Writes and reads as much as possible. True if any data was transferred or the connection ended.
  bool Pump() {
    if (!socket.is_open()) return false;
    bool moved = false;
    ErrorCode error;
    while (!to_send.empty() && !send_failed) {
      const std::size_t n = socket.write_some(asio::buffer(to_send), error);
      if (error == asio::error::would_block) break;
      moved = true;
      if (error) {
        send_failed = true;
        break;
      }
      sent += n;
      to_send.erase(0, n);
    }
    while (reads && !ended) {
      std::array<char, 16384> piece{};
      const std::size_t n = socket.read_some(asio::buffer(piece), error);
      if (error == asio::error::would_block) break;
      moved = true;
      if (error) {
        ended = error;
      } else {
        in.append(piece.data(), n);
      }
    }
    return moved;
  }
  void Close() {
    ErrorCode ignored;
    socket.close(ignored);
  }
  void Reset() {
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  bool EndedInOrder() const { return ended == asio::error::eof; }

  ReadAnswers Answers() const {
    std::vector<CompleteAnswer> answers;
    std::size_t at = 0;
    while (at < in.size()) {
      const std::size_t end = in.find("\r\n\r\n", at);
      if (end == std::string::npos) break;
      const std::string head = in.substr(at, end + 2 - at);
      const std::string length = HeaderIn(head, "Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      if (in.size() < end + 4 + body) break;
      answers.push_back(
          {std::stoi(head.substr(9, 3)), HeaderIn(head, "Connection") == "close", in.substr(end + 4, body)});
      at = end + 4 + body;
    }
    return {std::move(answers), in.size() - at};
  }

  tcp::socket socket;
  std::string in;  // all data read
  std::string to_send;
  std::size_t sent = 0;
  bool reads = true;
  bool send_failed = false;
  ErrorCode ended;  // error that ended reading
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_PUMPED_CLIENT_H_
