// SPDX-License-Identifier: Apache-2.0
#include "admin_api/admin_api.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <utility>

#include "admin_api/name_lookup.h"
#include "admin_api/request_codec.h"

namespace badgerbridge::admin_api {
namespace {

namespace json = boost::json;
using balancer::TimePoint;

constexpr std::size_t kMaxHeaderBytes = 8192;
constexpr std::size_t kMaxBodyBytes = 4096;

}  // namespace

AdminApi::AdminApi(boost::asio::io_context& io, const operator_config::AdminApiSettings& settings,
                   Dependencies dependencies)
    : dependencies_(std::move(dependencies)),
      started_at_(dependencies_.clock.Now()),
      server_(
          io, settings.socket, settings.allow_uids,
          {settings.max_connections, kMaxHeaderBytes, kMaxBodyBytes, settings.request_timeout,
           settings.idle_timeout},
          [this](http_api::Request request, http_api::Peer) -> boost::asio::awaitable<http_api::Response> {
            co_return Handle(request);
          }) {}

http_api::Response AdminApi::Handle(const http_api::Request& request) {
  Result<json::value> answer = Perform(request);
  if (!answer) return http_api::Error(HttpStatus(answer.error().code), Message(answer.error()));
  return {200, std::move(*answer)};
}

Result<json::value> AdminApi::Perform(const http_api::Request& request) {
  const Result<Operation> operation = ParseOperation(request.path, request.method);
  if (!operation) return operation.error();
  switch (*operation) {
    case Operation::kGetStatus:
      return DescribeStatus();
    case Operation::kGetBackends:
      return DescribeBackends();
    case Operation::kGetMembers:
      return DescribeMembers();
    case Operation::kGetZones:
      return DescribeZones();
    case Operation::kDrain:
      return Drain(request);
    case Operation::kUndrain:
      return Undrain();
    case Operation::kStop:
      return Stop();
    case Operation::kReleaseMembers:
      return ReleaseMembers();
  }
  return RequestError{RequestErrorCode::kUnknownPath, request.path};
}

Result<json::value> AdminApi::DescribeMembers() const {
  if (!dependencies_.describe_members) return RequestError{RequestErrorCode::kNoMembership, ""};
  return dependencies_.describe_members();
}

Result<json::value> AdminApi::ReleaseMembers() {
  if (!dependencies_.describe_members) return RequestError{RequestErrorCode::kNoMembership, ""};
  return json::value(EncodeReleasedMembers(dependencies_.release_members()));
}

Result<json::value> AdminApi::DescribeZones() const {
  if (!dependencies_.describe_zones) return RequestError{RequestErrorCode::kNoZoneFailover, ""};
  return dependencies_.describe_zones();
}

Result<json::value> AdminApi::Drain(const http_api::Request& request) {
  const Result<DrainRequest> drain = ParseDrainRequest(request);
  if (!drain) return drain.error();
  if (dependencies_.listener.stopping()) return RequestError{RequestErrorCode::kStopping, ""};
  const TimePoint now = dependencies_.clock.Now();
  if (!drain_started_at_) drain_started_at_ = now;
  drain_deadline_.reset();
  if (drain->deadline) drain_deadline_ = now + *drain->deadline;
  dependencies_.listener.Drain();
  return DescribeStatus();
}

Result<json::value> AdminApi::Undrain() {
  if (dependencies_.listener.stopping()) return RequestError{RequestErrorCode::kStopping, ""};
  dependencies_.listener.Undrain();
  drain_started_at_.reset();
  drain_deadline_.reset();
  return DescribeStatus();
}

Result<json::value> AdminApi::Stop() {
  if (dependencies_.listener.stopping()) return RequestError{RequestErrorCode::kStopping, ""};
  dependencies_.stop();
  return DescribeStatus();
}

ProxyState AdminApi::State() const {
  const proxy::Listener& listener = dependencies_.listener;
  if (listener.stopping()) return ProxyState::kStopping;
  if (listener.draining()) return listener.IsIdle() ? ProxyState::kDrained : ProxyState::kDraining;
  return dependencies_.proxy.CanServe() ? ProxyState::kReady : ProxyState::kStarting;
}

std::vector<ClassStatus> AdminApi::Classes() const {
  std::vector<ClassStatus> classes;
  for (const request_table::RequestCounters& counters : dependencies_.proxy.counters()) {
    const int index = static_cast<int>(classes.size());
    classes.push_back({NameAt(dependencies_.config.classes, index), counters});
  }
  return classes;
}

EndpointListStatus AdminApi::EndpointList(TimePoint now) const {
  EndpointListStatus status;
  status.version = dependencies_.endpoint_list.version();
  const TimePoint updated_at = dependencies_.proxy.last_list_at();
  if (updated_at != TimePoint{}) status.age = now - updated_at;
  status.backends = dependencies_.endpoint_list.name_count();
  return status;
}

std::optional<DrainStatus> AdminApi::CurrentDrain(TimePoint now, ProxyState state) const {
  if (!drain_started_at_ || !dependencies_.listener.draining()) return std::nullopt;
  DrainStatus status;
  status.elapsed = now - *drain_started_at_;
  if (drain_deadline_) {
    status.remaining = *drain_deadline_ - now;
    status.is_overdue = state == ProxyState::kDraining && now >= *drain_deadline_;
  }
  return status;
}

json::value AdminApi::DescribeStatus() const {
  const TimePoint now = dependencies_.clock.Now();
  ProxyStatus status;
  status.name = dependencies_.config.name;
  status.state = State();
  status.process_id = getpid();
  status.uptime = now - started_at_;
  status.connections = dependencies_.listener.connections();
  status.malformed_requests = dependencies_.listener.rejected();
  status.classes = Classes();
  status.endpoint_list = EndpointList(now);
  status.drain = CurrentDrain(now, status.state);
  status.reloads = dependencies_.reloads;
  return EncodeStatus(status);
}

json::value AdminApi::DescribeBackends() const {
  const TimePoint now = dependencies_.clock.Now();
  std::vector<BackendStatus> backends;
  for (const balancer::BackendView& view : dependencies_.proxy.Inspect()) {
    std::string name = dependencies_.endpoint_list.NameOf(view.entry.server);
    if (name.empty()) continue;  // no longer listed; the balancer still retains its state
    backends.push_back({std::move(name), NameAt(dependencies_.config.zones, view.entry.zone),
                        NameAt(dependencies_.config.kinds, view.entry.kind), view});
  }
  return EncodeBackends(now, backends);
}

}  // namespace badgerbridge::admin_api
