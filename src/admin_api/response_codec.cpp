// SPDX-License-Identifier: Apache-2.0
#include "admin_api/response_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <string_view>

namespace badgerbridge::admin_api {
namespace {

namespace json = boost::json;
using balancer::BackendState;
using balancer::BackendView;
using balancer::Duration;
using balancer::TimePoint;
using request_table::RequestCounters;

double RoundToTenths(double value) { return std::round(value * 10) / 10; }

double RoundToHundredths(double value) { return std::round(value * 100) / 100; }

/// Completed milliseconds of a duration, rounded down.
double WholeMs(Duration duration) { return std::floor(duration.count()); }

std::string_view WireName(ProxyState state) {
  switch (state) {
    case ProxyState::kStarting:
      return "starting";
    case ProxyState::kReady:
      return "ready";
    case ProxyState::kDraining:
      return "draining";
    case ProxyState::kDrained:
      return "drained";
    case ProxyState::kStopping:
      return "stopping";
  }
  return "stopping";
}

std::string_view WireName(BackendState state) {
  switch (state) {
    case BackendState::kReady:
      return "ready";
    case BackendState::kDraining:
      return "draining";
    case BackendState::kGone:
      return "gone";
  }
  return "gone";
}

std::string_view HealthWireName(const BackendView& view) {
  if (view.ejected) return "ejected";
  return view.unresponsive ? "silent" : "healthy";
}

json::object EncodeCounters(const RequestCounters& counters) {
  return {{"taken", counters.accepted},
          {"served", counters.served},
          {"refused", counters.rejected},
          {"failed", counters.failed},
          {"open", counters.open},
          {"failed_of_which", json::object{{"client_left", counters.client_disconnected},
                                           {"last_resort", counters.deadline_fallback}}}};
}

json::object EncodeClasses(const std::vector<ClassStatus>& classes) {
  json::object encoded;
  for (const ClassStatus& status : classes) encoded[status.name] = EncodeCounters(status.counters);
  return encoded;
}

json::object EncodeEndpointList(const EndpointListStatus& list) {
  return {{"revision", list.version},
          {"age_ms", list.age ? json::value(WholeMs(*list.age)) : json::value(nullptr)},
          {"converters", list.backends}};
}

json::object EncodeDrain(const DrainStatus& drain) {
  json::object encoded{{"since_ms", WholeMs(drain.elapsed)}};
  if (drain.remaining) {
    encoded["left_ms"] = std::max(0.0, WholeMs(*drain.remaining));
    encoded["overdue"] = drain.is_overdue;
  }
  return encoded;
}

json::object EncodeReloads(const ReloadStatus& reloads) {
  return {{"applied", reloads.applied}, {"refused", reloads.rejected}, {"last_error", reloads.last_error}};
}

json::object EncodeBackend(TimePoint now, const BackendStatus& backend) {
  const BackendView& view = backend.view;
  json::object encoded{{"name", backend.name},
                       {"zone", backend.zone},
                       {"kind", backend.kind},
                       {"group", view.entry.cell},
                       {"status", WireName(view.entry.state)},
                       {"health", HealthWireName(view)},
                       {"in_flight", view.in_flight},
                       {"work_in_flight_ms", RoundToTenths(view.work_in_flight)},
                       {"slowness", RoundToHundredths(view.slowness)},
                       {"warm_share", RoundToHundredths(view.capacity_share)}};
  if (view.ejected) encoded["ejected_for_ms"] = std::max(0.0, std::ceil((view.ejected_until - now).count()));
  if (view.capacity_share < 1) {
    encoded["cold_budget"] = json::object{{"work_ms", RoundToTenths(view.slow_start_budget)},
                                          {"sent_ms", RoundToTenths(view.slow_start_sent)}};
  }
  return encoded;
}

}  // namespace

json::object EncodeStatus(const ProxyStatus& status) {
  RequestCounters total;
  for (const ClassStatus& class_status : status.classes) total += class_status.counters;
  json::object encoded{{"name", status.name},
                       {"state", WireName(status.state)},
                       {"version", BADGERBRIDGE_VERSION},
                       {"pid", status.process_id},
                       {"uptime_ms", WholeMs(status.uptime)},
                       {"connections", status.connections},
                       {"rejected", status.malformed_requests},
                       {"requests", EncodeCounters(total)},
                       {"classes", EncodeClasses(status.classes)},
                       {"list", EncodeEndpointList(status.endpoint_list)}};
  if (status.drain) encoded["drain"] = EncodeDrain(*status.drain);
  encoded["reloads"] = EncodeReloads(status.reloads);
  return encoded;
}

json::object EncodeBackends(TimePoint now, const std::vector<BackendStatus>& backends) {
  json::array encoded;
  encoded.reserve(backends.size());
  for (const BackendStatus& backend : backends) encoded.push_back(EncodeBackend(now, backend));
  return {{"converters", std::move(encoded)}};
}

json::object EncodeReleasedMembers(std::size_t released) { return {{"released", released}}; }

}  // namespace badgerbridge::admin_api
