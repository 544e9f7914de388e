// SPDX-License-Identifier: Apache-2.0
#include "ctl/commands.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <ostream>
#include <random>
#include <set>
#include <thread>

#include "ctl/fields.h"
#include "ctl/render.h"
#include "operator/table_reader.h"

namespace badgerbridge::ctl {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kUsualTimeout{5000};
constexpr milliseconds kTryAgain{200};
constexpr milliseconds kLongPoll{1000};

std::string DrawId() {
  std::random_device random;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", random(), random());
  return text;
}

}  // namespace

int Worse(int a, int b) { return std::max(a, b); }

struct Commands::Submitted {
  AgentTarget agent;
  std::string id;
  json::object body;   // of the request
  json::object state;  // the newest that is known of it
  std::string error;
  int code = kAllDid;
  bool taken = false, ended = false, out_of_reach = false;
};

Commands::Commands(Settings settings, std::ostream& out, std::ostream& err)
    : settings_(std::move(settings)), out_(out), err_(err), io_(1) {}

milliseconds Commands::Timeout(milliseconds usual) const {
  return settings_.timeout > milliseconds(0) ? settings_.timeout : usual;
}

api::Reply Commands::One(const AgentTarget& agent, std::string method, std::string target, std::string body,
                         milliseconds timeout) {
  api::Reply reply;
  boost::asio::co_spawn(
      io_, api::Call(agent.target, std::move(method), std::move(target), std::move(body), timeout),
      [&](std::exception_ptr failure, api::Reply answer) {
        reply = std::move(answer);
        if (failure) reply = {0, {}, "the call could not be made"};
      });
  io_.restart();
  io_.run();
  return reply;
}

std::vector<api::Reply> Commands::Each(const std::vector<AgentTarget>& agents, const std::string& target,
                                       milliseconds timeout) {
  std::vector<api::Reply> replies(agents.size());
  for (std::size_t i = 0; i < agents.size(); ++i) {
    boost::asio::co_spawn(io_, api::Call(agents[i].target, "GET", target, "", timeout),
                          [&replies, i](std::exception_ptr failure, api::Reply answer) {
                            replies[i] = std::move(answer);
                            if (failure) replies[i] = {0, {}, "the call could not be made"};
                          });
  }
  io_.restart();
  io_.run();
  return replies;
}

int Commands::Complain(const std::string& agent, const api::Reply& reply) {
  err_ << "badgerctl: " << agent << ": " << reply.Why() << '\n';
  if (reply.status == 0) return kOutOfReach;
  if (reply.status == 403) return kNotAllowed;
  if (reply.status == 409) return kConflict;
  return reply.status == 400 || reply.status == 404 ? kUsage : kSomeDidNot;
}

Commands::View Commands::Look(const Selection& selection) {
  View view;
  std::vector<AgentTarget> asked;
  for (const AgentTarget& agent : settings_.agents) {
    if (selection.agents.empty() ||
        std::find(selection.agents.begin(), selection.agents.end(), agent.name) != selection.agents.end())
      asked.push_back(agent);
  }
  for (const std::string& name : selection.agents) {
    if (std::none_of(asked.begin(), asked.end(), [&](const auto& agent) { return agent.name == name; })) {
      err_ << "badgerctl: the context names no agent " << name << '\n';
      view.code = kUsage;
    }
  }
  const auto replies = Each(asked, "/v1/status", Timeout(kUsualTimeout));
  std::set<std::string> met;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    View::Agent agent{asked[i], {}, 0};
    if (!replies[i].ok() || !Body(replies[i])) {
      view.code = Worse(view.code, Complain(asked[i].name, replies[i]));
    } else {
      agent.status = *Body(replies[i]);
      agent.generation = static_cast<std::uint64_t>(Whole(agent.status, "generation"));
      for (const json::value& item : Array(agent.status, "instances")) {
        if (!item.is_object()) continue;
        const json::object& instance = item.get_object();
        const std::string name = Text(instance, "name"), whole = asked[i].name + "/" + name;
        const auto named = [&](const std::string& wanted) { return wanted == name || wanted == whole; };
        if (!selection.names.empty() && std::none_of(selection.names.begin(), selection.names.end(), named))
          continue;
        for (const std::string& wanted : selection.names) {
          if (named(wanted)) met.insert(wanted);
        }
        if (!selection.states.empty() && std::find(selection.states.begin(), selection.states.end(),
                                                   Text(instance, "state")) == selection.states.end())
          continue;
        const bool labeled =
            std::all_of(selection.labels.begin(), selection.labels.end(), [&](const auto& label) {
              const std::size_t equals = label.find('=');
              return equals != std::string::npos &&
                     Text(Object(instance, "labels"), label.substr(0, equals)) == label.substr(equals + 1) &&
                     Object(instance, "labels").contains(label.substr(0, equals));
            });
        if (labeled) view.lines.push_back({asked[i].name, name, instance});
      }
    }
    view.agents.push_back(std::move(agent));
  }
  for (const std::string& wanted : selection.names) {
    if (met.count(wanted) || view.code == kOutOfReach) continue;
    err_ << "badgerctl: there is no instance " << wanted << '\n';
    view.code = Worse(view.code, kUsage);
  }
  return view;
}

const AgentTarget& Commands::AgentOf(const View::Line& line) const {
  return *std::find_if(settings_.agents.begin(), settings_.agents.end(),
                       [&](const AgentTarget& agent) { return agent.name == line.agent; });
}

std::string Commands::TableOf(const View& view) const {
  const bool several = settings_.agents.size() > 1;
  std::vector<std::string> header{"INSTANCE", "STATE", "UP",         "TAKEN",    "SERVED", "REFUSED",
                                  "FAILED",   "OPEN",  "CONVERTERS", "LIST AGE", "NOTE"};
  if (several) header.insert(header.begin(), "AGENT");
  Table table(header, settings_.color);
  for (const View::Line& line : view.lines) {
    const json::object& one = line.instance;
    const json::object& requests = Object(one, "requests");
    const json::object& list = Object(one, "list");
    const bool seen = one.contains("requests");
    const auto count = [&](const char* key) { return seen ? std::to_string(Whole(requests, key)) : "-"; };
    std::string note;
    const auto add = [&](const std::string& text) { note += (note.empty() ? "" : "; ") + text; };
    if (!Text(one, "doing").empty())
      add(Text(one, "doing") + " for " + Age(Whole(one, "doing_for_ms")) + " (order " + Text(one, "order") +
          ")");
    if (!Text(one, "gave_up").empty()) add(Text(one, "gave_up"));
    if (!Text(one, "silent").empty() && Text(one, "state") == "silent")
      add("not answering for " + Age(Whole(one, "silent_for_ms")) + ": " + Text(one, "silent"));
    if (Text(one, "state") == "backoff") add("it " + Text(one, "last_end"));
    std::vector<std::string> row{
        line.name,
        Text(one, "state"),
        one.contains("uptime_ms") ? Age(Whole(one, "uptime_ms")) : "-",
        count("taken"),
        count("served"),
        count("refused"),
        count("failed"),
        count("open"),
        seen ? std::to_string(Whole(list, "converters")) : "-",
        list.contains("age_ms") && !list.at("age_ms").is_null() ? Age(Whole(list, "age_ms")) : "-",
        note};
    if (several) row.insert(row.begin(), line.agent);
    table.Add(std::move(row));
  }
  // No table where nobody answered; what was asked and why there is none stands on the error output.
  std::string text = table.empty() ? "" : table.Text();
  for (const View::Agent& agent : view.agents) {
    if (agent.status.empty()) continue;
    text += (several ? agent.target.name + ": " : std::string()) + "generation " +
            std::to_string(agent.generation) + ", " +
            std::to_string(Array(agent.status, "open_orders").size()) + " orders open";
    if (Text(agent.status, "disk") != "ok") text += "; DISK: " + Text(agent.status, "disk");
    text += "\n";
  }
  return text;
}

int Commands::Status(const Selection& selection) {
  const View view = Look(selection);
  if (settings_.json) {
    json::object agents;
    for (const View::Agent& agent : view.agents) {
      json::object one = agent.status;
      json::array chosen;
      for (const View::Line& line : view.lines) {
        if (line.agent == agent.target.name) chosen.push_back(line.instance);
      }
      if (!one.empty()) one["instances"] = std::move(chosen);
      if (one.empty()) one["error"] = "out of reach";
      agents[agent.target.name] = std::move(one);
    }
    out_ << json::serialize(json::object{{"agents", std::move(agents)}}) << '\n';
  } else if (settings_.names) {
    for (const View::Line& line : view.lines)
      out_ << (settings_.agents.size() > 1 ? line.agent + "/" : "") << line.name << '\n';
  } else {
    out_ << TableOf(view);
  }
  return view.code;
}

int Commands::Watch(const Selection& selection, milliseconds every, int times) {
  int code = kAllDid;
  for (int i = 0; times == 0 || i < times; ++i) {
    if (i > 0) std::this_thread::sleep_for(every);
    const View view = Look(selection);
    code = view.code;
    out_ << (settings_.progress ? "\x1b[H\x1b[2J" : "") << TableOf(view) << std::flush;
    if (!out_) break;
  }
  return code;
}

int Commands::Get(const Selection& selection) {
  const View view = Look(selection);
  int code = view.code;
  json::array all;
  for (const View::Line& line : view.lines) {
    const api::Reply reply =
        One(AgentOf(line), "GET", "/v1/instances/" + line.name, "", Timeout(kUsualTimeout));
    if (!reply.ok() || !Body(reply)) {
      code = Worse(code, Complain(line.agent, reply));
      continue;
    }
    const json::object& one = *Body(reply);
    if (settings_.json) {
      all.push_back(one);
      continue;
    }
    out_ << line.agent << "/" << line.name << "  " << Text(one, "state") << ", pid " << Whole(one, "pid")
         << ", wanted " << Text(one, "wanted") << ", generation " << Whole(one, "generation") << '\n';
    for (const char* key : {"listen", "doing", "silent", "gave_up", "last_end"}) {
      if (!Text(one, key).empty()) out_ << "  " << key << ": " << Text(one, key) << '\n';
    }
    Table classes({"CLASS", "TAKEN", "SERVED", "REFUSED", "FAILED", "OPEN"}, settings_.color);
    for (const auto& [name, counts] : Object(Object(one, "status"), "classes")) {
      if (!counts.is_object()) continue;
      std::vector<std::string> row{std::string(name)};
      for (const char* key : {"taken", "served", "refused", "failed", "open"})
        row.push_back(std::to_string(Whole(counts.get_object(), key)));
      classes.Add(std::move(row));
    }
    if (!classes.empty()) out_ << classes.Text();
    Table converters({"CONVERTER", "ZONE", "STATUS", "HEALTH", "EJECTED FOR", "IN FLIGHT", "SLOWNESS", "WARM",
                      "COLD BUDGET"},
                     settings_.color);
    for (const json::value& item : Array(one, "converters")) {
      if (!item.is_object()) continue;
      const json::object& c = item.get_object();
      const auto number = [&](const char* key) {
        const json::value* value = c.if_contains(key);
        if (!value || !value->is_number()) return std::string("-");
        char text[32];
        std::snprintf(text, sizeof text, "%.10g", value->to_number<double>());
        return std::string(text);
      };
      std::string budget = "-";
      if (c.contains("cold_budget")) {
        const json::object& cold = Object(c, "cold_budget");
        budget =
            std::to_string(Whole(cold, "sent_ms")) + " of " + std::to_string(Whole(cold, "work_ms")) + " ms";
      }
      converters.Add({Text(c, "name"), Text(c, "zone"), Text(c, "status"), Text(c, "health"),
                      c.contains("ejected_for_ms") ? Age(Whole(c, "ejected_for_ms")) : "-",
                      number("in_flight"), number("slowness"), number("warm_share"), budget});
    }
    if (!converters.empty()) out_ << converters.Text();
    if (!Text(one, "converters_error").empty())
      out_ << "  converters: " << Text(one, "converters_error") << '\n';
  }
  if (settings_.json) out_ << json::serialize(all) << '\n';
  return code;
}

int Commands::Give(const std::string& verb, const Selection& selection, const OrderOptions& options) {
  if (selection.empty()) {
    err_ << "badgerctl: say which instances: names, --label, --agent, --state or --all\n";
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
    err_ << "badgerctl: no instance fits the selection\n";
    return Worse(code, kUsage);
  }
  if (verb != "roll") return Worse(code, Carry(std::move(orders), options, "/v1/orders"));
  // One agent after another, and none once one has failed: never more at once than asked for.
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const int one = Carry({orders[i]}, options, "/v1/orders");
    code = Worse(code, one);
    if (one == kAllDid) continue;
    for (std::size_t j = i + 1; j < orders.size(); ++j) {
      err_ << "badgerctl: " << orders[j].agent.name << ": not begun: the roll halted at "
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
  std::vector<api::Reply> replies(orders.size());
  for (std::size_t i = 0; i < orders.size(); ++i) {
    boost::asio::co_spawn(
        io_,
        api::Call(orders[i].agent.target, "POST", path, json::serialize(orders[i].body),
                  std::min(kUsualTimeout, std::max(left(), milliseconds(1)))),
        [&replies, i](std::exception_ptr, api::Reply answer) { replies[i] = std::move(answer); });
  }
  io_.restart();
  io_.run();
  for (std::size_t i = 0; i < orders.size(); ++i) {
    Submitted& order = orders[i];
    api::Reply& reply = replies[i];
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
      order.error = reply.Why();
      order.ended = true;
    }
  }
  while (!options.no_wait && left() > milliseconds(0)) {
    std::vector<AgentTarget> asked;
    std::vector<std::size_t> which;
    std::vector<api::Reply> answers;
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
          api::Call(order.agent.target, "GET",
                    "/v1/orders/" + order.id + "?wait_ms=" + std::to_string(wait.count()), "",
                    wait + kUsualTimeout),
          [&answers, k](std::exception_ptr, api::Reply answer) { answers[k] = std::move(answer); });
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
        err_ << "badgerctl: " << order.agent.name << " is out of reach; order " << order.id
             << " goes on there once it is back (badgerctl orders " << order.id << ")\n";
        code = Worse(code, kOutOfReach);
      } else {
        err_ << "badgerctl: order " << order.id << " goes on at " << order.agent.name << " (badgerctl orders "
             << order.id << ")\n";
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
  operator_file::Problems problems;
  const auto read = operator_file::ReadFile(path, 1 << 20, problems);
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
  err << operator_file::Lines(problems);
  return kUsage;
}

}  // namespace

int Commands::Diff(const std::string& path) {
  std::string text;
  AgentTarget agent;
  if (const auto code = ReadFleet(path, settings_.agents, err_, &text, &agent)) return *code;
  const api::Reply reply =
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
    err_ << "badgerctl: no agent knows order " << id << '\n';
    return kUsage;
  }
  if (settings_.json) {
    out_ << json::serialize(all) << '\n';
  } else {
    out_ << head << table.Text();
  }
  return code;
}

int Commands::Logs(const Selection& selection, int lines) {
  if (selection.empty()) {
    err_ << "badgerctl: say which instances: names, --label, --agent, --state or --all\n";
    return kUsage;
  }
  const View view = Look(selection);
  int code = view.code;
  json::array all;
  for (const View::Line& line : view.lines) {
    const api::Reply reply =
        One(AgentOf(line), "GET", "/v1/logs/" + line.name + "?lines=" + std::to_string(lines), "",
            Timeout(kUsualTimeout));
    if (!reply.ok() || !Body(reply)) {
      code = Worse(code, Complain(line.agent, reply));
      continue;
    }
    if (settings_.json) {
      all.push_back(*Body(reply));
      continue;
    }
    for (const json::value& text : Array(*Body(reply), "lines")) {
      if (view.lines.size() > 1) out_ << line.name << ": ";
      out_ << (text.is_string() ? std::string(text.get_string()) : "") << '\n';
    }
  }
  if (settings_.json) out_ << json::serialize(all) << '\n';
  return code;
}

// clang-format off
const char kBashCompletion[] =
    R"bash(# bash completion for badgerctl; source it, or put it where bash-completion looks
_badgerctl() {
  local cur="${COMP_WORDS[COMP_CWORD]}" command="" word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in
      status|get|start|stop|drain|undrain|reload|roll|apply|diff|orders|logs|watch|members|check|completion)
        command="$word"; break ;;
    esac
  done
  if [[ "$cur" == -* ]]; then
    COMPREPLY=($(compgen -W "--context --socket --output --timeout --help --label --agent --state --all --deadline
      --force-after --supersede --against --dry-run --no-wait --at-most --id --as --lines --every --count --operator
      --etcd --address --zone --kind --group --weight --since --ttl --drain-for" -- "$cur"))
    return
  fi
  case "$command" in
    "") COMPREPLY=($(compgen -W "status get start stop drain undrain reload roll apply diff orders logs watch members
          check completion" -- "$cur")) ;;
    apply|diff|check) COMPREPLY=($(compgen -f -- "$cur")) ;;
    completion) COMPREPLY=($(compgen -W "bash" -- "$cur")) ;;
    *) COMPREPLY=($(compgen -W "$(badgerctl status -o names --timeout 1s 2>/dev/null)" -- "$cur")) ;;
  esac
}
complete -F _badgerctl badgerctl
)bash";
// clang-format on

}  // namespace badgerbridge::ctl
