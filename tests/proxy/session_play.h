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
#include "support/socket_watch.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {

enum class SessionState {
  kNone,               // the play's connections come by its events
  kNewSilent,          // connected
  kNewHalfRead,        // and half a request has been read
  kNewWholeUnread,     // and a whole one is in the kernel's buffer
  kRest,               // has had an answer
  kRestHalfRead,       // and half a request has been read
  kRestHalfUnread,     // and half a request is in the kernel's buffer
  kRestWholeUnread,    // and a whole one is
  kDialling,           // a connection to the backend has not come up
  kWriting,            // the backend does not read the request
  kWaiting,            // it has the request
  kAnswering,          // the client does not read the answer
  kAnsweredWithClose,  // as the client wished; it has not read it
  kLingering,          // ended at rest; the client has not closed its side
};
const char* NameOf(SessionState state);

enum class Stimulus {
  // Timers: nothing is done, but their time comes.
  kSessionTimer,   // the one that rules the state
  kListenerClose,  // after SIGTERM, which came when the state was reached
  kDrainSweep,     // after a drain that began when the state was reached
  kRoomTick,       // at the limit of clients, which this connection alone reaches
  // Events.
  kRequest,      // a whole one, or what is missing of one that is half written
  kHalfRequest,  // half of one; the rest follows kRestDelay later
  kTwoRequests,  // at once; the first has no time left
  kClientFin,
  kClientReset,
  kTerm,               // SIGTERM
  kDrain,              // by the control API
  kDialDone,           // the connection to the backend comes up
  kNewcomer,           // another client connects and asks; with it the limit of clients is reached
  kSilentConnections,  // clients connect; they ask kRequestDelay later
  kAskingConnections,  // clients connect and ask
};
const char* NameOf(Stimulus stimulus);
bool IsTimer(Stimulus stimulus);

// When the timer expires, after the state was reached. Nothing: it does not rule this state.
std::optional<std::chrono::milliseconds> ExpiryOf(Stimulus timer, SessionState state);

struct PlayPlan {
  using Nanoseconds = std::chrono::nanoseconds;

  SessionState state = SessionState::kNone;
  Stimulus first = Stimulus::kRequest, second = Stimulus::kRequest;
  Nanoseconds first_at{0}, second_at{0};          // after the state was reached
  std::optional<std::size_t> handlers_between{};  // nothing: one batch
  Nanoseconds asleep{0};                          // after both, before the next handler runs
  std::chrono::milliseconds request_delay{100};   // of kSilentConnections
};
std::string Describe(const PlayPlan& plan);

class SessionPlay {
 public:
  explicit SessionPlay(const PlayPlan& plan);

  // What broke a rule; `why` gets a line for each.
  Found Run(std::string* why);

  // Handlers that did run between the events; fewer than planned if no more were ready.
  std::size_t ran_between() const { return ran_between_; }

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
    int begun = 0;                        // attempts
  };
  struct Client {
    explicit Client(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    tcp::endpoint endpoint;  // its own
    std::vector<Request> requests;
    std::size_t wrote = 0;  // bytes
    std::string unwritten;  // the second half of a request
    std::string in;
    SteadyTime connected{};
    std::optional<SteadyTime> left{};   // by itself
    std::optional<SteadyTime> ended{};  // by the proxy, as the client can see
    std::optional<SteadyTime> reset_at{};
    std::optional<SteadyTime> asks_at{};  // when it writes its first request
    std::optional<SteadyTime> rest_at{};  // when it writes the second half of one
    bool read_end = false, reset = false, unread_at_reset = false, refused = false;
    bool asked_for_close = false;
  };

  // The course of a play.
  void ReachState();
  void Happen(Stimulus stimulus);
  void RunToEnd();
  bool Over() const;
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
  void Ask(Client& client, const std::string& text, const std::string& id);
  void AskHalf(Client& client, const std::string& text, const std::string& id);
  void WriteRest(Client& client);
  void Leave(Client& client, bool by_reset);
  void LookForEnds();
  void AskWhatIsDue();
  Nanoseconds UntilNextAsks() const;
  ssize_t Receive(Client& client, int flags, std::string* into);
  void ReadAnswersIfWhole(Client& client);
  bool ReadAll(Client& client);
  Request* RequestOf(const std::string& id, Client** client);

  // The backend.
  void AcceptAtBackend();
  void Serve(Wire& wire);
  std::string BodyFor(const std::string& id) const;
  void Dial(tcp::socket& socket, const tcp::endpoint& address, std::function<void(ErrorCode)> ended);
  void Begun(const Forwarded& forwarded);

  // The verdict.
  void Judge(const Client& client);
  void JudgeUnanswered(const Client& client, const Request& request, std::size_t answers);
  bool HadTimeToRead(const Client& client) const;
  bool GivenUpTooEarly(const Client& client, const Request& request) const;
  bool SlowReader(const Client& client) const;
  bool MayBeRefused(const Client& client, bool after_end) const;
  void Report(int Found::*rule, const std::string& what);

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
  std::size_t ran_between_ = 0;
  int requests_ = 0, handlers_ = 0;
  bool hold_dials_ = false, hold_reads_ = false, hold_answers_ = false, large_answers_ = false;
  bool small_buffers_ = false, limited_ = false, stopped_ = false;
  Found found_;
  std::string why_;
};

// One play, and what it left behind. `ran_between` as above.
Found PlayOnce(const PlayPlan& plan, std::size_t* ran_between, std::string* why);

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_H_
