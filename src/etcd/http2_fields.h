// SPDX-License-Identifier: Apache-2.0
//
// Between nghttp2's header fields and the standard library's strings, for both sides of a connection.
#ifndef BADGERBRIDGE_ETCD_HTTP2_FIELDS_H_
#define BADGERBRIDGE_ETCD_HTTP2_FIELDS_H_

#include <nghttp2/nghttp2.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace badgerbridge::etcd {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// nghttp2 copies name and value when the fields are submitted; until then they must live.
inline nghttp2_nv PairOf(const std::string& name, const std::string& value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

inline std::vector<nghttp2_nv> PairsOf(const HeaderFields& fields) {
  std::vector<nghttp2_nv> pairs;
  pairs.reserve(fields.size());
  for (const auto& [name, value] : fields) pairs.push_back(PairOf(name, value));
  return pairs;
}

inline std::string_view BytesOf(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_FIELDS_H_
