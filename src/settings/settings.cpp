// SPDX-License-Identifier: Apache-2.0
#include "settings/settings.h"

#include <string>

#include "settings/settings_reader.h"

namespace badgerbridge::settings {
namespace {

using balancer::ClassSettings;
using balancer::DeduplicationScope;
using balancer::Duration;
using balancer::Idempotency;
using balancer::Settings;
using balancer::TenantSettings;

constexpr double kMaxListItems = 65536;  // the wire protocol has 16 bits for indices of classes and tenants
constexpr double kMaxAttempts = 255;

Idempotency ReadIdempotency(SettingsReader& reader, const std::string& key) {
  const std::string_view text = reader.Text(key);
  if (text == "read_like") return Idempotency::kIdempotent;
  if (text == "idempotency_key") return Idempotency::kIdempotencyKey;
  if (text != "non_idempotent") reader.RecordError(SettingsErrorCode::kUnknownValue, key);
  return Idempotency::kNotIdempotent;
}

DeduplicationScope ReadDeduplicationScope(SettingsReader& reader, const std::string& key) {
  const std::string_view text = reader.Text(key);
  if (text == "all") return DeduplicationScope::kAll;
  if (text == "zone") return DeduplicationScope::kZone;
  if (text != "cell") reader.RecordError(SettingsErrorCode::kUnknownValue, key);
  return DeduplicationScope::kCell;
}

// `prefix` is the key prefix of the class, with the trailing dot.
ClassSettings ReadClass(SettingsReader& reader, const std::string& prefix) {
  ClassSettings settings;
  settings.idempotency = ReadIdempotency(reader, prefix + "effect");
  if (settings.idempotency == Idempotency::kIdempotencyKey) {
    settings.deduplication_scope = ReadDeduplicationScope(reader, prefix + "group");
    settings.deduplication_window = reader.Time(prefix + "windowMs");
  }
  settings.latency_objective = reader.Time(prefix + "goalTimeMs");
  settings.deadline = reader.Time(prefix + "deadlineMs");
  settings.priority_weight = reader.NumberOr(prefix + "worth", 1);
  settings.late_weight = reader.NumberOr(prefix + "lateWorth", 0, 0, 1);
  return settings;
}

void ReadClasses(SettingsReader& reader, Settings* settings) {
  const int count = reader.Integer("classes.count", 1, kMaxListItems);
  for (int i = 0; i < count && !reader.error(); ++i)
    settings->classes.push_back(ReadClass(reader, "classes." + std::to_string(i) + "."));
}

void ReadTenants(SettingsReader& reader, Settings* settings) {
  const int count = static_cast<int>(reader.NumberOr("tenants.count", 0, 0, kMaxListItems));
  for (int i = 0; i < count && !reader.error(); ++i) {
    TenantSettings tenant;
    tenant.quota_per_s = reader.NumberOr("tenants." + std::to_string(i) + ".quotaPerS", 0);
    settings->tenants.push_back(tenant);
  }
}

// Reads whether watch events push the endpoint list, or the balancer polls it.
void ReadEndpointListMode(SettingsReader& reader, Settings* settings) {
  const std::string_view mode = reader.TextOr("registryMode", "push");
  if (mode != "push" && mode != "ask") reader.RecordError(SettingsErrorCode::kUnknownValue, "registryMode");
  settings->polls_endpoint_list = mode == "ask";
  if (settings->polls_endpoint_list) settings->max_poll_interval = reader.Time("rules.mustAskInMs");
}

void ReadAttempts(SettingsReader& reader, Settings* settings) {
  settings->max_attempts = reader.Integer("permissions.maxAttempts", 1, kMaxAttempts);
  if (reader.TextOr("permissions.retryAfter", "false") == "true")
    settings->max_retry_after = Duration(reader.NumberOr("permissions.maxRetryAfterMs", 0));
}

void ReadBackendRules(SettingsReader& reader, Settings* settings) {
  settings->slow_start_floor = reader.Number("rules.coldFrom", 0, 1);
  settings->slow_start_window = reader.Time("rules.warmUpMs");
  settings->overload_factor = reader.Number("rules.fallMultiple");
  settings->overload_duration = reader.Time("rules.overloadForMs");
}

}  // namespace

Result<Settings> ParseSettings(std::string_view text) {
  SettingsReader reader(text);
  Settings settings;
  settings.balancer_count = reader.Integer("balancers", 1, kMaxListItems);
  settings.balancer_index = static_cast<int>(reader.NumberOr("me", 0, 0, kMaxListItems));
  settings.zone = reader.Integer("zone", 0, kMaxListItems);
  ReadClasses(reader, &settings);
  ReadTenants(reader, &settings);
  settings.over_quota_weight = reader.NumberOr("overShareWorth", 1, 0, 1);
  settings.cross_zone_cost = reader.NumberOr("deductions.crossZone", 0);
  settings.key_affinity = reader.TextOr("specifics.warmKeys", "false") == "true";
  ReadEndpointListMode(reader, &settings);
  ReadAttempts(reader, &settings);
  settings.tick = Duration(reader.NumberOr("periodMs", 1));
  ReadBackendRules(reader, &settings);
  if (reader.error()) return *reader.error();
  return settings;
}

}  // namespace badgerbridge::settings
