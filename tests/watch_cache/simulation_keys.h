// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The keys and settings of the simulation, and key values as comparable texts.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_KEYS_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_KEYS_H_

#include <algorithm>
#include <map>
#include <string>

#include "etcd.pb.h"
#include "watch_cache/watch_cache.h"

namespace badgerbridge::watch_cache::simulation {

namespace pb = etcdserverpb;

inline const std::string kPrefix = "/p/";
inline const std::string kPrefixEnd = "/p0";

/// Number of keys that are written, beginning with kPrefix + "k0".
constexpr unsigned kKeys = 12;

/// By key, "value@mod_revision".
using KeyTexts = std::map<std::string, std::string>;

inline pb::RangeRequest ListAll() {
  pb::RangeRequest request;
  request.set_key(kPrefix);
  request.set_range_end(kPrefixEnd);
  return request;
}

inline bool IsDrain(const pb::KeyValue& kv) { return kv.value().rfind("drain", 0) == 0; }

inline bool MustBeDelivered(const pb::Event& event) {
  return event.type() == pb::Event::DELETE || IsDrain(event.kv());
}

inline std::string TextOf(const pb::KeyValue& kv) {
  return kv.value() + "@" + std::to_string(kv.mod_revision());
}

template <typename KeyValues>
KeyTexts ToKeyTexts(const KeyValues& kvs) {
  KeyTexts texts;
  for (const pb::KeyValue& kv : kvs) texts[kv.key()] = TextOf(kv);
  return texts;
}

inline void Apply(const pb::Event& event, KeyTexts* texts) {
  if (event.type() == pb::Event::DELETE) {
    texts->erase(event.kv().key());
  } else {
    (*texts)[event.kv().key()] = TextOf(event.kv());
  }
}

/// Settings with small bounds, so that the runs reach them.
inline Settings CacheSettings() {
  Settings settings;
  settings.prefix = kPrefix;
  settings.max_window_events = 60;
  settings.max_window_bytes = 20000;
  settings.max_backlog_bytes = 600;
  settings.max_merged_events = 20;
  settings.read_timeout = Time(400);
  settings.must_deliver = IsDrain;
  return settings;
}

}  // namespace badgerbridge::watch_cache::simulation

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_SIMULATION_KEYS_H_
