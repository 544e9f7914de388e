// SPDX-License-Identifier: Apache-2.0
#ifndef BADGERBRIDGE_HTTP_API_VERSION_H_
#define BADGERBRIDGE_HTTP_API_VERSION_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace badgerbridge::http_api {

// What --version prints: the program with its version, then a line with what this build of it can do beyond
// the rest.
std::string VersionText(std::string_view program, std::initializer_list<std::string_view> built_in);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_VERSION_H_
