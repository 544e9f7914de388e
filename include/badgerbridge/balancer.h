// SPDX-License-Identifier: Apache-2.0
/// \file
/// The whole interface of the decision module: settings, events, actions and the Balancer that maps one to
/// the other.
///
/// A Balancer is pure and deterministic. It has no clock, I/O, threads or globals: time comes in with each
/// event and randomness derives from the seed alone. Classes, tenants, zones and kinds are indices into the
/// lists of the settings, so names cannot decide anything. All types but Balancer are plain values, which own
/// what they hold.
#ifndef BADGERBRIDGE_BALANCER_H_
#define BADGERBRIDGE_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace badgerbridge::balancer {

/// The clock of events, in milliseconds. It is the caller's; its origin is arbitrary and it only advances.
struct Clock {
  using duration = std::chrono::duration<double, std::milli>;  ///< Milliseconds, with fractions.
  using rep = duration::rep;                                   ///< As std::chrono wants it.
  using period = duration::period;                             ///< As std::chrono wants it.
  using time_point = std::chrono::time_point<Clock>;           ///< As std::chrono wants it.
  /// It only advances.
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name
  static constexpr bool is_steady = true;
};
using Duration = Clock::duration;     ///< A span of time, in milliseconds.
using TimePoint = Clock::time_point;  ///< A point in time of the caller's clock.

using RequestId =
    std::uint64_t;  ///< Identifies a request; chosen by the caller, unique among those that are open.
using BackendId = std::uint32_t;  ///< Identifies a backend; chosen by the caller.

/// Whether requests of a class may run more than once (RFC 9110, 9.2.2).
enum class Idempotency {
  kIdempotent,      ///< Idempotent: may be repeated anywhere.
  kIdempotencyKey,  ///< Idempotent by a key: backends of a group drop repeats within a window.
  kNotIdempotent,   ///< Not idempotent: must not be repeated once it may have run.
};

/// Which backends drop each other's repeats of a request with an idempotency key.
enum class DeduplicationScope {
  kAll,   ///< All of them.
  kZone,  ///< Those of the same zone.
  kCell,  ///< Those of the same cell of the same zone.
};

/// What the settings say of a class of requests.
struct ClassSettings {
  Idempotency effect = Idempotency::kNotIdempotent;  ///< Whether its requests may run more than once.
  DeduplicationScope group =
      DeduplicationScope::kAll;   ///< Keyed classes: the backends that drop each other's repeats.
  Duration window{0};             ///< Keyed classes: how long backends remember a key.
  Duration latency_objective{0};  ///< Latency objective.
  Duration deadline{0};           ///< What a client waits for, over all its attempts.
  double priority_weight = 1;     ///< Weight of a request answered within the objective.
  double late_weight = 0;         ///< Share of the weight that an answer after the objective still earns.
};

/// What the settings say of a tenant.
struct TenantSettings {
  double quota_per_s = 0;  ///< Requests a second within its quota, over all proxies.
};

/// Everything that is configured. Defaults are the documented meaning of an absent optional setting; none of
/// them steers a decision.
struct Settings {
  int balancer_count = 1;               ///< Number of proxies.
  int balancer_index = 0;               ///< The number of this proxy among them, from 0.
  int zone = 0;                         ///< The zone of this proxy.
  std::vector<ClassSettings> classes;   ///< By request class.
  std::vector<TenantSettings> tenants;  ///< By tenant.
  double over_quota_weight = 1;         ///< Factor of the weight of requests beyond their tenant's quota.
  double cross_zone_cost = 0;  ///< Deducted for an attempt sent to another zone, as a part of a request.
  bool key_affinity = false;   ///< A backend that served a key lately serves it again with less work.
  bool polls_endpoint_list = false;  ///< The endpoint list must be polled; otherwise it is pushed.
  int max_attempts = 1;              ///< Attempts of a request, the first included.
  Duration max_retry_after{0};    ///< The longest that rejected clients are told to stay away; 0: never told.
  Duration tick{1};               ///< Resolution of the caller's clock.
  Duration max_poll_interval{0};  ///< Where the endpoint list is polled: the longest interval between calls.
  double slow_start_floor = 1;    ///< Slow start: a backend has at least this share of its capacity at once,
  Duration slow_start_window{0};  ///< and all of it no later than this.
  double overload_factor = 1;     ///< It is overloaded when sent more than this multiple of its capacity,
  Duration overload_duration{0};  ///< for this long.
};

/// Whether a backend takes requests.
enum class BackendState {
  kGone,      ///< It is no longer listed.
  kReady,     ///< It takes requests.
  kDraining,  ///< It finishes what it has, and takes no more.
};

/// Where an endpoint list comes from.
enum class EndpointListKind {
  kDelta,   ///< Changes: backends that are not in it stay as they are.
  kFull,    ///< All backends: those that are not in it are gone.
  kCached,  ///< All backends as a proxy that starts had them last; they may be old.
  kFailed,  ///< None: the call to discovery failed.
};

/// One backend, as discovery lists it.
struct BackendEntry {
  BackendId server = 0;  ///< Its id.
  int zone = 0;          ///< Its zone; below 0: unknown.
  int kind = 0;          ///< Its kind of machine; backends of a kind have the same capacity.
  int cell = 0;          ///< Its cell within the zone.
  BackendState state = BackendState::kReady;  ///< Whether it takes requests.
  double weight = 1;                          ///< Its listed weight; no decision uses it.
  TimePoint up_since{};                       ///< When it started; zero: long ago.
};

/// How an attempt ended. kRejected, kConnectFailed and kNotSent prove that the backend did not act on it.
enum class Outcome {
  kOk,             ///< Answered with success.
  kError,          ///< Answered with an error.
  kRejected,       ///< Rejected by the backend, unprocessed.
  kTimeout,        ///< Not answered within its time-out or the client's time.
  kConnectFailed,  ///< No connection came up.
  kReset,          ///< The connection was reset while it was out.
  kCancelled,      ///< Given up by the client, or by the balancer.
  kNotSent,        ///< Never sent, through no fault of the backend.
  kUnknown,        ///< Nothing is known.
};

// ---- events -------------------------------------------------------------------------------------------

/// The endpoint list, or a change of it, has arrived.
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kDelta;  ///< Where it comes from.
  std::vector<BackendEntry> entries;                 ///< The backends that it lists; empty if it failed.
};

/// A client has sent a request. It ends with exactly one of: an attempt that is settled, Refuse, Fail, or
/// ClientDisconnected.
struct Submit {
  RequestId request = 0;      ///< Its id; one that is open already is ignored.
  TimePoint due{};            ///< When the client gives this attempt of its own up.
  int request_class = 0;      ///< Index into Settings::classes; an unknown one is refused.
  int tenant = 0;             ///< Index into Settings::tenants; an unknown one has no quota.
  std::uint64_t key = 0;      ///< Hash of its idempotency key; 0: none.
  bool has_hint = false;      ///< `work_ms` is set.
  bool client_retry = false;  ///< The client says that it has tried before.
  double work_ms = 0;         ///< Hinted work, in ms on a standard core.
};

/// The first bytes of an answer have reached the client: no other attempt may follow.
struct StreamStarted {
  RequestId request = 0;  ///< The request.
  int attempt = 0;        ///< The number of the attempt, from 0.
};

/// An attempt has ended. Told once for each Dispatch.
struct AttemptEnded {
  RequestId request = 0;                ///< The request.
  int attempt = 0;                      ///< The number of the attempt, from 0.
  BackendId server = 0;                 ///< The backend that it was sent to.
  bool settled = false;                 ///< The request has its final answer.
  Outcome outcome = Outcome::kUnknown;  ///< How it ended.
  Duration took{0};                     ///< Time since its dispatch.
};

/// The client of a request has closed its connection; the request needs no answer.
struct ClientDisconnected {
  RequestId request = 0;  ///< The request.
};

/// A timer has fired, at its time or a little before or after.
struct TimerFired {
  std::uint64_t token = 0;  ///< The token of its SetTimer.
};

/// How much this proxy may send to each zone from here on; until the first such event there is no limit.
struct ZoneQuotas {
  std::vector<double> work_per_ms;  ///< By zone, hinted work in ms a ms; below 0: without limit.
};

/// Anything that happens to a balancer.
using Event = std::variant<EndpointListUpdate, Submit, StreamStarted, AttemptEnded, ClientDisconnected,
                           TimerFired, ZoneQuotas>;

// ---- actions ------------------------------------------------------------------------------------------

/// Send an attempt. Attempts of a request are numbered from 0 in the order of their dispatch.
struct Dispatch {
  RequestId request = 0;  ///< The request.
  BackendId server = 0;   ///< The backend to send it to.
  Duration timeout{0};    ///< Its time-out; 0: until the client gives up.
  TimePoint begin_before =
      TimePoint::max();  ///< A retry whose connection is not up by then must not be sent.
};

/// Stop waiting for an attempt that is out; it ends as cancelled, or as it already has.
struct CancelAttempt {
  RequestId request = 0;  ///< The request.
  int attempt = 0;        ///< The number of the attempt.
};

/// Answer the client that the request was not processed, and that another attempt is harmless. Final.
struct Reject {
  RequestId request = 0;    ///< The request.
  Duration retry_after{0};  ///< How long the client should stay away; 0: no advice.
};

/// Answer the client that the request failed, without saying whether it was processed. Final.
struct FailRequest {
  RequestId request = 0;  ///< The request.
};

/// Send a TimerFired at a point in time. Earlier timers stay set, and may be dropped by the caller.
struct SetTimer {
  TimePoint at{};           ///< When.
  std::uint64_t token = 0;  ///< To be sent with TimerFired.
};

/// Ask discovery for the endpoint list and its changes from here on.
struct Subscribe {};

/// Write a line to the log. For people: the text may change.
struct Log {
  std::string text;  ///< The line, without an end.
};

/// Anything that a balancer asks of its caller.
using Action = std::variant<Dispatch, CancelAttempt, Reject, FailRequest, SetTimer, Subscribe, Log>;

/// What a balancer holds of a backend, as of the last event; for people and tools, never for a decision.
struct BackendView {
  BackendEntry entry;         ///< As it was listed last.
  bool ejected = false;       ///< Outlier detection has taken it out of service.
  TimePoint ejected_until{};  ///< While it is ejected: when it returns.
  bool silent = false;        ///< Its last attempt timed out or is overdue, and no response came since.
  int in_flight = 0;          ///< Attempts of this proxy.
  double work_in_flight = 0;  ///< Their estimated work, in ms on a standard core.
  double slowness = 1;        ///< Latency of its responses over what the like takes elsewhere.
  double warm_share = 1;      ///< Share of its capacity that it has at the least; 1: warm.
  double cold_budget = 0;     ///< While it warms up: work in ms that it may be sent within the window,
  double cold_sent = 0;       ///< and was sent.
};

/// Decides where requests go, whether they are tried again, and which are rejected. Not thread-safe: one
/// thread at a time may use it.
class Balancer {
 public:
  /// For one proxy. The same settings, seed and events give the same actions.
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();                               ///< Open requests are forgotten without an answer.
  Balancer(Balancer&&) noexcept;             ///< The source may then only be destroyed or assigned to.
  Balancer& operator=(Balancer&&) noexcept;  ///< The same.

  /// Appends what is to be done at `now` because of `event` to `actions`, which must not be null and is not
  /// kept. Ignores what it does not know; throws nothing but std::bad_alloc, whatever the event holds.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  /// Every backend that is not forgotten, by id.
  std::vector<BackendView> Inspect() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_H_
