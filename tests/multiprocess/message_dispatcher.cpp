// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/message_dispatcher.h"

#include <string_view>

#include "multiprocess/error.h"

namespace badgerbridge::multiprocess {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxQuotedBytes = 200;  // of a malformed line

}  // namespace

void MessageDispatcher::Dispatch(const std::string& line) const {
  boost::system::error_code error;
  const json::value value = json::parse(line, error);
  const json::object* envelope = error ? nullptr : value.if_object();
  const json::value* name = envelope ? envelope->if_contains("message") : nullptr;
  const json::value* body = envelope ? envelope->if_contains("body") : nullptr;
  const auto found =
      name && body && name->is_string() ? handlers_.find(name->get_string().c_str()) : handlers_.end();
  if (found == handlers_.end())
    throw RunFailure({RunErrorKind::kMalformedMessage, "message", line.substr(0, kMaxQuotedBytes), 0});
  found->second(*body);
}

}  // namespace badgerbridge::multiprocess
