// SPDX-License-Identifier: Apache-2.0
/// \file
/// The whole interface of the decision module: settings, events, actions and the Balancer that maps one to
/// the other.
///
/// A Balancer is pure and deterministic. It has no clock, I/O, threads or globals: time comes in with each
/// event and randomness derives from the seed alone. Classes, tenants, zones and kinds are indices into the
/// lists of the settings, so names influence no decision. All types but Balancer are plain values that own
/// their data.
#ifndef BADGERBRIDGE_BALANCER_H_
#define BADGERBRIDGE_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace badgerbridge::balancer {

/// The monotonic clock of the events, in milliseconds. The caller provides the time; the origin is arbitrary.
struct Clock {
  using duration = std::chrono::duration<double, std::milli>;  ///< Milliseconds, with fractions.
  using rep = duration::rep;                                   ///< Required by std::chrono.
  using period = duration::period;                             ///< Required by std::chrono.
  using time_point = std::chrono::time_point<Clock>;           ///< Required by std::chrono.
  /// Required by std::chrono: the clock never goes back.
  // NOLINTNEXTLINE(readability-identifier-naming): name required by the standard
  static constexpr bool is_steady = true;
};
using Duration = Clock::duration;     ///< A span of time, in milliseconds.
using TimePoint = Clock::time_point;  ///< A point in time on the caller's clock.

using RequestId = std::uint64_t;  ///< Identifies a request; chosen by the caller, unique among open requests.
using BackendId = std::uint32_t;  ///< Identifies a backend; chosen by the caller.

/// Whether requests of a class may be processed more than once (RFC 9110, section 9.2.2).
enum class Idempotency {
  kIdempotent,      ///< May be processed repeatedly by any backend.
  kIdempotencyKey,  ///< Carries a key: backends of one scope drop duplicates within a window.
  kNotIdempotent,   ///< Must not be sent again once a backend may have processed it.
};

/// Which backends share the deduplication of requests with an idempotency key.
enum class DeduplicationScope {
  kAll,   ///< All backends.
  kZone,  ///< The backends of one zone.
  kCell,  ///< The backends of one cell of a zone.
};

/// Settings of one class of requests.
struct ClassSettings {
  Idempotency idempotency =
      Idempotency::kNotIdempotent;  ///< Whether requests may be processed more than once.
  DeduplicationScope deduplication_scope =
      DeduplicationScope::kAll;      ///< With idempotency keys: which backends share deduplication.
  Duration deduplication_window{0};  ///< With idempotency keys: how long backends remember a key.
  Duration latency_objective{0};     ///< Answers that take longer count as late.
  Duration deadline{0};              ///< Time a client waits in total, over all its attempts.
  double priority_weight = 1;        ///< Weight of a request answered within the objective.
  double late_weight = 0;            ///< Factor of the weight of a request answered late.
};

/// Settings of one tenant.
struct TenantSettings {
  double quota_per_s = 0;  ///< Requests per second over all proxies.
};

/// The configuration of a balancer. Each default is the documented meaning of an absent optional setting;
/// no default influences a decision.
struct Settings {
  int balancer_count = 1;               ///< Number of proxies.
  int balancer_index = 0;               ///< Index of this proxy among them, from 0.
  int zone = 0;                         ///< The zone of this proxy.
  std::vector<ClassSettings> classes;   ///< By request class.
  std::vector<TenantSettings> tenants;  ///< By tenant.
  double over_quota_weight = 1;         ///< Weight factor of requests beyond their tenant's quota.
  double cross_zone_cost = 0;        ///< Cost of an attempt sent to another zone, as a fraction of a request.
  bool key_affinity = false;         ///< A backend that served a key recently serves it again with less work.
  bool polls_endpoint_list = false;  ///< Whether the endpoint list must be polled; false: it is pushed.
  int max_attempts = 1;              ///< Maximum attempts per request, including the first.
  Duration max_retry_after{0};       ///< Maximum Retry-After of rejections; 0: none is sent.
  Duration tick{1};                  ///< Resolution of the caller's clock.
  Duration max_poll_interval{0};     ///< With polling: maximum interval between calls to discovery.
  double slow_start_floor = 1;       ///< Slow start: minimum capacity share of a backend at its start.
  Duration slow_start_window{0};     ///< Slow start: time until a backend has its full capacity.
  /// A backend is overloaded if it is sent more than this multiple of its capacity within
  /// `overload_duration`.
  double overload_factor = 1;
  Duration overload_duration{0};  ///< Time window of `overload_factor`.
};

/// Whether a backend accepts requests.
enum class BackendState {
  kGone,      ///< No longer listed.
  kReady,     ///< Accepts requests.
  kDraining,  ///< Finishes requests in flight and accepts no new ones.
};

/// How an endpoint list relates to the previous one, or how the call to discovery ended.
enum class EndpointListKind {
  kDelta,   ///< Incremental: backends that it does not list are unchanged.
  kFull,    ///< Complete: backends that it does not list are gone.
  kCached,  ///< Complete, from the cache of a proxy that has just started; may be stale.
  kFailed,  ///< The call to discovery failed; there is no list.
};

/// One backend in the endpoint list.
struct BackendEntry {
  BackendId server = 0;                       ///< Id of the backend.
  int zone = 0;                               ///< Zone index; negative: unknown.
  int kind = 0;                               ///< Machine type; backends of one type have the same capacity.
  int cell = 0;                               ///< Cell within the zone.
  BackendState state = BackendState::kReady;  ///< Whether it accepts requests.
  double weight = 1;                          ///< Weight in the list; not used for decisions.
  TimePoint up_since{};                       ///< When it started; zero: long ago, so it is warm.
};

/// How an attempt ended. kRejected, kConnectFailed and kNotSent prove that the backend did not process it.
enum class Outcome {
  kOk,             ///< Successful response.
  kError,          ///< Error response.
  kRejected,       ///< Rejected by the backend without processing.
  kTimeout,        ///< No response before its timeout or the client's deadline.
  kConnectFailed,  ///< No connection could be established.
  kReset,          ///< The connection was reset while it was in flight.
  kCancelled,      ///< Cancelled by the client or by the balancer.
  kNotSent,        ///< Never sent, for a reason unrelated to the backend.
  kUnknown,        ///< Unknown; the backend may have processed it.
};

// ---- events -------------------------------------------------------------------------------------------

/// A new endpoint list or an incremental update has arrived.
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kDelta;  ///< How to apply `entries`.
  std::vector<BackendEntry> entries;                 ///< Listed backends; empty for kFailed.
  bool answers_poll = true;                          ///< Whether it ends a Subscribe; false: another source.
};

/// A client has sent a request. It ends with exactly one of: a settled attempt, Reject, FailRequest, or
/// ClientDisconnected.
struct Submit {
  RequestId request = 0;      ///< Id; ignored if a request with this id is open.
  TimePoint due{};            ///< When the client stops waiting for this try.
  int request_class = 0;      ///< Index into Settings::classes; an unknown class is rejected.
  int tenant = 0;             ///< Index into Settings::tenants; an unknown tenant has no quota.
  std::uint64_t key = 0;      ///< Hash of the idempotency key; 0: none.
  bool has_hint = false;      ///< Whether `work_ms` is set.
  bool client_retry = false;  ///< The client marked the request as a retry.
  double work_ms = 0;         ///< Work hint, in ms on a standard core.
};

/// The first bytes of a response were sent to the client, so no further attempt is possible.
struct StreamStarted {
  RequestId request = 0;  ///< Id of the request.
  int attempt = 0;        ///< Index of the attempt, from 0.
};

/// An attempt has ended. The caller sends it once for each Dispatch.
struct AttemptEnded {
  RequestId request = 0;                ///< Id of the request.
  int attempt = 0;                      ///< Index of the attempt, from 0.
  BackendId server = 0;                 ///< Backend of the attempt.
  bool settled = false;                 ///< The request has its final answer.
  Outcome outcome = Outcome::kUnknown;  ///< How it ended.
  Duration took{0};                     ///< Time from its dispatch to its end.
};

/// The client closed its connection; the request needs no answer.
struct ClientDisconnected {
  RequestId request = 0;  ///< Id of the request.
};

/// A timer has fired, possibly slightly before or after its time.
struct TimerFired {
  std::uint64_t token = 0;  ///< Token of the SetTimer action.
};

/// New limits on the work that this proxy may send to each zone. No limit applies before the first such
/// event.
struct ZoneQuotas {
  std::vector<double> work_per_ms;  ///< By zone, work in ms per ms; negative: unlimited.
};

/// Input of Balancer::Handle.
using Event = std::variant<EndpointListUpdate, Submit, StreamStarted, AttemptEnded, ClientDisconnected,
                           TimerFired, ZoneQuotas>;

// ---- actions ------------------------------------------------------------------------------------------

/// Send an attempt to a backend. The attempts of a request are numbered from 0 in dispatch order.
struct Dispatch {
  RequestId request = 0;                      ///< Id of the request.
  BackendId server = 0;                       ///< Target backend.
  Duration timeout{0};                        ///< Timeout of the attempt; 0: the client's deadline.
  TimePoint begin_before = TimePoint::max();  ///< A retry without a connection by then must not be sent.
};

/// Cancel an attempt in flight. An attempt that ended meanwhile keeps its outcome.
struct CancelAttempt {
  RequestId request = 0;  ///< Id of the request.
  int attempt = 0;        ///< Index of the attempt.
};

/// Final answer: the request was not processed, or a retry by the client is safe.
struct Reject {
  RequestId request = 0;    ///< Id of the request.
  Duration retry_after{0};  ///< Retry-After for the client; 0: none.
};

/// Final answer: the request failed and may have been processed.
struct FailRequest {
  RequestId request = 0;  ///< Id of the request.
};

/// Send TimerFired at `at`. Timers set before stay valid, but the caller may drop them.
struct SetTimer {
  TimePoint at{};           ///< When to send TimerFired.
  std::uint64_t token = 0;  ///< Token to pass in TimerFired.
};

/// Request the endpoint list and subsequent updates from discovery.
struct Subscribe {};

/// Write a line to the log. The text is not a stable interface.
struct Log {
  std::string text;  ///< The line without a line terminator.
};

/// Output of Balancer::Handle, to be executed by the caller.
using Action = std::variant<Dispatch, CancelAttempt, Reject, FailRequest, SetTimer, Subscribe, Log>;

/// State of a backend as of the last event, for operators and tools; no decision depends on it.
struct BackendView {
  BackendEntry entry;            ///< Most recent entry in the endpoint list.
  bool ejected = false;          ///< Ejected by outlier detection.
  TimePoint ejected_until{};     ///< End of the ejection; only valid if `ejected`.
  bool unresponsive = false;     ///< Its last attempt timed out or is overdue, without a response since.
  int in_flight = 0;             ///< Attempts of this proxy in flight.
  double work_in_flight = 0;     ///< Their estimated work in ms on a standard core.
  double slowness = 1;           ///< Its latency relative to the usual latency of such requests.
  double capacity_share = 1;     ///< Minimum share of its capacity during slow start; 1: warm.
  double slow_start_budget = 0;  ///< During slow start: work in ms that this proxy may send per window.
  double slow_start_sent = 0;    ///< During slow start: work in ms sent within the window.
};

/// Selects backends for requests and decides on retries and rejections. Not thread-safe: calls must not
/// overlap.
class Balancer {
 public:
  /// Creates the balancer of one proxy. Equal settings, seed and events produce equal actions.
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();                               ///< Drops open requests without an answer.
  Balancer(Balancer&&) noexcept;             ///< The source may only be destroyed or assigned to afterwards.
  Balancer& operator=(Balancer&&) noexcept;  ///< Same condition as above.

  /// Handles `event` at time `now` and appends the resulting actions to `actions`, which must not be null and
  /// is not retained. Ignores unknown ids; throws only std::bad_alloc, even on invalid events.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  /// All backends whose state is kept, ordered by id.
  std::vector<BackendView> Inspect() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_H_
