// SPDX-License-Identifier: Apache-2.0
#include "proxy/hostile_fixture.h"

#include <filesystem>

#include "proxy/http_text.h"

namespace badgerbridge::proxy::testing {

namespace {

constexpr int kInterimAnswers = 100;

std::size_t CountOpenDescriptors() {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
  return count;
}

// The bytes that this kind of backend sends for a request; may be empty.
std::string ReplyOf(Backend kind, const std::string& id) {
  switch (kind) {
    case Backend::kHalfAnswer:
      return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
    case Backend::kNoAnswer:
      return {"\x16\x03\x01\x00 no answer\r\n\r\n", 18};
    case Backend::kEndlessBody:
      return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n";
    case Backend::kEndlessHeader:
      return "HTTP/1.1 200 OK\r\nX-Long: " + std::string(40000, 'x');
    case Backend::kNoLength:
      return "HTTP/1.1 200 OK\r\n\r\nno length";
    case Backend::kAnswersTwice:
      return Reply(200, id) + Reply(200, "unasked");
    case Backend::kInterimOnly:
      return "HTTP/1.1 100 Continue\r\n\r\n";
    case Backend::kRejects:
      return Reply(503, "", "X-Unprocessed: 1\r\n");
    case Backend::kError:
      return Reply(500);
    case Backend::kTooLarge:
      return "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" + std::string(100000, 'x');
    case Backend::kGood:
    case Backend::kSilent:
    case Backend::kReset:
    case Backend::kCloses:
      break;
  }
  return "";
}

}  // namespace

void HostileTest::Start(const std::vector<Backend>& kinds, int sockets) {
  std::vector<std::string> known;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    backends_.push_back(std::make_unique<Peer>(
        io_, [this, i, kind = kinds[i]](Wire& wire) { Serve(kind, wire, backends_[i]->requests.back()); }));
    known.push_back(EndpointJson("s-" + std::to_string(i), backends_[i]->address(), "Ready",
                                 1 + static_cast<int>(i % 2)));
  }
  Config config = TestConfig(known, sockets);
  config.backend_idle_timeout = Duration(1000);
  node_.emplace(io_, config);
  baseline_ = CountOpenDescriptors();
  begin_ = ProxyClock::Steady::now();
}

std::shared_ptr<PumpedClient> HostileTest::Connect(std::optional<int> receive_buffer) {
  tcp::socket socket(io_, tcp::v4());
  if (receive_buffer) socket.set_option(asio::socket_base::receive_buffer_size(*receive_buffer));
  socket.connect(node_->listener.address());
  clients_.push_back(std::make_shared<PumpedClient>(std::move(socket)));
  return clients_.back();
}

std::shared_ptr<PumpedClient> HostileTest::Connect(const std::string& text) {
  auto client = Connect();
  client->to_send = text;
  client->Pump();
  return client;
}

void HostileTest::SendChecked(const std::string& service_class) {
  const std::string id = "honest-" + std::to_string(sent_requests_++);
  std::string text = Get(id);
  if (service_class == "certify") text = Post(id, service_class, "END");
  if (service_class == "convert") text = Post(id, service_class, "END", "Idempotency-Key: k" + id + "\r\n");
  const auto client = Connect(text);
  ASSERT_TRUE(client->to_send.empty());
  checked_.push_back({id, service_class, client, Now(), {}});
}

bool HostileTest::RunReady() {
  bool moved = false;
  for (const auto& client : clients_) moved = client->Pump() || moved;
  for (CheckedRequest& request : checked_) {
    if (!request.answered_at && !request.client->Answers().answers.empty()) request.answered_at = Now();
  }
  io_.restart();
  return io_.poll() > 0 || moved;
}

void HostileTest::ExpectCheckedAnswers() {
  RunUntil(
      [this] {
        return std::all_of(checked_.begin(), checked_.end(), [](const CheckedRequest& request) {
          return request.answered_at || request.client->ended;
        });
      },
      kMaxAnswerTime);
  for (const CheckedRequest& request : checked_) ExpectCheckedAnswer(request);
  checked_.clear();
}

void HostileTest::ExpectCheckedAnswer(const CheckedRequest& request) {
  SCOPED_TRACE(request.id + " " + request.service_class);
  const auto [answers, rest] = request.client->Answers();
  EXPECT_EQ(rest, 0u) << request.client->in;
  ASSERT_EQ(answers.size(), 1u) << "end of its connection: " << request.client->ended.message();
  EXPECT_LE((*request.answered_at - request.sent_at).count(), kMaxAnswerTime.count());
  const int runs = runs_[request.id];
  EXPECT_TRUE(answers[0].status != 200 || answers[0].body == request.id) << answers[0].body;
  if (request.service_class == "certify") {
    EXPECT_LE(runs, 1);
    const bool rejected = answers[0].status == 503 || answers[0].status == 429;
    EXPECT_FALSE(rejected && runs > 0) << "rejected although it has run";
  }
  EXPECT_LE(attempts_[request.id], 4);
  served_ += answers[0].status == 200;
}

void HostileTest::ExpectOneErrorAndEnd(PumpedClient& client) {
  EXPECT_TRUE(RunUntil([&] { return static_cast<bool>(client.ended); }, kMaxRejectionTime))
      << "the connection has not ended";
  const auto [answers, rest] = client.Answers();
  EXPECT_EQ(rest, 0u) << client.in.substr(0, 300);
  ASSERT_EQ(answers.size(), 1u) << client.ended.message() << ": " << client.in.substr(0, 300);
  EXPECT_GE(answers[0].status, 400);
  EXPECT_TRUE(answers[0].closes);
  EXPECT_TRUE(client.EndedInOrder()) << client.ended.message();
}

void HostileTest::ExpectNothingLeft() {
  for (const auto& client : clients_) client->Close();
  EXPECT_TRUE(RunUntil([this] {
    return node_->listener.connections() == 0 && node_->proxy.open_requests() == 0 &&
           node_->backends.open_connections() == 0;
  })) << node_->listener.connections()
      << " connections, " << node_->proxy.open_requests() << " requests, "
      << node_->backends.open_connections() << " connections to backends";
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
  EXPECT_EQ(CountOpenDescriptors(), baseline_);
}

void HostileTest::Serve(Backend kind, Wire& wire, const std::string& request) {
  const std::string id = HeaderIn(request, "X-Correlation-Id");
  ++attempts_[id];
  if (kind != Backend::kRejects) ++runs_[id];
  if (kind == Backend::kGood) {
    if (!hold_answers_) return wire.Send(Reply(200, answer_body_.empty() ? id : answer_body_));
    held_.push_back({wire.shared_from_this(), id});
    return;
  }
  const std::string reply = ReplyOf(kind, id);
  const int times = kind == Backend::kInterimOnly ? kInterimAnswers : 1;
  if (!reply.empty()) {
    for (int i = 0; i < times; ++i) wire.Send(reply);
  }
  if (kind == Backend::kReset || kind == Backend::kNoLength) return wire.Reset();
  if (kind == Backend::kCloses || kind == Backend::kHalfAnswer) return wire.Close();
}

}  // namespace badgerbridge::proxy::testing
