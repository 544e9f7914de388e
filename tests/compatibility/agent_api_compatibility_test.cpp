// SPDX-License-Identifier: Apache-2.0
//
/// The agent's API and the lines of its audit log: paths, status codes, and the form of each answer and line.
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <csignal>
#include <map>
#include <sstream>

#include "compatibility/golden_file.h"
#include "compatibility/installation.h"

namespace badgerbridge::compatibility {
namespace {

namespace json = boost::json;

/// The form of the first audit line of each kind, by what it says happened.
std::string FormsOfAuditLines(const std::string& log) {
  std::map<std::string, std::string> forms;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const json::value entry = json::parse(line);
    forms.emplace(std::string(entry.at("what").as_string()), FormOf(entry));
  }
  std::string text;
  for (const auto& [what, form] : forms) text += what + "\n" + form;
  return text;
}

TEST(AgentApiCompatibility, EachCallHasTheStatusAndFormOfBefore) {
  Installation installation;
  installation.Start();
  std::string text;
  text += installation.AgentAnswer("GET", "/v1/status");
  text += installation.AgentAnswer("POST", "/v1/orders",
                                   R"({"id":"dry","verb":"drain","instances":["n1"],"dry_run":true})");
  text += installation.AgentAnswer(
      "POST", "/v1/orders",
      R"({"id":"first","verb":"drain","instances":["n1"],"as":"ana","against":0,"supersede":false,"deadline_ms":20000,"at_most":1})");
  text += installation.AgentAnswer("GET", "/v1/orders/first?wait_ms=20000", "", "ended = true");
  text += installation.AgentAnswer(
      "POST", "/v1/orders", R"({"id":"second","verb":"restart","instances":["n1"],"force_after_ms":9000})");
  text += installation.AgentAnswer("GET", "/v1/orders/second?wait_ms=20000", "", "ended = true");
  text += installation.AgentAnswer("GET", "/v1/orders");
  text += installation.AgentAnswer("GET", "/v1/instances/n2", "", "definition:");
  text += installation.AgentAnswer("GET", "/v1/instances/n2/members");
  text += installation.AgentAnswer("POST", "/v1/instances/n2/members/release", "{}");
  text += installation.AgentAnswer("GET", "/v1/instances/n9");
  text += installation.AgentAnswer("GET", "/v1/orders/none");
  text += installation.AgentAnswer("POST", "/v1/orders",
                                   R"({"id":"third","verb":"drain","instances":["n1"],"instance":"n1"})");
  text += installation.AgentAnswer("GET", "/v1/nothing");
  EXPECT_TRUE(MatchesGoldenFile("agent_api/calls.txt", text));
  kill(installation.site().PidOf("n2"), SIGKILL);
  EXPECT_TRUE(installation.site().Until([&] {
    return installation.site().Read("state/audit.log").find("\"instance ended\"") != std::string::npos;
  }));
  EXPECT_TRUE(MatchesGoldenFile("agent_api/audit_lines.txt",
                                FormsOfAuditLines(installation.site().Read("state/audit.log"))));
}

TEST(AgentApiCompatibility, InstanceThatDoesNotAnswerAndItsOrderHaveTheFieldsOfBefore) {
  Installation installation;
  installation.Start();
  const pid_t pid = installation.site().PidOf("n2");
  kill(pid, SIGSTOP);
  std::string text;
  text += installation.AgentAnswer("POST", "/v1/orders",
                                   R"({"id":"held","verb":"drain","instances":["n2"],"deadline_ms":600000})");
  text += installation.AgentAnswer("GET", "/v1/status", "", "instances[].silent_for_ms:");
  text += installation.AgentAnswer("GET", "/v1/orders/held", "", "instances[].doing_for_ms:");
  text +=
      installation.AgentAnswer("POST", "/v1/orders", R"({"id":"other","verb":"stop","instances":["n2"]})");
  text += installation.AgentAnswer("POST", "/v1/orders",
                                   R"({"id":"stale","verb":"stop","instances":["n1"],"against":99})");
  kill(pid, SIGCONT);
  EXPECT_TRUE(MatchesGoldenFile("agent_api/instance_that_is_silent.txt", text));
}

}  // namespace
}  // namespace badgerbridge::compatibility
