// SPDX-License-Identifier: Apache-2.0
//
// What the programs print for --version.
#ifndef BADGERBRIDGE_HTTP_API_VERSION_H_
#define BADGERBRIDGE_HTTP_API_VERSION_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace badgerbridge::http_api {

/// The program with its version, then a line with the optional features of this build (an empty name is
/// skipped) and the version of Boost.
std::string VersionText(std::string_view program, std::initializer_list<std::string_view> features);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_VERSION_H_
