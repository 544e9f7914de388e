// SPDX-License-Identifier: Apache-2.0
//
// Serialization and write progress of one answer to a client.
#ifndef BADGERBRIDGE_PROXY_ANSWER_BUFFER_H_
#define BADGERBRIDGE_PROXY_ANSWER_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "proxy/requester.h"

namespace badgerbridge::proxy {

/// Holds one serialized HTTP/1.1 answer and tracks how much of it has been written.
class AnswerBuffer {
 public:
  /// Serializes an answer, with `Connection: close` unless `keep_alive`. If memory runs out, returns false
  /// and holds a fixed 500 with `Connection: close` instead.
  bool Assign(const Answer& answer, bool keep_alive) noexcept;
  /// The part that has not been written; valid until the next call that is not const.
  std::string_view unwritten() const { return unwritten_; }
  /// Records that the next `bytes` bytes have been written.
  void Consume(std::size_t bytes) { unwritten_.remove_prefix(bytes); }
  /// Discards the unwritten part.
  void DropUnwritten() { unwritten_ = {}; }
  /// Frees the memory. Requires that nothing is unwritten.
  void Release() { std::string().swap(text_); }  // an assignment could keep the capacity

 private:
  std::string text_;
  std::string_view unwritten_;  // a view of text_ or of kOutOfMemoryAnswer
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ANSWER_BUFFER_H_
