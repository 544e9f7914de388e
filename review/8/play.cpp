// SPDX-License-Identifier: Apache-2.0
//
// Some answers have no length: they end with their connection, which is closed in order. Half of those that
// come whole at least have to be forwarded.
#include "stand.h"

namespace {

using namespace stand;

constexpr int kRequests = 300;
constexpr int kOneIn = 5;  // answers of which one has no length
constexpr double kServiceMs = 5;

void Play(Record* record, const std::string& temporary) {
  std::mutex mutex;
  std::set<std::string> without_length;  // ids whose answer was written whole and has no length
  int ran = 0;
  std::vector<std::unique_ptr<Server>> backends;
  std::vector<Endpoint> endpoints;
  for (int number = 1; number <= 3; ++number) {
    const std::string name = "s-" + std::to_string(number);
    backends.push_back(std::make_unique<Server>([&, record, name](Socket socket) {
      Reader reader(socket);
      Message request;
      while (reader.Next(Now() + 120000, &request) == ReadEnd::kWhole) {
        const std::string id = request.Header("X-Correlation-Id");
        SleepMs(kServiceMs);
        bool no_length = false;
        {
          const std::lock_guard<std::mutex> lock(mutex);
          no_length = HasTrouble() && ++ran % kOneIn == 0;
        }
        record->Add(name + " ran " + id + (no_length ? ", answers without a length" : ""));
        if (!no_length) {
          if (!SendAll(socket, Answer("200 OK", "made for " + id))) return;
          continue;
        }
        if (!SendAll(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nmade for " + id)) return;
        {
          const std::lock_guard<std::mutex> lock(mutex);
          without_length.insert(id);
        }
        ::shutdown(socket.get(), SHUT_WR);
        AwaitReadable(socket, 2000);
        return;
      }
    }));
    endpoints.push_back({name, backends.back()->port()});
  }
  Discovery discovery(record, endpoints);
  Proxy proxy(temporary, "n1");
  proxy.WriteConfig({}, discovery.port(), discovery.Snapshot());
  if (!proxy.Start(discovery.port())) Finish(record, kCannotRun);

  int served = 0, forwarded = 0;
  Socket socket = Connect(proxy.port());
  auto reader = std::make_unique<Reader>(socket);
  for (int number = 0; number < kRequests; ++number) {
    const std::string id = "n" + std::to_string(number);
    Message answer;
    const bool whole = SendAll(socket, Request("certify", "unsafe", id, 1000, "copy")) &&
                       reader->Next(Now() + 2000, &answer) == ReadEnd::kWhole;
    record->Add("client: " + (whole ? std::to_string(answer.Status()) : "no answer") + " to " + id);
    const bool is_served = whole && answer.Status() == 200 && answer.body == "made for " + id;
    served += is_served;
    const std::lock_guard<std::mutex> lock(mutex);
    forwarded += is_served && without_length.count(id) > 0;
    if (!whole || answer.Header("Connection") == "close") {
      socket = Connect(proxy.port());
      reader = std::make_unique<Reader>(socket);
    }
    SleepMs(10);
  }
  const std::lock_guard<std::mutex> lock(mutex);
  const int came = static_cast<int>(without_length.size());
  record->Say("requests: " + std::to_string(kRequests) + ", served: " + std::to_string(served) +
              ", answers without a length that came whole: " + std::to_string(came) +
              ", forwarded of these: " + std::to_string(forwarded));
  if (served < kRequests / 2) Finish(record, kCannotRun);
  Finish(record, 2 * forwarded < came ? kBroken : kHeld);
}

}  // namespace

int main(int count, char** arguments) { return stand::Main(count, arguments, Play); }
