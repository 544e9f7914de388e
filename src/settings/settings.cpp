// SPDX-License-Identifier: Apache-2.0
#include "settings/settings.h"

#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace badgerbridge::settings {

using namespace balancer;  // the settings are the module's

namespace {

constexpr double kMost = 1e12;            // no count, time or rate of a deployment is larger
constexpr double kMostListItems = 65536;  // indices of classes and tenants have 16 bits on the wire

class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const std::size_t equals = line.find('=');
      if (equals != std::string_view::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }

  double Number(const std::string& key, double least = 0, double most = kMost) const {
    const auto found = values_.find(key);
    if (found == values_.end()) throw BadSettings("setting absent: " + key);
    return Checked(key, found->second, least, most);
  }
  double NumberOr(const std::string& key, double otherwise, double least = 0, double most = kMost) const {
    return values_.count(key) ? Number(key, least, most) : otherwise;
  }
  int Whole(const std::string& key, double least, double most) const {
    const double value = Number(key, least, most);
    if (value != std::floor(value)) throw BadSettings("setting not a whole number: " + key);
    return static_cast<int>(value);
  }
  Duration Time(const std::string& key) const { return Duration(Number(key)); }
  std::string_view Word(const std::string& key, std::string_view otherwise) const {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : found->second;
  }
  std::string_view Word(const std::string& key) const {
    const auto found = values_.find(key);
    if (found == values_.end()) throw BadSettings("setting absent: " + key);
    return found->second;
  }

 private:
  static double Checked(const std::string& key, std::string_view text, double least, double most) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
      throw BadSettings("setting not a number: " + key);
    if (value < least || value > most) throw BadSettings("setting out of range: " + key);
    return value;
  }

  std::map<std::string_view, std::string_view, std::less<>> values_;
};

Idempotency EffectOf(const Pairs& pairs, const std::string& key) {
  const std::string_view word = pairs.Word(key);
  if (word == "read_like") return Idempotency::kIdempotent;
  if (word == "idempotency_key") return Idempotency::kIdempotencyKey;
  if (word == "non_idempotent") return Idempotency::kNotIdempotent;
  throw BadSettings("setting of unknown meaning: " + key);
}

DeduplicationScope GroupOf(const Pairs& pairs, const std::string& key) {
  const std::string_view word = pairs.Word(key);
  if (word == "all") return DeduplicationScope::kAll;
  if (word == "zone") return DeduplicationScope::kZone;
  if (word == "cell") return DeduplicationScope::kCell;
  throw BadSettings("setting of unknown meaning: " + key);
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  const Pairs pairs(text);
  Settings settings;
  settings.balancer_count = pairs.Whole("balancers", 1, kMostListItems);
  settings.balancer_index = static_cast<int>(pairs.NumberOr("me", 0, 0, kMostListItems));
  settings.zone = pairs.Whole("zone", 0, kMostListItems);

  const int classes = pairs.Whole("classes.count", 1, kMostListItems);
  for (int i = 0; i < classes; ++i) {
    const std::string at = "classes." + std::to_string(i) + ".";
    ClassSettings c;
    c.effect = EffectOf(pairs, at + "effect");
    if (c.effect == Idempotency::kIdempotencyKey) {
      c.group = GroupOf(pairs, at + "group");
      c.window = pairs.Time(at + "windowMs");
    }
    c.latency_objective = pairs.Time(at + "goalTimeMs");
    c.deadline = pairs.Time(at + "deadlineMs");
    c.priority_weight = pairs.NumberOr(at + "worth", 1);
    c.late_weight = pairs.NumberOr(at + "lateWorth", 0, 0, 1);
    settings.classes.push_back(c);
  }

  const int tenants = static_cast<int>(pairs.NumberOr("tenants.count", 0, 0, kMostListItems));
  for (int i = 0; i < tenants; ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    TenantSettings tenant;
    tenant.quota_per_s = pairs.NumberOr(at + "quotaPerS", 0);
    settings.tenants.push_back(tenant);
  }

  settings.over_quota_weight = pairs.NumberOr("overShareWorth", 1, 0, 1);
  settings.cross_zone_cost = pairs.NumberOr("deductions.crossZone", 0);
  settings.key_affinity = pairs.Word("specifics.warmKeys", "false") == "true";

  const std::string_view mode = pairs.Word("registryMode", "push");
  if (mode != "push" && mode != "ask") throw BadSettings("setting of unknown meaning: registryMode");
  settings.polls_endpoint_list = mode == "ask";
  if (settings.polls_endpoint_list) settings.max_poll_interval = pairs.Time("rules.mustAskInMs");
  settings.max_attempts = pairs.Whole("permissions.maxAttempts", 1, 255);
  if (pairs.Word("permissions.retryAfter", "false") == "true")
    settings.max_retry_after = Duration(pairs.NumberOr("permissions.maxRetryAfterMs", 0));
  settings.tick = Duration(pairs.NumberOr("periodMs", 1));

  settings.slow_start_floor = pairs.Number("rules.coldFrom", 0, 1);
  settings.slow_start_window = pairs.Time("rules.warmUpMs");
  settings.overload_factor = pairs.Number("rules.fallMultiple");
  settings.overload_duration = pairs.Time("rules.overloadForMs");
  return settings;
}

}  // namespace badgerbridge::settings
