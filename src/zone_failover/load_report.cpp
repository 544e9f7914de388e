// SPDX-License-Identifier: Apache-2.0
/// @file
/// Codec of load reports. The JSON field names are stored in etcd and shared with other releases, so they
/// must not change (`doubt` is LoadReport::suspects_itself).
#include "zone_failover/load_report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <optional>

#include "zone_failover/json_fields.h"

namespace badgerbridge::zone_failover {
namespace {

namespace json = boost::json;
using Kind = ZoneFailoverError::Kind;

constexpr double kMaxRate = 1e6;   // work per ms
constexpr double kMaxCount = 1e6;  // attempts, or weight of backends
constexpr double kMaxLatencyRatio = 1000;
constexpr double kMaxLatencyMs = 6e5;
constexpr double kMaxZoneIndex = 1e6;
constexpr std::size_t kNumbersPerZone = 7;

// Rounds to three decimals to keep the text short.
double Rounded(double number) { return std::round(number * 1000) / 1000; }

// Returns the number clamped to the bounds, or nothing if it is missing or not finite.
std::optional<double> ReadNumber(const json::value* value, double min, double max) {
  if (!value || !value->is_number()) return std::nullopt;
  const double number = value->to_number<double>();
  if (!std::isfinite(number)) return std::nullopt;
  return std::clamp(number, min, max);
}

ZoneFailoverError Error(Kind kind, std::string field, const json::value* value) {
  return FieldError(ZoneFailoverError::Record::kLoadReport, kind, std::move(field), value);
}

json::array EncodeZone(const ZoneLoad& zone) {
  return json::array{Rounded(zone.attempts),      Rounded(zone.failures),   Rounded(zone.served),
                     Rounded(zone.latency_ratio), Rounded(zone.latency_ms), Rounded(zone.utilization),
                     Rounded(zone.warm_backends)};
}

Result<ZoneLoad> ReadZone(const json::value& value) {
  if (!value.is_array() || value.get_array().size() != kNumbersPerZone)
    return Error(Kind::kMalformedZone, {}, &value);
  const json::array& numbers = value.get_array();
  const auto attempts = ReadNumber(&numbers[0], 0, kMaxCount);
  const auto failures = ReadNumber(&numbers[1], 0, kMaxCount);
  const auto served = ReadNumber(&numbers[2], 0, kMaxRate);
  const auto latency_ratio = ReadNumber(&numbers[3], 0, kMaxLatencyRatio);
  const auto latency_ms = ReadNumber(&numbers[4], 0, kMaxLatencyMs);
  const auto utilization = ReadNumber(&numbers[5], kUnknownUtilization, 1);
  const auto warm_backends = ReadNumber(&numbers[6], 0, kMaxCount);
  if (!attempts || !failures || !served || !latency_ratio || !latency_ms || !utilization || !warm_backends)
    return Error(Kind::kMalformedZone, "zones", &value);
  ZoneLoad zone;
  zone.attempts = *attempts;
  zone.failures = std::min(*failures, *attempts);
  zone.served = *served;
  zone.latency_ratio = *latency_ratio;
  zone.latency_ms = *latency_ms;
  zone.utilization = *utilization;
  zone.warm_backends = *warm_backends;
  return zone;
}

Result<std::vector<ZoneLoad>> ReadZones(const json::value* list, std::size_t zones) {
  if (!list || !list->is_array() || list->get_array().size() != zones)
    return Error(Kind::kZonesMismatch, "zones", list);
  std::vector<ZoneLoad> loads;
  for (const json::value& value : list->get_array()) {
    const Result<ZoneLoad> zone = ReadZone(value);
    if (!zone) return zone.error();
    loads.push_back(*zone);
  }
  return loads;
}

bool IsVersionOne(const json::value* version) {
  return version && version->is_number() && version->to_number<double>() == 1;
}

}  // namespace

std::string Encode(const LoadReport& report) {
  json::array zones;
  for (const ZoneLoad& zone : report.zones) zones.push_back(EncodeZone(zone));
  json::object all{{"v", 1},
                   {"epoch", report.epoch},
                   {"zone", report.zone},
                   {"demand", Rounded(report.demand)},
                   {"zones", std::move(zones)}};
  if (report.suspects_itself) all["doubt"] = true;
  return json::serialize(all);
}

Result<LoadReport> DecodeLoadReport(std::string_view text, std::size_t zones) {
  const Result<json::object> root =
      ParseRecord(ZoneFailoverError::Record::kLoadReport, text, kMaxLoadReportBytes);
  if (!root) return root.error();
  const auto field = [&](const char* key) { return root->if_contains(key); };
  if (!IsVersionOne(field("v"))) return Error(Kind::kUnsupportedVersion, "v", field("v"));
  const auto epoch = ReadNumber(field("epoch"), 0, kMaxRevision);
  if (!epoch) return Error(Kind::kNotANumber, "epoch", field("epoch"));
  const auto zone = ReadNumber(field("zone"), -1, kMaxZoneIndex);
  if (!zone || *zone < 0 || *zone >= static_cast<double>(zones) || *zone != std::floor(*zone))
    return Error(Kind::kUnknownZone, "zone", field("zone"));
  const auto demand = ReadNumber(field("demand"), 0, kMaxRate);
  if (!demand) return Error(Kind::kNotANumber, "demand", field("demand"));
  Result<std::vector<ZoneLoad>> loads = ReadZones(field("zones"), zones);
  if (!loads) return loads.error();
  LoadReport report;
  report.epoch = static_cast<std::uint64_t>(*epoch);
  report.zone = static_cast<int>(*zone);
  report.demand = *demand;
  const json::value* suspects_itself = field("doubt");
  report.suspects_itself = suspects_itself && suspects_itself->is_bool() && suspects_itself->get_bool();
  report.zones = std::move(*loads);
  return report;
}

}  // namespace badgerbridge::zone_failover
