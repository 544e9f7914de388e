// SPDX-License-Identifier: Apache-2.0
//
/// The decision module's settings as lines "key = value", under the platform's own key names.
#ifndef BADGERBRIDGE_TESTS_COMPATIBILITY_SETTINGS_DUMP_H_
#define BADGERBRIDGE_TESTS_COMPATIBILITY_SETTINGS_DUMP_H_

#include <string>

#include "compatibility/key_value_dump.h"
#include "fordlb/balancer.h"

namespace badgerbridge::compatibility {

inline void AddSettings(const fordlb::Settings& settings, KeyValueDump* dump) {
  dump->BeginTable("");
  dump->Add("balancers", settings.balancers);
  dump->Add("me", settings.me);
  dump->Add("zone", settings.zone);
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const fordlb::ClassSettings& one = settings.classes[i];
    dump->BeginTable("classes." + std::to_string(i));
    dump->Add("effect", one.effect);
    dump->Add("group", one.group);
    dump->Add("windowMs", one.window);
    dump->Add("goalTimeMs", one.aim);
    dump->Add("deadlineMs", one.deadline);
    dump->Add("worth", one.worth);
    dump->Add("lateWorth", one.late_worth);
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    dump->BeginTable("tenants." + std::to_string(i));
    dump->Add("quotaPerS", settings.tenants[i].quota_per_s);
  }
  dump->BeginTable("");
  dump->Add("overShareWorth", settings.over_share_worth);
  dump->Add("deductions.crossZone", settings.price_cross_zone);
  dump->Add("specifics.warmKeys", settings.warm_keys);
  dump->Add("registryMode = ask", settings.must_ask_for_list);
  dump->Add("permissions.maxAttempts", settings.max_attempts);
  dump->Add("permissions.maxRetryAfterMs", settings.max_retry_after);
  dump->Add("periodMs", settings.tick);
  dump->Add("rules.mustAskInMs", settings.must_ask_within);
  dump->Add("rules.coldFrom", settings.cold_from);
  dump->Add("rules.warmUpMs", settings.warm_up);
  dump->Add("rules.fallMultiple", settings.fall_multiple);
  dump->Add("rules.overloadForMs", settings.overload_for);
}

}  // namespace badgerbridge::compatibility

#endif  // BADGERBRIDGE_TESTS_COMPATIBILITY_SETTINGS_DUMP_H_
