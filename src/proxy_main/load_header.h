// SPDX-License-Identifier: Apache-2.0
//
// Parses the X-Backend-Load header of a backend's response. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_LOAD_HEADER_H_
#define BADGERBRIDGE_PROXY_MAIN_LOAD_HEADER_H_

#include <optional>
#include <string_view>

namespace badgerbridge::proxy_main {

/// The utilization in a value such as "inflight=7,queue=2,util=0.61" (PROTOCOL, X-Backend-Load);
/// std::nullopt if `util` is absent or not a number from 0 to 1.
std::optional<double> ParseUtilization(std::string_view load_header);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_LOAD_HEADER_H_
