// SPDX-License-Identifier: Apache-2.0
#include "http_api/version.h"

#include <boost/version.hpp>

namespace badgerbridge::http_api {

std::string VersionText(std::string_view program, std::initializer_list<std::string_view> features) {
  std::string text = std::string(program) + " " BADGERBRIDGE_VERSION "\nbuilt in:";
  std::string_view separator = " ";
  for (const std::string_view feature : features) {
    if (feature.empty()) continue;
    text.append(separator).append(feature);
    separator = ", ";
  }
  if (separator == " ") text += " everything";
  return text + "; Boost " BOOST_LIB_VERSION "\n";
}

}  // namespace badgerbridge::http_api
