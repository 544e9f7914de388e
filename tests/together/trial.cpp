// SPDX-License-Identifier: Apache-2.0
#include "together/trial.h"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "api/address.h"
#include "together/roles.h"

namespace badgerbridge::together {

namespace asio = boost::asio;
namespace json = boost::json;
using lab::Happening;

namespace {

constexpr double kSettle = 1500;       // ms after the load's end, for what is open
constexpr double kDoor = 500;          // ms after SIGTERM for which a proxy goes on accepting
constexpr double kEndsWithin = 2500;   // ms beyond the longest deadline, of a proxy that was asked to end
constexpr double kAfterRevive = 1500;  // ms until a proxy that was started again counts as running
constexpr double kPoll = 50;
constexpr double kLeastLookEvery = 1000;  // ms, in the mean: shares that nobody held together prove nothing
constexpr int kBlocks = 250;
constexpr int kFirstProxy =
    10;  // the address of the first proxy in its zone's block; converters and links come before

double UnixMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string ZoneName(int zone) { return "z" + std::to_string(zone); }
constexpr const char* kPrefix = "/badgerbridge/regions/";

std::string ClientsName(int zone) { return "clients-" + std::to_string(zone); }

}  // namespace

Trial::Trial(asio::io_context& io, lab::Model model, std::uint64_t seed, std::string self, std::string proxy)
    : io_(io),
      model_(std::move(model)),
      seed_(seed),
      self_(std::move(self)),
      program_(std::move(proxy)),
      lags_(seed, 1),
      cut_in_(static_cast<std::size_t>(model_.zones)),
      cut_out_(static_cast<std::size_t>(model_.zones)),
      cut_etcd_(static_cast<std::size_t>(model_.zones)),
      ready_proxies_(static_cast<std::size_t>(model_.zones)),
      held_block_(io) {
  std::string folder = (std::filesystem::temp_directory_path() / "badgertrial_XXXXXX").string();
  if (!mkdtemp(folder.data())) throw std::runtime_error("cannot make " + folder);
  folder_ = folder;
  TakeBlock();
}

Trial::~Trial() {
  regions_.reset();
  proxies_.clear();
  zones_.clear();
  clients_.clear();
  wire_.reset();
  discovery_.reset();
  etcd_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

// Trials that run at once take different blocks of loopback addresses: whoever holds a block's port has it.
void Trial::TakeBlock() {
  constexpr std::uint16_t kPort = 7979;
  const int first = getpid() % kBlocks;
  for (int i = 0; i < kBlocks; ++i) {
    block_ = (first + i) % kBlocks;
    const asio::ip::tcp::endpoint at(asio::ip::make_address_v4("127.79." + std::to_string(block_) + ".1"),
                                     kPort);
    boost::system::error_code taken;
    held_block_.open(at.protocol());
    held_block_.bind(at, taken);
    if (!taken) held_block_.listen(1, taken);
    if (!taken) return;
    held_block_.close();
  }
  throw std::runtime_error("every block of loopback addresses is taken by another trial");
}

// Each zone has an address block of its own.
std::string Trial::Host(int zone, int number) const {
  return "127." + std::to_string(80 + zone % 40) + "." + std::to_string(block_) + "." +
         std::to_string(1 + number % 250);
}

void Trial::Note(std::string text) {
  char at[32];
  std::snprintf(at, sizeof at, "%8.0f ms  ", began_ > 0 ? NowMs() - began_ : 0.0);
  outcome_.timeline.push_back(at + std::move(text));
}

void Trial::Until(const std::function<bool()>& holds, const std::string& what, double most_ms) {
  const double due = NowMs() + most_ms;
  while (!holds()) {
    if (NowMs() > due) throw std::runtime_error("not in time: " + what);
    io_.restart();
    io_.run_for(std::chrono::milliseconds(5));
  }
}

std::unique_ptr<Child> Trial::Part(const std::string& role, const std::string& name) {
  ++processes_;
  return std::make_unique<Child>(
      io_, name, std::vector<std::string>{self_, "role", role}, std::vector<std::string>{},
      folder_ + "/" + name + ".log", [this, name](const json::object& line) {
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
      });
}

void Trial::StartParts() {
  const int groups = std::max(1, model_.groups);
  for (int i = 0; i < model_.converters; ++i) {
    Converter one;
    one.zone = i % model_.zones;
    one.place = static_cast<std::size_t>(i / model_.zones);
    one.group = i / model_.zones % groups;
    one.name = "c" + std::to_string(i + 1);
    one.relayed.resize(static_cast<std::size_t>(model_.zones));
    converters_.push_back(std::move(one));
  }
  double window = 0;
  for (const lab::ClassModel& c : model_.classes) window = std::max(window, c.rules.window.count());
  for (int z = 0; z < model_.zones; ++z) {
    zones_.push_back(Part("converters", ZoneName(z)));
    json::array all;
    for (const Converter& c : converters_) {
      if (c.zone == z) all.push_back(json::object{{"name", c.name}, {"group", c.group}});
    }
    waiting_[ZoneName(z)] = [this, z](const json::object& line) {
      const json::array& addresses = line.at("addresses").as_array();
      for (Converter& c : converters_) {
        if (c.zone == z) c.address = addresses.at(c.place).as_string();
      }
    };
    const lab::ConverterModel& m = model_.converter;
    zones_.back()->Tell({{"do", "begin"},
                         {"zone", ZoneName(z)},
                         {"host", Host(z, 1)},
                         {"window_ms", window},
                         {"slots", m.slots},
                         {"queue", m.queue},
                         {"speed", m.speed},
                         {"cold_from", m.cold_from},
                         {"warm_up_ms", m.warm_up.count()},
                         {"fall_multiple", m.fall_multiple},
                         {"overload_for_ms", m.overload_for.count()},
                         {"converters", std::move(all)}});
  }
  wire_ = Part("wire", "wire");
  discovery_ = Part("discovery", "discovery");
  json::array names;
  for (int i = 0; i < model_.proxies; ++i) {
    Proxy proxy;
    proxy.name = "n" + std::to_string(i + 1);
    proxy.zone = i % model_.zones;
    names.push_back(json::value(proxy.name));
    // A port that was free a moment ago, on an address that nothing but this proxy uses: on a shared one the
    // kernel gives a port that was just let go to the next that asks, once in 500 trials of three proxies a
    // zone.
    asio::ip::tcp::acceptor held(io_, {asio::ip::make_address_v4(Host(proxy.zone, kFirstProxy + i)), 0});
    proxy.listen = api::ToText(held.local_endpoint());
    proxies_.push_back(std::move(proxy));
  }
  waiting_["discovery"] = [this](const json::object& line) {
    for (Proxy& proxy : proxies_) proxy.discovery = line.at("addresses").at(proxy.name).as_string();
  };
  discovery_->Tell({{"do", "begin"}, {"proxies", std::move(names)}});
  if (model_.together.etcd_members > 0) {
    etcd_ = Part("etcd", "etcd");
    waiting_["etcd"] = [this](const json::object& line) {
      for (const json::value& address : line.at("addresses").as_array())
        etcd_addresses_.emplace_back(address.as_string());
    };
    etcd_->Tell({{"do", "begin"}, {"members", model_.together.etcd_members}, {"prefix", kPrefix}});
  }
  const std::size_t parts = zones_.size() + 2 + (etcd_ ? 1 : 0);
  Until([&] { return ready_parts_ == parts; }, "all parts say that they are ready");
}

void Trial::OpenLinks() {
  const auto open = [&](const std::string& from, const std::string& to, const std::string& target,
                        const std::string& host, std::string* at) {
    const std::size_t number = opened_.size();
    opened_.emplace_back();
    wire_->Tell(
        {{"do", "open"}, {"from", from}, {"to", to}, {"target", target}, {"host", host}, {"number", number}});
    Until([&] { return !opened_[number].empty(); }, "the relay listens for " + from + " to " + to);
    *at = opened_[number];
  };
  for (Converter& c : converters_) {
    for (int z = 0; z < model_.zones; ++z)
      open(ZoneName(z), ZoneName(c.zone), c.address, Host(z, 3), &c.relayed[static_cast<std::size_t>(z)]);
  }
  for (Proxy& proxy : proxies_) {
    open(ClientsName(proxy.zone), ZoneName(proxy.zone), proxy.listen, Host(proxy.zone, 4), &proxy.relayed);
    std::string discovery;
    open(ZoneName(proxy.zone), "discovery", proxy.discovery, Host(proxy.zone, 5), &discovery);
    proxy.discovery = discovery;
  }
  etcd_relayed_.resize(static_cast<std::size_t>(model_.zones));
  for (int z = 0; z < model_.zones; ++z) {
    for (const std::string& member : etcd_addresses_)
      open(ZoneName(z), "etcd", member, Host(z, 6),
           &etcd_relayed_[static_cast<std::size_t>(z)].emplace_back());
  }
}

std::string Trial::Config(const Proxy& proxy) const {
  json::array classes, zones, known;
  // As it had the list last, if it had one.
  for (const Converter& c : converters_) {
    if (proxy.lives > 1 && c.status != "Gone")
      known.push_back(json::object{{"name", c.name},
                                   {"address", c.relayed[static_cast<std::size_t>(proxy.zone)]},
                                   {"zone", ZoneName(c.zone)},
                                   {"type", "standard"},
                                   {"group", c.group},
                                   {"status", c.status},
                                   {"weight", 1.0},
                                   {"since_ms", c.since_ms}});
  }
  constexpr const char* kEffects[] = {"read_like", "idempotency_key", "non_idempotent"};
  constexpr const char* kGroups[] = {"all", "zone", "cell"};
  for (const lab::ClassModel& c : model_.classes)
    classes.push_back(json::object{{"name", c.name},
                                   {"effect", kEffects[static_cast<int>(c.rules.effect)]},
                                   {"group", kGroups[static_cast<int>(c.rules.group)]},
                                   {"windowMs", c.rules.window.count()},
                                   {"goalTimeMs", c.rules.aim.count()},
                                   {"deadlineMs", c.rules.deadline.count()},
                                   {"worth", c.rules.worth},
                                   {"lateWorth", c.rules.late_worth}});
  for (int z = 0; z < model_.zones; ++z) zones.push_back(json::value(ZoneName(z)));
  const auto me = static_cast<int>(&proxy - proxies_.data());
  return json::serialize(json::object{
      {"name", proxy.name},
      {"listen", proxy.listen},
      {"discovery", proxy.discovery},
      {"seed", std::to_string(100 + seed_ % 1000 * 100 + static_cast<std::uint64_t>(me + proxy.lives * 10))},
      {"known", json::object{{"index", 0}, {"snapshot", true}, {"endpoints", std::move(known)}}},
      {"limits", json::object{{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"settings",
       json::object{{"balancers", model_.proxies},
                    {"me", me},
                    {"zone", proxy.zone},
                    {"zones", std::move(zones)},
                    {"kinds", json::array{"standard"}},
                    {"tenants", json::array{}},
                    {"periodMs", 5.0},
                    {"registryMode", "push"},
                    {"classes", std::move(classes)},
                    {"permissions", json::object{{"maxAttempts", model_.max_attempts},
                                                 {"connectTimeoutMs", model_.network.connect_timeout.count()},
                                                 {"connIdleMs", 60000.0},
                                                 {"retryAfter", model_.max_retry_after.count() > 0},
                                                 {"maxRetryAfterMs", model_.max_retry_after.count()}}},
                    {"rules", json::object{{"coldFrom", model_.converter.cold_from},
                                           {"warmUpMs", model_.converter.warm_up.count()},
                                           {"fallMultiple", std::max(1.0, model_.converter.fall_multiple)},
                                           {"overloadForMs", model_.converter.overload_for.count()},
                                           {"drainGraceMs", model_.drain_grace.count()}}}}}});
}

// What this installation switches on: the regions, and the control API to look on.
void Trial::WriteOperatorFile(const Proxy& proxy) const {
  std::ofstream file(Path(proxy, ".toml"), std::ios::trunc);
  file << "[control]\nsocket = \"" << Path(proxy, ".sock") << "\"\n[regions]\nprefix = \"" << kPrefix
       << "\"\nendpoints = [";
  for (const std::string& address : etcd_relayed_[static_cast<std::size_t>(proxy.zone)])
    file << '"' << address << "\", ";
  file << "]\nzones = [";
  for (int z = 0; z < model_.zones; ++z) file << '"' << ZoneName(z) << "\", ";
  file << "]\n";
  for (int a = 0; a < model_.zones; ++a) {
    for (int b = a + 1; b < model_.zones; ++b) {
      if (model_.RegionOf(a) == model_.RegionOf(b)) continue;
      file << "[[regions.link]]\nfrom = \"" << ZoneName(a) << "\"\nto = \"" << ZoneName(b)
           << "\"\nround_trip = \"" << static_cast<int>(std::ceil(2 * model_.far.count()))
           << "ms\"\nprice_percent = 20\n";
    }
  }
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
  ++proxy.lives;
  ++processes_;
  const std::string path = Path(proxy, ".json");
  std::ofstream(path, std::ios::trunc) << Config(proxy);
  std::vector<std::string> words{program_};
  if (model_.together.regions) {
    WriteOperatorFile(proxy);
    words.insert(words.end(), {"--operator", Path(proxy, ".toml")});
  }
  proxy.process =
      std::make_unique<Child>(io_, proxy.name, std::move(words),
                              std::vector<std::string>{"ROUTER_CONFIG=" + path}, Path(proxy, ".log"));
}

// Asks it for GET /ready until it says yes, or its half minute is over.
asio::awaitable<void> Trial::UntilReady(std::size_t proxy, std::size_t restart) {
  const double began = NowMs();
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (NowMs() - began < 30000) {
    asio::ip::tcp::socket socket(io_);
    co_await socket.async_connect(*api::ParseAddress(proxies_[proxy].listen), token);
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

// Tells every proxy, each after a time of its own.
void Trial::List(Converter& converter) {
  for (const Proxy& proxy : proxies_) {
    const json::object order{{"do", "set"},
                             {"proxy", proxy.name},
                             {"name", converter.name},
                             {"address", converter.relayed[static_cast<std::size_t>(proxy.zone)]},
                             {"zone", ZoneName(converter.zone)},
                             {"status", converter.status},
                             {"group", converter.group},
                             {"since_ms", converter.since_ms}};
    auto act = [this, order] { discovery_->Tell(order); };
    if (began_ == 0) {
      act();
    } else if (stale_) {
      held_back_.push_back(std::move(act));
    } else {
      due_.push_back({NowMs() + model_.network.lag.Draw(lags_), std::move(act)});
    }
  }
}

// All links anew: what is cut, and what only links can suffer.
void Trial::SetLinks() {
  for (int from = 0; from < model_.zones; ++from) {
    for (int to = 0; to < model_.zones; ++to) {
      const auto f = static_cast<std::size_t>(from), t = static_cast<std::size_t>(to);
      double delay = model_.RegionOf(from) != model_.RegionOf(to) ? model_.far.count() : 0;
      double swallowed = 0, bytes = 0;
      for (const auto& [what, fault] : link_faults_) {
        if (fault.zone >= 0 && fault.zone != to && fault.zone != from) continue;
        if (fault.what == "delay") delay += fault.value;
        if (fault.what == "swallow") swallowed = fault.value;
        if (fault.what == "trickle") bytes = fault.value;
      }
      wire_->Tell({{"do", "link"},
                   {"from", ZoneName(from)},
                   {"to", ZoneName(to)},
                   {"delay_ms", delay},
                   {"jitter_ms", delay / 4},
                   {"swallowed", swallowed},
                   {"bytes_per_s", bytes},
                   {"cut_there", from != to && (cut_out_[f] || cut_in_[t])},
                   {"cut_back", from != to && (cut_out_[t] || cut_in_[f])}});
    }
    const bool cut = cut_etcd_[static_cast<std::size_t>(from)];
    wire_->Tell(
        {{"do", "link"}, {"from", ZoneName(from)}, {"to", "etcd"}, {"cut_there", cut}, {"cut_back", cut}});
  }
}

void Trial::Happen(const Happening& what) {
  using Kind = Happening::Kind;
  constexpr const char* kNames[] = {
      "drain", "stop", "start",     "slow",    "wrong",    "pause",   "kill",        "revive",     "load",
      "cut",   "heal", "etcd down", "etcd up", "evacuate", "readmit", "stale lists", "fresh lists"};
  Note(std::string(kNames[static_cast<int>(what.kind)]) +
       (what.zone >= 0 ? ", zone " + std::to_string(what.zone) : std::string()));
  if (what.kind == Kind::kLoad) {
    for (const auto& part : clients_) part->Tell({{"do", "load"}, {"value", what.value}});
    return;
  }
  if (what.kind == Kind::kCut || what.kind == Kind::kHeal) {
    const bool cut = what.kind == Kind::kCut;
    for (std::size_t z = 0; z < cut_in_.size(); ++z) {
      if (what.zone >= 0 && z != static_cast<std::size_t>(what.zone)) continue;
      if (!cut || what.way != Happening::Way::kOut) cut_in_[z] = cut;
      if (!cut || what.way != Happening::Way::kIn) cut_out_[z] = cut;
    }
    return SetLinks();
  }
  if (what.kind == Kind::kStaleLists || what.kind == Kind::kFreshLists) {
    stale_ = what.kind == Kind::kStaleLists;
    if (!stale_) {
      for (auto& act : std::exchange(held_back_, {})) act();
    }
    return;
  }
  if (what.kind == Kind::kEtcdDown || what.kind == Kind::kEtcdUp) {
    if (etcd_) etcd_->Tell({{"do", what.kind == Kind::kEtcdDown ? "down" : "up"}});
    return;
  }
  if (what.kind == Kind::kEvacuate || what.kind == Kind::kReadmit) {
    for (int z = 0; etcd_ && z < model_.zones; ++z) {
      if (what.zone < 0 || z == what.zone)
        etcd_->Tell({{"do", "order"}, {"zone", z}, {"leave", what.kind == Kind::kEvacuate}});
    }
    return;
  }
  // A share, evenly spread, as the lab has it.
  double sum = 0;
  const auto chosen = [&](int zone) {
    if (what.zone >= 0 && zone != what.zone) return false;
    sum += what.share;
    if (sum < 1 - 1e-9) return false;
    sum -= 1;
    return true;
  };
  if (what.kind == Kind::kKill || what.kind == Kind::kRevive) {
    for (Proxy& proxy : proxies_) {
      if (!chosen(proxy.zone)) continue;
      if (what.kind == Kind::kKill && proxy.down_since < 0) {
        proxy.process->Signal(SIGCONT);
        proxy.process->Signal(SIGKILL);
        proxy.down_since = NowMs();
      } else if (what.kind == Kind::kRevive && proxy.down_since >= 0) {
        StartAgain(proxy);
        history_.excuses.push_back({proxy.name, proxy.down_since, NowMs() + kAfterRevive});
        proxy.down_since = -1;
      }
    }
    return;
  }
  for (Converter& c : converters_) {
    if (!chosen(c.zone)) continue;
    json::object order{{"which", json::array{c.place}}, {"value", what.value}};
    switch (what.kind) {
      case Kind::kDrain:
        c.status = "Terminating";
        List(c);
        continue;
      case Kind::kStop:
        order["do"] = "stop";
        c.status = "Gone";
        List(c);
        break;
      case Kind::kStart:
        order["do"] = "start";
        history_.started.push_back({c.name, NowMs()});
        c.status = "Ready";
        c.since_ms = UnixMs();
        List(c);
        break;
      case Kind::kSlow:
        order["do"] = "slow";
        break;
      case Kind::kWrong:
        order["do"] = "wrong";
        break;
      default:
        order["do"] = "pause";
        break;
    }
    zones_[static_cast<std::size_t>(c.zone)]->Tell(order);
  }
}

// False if it is no fault of whoever decides.
bool Trial::SufferDecider(const std::string& what) {
  if (what == "thaw_decider") {
    for (Proxy& proxy : proxies_) {
      if (proxy.name != frozen_decider_ || proxy.frozen_since < 0) continue;
      proxy.process->Signal(SIGCONT);
      history_.excuses.push_back({proxy.name, proxy.frozen_since, NowMs() + 100});
      proxy.frozen_since = -1;
    }
    return true;
  }
  if (what != "freeze_decider" && what != "kill_decider") return false;
  on_decider_ = [this, what](const std::string& name) {
    if (name.empty()) outcome_.troubles.push_back(what + ": nobody decided then");
    for (Proxy& proxy : proxies_) {
      if (proxy.name != name || proxy.down_since >= 0 || proxy.frozen_since >= 0) continue;
      Note(name + (what == "freeze_decider" ? " is frozen" : " is killed"));
      if (what == "freeze_decider") {
        proxy.process->Signal(SIGSTOP);
        proxy.frozen_since = NowMs();
        frozen_decider_ = name;
      } else {
        proxy.process->Signal(SIGKILL);
        proxy.down_since = NowMs();
      }
    }
  };
  etcd_->Tell({{"do", "decider"}});
  return true;
}

void Trial::Suffer(const lab::TogetherFault& what) {
  Note(what.what + (what.zone >= 0 ? ", zone " + std::to_string(what.zone) : std::string()));
  if (SufferDecider(what.what)) return;
  if (what.what == "etcd_cut" || what.what == "etcd_heal") {
    for (std::size_t z = 0; z < cut_etcd_.size(); ++z) {
      if (what.zone < 0 || z == static_cast<std::size_t>(what.zone)) cut_etcd_[z] = what.what == "etcd_cut";
    }
    return SetLinks();
  }
  if (what.what == "freeze" || what.what == "thaw") {
    double sum = 0;
    for (Proxy& proxy : proxies_) {
      if (what.zone >= 0 && proxy.zone != what.zone) continue;
      sum += what.share;
      if (sum < 1 - 1e-9) continue;
      sum -= 1;
      if (proxy.down_since >= 0) continue;
      if (what.what == "freeze" && proxy.frozen_since < 0) {
        proxy.process->Signal(SIGSTOP);
        proxy.frozen_since = NowMs();
      } else if (what.what == "thaw" && proxy.frozen_since >= 0) {
        proxy.process->Signal(SIGCONT);
        history_.excuses.push_back({proxy.name, proxy.frozen_since, NowMs() + 100});
        proxy.frozen_since = -1;
      }
    }
    return;
  }
  if (what.what == "discovery_down" || what.what == "discovery_up") {
    discovery_->Tell({{"do", what.what == "discovery_down" ? "down" : "up"}});
    return;
  }
  if (what.what == "restart") {
    double sum = 0, at = NowMs();
    for (Proxy& proxy : proxies_) {
      if (what.zone >= 0 && proxy.zone != what.zone) continue;
      sum += what.share;
      if (sum < 1 - 1e-9) continue;
      sum -= 1;
      due_.push_back({at, [this, &proxy] {
                        if (proxy.down_since >= 0) return;
                        proxy.process->Signal(SIGTERM);
                        proxy.term_at = NowMs();
                      }});
      at += what.value;
    }
    return;
  }
  if (what.what == "reset" || what.what == "half_close") {
    for (int from = 0; from < model_.zones; ++from) {
      for (int to = 0; to < model_.zones; ++to) {
        if (what.zone >= 0 && to != what.zone) continue;
        wire_->Tell({{"do", what.what == "reset" ? "reset" : "half"},
                     {"from", ZoneName(from)},
                     {"to", ZoneName(to)}});
      }
    }
    return;
  }
  if (what.value > 0) {
    link_faults_[what.what + std::to_string(what.zone)] = what;
  } else {
    link_faults_.erase(what.what + std::to_string(what.zone));
  }
  SetLinks();
}

// A line of some part's account.
void Trial::Collect(const json::object& line) {
  if (const json::value* at = line.if_contains("opened")) {
    opened_.at(line.at("number").to_number<std::size_t>()) = std::string(at->as_string());
  } else if (const json::value* name = line.if_contains("fell")) {
    history_.fell.emplace_back(name->as_string());
    Note(history_.fell.back() + " fell over");
  }
  if (const json::value* all = line.if_contains("asked")) {
    for (const json::value& value : all->as_array()) {
      const json::array& a = value.as_array();
      history_.asked.push_back({std::string(a[0].as_string()), a[1].to_number<std::size_t>(),
                                std::string(a[2].as_string()), a[3].to_number<double>(),
                                a[4].to_number<double>(), a[5].to_number<double>(),
                                static_cast<Asked::End>(a[6].to_number<int>()), a[7].as_bool()});
    }
  }
  if (const json::value* all = line.if_contains("came")) {
    for (const json::value& value : all->as_array()) {
      const json::array& a = value.as_array();
      history_.came.push_back({std::string(a[0].as_string()), std::string(a[1].as_string()),
                               std::string(a[2].as_string()), std::string(a[3].as_string()),
                               a[4].to_number<double>(), a[5].as_bool()});
    }
  }
  if (const json::value* all = line.if_contains("told")) {
    for (const json::value& value : all->as_array()) {
      const json::array& a = value.as_array();
      history_.told.push_back({std::string(a[0].as_string()), std::string(a[1].as_string()), a[2].as_bool(),
                               a[3].to_number<double>()});
    }
  }
  if (const json::value* wanted = line.if_contains("wanted"))
    history_.wanted += wanted->to_number<std::uint64_t>();
  if (const json::value* malformed = line.if_contains("malformed");
      malformed && malformed->to_number<int>() > 0)
    outcome_.troubles.push_back("a converter was sent what no proxy may send");
  if (const json::value* name = line.if_contains("decider"); name && on_decider_)
    std::exchange(on_decider_, nullptr)(std::string(name->as_string()));
  if (line.contains("decisions")) {
    outcome_.decisions = line.at("decisions").to_number<std::uint64_t>();
    outcome_.disorder = line.at("disorder").to_number<std::uint64_t>();
    outcome_.unfenced = line.at("unfenced").to_number<std::uint64_t>();
  }
  if (line.contains("ended")) ++ended_parts_;
}

void Trial::Gather() {
  for (const auto& part : clients_) part->Tell({{"do", "end"}});
  Until([&] { return ended_parts_ == clients_.size(); }, "the clients' accounts");
  for (const auto& part : zones_) part->Tell({{"do", "end"}});
  discovery_->Tell({{"do", "end"}});
  wire_->Tell({{"do", "end"}});
  if (etcd_) etcd_->Tell({{"do", "end"}});
  const std::size_t parts = clients_.size() + zones_.size() + 2 + (etcd_ ? 1 : 0);
  Until([&] { return ended_parts_ == parts; }, "the accounts of all parts");
}

Outcome Trial::Run() {
  StartParts();
  OpenLinks();
  SetLinks();
  for (Converter& c : converters_) List(c);
  for (Proxy& proxy : proxies_) StartProxy(proxy);
  std::vector<std::size_t> expected(static_cast<std::size_t>(model_.zones));
  for (int z = 0; z < model_.zones; ++z) {
    clients_.push_back(Part("clients", ClientsName(z)));
    json::array proxies, classes;
    for (const Proxy& proxy : proxies_) {
      if (proxy.zone == z) proxies.push_back(json::object{{"name", proxy.name}, {"address", proxy.relayed}});
    }
    expected[static_cast<std::size_t>(z)] = proxies.size();
    for (const lab::ClassModel& c : model_.classes)
      classes.push_back(json::object{{"name", c.name},
                                     {"effect", static_cast<int>(c.rules.effect)},
                                     {"share", c.share},
                                     {"deadline_ms", c.rules.deadline.count()},
                                     {"work_kind", static_cast<int>(c.work.kind)},
                                     {"work_ms", c.work.mean},
                                     {"work_spread", c.work.spread}});
    clients_.back()->Tell({{"do", "begin"},
                           {"name", ClientsName(z) + "-"},
                           {"seed", seed_},
                           {"per_second", model_.clients.per_second / model_.zones},
                           {"tries", model_.clients.tries},
                           {"pause_ms", model_.clients.pause.Mean()},
                           {"proxies", std::move(proxies)},
                           {"classes", std::move(classes)}});
  }
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
        return ready_proxies_ == expected;
      },
      "every proxy is ready");
  if (model_.together.regions) {
    std::vector<std::string> zones;
    for (int z = 0; z < model_.zones; ++z) zones.push_back(ZoneName(z));
    std::map<std::string, std::string> sockets;
    for (const Proxy& proxy : proxies_) sockets[proxy.name] = Path(proxy, ".sock");
    regions_ =
        std::make_unique<RegionsWatch>(io_, zones, sockets, [this](const std::string& news) { Note(news); });
    regions_->Start();
    Until([&] { return regions_->epoch() > 0; }, "somebody decides for all zones");
  }
  began_ = NowMs();
  Note("the load begins, " + std::to_string(processes_) + " processes");
  for (const Happening& what : model_.happenings)
    due_.push_back({began_ + what.at, [this, &what] { Happen(what); }});
  for (const lab::TogetherFault& what : model_.together.faults)
    due_.push_back({began_ + what.at, [this, &what] { Suffer(what); }});
  for (const auto& part : clients_) part->Tell({{"do", "start"}});
  double longest = 0;
  for (const lab::ClassModel& c : model_.classes) longest = std::max(longest, c.rules.deadline.count());
  while (NowMs() < began_ + model_.length) {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(2));
    std::vector<Due> now;
    for (std::size_t i = 0; i < due_.size();) {
      if (due_[i].at > NowMs()) {
        ++i;
        continue;
      }
      now.push_back(std::move(due_[i]));
      due_.erase(due_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const Due& one : now) one.act();
    for (Proxy& proxy : proxies_) {
      if (proxy.term_at >= 0 && NowMs() - proxy.term_at > longest + kEndsWithin && proxy.process->Running()) {
        outcome_.troubles.push_back(proxy.name + " had not ended so long after SIGTERM");
        proxy.process->Signal(SIGKILL);
      }
      if (proxy.down_since >= 0 || proxy.process->Running()) continue;
      if (proxy.term_at >= 0 && proxy.process->status() == 0) {
        // From when its door closed, those who still connect meet nobody. What it had taken is excused by
        // nothing.
        history_.excuses.push_back({proxy.name, proxy.term_at + kDoor, NowMs() + kAfterRevive});
        proxy.term_at = -1;
        StartAgain(proxy);
        continue;
      }
      outcome_.troubles.push_back(proxy.name + " ended by itself, " + HowEnded(proxy));
      proxy.down_since = NowMs();
    }
  }
  Note("the load ends");
  for (const auto& part : clients_) part->Tell({{"do", "stop"}});
  const double settled = NowMs() + kSettle;
  Until([&] { return NowMs() > settled; }, "what is open ends");
  if (regions_) {
    regions_->Stop();
    for (const std::string& line : regions_->Describe()) Note(line);
    outcome_.epoch = regions_->epoch();
    outcome_.worst_receiver = regions_->worst_receiver();
    if (static_cast<double>(regions_->looks()) < model_.length / kLeastLookEvery)
      outcome_.troubles.push_back("the proxies' shares were seen together " +
                                  std::to_string(regions_->looks()) + " times only");
  }
  for (Proxy& proxy : proxies_) {
    const double since = std::max(proxy.down_since, proxy.frozen_since);
    if (since >= 0) history_.excuses.push_back({proxy.name, since, NowMs()});
  }
  Gather();
  // Asked to stop, each proxy ends by itself.
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
  Rules rules;
  for (const lab::ClassModel& c : model_.classes) {
    rules.effects.push_back(static_cast<Effect>(static_cast<int>(c.rules.effect)));
    rules.worths.push_back(c.rules.worth);
    rules.aims.push_back(c.rules.aim.count());
    rules.late_worths.push_back(c.rules.late_worth);
  }
  rules.drain_grace = model_.drain_grace.count();
  rules.slack += 2 * model_.far.count();
  const lab::ConverterModel& converter = model_.converter;
  if (converter.fall_multiple > 0 && converter.warm_up.count() > 0) {
    rules.window = converter.overload_for.count();
    rules.warm_up = converter.warm_up.count();
    double work = 0, shares = 0;
    for (const lab::ClassModel& c : model_.classes) work += c.share * c.work.Mean(), shares += c.share;
    rules.cold_budget = [converter, mean = work / shares](double age) {
      const double share =
          std::min(1.0, converter.cold_from + (1 - converter.cold_from) * age / converter.warm_up.count());
      return converter.fall_multiple * share * converter.slots * converter.speed *
             converter.overload_for.count() / mean;
    };
  }
  for (const lab::TogetherFault& fault : model_.together.faults) {
    if (fault.what == "delay") rules.slack += 2 * fault.value;
  }
  outcome_.verdict = Judge(rules, history_);
  for (const Asked& one : history_.asked) {
    const double at = std::max(0.0, (one.sent - began_) / 1000);
    if (!(at < 1e5)) continue;
    if (outcome_.seconds.size() <= static_cast<std::size_t>(at))
      outcome_.seconds.resize(static_cast<std::size_t>(at) + 1);
    Second& second = outcome_.seconds[static_cast<std::size_t>(at)];
    ++second.asked;
    second.served += one.end == Asked::End::kServed;
    second.refused += one.end == Asked::End::kRefused;
    second.failed += one.end == Asked::End::kFailed || one.end == Asked::End::kLost;
  }
  outcome_.processes = processes_;
  return std::move(outcome_);
}

}  // namespace badgerbridge::together
