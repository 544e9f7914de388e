// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge: one proxy on real sockets. Wiring and signals.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>

#include "admin_api/admin_api.h"
#include "http_api/version.h"
#include "proxy/backend_pool.h"
#include "proxy/clock.h"
#include "proxy/config.h"
#include "proxy/discovery.h"
#include "proxy/listener.h"
#ifdef BADGERBRIDGE_HAS_ETCD
#include "proxy_main/membership_source.h"
#include "proxy_main/zone_failover_source.h"
#endif
#include "operator_config/operator_file.h"
#include "proxy/proxy.h"

namespace badgerbridge::proxy_main {
namespace {

using namespace proxy;

// SIGHUP: the file may name another discovery. All else of it, and all that is under way, stays; of a file
// that is no good nothing is taken.
void Reload(Discovery& discovery, const Environment& environment, admin_api::ReloadStatus* reloads) {
  try {
    discovery.MoveTo(RereadConfig(environment).discovery);
    ++reloads->applied;
    reloads->last_error.clear();
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge: the old configuration stays: " << error.what() << '\n';
    ++reloads->refused;
    reloads->last_error = error.what();
  }
}

void Run(Config config, const operator_config::OperatorFile& operators, const Environment& environment) {
  boost::asio::io_context io(1);
  // First: they must not end the program at any moment, with connections in the listener's queue say.
  boost::asio::signal_set hangups(io, SIGHUP), signals(io, SIGTERM, SIGINT);
  const ProxyClock clock;
  if (operators.admin_api)  // its descriptors come out of the clients' share
    config.max_clients -= std::min(config.max_clients - 1, operators.admin_api->max_connections + 1);
  BackendPool backends(io, clock, BackendPool::Limits::From(config));
  Proxy proxy(io, clock, backends, config);

  EndpointListReader reader(config);
  EndpointList known;
  try {
    if (!config.known.is_null()) known = reader.Read(config.known);
  } catch (const std::exception& error) {
    throw BadConfig(std::string("known is not a list of backends: ") + error.what());
  }
  known.snapshot = true;
#ifdef BADGERBRIDGE_HAS_ETCD
  std::optional<ZoneFailoverSource> regions;
  if (operators.zone_failover) {
    regions.emplace(io, clock, config, *operators.zone_failover,
                    [&proxy](std::vector<double> shares) { proxy.UpdateZoneQuotas({std::move(shares)}); });
    proxy.SetTrafficObserver(&*regions);
  }
  std::optional<MembershipSource> membership;
  if (operators.etcd) {
    membership.emplace(
        io, config, *operators.etcd,
        [&proxy](const EndpointList& list) { proxy.UpdateList(EndpointListKind::kDelta, list); },
        [&proxy] { proxy.SetListComplete(true); });
    if (known.endpoints.empty()) proxy.SetListComplete(false);
    membership->Known(known);
  }
#endif
  const auto told = [&](const EndpointList& list) {
#ifdef BADGERBRIDGE_HAS_ETCD
    if (membership) return membership->Discovered(list);
#endif
    proxy.UpdateList(list.snapshot ? EndpointListKind::kFull : EndpointListKind::kDelta, list);
  };
  Discovery discovery(
      io, config.discovery, std::move(reader), config.settings.polls_endpoint_list, config.seed, told,
      [&proxy] { proxy.EndpointListFailed(); }, Discovery::Timing::For(config.settings.polls_endpoint_list));
  proxy.OnSubscribe([&discovery] { discovery.Watch(); });
  backends.PostponeWhile([&discovery] { return discovery.HasUnread(); });
  proxy.UpdateList(EndpointListKind::kCached, known);
  if (!config.settings.polls_endpoint_list) discovery.Watch();

  admin_api::ReloadStatus reloads;
  std::function<void()> await_hangup = [&] {
    hangups.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      await_hangup();
      Reload(discovery, environment, &reloads);
    });
  };
  await_hangup();

  Listener listener(io, clock, proxy, config);
  const auto stop = [&] { listener.Stop([&io] { io.stop(); }); };
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) stop();
  });
  std::optional<admin_api::AdminApi> controls;
  if (operators.admin_api) {
    std::function<boost::json::value()> members;
    std::function<std::size_t()> release;
    std::function<boost::json::value()> zones;
    const EndpointListReader* list = &discovery.reader();
#ifdef BADGERBRIDGE_HAS_ETCD
    if (membership) {
      members = [&membership] { return membership->Describe(); };
      release = [&membership] { return membership->Release(); };
      list = &membership->list();
    }
    if (regions) zones = [&regions] { return regions->Describe(); };
#endif
    controls.emplace(io, *operators.admin_api,
                     admin_api::AdminApi::Subject{config, clock, proxy, listener, *list, reloads, stop,
                                                  members, release, zones});
  }

  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& error) {
      // A handler failed; what it was about is ended by its own deadline. All others go on.
      std::cerr << "badgerbridge: " << error.what() << '\n';
    }
  }
}

constexpr const char* kUsage =
    "usage: badgerbridge [--operator FILE] [--version] [--help]\n"
    "  --operator FILE  the operator's own file (or BADGERBRIDGE_OPERATOR); without it all that it names is "
    "off\n"
    "The rest comes from ROUTER_CONFIG, ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY.\n";

// The exit code, or nothing: go on with the operator's file at `path`, if any.
std::optional<int> ReadArguments(int count, char** arguments, std::string* path) {
  const char* named = std::getenv("BADGERBRIDGE_OPERATOR");
  if (named) *path = named;
  for (int i = 1; i < count; ++i) {
    const std::string_view argument = arguments[i];
    if (argument == "--operator" && i + 1 < count) {
      *path = arguments[++i];
    } else if (argument.rfind("--operator=", 0) == 0) {
      *path = argument.substr(11);
    } else if (argument == "--version") {
#ifdef BADGERBRIDGE_HAS_ETCD
      std::cout << http_api::VersionText("badgerbridge", {"control", "etcd", "regions"});
#else
      std::cout << http_api::VersionText("badgerbridge", {"control"});
#endif
      return 0;
    } else if (argument == "--help") {
      std::cout << kUsage;
      return 0;
    } else {
      std::cerr << "badgerbridge: unknown or incomplete argument " << argument << "; see --help\n";
      return 1;
    }
  }
  return std::nullopt;
}

}  // namespace
}  // namespace badgerbridge::proxy_main

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string path;
  if (const auto done = badgerbridge::proxy_main::ReadArguments(count, arguments, &path)) return *done;
  try {
    badgerbridge::operator_config::OperatorFile operators;
    if (!path.empty()) {
      badgerbridge::operator_config::Problems problems;
      operators = badgerbridge::operator_config::LoadOperatorFile(path);
      problems = operators.problems;
      std::cerr << badgerbridge::operator_config::FormatProblems(problems);
      if (!problems.empty()) return 1;
      std::cerr << badgerbridge::operator_config::FormatProblems(operators.warnings);
    }
    const badgerbridge::proxy::Environment environment = [](const char* name) { return std::getenv(name); };
    badgerbridge::proxy_main::Run(badgerbridge::proxy::ReadConfig(environment), operators, environment);
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
