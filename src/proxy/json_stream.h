// SPDX-License-Identifier: Apache-2.0
//
// Splits the byte stream of an endpoint list watch into JSON objects. The bytes may be split anywhere;
// objects may span several lines and be separated by empty lines. No I/O.
#ifndef BADGERBRIDGE_PROXY_JSON_STREAM_H_
#define BADGERBRIDGE_PROXY_JSON_STREAM_H_

#include <boost/json/stream_parser.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <string_view>

#include "proxy/error.h"

namespace badgerbridge::proxy {

/// Parses one stream. Must not be used after an error.
class JsonStream {
 public:
  /// The kind of item that Next() has found.
  enum class Item {
    kNone,     ///< nothing: more bytes are needed
    kLineEnd,  ///< the end of a line outside an object: of an empty line or of the line of an object
    kObject,   ///< an object, which Take() returns
  };

  /// `max_bytes`: the maximum length of one object.
  explicit JsonStream(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Removes the bytes up to the end of the next item from the front of `bytes`, or all of them if the item
  /// is incomplete. Errors: kNotAnObject, kInvalidJson, kTooLong; the content of `bytes` is then unspecified.
  EndpointListResult<Item> Next(std::string_view& bytes);
  /// Moves out the object that Next() has found. Must be called once for each kObject.
  boost::json::value Take();

 private:
  static EndpointListResult<Item> SkipSpace(std::string_view& bytes);
  EndpointListResult<Item> ParseObject(std::string_view& bytes);

  std::size_t max_bytes_;
  boost::json::stream_parser parser_;
  std::size_t object_bytes_ = 0;  // parsed bytes of a partial object; 0: none
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_JSON_STREAM_H_
