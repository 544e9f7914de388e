// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-relay: a watch cache between etcd, or another relay, and its readers.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <optional>
#include <random>

#include "http_api/address.h"
#include "http_api/server.h"
#include "http_api/version.h"
#include "watch_cache/relay_file.h"
#include "watch_cache/service.h"

namespace {

using namespace badgerbridge;

struct Arguments {
  std::string listen, prefix, config, status_socket;
  std::vector<std::string> upstream;
};

// One line that says what is wrong; empty: nothing.
std::string Apply(const Arguments& arguments, watch_cache::ServiceSettings* settings) {
  const auto listen = http_api::ParseAddress(arguments.listen);
  if (!listen) return "--listen: \"" + arguments.listen + "\" is no address and port, as in 127.0.0.1:2379";
  settings->listen = *listen;
  for (const std::string& text : arguments.upstream) {
    const auto endpoint = http_api::ParseAddress(text);
    if (!endpoint || endpoint->port() == 0)
      return "--upstream: \"" + text + "\" is no address and port, as in 127.0.0.1:2379";
    settings->upstream.endpoints.push_back(*endpoint);
  }
  if (arguments.prefix.empty()) return "--prefix: is empty; /badgerbridge/ would be right";
  settings->relay.prefix = arguments.prefix;
  settings->relay.must_deliver = watch_cache::SaysDrain;
  return "";
}

http_api::Response Answer(const watch_cache::Service& service, const http_api::Request& request) {
  if (request.path != "/v1/status") return http_api::Error(404, "there is /v1/status alone");
  if (request.method != "GET") return http_api::Error(405, "GET would be right");
  return {200, service.Describe()};
}

// Until the first signal; then the drain; a second signal ends it at once.
void WaitForSignals(boost::asio::io_context& io, boost::asio::signal_set& signals,
                    watch_cache::Service& service) {
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    std::cerr << "badgerbridge-relay: shuts down\n";
    service.Drain([&io] { io.stop(); });
    signals.async_wait([&io](const boost::system::error_code& again, int) {
      if (!again) io.stop();
    });
  });
}

int Serve(const Arguments& arguments, const watch_cache::ServiceSettings& settings, std::uint64_t seed) {
  boost::asio::io_context io(1);
  watch_cache::Service service(io, settings, seed);
  std::optional<http_api::UnixServer> status;
  if (!arguments.status_socket.empty()) {
    status.emplace(
        io, arguments.status_socket, std::vector<uid_t>{}, http_api::ServerLimits{},
        [&](http_api::Request request, http_api::Peer) -> boost::asio::awaitable<http_api::Response> {
          co_return Answer(service, request);
        });
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  WaitForSignals(io, signals, service);
  std::cerr << "badgerbridge-relay: serves " << settings.relay.prefix << " on "
            << http_api::ToText(service.address()) << std::endl;
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& error) {
      std::cerr << "badgerbridge-relay: " << error.what() << '\n';
    }
  }
  return 0;
}

}  // namespace

int main(int count, char** values) {
  CLI::App app("badgerbridge-relay: serves reads and watches of one prefix of etcd's keys from memory");
  Arguments arguments;
  app.add_option("--listen", arguments.listen, "address:port for readers")->required();
  app.add_option("--upstream", arguments.upstream, "addresses of etcd's members or of relays, by commas")
      ->required()
      ->delimiter(',');
  app.add_option("--prefix", arguments.prefix, "keys that are served, as in /badgerbridge/")->required();
  app.add_option("--config", arguments.config, "TOML: TLS, user, bounds (deploy/relay.toml lists every key)");
  app.add_option("--status-socket", arguments.status_socket, "path of a Unix socket that answers /v1/status");
  bool check = false;
  app.add_flag("--check", check, "check the arguments and the file, and start nothing");
  app.set_version_flag("--version", http_api::VersionText("badgerbridge-relay", {"etcd", "TLS"}));
  CLI11_PARSE(app, count, values);

  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  std::random_device random;
  const std::uint64_t seed = (static_cast<std::uint64_t>(random()) << 32) | random();
  watch_cache::ServiceSettings settings;
  operator_config::Problems problems;
  if (!arguments.config.empty()) watch_cache::LoadFile(arguments.config, &settings, problems);
  std::cerr << operator_config::Lines(problems);
  if (!problems.empty()) return 1;
  const std::string wrong = Apply(arguments, &settings);
  if (!wrong.empty()) {
    std::cerr << "badgerbridge-relay: " << wrong << '\n';
    return 1;
  }
  if (check) return 0;
  settings.relay.member_id = seed | 1;  // not 0
  try {
    return Serve(arguments, settings, seed);
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge-relay: " << error.what() << '\n';
    return 1;
  }
}
