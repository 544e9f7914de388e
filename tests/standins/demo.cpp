// SPDX-License-Identifier: Apache-2.0
//
// scripts/demo: a small fleet on loopback, under load, drained and restarted before one's eyes.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <iostream>

#include "standins/site.h"

namespace {

using namespace badgerbridge;
using namespace badgerbridge::standins;
using std::chrono::milliseconds;

int failures = 0;

void Say(const std::string& text) { std::cout << "\n# " << text << std::endl; }

void Show(Site& site, const std::vector<std::string>& arguments) {
  std::cout << "$ badgerbridge-ctl";
  for (const std::string& word : arguments) std::cout << ' ' << word;
  std::cout << std::endl;
  const CommandResult result = site.Ctl(arguments);
  std::cout << result.out << result.err;
  if (result.code != 0) {
    ++failures;
    std::cout << "(exit code " << result.code << ")\n";
  }
}

}  // namespace

int main(int count, char** arguments) {
  const bool keep = count == 2 && std::strcmp(arguments[1], "--keep") == 0;
  if (count > 1 && !keep) {
    std::cerr << "usage: scripts/demo [--keep]\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    boost::asio::io_context io(1);
    bool interrupted = false;
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code& error, int) { interrupted = !error; });
    SiteSettings settings;
    settings.proxies = 5;
    settings.backends = 6;
    settings.service = milliseconds(25);
    Site site(io, settings);
    Say("Six stand-in converters, discovery, and an agent with five proxies, all on loopback.");
    site.StartAgent();
    if (!site.Until([&] { return site.All("ready"); }, milliseconds(15000)))
      throw std::runtime_error("the proxies do not become ready: " + site.Read("agent.err"));
    Show(site, {"status"});
    Say("Clients send 200 requests a second: previews, conversions with a key, certified copies.");
    Clients clients(io, site.addresses(), {200, milliseconds(1500), 1});
    site.Until([&] { return clients.ready() == 5; });
    clients.Start();
    site.For(milliseconds(2000));
    Say("One proxy is drained under load: it answers what it has, and clients go elsewhere.");
    Show(site, {"drain", "n2"});
    Show(site, {"status"});
    Say("Two operators at once: the second is told who was first.");
    const auto first = site.BeginCtl({"roll", "n3", "n4", "--as", "ana"});
    site.Until([&] { return site.Instance("n3").contains("order"); }, milliseconds(3000));
    const CommandResult second = site.Ctl({"stop", "n3", "--as", "bela"});
    std::cout << "$ badgerbridge-ctl stop n3 --as bela\n"
              << second.err << "(exit code " << second.code << ")\n";
    if (second.code != 3) ++failures;
    Say("The first restarts its two proxies one after another, under load.");
    const CommandResult rolled = site.Finish(first);
    std::cout << "$ badgerbridge-ctl roll n3 n4 --as ana\n" << rolled.out << rolled.err;
    if (rolled.code != 0) ++failures;
    Show(site, {"undrain", "n2"});
    site.For(milliseconds(1000));
    if (keep && !interrupted) {
      Say("It stays up until Ctrl-C. In another terminal:");
      std::cout << "export PATH=" << Binary("") << ":$PATH BADGERCTL_CONTEXT=" << site.folder()
                << "/context.toml\n"
                   "badgerbridge-ctl watch\nbadgerbridge-ctl get n1\nbadgerbridge-ctl drain "
                   "--all\nbadgerbridge-ctl undrain --all\n"
                   "badgerbridge-ctl orders\nbadgerbridge-ctl logs n1\n"
                << "curl --unix-socket " << site.folder() << "/n1.sock http://x/v1/converters" << std::endl;
      while (!interrupted) site.For(milliseconds(100));
    }
    clients.Stop();
    site.Until([&] { return clients.Done(); });
    Show(site, {"orders"});
    const Account& a = clients.account();
    const std::size_t doubled = a.doubled + site.ledger().doubled();
    Say("The account, from the clients and from the converters' ledger:");
    std::printf(
        "%llu requests taken: %llu served, %llu refused, %llu failed; %llu lost, %zu done twice; %llu found "
        "no proxy\n",
        static_cast<unsigned long long>(a.sent), static_cast<unsigned long long>(a.served),
        static_cast<unsigned long long>(a.refused), static_cast<unsigned long long>(a.failed),
        static_cast<unsigned long long>(a.lost), doubled, static_cast<unsigned long long>(a.unsent));
    if (a.lost > 0 || doubled > 0 || a.served == 0) ++failures;
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << '\n';
    return 1;
  }
  return failures == 0 ? 0 : 1;
}
