// SPDX-License-Identifier: Apache-2.0
//
/// The decision module's settings as lines "key = value", under the platform's own key names.
#ifndef BADGERBRIDGE_TESTS_COMPATIBILITY_SETTINGS_DUMP_H_
#define BADGERBRIDGE_TESTS_COMPATIBILITY_SETTINGS_DUMP_H_

#include <string>

#include "badgerbridge/balancer.h"
#include "compatibility/key_value_dump.h"

namespace badgerbridge::compatibility {

inline void AddSettings(const balancer::Settings& settings, KeyValueDump* dump) {
  dump->BeginTable("");
  dump->Add("balancers", settings.balancer_count);
  dump->Add("me", settings.balancer_index);
  dump->Add("zone", settings.zone);
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const balancer::ClassSettings& one = settings.classes[i];
    dump->BeginTable("classes." + std::to_string(i));
    dump->Add("effect", one.idempotency);
    dump->Add("group", one.deduplication_scope);
    dump->Add("windowMs", one.deduplication_window);
    dump->Add("goalTimeMs", one.latency_objective);
    dump->Add("deadlineMs", one.deadline);
    dump->Add("worth", one.priority_weight);
    dump->Add("lateWorth", one.late_weight);
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    dump->BeginTable("tenants." + std::to_string(i));
    dump->Add("quotaPerS", settings.tenants[i].quota_per_s);
  }
  dump->BeginTable("");
  dump->Add("overShareWorth", settings.over_quota_weight);
  dump->Add("deductions.crossZone", settings.cross_zone_cost);
  dump->Add("specifics.warmKeys", settings.key_affinity);
  dump->Add("registryMode = ask", settings.polls_endpoint_list);
  dump->Add("permissions.maxAttempts", settings.max_attempts);
  dump->Add("permissions.maxRetryAfterMs", settings.max_retry_after);
  dump->Add("periodMs", settings.tick);
  dump->Add("rules.mustAskInMs", settings.max_poll_interval);
  dump->Add("rules.coldFrom", settings.slow_start_floor);
  dump->Add("rules.warmUpMs", settings.slow_start_window);
  dump->Add("rules.fallMultiple", settings.overload_factor);
  dump->Add("rules.overloadForMs", settings.overload_duration);
}

}  // namespace badgerbridge::compatibility

#endif  // BADGERBRIDGE_TESTS_COMPATIBILITY_SETTINGS_DUMP_H_
