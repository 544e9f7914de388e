// SPDX-License-Identifier: Apache-2.0
#include "http_api/version.h"

#include <boost/version.hpp>

namespace badgerbridge::http_api {

std::string VersionText(std::string_view program, std::initializer_list<std::string_view> built_in) {
  std::string text = std::string(program) + " " BADGERBRIDGE_VERSION "\nbuilt in:";
  std::string_view before = " ";
  for (const std::string_view name : built_in) {
    if (name.empty()) continue;
    text.append(before).append(name);
    before = ", ";
  }
  if (before == " ") text += " everything";
  return text + "; Boost " BOOST_LIB_VERSION "\n";
}

}  // namespace badgerbridge::http_api
