// SPDX-License-Identifier: Apache-2.0
//
// Runs the proxy with the settings of different customers. Requests of all their classes go through backends
// that answer, reset, reject or don't respond. Each request must get one answer in time, and requests that
// must not run twice must not.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "proxy/proxy_fixture.h"

namespace badgerbridge::proxy::testing {
namespace {

constexpr int kBackends = 4;
constexpr int kBackendsInCell = 2;
constexpr int kRequests = 30;
constexpr int kMaxAttempts = 4;  // higher settings don't raise it

struct Customer {
  const char* name;
  std::string classes;  // JSON objects
  int attempts = kMaxAttempts;
  std::string tenants = {};  // JSON objects
  const char* zones = R"(["port louis","ebene"])";
  int memory_mb = 192;
};

std::string ClassJson(const std::string& name, const std::string& effect, const std::string& group,
                      int window_ms, int deadline_ms) {
  return R"({"name":")" + name + R"(","effect":")" + effect + R"(","group":")" + group + R"(","windowMs":)" +
         std::to_string(window_ms) + R"(,"goalTimeMs":)" + std::to_string(deadline_ms / 2) +
         R"(,"deadlineMs":)" + std::to_string(deadline_ms) + R"(,"worth":1.0})";
}

std::string ManyTenants() {
  constexpr int kTenants = 200;
  std::string tenants;
  for (int i = 0; i < kTenants; ++i) {
    if (i > 0) tenants += ",";
    tenants += R"({"name":"t)" + std::to_string(i) + R"(","quotaPerS":1,"fraction":0.005})";
  }
  return tenants;
}

std::vector<Customer> Customers() {
  const std::string idempotent = ClassJson("look", "read_like", "all", 0, 300);
  const std::string keyed = ClassJson("stamp", "idempotency_key", "cell", 200, 300);
  const std::string not_idempotent = ClassJson("pay", "non_idempotent", "all", 0, 300);
  const std::string all = idempotent + "," + keyed + "," + not_idempotent;
  return {
      {"one class, idempotent", idempotent},
      {"one class, not idempotent", not_idempotent},
      {"one class, keyed, no window", ClassJson("stamp", "idempotency_key", "cell", 0, 300)},
      {"keyed, a window under the connect time", ClassJson("stamp", "idempotency_key", "zone", 50, 300)},
      {"all keyed", keyed + "," + ClassJson("seal", "idempotency_key", "all", 1000, 400)},
      {"a deadline of 100 ms", ClassJson("look", "read_like", "all", 0, 100) + "," +
                                   ClassJson("pay", "non_idempotent", "all", 0, 100)},
      {"retries forbidden", all, 1},
      {"nine attempts", all, 9},
      {"many tenants", idempotent + "," + not_idempotent, 4, ManyTenants()},
      {"one zone, which backends are not in", idempotent + "," + keyed, 4, "", R"(["moka"])"},
      {"no zones", idempotent, 4, "", "[]"},
      {"32 MB", all, 4, "", R"(["ebene"])", 32},
  };
}

// Replaces the part of `text` between `from` and `until`.
void Set(std::string& text, const std::string& from, const std::string& until, const std::string& value) {
  const std::size_t begin = text.find(from) + from.size();
  text.replace(begin, text.find(until, begin) - begin, value);
}

Config ConfigOf(const Customer& customer, const std::vector<std::string>& known) {
  std::string text = ConfigJson(known, 1024, "[" + customer.tenants + "]");
  Set(text, "\"classes\":[", "],\n\"permissions\"", customer.classes);
  Set(text, "\"maxAttempts\":", ",", std::to_string(customer.attempts));
  Set(text, "\"zones\":", ",\"kinds\"", customer.zones);
  Set(text, "\"memory_mb\":", ",", std::to_string(customer.memory_mb));
  return ParseConfig(text, [](const char*) { return nullptr; });
}

// Sends requests of all classes of one customer and counts their runs at the backends. Each instance has its
// own io_context, so that remaining handlers don't run during the next customer's test.
class CustomerRun {
 public:
  explicit CustomerRun(const Customer& customer) : customer_(customer) {
    std::vector<std::string> known;
    for (int i = 0; i < kBackends; ++i) {
      backends_.push_back(std::make_unique<Peer>(io_, [this, i](Wire& wire) { Serve(i, wire); }));
      known.push_back(EndpointJson("s-" + std::to_string(i), backends_.back()->address(), "Ready",
                                   1 + i / kBackendsInCell));
    }
    config_ = ConfigOf(customer, known);
    node_ = std::make_unique<Node>(io_, config_);
  }

  void Run() {
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "r" + std::to_string(i);
      clients_.emplace_back(id, node_->Connect());
      clients_.back().second->Send(RequestOf(i, id));
      RunReady(io_);
    }
    for (const auto& [id, client] : clients_) {
      ASSERT_TRUE(RunUntil(io_, [&] { return client->in.find("\r\n\r\n") != std::string::npos; })) << id;
      CheckAnswer(id, client->in);
    }
    EXPECT_EQ(node_->proxy.open_requests(), 0u);
  }

 private:
  void Serve(int backend, Wire& wire) {
    const std::string& request = backends_[static_cast<std::size_t>(backend)]->requests.back();
    const std::size_t at = request.find("X-Correlation-Id: ") + 18;
    const std::string id = request.substr(at, request.find("\r\n", at) - at);
    const int step = served_++ % 5;
    if (step == 1) return wire.Send(Reply(503, "", "X-Unprocessed: 1\r\n"));
    cells_[id].insert(backend / kBackendsInCell);
    ++runs_[id];
    if (step == 2) return wire.Reset();
    if (step == 4) return;  // no response
    wire.Send(Reply(200, id));
  }

  std::string RequestOf(int number, const std::string& id) const {
    const std::size_t index = static_cast<std::size_t>(number) % config_.classes.size();
    const ClassSettings& settings = config_.settings.classes[index];
    const std::string& name = config_.classes[index];
    const bool is_get = settings.idempotency == Idempotency::kIdempotent;
    std::string request =
        std::string(is_get ? "GET /" : "POST /") + name +
        "?obj=9 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + name +
        "\r\nX-Time-Left-Ms: " + std::to_string(static_cast<int>(settings.deadline.count())) + "\r\n";
    if (settings.idempotency == Idempotency::kIdempotencyKey) request += "Idempotency-Key: k" + id + "\r\n";
    if (!customer_.tenants.empty()) request += "X-Account: t" + std::to_string(number) + "\r\n";
    return request + (is_get ? "\r\n" : "Content-Length: 3\r\n\r\nEND");
  }

  void CheckAnswer(const std::string& id, const std::string& answer) {
    EXPECT_EQ(CountOf(answer, "HTTP/1.1 "), 1) << answer;
    EXPECT_TRUE(IsServed(answer) || IsFailed(answer) || IsRejected(answer)) << answer;
    const std::size_t index = std::stoul(id.substr(1)) % config_.classes.size();
    const ClassSettings& settings = config_.settings.classes[index];
    const bool is_keyed = settings.idempotency == Idempotency::kIdempotencyKey;
    EXPECT_LE(runs_[id], std::min(kMaxAttempts, customer_.attempts));
    if (settings.idempotency == Idempotency::kNotIdempotent) {
      EXPECT_LE(runs_[id], 1);
    }
    if (is_keyed && settings.deduplication_scope == balancer::DeduplicationScope::kCell) {
      EXPECT_LE(cells_[id].size(), 1u);
    }
    if (is_keyed && settings.deduplication_window == Duration(0)) {
      EXPECT_LE(runs_[id], 1) << "without a deduplication_window no backend deduplicates it";
    }
    if (IsRejected(answer) && settings.idempotency == Idempotency::kNotIdempotent) {
      EXPECT_EQ(runs_[id], 0);
    }
  }

  const Customer& customer_;
  asio::io_context io_;
  std::vector<std::unique_ptr<Peer>> backends_;
  Config config_;
  std::unique_ptr<Node> node_;
  std::vector<std::pair<std::string, std::shared_ptr<Wire>>> clients_;  // by id
  std::map<std::string, std::set<int>> cells_;                          // cells in which a request ran, by id
  std::map<std::string, int> runs_;                                     // number of runs of a request, by id
  int served_ = 0;
};

TEST(CustomerSettingsTest, TheGuaranteesHoldWithOtherCustomersSettings) {
  for (const Customer& customer : Customers()) {
    SCOPED_TRACE(customer.name);
    CustomerRun(customer).Run();
  }
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
