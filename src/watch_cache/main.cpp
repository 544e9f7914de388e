// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-relay: a watch cache between etcd, or another watch cache, and its readers.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <optional>
#include <random>
#include <utility>

#include "http_api/address.h"
#include "http_api/server.h"
#include "http_api/version.h"
#include "watch_cache/command_line.h"
#include "watch_cache/relay_file.h"
#include "watch_cache/service.h"

namespace {

using namespace badgerbridge;

void AddOptions(CLI::App& app, watch_cache::Arguments* arguments) {
  app.add_option("--listen", arguments->listen, "address:port for readers")->required();
  app.add_option("--upstream", arguments->upstream, "addresses of etcd's members or of relays, by commas")
      ->required()
      ->delimiter(',');
  app.add_option("--prefix", arguments->prefix, "keys that are served, as in /badgerbridge/")->required();
  app.add_option("--config", arguments->config,
                 "TOML: TLS, user, bounds (deploy/relay.toml lists every key)");
  app.add_option("--status-socket", arguments->status_socket,
                 "path of a Unix socket that answers /v1/status");
  app.add_flag("--check", arguments->check, "check the arguments and the file, and start nothing");
  app.set_version_flag("--version", http_api::VersionText("badgerbridge-relay", {"etcd", "TLS"}));
}

http_api::Response AnswerStatusRequest(const watch_cache::Service& service,
                                       const http_api::Request& request) {
  if (request.path != "/v1/status") return http_api::Error(404, "there is /v1/status alone");
  if (request.method != "GET") return http_api::Error(405, "GET would be right");
  return {200, service.Describe()};
}

// The first signal starts a drain; a second one exits at once.
void DrainOnSignal(boost::asio::io_context& io, boost::asio::signal_set& signals,
                   watch_cache::Service& service) {
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    std::cerr << "badgerbridge-relay: shutting down; ends all watches over the drain period\n";
    service.Drain([&io] { io.stop(); });
    signals.async_wait([&io](const boost::system::error_code& second_error, int) {
      if (!second_error) io.stop();
    });
  });
}

void Serve(const watch_cache::Arguments& arguments, const watch_cache::ServiceSettings& settings,
           std::uint64_t seed) {
  boost::asio::io_context io(1);
  watch_cache::Service service(io, settings, seed);
  std::optional<http_api::UnixServer> status_server;
  if (!arguments.status_socket.empty()) {
    status_server.emplace(
        io, arguments.status_socket, std::vector<uid_t>{}, http_api::ServerLimits{},
        [&](http_api::Request request, http_api::Peer) -> boost::asio::awaitable<http_api::Response> {
          co_return AnswerStatusRequest(service, request);
        });
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  DrainOnSignal(io, signals, service);
  std::cerr << "badgerbridge-relay: serves " << settings.cache.prefix << " on "
            << http_api::ToText(service.address()) << std::endl;
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& error) {
      std::cerr << "badgerbridge-relay: " << error.what() << '\n';
    }
  }
}

std::uint64_t DrawSeed() {
  std::random_device random;
  return (static_cast<std::uint64_t>(random()) << 32) | random();
}

// Returns the exit code.
int Run(const watch_cache::Arguments& arguments) {
  watch_cache::RelayFile file;
  if (!arguments.config.empty()) file = watch_cache::LoadRelayFile(arguments.config);
  std::cerr << operator_config::FormatProblems(file.problems);
  if (!file.ok()) return 1;
  auto settings = watch_cache::ApplyArguments(arguments, std::move(file.settings));
  if (!settings) {
    std::cerr << "badgerbridge-relay: " << Message(settings.error()) << '\n';
    return 1;
  }
  if (arguments.check) return 0;
  const std::uint64_t seed = DrawSeed();
  settings->cache.member_id = seed | 1;  // 0 is not a valid member id
  try {
    Serve(arguments, *settings, seed);
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge-relay: " << error.what() << '\n';
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("badgerbridge-relay: serves reads and watches of one prefix of etcd's keys from memory");
  watch_cache::Arguments arguments;
  AddOptions(app, &arguments);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  return Run(arguments);
}
