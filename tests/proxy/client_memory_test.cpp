// SPDX-License-Identifier: Apache-2.0
//
// The memory that the clients of a proxy can occupy, counted by its allocations: limits on the number of
// clients keep a proxy within its memory only if one client holds no more than kMaxBytesPerClient.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "proxy/proxy_harness.h"
#include "support/allocated_bytes.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {
namespace {

using badgerbridge::testing::AllocatedBytes;
using std::chrono::milliseconds;

constexpr std::size_t kClients = 8;
constexpr std::size_t kBodyBytes = 63 << 10;
constexpr milliseconds kRequestTimeout{2200};
// Of a client or an attempt without a request and an answer: its objects, timers and empty buffers.
constexpr std::size_t kMaxBytesWithoutMessages = 12 << 10;

std::array<char, 16384> discarded;  // what clients and backends read

// Of a client whose request is served and has no answer yet.
constexpr std::size_t kMaxAnswerBytes = 64 << 10;
constexpr std::size_t kMaxBytesWithoutAnswer =
    kMaxBytesPerClient - kMaxAnswerBytes + kMaxBytesWithoutMessages;

// A client that allocates nothing while it sends a text, and discards what it receives.
class SilentClient {
 public:
  SilentClient(asio::io_context& io, const tcp::endpoint& proxy, std::string_view text)
      : socket_(io), rest_(text) {
    socket_.connect(proxy);
    socket_.non_blocking(true);
  }

  // Sends and receives as much as possible.
  void Pump() {
    ErrorCode error;
    while (!rest_.empty() && !error) rest_.remove_prefix(socket_.write_some(asio::buffer(rest_), error));
    has_ended_ |= error && error != asio::error::would_block;
    error = {};
    while (reads && !error) received_ += socket_.read_some(asio::buffer(discarded), error);
    has_ended_ |= error && error != asio::error::would_block;
  }
  bool has_ended() const { return has_ended_; }
  bool has_sent_all() const { return rest_.empty(); }
  std::size_t received_bytes() const { return received_; }

  bool reads = true;

 private:
  tcp::socket socket_;
  std::string_view rest_;
  std::size_t received_ = 0;
  bool has_ended_ = false;
};

class ClientMemoryTest : public ::testing::Test {
 protected:
  // A proxy with one backend, for kClients clients.
  void Start(const std::string& backend) {
    Config config = TestConfig({EndpointJson("s-1", backend)});
    config.max_clients = kClients;
    node_.emplace(io_, config);
  }

  void Connect(std::string_view text) {
    clients_.push_back(std::make_unique<SilentClient>(io_, node_->listener.address(), text));
  }

  // Runs handlers until the condition holds, and records the most bytes allocated since `baseline_`. False if
  // it does not hold within 20 virtual seconds.
  template <typename Condition>
  bool RunUntil(Condition holds) {
    constexpr int kMaxSteps = 20000;
    for (int step = 0; step < kMaxSteps; ++step) {
      for (const auto& client : clients_) client->Pump();
      io_.restart();
      const bool had_handler = io_.poll_one() > 0;
      peak_bytes_ = std::max(peak_bytes_, AllocatedSinceBaseline());
      if (had_handler) continue;
      if (holds()) return true;
      clock_.Advance(milliseconds(1));
    }
    return false;
  }

  void SetBaseline() {
    baseline_ = AllocatedBytes();
    peak_bytes_ = 0;
  }
  std::size_t AllocatedSinceBaseline() const {
    const std::size_t bytes = AllocatedBytes();
    return bytes > baseline_ ? bytes - baseline_ : 0;
  }
  bool AllHaveSent() const {
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& client) { return client->has_sent_all(); });
  }
  bool AllHaveReceived(std::size_t bytes) const {
    return std::all_of(clients_.begin(), clients_.end(),
                       [bytes](const auto& client) { return client->received_bytes() >= bytes; });
  }

  badgerbridge::testing::VirtualClock clock_;
  asio::io_context io_;
  std::optional<Node> node_;
  std::vector<std::unique_ptr<SilentClient>> clients_;
  std::size_t baseline_ = 0;
  std::size_t peak_bytes_ = 0;
};

// A backend that accepts connections and requests and never responds.
class SilentBackend {
 public:
  explicit SilentBackend(asio::io_context& io)
      : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

 protected:
  tcp::acceptor acceptor_;  // the kernel accepts connections and data by itself
};

// A backend that allocates nothing while it responds to requests that arrive in one piece.
class ServingBackend : public SilentBackend {
 public:
  ServingBackend(asio::io_context& io, std::string response)
      : SilentBackend(io), io_(io), response_(std::move(response)) {
    acceptor_.non_blocking(true);
  }

  // Accepts a connection, and responds to the requests that have arrived.
  void Pump() {
    ErrorCode error;
    tcp::socket accepted(io_);
    if (!acceptor_.accept(accepted, error)) connections_.push_back(std::move(accepted));
    for (tcp::socket& connection : connections_) {
      if (connection.available() == 0) continue;
      connection.read_some(asio::buffer(discarded));
      asio::write(connection, asio::buffer(response_));
    }
  }

 private:
  asio::io_context& io_;
  std::string response_;
  std::vector<tcp::socket> connections_;
};

// Guards against memory beyond the limit: a client's further requests were parsed while its first one was
// served, so that it held more than the limit on clients allows for.
TEST_F(ClientMemoryTest, AClientThatSendsManyLargeRequestsHoldsNoMoreThanItsShare) {
  const SilentBackend backend(io_);
  Start(backend.address());
  std::vector<std::string> texts(kClients);
  for (std::size_t client = 0; client < kClients; ++client) {
    for (int request = 0; request < 3; ++request) {
      const std::string id = std::to_string(client) + "-" + std::to_string(request);
      texts[client] += Post(id, "certify", std::string(kBodyBytes, 'x'));
    }
  }
  SetBaseline();
  for (const std::string& text : texts) Connect(text);
  ASSERT_TRUE(RunUntil([&] { return AllHaveSent() && node_->proxy.open_requests() == kClients; }));
  EXPECT_LE(peak_bytes_, kClients * kMaxBytesWithoutAnswer);
  RecordProperty("bytes_per_client", static_cast<int>(peak_bytes_ / kClients));
  EXPECT_GT(peak_bytes_, kClients * kBodyBytes) << "the bodies in flight were counted";
}

// Guards against memory that is never freed: an idle connection kept the buffer of its last answer.
TEST_F(ClientMemoryTest, AnIdleClientHoldsNoMemoryOfItsLastAnswer) {
  ServingBackend backend(io_, Reply(200, std::string(kBodyBytes, 'y')));
  Start(backend.address());
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < kClients; ++i) texts.push_back(Get("idle-" + std::to_string(i)));
  SetBaseline();
  for (const std::string& text : texts) Connect(text);
  ASSERT_TRUE(RunUntil([&] {
    backend.Pump();
    return AllHaveReceived(kBodyBytes);
  }));
  RunReady(io_);
  EXPECT_EQ(node_->listener.connections(), kClients);
  EXPECT_LE(AllocatedSinceBaseline(), kClients * kMaxBytesWithoutMessages);
}

// Guards against memory beyond the limit on clients: a rejected client no longer counts as one while it
// lingers, and kept the input of its request.
TEST_F(ClientMemoryTest, ARejectedClientHoldsNoMemoryOfItsRequest) {
  const SilentBackend backend(io_);
  Start(backend.address());
  const std::string whole = Post("half", "certify", std::string(kBodyBytes, 'x'));
  const std::string half = whole.substr(0, whole.size() - 1);
  SetBaseline();
  for (std::size_t i = 0; i < kClients; ++i) Connect(half);
  ASSERT_TRUE(RunUntil([&] { return AllHaveSent(); }));
  EXPECT_GT(AllocatedSinceBaseline(), kClients * kBodyBytes);
  clock_.Advance(kRequestTimeout);
  ASSERT_TRUE(RunUntil([&] { return AllHaveReceived(1); }));
  RunReady(io_);
  EXPECT_EQ(node_->listener.connections(), kClients) << "they linger";
  EXPECT_LE(AllocatedSinceBaseline(), kClients * kMaxBytesWithoutMessages);
}

// Guards against memory beyond the limit on clients: the attempt of a client that has gone goes on, and kept
// the body of its request, which can't be sent again.
TEST_F(ClientMemoryTest, AnAttemptOfADisconnectedClientHoldsNoMemoryOfItsRequest) {
  const SilentBackend backend(io_);
  Start(backend.address());
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < kClients; ++i)
    texts.push_back(Post("gone-" + std::to_string(i), "certify", std::string(kBodyBytes, 'x')));
  SetBaseline();
  for (const std::string& text : texts) Connect(text);
  ASSERT_TRUE(RunUntil([&] { return AllHaveSent() && node_->proxy.open_requests() == kClients; }));
  EXPECT_GT(AllocatedSinceBaseline(), kClients * kBodyBytes);
  ASSERT_GT(node_->backends.open_connections(), 0u);
  clients_.clear();
  ASSERT_TRUE(RunUntil([&] { return node_->listener.connections() == 0; }));
  EXPECT_GT(node_->backends.open_connections(), 0u) << "the attempts go on";
  EXPECT_LE(AllocatedSinceBaseline(), kClients * kMaxBytesWithoutMessages);
}

// Guards against memory beyond a client's share: a body without a known length grows by doubling, and kept
// twice its size while its request was served.
TEST_F(ClientMemoryTest, AChunkedBodyHoldsNoMoreThanItsSize) {
  constexpr std::size_t kChunkBytes = 5000;  // the body does not fill a power of two of them
  const SilentBackend backend(io_);
  Start(backend.address());
  std::string chunks;
  for (std::size_t sent = 0; sent < kBodyBytes; sent += kChunkBytes)
    chunks += Chunk(std::string(std::min(kChunkBytes, kBodyBytes - sent), 'x'));
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < kClients; ++i) {
    std::string text = Post("chunked-" + std::to_string(i), "certify", "");
    const std::string length = "Content-Length: 0";
    text.replace(text.find(length), length.size(), "Transfer-Encoding: chunked");
    texts.push_back(text + chunks + "0\r\n\r\n");
  }
  SetBaseline();
  for (const std::string& text : texts) Connect(text);
  ASSERT_TRUE(RunUntil([&] { return AllHaveSent() && node_->proxy.open_requests() == kClients; }));
  EXPECT_LE(AllocatedSinceBaseline(), kClients * (kBodyBytes + kMaxBytesWithoutMessages));
}

// A request with a header of 16 KB that consists of short lines as far as they fit, and with `body`.
std::string RequestOfShortLines(const std::string& id, const std::string& line, const std::string& body) {
  constexpr std::size_t kHeaderBytes = 16300;
  std::string text = Post(id, "certify", body);
  const std::size_t header_end = text.find("\r\n\r\n") + 2;
  std::string lines;
  while (header_end + lines.size() + line.size() < kHeaderBytes) lines += line;
  return text.insert(header_end, lines);
}

// Each text is sent by a client of its own, whole but for its last byte.
class ShortFieldsTest : public ClientMemoryTest, public ::testing::WithParamInterface<const char*> {};

// Guards against a proxy killed for memory (review/6): every field of a header was an allocation of its own,
// so that a header of 16 KB in thousands of short lines took over 300 KB.
TEST_P(ShortFieldsTest, AHeaderOfManyShortFieldsHoldsNoMoreThanItsBytes) {
  const SilentBackend backend(io_);
  Start(backend.address());
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < kClients; ++i) {
    texts.push_back(
        RequestOfShortLines("fields-" + std::to_string(i), GetParam(), std::string(kBodyBytes, 'x')));
    texts.back().pop_back();
  }
  SetBaseline();
  for (const std::string& text : texts) Connect(text);
  ASSERT_TRUE(RunUntil([&] { return AllHaveSent(); }));
  EXPECT_LE(peak_bytes_, kClients * kMaxBytesWithoutAnswer);
  RecordProperty("bytes_per_client", static_cast<int>(peak_bytes_ / kClients));
}

INSTANTIATE_TEST_SUITE_P(All, ShortFieldsTest,
                         ::testing::Values("a:\r\n", "x-1:\r\n", "Host:\r\n", "Connection:a\r\n"));

// Guards against the same memory taken by the fields behind a chunked body, which count as header fields.
TEST_F(ClientMemoryTest, TrailersOfManyShortFieldsHoldNoMoreThanTheirBytes) {
  constexpr std::size_t kTrailerBytes = 60 << 10;
  const SilentBackend backend(io_);
  Start(backend.address());
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < kClients; ++i) {
    std::string text = Post("trailers-" + std::to_string(i), "certify", "");
    const std::string length = "Content-Length: 0";
    text.replace(text.find(length), length.size(), "Transfer-Encoding: chunked");
    text += Chunk(std::string(kBodyBytes, 'x')) + "0\r\n";
    for (std::size_t bytes = 0; bytes < kTrailerBytes; bytes += 4) text += "a:\r\n";
    texts.push_back(text);
  }
  SetBaseline();
  for (const std::string& text : texts) Connect(text);
  ASSERT_TRUE(RunUntil([&] { return AllHaveSent(); }));
  EXPECT_LE(peak_bytes_, kClients * kMaxBytesWithoutAnswer);
  RecordProperty("bytes_per_client", static_cast<int>(peak_bytes_ / kClients));
}

// Guards against memory that grows and other clients that wait while one client sends small requests at full
// speed, under ever new names: each took a place among the remembered ids.
class FloodTest : public ClientMemoryTest, public ::testing::WithParamInterface<const char*> {
 protected:
  static constexpr int kRequests = 20000;

  // Small requests on one connection, each with names of its own.
  static std::string Flood(const std::string& kind) {
    std::string text;
    for (int i = 0; i < kRequests; ++i) text += SmallRequest(kind, "flood-" + std::to_string(i));
    return text;
  }

  // Runs handlers one at a time until the client has received something.
  int CountHandlersUntilAnswer(const SilentClient& client, ServingBackend& backend) {
    constexpr int kMaxSteps = 100000;
    int handlers = 0;
    for (int step = 0; step < kMaxSteps && client.received_bytes() == 0; ++step) {
      backend.Pump();
      for (const auto& each : clients_) each->Pump();
      io_.restart();
      handlers += static_cast<int>(io_.poll_one());
      peak_bytes_ = std::max(peak_bytes_, AllocatedSinceBaseline());
    }
    return client.received_bytes() > 0 ? handlers : kMaxSteps;
  }

  static std::string SmallRequest(const std::string& kind, const std::string& name) {
    if (kind == "Unsound") return "GET /" + name + " HTTP/1.1\r\n" + name + ": 1\r\n\r\n";
    if (kind == "Ready") return "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string request = kind == "Expired" ? Get(name) : Post(name, "certify", "END");
    const std::string time_left = "X-Time-Left-Ms: 900";
    return request.replace(request.find(time_left), time_left.size(), "X-Time-Left-Ms: 0");
  }
};

TEST_P(FloodTest, HoldsNoMoreThanItsShareAndDelaysNobody) {
  constexpr int kMaxHandlersUntilAnswer = 100;
  constexpr int kMaxRounds = 20;  // of RunUntil(), whose number of handlers is bounded
  ServingBackend backend(io_, Reply(200, "served"));
  Start(backend.address());
  const std::string flood = Flood(GetParam());
  const std::string request = Get("other");
  SetBaseline();
  Connect(flood);
  ASSERT_LT(CountHandlersUntilAnswer(*clients_[0], backend), kMaxHandlersUntilAnswer);
  Connect(request);
  EXPECT_LT(CountHandlersUntilAnswer(*clients_[1], backend), kMaxHandlersUntilAnswer);
  bool is_all_processed = false;
  for (int round = 0; round < kMaxRounds && !is_all_processed; ++round)
    is_all_processed = RunUntil([&] { return clients_[0]->has_sent_all() || clients_[0]->has_ended(); });
  ASSERT_TRUE(is_all_processed);
  EXPECT_LE(peak_bytes_, 2 * kMaxBytesPerClient);
  RecordProperty("peak_bytes", static_cast<int>(peak_bytes_));
}

INSTANTIATE_TEST_SUITE_P(All, FloodTest, ::testing::Values("Expired", "ExpiredUnsafe", "Unsound", "Ready"),
                         [](const auto& info) { return std::string(info.param); });

}  // namespace
}  // namespace badgerbridge::proxy::testing
