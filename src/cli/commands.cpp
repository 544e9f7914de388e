// SPDX-License-Identifier: Apache-2.0
#include "cli/commands.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <ostream>
#include <random>
#include <set>
#include <thread>

#include "cli/fields.h"
#include "cli/render.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

}  // namespace

int Worse(int a, int b) { return std::max(a, b); }

Commands::Commands(Settings settings, std::ostream& out, std::ostream& err)
    : settings_(std::move(settings)), out_(out), err_(err), io_(1) {}

milliseconds Commands::Timeout(milliseconds usual) const {
  return settings_.timeout > milliseconds(0) ? settings_.timeout : usual;
}

http_api::Reply Commands::One(const AgentTarget& agent, std::string method, std::string target,
                              std::string body, milliseconds timeout) {
  http_api::Reply reply;
  boost::asio::co_spawn(
      io_, http_api::Call(agent.target, std::move(method), std::move(target), std::move(body), timeout),
      [&](std::exception_ptr failure, http_api::Reply answer) {
        reply = std::move(answer);
        if (failure) reply = {0, {}, http_api::CallError{http_api::CallErrorCode::kCallFailed, "", {}}};
      });
  io_.restart();
  io_.run();
  return reply;
}

std::vector<http_api::Reply> Commands::Each(const std::vector<AgentTarget>& agents, const std::string& target,
                                            milliseconds timeout) {
  std::vector<http_api::Reply> replies(agents.size());
  for (std::size_t i = 0; i < agents.size(); ++i) {
    boost::asio::co_spawn(
        io_, http_api::Call(agents[i].target, "GET", target, "", timeout),
        [&replies, i](std::exception_ptr failure, http_api::Reply answer) {
          replies[i] = std::move(answer);
          if (failure)
            replies[i] = {0, {}, http_api::CallError{http_api::CallErrorCode::kCallFailed, "", {}}};
        });
  }
  io_.restart();
  io_.run();
  return replies;
}

int Commands::Complain(const std::string& agent, const http_api::Reply& reply) {
  err_ << "badgerbridge-ctl: " << agent << ": " << reply.ErrorMessage() << '\n';
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
      err_ << "badgerbridge-ctl: the context names no agent " << name << '\n';
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
    err_ << "badgerbridge-ctl: there is no instance " << wanted << '\n';
    view.code = Worse(view.code, kUsage);
  }
  return view;
}

const AgentTarget& Commands::AgentOf(const View::Line& line) const {
  return *std::find_if(settings_.agents.begin(), settings_.agents.end(),
                       [&](const AgentTarget& agent) { return agent.name == line.agent; });
}

int Commands::Logs(const Selection& selection, int lines) {
  if (selection.empty()) {
    err_ << "badgerbridge-ctl: say which instances: names, --label, --agent, --state or --all\n";
    return kUsage;
  }
  const View view = Look(selection);
  int code = view.code;
  json::array all;
  for (const View::Line& line : view.lines) {
    const http_api::Reply reply =
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

}  // namespace badgerbridge::cli
