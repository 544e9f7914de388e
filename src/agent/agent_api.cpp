// SPDX-License-Identifier: Apache-2.0
#include "agent/agent_api.h"

#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "agent/instance_log.h"
#include "agent/response_codec.h"
#include "http_api/client.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kMaxOrderWait{30000};  // upper bound of wait_ms
constexpr std::int64_t kDefaultLogLines = 50;
constexpr std::int64_t kMaxLogLines = 10000;

unsigned HttpStatusOf(ValidationResult::Code code) {
  switch (code) {
    case ValidationResult::Code::kAccepted:
      return 202;
    case ValidationResult::Code::kDuplicate:
      return 200;
    case ValidationResult::Code::kConflict:
    case ValidationResult::Code::kStale:
      return 409;
    case ValidationResult::Code::kUnknownInstance:
      return 404;
    case ValidationResult::Code::kInvalid:
      return 400;
  }
  return 500;
}

http_api::Role RequiredRole(const http_api::Request& request) {
  if (request.method == "GET" || request.path == "/v1/diff") return http_api::Role::kReader;
  return request.path == "/v1/apply" ? http_api::Role::kAdmin : http_api::Role::kOperator;
}

/// The part of the path after the prefix; empty if the path does not begin with the prefix or has nothing
/// after it.
std::string RemovePrefix(std::string_view path, std::string_view prefix) {
  return path.starts_with(prefix) ? std::string(path.substr(prefix.size())) : std::string();
}

/// A path below /v1/instances/.
struct InstancePath {
  std::string name;
  std::string rest;  // begins with a slash; empty for the instance itself
};

std::optional<InstancePath> ParseInstancePath(std::string_view path) {
  const std::string below = RemovePrefix(path, "/v1/instances/");
  if (below.empty()) return std::nullopt;
  const std::size_t slash = below.find('/');
  if (slash == std::string::npos) return InstancePath{below, ""};
  return InstancePath{below.substr(0, slash), below.substr(slash)};
}

http_api::Response UnknownCall() {
  return http_api::Error(404, "no such call; docs/operators/agent.md lists them");
}

http_api::Response UnknownInstance(const std::string& name) {
  return http_api::Error(404, "there is no instance " + name);
}

}  // namespace

// ---- routes -------------------------------------------------------------------------------------------

asio::awaitable<http_api::Response> AgentApi::Handle(http_api::Request request, http_api::Peer peer) {
  const http_api::Role required = RequiredRole(request);
  const bool is_post = request.method == "POST";
  if (peer.role < required) {
    const bool is_write = is_post && request.path != "/v1/diff";
    if (is_write) agent_.Audit(peer.name, "not allowed", {{"path", request.path}});
    co_return http_api::Error(403, peer.name + " has the role " + std::string(http_api::Name(peer.role)) +
                                       "; this takes " + std::string(http_api::Name(required)));
  }
  if (request.method == "GET") {
    http_api::Response response = co_await HandleGet(std::move(request), std::move(peer));
    co_return response;
  }
  if (is_post) {
    http_api::Response response = co_await HandlePost(std::move(request), std::move(peer));
    co_return response;
  }
  co_return UnknownCall();
}

asio::awaitable<http_api::Response> AgentApi::HandleGet(http_api::Request request, http_api::Peer peer) {
  if (request.path == "/v1/status") {
    co_await agent_.RefreshStatus();
    co_return http_api::Response{200, EncodeStatus(agent_)};
  }
  if (request.path == "/v1/orders") co_return http_api::Response{200, EncodeOrderList(agent_.controller())};
  if (const std::string id = RemovePrefix(request.path, "/v1/orders/"); !id.empty()) {
    http_api::Response response = co_await GetOrder(id, request);
    co_return response;
  }
  if (const auto path = ParseInstancePath(request.path)) {
    if (path->rest.empty()) {
      http_api::Response response = co_await GetInstance(path->name);
      co_return response;
    }
    if (path->rest == "/members") {
      http_api::Response response = co_await ForwardToInstance(path->name, "/v1/members", peer, false);
      co_return response;
    }
  }
  if (const std::string name = RemovePrefix(request.path, "/v1/logs/"); !name.empty())
    co_return GetLog(name, request);
  co_return UnknownCall();
}

asio::awaitable<http_api::Response> AgentApi::HandlePost(http_api::Request request, http_api::Peer peer) {
  if (request.path == "/v1/orders") co_return PostOrder(request, peer);
  if (request.path == "/v1/apply") co_return PostFleet(request, peer, /*apply=*/true);
  if (request.path == "/v1/diff") co_return PostFleet(request, peer, /*apply=*/false);
  const auto path = ParseInstancePath(request.path);
  if (path && path->rest == "/members/release") {
    http_api::Response response = co_await ForwardToInstance(path->name, "/v1/members/release", peer, true);
    co_return response;
  }
  co_return UnknownCall();
}

// ---- instances ----------------------------------------------------------------------------------------

asio::awaitable<http_api::Response> AgentApi::GetInstance(std::string name) {
  const auto found = agent_.controller().instances().find(name);
  if (found == agent_.controller().instances().end()) co_return UnknownInstance(name);
  const Instance& instance = found->second;
  json::object answer = EncodeInstanceStatus(agent_, instance);
  answer["definition"] = json::parse(instance.definition);
  if (const InstancePoller::LatestStatus* latest = agent_.FindStatus(name)) answer["status"] = latest->status;
  if (instance.pid != 0) {
    const std::string socket = ParseDefinition(instance.definition).value().control_socket;
    const http_api::Reply reply =
        co_await http_api::CallUnix(socket, "GET", "/v1/converters", "", kInstanceCallTimeout);
    if (reply.ok() && reply.body.is_object() && reply.body.get_object().contains("converters")) {
      answer["converters"] = reply.body.get_object().at("converters");
    } else {
      answer["converters_error"] = reply.ErrorMessage();
    }
  }
  co_return http_api::Response{200, std::move(answer)};
}

asio::awaitable<http_api::Response> AgentApi::ForwardToInstance(std::string name, std::string path,
                                                                http_api::Peer peer, bool is_write) {
  const auto found = agent_.controller().instances().find(name);
  if (found == agent_.controller().instances().end()) co_return UnknownInstance(name);
  if (found->second.pid == 0) co_return http_api::Error(409, "the instance " + name + " does not run");
  // A write is recorded in the audit log before it is performed.
  if (is_write && !agent_.Audit(peer.name, "asked", {{"instance", name}, {"path", path}}))
    co_return http_api::Error(507, "the agent cannot write its audit log, and asks nothing without it");
  const std::string socket = ParseDefinition(found->second.definition).value().control_socket;
  const std::string method = is_write ? "POST" : "GET";
  const std::string body = is_write ? "{}" : "";
  const http_api::Reply reply = co_await http_api::CallUnix(socket, method, path, body, kInstanceCallTimeout);
  if (is_write)
    agent_.Audit(peer.name, "answered", {{"instance", name}, {"path", path}, {"status", reply.status}});
  if (reply.status == 0)
    co_return http_api::Error(504, "the instance does not answer: " + reply.ErrorMessage());
  co_return http_api::Response{reply.status, reply.body};
}

http_api::Response AgentApi::GetLog(const std::string& name, const http_api::Request& request) const {
  if (!agent_.controller().instances().contains(name)) return UnknownInstance(name);
  const std::int64_t max_lines = http_api::QueryNumber(request, "lines", kDefaultLogLines, kMaxLogLines);
  const std::vector<std::string> lines =
      ReadLastLines(agent_.PathsOf(name).log, static_cast<std::size_t>(max_lines));
  return {200, EncodeLog(name, lines)};
}

// ---- orders -------------------------------------------------------------------------------------------

asio::awaitable<http_api::Response> AgentApi::GetOrder(std::string id, http_api::Request request) {
  const auto max_wait = milliseconds(http_api::QueryNumber(request, "wait_ms", 0, kMaxOrderWait.count()));
  const auto due = std::chrono::steady_clock::now() + max_wait;
  for (;;) {
    const OrderState* order = agent_.controller().FindOrder(id);
    if (!order) co_return http_api::Error(404, "there is no order " + id + ", or it ended long ago");
    const auto left = std::chrono::duration_cast<milliseconds>(due - std::chrono::steady_clock::now());
    if (order->ended || left <= milliseconds(0))
      co_return http_api::Response{200, EncodeOrderStatus(agent_.controller(), *order)};
    co_await agent_.WaitForChange(left);
  }
}

http_api::Response AgentApi::SubmitOrder(const OrderRequest& request) {
  const Result<ValidationResult> validation = agent_.SubmitOrder(request.order, request.dry_run);
  if (!validation) return http_api::Error(507, Message(validation.error()));
  const bool would_be_accepted = request.dry_run && validation->accepted();
  const unsigned status = would_be_accepted ? 200 : HttpStatusOf(validation->code);
  return {status, EncodeSubmission(agent_.controller(), request.order, *validation, status, request.dry_run)};
}

http_api::Response AgentApi::PostOrder(const http_api::Request& request, const http_api::Peer& peer) {
  const auto body = http_api::ParseJsonObject(request);
  if (!body) return http_api::Error(400, http_api::Message(body.error()));
  const Result<OrderRequest> order = ParseOrderRequest(*body, peer);
  if (!order) return http_api::Error(400, Message(order.error()));
  return SubmitOrder(*order);
}

http_api::Response AgentApi::PostFleet(const http_api::Request& request, const http_api::Peer& peer,
                                       bool apply) {
  const auto body = http_api::ParseJsonObject(request);
  if (!body) return http_api::Error(400, http_api::Message(body.error()));
  Result<FleetRequest> fleet = ParseFleetRequest(*body, peer);
  if (!fleet) return http_api::Error(400, Message(fleet.error()));
  operator_config::Problems problems;
  const FleetFile file = ParseFleetFile(fleet->fleet_text, fleet->file_name, problems);
  if (!problems.empty()) return http_api::Error(400, operator_config::FormatProblems(problems));
  const std::string& own_name = agent_.settings().name;
  if (file.agent.name != own_name)
    return http_api::Error(400, "the file is for agent " + file.agent.name + ", and this is " + own_name);
  return ApplyFleet(std::move(*fleet), file, apply);
}

http_api::Response AgentApi::ApplyFleet(FleetRequest request, const FleetFile& file, bool apply) {
  DefinitionTexts before;
  for (const auto& [name, instance] : agent_.controller().instances()) before[name] = instance.definition;
  const DefinitionTexts after = SerializeDefinitions(file.instances);
  const auto changes = DiffDefinitions(before, after);
  if (!changes) return http_api::Error(400, Message(changes.error()));
  if (!apply || changes->empty())
    return {200, json::object{{"generation", agent_.controller().generation()},
                              {"changes", EncodeChanges(*changes)}}};
  Order& order = request.order_request.order;
  for (const DefinitionChange& change : *changes) {
    const bool removes = change.kind == DefinitionChange::Kind::kRemove;
    order.instances.push_back(change.instance);
    order.definitions[change.instance] = removes ? std::string() : after.at(change.instance);
  }
  http_api::Response response = SubmitOrder(request.order_request);
  if (json::object* answer = response.body.if_object()) (*answer)["changes"] = EncodeChanges(*changes);
  return response;
}

}  // namespace badgerbridge::agent
