// SPDX-License-Identifier: Apache-2.0
//
// A fixture for tests with misbehaving backends and clients: a proxy, its backends, and well-behaved clients
// whose answers are checked, on one event loop in virtual time.
#ifndef BADGERBRIDGE_TESTS_PROXY_HOSTILE_FIXTURE_H_
#define BADGERBRIDGE_TESTS_PROXY_HOSTILE_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/proxy_harness.h"
#include "proxy/pumped_client.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {

using std::chrono::milliseconds;

inline constexpr milliseconds kTimeLeft{900};             // X-Time-Left-Ms of each checked request
inline constexpr milliseconds kMaxAnswerTime{900 + 500};  // from a checked request to its answer
// From a malformed request to the end of its connection.
inline constexpr milliseconds kMaxRejectionTime{6000};
inline constexpr milliseconds kTestTimeout{20000};
// Bytes that a client sends after a malformed request.
inline constexpr std::size_t kBytesAfterMalformedRequest = 1 << 20;
inline constexpr int kScarceSockets = 64;  // limit of the proxy that leaves sockets for 8 clients
inline constexpr std::size_t kMaxClientsOfScarceSockets = 8;

// A request of a well-behaved client.
struct CheckedRequest {
  std::string id;
  std::string service_class;
  std::shared_ptr<PumpedClient> client;
  milliseconds sent_at{0};
  std::optional<milliseconds> answered_at;
};

// What a backend does with a complete request.
enum class Backend {
  kGood,
  kSilent,
  kReset,
  kCloses,
  kHalfAnswer,
  kNoAnswer,  // bytes that are not HTTP
  kEndlessBody,
  kEndlessHeader,
  kNoLength,
  kAnswersTwice,
  kInterimOnly,
  kRejects,
  kError,
  kTooLarge,
};

// A proxy, backends of given kinds, and clients. Tests may add clients that are not checked.
class HostileTest : public ::testing::Test {
 protected:
  ~HostileTest() override {
    for (const auto& client : clients_) client->Close();
  }

  // Starts backends of these kinds and a proxy with a limit of `sockets` sockets.
  void Start(const std::vector<Backend>& kinds, int sockets = 1024);

  milliseconds Now() const {
    return std::chrono::duration_cast<milliseconds>(ProxyClock::Steady::now() - begin_);
  }

  std::shared_ptr<PumpedClient> Connect(std::optional<int> receive_buffer = {});
  // Connects and writes as much of the text as the kernel accepts at once.
  std::shared_ptr<PumpedClient> Connect(const std::string& text);

  // Sends a request on a new connection; ExpectCheckedAnswers() checks its answer.
  void SendChecked(const std::string& service_class);
  void SendOneOfEachClass() {
    for (const char* service_class : {"preview", "convert", "certify"}) SendChecked(service_class);
  }

  // Runs all ready handlers and moves the clients' data. Returns whether there was anything to do.
  bool RunReady();

  // Runs until the condition holds; false if it does not within `timeout` of virtual time.
  template <typename Condition>
  bool RunUntil(Condition holds, milliseconds timeout = kTestTimeout) {
    const milliseconds limit = Now() + timeout;
    while (!holds()) {
      if (Now() > limit) return false;
      if (RunReady()) continue;
      std::this_thread::yield();  // the kernel may deliver loopback data on another thread
      if (RunReady()) continue;
      clock_.AdvanceToNextTimer(milliseconds(5));
    }
    return true;
  }
  void RunFor(milliseconds time) {
    const milliseconds until = Now() + time;
    RunUntil([&] { return Now() >= until; });
  }

  // Waits for the answers to the checked requests and expects exactly one complete answer each, in time.
  void ExpectCheckedAnswers();

  void ExpectCheckedAnswer(const CheckedRequest& request);

  // Expects one complete error answer, then an orderly close of the connection.
  void ExpectOneErrorAndEnd(PumpedClient& client);

  // Closes all clients and expects that no connection, request or descriptor is left.
  void ExpectNothingLeft();

  badgerbridge::testing::VirtualClock clock_;
  asio::io_context io_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::optional<Node> node_;
  std::vector<std::shared_ptr<PumpedClient>> clients_;
  std::vector<CheckedRequest> checked_;
  std::map<std::string, int> attempts_;  // by id
  std::map<std::string, int> runs_;      // by id
  std::string answer_body_;              // sent instead of the id if not empty
  int sent_requests_ = 0;                // checked requests
  int served_ = 0;                       // checked requests that were answered 200
  bool hold_answers_ = false;
  std::vector<std::pair<std::shared_ptr<Wire>, std::string>> held_;

 private:
  void Serve(Backend kind, Wire& wire, const std::string& request);

  std::size_t baseline_ = 0;  // open descriptors at the start
  ProxyClock::Steady::time_point begin_{};
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_HOSTILE_FIXTURE_H_
