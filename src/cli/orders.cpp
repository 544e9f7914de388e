// SPDX-License-Identifier: Apache-2.0
//
// Orders: given, awaited and reported; apply and diff.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <ostream>
#include <random>
#include <thread>

#include "cli/commands.h"
#include "cli/fields.h"
#include "cli/render.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTryAgain{200};
constexpr milliseconds kLongPoll{1000};

std::string DrawId() {
  std::random_device random;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", random(), random());
  return text;
}

}  // namespace

struct Commands::Submitted {
  AgentTarget agent;
  std::string id;
  json::object body;   // of the request
  json::object state;  // the newest that is known of it
  std::string error;
  int code = kAllDid;
  bool taken = false, ended = false, out_of_reach = false;
};

int Commands::Give(const std::string& verb, const Selection& selection, const OrderOptions& options) {
  if (selection.empty()) {
    err_ << "badgerbridge-ctl: say which instances: names, --label, --agent, --state or --all\n";
    return kUsage;
  }
  const View view = Look(selection);
  if (view.code != kAllDid && view.lines.empty()) return view.code;
  if (view.code == kUsage) return view.code;  // a misspelt name must not shrink the order silently
  std::vector<Submitted> orders;
  int code = view.code;
  for (const View::Agent& agent : view.agents) {
    json::array names;
    for (const View::Line& line : view.lines) {
      if (line.agent == agent.target.name) names.emplace_back(line.name);
    }
    if (names.empty()) continue;
    Submitted order;
    order.agent = agent.target;
    order.id = options.id.empty() ? DrawId() : options.id;
    const bool roll = verb == "roll";
    order.body = {{"id", order.id},
                  {"verb", roll ? "restart" : verb},
                  {"instances", std::move(names)},
                  {"against", options.against != 0 ? options.against : agent.generation},
                  {"at_most", roll ? std::max(1u, options.at_most) : options.at_most}};
    orders.push_back(std::move(order));
  }
  if (orders.empty()) {
    err_ << "badgerbridge-ctl: no instance fits the selection\n";
    return Worse(code, kUsage);
  }
  if (verb != "roll") return Worse(code, Carry(std::move(orders), options, "/v1/orders"));
  // One agent after another, and none once one has failed: never more at once than asked for.
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const int one = Carry({orders[i]}, options, "/v1/orders");
    code = Worse(code, one);
    if (one == kAllDid) continue;
    for (std::size_t j = i + 1; j < orders.size(); ++j) {
      err_ << "badgerbridge-ctl: " << orders[j].agent.name << ": not begun: the roll halted at "
           << orders[i].agent.name << '\n';
    }
    break;
  }
  return code;
}

// Submits all, and follows them until they have ended or the time is up. The same id again is the same order,
// so a submission whose answer was lost is repeated.
int Commands::Carry(std::vector<Submitted> orders, const OrderOptions& options, const std::string& path) {
  const unsigned turns = options.at_most > 0 ? 64 : 1;
  const auto due = Clock::now() + Timeout(options.deadline * turns + milliseconds(10000));
  const auto left = [&] { return std::chrono::duration_cast<milliseconds>(due - Clock::now()); };
  for (Submitted& order : orders) {
    order.body["deadline_ms"] = options.deadline.count();
    order.body["supersede"] = options.supersede;
    if (options.force_after) order.body["force_after_ms"] = options.force_after->count();
    if (!options.as.empty()) order.body["as"] = options.as;
    if (options.dry_run) order.body["dry_run"] = true;
  }
  std::vector<http_api::Reply> replies(orders.size());
  for (std::size_t i = 0; i < orders.size(); ++i) {
    boost::asio::co_spawn(
        io_,
        http_api::Call(orders[i].agent.target, "POST", path, json::serialize(orders[i].body),
                       std::min(kUsualTimeout, std::max(left(), milliseconds(1)))),
        [&replies, i](std::exception_ptr, http_api::Reply answer) { replies[i] = std::move(answer); });
  }
  io_.restart();
  io_.run();
  for (std::size_t i = 0; i < orders.size(); ++i) {
    Submitted& order = orders[i];
    http_api::Reply& reply = replies[i];
    while (reply.status == 0 && left() > kTryAgain) {
      std::this_thread::sleep_for(kTryAgain);
      reply = One(order.agent, "POST", path, json::serialize(order.body),
                  std::min(kUsualTimeout, std::max(left(), milliseconds(1))));
      if (reply.status == 0 && Clock::now() + kUsualTimeout > due) break;
    }
    if (reply.ok() && Body(reply)) {
      order.taken = true;
      order.state = *Body(reply);
      order.ended = options.dry_run || Flag(order.state, "ended") || !order.state.contains("id");
    } else {
      order.code = Complain(order.agent.name, reply);
      order.error = reply.ErrorMessage();
      order.ended = true;
    }
  }
  while (!options.no_wait && left() > milliseconds(0)) {
    std::vector<AgentTarget> asked;
    std::vector<std::size_t> which;
    std::vector<http_api::Reply> answers;
    for (std::size_t i = 0; i < orders.size(); ++i) {
      if (!orders[i].ended) which.push_back(i);
    }
    if (which.empty()) break;
    answers.resize(which.size());
    for (std::size_t k = 0; k < which.size(); ++k) {
      const Submitted& order = orders[which[k]];
      const auto wait = std::max(milliseconds(1), std::min(kLongPoll, left()));
      boost::asio::co_spawn(
          io_,
          http_api::Call(order.agent.target, "GET",
                         "/v1/orders/" + order.id + "?wait_ms=" + std::to_string(wait.count()), "",
                         wait + kUsualTimeout),
          [&answers, k](std::exception_ptr, http_api::Reply answer) { answers[k] = std::move(answer); });
    }
    io_.restart();
    io_.run();
    bool unreachable = false;
    for (std::size_t k = 0; k < which.size(); ++k) {
      Submitted& order = orders[which[k]];
      order.out_of_reach = answers[k].status == 0;
      unreachable |= order.out_of_reach;
      if (answers[k].ok() && Body(answers[k])) {
        order.state = *Body(answers[k]);
        order.ended = Flag(order.state, "ended");
      } else if (answers[k].status != 0) {
        order.code = Complain(order.agent.name, answers[k]);
        order.ended = true;
      }
    }
    if (unreachable) std::this_thread::sleep_for(kTryAgain);
    if (settings_.progress) {
      std::size_t done = 0, all = 0;
      for (const Submitted& order : orders) {
        for (const json::value& part : Array(order.state, "instances")) {
          ++all;
          const std::string result = part.is_object() ? Text(part.get_object(), "result") : "";
          done += result != "running" && result != "waiting";
        }
      }
      err_ << "\r\x1b[K" << done << " of " << all << " instances" << std::flush;
    }
  }
  if (settings_.progress) err_ << "\r\x1b[K" << std::flush;
  return Report(orders, options);
}

int Commands::Report(const std::vector<Submitted>& orders, const OrderOptions& options) {
  int code = kAllDid;
  json::array all;
  std::vector<std::string> header{"INSTANCE", "ASKED", "RESULT", "WHAT HAPPENED", "TOOK"};
  const bool several = settings_.agents.size() > 1;
  if (several) header.insert(header.begin(), "AGENT");
  Table table(header, settings_.color);
  for (const Submitted& order : orders) {
    code = Worse(code, order.code);
    json::object one{{"agent", order.agent.name}, {"id", order.id}, {"taken", order.taken}};
    if (!order.error.empty()) one["error"] = order.error;
    if (!order.state.empty()) one["order"] = order.state;
    all.push_back(std::move(one));
    if (!order.taken) continue;
    const std::string asked = Text(order.body, "verb").empty() ? "apply" : Text(order.body, "verb");
    if (options.dry_run) {
      for (const json::value& name : Array(order.state, "instances")) {
        std::vector<std::string> row{std::string(name.is_string() ? std::string(name.get_string()) : ""),
                                     asked, "dry run", "would be asked", "-"};
        if (several) row.insert(row.begin(), order.agent.name);
        table.Add(std::move(row));
      }
      continue;
    }
    for (const json::value& item : Array(order.state, "instances")) {
      if (!item.is_object()) continue;
      const json::object& part = item.get_object();
      const std::string result = Text(part, "result");
      std::string text = Text(part, "text");
      if (result == "running") text = "still " + text + " for " + Age(Whole(part, "doing_for_ms"));
      if (!options.no_wait && result != "done") code = Worse(code, kSomeDidNot);
      std::vector<std::string> row{Text(part, "instance"), asked, result, text, Age(Whole(part, "took_ms"))};
      if (several) row.insert(row.begin(), order.agent.name);
      table.Add(std::move(row));
    }
    if (!order.ended) {
      if (order.out_of_reach) {
        err_ << "badgerbridge-ctl: " << order.agent.name << " is out of reach; order " << order.id
             << " goes on there once it is back (badgerbridge-ctl orders " << order.id << ")\n";
        code = Worse(code, kOutOfReach);
      } else {
        err_ << "badgerbridge-ctl: order " << order.id << " goes on at " << order.agent.name
             << " (badgerbridge-ctl orders " << order.id << ")\n";
        if (!options.no_wait) code = Worse(code, kSomeDidNot);
      }
    }
  }
  if (settings_.json) {
    out_ << json::serialize(all) << '\n';
  } else if (!table.empty()) {
    out_ << table.Text();
  }
  return code;
}

namespace {

// Finds the agent that the fleet file is for. An exit code, or nothing.
std::optional<int> ReadFleet(const std::string& path, const std::vector<AgentTarget>& agents,
                             std::ostream& err, std::string* text, AgentTarget* agent) {
  operator_config::Problems problems;
  const auto read = operator_config::ReadFile(path, 1 << 20);
  if (!read) problems.push_back(read.error());
  if (read) {
    *text = *read;
    const std::string name = AgentNameIn(*text, path, problems);
    const auto found =
        std::find_if(agents.begin(), agents.end(), [&](const AgentTarget& a) { return a.name == name; });
    if (found != agents.end()) {
      *agent = *found;
    } else if (agents.size() == 1 && agents.front().name.empty()) {
      *agent = agents.front();
    } else if (problems.empty()) {
      problems.push_back({path, 0, 0, "is for agent \"" + name + "\", which the context does not name"});
    }
  }
  if (problems.empty()) return std::nullopt;
  err << operator_config::FormatProblems(problems);
  return kUsage;
}

}  // namespace

int Commands::Diff(const std::string& path) {
  std::string text;
  AgentTarget agent;
  if (const auto code = ReadFleet(path, settings_.agents, err_, &text, &agent)) return *code;
  const http_api::Reply reply =
      One(agent, "POST", "/v1/diff", json::serialize(json::object{{"fleet", text}, {"file", path}}),
          Timeout(kUsualTimeout));
  if (!reply.ok() || !Body(reply)) return Complain(agent.name, reply);
  if (settings_.json) {
    out_ << json::serialize(reply.body) << '\n';
    return kAllDid;
  }
  const json::array& changes = Array(*Body(reply), "changes");
  Table table({"INSTANCE", "CHANGE", "WHAT"}, settings_.color);
  for (const json::value& change : changes) {
    if (change.is_object())
      table.Add({Text(change.get_object(), "instance"), Text(change.get_object(), "kind"),
                 Text(change.get_object(), "text")});
  }
  out_ << (changes.empty() ? "nothing to change\n" : table.Text());
  return kAllDid;
}

int Commands::Apply(const std::string& path, const OrderOptions& options) {
  Submitted order;
  std::string text;
  if (const auto code = ReadFleet(path, settings_.agents, err_, &text, &order.agent)) return *code;
  order.id = options.id.empty() ? DrawId() : options.id;
  order.body = {{"id", order.id},
                {"fleet", text},
                {"file", path},
                {"against", options.against},
                {"at_most", options.at_most}};
  return Carry({order}, options, "/v1/apply");
}

int Commands::Orders(const std::string& id) {
  int code = kAllDid;
  const auto replies =
      Each(settings_.agents, id.empty() ? "/v1/orders" : "/v1/orders/" + id, Timeout(kUsualTimeout));
  json::object all;
  std::vector<std::string> header =
      id.empty() ? std::vector<std::string>{"ORDER", "VERB", "WHO", "GENERATION", "AGE", "STATE", "RESULTS"}
                 : std::vector<std::string>{"INSTANCE", "RESULT", "WHAT HAPPENED", "TOOK"};
  header.insert(header.begin(), "AGENT");
  Table table(header, settings_.color);
  bool found = false;
  std::string head;
  for (std::size_t i = 0; i < replies.size(); ++i) {
    const std::string& agent = settings_.agents[i].name;
    if (!replies[i].ok() || !Body(replies[i])) {
      if (id.empty() || replies[i].status != 404) code = Worse(code, Complain(agent, replies[i]));
      continue;
    }
    found = true;
    const json::object& body = *Body(replies[i]);
    all[agent] = body;
    if (!id.empty()) {
      head += "order " + Text(body, "id") + ": " + Text(body, "verb") + " by " + Text(body, "who") +
              ", generation " + std::to_string(Whole(body, "generation")) + ", " +
              Age(Whole(body, "age_ms")) + " ago" + (Flag(body, "ended") ? ", ended" : ", open") + "\n";
      for (const json::value& item : Array(body, "instances")) {
        if (!item.is_object()) continue;
        const json::object& part = item.get_object();
        table.Add({agent, Text(part, "instance"), Text(part, "result"), Text(part, "text"),
                   Age(Whole(part, "took_ms"))});
      }
      continue;
    }
    for (const json::value& item : Array(body, "orders")) {
      if (!item.is_object()) continue;
      const json::object& order = item.get_object();
      std::string results;
      for (const auto& [name, count] : Object(order, "results"))
        results += (results.empty() ? "" : ", ") + json::serialize(count) + " " + std::string(name);
      table.Add({agent, Text(order, "id"), Text(order, "verb"), Text(order, "who"),
                 std::to_string(Whole(order, "generation")), Age(Whole(order, "age_ms")),
                 !Text(order, "superseded_by").empty() ? "superseded by " + Text(order, "superseded_by")
                 : Flag(order, "halted")               ? "halted"
                 : Flag(order, "ended")                ? "ended"
                                                       : "open",
                 results});
    }
  }
  if (!id.empty() && !found && code == kAllDid) {
    err_ << "badgerbridge-ctl: no agent knows order " << id << '\n';
    return kUsage;
  }
  if (settings_.json) {
    out_ << json::serialize(all) << '\n';
  } else {
    out_ << head << table.Text();
  }
  return code;
}

}  // namespace badgerbridge::cli
