// SPDX-License-Identifier: Apache-2.0
//
// Backends turn some requests away, and that answer comes twice, the second time a few milliseconds late. No
// request that must not run twice may run twice, and each client has to get the answer that a backend made
// for its own request.
#include "stand.h"

namespace {

using namespace stand;

constexpr int kClients = 6;
constexpr int kBackends = 2;
constexpr double kPlayMs = 15000;
constexpr int kOneIn = 25;        // requests of which one is turned away
constexpr double kSecondMs = 4;   // how much later the second answer comes
constexpr double kServiceMs = 8;  // of one request

class Ledger {
 public:
  // Whether this is a request that is to be turned away.
  bool TurnsAway() { return ++requests_ % kOneIn == 0; }
  int Run(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int runs = ++runs_[id];
    twice_ += runs == 2;
    return runs;
  }
  int twice() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return twice_;
  }

 private:
  std::atomic<int> requests_ = 0;
  std::mutex mutex_;
  std::map<std::string, int> runs_;  // by id
  int twice_ = 0;
};

void Serve(const Socket& socket, const std::string& name, Ledger* ledger, Record* record) {
  const std::string turned_away = Answer("503 Service Unavailable", "", "X-Unprocessed: 1\r\n");
  Reader reader(socket);
  Message request;
  while (reader.Next(Now() + 120000, &request) == ReadEnd::kWhole) {
    const std::string id = request.Header("X-Correlation-Id");
    if (ledger->TurnsAway()) {
      record->Add(name + " turns " + id + " away");
      if (!SendAll(socket, turned_away)) return;
      if (!HasTrouble()) continue;
      SleepMs(kSecondMs);
      if (!SendAll(socket, turned_away)) return;
      record->Add(name + " wrote the second answer to " + id);
      continue;
    }
    const int runs = ledger->Run(id);
    record->Add(name + " runs " + id);
    if (runs > 1) record->Say(name + " runs " + id + " for the second time");
    SleepMs(kServiceMs);
    if (!SendAll(socket, Answer("200 OK", "made for " + id))) return;
  }
}

void Play(Record* record, const std::string& temporary) {
  Ledger ledger;
  std::vector<std::unique_ptr<Server>> backends;
  std::vector<Endpoint> endpoints;
  for (int number = 1; number <= kBackends; ++number) {
    const std::string name = "s-" + std::to_string(number);
    backends.push_back(std::make_unique<Server>(
        [&ledger, name, record](Socket socket) { Serve(socket, name, &ledger, record); }));
    endpoints.push_back({name, backends.back()->port()});
  }
  Discovery discovery(record, endpoints);
  Proxy proxy(temporary, "n1");
  proxy.WriteConfig({}, discovery.port(), discovery.Snapshot());
  if (!proxy.Start(discovery.port())) Finish(record, kCannotRun);

  std::atomic<int> own = 0, foreign = 0, other = 0;
  std::vector<std::thread> clients;
  const double end = Now() + kPlayMs;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      Socket socket = Connect(proxy.port());
      auto reader = std::make_unique<Reader>(socket);
      for (int number = 0; Now() < end; ++number) {
        const std::string id = "c" + std::to_string(client) + "n" + std::to_string(number);
        Message answer;
        const bool whole = SendAll(socket, Request("certify", "unsafe", id, 1000, "copy")) &&
                           reader->Next(Now() + 2000, &answer) == ReadEnd::kWhole;
        if (whole && answer.Status() == 200 && answer.body != "made for " + id) {
          ++foreign;
          record->Say("client: 200 to " + id + " with the body '" + answer.body + "'");
        } else {
          ++(whole && answer.Status() == 200 ? own : other);
          record->Add("client: " + (whole ? std::to_string(answer.Status()) : "no answer") + " to " + id);
        }
        if (!whole || answer.Header("Connection") == "close") {
          socket = Connect(proxy.port());
          reader = std::make_unique<Reader>(socket);
        }
      }
    });
  }
  for (std::thread& client : clients) client.join();
  record->Say("requests run twice: " + std::to_string(ledger.twice()) + ", served with the own body: " +
              std::to_string(own) + ", with a foreign one: " + std::to_string(foreign) +
              ", refused, failed or without an answer: " + std::to_string(other));
  if (own < 100) Finish(record, kCannotRun);
  Finish(record, ledger.twice() > 0 || foreign > 0 ? kBroken : kHeld);
}

}  // namespace

int main(int count, char** arguments) { return stand::Main(count, arguments, Play); }
