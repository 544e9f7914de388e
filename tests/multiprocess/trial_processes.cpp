// SPDX-License-Identifier: Apache-2.0
//
// The processes of a trial: how each is started and told what it is to do, the links between them, and how
// the proxies are stopped.
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include "http_api/address.h"
#include "multiprocess/roles.h"
#include "multiprocess/trial.h"
#include "multiprocess/trial_names.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr double kPoll = 50;  // ms between two questions how many proxies are ready
// The address of the first proxy in its zone's block; backends and links come before.
constexpr int kFirstProxy = 10;

}  // namespace

std::unique_ptr<Child> Trial::Part(const std::string& role, const std::string& name) {
  ++processes_;
  return std::make_unique<Child>(io_, name, std::vector<std::string>{self_, "role", role},
                                 std::vector<std::string>{}, folder_ + "/" + name + ".log",
                                 [this, name](const json::object& line) { Hear(name, line); });
}

// A line that the process of this name wrote.
void Trial::Hear(const std::string& name, const json::object& line) {
  if (line.contains("error")) {
    outcome_.troubles.push_back(name + ": " + json::serialize(line.at("error")));
    return;
  }
  if (line.contains("ready")) {
    ++ready_parts_;
    const auto found = waiting_.find(name);
    if (found != waiting_.end()) found->second(line);
    return;
  }
  if (line.contains("ready_proxies")) {
    const auto zone = static_cast<std::size_t>(std::stoi(name.substr(8)));
    ready_proxies_[zone] = line.at("ready_proxies").to_number<std::size_t>();
    return;
  }
  Collect(line);
}

void Trial::StartBackends() {
  const int groups = std::max(1, model_.cells);
  for (int i = 0; i < model_.backends; ++i) {
    Backend one;
    one.zone = i % model_.zones;
    one.place = static_cast<std::size_t>(i / model_.zones);
    one.group = i / model_.zones % groups;
    one.name = "c" + std::to_string(i + 1);
    one.relayed.resize(static_cast<std::size_t>(model_.zones));
    backends_.push_back(std::move(one));
  }
  double window = 0;
  for (const simulator::ClassModel& c : model_.classes) window = std::max(window, c.rules.window.count());
  for (int z = 0; z < model_.zones; ++z) {
    zones_.push_back(Part("converters", ZoneName(z)));
    json::array all;
    for (const Backend& c : backends_) {
      if (c.zone == z) all.push_back(json::object{{"name", c.name}, {"group", c.group}});
    }
    waiting_[ZoneName(z)] = [this, z](const json::object& line) {
      const json::array& addresses = line.at("addresses").as_array();
      for (Backend& c : backends_) {
        if (c.zone == z) c.address = addresses.at(c.place).as_string();
      }
    };
    const simulator::BackendModel& m = model_.backend;
    zones_.back()->Tell({{"do", "begin"},
                         {"zone", ZoneName(z)},
                         {"host", Host(z, 1)},
                         {"window_ms", window},
                         {"slots", m.slots},
                         {"queue", m.queue_capacity},
                         {"speed", m.speed},
                         {"cold_from", m.slow_start_floor},
                         {"warm_up_ms", m.slow_start_window.count()},
                         {"fall_multiple", m.overload_factor},
                         {"overload_for_ms", m.overload_duration.count()},
                         {"converters", std::move(all)}});
  }
}

void Trial::PlaceProxies() {
  for (int i = 0; i < model_.proxies; ++i) {
    Proxy proxy;
    proxy.name = "n" + std::to_string(i + 1);
    proxy.zone = i % model_.zones;
    // A port that was free a moment ago, on an address that nothing but this proxy uses: on a shared one the
    // kernel gives a port that was just let go to the next that asks, once in 500 trials of three proxies a
    // zone.
    asio::ip::tcp::acceptor held(io_, {asio::ip::make_address_v4(Host(proxy.zone, kFirstProxy + i)), 0});
    proxy.listen = http_api::ToText(held.local_endpoint());
    proxies_.push_back(std::move(proxy));
  }
}

void Trial::StartDiscovery() {
  discovery_ = Part("discovery", "discovery");
  json::array names;
  for (const Proxy& proxy : proxies_) names.push_back(json::value(proxy.name));
  waiting_["discovery"] = [this](const json::object& line) {
    for (Proxy& proxy : proxies_) proxy.discovery = line.at("addresses").at(proxy.name).as_string();
  };
  discovery_->Tell({{"do", "begin"}, {"proxies", std::move(names)}});
}

void Trial::StartEtcd() {
  etcd_ = Part("etcd", "etcd");
  waiting_["etcd"] = [this](const json::object& line) {
    for (const json::value& address : line.at("addresses").as_array())
      etcd_addresses_.emplace_back(address.as_string());
  };
  etcd_->Tell({{"do", "begin"}, {"members", model_.multiprocess.etcd_members}, {"prefix", kPrefix}});
}

void Trial::StartParts() {
  StartBackends();
  wire_ = Part("wire", "wire");
  PlaceProxies();
  PlaceRelays();
  StartDiscovery();
  if (model_.multiprocess.etcd_members > 0) StartEtcd();
  const std::size_t parts = zones_.size() + 2 + (etcd_ ? 1 : 0);
  Until([&] { return ready_parts_ == parts; }, "all parts say that they are ready");
}

// Where the wire listens for `from` on its way to `to`, which is at `target`.
std::string Trial::OpenLink(const std::string& from, const std::string& to, const std::string& target,
                            const std::string& host) {
  const std::size_t number = opened_.size();
  opened_.emplace_back();
  wire_->Tell(
      {{"do", "open"}, {"from", from}, {"to", to}, {"target", target}, {"host", host}, {"number", number}});
  Until([&] { return !opened_[number].empty(); }, "the wire listens for " + from + " to " + to);
  return opened_[number];
}

void Trial::OpenLinks() {
  for (Backend& c : backends_) {
    for (int z = 0; z < model_.zones; ++z)
      c.relayed[static_cast<std::size_t>(z)] = OpenLink(ZoneName(z), ZoneName(c.zone), c.address, Host(z, 3));
  }
  for (Proxy& proxy : proxies_) {
    proxy.relayed =
        OpenLink(ClientsName(proxy.zone), ZoneName(proxy.zone), proxy.listen, Host(proxy.zone, 4));
    proxy.discovery = OpenLink(ZoneName(proxy.zone), "discovery", proxy.discovery, Host(proxy.zone, 5));
  }
  etcd_relayed_.resize(static_cast<std::size_t>(model_.zones));
  for (int z = 0; z < model_.zones; ++z) {
    for (const std::string& member : etcd_addresses_)
      etcd_relayed_[static_cast<std::size_t>(z)].push_back(OpenLink(ZoneName(z), "etcd", member, Host(z, 6)));
  }
  OpenRelayLinks();
}

// For people: by what a process ended, and the last that it said.
std::string Trial::HowEnded(const Proxy& proxy) const {
  const int status = proxy.process->status();
  std::string how = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                        : "with " + std::to_string(WEXITSTATUS(status));
  std::ifstream log(Path(proxy, ".log"));
  std::string last;
  for (std::string line; std::getline(log, line);) last = line;
  return how + (last.empty() ? ", and said nothing" : ": " + last);
}

void Trial::StartProxy(Proxy& proxy) {
  ++proxy.starts;
  ++processes_;
  const std::string path = Path(proxy, ".json");
  std::ofstream(path, std::ios::trunc) << Config(proxy);
  std::vector<std::string> words{program_};
  if (model_.multiprocess.runs_zone_failover || relays_on()) {
    WriteOperatorFile(proxy);
    words.insert(words.end(), {"--operator", Path(proxy, ".toml")});
  }
  proxy.process =
      std::make_unique<Child>(io_, proxy.name, std::move(words),
                              std::vector<std::string>{"ROUTER_CONFIG=" + path}, Path(proxy, ".log"));
  const auto descriptors = static_cast<rlim_t>(Descriptors(proxy));
  const rlimit limit{descriptors, descriptors};
  prlimit(proxy.process->pid(), RLIMIT_NOFILE, &limit, nullptr);
}

// Asks it for GET /ready until it says yes, or its half minute is over.
asio::awaitable<void> Trial::UntilReady(std::size_t proxy, std::size_t restart) {
  const double began = NowMs();
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (NowMs() - began < 30000) {
    asio::ip::tcp::socket socket(io_);
    co_await socket.async_connect(*http_api::ParseAddress(proxies_[proxy].listen), token);
    constexpr std::string_view kAsk = "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    if (!error) co_await asio::async_write(socket, asio::buffer(kAsk.data(), kAsk.size()), token);
    std::array<char, 64> answer{};
    if (!error) co_await socket.async_read_some(asio::buffer(answer), token);
    if (!error && std::string_view(answer.data(), answer.size()).substr(0, 13) == "HTTP/1.1 200 ") {
      outcome_.restarts_ms[restart] = NowMs() - began;
      co_return;
    }
    asio::steady_timer pause(io_, std::chrono::milliseconds(20));
    co_await pause.async_wait(token);
  }
}

void Trial::StartAgain(Proxy& proxy) {
  StartProxy(proxy);
  outcome_.restarts_ms.push_back(-1);
  asio::co_spawn(
      io_, UntilReady(static_cast<std::size_t>(&proxy - proxies_.data()), outcome_.restarts_ms.size() - 1),
      asio::detached);
}

json::array Trial::ClassesForClients() const {
  json::array classes;
  for (const simulator::ClassModel& c : model_.classes)
    classes.push_back(json::object{{"name", c.name},
                                   {"effect", static_cast<int>(c.rules.effect)},
                                   {"share", c.share},
                                   {"deadline_ms", c.rules.deadline.count()},
                                   {"work_kind", static_cast<int>(c.work.kind)},
                                   {"work_ms", c.work.mean},
                                   {"work_spread", c.work.spread}});
  return classes;
}

void Trial::StartClients(int zone) {
  clients_.push_back(Part("clients", ClientsName(zone)));
  json::array proxies;
  for (const Proxy& proxy : proxies_) {
    if (proxy.zone == zone) proxies.push_back(json::object{{"name", proxy.name}, {"address", proxy.relayed}});
  }
  expected_proxies_[static_cast<std::size_t>(zone)] = proxies.size();
  clients_.back()->Tell({{"do", "begin"},
                         {"name", ClientsName(zone) + "-"},
                         {"seed", seed_},
                         {"per_second", model_.clients.requests_per_second / model_.zones},
                         {"tries", model_.clients.max_submissions},
                         {"pause_ms", model_.clients.retry_delay.Mean()},
                         {"proxies", std::move(proxies)},
                         {"classes", ClassesForClients()}});
}

// They connect to the proxies themselves.
void Trial::StartRawClients(int zone) {
  const std::string name = "raw-" + ClientsName(zone);
  raw_clients_.push_back(Part("raw_clients", name));
  json::array proxies;
  for (const Proxy& proxy : proxies_) {
    if (proxy.zone == zone) proxies.push_back(json::object{{"name", proxy.name}, {"address", proxy.listen}});
  }
  const std::size_t clients = static_cast<std::size_t>(model_.multiprocess.raw_clients) * proxies.size();
  raw_clients_.back()->Tell({{"do", "begin"},
                             {"name", name + "-"},
                             {"seed", seed_},
                             {"clients", clients},
                             {"proxies", std::move(proxies)},
                             {"classes", ClassesForClients()}});
}

// Until the clients of each zone have found every proxy of it ready.
void Trial::AwaitProxies() {
  double asked = 0;
  Until(
      [&] {
        if (NowMs() - asked > kPoll) {
          for (const auto& part : clients_) part->Tell({{"do", "count"}});
          asked = NowMs();
        }
        for (Proxy& proxy : proxies_) {
          if (!proxy.process->Running())
            throw std::runtime_error(proxy.name + " ended at its start, " + HowEnded(proxy));
        }
        return ready_proxies_ == expected_proxies_;
      },
      "every proxy is ready");
}

// Asked to stop, each proxy ends by itself.
void Trial::StopProxies() {
  for (Proxy& proxy : proxies_) {
    if (proxy.down_since >= 0) continue;
    proxy.process->Signal(SIGCONT);
    proxy.process->Signal(SIGTERM);
  }
  Until(
      [&] {
        return std::none_of(proxies_.begin(), proxies_.end(), [](Proxy& p) { return p.process->Running(); });
      },
      "every proxy ends when asked to");
  for (const Proxy& proxy : proxies_) {
    if (proxy.down_since < 0 && proxy.process->status() != 0)
      outcome_.troubles.push_back(proxy.name + " did not end with 0, " + HowEnded(proxy));
  }
}

}  // namespace badgerbridge::multiprocess
