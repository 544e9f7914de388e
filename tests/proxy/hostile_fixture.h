// SPDX-License-Identifier: Apache-2.0
//
// The fixture of tests with backends and clients that misbehave: a proxy, its backends, and well-behaved
// clients whose requests are checked, on one event loop and in virtual time.
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

inline constexpr milliseconds kTimeLeft{900};             // of each checked request
inline constexpr milliseconds kMaxAnswerTime{900 + 500};  // for its answer
inline constexpr milliseconds kMaxRejectionTime{
    6000};  // from a request that is none to the end of its connection
inline constexpr milliseconds kTestTimeout{20000};    // far beyond any need
inline constexpr std::size_t kBytesBehind = 1 << 20;  // bytes that a client sends behind what is no request
inline constexpr int kScarceSockets = 64;             // of the proxy: room for 8 clients
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
  kNoAnswer,  // something else
  kEndlessBody,
  kEndlessHeader,
  kNoLength,
  kAnswersTwice,
  kInterimOnly,
  kRejects,
  kError,
  kTooLarge,
};

// Backends by kind, a proxy and clients; tests have their own clients beside the checked ones.
class HostileTest : public ::testing::Test {
 protected:
  ~HostileTest() override {
    for (const auto& client : clients_) client->Close();
  }

  // Starts backends of these kinds and a proxy for them; `sockets` is the limit of its configuration.
  void Start(const std::vector<Backend>& kinds, int sockets = 1024);

  milliseconds Now() const {
    return std::chrono::duration_cast<milliseconds>(ProxyClock::Steady::now() - begin_);
  }

  std::shared_ptr<PumpedClient> Connect(std::optional<int> receive_buffer = {});
  // Connects and writes as much of the text as the system takes at once.
  std::shared_ptr<PumpedClient> Connect(const std::string& text);

  // Sends a request whose answer ExpectCheckedAnswers() checks, on a connection of its own.
  void SendChecked(const std::string& service_class);
  void SendOneOfEachClass() {
    for (const char* service_class : {"preview", "convert", "certify"}) SendChecked(service_class);
  }

  // Runs what is ready; false if nothing was.
  bool RunReady();

  // In virtual time. False if it does not hold within that time.
  template <typename Condition>
  bool RunUntil(Condition holds, milliseconds timeout = kTestTimeout) {
    const milliseconds limit = Now() + timeout;
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

  // Waits for the answers to the checked requests, and checks that each has one that is complete and in time.
  void ExpectCheckedAnswers();

  void ExpectCheckedAnswer(const CheckedRequest& request);

  // One complete error, then the end of the connection and no reset.
  void ExpectOneErrorAndEnd(PumpedClient& client);

  // Everything has gone once all clients have.
  void ExpectNothingLeft();

  badgerbridge::testing::VirtualClock clock_;
  asio::io_context io_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::optional<Node> node_;
  std::vector<std::shared_ptr<PumpedClient>> clients_;
  std::vector<CheckedRequest> checked_;
  std::map<std::string, int> attempts_;  // by id
  std::map<std::string, int> runs_;      // by id
  std::string answer_body_;              // in place of the id
  int sent_requests_ = 0;                // checked requests
  int served_ = 0;                       // checked requests that were answered 200
  bool hold_answers_ = false;
  std::vector<std::pair<std::shared_ptr<Wire>, std::string>> held_;

 private:
  void Serve(Backend kind, Wire& wire, const std::string& request);

  std::size_t baseline_ = 0;  // open descriptors
  ProxyClock::Steady::time_point begin_{};
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_HOSTILE_FIXTURE_H_
