// SPDX-License-Identifier: Apache-2.0
//
// Bad clients send much at once and go. The proxy has to stay within its memory: the platform kills it over
// that.
#include "stand.h"

namespace {

using namespace stand;

constexpr int kMemoryMb = 64;
constexpr int kSockets = 512;
constexpr int kBadClients = 300;
constexpr std::size_t kHeaderBytes = 16300;   // of their requests
constexpr std::size_t kBodyBytes = 63 << 10;  // a body may hold 64 KiB
constexpr double kStayMs = 1500;              // until they go

// The platform's look at the memory that no other process shares and no file backs, in kB.
double MemoryOf(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.compare(0, 8, "RssAnon:") == 0) return std::atof(line.c_str() + 8);
  }
  return 0;
}

// A request whose header holds as many lines as fit, and whose last bytes never come.
std::string BadRequest() {
  std::string text = "POST /certify?obj=1 HTTP/1.1\r\nHost: backend.local\r\nX-Service-Class: certify\r\n";
  text += "Content-Length: " + std::to_string(64 << 10) + "\r\n";
  while (text.size() < kHeaderBytes) text += "a:\r\n";
  return text + "\r\n" + std::string(kBodyBytes, 'd');
}

void SendBadRequests(int port, Record* record) {
  const std::string request = BadRequest();
  std::vector<Socket> sockets;
  for (int client = 0; client < kBadClients; ++client) {
    sockets.push_back(Connect(port));
    if (!sockets.back().ok()) return;
    ::fcntl(sockets.back().get(), F_SETFL, ::fcntl(sockets.back().get(), F_GETFL) | O_NONBLOCK);
  }
  record->Add("bad clients: " + std::to_string(kBadClients) + " connected, each sends " +
              std::to_string(request.size()) + " bytes");
  std::vector<std::size_t> sent(sockets.size(), 0);
  for (const double until = Now() + kStayMs; Now() < until; SleepMs(1)) {
    for (std::size_t client = 0; client < sockets.size(); ++client) {
      const ssize_t bytes = ::send(sockets[client].get(), request.data() + sent[client],
                                   request.size() - sent[client], MSG_NOSIGNAL);
      if (bytes > 0) sent[client] += static_cast<std::size_t>(bytes);
    }
  }
  const auto whole = std::count(sent.begin(), sent.end(), request.size());
  record->Add("bad clients: " + std::to_string(whole) + " have sent all, and go");
}

void Play(Record* record, const std::string& temporary) {
  std::vector<std::unique_ptr<Server>> backends;
  std::vector<Endpoint> endpoints;
  for (int number = 1; number <= 3; ++number) {
    const std::string name = "s-" + std::to_string(number);
    backends.push_back(std::make_unique<Server>([](Socket socket) {
      Reader reader(socket);
      Message request;
      while (reader.Next(Now() + 120000, &request) == ReadEnd::kWhole) {
        SleepMs(15);
        if (!SendAll(socket, Answer("200 OK", "made for " + request.Header("X-Correlation-Id")))) return;
      }
    }));
    endpoints.push_back({name, backends.back()->port()});
  }
  Discovery discovery(record, endpoints);
  Deployment deployment;
  deployment.memory_mb = kMemoryMb;
  deployment.sockets = kSockets;
  Proxy proxy(temporary, "n1");
  proxy.WriteConfig(deployment, discovery.port(), discovery.Snapshot());
  if (!proxy.Start(discovery.port())) Finish(record, kCannotRun);

  std::atomic<bool> ends = false, killed = false;
  std::atomic<int> served = 0, other = 0;
  std::thread platform([&] {
    double most = 0;
    for (; !ends; SleepMs(2)) {
      most = std::max(most, MemoryOf(proxy.pid()));
      if (most <= kMemoryMb * 1024 || killed) continue;
      killed = true;
      proxy.Signal(SIGKILL);
      record->Say("platform: " + std::to_string(static_cast<int>(most)) + " kB in use where " +
                  std::to_string(kMemoryMb * 1024) + " are allowed: killed");
    }
    record->Say("platform: at most " + std::to_string(static_cast<int>(most)) + " kB were in use");
  });
  std::vector<std::thread> clients;
  for (int client = 0; client < 4; ++client) {
    clients.emplace_back([&, client] {
      Socket socket = Connect(proxy.port());
      auto reader = std::make_unique<Reader>(socket);
      for (int number = 0; !ends; ++number) {
        const std::string id = "c" + std::to_string(client) + "n" + std::to_string(number);
        Message answer;
        const bool whole = SendAll(socket, Request("preview", "safe", id, 2000)) &&
                           reader->Next(Now() + 2550, &answer) == ReadEnd::kWhole;
        record->Add("client: " + (whole ? std::to_string(answer.Status()) : "no answer") + " to " + id);
        ++(whole && answer.Status() == 200 ? served : other);
        if (!whole || answer.Header("Connection") == "close") {
          socket = Connect(proxy.port());
          reader = std::make_unique<Reader>(socket);
        }
        SleepMs(50);
      }
    });
  }
  SleepMs(3000);
  if (HasTrouble()) SendBadRequests(proxy.port(), record);
  SleepMs(4000);
  ends = true;
  for (std::thread& client : clients) client.join();
  platform.join();
  record->Say("served: " + std::to_string(served) +
              ", refused, failed or without an answer: " + std::to_string(other));
  if (served < 50) Finish(record, kCannotRun);
  Finish(record, killed || !proxy.Runs() ? kBroken : kHeld);
}

}  // namespace

int main(int count, char** arguments) { return stand::Main(count, arguments, Play); }
