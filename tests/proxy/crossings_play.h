// SPDX-License-Identifier: Apache-2.0
//
// One exchange between a client, the proxy's real parts and its peers, with events put in between two
// handlers. All run on one io_context, a handler at a time, by a clock of the test's own.
#ifndef BADGERBRIDGE_TESTS_PROXY_CROSSINGS_PLAY_H_
#define BADGERBRIDGE_TESTS_PROXY_CROSSINGS_PLAY_H_

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/crossings_rig.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {

/// What can happen between two handlers.
enum class CrossingEvent {
  kNone,
  kClientFin,
  kClientReset,
  kNextRequest,     ///< the client sends another request
  kHalfRequest,     ///< the client sends a part of another request
  kBackendAnswers,  ///< the backend of the newest attempt sends its response
  kBackendFin,
  kBackendReset,
  kStrayByte,   ///< the backend sends an unsolicited byte
  kConnected,   ///< a connection that is connecting comes up
  kDrain,       ///< discovery sends that the backend of the newest attempt drains
  kDeparture,   ///< discovery sends that it is gone
  kListReset,   ///< the watch on discovery is reset
  kListSilent,  ///< the watch on discovery falls silent
  kTerm,        ///< SIGTERM
  kHup,         ///< SIGHUP
  kPause,       ///< the process is descheduled for a while: several timers are due at once
};

/// The name of an event, for messages.
const char* NameOf(CrossingEvent event);

/// What a backend does with a request.
enum class BackendBehavior {
  kAnswer,
  kReset,
  kUnprocessed,
  kNothing,
  kHalfAnswer,
  kNoLength,
  kAnswerTwice,
  kEndless,
};

/// A fault in the play itself, which the rules must find.
enum class CrossingFault {
  kNone,
  kAnswerSwallowed,  ///< the client does not see its answer
  kDeniesThatItRan,  ///< a backend runs a request and sends that it did not
  kDrainHeldBack,    ///< discovery's notification is not passed on
  kLeaveNotSeen,     ///< the client is taken to have left, and the proxy does not know
  kDescriptorKept,
};

/// What the client sends, and what the backends do.
struct Exchange {
  const char* name;                        ///< for messages
  std::string text;                        ///< what the client sends
  std::vector<std::string> ids;            ///< of the requests in it, in order
  std::vector<BackendBehavior> behaviors;  ///< of the requests that come, the last for all that follow
  bool has_idle_connections = false;       ///< to each backend
  bool has_slow_connects = false;          ///< end by kConnected, or when nothing else is left to do
  int window_ms = 10000;                   ///< for which a cell remembers an idempotency key
};

/// An event ahead of a step.
struct CrossingStep {
  std::size_t step = 0;                        ///< handlers that have run before it
  CrossingEvent event = CrossingEvent::kNone;  ///< what happens
};

/// One play of an exchange. What the peers see is judged by the four rules.
class CrossingsPlay : public TrafficObserver {
 public:
  /// `exchange` must outlive it.
  CrossingsPlay(const Exchange& exchange, std::vector<CrossingStep> events, CrossingFault fault);

  /// Plays to the end and adds the violations. Returns the steps that it took.
  std::size_t Run(RuleViolations& violations);

  /// A descriptor that CrossingFault::kDescriptorKept has left open; -1: none.
  int kept_descriptor() const { return kept_descriptor_; }

  void OnEndpointList(TimePoint, const EndpointList&) override {}
  void OnRequest(TimePoint, const Submit&) override {}
  void OnAttemptSent(TimePoint, const request_table::Send& send, const Submit&) override {
    newest_backend_ = send.server;
  }
  void OnAttemptEnded(TimePoint, const request_table::Send&, Outcome, std::string_view) override {}

 private:
  static constexpr std::size_t kBackends = 3;

  // A request that has run at a backend.
  struct SeenRequest {
    std::size_t backend;
    std::string id;
    std::string service_class;
  };

  // Set-up.
  Config MakeConfig() const;
  void StartPeers();
  void StartPool(const Config& config);
  void StartWatch(const Config& config);
  void OnList(const EndpointList& list);
  void WarmUp();

  // The event loop.
  bool RunHandler();
  void RunHandlerOrWait();
  bool RunUntil(const std::function<bool()>& holds);

  // The peers.
  std::shared_ptr<Wire> Connect();
  std::string ListOf(bool snapshot) const;
  void Serve(std::size_t backend, Wire& wire);
  void OnAttemptBegin(BackendId backend, const ForwardedRequest& request);
  void FinishConnect();
  Wire* LiveBackendWire() const;
  static std::string IdOwedOn(Wire& wire);

  // Events.
  void Apply(CrossingEvent event);
  void ApplyToClient(CrossingEvent event);
  void ApplyToBackend(CrossingEvent event);
  void ApplyToDiscovery(CrossingEvent event);
  void ApplyToProxy(CrossingEvent event);
  void ClientLeaves(CrossingEvent event);
  void SendDrain(CrossingEvent event);

  // The end and the rules.
  std::size_t RunSteps(RuleViolations& violations);
  bool IsOver() const;
  bool IsProxyIdle() const;
  void JudgeAnswers(RuleViolations& violations);
  void JudgeRuns(const std::string& id, bool is_rejected, RuleViolations& violations) const;
  void JudgeWhatIsLeft(RuleViolations& violations);

  const Exchange& exchange_;
  std::vector<CrossingStep> events_;
  CrossingFault fault_;
  const tcp::endpoint address_ = OwnAddress();
  badgerbridge::testing::VirtualClock virtual_clock_;  // constructed before all that reads it
  asio::io_context io_;
  ProxyClock clock_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::array<std::string, kBackends> names_;
  std::unique_ptr<Peer> discovery_;
  std::unique_ptr<Peer> other_discovery_;  // named at SIGHUP
  std::deque<std::function<void()>> pending_connects_;
  std::optional<BackendPool> pool_;
  std::optional<Proxy> proxy_;
  std::optional<Discovery> watch_;
  std::optional<Listener> listener_;
  std::shared_ptr<Wire> client_;

  std::map<std::string, BackendId> ids_;
  std::set<BackendId> notified_unready_;  // of which the proxy has been notified that they are not ready
  std::set<std::string> begun_;           // requests of which an attempt has begun
  std::vector<std::string> sent_;         // ids of the client's requests
  std::vector<SeenRequest> seen_;
  std::size_t served_ = 0;
  std::optional<BackendId> newest_backend_;
  std::optional<BackendId> drained_;
  Wire* newest_wire_ = nullptr;
  Wire* mute_ = nullptr;           // the connection of a watch that has fallen silent
  bool playing_ = false;           // set up, and the client has sent
  bool has_left_ = false;          // the client
  bool leave_is_unseen_ = false;   // CrossingFault::kLeaveNotSeen
  bool client_is_closed_ = false;  // the client's socket
  bool has_sent_half_ = false;     // the client, of a request
  bool terminated_ = false;
  bool stopped_ = false;
  bool departed_ = false;
  std::map<std::string, TimePoint> first_begun_;
  int late_attempts_ = 0;
  int forgotten_keys_ = 0;
  int kept_descriptor_ = -1;
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_CROSSINGS_PLAY_H_
