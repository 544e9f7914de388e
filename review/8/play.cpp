// SPDX-License-Identifier: Apache-2.0
//
// Five proxies ask one discovery, which works through calls in turn, while backends begin to drain one after
// another. Nothing new may go to such a backend later than the grace after the change counts as told to the
// proxy.
#include "stand.h"

namespace {

using namespace stand;

constexpr int kProxies = 5;
constexpr int kBackends = 15;
constexpr int kDrains = 6;
constexpr double kAllCallMs = 8000;    // in which discovery can take one call of every proxy: 2 to 8 s
constexpr double kBetweenMs = 13000;   // between two drains
constexpr double kToldMs = 6000;       // a change counts as told by then
constexpr double kGraceMs = 500 + 50;  // rules.drainGraceMs, and 50 ms on sockets

struct Begun {
  double at = 0;
  std::string backend, id;
};

void Play(Record* record, const std::string& temporary) {
  std::mutex mutex;
  std::vector<Begun> begun;
  std::vector<std::unique_ptr<Server>> backends;
  std::vector<Endpoint> endpoints;
  for (int number = 1; number <= kBackends; ++number) {
    const std::string name = "s-" + std::to_string(number);
    backends.push_back(std::make_unique<Server>([&, name](Socket socket) {
      Reader reader(socket);
      Message request;
      for (;;) {
        if (!AwaitReadable(socket, 120000)) return;
        const double at = Now();
        if (reader.Next(Now() + 120000, &request) != ReadEnd::kWhole) return;
        const std::string id = request.Header("X-Correlation-Id");
        {
          const std::lock_guard<std::mutex> lock(mutex);
          begun.push_back({at, name, id});
        }
        SleepMs(10);
        if (!SendAll(socket, Answer("200 OK", "made for " + id))) return;
      }
    }));
    endpoints.push_back({name, backends.back()->port()});
  }
  Discovery discovery(record, endpoints);
  discovery.SetTurn(HasTrouble() ? kAllCallMs / kProxies : 5);
  Deployment deployment;
  deployment.asks_discovery = true;
  deployment.proxies = kProxies;
  std::vector<std::unique_ptr<Proxy>> proxies;
  for (int number = 1; number <= kProxies; ++number) {
    const std::string name = "n" + std::to_string(number);
    const int address = number == 1 ? discovery.port() : discovery.AddAddress(name);
    proxies.push_back(std::make_unique<Proxy>(temporary, name));
    proxies.back()->WriteConfig(deployment, address, discovery.Snapshot());
    if (!proxies.back()->Start(address)) Finish(record, kCannotRun);
  }
  std::atomic<bool> ends = false;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int proxy = 0; proxy < kProxies; ++proxy) {
    for (int client = 0; client < 2; ++client) {
      clients.emplace_back([&, proxy, client] {
        Socket socket = Connect(proxies[static_cast<std::size_t>(proxy)]->port());
        Reader reader(socket);
        Message answer;
        const std::string prefix = "n" + std::to_string(proxy + 1) + "c" + std::to_string(client) + "r";
        for (int number = 0; !ends; ++number) {
          if (!SendAll(socket, Request("preview", "safe", prefix + std::to_string(number), 2000)) ||
              reader.Next(Now() + 3000, &answer) != ReadEnd::kWhole)
            return;
          served += answer.Status() == 200;
          SleepMs(10);
        }
      });
    }
  }
  SleepMs(12000);                                         // every proxy has had the time to open its watch
  std::map<std::string, std::pair<double, int>> drained;  // backend: when, and the list's version
  for (int drain = 1; drain <= kDrains; ++drain) {
    const std::string name = "s-" + std::to_string(drain);
    const double at = Now();
    const int version = discovery.Change(name, "Terminating");
    {
      const std::lock_guard<std::mutex> lock(mutex);
      drained[name] = {at, version};
    }
    record->Say("discovery: " + name + " drains, version " + std::to_string(version));
    SleepUntil(at + kBetweenMs);
  }
  ends = true;
  for (std::thread& client : clients) client.join();
  const std::lock_guard<std::mutex> lock(mutex);
  int late = 0;
  for (const auto& [name, drain] : drained) {
    for (int number = 1; number <= kProxies; ++number) {
      const std::string proxy = "n" + std::to_string(number);
      double told = discovery.ToldAt(proxy, drain.second);
      record->Add("told: " + name + " to " + proxy + ", written after " +
                  (told < 0 ? "never" : std::to_string(told - drain.first) + " ms"));
      if (told < 0 || told > drain.first + kToldMs) told = drain.first + kToldMs;
      int sent = 0;
      double last = 0;
      for (const Begun& one : begun) {
        if (one.backend != name || one.id.compare(0, proxy.size() + 1, proxy + "c") != 0) continue;
        if (one.at <= std::max(told, drain.first) + kGraceMs) continue;
        ++sent;
        last = std::max(last, one.at);
      }
      if (sent == 0) continue;
      late += sent;
      record->Say("late: " + std::to_string(sent) + " attempts of " + proxy + " at " + name + ", the last " +
                  std::to_string(static_cast<int>(last - drain.first)) + " ms after it began to drain");
    }
  }
  record->Say("served: " + std::to_string(served) +
              ", attempts begun over 550 ms after the drain counts as told: " + std::to_string(late));
  if (served < 1000) Finish(record, kCannotRun);
  Finish(record, late > 0 ? kBroken : kHeld);
}

}  // namespace

int main(int count, char** arguments) { return stand::Main(count, arguments, Play); }
