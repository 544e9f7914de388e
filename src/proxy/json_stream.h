// SPDX-License-Identifier: Apache-2.0
//
// Splits a stream of bytes into JSON objects, as a watch on the endpoint list brings them: in any pieces,
// each on one line or indented over several, with empty lines between. No I/O.
#ifndef BADGERBRIDGE_PROXY_JSON_STREAM_H_
#define BADGERBRIDGE_PROXY_JSON_STREAM_H_

#include <boost/json/stream_parser.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <string_view>

#include "proxy/error.h"

namespace badgerbridge::proxy {

/// Reads one stream. After an error it must not be used any more.
class JsonStream {
 public:
  /// What Next() has found.
  enum class Item {
    kNone,       ///< nothing: more bytes are needed
    kEmptyLine,  ///< an empty line between objects: a heartbeat
    kObject,     ///< an object, which Take() returns
  };

  /// `max_bytes`: of one object.
  explicit JsonStream(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Removes bytes from the front of `bytes` up to the end of the next item, or all of them if it is not
  /// complete. Errors: kNotAnObject, kInvalidJson, kTooLong; what is left in `bytes` is unspecified then.
  EndpointListResult<Item> Next(std::string_view& bytes);
  /// The object that Next() has found; once.
  boost::json::value Take();

 private:
  EndpointListResult<Item> SkipSpace(std::string_view& bytes);
  EndpointListResult<Item> ParseObject(std::string_view& bytes);

  std::size_t max_bytes_;
  boost::json::stream_parser parser_;
  std::size_t object_bytes_ = 0;  // of the object that has begun; 0: none has
  bool line_is_empty_ = true;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_JSON_STREAM_H_
