// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/trial.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <thread>

#include "scale_rig/json.h"

namespace badgerbridge::scale {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr double kStartEntries = 150000;  // a second, listed by all proxies that start
constexpr double kMostStarts = 500;       // a second
constexpr double kAtOnce = 1e9;           // a second
constexpr milliseconds kPoll{50};
constexpr milliseconds kInForceTimeout{10000};
// What the product promises at its full size.
constexpr milliseconds kDrainBound{500}, kChangeBound{5000}, kReadyBound{10000};
constexpr std::size_t kTenth = 10;

std::vector<double> DoublesIn(const json::object& object, const char* key) {
  return json::value_to<std::vector<double>>(object.at(key));
}

double Sum(const std::vector<json::object>& objects, const char* key) {
  return std::accumulate(objects.begin(), objects.end(), 0.0,
                         [&](double sum, const json::object& object) { return sum + NumberAt(object, key); });
}

double SecondsSince(steady_clock::time_point at) {
  return std::chrono::duration<double>(steady_clock::now() - at).count();
}

}  // namespace

Trial::Trial(TrialSettings settings, bench::Checks* checks)
    : settings_(std::move(settings)), checks_(checks), random_(settings_.size.seed) {
  source_ = std::make_unique<Child>("source");
  const json::object opened =
      source_->Call({{"command", "open"}, {"size", ToJson(settings_.size)}, {"members", settings_.members}});
  for (const json::value& address : opened.at("addresses").as_array())
    endpoints_.emplace_back(address.as_string());
  if (settings_.relays) {
    relays_ = std::make_unique<RelayProcesses>(endpoints_, WholePrefix(settings_.size), settings_.first_tier,
                                               settings_.second_tier);
    endpoints_ = relays_->second_tier();
  }
  const std::size_t processes = settings_.processes + (settings_.size.ledgers > 0 ? 1 : 0);
  for (std::size_t i = 0; i < processes; ++i) hollow_.push_back(std::make_unique<Child>("hollow"));
}

Trial::~Trial() = default;

std::size_t Trial::ProcessOf(std::size_t proxy) const {
  return proxy < settings_.size.ledgers ? settings_.processes : proxy % settings_.processes;
}

std::vector<json::object> Trial::HollowStatus() { return CallAll(hollow_, {{"command", "status"}}); }

Trial::Marked Trial::Mark() {
  Marked mark;
  const std::vector<json::object> hollow = HollowStatus();
  const json::object source = source_->Call({{"command", "status"}});
  mark.sums.proxies_received = Sum(hollow, "received");
  mark.sums.proxies_sent = Sum(hollow, "sent");
  mark.sums.opened = Sum(hollow, "opened");
  mark.sums.source_received = NumberAt(source, "received");
  mark.sums.source_sent = NumberAt(source, "sent");
  mark.sums.calls = NumberAt(source, "calls");
  for (const auto& child : hollow_) mark.sums.proxies_cpu_ms += bench::CpuMs(child->pid());
  mark.sums.source_cpu_ms = bench::CpuMs(source_->pid());
  if (relays_) {
    for (const pid_t pid : relays_->pids()) mark.sums.relays_cpu_ms += bench::CpuMs(pid);
  }
  mark.at = steady_clock::now();
  return mark;
}

Usage Trial::Since(const Marked& mark) {
  const Marked now = Mark();
  Usage spent;
  spent.seconds = std::chrono::duration<double>(now.at - mark.at).count();
  spent.proxies_cpu_ms = now.sums.proxies_cpu_ms - mark.sums.proxies_cpu_ms;
  spent.source_cpu_ms = now.sums.source_cpu_ms - mark.sums.source_cpu_ms;
  spent.relays_cpu_ms = now.sums.relays_cpu_ms - mark.sums.relays_cpu_ms;
  spent.proxies_received = now.sums.proxies_received - mark.sums.proxies_received;
  spent.proxies_sent = now.sums.proxies_sent - mark.sums.proxies_sent;
  spent.opened = now.sums.opened - mark.sums.opened;
  spent.source_received = now.sums.source_received - mark.sums.source_received;
  spent.source_sent = now.sums.source_sent - mark.sums.source_sent;
  spent.calls = now.sums.calls - mark.sums.calls;
  return spent;
}

void Trial::StartProxies(const std::vector<std::size_t>& numbers, double per_second) {
  std::vector<std::vector<std::size_t>> shares(hollow_.size());
  for (const std::size_t number : numbers) shares[ProcessOf(number)].push_back(number);
  json::array endpoints(endpoints_.begin(), endpoints_.end());
  for (std::size_t i = 0; i < hollow_.size(); ++i) {
    const double share = static_cast<double>(shares[i].size()) / static_cast<double>(numbers.size());
    if (shares[i].empty()) continue;
    hollow_[i]->Call({{"command", "start"},
                      {"size", ToJson(settings_.size)},
                      {"endpoints", endpoints},
                      {"numbers", json::value_from(shares[i])},
                      {"per_second", per_second * share}});
  }
}

StartResult Trial::AwaitReady(const std::vector<std::size_t>& numbers, const Marked& before,
                              steady_clock::time_point began) {
  StartResult result;
  const auto due = began + settings_.ready_timeout;
  std::vector<json::object> status;
  do {
    std::this_thread::sleep_for(kPoll);
    status = HollowStatus();
  } while (Sum(status, "ready") < Sum(status, "proxies") && steady_clock::now() < due);
  const Usage usage = Since(before);
  std::vector<double> times;
  for (const json::object& answer :
       CallAll(hollow_, {{"command", "ready_times"}, {"numbers", json::value_from(numbers)}})) {
    for (const double ms : DoublesIn(answer, "times")) times.push_back(ms);
  }
  result.ready = times.size();
  result.all_ms = SecondsSince(began) * 1e3;
  result.each_ms = Summarize(times);
  result.lists = static_cast<std::uint64_t>(Sum(status, "lists"));
  const auto count = static_cast<double>(numbers.size());
  result.received_per_proxy = usage.proxies_received / count;
  result.proxies_cpu_ms = usage.proxies_cpu_ms / count;
  result.source_cpu_ms = usage.source_cpu_ms;
  result.source_sent = usage.source_sent;
  result.calls = usage.calls;
  result.opened = usage.opened;
  if (result.ready < numbers.size()) {
    for (const json::object& one : status) {
      if (!TextAt(one, "trouble").empty()) std::printf("  trouble: %s\n", TextAt(one, "trouble").c_str());
    }
  }
  checks_->Expect(result.ready == numbers.size(),
                  settings_.name + ": " + std::to_string(numbers.size() - result.ready) + " of " +
                      std::to_string(numbers.size()) + " proxies are not ready in time");
  checks_->Expect(result.each_ms.worst <= static_cast<double>(kReadyBound.count()),
                  settings_.name + ": a proxy was ready later than 10 s after its start");
  return result;
}

StartResult Trial::Start() {
  const Size& size = settings_.size;
  const std::vector<json::object> prepared = Prepare();
  std::vector<std::size_t> numbers(size.proxies);
  std::iota(numbers.begin(), numbers.end(), 0);
  const double per_second =
      settings_.start_per_second > 0
          ? settings_.start_per_second
          : std::min(kMostStarts, kStartEntries / static_cast<double>(size.backends_per_proxy()));
  const Marked before = Mark();
  const auto began = steady_clock::now();
  StartProxies(numbers, per_second);
  StartResult result = AwaitReady(numbers, before, began);
  Forget();
  MeasureMemory(prepared, &result);
  return result;
}

std::vector<json::object> Trial::Prepare() {
  std::vector<std::vector<std::size_t>> shares(hollow_.size());
  for (std::size_t i = 0; i < settings_.size.proxies; ++i) shares[ProcessOf(i)].push_back(i);
  std::vector<json::object> prepared;
  for (std::size_t i = 0; i < hollow_.size(); ++i) {
    prepared.push_back(hollow_[i]->Call({{"command", "prepare"},
                                         {"size", ToJson(settings_.size)},
                                         {"numbers", json::value_from(shares[i])}}));
    prepared.back()["resident_kb"] = bench::ResidentMb(hollow_[i]->pid()) * 1024;
  }
  return prepared;
}

void Trial::MeasureMemory(const std::vector<json::object>& before, StartResult* result) {
  const std::vector<json::object> after = CallAll(hollow_, {{"command", "memory"}});
  const auto held_kb = [&](std::size_t i) {
    return (NumberAt(after[i], "heap") - NumberAt(before[i], "heap") - NumberAt(after[i], "rig_bytes")) /
           1024;
  };
  double plain_kb = 0, resident_kb = 0;
  for (std::size_t i = 0; i < settings_.processes; ++i) {
    plain_kb += held_kb(i);
    resident_kb += bench::ResidentMb(hollow_[i]->pid()) * 1024 - NumberAt(before[i], "resident_kb");
  }
  const auto plain = static_cast<double>(settings_.size.proxies - settings_.size.ledgers);
  result->memory_per_proxy_kb = plain_kb / plain;
  result->resident_per_proxy_kb = resident_kb / plain;
  if (settings_.size.ledgers == 0) return;
  result->memory_per_ledger_kb = held_kb(settings_.processes) / static_cast<double>(settings_.size.ledgers) -
                                 result->memory_per_proxy_kb;
}

Usage Trial::Idle(milliseconds time) {
  const Marked before = Mark();
  std::this_thread::sleep_for(time);
  return Since(before);
}

void Trial::Forget() { CallAll(hollow_, {{"command", "forget"}}); }

// Of a service that some proxy follows.
std::size_t Trial::BackendToWrite() {
  const Size& size = settings_.size;
  random_ = random_ * 6364136223846793005u + 1442695040888963407u;
  const std::uint64_t number = random_ >> 33;
  if (size.flat()) return number % size.backends;
  const std::vector<std::size_t> services = ServicesOf(size, number % size.proxies);
  const std::size_t service = services[number / size.proxies % services.size()];
  const std::size_t in_service = (size.backends - service + size.services - 1) / size.services;
  return service + size.services * (number / 7 % in_service);
}

SpreadResult Trial::AwaitInForce(const json::array& writes, bool last) {
  SpreadResult result;
  result.writes = writes.size();
  const auto due = steady_clock::now() + kInForceTimeout;
  const json::object command = {{"command", "in_force"}, {"writes", writes}, {"last", last}};
  std::vector<json::object> answers;
  do {
    std::this_thread::sleep_for(kPoll);
    answers = CallAll(hollow_, command);
  } while (Sum(answers, "missing") > 0 && steady_clock::now() < due);
  result.missing = static_cast<std::size_t>(Sum(answers, "missing"));
  std::vector<double> all, lasts(last ? 1 : writes.size(), 0);
  for (const json::object& answer : answers) {
    for (const double ms : DoublesIn(answer, "times")) all.push_back(ms);
    const std::vector<double> worst = DoublesIn(answer, "worst");
    for (std::size_t i = 0; i < worst.size(); ++i) lasts[i] = std::max(lasts[i], worst[i]);
  }
  result.in_force_ms = Summarize(all);
  result.last_ms = Summarize(lasts);
  for (const json::object& one : HollowStatus())
    result.loop_late_ms = std::max(result.loop_late_ms, NumberAt(one, "loop_late_ms"));
  checks_->Expect(result.missing == 0, settings_.name + ": " + std::to_string(result.missing) +
                                           " times a write was not in force at a proxy in time");
  return result;
}

// A bound of the product, beyond what the rig's own processes were late.
void Trial::ExpectWithin(milliseconds bound, const SpreadResult& result, const std::string& otherwise) {
  const double rig_ms = result.loop_late_ms + result.publish_ms.worst;
  checks_->Expect(result.last_ms.worst <= static_cast<double>(bound.count()) + rig_ms,
                  settings_.name + ": " + otherwise + " (the rig itself was late by " +
                      std::to_string(static_cast<int>(rig_ms)) + " ms)");
}

SpreadResult Trial::Write(std::size_t count, const std::string& kind, milliseconds every) {
  Forget();
  std::vector<std::size_t> backends;
  for (std::size_t i = 0; i < count; ++i) backends.push_back(BackendToWrite());
  const Marked before = Mark();
  const json::object written = source_->Call({{"command", "write"},
                                              {"backends", json::value_from(backends)},
                                              {"kind", kind},
                                              {"every_ms", every.count()}});
  const Usage usage = Since(before);
  SpreadResult result = AwaitInForce(written.at("writes").as_array(), false);
  result.usage = usage;
  result.opened = Since(before).opened;
  result.publish_ms = Summarize(DoublesIn(written, "publish_ms"));
  ExpectWithin(kChangeBound, result, "a write was in force later than 5 s at a proxy");
  if (kind == "drain") {
    ExpectWithin(kDrainBound, result, "a drain was in force later than 500 ms at a proxy");
  }
  return result;
}

SpreadResult Trial::Zone(std::size_t zone, bool gone) {
  Forget();
  const Marked before = Mark();
  const json::object written = source_->Call({{"command", "zone"}, {"zone", zone}, {"gone", gone}});
  SpreadResult result = AwaitInForce(written.at("writes").as_array(), true);
  result.usage = Since(before);
  result.opened = result.usage.opened;
  result.writes = written.at("backends").to_number<std::size_t>();
  result.publish_ms = Summarize({NumberAt(written, "publish_ms")});
  ExpectWithin(kChangeBound, result, "a zone's change was in force later than 5 s at a proxy");
  return result;
}

StartResult Trial::RestartTenth(SpreadResult* drain) {
  std::vector<std::size_t> numbers;
  for (std::size_t i = 0; i < settings_.size.proxies; i += kTenth) numbers.push_back(i);
  CallAll(hollow_, {{"command", "stop"}, {"numbers", json::value_from(numbers)}});
  std::this_thread::sleep_for(milliseconds(300));  // until the source has seen them go
  Forget();
  const Marked before = Mark();
  const auto began = steady_clock::now();
  StartProxies(numbers, kAtOnce);
  const json::object written = source_->Call({{"command", "write"},
                                              {"backends", json::array{BackendToWrite()}},
                                              {"kind", "drain"},
                                              {"every_ms", 0}});
  StartResult result = AwaitReady(numbers, before, began);
  *drain = AwaitInForce(written.at("writes").as_array(), false);
  ExpectWithin(kDrainBound, *drain, "a drain was later than 500 ms at a proxy while others started");
  return result;
}

void Trial::Silence(std::size_t endpoint, bool silent) {
  if (relays_) return relays_->Stop(endpoint, silent);
  source_->Call({{"command", "silence"}, {"member", endpoint}, {"silent", silent}});
}

SpreadResult Trial::CutEndpoint() {
  Silence(0, true);
  SpreadResult result = Write(1, "drain", milliseconds(0));
  Silence(0, false);
  return result;
}

void Trial::AddSlowReaders(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i)
    hollow_[0]->Call({{"command", "slow_reader"},
                      {"endpoint", endpoints_[i % endpoints_.size()]},
                      {"prefix", WholePrefix(settings_.size)}});
}

std::size_t Trial::Check() {
  const auto due = steady_clock::now() + settings_.check_timeout;
  std::size_t differ = 0, ledgers_differ = 0;
  std::string first;
  do {
    const json::object source = source_->Call({{"command", "digests"}});
    const std::vector<json::object> answers =
        CallAll(hollow_, {{"command", "check"}, {"digests", source.at("digests")}});
    differ = static_cast<std::size_t>(Sum(answers, "differ"));
    ledgers_differ = static_cast<std::size_t>(Sum(answers, "ledgers_differ"));
    for (const json::object& answer : answers) {
      if (!TextAt(answer, "first").empty()) first = TextAt(answer, "first");
    }
    if (differ + ledgers_differ == 0) break;
    std::this_thread::sleep_for(4 * kPoll);
  } while (steady_clock::now() < due);
  checks_->Expect(differ == 0, settings_.name + ": " + std::to_string(differ) +
                                   " proxies end with another state than the source's: " + first);
  checks_->Expect(ledgers_differ == 0, settings_.name + ": " + std::to_string(ledgers_differ) +
                                           " ledgers end with another state than the source's");
  return differ + ledgers_differ;
}

json::object Trial::SourceSpeed() { return source_->Call({{"command", "speed"}}); }

double Trial::relays_memory_mb() const {
  double sum = 0;
  if (relays_) {
    for (const pid_t pid : relays_->pids()) sum += bench::ResidentMb(pid);
  }
  return sum;
}

std::uint64_t Trial::source_revision() {
  return source_->Call({{"command", "status"}}).at("revision").to_number<std::uint64_t>();
}

}  // namespace badgerbridge::scale
