// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/trial.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <stdexcept>

#include "multiprocess/roles.h"
#include "multiprocess/trial_names.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
using simulator::ScenarioEvent;

namespace {

constexpr double kSettle = 1500;      // ms after the load's end, for what is open
constexpr double kDoor = 500;         // ms after SIGTERM for which a proxy goes on accepting
constexpr double kEndsWithin = 2500;  // ms beyond the longest deadline, of a proxy that was asked to end
constexpr int kBlocks = 250;

}  // namespace

Trial::Trial(asio::io_context& io, simulator::Model model, std::uint64_t seed, std::string self,
             std::string proxy, std::string relay)
    : io_(io),
      model_(std::move(model)),
      seed_(seed),
      self_(std::move(self)),
      program_(std::move(proxy)),
      relay_program_(std::move(relay)),
      lags_(seed, 1),
      cut_in_(static_cast<std::size_t>(model_.zones)),
      cut_out_(static_cast<std::size_t>(model_.zones)),
      cut_etcd_(static_cast<std::size_t>(model_.zones)),
      ready_proxies_(static_cast<std::size_t>(model_.zones)),
      expected_proxies_(static_cast<std::size_t>(model_.zones)),
      held_block_(io) {
  std::string folder = (std::filesystem::temp_directory_path() / "multiprocess_test_XXXXXX").string();
  if (!mkdtemp(folder.data())) throw std::runtime_error("cannot make " + folder);
  folder_ = folder;
  TakeBlock();
}

Trial::~Trial() {
  regions_.reset();
  proxies_.clear();
  relays_.clear();
  zones_.clear();
  clients_.clear();
  raw_clients_.clear();
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

// Shows what all proxies hold of the common decision, and waits for the first.
void Trial::WatchRegions() {
  std::vector<std::string> zones;
  for (int z = 0; z < model_.zones; ++z) zones.push_back(ZoneName(z));
  std::map<std::string, std::string> sockets;
  for (const Proxy& proxy : proxies_) sockets[proxy.name] = Path(proxy, ".sock");
  regions_ =
      std::make_unique<RegionsWatch>(io_, zones, sockets, [this](const std::string& news) { Note(news); });
  regions_->Start();
  Until([&] { return regions_->epoch() > 0; }, "somebody decides for all zones");
}

void Trial::BeginLoad() {
  began_ = NowMs();
  Note("the load begins, " + std::to_string(processes_) + " processes");
  for (const ScenarioEvent& what : model_.events)
    due_.push_back({began_ + what.at_ms, [this, &what] { Happen(what); }});
  for (const simulator::MultiprocessFault& what : model_.multiprocess.faults)
    due_.push_back({began_ + what.at_ms, [this, &what] { Suffer(what); }});
  for (const auto& part : clients_) part->Tell({{"do", "start"}});
  for (const auto& part : raw_clients_) part->Tell({{"do", "start"}});
  if (model_.multiprocess.stalls_proxies) StartStalls();
}

void Trial::ActOnWhatIsDue() {
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
}

// Those that ended though nobody asked them to, those that were asked and are to be started again, and those
// that take too long about it. `longest` is the longest deadline of a request (ms).
void Trial::LookAfterProxies(double longest) {
  for (Proxy& proxy : proxies_) {
    const double stopped = proxy.stopped_for - proxy.stopped_before_term;
    if (proxy.term_at >= 0 && NowMs() - proxy.term_at > longest + kEndsWithin + stopped &&
        proxy.process->Running()) {
      outcome_.troubles.push_back(proxy.name + " had not ended so long after SIGTERM");
      proxy.process->Signal(SIGKILL);
    }
    if (proxy.down_since >= 0 || proxy.process->Running()) continue;
    if (proxy.term_at >= 0 && proxy.process->status() == 0) {
      // From when its door closed, those who still connect meet nobody. What it had taken is excused by
      // nothing.
      history_.excuses.push_back(
          {proxy.name, proxy.term_at + kDoor, NowMs() + kAfterRevive, Excuse::Why::kDoorClosed});
      proxy.term_at = -1;
      StartAgain(proxy);
      continue;
    }
    outcome_.troubles.push_back(proxy.name + " ended by itself, " + HowEnded(proxy));
    proxy.down_since = NowMs();
  }
}

void Trial::RunLoad() {
  double longest = 0;
  for (const simulator::ClassModel& c : model_.classes) longest = std::max(longest, c.rules.deadline.count());
  while (NowMs() < began_ + model_.duration_ms) {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(2));
    ActOnWhatIsDue();
    LookAfterProxies(longest);
    LookAfterRelays();
  }
  Note("the load ends");
  EndStalls();
  for (const auto& part : clients_) part->Tell({{"do", "stop"}});
  for (const auto& part : raw_clients_) part->Tell({{"do", "stop"}});
  const double settled = NowMs() + kSettle;
  Until([&] { return NowMs() > settled; }, "what is open ends");
}

Outcome Trial::Run() {
  StartParts();
  OpenLinks();
  SetLinks();
  for (Backend& c : backends_) List(c);
  StartRelays();
  for (Proxy& proxy : proxies_) StartProxy(proxy);
  for (int z = 0; z < model_.zones; ++z) StartClients(z);
  AwaitProxies();
  if (model_.multiprocess.raw_clients > 0) {
    for (int z = 0; z < model_.zones; ++z) StartRawClients(z);
  }
  if (model_.multiprocess.runs_zone_failover) WatchRegions();
  BeginLoad();
  RunLoad();
  if (regions_) StopRegionsWatch();
  for (Proxy& proxy : proxies_) {
    const double since = std::max(proxy.down_since, proxy.frozen_since);
    const auto why = proxy.down_since >= 0 ? Excuse::Why::kDown : Excuse::Why::kStopped;
    if (since >= 0) history_.excuses.push_back({proxy.name, since, NowMs(), why});
  }
  Gather();
  StopProxies();
  StopRelays();
  return TakeOutcome();
}

}  // namespace badgerbridge::multiprocess
