// SPDX-License-Identifier: Apache-2.0
//
// One test run of a client connection: it is brought into a state, then two events occur at given times with
// a given number of handlers between them, and the result is checked from the client's side. The clock is
// virtual and doesn't advance during handlers. If no handler runs between the events, both are ready in one
// event loop iteration, as in a process that was descheduled for a while.
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

// Result of one run.
struct ScenarioResult {
  RuleViolations violations;  // by rule
  std::string report;         // one line for each violation
  // Handlers that ran between the events; fewer than requested if no more were ready.
  std::size_t handlers_run_between = 0;
};

// Runs one scenario: a proxy in this process, a backend and clients on one event loop. Run() is called once.
class SessionScenarioRun {
 public:
  explicit SessionScenarioRun(const SessionScenario& scenario);

  ScenarioResult Run();

 private:
  using Nanoseconds = std::chrono::nanoseconds;
  using SteadyTime = std::chrono::steady_clock::time_point;

  struct Request {
    std::string id;
    std::size_t begin = 0;                   // offset in the client's output, in bytes
    SteadyTime first_byte_at{};              // when its first byte was written
    std::optional<SteadyTime> written_at{};  // when its last byte was written
    bool written_after_end = false;          // the client could already detect the close
    bool is_pipelined = false;               // written before the previous request was answered
    bool after_close_announced = false;      // written after `Connection: close`
    bool not_idempotent = false;             // must not be sent twice
    int attempts = 0;                        // attempts begun
  };
  struct Client {
    explicit Client(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    tcp::endpoint endpoint;  // local address
    std::vector<Request> requests;
    std::size_t bytes_written = 0;  // bytes
    std::string unwritten;          // the second half of a request
    std::string received;
    SteadyTime connected_at{};
    std::optional<SteadyTime> disconnected_at{};  // closed or reset by the client
    std::optional<SteadyTime> ended_at{};         // closed by the proxy, as seen by the client
    std::optional<SteadyTime> reset_at{};
    std::optional<SteadyTime> request_at{};      // when it writes its first request
    std::optional<SteadyTime> second_half_at{};  // when it writes the second half of one
    bool read_end = false;
    bool reset = false;
    bool unread_at_reset = false;  // an answer was unread when the reset arrived
    bool refused = false;          // the connection was not established
    bool requested_close = false;
  };
  // The owner of a request id; both null if no client has sent it.
  struct ClientAndRequest {
    Client* client = nullptr;
    Request* request = nullptr;
  };

  // Steps of a run.
  void Listen();
  void StartNode();
  bool Includes(SessionEvent event) const;
  void ReachState();
  void ReachClientState();
  void SendFirstRequest(Client& client);
  void SendUnread();
  void Trigger(SessionEvent event);
  void TriggerRequest(Client& client, SessionEvent event);
  void TriggerConnections(int count, Nanoseconds request_delay);
  std::string NextId(const std::string& prefix);
  void RunToEnd();
  bool IsOver() const;
  void CleanUp();

  // Time and handlers.
  bool RunHandler();
  void RunReady();
  void RunTimeTo(SteadyTime until);
  void AdvanceWithoutHandlers(SteadyTime until);
  bool RunNextDeferred();

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

  // Checks of the result.
  void CheckClient(const Client& client);
  void CheckUnanswered(const Client& client, const Request& request, std::size_t answers);
  bool HadTimeToRead(const Client& client) const;
  bool TimedOutTooEarly(const Client& client, const Request& request) const;
  bool ReadsTooSlowly(const Client& client) const;
  bool MayBeRefused(const Client& client, bool written_after_end) const;
  void Report(int RuleViolations::*rule, const std::string& what);

  const SessionScenario scenario_;
  const tcp::endpoint address_ = OwnAddress();
  badgerbridge::testing::VirtualClock clock_;  // declared before all members that read it
  badgerbridge::testing::SocketWatch watch_;
  asio::io_context io_;
  asio::signal_set signals_{io_};
  std::optional<tcp::acceptor> backend_;
  std::vector<std::shared_ptr<Wire>> backend_wires_;
  std::deque<std::function<void()>> deferred_;  // pending actions of the backend and the network
  std::optional<Node> node_;
  tcp::endpoint listener_address_;
  std::deque<Client> clients_;  // the first has the connection under test
  SteadyTime state_reached_at_{};
  std::optional<SteadyTime> sigterm_at_;
  int requests_ = 0;
  int handlers_ = 0;
  bool hold_connects_ = false;
  bool hold_reads_ = false;
  bool hold_answers_ = false;
  bool large_answers_ = false;
  bool small_buffers_ = false;
  bool at_client_limit_ = false;  // the connections reach max_clients
  bool stopped_ = false;
  ScenarioResult result_;
};

// Runs one scenario, and checks that it leaks no descriptors.
ScenarioResult RunScenario(const SessionScenario& scenario);

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_H_
