// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The main program badgerbridge-agent.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "agent/agent.h"
#include "http_api/version.h"

namespace {

using namespace badgerbridge;

/// Runs the event loop until it is stopped. An exception of one handler is printed and must not end the
/// agent.
void RunUntilStopped(boost::asio::io_context& io) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& error) {
      std::cerr << "badgerbridge-agent: " << error.what() << '\n';
    }
  }
}

/// Runs the agent until SIGTERM or SIGINT. Returns the exit code.
int RunAgent(const agent::FleetFile& file) {
  boost::asio::io_context io(1);
  const auto agent = agent::Agent::Create(io, file);
  if (!agent) {
    std::cerr << "badgerbridge-agent: " << agent::Message(agent.error()) << '\n';
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) io.stop();
  });
  std::cerr << "badgerbridge-agent: " << file.agent.name << " listens on " << file.agent.socket << '\n';
  RunUntilStopped(io);
  return 0;
}

}  // namespace

int main(int count, char** arguments) {
  CLI::App app("badgerbridge-agent: keeps the instances of a fleet file; badgerbridge-ctl commands it");
  std::string path;
  bool check_only = false;
  app.add_option("--fleet", path, "the fleet file (deploy/fleet.toml lists every key)")->required();
  app.add_flag("--check", check_only,
               "check the file and the operator's files that it names, and start nothing");
  app.set_version_flag("--version", http_api::VersionText("badgerbridge-agent", {"TLS"}));
  CLI11_PARSE(app, count, arguments);

  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  operator_config::Problems problems;
  const agent::FleetFile file = agent::LoadFleetFile(path, problems);
  std::cerr << operator_config::FormatProblems(problems);
  if (!problems.empty()) return 1;
  if (check_only) return 0;
  try {
    return RunAgent(file);
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge-agent: " << error.what() << '\n';
    return 1;
  }
}
