// SPDX-License-Identifier: Apache-2.0
//
// Runs one exchange between a client, the proxy's components and its peers, and injects events between two
// handlers. Everything runs on one io_context, one handler at a time, in virtual time.
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

/// An event injected between two handlers.
enum class InjectedEvent {
  kNone,
  kClientFin,
  kClientReset,
  kNextRequest,     ///< the client sends another request
  kPartialRequest,  ///< the client sends a part of another request
  kBackendAnswers,  ///< the backend of the newest attempt sends its response
  kBackendFin,
  kBackendReset,
  kUnsolicitedByte,  ///< the backend sends an unsolicited byte
  kConnected,        ///< a pending connect to a backend completes
  kDrain,            ///< discovery reports the backend of the newest attempt as draining
  kGone,             ///< discovery reports it as gone
  kListReset,        ///< the watch on discovery is reset
  kListSilent,       ///< the watch on discovery sends nothing more
  kTerm,             ///< SIGTERM
  kHup,              ///< SIGHUP
  kPause,            ///< the process is descheduled, after which several timers expire at once
};

/// The name of an event, for messages.
const char* NameOf(InjectedEvent event);

/// How a backend handles a request.
enum class BackendBehavior {
  kAnswer,
  kReset,
  kUnprocessed,
  kNothing,
  kPartialAnswer,
  kNoLength,
  kAnswerTwice,
  kEndless,
};

/// A fault seeded into the test itself, which the checks must detect.
enum class SeededFault {
  kNone,
  kAnswerDropped,      ///< the client does not receive its answer
  kFalseUnprocessed,   ///< a backend runs a request and reports it as unprocessed
  kDrainWithheld,      ///< the list from discovery is not passed to the proxy
  kDisconnectNotSeen,  ///< the client counts as disconnected, but the proxy sees no close
  kDescriptorLeaked,
};

/// The requests of the client and the behavior of the backends.
struct Exchange {
  const char* name;                        ///< for messages
  std::string text;                        ///< what the client sends
  std::vector<std::string> ids;            ///< correlation ids of the requests, in order
  std::vector<BackendBehavior> behaviors;  ///< for each received request; the last repeats
  bool has_idle_connections = false;       ///< whether the pool has idle connections at the start
  bool has_slow_connects = false;          ///< connects complete at kConnected or when no handler is ready
  int window_ms = 10000;                   ///< deduplication window of a cell
};

/// An event to inject before a step.
struct ScheduledEvent {
  std::size_t step = 0;                        ///< number of handlers that run before it
  InjectedEvent event = InjectedEvent::kNone;  ///< the event
};

/// One run of an exchange. Checks the four rules (RuleViolations) by what the peers observe.
class InterleavingRun : public TrafficObserver {
 public:
  /// `exchange` must outlive this object.
  InterleavingRun(const Exchange& exchange, std::vector<ScheduledEvent> events, SeededFault fault);

  /// Runs to the end and adds the violations. Returns the number of steps.
  std::size_t Run(RuleViolations& violations);

  /// The descriptor that SeededFault::kDescriptorLeaked leaks; -1: none.
  int leaked_descriptor() const { return leaked_descriptor_; }

  void OnEndpointList(TimePoint, const EndpointList&) override {}
  void OnRequest(TimePoint, const Submit&) override {}
  void OnAttemptSent(TimePoint, const request_table::Send& send, const Submit&) override {
    newest_backend_ = send.server;
  }
  void OnAttemptEnded(TimePoint, const request_table::Send&, Outcome, std::string_view) override {}

 private:
  static constexpr std::size_t kBackends = 3;

  // A request that has run on a backend.
  struct SeenRequest {
    std::size_t backend;
    std::string id;
    std::string service_class;
  };

  // Setup.
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

  // Peers.
  std::shared_ptr<Wire> Connect();
  std::string ListOf(bool snapshot) const;
  void Serve(std::size_t backend, Wire& wire);
  void OnAttemptBegin(BackendId backend, const ForwardedRequest& request);
  void FinishConnect();
  Wire* LiveBackendWire() const;
  static std::string IdReceivedOn(Wire& wire);

  // Events.
  void Apply(InjectedEvent event);
  void ApplyToClient(InjectedEvent event);
  void ApplyToBackend(InjectedEvent event);
  void ApplyToDiscovery(InjectedEvent event);
  void ApplyToProxy(InjectedEvent event);
  void DisconnectClient(InjectedEvent event);
  void SendDrain(InjectedEvent event);

  // Checks.
  std::size_t RunSteps(RuleViolations& violations);
  bool IsOver() const;
  bool IsProxyIdle() const;
  void CheckAnswers(RuleViolations& violations);
  void CheckRuns(const std::string& id, bool is_rejected, RuleViolations& violations) const;
  void CheckNothingLeaked(RuleViolations& violations);

  const Exchange& exchange_;
  std::vector<ScheduledEvent> events_;
  SeededFault fault_;
  const tcp::endpoint address_ = OwnAddress();
  badgerbridge::testing::VirtualClock virtual_clock_;  // constructed before anything that reads the time
  asio::io_context io_;
  ProxyClock clock_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::array<std::string, kBackends> names_;
  std::unique_ptr<Peer> discovery_;
  std::unique_ptr<Peer> other_discovery_;  // address after SIGHUP
  std::deque<std::function<void()>> pending_connects_;
  std::optional<BackendPool> pool_;
  std::optional<Proxy> proxy_;
  std::optional<Discovery> watch_;
  std::optional<Listener> listener_;
  std::shared_ptr<Wire> client_;

  std::map<std::string, BackendId> ids_;
  std::set<BackendId> notified_unready_;  // backends reported to the proxy as not ready
  std::set<std::string> begun_;           // ids of requests with an attempt that has begun
  std::vector<std::string> sent_;         // ids of the client's requests
  std::vector<SeenRequest> seen_;
  std::size_t served_ = 0;
  std::optional<BackendId> newest_backend_;
  std::optional<BackendId> drained_;
  Wire* newest_wire_ = nullptr;
  Wire* silent_wire_ = nullptr;            // connection of the watch that sends nothing more
  bool exchange_started_ = false;          // setup is complete and the client is connected
  bool client_disconnected_ = false;       // the client has disconnected
  bool disconnect_not_seen_ = false;       // SeededFault::kDisconnectNotSeen
  bool client_is_closed_ = false;          // the client's socket is closed
  bool has_sent_partial_request_ = false;  // the client has sent a partial request
  bool terminated_ = false;
  bool stopped_ = false;
  bool is_gone_ = false;
  std::map<std::string, TimePoint> first_begun_;
  int late_attempts_ = 0;
  int expired_keys_ = 0;
  int leaked_descriptor_ = -1;
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_CROSSINGS_PLAY_H_
