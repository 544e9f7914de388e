// SPDX-License-Identifier: Apache-2.0
//
// Bad clients send much at once and go. Whether the proxy stays within its memory, over which the platform
// kills it, and goes on answering the other clients.
#include <filesystem>

#include "kit.h"

namespace {

using namespace review;

constexpr double kServiceMs = 15;
constexpr int kMemoryMb = 48;
constexpr int kDescriptors = 512;
constexpr int kBadClients = 360;
constexpr int kRequestsAtOnce = 3;             // of a bad client
constexpr std::size_t kBodyBytes = 63 * 1024;  // of each, and of its answer: 64 KiB at most
constexpr double kStayMs = 1500;               // until a bad client goes
constexpr int kClients = 3;                    // well-behaved ones
constexpr double kPlayMs = 9000;
constexpr double kBadAtMs = 3000;

// A figure of /proc/PID/status in kB; -1 if there is none.
long MemoryKb(pid_t pid, const char* name) {
  FILE* file = std::fopen(("/proc/" + std::to_string(pid) + "/status").c_str(), "r");
  if (!file) return -1;
  char line[256];
  long found = -1;
  while (std::fgets(line, sizeof line, file)) {
    if (std::strncmp(line, name, std::strlen(name)) == 0) found = std::atol(line + std::strlen(name));
  }
  std::fclose(file);
  return found;
}

int CountDescriptors(pid_t pid) {
  int count = 0;
  std::error_code error;
  for (auto at = std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error);
       !error && at != std::filesystem::directory_iterator(); at.increment(error))
    ++count;
  return count;
}

// The platform: kills the proxy over its memory. Counts only what no other process shares and no file backs.
struct Platform {
  void Watch() {
    while (!stop) {
      const pid_t pid = running_proxy;
      const long kb = pid > 0 ? MemoryKb(pid, "RssAnon:") : -1;
      if (kb > peak_kb) {
        peak_kb = kb;
        Record::Get().Line("platform: the proxy has %ld kB of %d MB, %d descriptors", kb, kMemoryMb,
                           CountDescriptors(pid));
      }
      if (kb > kMemoryMb * 1024L) {
        Say("platform: the proxy is over its memory, with %ld kB of %d MB and %d of %d descriptors: killed",
            kb, kMemoryMb, CountDescriptors(pid), kDescriptors);
        killed = true;
        kill(pid, SIGKILL);
        return;
      }
      SleepMs(2);
    }
  }

  std::atomic<bool> stop{false};
  std::atomic<bool> killed{false};
  std::atomic<long> peak_kb{0};
};

void SendMuchAndGo(int port, int number) {
  const auto socket = Socket::Connect(port);
  if (!socket) return;
  std::string text;
  for (int i = 0; i < kRequestsAtOnce; ++i) {
    Request request;
    request.kind = Class::kConvert;
    request.id = "bad" + std::to_string(number) + "-" + std::to_string(i);
    request.body = std::string(kBodyBytes, 'x');
    text += request.Text();
  }
  std::thread writer([&] { socket->Write(text); });
  SleepMs(kStayMs);
  socket->Interrupt();
  writer.join();
}

struct Tally {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> other{0};
  std::atomic<int> unanswered{0};
};

void Play(const Proxy& proxy, int number, double until, Tally& tally) {
  Client client(proxy.port());
  for (int turn = 0; NowMs() < until; ++turn) {
    Request request;
    request.id = "r" + std::to_string(number) + "-" + std::to_string(turn);
    request.time_left_ms = 1000;
    ++tally.sent;
    const Answer answer = client.Call(request, 3000);
    Record::Get().Line("client: %s answered %d", request.id.c_str(), answer.status);
    ++(answer.status == 200 ? tally.served : answer.status != 0 ? tally.other : tally.unanswered);
    SleepMs(50);
  }
}

int Run(const std::string& folder) {
  const auto serve = [](const std::shared_ptr<Socket>& socket) {
    Message request;
    while (socket->ReadMessage(&request, 60000) == Read::kMessage) {
      const std::string id = request.Header("X-Correlation-Id");
      SleepMs(kServiceMs);
      Record::Get().Line("backend: ran %s", id.c_str());
      // A converted document is as long as the upload; a preview is short.
      if (!socket->Write(OkAnswer("document " + id + request.body))) return;
    }
  };
  std::vector<std::unique_ptr<Server>> backends;
  Discovery discovery;
  for (int i = 1; i <= 3; ++i) {
    backends.push_back(std::make_unique<Server>(serve));
    discovery.Set({.name = "c" + std::to_string(i), .port = backends.back()->port()});
  }
  Proxy proxy(folder, discovery.port());
  proxy.WriteConfig(discovery.WholeList(), Settings(), kMemoryMb, kDescriptors);
  if (!proxy.Start()) return kCannotRun;
  Platform platform;
  std::thread watch([&] { platform.Watch(); });
  Tally tally;
  const double begin = NowMs();
  std::vector<std::thread> threads;
  for (int number = 0; number < kClients; ++number)
    threads.emplace_back([&, number] { Play(proxy, number, begin + kPlayMs, tally); });
  SleepMs(kBadAtMs);
  if (Trouble()) {
    Record::Get().Line("%d bad clients send %d requests each at once", kBadClients, kRequestsAtOnce);
    for (int i = 0; i < kBadClients; ++i) threads.emplace_back([&, i] { SendMuchAndGo(proxy.port(), i); });
  }
  for (std::thread& thread : threads) thread.join();
  platform.stop = true;
  watch.join();
  const bool runs = proxy.Runs();
  Say("most memory %ld kB of %d MB; proxy %s", platform.peak_kb.load(), kMemoryMb,
      platform.killed ? "killed"
      : runs          ? "runs"
                      : "ended by itself");
  Say("well-behaved clients: sent %d, served %d, answered otherwise %d, no answer %d", tally.sent.load(),
      tally.served.load(), tally.other.load(), tally.unanswered.load());
  if (runs) proxy.Kill(SIGTERM);
  if (tally.served == 0) return kCannotRun;
  return platform.killed || !runs ? kBroken : kHeld;
}

}  // namespace

int main(int count, char** arguments) { return Main(count, arguments, Run); }
