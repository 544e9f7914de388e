// SPDX-License-Identifier: Apache-2.0
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fstream>

#include "agent/agent.h"
#include "agent/agent_parts.h"
#include "http_api/client.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kFreshStatus{60};          // what a status waits for instances that do not answer
constexpr milliseconds kMostWait{30000};          // of a long poll
constexpr std::size_t kMostLogBytes = 256 << 10;  // of one answer

// Members of a JSON object, each asked for once; what is left over is unknown.
class Members {
 public:
  explicit Members(const json::object& object) : object_(object) {}
  std::optional<std::string> Text(const char* key) {
    const json::value* value = Find(key);
    if (!value) return std::nullopt;
    if (!value->is_string()) throw std::runtime_error(std::string(key) + " is no string");
    return std::string(value->get_string());
  }
  std::optional<std::int64_t> Whole(const char* key, std::int64_t most) {
    const json::value* value = Find(key);
    if (!value) return std::nullopt;
    boost::system::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    if (error || number < 0 || number > most)
      throw std::runtime_error(std::string(key) + " is no whole number from 0 to " + std::to_string(most));
    return number;
  }
  bool Flag(const char* key) {
    const json::value* value = Find(key);
    if (!value) return false;
    if (!value->is_bool()) throw std::runtime_error(std::string(key) + " is neither true nor false");
    return value->get_bool();
  }
  std::vector<std::string> Texts(const char* key) {
    std::vector<std::string> texts;
    const json::value* value = Find(key);
    if (!value) return texts;
    if (!value->is_array()) throw std::runtime_error(std::string(key) + " is no list");
    for (const json::value& item : value->get_array()) {
      if (!item.is_string()) throw std::runtime_error(std::string(key) + " holds what is no string");
      texts.emplace_back(item.get_string());
    }
    return texts;
  }
  void Finish() const {
    for (const auto& [key, value] : object_) {
      if (!asked_.count(std::string(key))) throw std::runtime_error("unknown member " + std::string(key));
    }
  }

 private:
  const json::value* Find(const char* key) {
    asked_.insert(key);
    const json::value* value = object_.if_contains(key);
    return value && !value->is_null() ? value : nullptr;
  }
  const json::object& object_;
  std::set<std::string> asked_;
};

// What orders of every kind share.
Order CommonOrder(Members& members, const http_api::Peer& peer) {
  Order order;
  order.id = members.Text("id").value_or("");
  order.who = peer.who;
  if (const auto name = members.Text("as")) order.who += " (" + name->substr(0, 64) + ")";
  order.against = static_cast<std::uint64_t>(members.Whole("against", INT64_MAX).value_or(0));
  order.supersede = members.Flag("supersede");
  order.deadline = Time(members.Whole("deadline_ms", kMostDeadline.count()).value_or(30000));
  if (const auto force = members.Whole("force_after_ms", kMostDeadline.count()))
    order.force_after = Time(*force);
  order.at_most = static_cast<unsigned>(members.Whole("at_most", kMostInstances).value_or(0));
  return order;
}

unsigned StatusOf(Verdict::Kind kind) {
  switch (kind) {
    case Verdict::Kind::kAccepted:
      return 202;
    case Verdict::Kind::kKnown:
      return 200;
    case Verdict::Kind::kConflict:
    case Verdict::Kind::kStale:
      return 409;
    case Verdict::Kind::kUnknownInstance:
      return 404;
    case Verdict::Kind::kBad:
      return 400;
  }
  return 500;
}

}  // namespace

// Asks all that run, and waits for them, but not for those that do not answer at once.
asio::awaitable<void> Agent::Refresh() {
  const Time asked = Now();
  for (const auto& [name, running] : running_) {
    if (!polling_.count(name)) asio::co_spawn(io_, Poll(name), asio::detached);
  }
  const auto due = std::chrono::steady_clock::now() + kFreshStatus;
  const auto waits = [&] {
    for (const auto& [name, running] : running_) {
      const auto seen = seen_.find(name);
      if (polling_.count(name) && (seen == seen_.end() || seen->second.at < asked)) return true;
    }
    return false;
  };
  while (waits()) {
    const auto left = std::chrono::duration_cast<milliseconds>(due - std::chrono::steady_clock::now());
    if (left <= milliseconds(0)) break;
    co_await WaitForChange(left);
  }
}

json::object Agent::Describe(const Instance& instance) const {
  const Time now = Now();
  json::object one{{"name", instance.name},
                   {"state", Fleet::StateOf(instance)},
                   {"wanted", instance.wanted ? instance.wanted_drained ? "drained" : "running" : "stopped"},
                   {"pid", instance.pid},
                   {"generation", instance.changed},
                   {"deaths", instance.deaths},
                   {"last_end", instance.last_end},
                   {"gave_up", instance.gave_up}};
  json::object labels;
  std::string listen;
  try {
    const Definition definition = DefinitionOf(instance.definition);
    for (const auto& [key, value] : definition.labels) labels[key] = value;
    listen = definition.listen;
  } catch (const std::exception&) {
  }
  one["labels"] = std::move(labels);
  one["listen"] = listen;
  if (!instance.silent.empty() && instance.pid != 0) {
    one["silent"] = instance.silent;
    one["silent_for_ms"] = (now - instance.silent_since).count();
  }
  const auto seen = seen_.find(instance.name);
  if (seen != seen_.end()) {
    one["seen_ms_ago"] = (now - seen->second.at).count();
    for (const char* key : {"uptime_ms", "version", "connections", "requests", "list", "drain", "reloads"}) {
      if (const json::value* value = seen->second.status.if_contains(key)) one[key] = *value;
    }
  }
  for (const OrderState& order : fleet_.orders()) {
    if (order.ended) continue;
    for (const Part& part : order.parts) {
      if (part.instance != instance.name || part.result != Result::kRunning) continue;
      one["order"] = order.order.id;
      one["doing"] = fleet_.Doing(order, part);
      one["doing_for_ms"] = (now - part.step_began).count();
    }
  }
  return one;
}

json::object Agent::Describe(const OrderState& state, bool whole) const {
  const Time now = Now();
  const Order& order = state.order;
  std::map<std::string, std::int64_t> counts;
  for (const Part& part : state.parts) ++counts[std::string(Name(part.result))];
  json::object sums;
  for (const auto& [name, count] : counts) sums[name] = count;
  json::object one{{"id", order.id},
                   {"verb", Name(order.verb)},
                   {"who", order.who},
                   {"generation", state.generation},
                   {"accepted_unix_ms", state.accepted_unix_ms},
                   {"age_ms", (now - state.accepted).count()},
                   {"ended", state.ended},
                   {"halted", state.halted},
                   {"superseded_by", state.superseded_by},
                   {"results", std::move(sums)}};
  if (!whole) return one;
  json::array parts;
  for (const Part& part : state.parts) {
    json::object line{{"instance", part.instance}, {"result", Name(part.result)}};
    if (Final(part.result)) {
      line["text"] = part.text;
      line["took_ms"] = part.began == Time(0) ? 0 : (part.ended - part.began).count();
    } else {
      line["text"] = fleet_.Doing(state, part);
      line["took_ms"] = part.result == Result::kRunning ? (now - part.began).count() : 0;
      line["doing_for_ms"] = part.result == Result::kRunning ? (now - part.step_began).count() : 0;
    }
    parts.push_back(std::move(line));
  }
  one["instances"] = std::move(parts);
  return one;
}

json::object Agent::Status() const {
  json::array instances, open;
  for (const auto& [name, instance] : fleet_.instances()) instances.push_back(Describe(instance));
  for (const OrderState& order : fleet_.orders()) {
    if (!order.ended) open.push_back(Describe(order, false));
  }
  return {{"agent", settings_.name},
          {"version", BADGERBRIDGE_VERSION},
          {"pid", getpid()},
          {"uptime_ms", (Now() - started_).count()},
          {"generation", fleet_.generation()},
          {"disk", unsaved_      ? store_.error()
                   : audit_.ok() ? "ok"
                                 : "the audit log cannot be written"},
          {"instances", std::move(instances)},
          {"open_orders", std::move(open)}};
}

asio::awaitable<http_api::Response> Agent::Handle(http_api::Request request, http_api::Peer peer) {
  const bool read = request.method == "GET", write = request.method == "POST";
  const bool diff = request.path == "/v1/diff";
  const http_api::Role needed = read || diff                  ? http_api::Role::kReader
                                : request.path == "/v1/apply" ? http_api::Role::kAdmin
                                                              : http_api::Role::kOperator;
  if (peer.role < needed) {
    if (write && !diff) Audit(peer.who, "not allowed", {{"path", request.path}});
    co_return http_api::Error(403, peer.who + " has the role " + std::string(http_api::Name(peer.role)) +
                                       "; this takes " + std::string(http_api::Name(needed)));
  }
  const auto below = [&](std::string_view folder) {
    return request.path.rfind(folder, 0) == 0 ? request.path.substr(folder.size()) : std::string();
  };
  if (read && request.path == "/v1/status") {
    co_await Refresh();
    co_return http_api::Response{200, Status()};
  }
  if (read && request.path == "/v1/orders") {
    json::array orders;
    for (const OrderState& order : fleet_.orders()) orders.push_back(Describe(order, false));
    co_return http_api::Response{
        200, json::object{{"generation", fleet_.generation()}, {"orders", std::move(orders)}}};
  }
  if (read && !below("/v1/orders/").empty()) {
    http_api::Response response = co_await GetOrder(below("/v1/orders/"), request);
    co_return response;
  }
  if (const std::string rest = below("/v1/instances/"); !rest.empty()) {
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash),
                      what = slash == std::string::npos ? "" : rest.substr(slash);
    if (read && what.empty()) {
      http_api::Response response = co_await GetInstance(name);
      co_return response;
    }
    if ((read && what == "/members") || (write && what == "/members/release")) {
      http_api::Response response = co_await Pass(name, "/v1" + what, peer, write);
      co_return response;
    }
  }
  if (read && !below("/v1/logs/").empty()) co_return GetLog(below("/v1/logs/"), request);
  if (write && request.path == "/v1/orders") co_return PostOrder(request, peer);
  if (write && (request.path == "/v1/apply" || diff)) co_return PostFleet(request, peer, !diff);
  co_return http_api::Error(404, "no such call; docs/operators/agent.md lists them");
}

asio::awaitable<http_api::Response> Agent::GetInstance(std::string name) {
  const auto found = fleet_.instances().find(name);
  if (found == fleet_.instances().end()) co_return http_api::Error(404, "there is no instance " + name);
  json::object one = Describe(found->second);
  one["definition"] = json::parse(found->second.definition);
  const auto seen = seen_.find(name);
  if (seen != seen_.end()) one["status"] = seen->second.status;
  if (found->second.pid != 0) {
    const std::string socket = DefinitionOf(found->second.definition).control_socket;
    const http_api::Reply reply =
        co_await http_api::CallUnix(socket, "GET", "/v1/converters", "", kCallTimeout);
    if (reply.ok() && reply.body.is_object() && reply.body.get_object().contains("converters")) {
      one["converters"] = reply.body.get_object().at("converters");
    } else {
      one["converters_error"] = reply.Why();
    }
  }
  co_return http_api::Response{200, std::move(one)};
}

// On to the instance's own control API, and its answer back. What changes something is in the audit log
// first.
asio::awaitable<http_api::Response> Agent::Pass(std::string name, std::string path, http_api::Peer peer,
                                                bool write) {
  const auto found = fleet_.instances().find(name);
  if (found == fleet_.instances().end()) co_return http_api::Error(404, "there is no instance " + name);
  if (found->second.pid == 0) co_return http_api::Error(409, "the instance " + name + " does not run");
  if (write && !Audit(peer.who, "asked", {{"instance", name}, {"path", path}}))
    co_return http_api::Error(507, "the agent cannot write its audit log, and asks nothing without it");
  const std::string socket = DefinitionOf(found->second.definition).control_socket;
  const http_api::Reply reply =
      co_await http_api::CallUnix(socket, write ? "POST" : "GET", path, write ? "{}" : "", kCallTimeout);
  if (write) Audit(peer.who, "answered", {{"instance", name}, {"path", path}, {"status", reply.status}});
  if (reply.status == 0) co_return http_api::Error(504, "the instance does not answer: " + reply.Why());
  co_return http_api::Response{reply.status, reply.body};
}

// With wait_ms, answers once something has changed since `seen`, or the order has ended.
asio::awaitable<http_api::Response> Agent::GetOrder(std::string id, http_api::Request request) {
  const auto wait = milliseconds(http_api::QueryNumber(request, "wait_ms", 0, kMostWait.count()));
  const auto due = std::chrono::steady_clock::now() + wait;
  for (;;) {
    const OrderState* order = fleet_.FindOrder(id);
    if (!order) co_return http_api::Error(404, "there is no order " + id + ", or it ended long ago");
    const auto left = std::chrono::duration_cast<milliseconds>(due - std::chrono::steady_clock::now());
    if (order->ended || left <= milliseconds(0)) co_return http_api::Response{200, Describe(*order, true)};
    co_await WaitForChange(left);
  }
}

http_api::Response Agent::GetLog(const std::string& name, const http_api::Request& request) const {
  if (!fleet_.instances().count(name)) return http_api::Error(404, "there is no instance " + name);
  const auto most = static_cast<std::size_t>(http_api::QueryNumber(request, "lines", 50, 10000));
  std::string text;
  const std::string path = PathsOf(name).log;
  for (const std::string& part : {path + ".1", path}) {
    std::ifstream file(part, std::ios::binary | std::ios::ate);
    if (!file) continue;
    const std::streamoff size = file.tellg();
    const std::streamoff from =
        std::max<std::streamoff>(0, size - static_cast<std::streamoff>(kMostLogBytes));
    file.seekg(from);
    std::string piece(static_cast<std::size_t>(size - from), '\0');
    file.read(piece.data(), static_cast<std::streamsize>(piece.size()));
    piece.resize(static_cast<std::size_t>(file.gcount()));
    text += piece;
  }
  std::vector<std::string> lines;
  for (std::size_t end = text.size(); end > 0 && lines.size() < most;) {
    if (text[end - 1] == '\n') --end;
    const std::size_t before = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
    const std::size_t begin = before == std::string::npos ? 0 : before + 1;
    std::string line = text.substr(begin, end - begin);
    for (char& c : line) {  // what is no UTF-8 is no JSON
      if (static_cast<unsigned char>(c) < ' ' || static_cast<unsigned char>(c) > '~') c = '?';
    }
    lines.push_back(std::move(line));
    end = begin;
  }
  json::array out;
  for (auto at = lines.rbegin(); at != lines.rend(); ++at) out.emplace_back(*at);
  return {200, json::object{{"instance", name}, {"lines", std::move(out)}}};
}

// Accepted only once it is in the audit log and on disk; else nothing of it has happened.
http_api::Response Agent::Take(const Order& order, bool dry_run) {
  Verdict verdict = fleet_.Judge(order);
  json::object asked{{"order", order.id},
                     {"verb", Name(order.verb)},
                     {"against", order.against},
                     {"supersede", order.supersede},
                     {"verdict", verdict.kind == Verdict::Kind::kAccepted ? "accepted" : verdict.text}};
  json::array names;
  for (const std::string& name : order.instances) names.emplace_back(name);
  asked["instances"] = names;
  const auto answer = [&](unsigned status) {
    json::object body{{"generation", fleet_.generation()}};
    if (status >= 400) {
      body["error"] = verdict.text;
      body["order"] = verdict.order;
      body["kind"] = verdict.kind == Verdict::Kind::kStale ? "stale" : "conflict";
    } else if (dry_run) {
      body["dry_run"] = true;
      body["instances"] = names;
    } else if (const OrderState* state = fleet_.FindOrder(order.id)) {
      body = Describe(*state, true);
    }
    return http_api::Response{status, std::move(body)};
  };
  if (dry_run || verdict.kind == Verdict::Kind::kKnown)
    return answer(dry_run && verdict.kind == Verdict::Kind::kAccepted ? 200 : StatusOf(verdict.kind));
  if (unsaved_) return http_api::Error(507, "the agent cannot store orders: " + store_.error());
  if (!Audit(order.who, "order", std::move(asked)))
    return http_api::Error(507, "the agent cannot write its audit log, and takes no order without it");
  if (verdict.kind != Verdict::Kind::kAccepted) return answer(StatusOf(verdict.kind));

  const Fleet before = fleet_;
  std::vector<Action> actions;
  fleet_.Submit(Now(), UnixMs(), order, &actions);
  if (!store_.Append(fleet_.TakeChanges())) {
    fleet_ = before;
    Audit("agent", "not taken after all", {{"order", order.id}, {"why", store_.error()}});
    return http_api::Error(507, "the agent cannot store the order: " + store_.error());
  }
  handling_ = true;
  Perform(actions);
  handling_ = false;
  http_api::Response response = answer(202);
  asio::post(io_, [this, alive = alive_] {
    if (*alive) Raise(Tick{});
  });
  return response;
}

http_api::Response Agent::PostOrder(const http_api::Request& request, const http_api::Peer& peer) {
  try {
    std::string why;
    const auto body = http_api::ReadObject(request, &why);
    if (!body) return http_api::Error(400, why);
    Members members(*body);
    Order order = CommonOrder(members, peer);
    const auto verb = ParseVerb(members.Text("verb").value_or(""));
    if (!verb || *verb == Verb::kApply)
      return http_api::Error(400, "verb is none of start, stop, drain, undrain, reload, restart");
    order.verb = *verb;
    order.instances = members.Texts("instances");
    const bool dry_run = members.Flag("dry_run");
    members.Finish();
    return Take(order, dry_run);
  } catch (const std::exception& bad) {
    return http_api::Error(400, bad.what());
  }
}

http_api::Response Agent::PostFleet(const http_api::Request& request, const http_api::Peer& peer,
                                    bool apply) {
  try {
    std::string why;
    const auto body = http_api::ReadObject(request, &why);
    if (!body) return http_api::Error(400, why);
    Members members(*body);
    Order order = CommonOrder(members, peer);
    order.verb = Verb::kApply;
    const std::string text = members.Text("fleet").value_or("");
    const std::string name = members.Text("file").value_or("fleet.toml");
    const bool dry_run = members.Flag("dry_run");
    members.Finish();
    operator_config::Problems problems;
    const FleetFile fleet = ParseFleet(text, name, problems);
    if (!problems.empty()) return http_api::Error(400, operator_config::Lines(problems));
    if (fleet.agent.name != settings_.name)
      return http_api::Error(400,
                             "the file is for agent " + fleet.agent.name + ", and this is " + settings_.name);
    std::map<std::string, std::string> before, after;
    for (const auto& [instance, known] : fleet_.instances()) before[instance] = known.definition;
    for (const Definition& one : fleet.instances) after[one.name] = ToText(one);
    json::array changes;
    for (const Change& change : Diff(before, after)) {
      constexpr std::string_view kKinds[] = {"add", "change", "remove"};
      changes.push_back(json::object{{"instance", change.instance},
                                     {"kind", kKinds[static_cast<int>(change.kind)]},
                                     {"text", change.text}});
      order.instances.push_back(change.instance);
      order.definitions[change.instance] =
          change.kind == Change::Kind::kRemove ? std::string() : after[change.instance];
    }
    if (!apply || changes.empty())
      return {200, json::object{{"generation", fleet_.generation()}, {"changes", std::move(changes)}}};
    http_api::Response response = Take(order, dry_run);
    if (json::object* object = response.body.if_object()) (*object)["changes"] = std::move(changes);
    return response;
  } catch (const std::exception& bad) {
    return http_api::Error(400, bad.what());
  }
}

}  // namespace badgerbridge::agent
