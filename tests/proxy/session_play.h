// SPDX-License-Identifier: Apache-2.0
//
// One play of a client's connection: it is brought into a state, then two events happen, at given times and
// with a given number of handlers between them, and the client's side judges what came of it. The clock is
// virtual; none of the time passes in handlers. Where no handler runs between the events, both are ready in
// one turn of the event loop, as in a process that was descheduled for a while.
#ifndef BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_H_
#define BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_H_

#include <sys/types.h>

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/crossings_rig.h"
#include "proxy/proxy_harness.h"
#include "proxy/session_play_plan.h"
#include "support/socket_watch.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {

// What came of a play.
struct PlayResult {
  RuleViolations found;    // rules that were broken
  std::string violations;  // a line for each
  // Handlers that ran between the events; fewer than planned if no more were ready.
  std::size_t ran_between = 0;
};

// One play: a proxy in this process, a backend and clients, on one event loop. Used once.
class SessionPlay {
 public:
  explicit SessionPlay(const PlayPlan& plan);

  PlayResult Run();

 private:
  using Nanoseconds = std::chrono::nanoseconds;
  using SteadyTime = std::chrono::steady_clock::time_point;

  struct Request {
    std::string id;
    std::size_t begin = 0;                // in what its client writes, bytes
    SteadyTime begun_writing{};           // its first byte
    std::optional<SteadyTime> written{};  // its last byte
    bool after_end = false;               // its first byte was written when the client could see the end
    bool behind_another = false;          // written before the answer to the one ahead of it had come
    bool after_close = false;             // written when the client knew that the connection would end
    bool unsafe = false;                  // to repeat
    int attempts = 0;                     // that have begun
  };
  struct Client {
    explicit Client(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    tcp::endpoint endpoint;  // its own
    std::vector<Request> requests;
    std::size_t wrote = 0;  // bytes
    std::string unwritten;  // the second half of a request
    std::string received;
    SteadyTime connected{};
    std::optional<SteadyTime> left{};   // by itself
    std::optional<SteadyTime> ended{};  // by the proxy, as the client can see
    std::optional<SteadyTime> reset_at{};
    std::optional<SteadyTime> request_at{};      // when it writes its first request
    std::optional<SteadyTime> second_half_at{};  // when it writes the second half of one
    bool read_end = false;
    bool reset = false;
    bool unread_at_reset = false;  // an answer came with the reset
    bool refused = false;          // its connection did not come up
    bool requested_close = false;
  };
  // Of one id; both null if no client has sent it.
  struct ClientAndRequest {
    Client* client = nullptr;
    Request* request = nullptr;
  };

  // The course of a play.
  void Listen();
  void StartNode();
  bool Includes(Stimulus stimulus) const;
  void ReachState();
  void ReachClientState();
  void SendFirstRequest(Client& client);
  void SendUnread();
  void Trigger(Stimulus stimulus);
  void TriggerRequest(Client& client, Stimulus stimulus);
  void TriggerConnections(int count, Nanoseconds request_delay);
  std::string NextId(const std::string& prefix);
  void RunToEnd();
  bool IsOver() const;
  void CleanUp();

  // Time and handlers.
  bool RunHandler();
  void RunReady();
  void RunTimeTo(SteadyTime until);
  void SleepUntil(SteadyTime until);
  bool ReleaseOne();

  // Clients.
  Client& Connect();
  void Write(Client& client, const std::string& text);
  void SendRequest(Client& client, const std::string& text, const std::string& id);
  void SendFirstHalf(Client& client, const std::string& text, const std::string& id);
  void SendSecondHalf(Client& client);
  void Disconnect(Client& client, bool by_reset);
  void DetectEnds();
  void SendDueRequests();
  Nanoseconds UntilNextRequest() const;
  ssize_t Receive(Client& client, int flags, std::string& into);
  void ReadAnswersIfComplete(Client& client);
  bool ReadAll(Client& client);

  // The backend.
  ClientAndRequest FindRequest(const std::string& id);
  void AcceptAtBackend();
  void Serve(Wire& wire);
  std::string BodyFor(const std::string& id) const;
  void Dial(tcp::socket& socket, const tcp::endpoint& address, std::function<void(ErrorCode)> ended);
  void OnAttemptBegun(const ForwardedRequest& forwarded);

  // The verdict.
  void CheckClient(const Client& client);
  void CheckUnanswered(const Client& client, const Request& request, std::size_t answers);
  bool HadTimeToRead(const Client& client) const;
  bool TimedOutTooEarly(const Client& client, const Request& request) const;
  bool ReadsTooSlowly(const Client& client) const;
  bool MayBeRefused(const Client& client, bool after_end) const;
  void Report(int RuleViolations::*rule, const std::string& what);

  const PlayPlan plan_;
  const tcp::endpoint address_ = OwnAddress();
  badgerbridge::testing::VirtualClock clock_;  // ahead of all that reads it
  badgerbridge::testing::SocketWatch watch_;
  asio::io_context io_;
  asio::signal_set signals_{io_};
  std::optional<tcp::acceptor> backend_;
  std::vector<std::shared_ptr<Wire>> backend_wires_;
  std::deque<std::function<void()>> held_;  // what the backend and the network do not do yet
  std::optional<Node> node_;
  tcp::endpoint listener_address_;
  std::deque<Client> clients_;  // the first is the one whose connection has the state
  SteadyTime reached_{};
  std::optional<SteadyTime> terminated_;
  int requests_ = 0;
  int handlers_ = 0;
  bool hold_connects_ = false;
  bool hold_reads_ = false;
  bool hold_answers_ = false;
  bool large_answers_ = false;
  bool small_buffers_ = false;
  bool limited_ = false;  // the limit of clients is reached
  bool stopped_ = false;
  PlayResult result_;
};

// One play, and whether it left descriptors behind.
PlayResult PlayOnce(const PlayPlan& plan);

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_H_
