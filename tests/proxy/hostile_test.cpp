// SPDX-License-Identifier: Apache-2.0
//
// Honest clients beside servers and other clients that misbehave: each of their requests gets one whole
// answer in time, whoever sends what is no request is told so and sees one orderly end, and nothing is left
// behind.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/proxy_harness.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeLeft{900};        // of each honest request
constexpr milliseconds kMostTime{900 + 500};  // for its answer
constexpr milliseconds kMostOfAnError{6000};  // from a request that is none to the end of its connection
constexpr milliseconds kFarBeyond{20000};     // any need
constexpr std::size_t kBehind = 1 << 20;      // bytes that a client sends behind what is no request
constexpr int kFewSockets = 64;               // of the node: room for 8 clients
constexpr std::size_t kFewClients = 8;

std::size_t Descriptors() {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
  return count;
}

std::string HeaderIn(const std::string& text, const std::string& name) {
  const std::size_t at = text.find(name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

struct WholeAnswer {
  int status = 0;
  bool closes = false;
  std::string body;
};

// A client without any handler in an event loop: it reads and writes when it is pumped, and never blocks.
struct Client {
  explicit Client(tcp::socket s) : socket(std::move(s)) { socket.non_blocking(true); }

  // Whether anything moved.
  bool Pump() {
    if (!socket.is_open()) return false;
    bool moved = false;
    ErrorCode error;
    while (!to_send.empty() && !send_failed) {
      const std::size_t n = socket.write_some(asio::buffer(to_send), error);
      if (error == asio::error::would_block) break;
      moved = true;
      if (error) {
        send_failed = true;
        break;
      }
      sent += n;
      to_send.erase(0, n);
    }
    while (reads && !ended) {
      std::array<char, 16384> piece{};
      const std::size_t n = socket.read_some(asio::buffer(piece), error);
      if (error == asio::error::would_block) break;
      moved = true;
      if (error) {
        ended = error;
      } else {
        in.append(piece.data(), n);
      }
    }
    return moved;
  }
  void Close() {
    ErrorCode ignored;
    socket.close(ignored);
  }
  void Reset() {
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  bool AtEnd() const { return ended == asio::error::eof; }

  // And the number of bytes that are in none of them.
  std::pair<std::vector<WholeAnswer>, std::size_t> Answers() const {
    std::vector<WholeAnswer> answers;
    std::size_t at = 0;
    while (at < in.size()) {
      const std::size_t end = in.find("\r\n\r\n", at);
      if (end == std::string::npos) break;
      const std::string head = in.substr(at, end + 2 - at);
      const std::string length = HeaderIn(head, "Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      if (in.size() < end + 4 + body) break;
      answers.push_back(
          {std::stoi(head.substr(9, 3)), HeaderIn(head, "Connection") == "close", in.substr(end + 4, body)});
      at = end + 4 + body;
    }
    return {std::move(answers), in.size() - at};
  }

  tcp::socket socket;
  std::string in, to_send;
  std::size_t sent = 0;
  bool reads = true, send_failed = false;
  ErrorCode ended;  // how its reading ended
};

struct HonestRequest {
  std::string id, service_class;
  std::shared_ptr<Client> client;
  milliseconds sent_at{0};
  std::optional<milliseconds> answered_at;
};

// What a backend does with a whole request.
enum class Backend {
  kGood,
  kSilent,
  kReset,
  kCloses,
  kHalfAnswer,
  kNoAnswer,  // something else
  kEndlessBody,
  kEndlessHeader,
  kNoLength,
  kAnswersTwice,
  kInterimOnly,
  kTurnsAway,
  kError,
  kTooLarge,
};

class HostileTest : public ::testing::Test {
 protected:
  ~HostileTest() override {
    for (const auto& client : clients_) client->Close();
  }

  void Start(const std::vector<Backend>& kinds, int sockets = 1024) {
    std::vector<std::string> known;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      backends_.push_back(std::make_unique<Peer>(
          io_, [this, i, kind = kinds[i]](Wire& wire) { Serve(kind, wire, backends_[i]->requests.back()); }));
      known.push_back(EndpointJson("s-" + std::to_string(i), backends_[i]->address(), "Ready",
                                   1 + static_cast<int>(i % 2)));
    }
    Config config = TestConfig(known, sockets);
    config.idle_limit = Duration(1000);
    node_.emplace(io_, config);
    baseline_ = Descriptors();
    begin_ = ProxyClock::Steady::now();
  }

  milliseconds Now() const {
    return std::chrono::duration_cast<milliseconds>(ProxyClock::Steady::now() - begin_);
  }

  std::shared_ptr<Client> Connect(std::optional<int> receive_buffer = {}) {
    tcp::socket socket(io_, tcp::v4());
    if (receive_buffer) socket.set_option(asio::socket_base::receive_buffer_size(*receive_buffer));
    socket.connect(node_->listener.address());
    clients_.push_back(std::make_shared<Client>(std::move(socket)));
    return clients_.back();
  }
  std::shared_ptr<Client> Connect(const std::string& text) {
    auto client = Connect();
    client->to_send = text;
    client->Pump();
    return client;
  }

  void AskHonestly(const std::string& service_class) {
    const std::string id = "honest-" + std::to_string(asked_++);
    std::string text = Get(id);
    if (service_class == "certify") text = Post(id, service_class, "END");
    if (service_class == "convert") text = Post(id, service_class, "END", "Idempotency-Key: k" + id + "\r\n");
    const auto client = Connect(text);
    ASSERT_TRUE(client->to_send.empty());
    honest_.push_back({id, service_class, client, Now(), {}});
  }
  void AskOneOfEach() {
    for (const char* service_class : {"preview", "convert", "certify"}) AskHonestly(service_class);
  }

  // Runs what is ready; false if nothing was.
  bool RunReady() {
    bool moved = false;
    for (const auto& client : clients_) moved = client->Pump() || moved;
    for (HonestRequest& request : honest_) {
      if (!request.answered_at && !request.client->Answers().first.empty()) request.answered_at = Now();
    }
    io_.restart();
    return io_.poll() > 0 || moved;
  }

  // In virtual time. False if it does not hold within that time.
  template <typename Condition>
  bool RunUntil(Condition holds, milliseconds most = kFarBeyond) {
    const milliseconds limit = Now() + most;
    while (!holds()) {
      if (Now() > limit) return false;
      if (RunReady()) continue;
      std::this_thread::yield();  // the system may hand over on another thread what was sent a moment ago
      if (RunReady()) continue;
      clock_.AdvanceToNextTimer(milliseconds(5));
    }
    return true;
  }
  void RunFor(milliseconds time) {
    const milliseconds until = Now() + time;
    RunUntil([&] { return Now() >= until; });
  }

  // Waits for the honest clients' answers and judges them.
  void ExpectHonestAnswers() {
    RunUntil(
        [this] {
          return std::all_of(honest_.begin(), honest_.end(), [](const HonestRequest& request) {
            return request.answered_at || request.client->ended;
          });
        },
        kMostTime);
    for (const HonestRequest& request : honest_) ExpectHonestAnswer(request);
    honest_.clear();
  }

  void ExpectHonestAnswer(const HonestRequest& request) {
    SCOPED_TRACE(request.id + " " + request.service_class);
    const auto [answers, rest] = request.client->Answers();
    EXPECT_EQ(rest, 0u) << request.client->in;
    ASSERT_EQ(answers.size(), 1u) << "its connection: " << request.client->ended.message();
    EXPECT_LE((*request.answered_at - request.sent_at).count(), kMostTime.count());
    const int runs = runs_[request.id];
    EXPECT_TRUE(answers[0].status != 200 || answers[0].body == request.id) << answers[0].body;
    if (request.service_class == "certify") {
      EXPECT_LE(runs, 1);
      const bool refused = answers[0].status == 503 || answers[0].status == 429;
      EXPECT_FALSE(refused && runs > 0) << "refused and run";
    }
    EXPECT_LE(attempts_[request.id], 4);
    served_ += answers[0].status == 200;
  }

  // One whole error, then the end of the connection and no reset.
  void ExpectOneErrorAndTheEnd(Client& client) {
    EXPECT_TRUE(RunUntil([&] { return static_cast<bool>(client.ended); }, kMostOfAnError)) << "no end";
    const auto [answers, rest] = client.Answers();
    EXPECT_EQ(rest, 0u) << client.in.substr(0, 300);
    ASSERT_EQ(answers.size(), 1u) << client.ended.message() << ": " << client.in.substr(0, 300);
    EXPECT_GE(answers[0].status, 400);
    EXPECT_TRUE(answers[0].closes);
    EXPECT_TRUE(client.AtEnd()) << client.ended.message();
  }

  // Everything has gone once all clients have.
  void ExpectNothingLeft() {
    for (const auto& client : clients_) client->Close();
    EXPECT_TRUE(RunUntil([this] {
      return node_->listener.connections() == 0 && node_->proxy.open() == 0 && node_->backends.open() == 0;
    })) << node_->listener.connections()
        << " connections, " << node_->proxy.open() << " requests, " << node_->backends.open()
        << " connections to backends";
    for (const BackendView& view : node_->proxy.Inspect()) {
      EXPECT_EQ(view.in_flight, 0);
      EXPECT_EQ(view.work_in_flight, 0);
    }
    for (const auto& backend : backends_) {
      for (const auto& wire : backend->wires) wire->Close();
      backend->wires.clear();
    }
    clients_.clear();
    while (RunReady()) {
    }
    EXPECT_EQ(Descriptors(), baseline_);
  }

  badgerbridge::testing::VirtualClock clock_;
  asio::io_context io_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::optional<Node> node_;
  std::vector<std::shared_ptr<Client>> clients_;
  std::vector<HonestRequest> honest_;
  std::map<std::string, int> attempts_, runs_;  // by id
  std::string answer_body_;                     // in place of the id
  int asked_ = 0;                               // honest requests
  int served_ = 0;                              // honest requests, with 200
  bool hold_answers_ = false;
  std::vector<std::pair<std::shared_ptr<Wire>, std::string>> held_;

 private:
  void Serve(Backend kind, Wire& wire, const std::string& request) {
    const std::string id = HeaderIn(request, "X-Correlation-Id");
    ++attempts_[id];
    if (kind != Backend::kTurnsAway) ++runs_[id];
    switch (kind) {
      case Backend::kGood:
        if (hold_answers_) return held_.emplace_back(wire.shared_from_this(), id), void();
        return wire.Send(Reply(200, answer_body_.empty() ? id : answer_body_));
      case Backend::kSilent:
        return;
      case Backend::kReset:
        return wire.Reset();
      case Backend::kCloses:
        return wire.Close();
      case Backend::kHalfAnswer:
        wire.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
        return wire.Close();
      case Backend::kNoAnswer:
        return wire.Send(std::string("\x16\x03\x01\x00 no answer\r\n\r\n", 18));
      case Backend::kEndlessBody:
        return wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n");
      case Backend::kEndlessHeader:
        return wire.Send("HTTP/1.1 200 OK\r\nX-Long: " + std::string(40000, 'x'));
      case Backend::kNoLength:
        wire.Send("HTTP/1.1 200 OK\r\n\r\nno length");
        return wire.Reset();
      case Backend::kAnswersTwice:
        return wire.Send(Reply(200, id) + Reply(200, "unasked"));
      case Backend::kInterimOnly:
        for (int i = 0; i < 100; ++i) wire.Send("HTTP/1.1 100 Continue\r\n\r\n");
        return;
      case Backend::kTurnsAway:
        return wire.Send(Reply(503, "", "X-Unprocessed: 1\r\n"));
      case Backend::kError:
        return wire.Send(Reply(500));
      case Backend::kTooLarge:
        return wire.Send("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" + std::string(100000, 'x'));
    }
  }

  std::size_t baseline_ = 0;
  ProxyClock::Steady::time_point begin_{};
};

TEST_F(HostileTest, EachRequestIsAnsweredOnceBesideServersThatMisbehave) {
  Start({Backend::kGood, Backend::kGood, Backend::kGood, Backend::kGood, Backend::kSilent, Backend::kReset,
         Backend::kCloses, Backend::kHalfAnswer, Backend::kNoAnswer, Backend::kEndlessBody,
         Backend::kEndlessHeader, Backend::kNoLength, Backend::kAnswersTwice, Backend::kInterimOnly,
         Backend::kTurnsAway, Backend::kError, Backend::kTooLarge});
  for (int round = 0; round < 30; ++round) {
    AskOneOfEach();
    RunFor(milliseconds(30));
  }
  ExpectHonestAnswers();
  EXPECT_GT(served_, 30) << "of 90";
  ExpectNothingLeft();
}

TEST_F(HostileTest, EachRequestIsAnsweredOnceWhereNoServerIsGood) {
  for (const Backend kind :
       {Backend::kSilent, Backend::kReset, Backend::kCloses, Backend::kHalfAnswer, Backend::kNoAnswer,
        Backend::kEndlessBody, Backend::kEndlessHeader, Backend::kNoLength, Backend::kInterimOnly,
        Backend::kTurnsAway, Backend::kError, Backend::kTooLarge}) {
    SCOPED_TRACE(static_cast<int>(kind));
    if (node_) {
      node_.reset();
      backends_.clear();
    }
    Start({kind, kind, kind});
    AskOneOfEach();
    ExpectHonestAnswers();
    EXPECT_EQ(served_, 0);
    ExpectNothingLeft();
  }
}

// Servers that vanish in the midst of it, with all their connections, and refuse from then on.
TEST_F(HostileTest, EachRequestIsAnsweredOnceWhileServersCrash) {
  Start({Backend::kGood, Backend::kGood, Backend::kGood, Backend::kGood});
  hold_answers_ = true;
  for (int i = 0; i < 10; ++i) AskOneOfEach();
  RunFor(milliseconds(20));
  for (std::size_t i : {0u, 1u}) {
    backends_[i]->Refuse();
    for (const auto& wire : backends_[i]->wires) wire->Reset();
  }
  hold_answers_ = false;
  for (const auto& [wire, id] : held_) wire->Send(Reply(200, id));
  held_.clear();
  for (int i = 0; i < 10; ++i) AskOneOfEach();
  ExpectHonestAnswers();
  EXPECT_GT(served_, 30) << "of 60";
  for (const auto& backend : backends_) backend->Refuse();
  for (const auto& client : clients_) client->Close();
  EXPECT_TRUE(RunUntil([this] { return node_->listener.connections() == 0 && node_->backends.open() == 0; }));
}

// Many connections that say nothing, in the queue ahead of the honest ones.
TEST_F(HostileTest, ManySilentConnectionsKeepNobodyOut) {
  Start({Backend::kGood, Backend::kGood}, 128);
  for (int i = 0; i < 100; ++i) Connect();
  RunFor(milliseconds(5));
  AskOneOfEach();
  ExpectHonestAnswers();
  RunFor(milliseconds(3000));
  for (const auto& client : clients_) EXPECT_TRUE(client->AtEnd()) << client->ended.message();
  ExpectNothingLeft();
}

// At the limit of clients each place is held by one that stops in the midst of a request.
TEST_F(HostileTest, HalfRequestsKeepNobodyOutAndAreTold) {
  for (const std::string& half :
       {std::string("GET /preview HTTP/1.1\r\nHost: h\r\n"), std::string("G"),
        std::string("POST /certify HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1234"),
        std::string("POST /certify HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab")}) {
    SCOPED_TRACE(half);
    node_.reset();
    backends_.clear();
    Start({Backend::kGood, Backend::kGood}, kFewSockets);
    std::vector<std::shared_ptr<Client>> stalled;
    for (std::size_t i = 0; i < kFewClients; ++i) stalled.push_back(Connect(half));
    RunFor(milliseconds(5));
    AskOneOfEach();
    ExpectHonestAnswers();
    EXPECT_EQ(served_, 3);
    served_ = 0;
    for (const auto& client : stalled) ExpectOneErrorAndTheEnd(*client);
    ExpectNothingLeft();
  }
}

// A byte now and then does not keep a connection, whatever it says.
TEST_F(HostileTest, WhoSendsAByteNowAndThenIsToldAndEnded) {
  Start({Backend::kGood});
  const std::string head = Get("slow", "X-Long: " + std::string(2000, 'x') + "\r\n");
  const std::string body = Post("slow-body", "certify", std::string(2000, 'x') + "END");
  const auto slow_head = Connect();
  const auto slow_body = Connect(body.substr(0, body.size() - 1500));
  for (std::size_t i = 0; i < 60 && !(slow_head->ended && slow_body->ended); ++i) {
    slow_head->to_send += head[i];
    slow_body->to_send += 'x';
    if (i % 10 == 0) AskOneOfEach();
    RunFor(milliseconds(100));
  }
  ExpectHonestAnswers();
  ExpectOneErrorAndTheEnd(*slow_head);
  ExpectOneErrorAndTheEnd(*slow_body);
  EXPECT_LE(Now().count(), 2200 + 500);
  ExpectNothingLeft();
}

// Each place is held by a client that asks for much and never reads.
TEST_F(HostileTest, WhoDoesNotReadKeepsNobodyOut) {
  Start({Backend::kGood, Backend::kGood}, kFewSockets);
  answer_body_ = std::string(65000, 'y');
  constexpr int kLeastBuffer = 1;  // the system rounds it up
  for (std::size_t i = 0; i < kFewClients; ++i) {
    const auto client = Connect(kLeastBuffer);
    client->reads = false;
    for (int n = 0; n < 100; ++n)
      client->to_send += Get("stalled-" + std::to_string(i) + "-" + std::to_string(n));
  }
  RunFor(milliseconds(300));
  ASSERT_EQ(node_->listener.connections(), kFewClients);
  answer_body_.clear();
  AskOneOfEach();
  ExpectHonestAnswers();
  RunFor(milliseconds(1000));
  served_ = 0;
  AskOneOfEach();
  ExpectHonestAnswers();
  EXPECT_EQ(served_, 3) << "of those that came once a client was known not to read";
  // No wait for them is without an end.
  EXPECT_TRUE(RunUntil([this] { return node_->listener.connections() == 0; }, milliseconds(15000)))
      << node_->listener.connections();
  ExpectNothingLeft();
}

// Requests far ahead of the answers, on many connections; the neighbours get theirs.
TEST_F(HostileTest, WhoSendsFarAheadHarmsNoNeighbour) {
  Start({Backend::kGood, Backend::kGood});
  std::vector<std::shared_ptr<Client>> flood;
  for (int i = 0; i < 20; ++i) {
    flood.push_back(Connect());
    for (int n = 0; n < 2000; ++n)
      flood.back()->to_send += Get("flood-" + std::to_string(i) + "-" + std::to_string(n));
  }
  for (int round = 0; round < 5; ++round) {
    AskOneOfEach();
    RunFor(milliseconds(20));
  }
  ExpectHonestAnswers();
  EXPECT_EQ(served_, 15);
  // Each answer in the order of the requests, and then, where too much was ahead, that it was.
  for (const auto& client : flood) {
    EXPECT_TRUE(RunUntil([&] { return client->ended || client->Answers().first.size() == 2000; }));
    const auto [answers, rest] = client->Answers();
    EXPECT_EQ(rest, 0u);
    ASSERT_FALSE(answers.empty());
    if (!client->ended) continue;
    EXPECT_TRUE(client->AtEnd()) << client->ended.message();
    EXPECT_TRUE(answers.back().closes);
  }
  ExpectNothingLeft();
}

// Clients that leave at any point of their request or its answer, in order or by a reset.
TEST_F(HostileTest, ThoseWhoLeaveHarmNoNeighbour) {
  Start({Backend::kGood, Backend::kGood, Backend::kGood});
  hold_answers_ = true;
  const std::string whole = Post("gone", "certify", "END");
  for (std::size_t length = 0; length <= whole.size(); length += 10) {
    for (const bool reset : {false, true}) {
      const auto client = Connect(whole.substr(0, length));
      RunReady();
      reset ? client->Reset() : client->Close();
    }
  }
  std::vector<std::shared_ptr<Client>> waiting;
  for (int i = 0; i < 30; ++i) waiting.push_back(Connect(Get("waits-" + std::to_string(i))));
  AskOneOfEach();
  RunFor(milliseconds(10));
  for (std::size_t i = 0; i < waiting.size(); ++i) i % 2 == 0 ? waiting[i]->Reset() : waiting[i]->Close();
  RunFor(milliseconds(10));
  EXPECT_EQ(node_->proxy.open(), 3u) << "the honest ones";
  hold_answers_ = false;
  for (const auto& [wire, id] : held_) wire->Send(Reply(200, id));
  held_.clear();
  AskOneOfEach();
  ExpectHonestAnswers();
  EXPECT_EQ(served_, 6);
  ExpectNothingLeft();
}

struct NoRequest {
  const char* name;
  std::string text;
};

std::vector<NoRequest> NoRequests() {
  const std::string long_line(20000, 'x');
  const std::string head = "POST /certify HTTP/1.1\r\nHost: h\r\n";
  return {
      {"TLS", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 no request\r\n\r\n", 27)},
      {"EmptyLines", "\r\n\r\n\r\n\r\nxx\r\n\r\n"},
      {"NoVersion", "GET /preview\r\n\r\n"},
      {"AnotherVersion", "GET /preview HTTP/9.9\r\nHost: h\r\n\r\n"},
      {"LongTarget", "GET /" + long_line + " HTTP/1.1\r\n\r\n"},
      {"LongHeader", "GET /preview HTTP/1.1\r\nX-Long: " + long_line + "\r\n\r\n"},
      {"EndlessLine", "GET /preview HTTP/1.1\r\nX-Long: "},
      {"HeaderWithoutColon", "GET /preview HTTP/1.1\r\nno colon\r\n\r\n"},
      {"NulInHeader", std::string("GET /preview HTTP/1.1\r\nX: a\0b\r\n\r\n", 33)},
      {"LargeBody", head + "Content-Length: 99999999\r\n\r\nxx"},
      {"HugeLength", head + "Content-Length: 99999999999999999999999\r\n\r\n"},
      {"NegativeLength", head + "Content-Length: -1\r\n\r\n"},
      {"TwoLengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
      {"LengthAndChunks", head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"UnknownCoding", head + "Transfer-Encoding: gzip\r\n\r\n"},
      {"BadChunk", head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n"},
      {"HugeChunk", head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"},
      {"LongChunkExtension", head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(90000, 'e')},
      {"GetWithABody", "GET /preview HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
      {"NoId", "GET /preview HTTP/1.1\r\nHost: h\r\nX-Service-Class: preview\r\n\r\n"},
      {"UnknownClass", "GET /nothing HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Service-Class: nothing\r\n\r\n"},
      {"NoTime", Get("no-time", "X-Time-Left-Ms: soon\r\n")},
      {"AnotherMethod", "BREW /preview HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Service-Class: preview\r\n\r\n"},
      {"UnsafeWithKey", Post("keyed", "certify", "END", "Idempotency-Key: k\r\n")},
  };
}

class NoRequestTest : public HostileTest, public ::testing::WithParamInterface<NoRequest> {
 protected:
  // With a megabyte behind it.
  std::shared_ptr<Client> Send() {
    auto client = Connect();
    client->to_send = GetParam().text + std::string(kBehind, 'x');
    return client;
  }
};

TEST_P(NoRequestTest, IsToldAndEndedInOrder) {
  Start({Backend::kGood, Backend::kGood});
  const auto alone = Connect(GetParam().text);
  const auto sends_on = Send();
  AskOneOfEach();
  ExpectHonestAnswers();
  EXPECT_EQ(served_, 3);
  ExpectOneErrorAndTheEnd(*sends_on);
  ExpectOneErrorAndTheEnd(*alone);
  EXPECT_EQ(attempts_.size(), 3u) << "only what is honest reaches a backend";
  ExpectNothingLeft();
}

// One that reads only when it has sent all, or can send no more for a second.
TEST_P(NoRequestTest, IsToldAlsoIfItReadsLate) {
  Start({Backend::kGood, Backend::kGood});
  const auto client = Send();
  client->reads = false;
  std::size_t before = 1;
  while (!client->to_send.empty() && !client->send_failed && before != client->to_send.size()) {
    before = client->to_send.size();
    RunFor(milliseconds(1000));
  }
  client->reads = true;
  ExpectOneErrorAndTheEnd(*client);
  AskOneOfEach();
  ExpectHonestAnswers();
  EXPECT_EQ(served_, 3);
  ExpectNothingLeft();
}

// Behind a request whose answer is still owed, each gets its own.
TEST_P(NoRequestTest, BehindARequestBothAreAnswered) {
  Start({Backend::kGood, Backend::kGood});
  hold_answers_ = true;
  const auto client = Connect();
  client->to_send = Get("first") + GetParam().text + std::string(kBehind, 'x');
  RunFor(milliseconds(100));
  hold_answers_ = false;
  for (const auto& [wire, id] : held_) wire->Send(Reply(200, id));
  held_.clear();
  EXPECT_TRUE(RunUntil([&] { return static_cast<bool>(client->ended); }, kMostOfAnError));
  const auto [answers, rest] = client->Answers();
  EXPECT_EQ(rest, 0u);
  ASSERT_EQ(answers.size(), 2u) << client->ended.message() << ": " << client->in.substr(0, 300);
  EXPECT_EQ(answers[0].body, "first");
  EXPECT_GE(answers[1].status, 400);
  EXPECT_TRUE(client->AtEnd()) << client->ended.message();
  AskOneOfEach();
  ExpectHonestAnswers();
  EXPECT_EQ(served_, 3);
  ExpectNothingLeft();
}

INSTANTIATE_TEST_SUITE_P(All, NoRequestTest, ::testing::ValuesIn(NoRequests()),
                         [](const auto& info) { return std::string(info.param.name); });

// Requests that wait in the queue of the listener while there is no descriptor left.
TEST_F(HostileTest, WithoutDescriptorsForAWhileEachRequestIsAnswered) {
  Start({Backend::kGood, Backend::kGood});
  std::vector<std::shared_ptr<Client>> resting;
  for (int i = 0; i < 4; ++i) {
    resting.push_back(Connect(Get("rests-" + std::to_string(i))));
    ASSERT_TRUE(RunUntil([&] { return resting.back()->Answers().first.size() == 1; }));
  }
  for (int i = 0; i < 3; ++i) AskOneOfEach();
  rlimit usual{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &usual), 0);
  rlimit full = usual;
  full.rlim_cur = 3;  // every descriptor beyond those that are open fails
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &full), 0);
  RunFor(milliseconds(200));
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &usual), 0);
  ExpectHonestAnswers();
  EXPECT_EQ(served_, 9);
  ExpectNothingLeft();
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
