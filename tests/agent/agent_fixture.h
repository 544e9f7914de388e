// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The fixture of the tests that run the agent as a process.
#ifndef BADGERBRIDGE_TESTS_AGENT_AGENT_FIXTURE_H_
#define BADGERBRIDGE_TESTS_AGENT_AGENT_FIXTURE_H_

#include <gtest/gtest.h>
#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "http_api/client.h"
#include "standins/site.h"

namespace badgerbridge::agent {

/// Returns "result: text" of one instance from the output of `badgerbridge-ctl ... -o json`, or the error of
/// the agent or the tool.
inline std::string ResultOf(const standins::CommandResult& result, const std::string& instance) {
  boost::system::error_code error;
  const boost::json::value answer = boost::json::parse(result.out, error);
  if (error || !answer.is_array()) return result.out + result.err;
  for (const boost::json::value& agent : answer.as_array()) {
    if (!agent.as_object().contains("order")) return std::string(agent.at("error").as_string());
    for (const boost::json::value& task : agent.at("order").at("instances").as_array()) {
      if (task.at("instance").as_string() == instance)
        return std::string(task.at("result").as_string()) + ": " + std::string(task.at("text").as_string());
    }
  }
  return "no line";
}

/// Runs an agent and proxies as processes against simulated peers.
class AgentTest : public ::testing::Test {
 protected:
  /// Creates the site without starting a process. `agent_extra` contains further lines of the [agent] table.
  void Start(int proxies = 3, const std::string& agent_extra = "") {
    standins::SiteSettings settings;
    settings.proxies = proxies;
    settings.backends = 3;
    settings.service = std::chrono::milliseconds(10);
    settings.agent_extra = agent_extra;
    site = std::make_unique<standins::Site>(io, settings);
  }
  /// Creates the site, starts the agent, and waits until all proxies are ready.
  void StartReady(int proxies = 3, const std::string& agent_extra = "") {
    Start(proxies, agent_extra);
    site->StartAgent();
    ASSERT_TRUE(site->Until([&] { return site->All("ready"); })) << site->Read("agent.err");
  }
  /// The pids of all instances by name, from /v1/status.
  std::map<std::string, pid_t> Pids() {
    std::map<std::string, pid_t> pids;
    const http_api::Reply reply = site->Call("GET", "/v1/status");
    for (const boost::json::value& one : reply.body.at("instances").as_array())
      pids[std::string(one.at("name").as_string())] = one.at("pid").to_number<pid_t>();
    return pids;
  }

  boost::asio::io_context io{1};
  std::unique_ptr<standins::Site> site;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_TESTS_AGENT_AGENT_FIXTURE_H_
