// SPDX-License-Identifier: Apache-2.0
#include "proxy/request_parser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cstddef>

namespace badgerbridge::proxy {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Enough to recognize a repeated field, which makes the request invalid.
constexpr std::size_t kMaxKeptOccurrences = 2;

bool IsUsed(http::field field, beast::string_view name) {
  if (field == http::field::content_length || field == http::field::transfer_encoding) return true;
  return std::any_of(kSingleFields.begin(), kSingleFields.end(), [name](std::string_view used) {
    return beast::iequals(beast::string_view(used.data(), used.size()), name);
  });
}

}  // namespace

void RequestParser::on_field_impl(http::field field, beast::string_view name, beast::string_view value,
                                  beast::error_code&) {
  if (IsUsed(field, name) && get().count(name) < kMaxKeptOccurrences) get().insert(field, name, value);
}

}  // namespace badgerbridge::proxy
