// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-agent: keeps the instances of one machine.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "agent/agent.h"
#include "http_api/version.h"

int main(int count, char** arguments) {
  using namespace badgerbridge;
  CLI::App app("badgerbridge-agent: keeps the instances of a fleet file; badgerbridge-ctl commands it");
  std::string path;
  bool check = false;
  app.add_option("--fleet", path, "the fleet file (deploy/fleet.toml lists every key)")->required();
  app.add_flag("--check", check, "check the file and the operator's files that it names, and start nothing");
  app.set_version_flag("--version", http_api::VersionText("badgerbridge-agent", {"TLS"}));
  CLI11_PARSE(app, count, arguments);

  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  operator_config::Problems problems;
  const agent::FleetFile file = agent::LoadFleet(path, problems);
  std::cerr << operator_config::Lines(problems);
  if (!problems.empty()) return 1;
  if (check) return 0;
  boost::asio::io_context io(1);
  try {
    agent::Agent agent(io, file);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
      if (!error) io.stop();
    });
    std::cerr << "badgerbridge-agent: " << file.agent.name << " answers on " << file.agent.socket << '\n';
    while (!io.stopped()) {
      try {
        io.run();
      } catch (const std::exception& error) {
        std::cerr << "badgerbridge-agent: " << error.what() << '\n';
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge-agent: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
