// SPDX-License-Identifier: Apache-2.0
#include "proxy/json_values.h"

#include <boost/json.hpp>
#include <stdexcept>

namespace badgerbridge::proxy {

JsonValues::Found JsonValues::Next(std::string_view* bytes) {
  while (taken_ == 0) {
    if (bytes->empty()) return Found::kNothing;
    const char c = bytes->front();
    if (c == '{') break;
    if (c != '\n' && c != '\r' && c != ' ' && c != '\t')
      throw std::runtime_error("what is no JSON object, at a value's first byte");
    bytes->remove_prefix(1);
    if (c != '\n') continue;
    const bool empty = line_empty_;
    line_empty_ = true;
    if (empty) return Found::kEmptyLine;
  }
  boost::system::error_code error;
  const std::size_t n = parser_.write_some(bytes->data(), bytes->size(), error);
  if (error) throw std::runtime_error("no JSON: " + error.message());
  bytes->remove_prefix(n);
  taken_ += n;
  if (taken_ > most_bytes_) throw std::runtime_error("a JSON object that is too long");
  if (!parser_.done()) return Found::kNothing;
  taken_ = 0;
  line_empty_ = false;
  return Found::kValue;
}

boost::json::value JsonValues::Take() {
  boost::json::value value = parser_.release();
  parser_.reset();
  return value;
}

}  // namespace badgerbridge::proxy
