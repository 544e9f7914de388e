// SPDX-License-Identifier: Apache-2.0
//
// Helpers for tests that read HTTP/1.1 messages as text.
#ifndef BADGERBRIDGE_TESTS_PROXY_HTTP_TEXT_H_
#define BADGERBRIDGE_TESTS_PROXY_HTTP_TEXT_H_

#include <cstddef>
#include <string>

namespace badgerbridge::proxy::testing {

// The value of the first header with this name; empty if there is none.
inline std::string HeaderIn(const std::string& text, const std::string& name) {
  const std::size_t at = text.find(name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_HTTP_TEXT_H_
