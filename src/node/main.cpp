// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge: one proxy on real sockets. Wiring and signals.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>

#include "backend.h"
#include "client.h"
#include "clock.h"
#include "config.h"
#include "discovery.h"
#include "proxy.h"

namespace fordlb::node {
namespace {

// SIGHUP: the file may name another discovery. All else of it, and all that is under way, stays; of a file
// that is no good nothing is taken.
void Reload(Discovery& discovery, const Environment& environment) {
  try {
    discovery.MoveTo(RereadConfig(environment).discovery);
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge: the old configuration stays: " << error.what() << '\n';
  }
}

void Run(const Config& config, const Environment& environment) {
  boost::asio::io_context io(1);
  boost::asio::signal_set hangups(io, SIGHUP);  // first: it must not end the program at any moment
  const NodeClock clock;
  Backends backends(io, clock, Backends::Limits::From(config));
  Proxy proxy(io, clock, backends, config);

  ListReader reader(config);
  EndpointList known;
  try {
    if (!config.known.is_null()) known = reader.Read(config.known);
  } catch (const std::exception& error) {
    throw BadConfig(std::string("known is not a list of backends: ") + error.what());
  }
  known.snapshot = true;
  Discovery discovery(
      io, config.discovery, std::move(reader), config.settings.must_ask_for_list, config.seed,
      [&proxy](const EndpointList& list) {
        proxy.UpdateList(list.snapshot ? ListKind::kFull : ListKind::kDelta, list);
      },
      [&proxy] { proxy.ListFailed(); }, {});
  proxy.OnSubscribe([&discovery] { discovery.Watch(); });
  proxy.UpdateList(ListKind::kCached, known);
  if (!config.settings.must_ask_for_list) discovery.Watch();

  std::function<void()> await_hangup = [&] {
    hangups.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      await_hangup();
      Reload(discovery, environment);
    });
  };
  await_hangup();

  Listener listener(io, clock, proxy, config);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) listener.Stop([&io] { io.stop(); });
  });

  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& error) {
      // A handler failed; what it was about is ended by its own deadline. All others go on.
      std::cerr << "badgerbridge: " << error.what() << '\n';
    }
  }
}

}  // namespace
}  // namespace fordlb::node

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const fordlb::node::Environment environment = [](const char* name) { return std::getenv(name); };
    fordlb::node::Run(fordlb::node::ReadConfig(environment), environment);
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
