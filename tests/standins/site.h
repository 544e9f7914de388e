// SPDX-License-Identifier: Apache-2.0
//
// A whole installation on loopback, in a folder of its own: stand-in backends, discovery and clients in
// this process; an agent with its proxies as processes; and calls of the agent's API and of badgerbridge-ctl.
#ifndef BADGERBRIDGE_TESTS_STANDINS_SITE_H_
#define BADGERBRIDGE_TESTS_STANDINS_SITE_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http_api/client.h"
#include "standins/backends.h"
#include "standins/clients.h"
#include "standins/discovery.h"

namespace badgerbridge::standins {

// Where the programs are: beside the program that runs, unless the environment's BADGERBRIDGE_BIN says
// otherwise.
std::string Binary(const std::string& name);

struct CommandResult {
  int code = -1;
  std::string out, err;
  std::chrono::milliseconds took{0};
};

struct SiteSettings {
  int proxies = 5, backends = 4;
  std::chrono::milliseconds service{20};
  std::string agent_extra;                     // more lines for the [agent] table
  std::vector<std::string> agent_environment;  // more variables, NAME=VALUE
};

class Site {
 public:
  Site(boost::asio::io_context& io, SiteSettings settings);
  ~Site();  // ends the agent and every process that it started, removes the folder
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  // Fails with std::runtime_error if the agent does not answer in time.
  void StartAgent();
  void KillAgent(int signal);
  bool AgentRuns() const;
  pid_t agent() const { return agent_; }

  // Runs the io_context until it holds; false after `most`.
  bool Until(const std::function<bool()>& holds, std::chrono::milliseconds most = std::chrono::seconds(30));
  void For(std::chrono::milliseconds time);

  // One call of the agent's API, on this io_context.
  http_api::Reply Call(const std::string& method, const std::string& target, const std::string& body = "");
  // badgerbridge-ctl with this site's context; the io_context goes on meanwhile.
  CommandResult Ctl(std::vector<std::string> arguments,
                    std::chrono::milliseconds most = std::chrono::seconds(60));
  // Begins one, to be awaited by Finish.
  struct Background;
  std::shared_ptr<Background> BeginCtl(std::vector<std::string> arguments);
  void Signal(const std::shared_ptr<Background>& command, int number);
  CommandResult Finish(const std::shared_ptr<Background>& command,
                       std::chrono::milliseconds most = std::chrono::seconds(60));

  boost::json::object Instance(const std::string& name);
  std::string StateOf(const std::string& name);
  pid_t PidOf(const std::string& name);
  bool All(const std::string& state);

  std::string FleetText(int proxies, const std::string& instance_extra = "") const;
  std::string ConfigText(const std::string& name) const;
  void Write(const std::string& file, const std::string& text) const;
  std::string Read(const std::string& file) const;

  const std::string& folder() const { return folder_; }
  std::string Name(int proxy) const;
  const std::vector<boost::asio::ip::tcp::endpoint>& addresses() const { return addresses_; }
  Ledger& ledger() { return ledger_; }
  Discovery& discovery() { return discovery_; }
  std::vector<std::unique_ptr<Backend>>& backends() { return backends_; }

 private:
  boost::asio::io_context& io_;
  SiteSettings settings_;
  std::string folder_;
  Ledger ledger_;
  Discovery discovery_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<boost::asio::ip::tcp::endpoint> addresses_;
  pid_t agent_ = -1;
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_SITE_H_
