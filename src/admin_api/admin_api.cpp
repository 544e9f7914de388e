// SPDX-License-Identifier: Apache-2.0
#include "admin_api/admin_api.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <cmath>

namespace badgerbridge::admin_api {
namespace {

namespace json = boost::json;
using balancer::Duration;
using balancer::TimePoint;
using proxy::RequestCounters;

constexpr std::size_t kMostBody = 4096;

double Tenth(double x) { return std::round(x * 10) / 10; }

json::object Counts(const RequestCounters& counters) {
  return {{"taken", counters.accepted},
          {"served", counters.served},
          {"refused", counters.rejected},
          {"failed", counters.failed},
          {"open", counters.open},
          {"failed_of_which", json::object{{"client_left", counters.client_disconnected},
                                           {"last_resort", counters.deadline_fallback}}}};
}

std::string NameAt(const std::vector<std::string>& names, int index) {
  return index >= 0 && static_cast<std::size_t>(index) < names.size() ? names[static_cast<std::size_t>(index)]
                                                                      : std::string();
}

std::string_view Name(balancer::BackendState state) {
  switch (state) {
    case balancer::BackendState::kReady:
      return "ready";
    case balancer::BackendState::kDraining:
      return "draining";
    case balancer::BackendState::kGone:
      return "gone";
  }
  return "gone";
}

}  // namespace

AdminApi::AdminApi(boost::asio::io_context& io, const operator_config::AdminApiSettings& settings,
                   Subject subject)
    : subject_(std::move(subject)),
      started_(subject_.clock.Now()),
      server_(
          io, settings.socket, settings.allow_uids,
          {settings.max_connections, 8 << 10, kMostBody, settings.request_timeout, settings.idle_timeout},
          [this](http_api::Request request, http_api::Peer) -> boost::asio::awaitable<http_api::Response> {
            co_return Handle(request);
          }) {}

http_api::Response AdminApi::Handle(const http_api::Request& request) {
  struct Call {
    std::string_view path, method;
  };
  constexpr Call kCalls[] = {{"/v1/status", "GET"}, {"/v1/converters", "GET"},      {"/v1/members", "GET"},
                             {"/v1/zones", "GET"},  {"/v1/drain", "POST"},          {"/v1/undrain", "POST"},
                             {"/v1/stop", "POST"},  {"/v1/members/release", "POST"}};
  for (const Call& call : kCalls) {
    if (request.path != call.path) continue;
    if (request.method != call.method)
      return http_api::Error(405, "this path takes " + std::string(call.method));
    if (call.path == "/v1/status") return {200, Status()};
    if (call.path == "/v1/converters") return {200, Backends()};
    if (call.path == "/v1/zones") {
      if (!subject_.zones)
        return http_api::Error(404, "no regions here: the operator's file has no [regions] table");
      return {200, subject_.zones()};
    }
    if (call.path == "/v1/members" || call.path == "/v1/members/release") {
      if (!subject_.members)
        return http_api::Error(404, "no ledger here: the operator's file has no [etcd] table");
      if (call.path == "/v1/members") return {200, subject_.members()};
      return {200, json::object{{"released", subject_.release()}}};
    }
    if (call.path == "/v1/drain") return Drain(request);
    if (subject_.listener.stopping()) return http_api::Error(409, "this proxy is stopping");
    if (call.path == "/v1/undrain") {
      subject_.listener.Undrain();
      drain_began_.reset(), drain_due_.reset();
    } else {
      subject_.stop();
    }
    return {200, Status()};
  }
  return http_api::Error(404, "no such call; docs/operators/admin_api.md lists them");
}

http_api::Response AdminApi::Drain(const http_api::Request& request) {
  std::optional<Duration> deadline;
  if (!request.body.empty()) {
    const auto body = http_api::ParseJsonObject(request);
    if (!body) return http_api::Error(400, http_api::Message(body.error()));
    for (const auto& [key, value] : *body) {
      const double ms = value.is_number() ? value.to_number<double>() : -1;
      if (key != "deadline_ms")
        return http_api::Error(400, "unknown member " + std::string(key) + "; deadline_ms is known");
      if (!(ms >= 0 && ms <= static_cast<double>(kMostDeadline.count())))
        return http_api::Error(400,
                               "deadline_ms is no number from 0 to " + std::to_string(kMostDeadline.count()));
      deadline = Duration(ms);
    }
  }
  if (subject_.listener.stopping()) return http_api::Error(409, "this proxy is stopping");
  const TimePoint now = subject_.clock.Now();
  if (!drain_began_) drain_began_ = now;
  drain_due_.reset();
  if (deadline) drain_due_ = now + *deadline;
  subject_.listener.Drain();
  return {200, Status()};
}

std::string_view AdminApi::State() const {
  const auto& listener = subject_.listener;
  if (listener.stopping()) return "stopping";
  if (listener.draining()) return listener.IsIdle() ? "drained" : "draining";
  return subject_.proxy.CanServe() ? "ready" : "starting";
}

json::object AdminApi::Status() const {
  const TimePoint now = subject_.clock.Now();
  json::object status;
  const std::string_view state = State();
  status["name"] = subject_.config.name;
  status["state"] = state;
  status["version"] = BADGERBRIDGE_VERSION;
  status["pid"] = getpid();
  status["uptime_ms"] = std::floor((now - started_).count());
  status["connections"] = subject_.listener.connections();
  status["rejected"] = subject_.listener.rejected();
  RequestCounters all;
  json::object classes;
  const std::vector<RequestCounters>& by_class = subject_.proxy.counters();
  for (std::size_t i = 0; i < by_class.size(); ++i) {
    classes[NameAt(subject_.config.classes, static_cast<int>(i))] = Counts(by_class[i]);
    all += by_class[i];
  }
  status["requests"] = Counts(all);
  status["classes"] = std::move(classes);
  const TimePoint told = subject_.proxy.list_at();
  status["list"] = json::object{
      {"revision", subject_.list.index()},
      {"age_ms", told == TimePoint{} ? json::value(nullptr) : json::value(std::floor((now - told).count()))},
      {"converters", subject_.list.known()}};
  if (drain_began_ && subject_.listener.draining()) {
    json::object drain{{"since_ms", std::floor((now - *drain_began_).count())}};
    if (drain_due_) {
      drain["left_ms"] = std::max(0.0, std::floor((*drain_due_ - now).count()));
      drain["overdue"] = state == "draining" && now >= *drain_due_;
    }
    status["drain"] = std::move(drain);
  }
  const ReloadStatus& reloads = subject_.reloads;
  status["reloads"] = json::object{
      {"applied", reloads.applied}, {"refused", reloads.refused}, {"last_error", reloads.last_error}};
  return status;
}

json::object AdminApi::Backends() const {
  const TimePoint now = subject_.clock.Now();
  json::array all;
  for (const balancer::BackendView& view : subject_.proxy.Inspect()) {
    const std::string name = subject_.list.NameOf(view.entry.server);
    if (name.empty()) continue;  // it has left the list; the module forgets it after a while
    json::object one{{"name", name},
                     {"zone", NameAt(subject_.config.zones, view.entry.zone)},
                     {"kind", NameAt(subject_.config.kinds, view.entry.kind)},
                     {"group", view.entry.cell},
                     {"status", Name(view.entry.state)},
                     {"health", view.ejected  ? "ejected"
                                : view.silent ? "silent"
                                              : "healthy"},
                     {"in_flight", view.in_flight},
                     {"work_in_flight_ms", Tenth(view.work_in_flight)},
                     {"slowness", std::round(view.slowness * 100) / 100},
                     {"warm_share", std::round(view.warm_share * 100) / 100}};
    if (view.ejected) one["ejected_for_ms"] = std::max(0.0, std::ceil((view.ejected_until - now).count()));
    if (view.warm_share < 1)
      one["cold_budget"] =
          json::object{{"work_ms", Tenth(view.cold_budget)}, {"sent_ms", Tenth(view.cold_sent)}};
    all.push_back(std::move(one));
  }
  return {{"converters", std::move(all)}};
}

}  // namespace badgerbridge::admin_api
