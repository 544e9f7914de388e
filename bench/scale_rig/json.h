// SPDX-License-Identifier: Apache-2.0
//
// What several of the rig's processes write and read in their commands.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_JSON_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_JSON_H_

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "scale_rig/hollow_proxy.h"

namespace badgerbridge::scale {

inline std::vector<std::size_t> NumbersIn(const boost::json::object& object, const char* key) {
  return boost::json::value_to<std::vector<std::size_t>>(object.at(key));
}

inline std::string TextAt(const boost::json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

inline double NumberAt(const boost::json::object& object, const char* key) {
  return object.at(key).to_number<double>();
}

inline boost::json::object ToJson(const Write& write) {
  return {{"revision", write.revision}, {"at_ns", write.at_ns}, {"service", write.service}};
}

inline std::vector<Write> WritesIn(const boost::json::array& array) {
  std::vector<Write> writes;
  for (const boost::json::value& one : array)
    writes.push_back({one.at("revision").to_number<std::uint64_t>(),
                      one.at("at_ns").to_number<std::int64_t>(), one.at("service").to_number<std::size_t>()});
  return writes;
}

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_JSON_H_
