// SPDX-License-Identifier: Apache-2.0
//
// The answer that is being written to a client.
#ifndef BADGERBRIDGE_PROXY_ANSWER_BUFFER_H_
#define BADGERBRIDGE_PROXY_ANSWER_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "proxy/requester.h"

namespace badgerbridge::proxy {

/// Holds one answer in the form of HTTP/1.1, and what of it has not been written yet.
class AnswerBuffer {
 public:
  /// Takes an answer. With `keep_alive` false it has `Connection: close`. False if there is no memory for it:
  /// a fixed 500 with `Connection: close` stands in.
  bool Assign(const Answer& answer, bool keep_alive) noexcept;
  /// What has not been written.
  std::string_view unwritten() const { return unwritten_; }
  /// Notes that the next `bytes` bytes have been written.
  void Consume(std::size_t bytes) { unwritten_.remove_prefix(bytes); }
  /// Gives up what has not been written.
  void DropUnwritten() { unwritten_ = {}; }
  /// Empties the buffer once its answer has been written.
  void Release() { text_ = {}; }

 private:
  std::string text_;
  std::string_view unwritten_;  // of text_, or of a constant
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ANSWER_BUFFER_H_
