// SPDX-License-Identifier: Apache-2.0
#include "cli/agent_session.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace badgerbridge::cli {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflictStatus = 409;

ExitCode ExitCodeOfStatus(unsigned http_status) {
  switch (http_status) {
    case 0:
      return ExitCode::kUnreachable;
    case kForbidden:
      return ExitCode::kNotAllowed;
    case kConflictStatus:
      return ExitCode::kConflict;
    case kBadRequest:
    case kNotFound:
      return ExitCode::kUsage;
    default:
      return ExitCode::kPartialFailure;
  }
}

std::vector<std::string> WithAgent(bool shows_agents, const std::string& agent,
                                   std::vector<std::string> cells) {
  if (shows_agents) cells.insert(cells.begin(), agent);
  return cells;
}

}  // namespace

AgentSession::AgentSession(AgentSessionSettings settings, std::ostream& out, std::ostream& err)
    : settings_(std::move(settings)), out_(out), err_(err), io_(1) {}

const AgentTarget& AgentSession::FindAgent(const std::string& name) const {
  return *std::find_if(settings_.agents.begin(), settings_.agents.end(),
                       [&](const AgentTarget& agent) { return agent.name == name; });
}

milliseconds AgentSession::TimeoutOr(milliseconds default_timeout) const {
  return settings_.timeout > milliseconds(0) ? settings_.timeout : default_timeout;
}

http_api::Reply AgentSession::Call(AgentCall call) {
  std::vector<AgentCall> calls;
  calls.push_back(std::move(call));
  return std::move(CallAll(std::move(calls)).front());
}

http_api::Reply AgentSession::Get(const AgentTarget& agent, std::string path) {
  return Call({agent.target, "GET", std::move(path), "", TimeoutOr(kDefaultCallTimeout)});
}

http_api::Reply AgentSession::Post(const AgentTarget& agent, std::string path, std::string body) {
  return Call({agent.target, "POST", std::move(path), std::move(body), TimeoutOr(kDefaultCallTimeout)});
}

std::vector<http_api::Reply> AgentSession::CallAll(std::vector<AgentCall> calls) {
  std::vector<http_api::Reply> replies(calls.size());
  for (std::size_t i = 0; i < calls.size(); ++i) {
    AgentCall& call = calls[i];
    boost::asio::co_spawn(
        io_,
        http_api::Call(std::move(call.agent), std::move(call.method), std::move(call.path),
                       std::move(call.body), call.timeout),
        [&replies, i](std::exception_ptr failure, http_api::Reply reply) {
          replies[i] = std::move(reply);
          if (failure)
            replies[i] = {0, {}, http_api::CallError{http_api::CallErrorCode::kCallFailed, "", {}}};
        });
  }
  io_.restart();
  io_.run();
  return replies;
}

ExitCode AgentSession::ReportFailedReply(const std::string& agent, const http_api::Reply& reply) {
  return Report(RequestFailed{agent, reply.ErrorMessage(), ExitCodeOfStatus(reply.status)});
}

InstanceTable::InstanceTable(const AgentSession& session, std::vector<std::string> header)
    : shows_agents_(session.has_several_agents()),
      table_(WithAgent(shows_agents_, "AGENT", std::move(header)), session.output().color) {}

void InstanceTable::Add(const std::string& agent, std::vector<std::string> row) {
  table_.Add(WithAgent(shows_agents_, agent, std::move(row)));
}

}  // namespace badgerbridge::cli
