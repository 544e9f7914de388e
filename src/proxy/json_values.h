// SPDX-License-Identifier: Apache-2.0
//
// JSON values one after the other, as a watch on the list brings them: in any pieces, each on one line or
// indented over several, with empty lines between. No I/O.
#ifndef BADGERBRIDGE_PROXY_JSON_VALUES_H_
#define BADGERBRIDGE_PROXY_JSON_VALUES_H_

#include <boost/json/stream_parser.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <string_view>

namespace badgerbridge::proxy {

class JsonValues {
 public:
  explicit JsonValues(std::size_t most_bytes) : most_bytes_(most_bytes) {}

  enum class Found { kNothing, kEmptyLine, kValue };

  // Takes bytes off the front of `bytes`, up to the end of what it found; kNothing: all of them, and more are
  // needed. Throws std::runtime_error, one line, where they are no JSON object, or one of more than
  // `most_bytes`; nothing can be read after that.
  Found Next(std::string_view* bytes);
  // The one that was found last; once.
  boost::json::value Take();

 private:
  std::size_t most_bytes_;
  boost::json::stream_parser parser_;
  std::size_t taken_ = 0;  // bytes of the value that has begun; 0: none has
  bool line_empty_ = true;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_JSON_VALUES_H_
