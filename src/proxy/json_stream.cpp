// SPDX-License-Identifier: Apache-2.0
#include "proxy/json_stream.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string>

namespace badgerbridge::proxy {
namespace {

bool IsSpace(char byte) { return byte == '\n' || byte == '\r' || byte == ' ' || byte == '\t'; }

std::size_t TrailingSpaceLength(std::string_view text) {
  const auto last = std::find_if_not(text.rbegin(), text.rend(), IsSpace);
  return static_cast<std::size_t>(last - text.rbegin());
}

// Reports the byte as a number, since it may be a control character.
EndpointListError NotAnObject(char first_byte) {
  return {EndpointListErrorCode::kNotAnObject, "", std::to_string(static_cast<unsigned char>(first_byte))};
}

}  // namespace

EndpointListResult<JsonStream::Item> JsonStream::Next(std::string_view& bytes) {
  if (object_bytes_ == 0) {
    EndpointListResult<Item> item = SkipSpace(bytes);
    if (!item || *item == Item::kLineEnd || bytes.empty()) return item;
  }
  return ParseObject(bytes);
}

// Skips to the first byte of an object, behind the end of a line, or to the end of the input.
EndpointListResult<JsonStream::Item> JsonStream::SkipSpace(std::string_view& bytes) {
  while (!bytes.empty() && bytes.front() != '{') {
    const char byte = bytes.front();
    if (!IsSpace(byte)) return NotAnObject(byte);
    bytes.remove_prefix(1);
    if (byte == '\n') return Item::kLineEnd;
  }
  return Item::kNone;
}

// Boost's parser also consumes the space behind an object. It is left in `bytes`, because its line ends are
// items of their own.
EndpointListResult<JsonStream::Item> JsonStream::ParseObject(std::string_view& bytes) {
  boost::system::error_code error;
  std::size_t parsed = parser_.write_some(bytes.data(), bytes.size(), error);
  if (error) return EndpointListError{EndpointListErrorCode::kInvalidJson, "", error.message()};
  if (parser_.done()) parsed -= TrailingSpaceLength(bytes.substr(0, parsed));
  bytes.remove_prefix(parsed);
  object_bytes_ += parsed;
  if (object_bytes_ > max_bytes_)
    return EndpointListError{EndpointListErrorCode::kTooLong, "", std::to_string(max_bytes_)};
  if (!parser_.done()) return Item::kNone;
  object_bytes_ = 0;
  return Item::kObject;
}

boost::json::value JsonStream::Take() {
  boost::json::value value = parser_.release();
  parser_.reset();
  return value;
}

}  // namespace badgerbridge::proxy
