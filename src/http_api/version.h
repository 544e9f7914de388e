// SPDX-License-Identifier: Apache-2.0
//
// The output of the programs' --version option.
#ifndef BADGERBRIDGE_HTTP_API_VERSION_H_
#define BADGERBRIDGE_HTTP_API_VERSION_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace badgerbridge::http_api {

/// A line with the program's name and version, then a line with the optional features of this build and the
/// version of Boost. Empty feature names are skipped.
std::string VersionText(std::string_view program, std::initializer_list<std::string_view> features);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_VERSION_H_
