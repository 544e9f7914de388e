// SPDX-License-Identifier: Apache-2.0
//
// The whole interface of balancer: settings, events, actions and the Balancer that maps one to the other.
//
// A Balancer is pure and deterministic. It has no clock, I/O, threads or globals: time comes in with each
// event and randomness derives from the seed alone. Classes, tenants, zones and kinds are indices into the
// lists of the settings, so names cannot decide anything.
#ifndef BADGERBRIDGE_BALANCER_H_
#define BADGERBRIDGE_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace badgerbridge::balancer {

// The clock is the caller's; its origin is arbitrary and it only advances.
struct Clock {
  using duration = std::chrono::duration<double, std::milli>;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name
  static constexpr bool is_steady = true;
};
using Duration = Clock::duration;
using TimePoint = Clock::time_point;

using RequestId = std::uint64_t;
using BackendId = std::uint32_t;

enum class Idempotency { kIdempotent, kIdempotencyKey, kNotIdempotent };
enum class DeduplicationScope { kAll, kZone, kCell };

struct ClassSettings {
  Idempotency effect = Idempotency::kNotIdempotent;
  DeduplicationScope group =
      DeduplicationScope::kAll;  // keyed classes: the servers that drop each other's repeats
  Duration window{0};            // keyed classes: how long they remember
  Duration latency_objective{0};
  Duration deadline{0};
  double priority_weight = 1;
  double late_weight = 0;  // share of the worth that an answer after the aim still earns
};

struct TenantSettings {
  double quota_per_s = 0;  // requests a second within its share, over all proxies
};

// Defaults are the documented meaning of an absent optional setting; none of them steers a decision.
struct Settings {
  int balancer_count = 1;
  int balancer_index = 0;  // the number of this proxy among them
  int zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_quota_weight = 1;
  double cross_zone_cost = 0;
  bool key_affinity = false;  // a server that served a key lately serves it again with less work
  bool polls_endpoint_list = false;
  int max_attempts = 1;
  Duration max_retry_after{0};  // the longest that refused clients stay away when told; 0: they are not told
  Duration tick{1};
  Duration max_poll_interval{0};  // where the list must be asked for
  double slow_start_floor = 1;    // a starting server has at least this share of its capacity
  Duration slow_start_window{0};  // and all of it no later than this
  double overload_factor = 1;     // it falls over when sent more than this multiple of its capacity
  Duration overload_duration{0};  // for this long
};

enum class BackendState { kGone, kReady, kDraining };
enum class EndpointListKind { kDelta, kFull, kCached, kFailed };

struct BackendEntry {
  BackendId server = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  BackendState state = BackendState::kReady;
  double weight = 1;
  TimePoint up_since{};  // zero: long ago
};

// How an attempt ended. Full, connect failed and moot prove that it never ran; moot, that it was never sent,
// through no fault of the server.
enum class Outcome {
  kOk,
  kError,
  kRejected,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent,
  kUnknown
};

// ---- events -------------------------------------------------------------------------------------------
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kDelta;
  std::vector<BackendEntry> entries;
};
struct Submit {
  RequestId request = 0;
  TimePoint due{};  // the client gives this try up then
  int request_class = 0;
  int tenant = 0;
  std::uint64_t key = 0;  // 0: none
  bool has_hint = false;
  bool client_retry = false;
  double work_ms = 0;  // hinted work on a standard core
};
struct StreamStarted {
  RequestId request = 0;
  int attempt = 0;
};
struct AttemptEnded {
  RequestId request = 0;
  int attempt = 0;
  BackendId server = 0;
  bool settled = false;  // the request has its final answer
  Outcome outcome = Outcome::kUnknown;
  Duration took{0};
};
struct ClientDisconnected {
  RequestId request = 0;
};
struct TimerFired {
  std::uint64_t token = 0;  // of its SetTimer
};
struct ZoneQuotas {  // how much this proxy may send to each zone from here on; until the first: all it likes
  std::vector<double> work_per_ms;  // by zone, hinted work; below 0: without limit
};
using Event = std::variant<EndpointListUpdate, Submit, StreamStarted, AttemptEnded, ClientDisconnected,
                           TimerFired, ZoneQuotas>;

// ---- actions ------------------------------------------------------------------------------------------
struct Dispatch {
  RequestId request = 0;
  BackendId server = 0;
  Duration timeout{0};                        // 0: until the client gives up
  TimePoint begin_before = TimePoint::max();  // a repeat whose connection is not up by then must not be sent
};
struct CancelAttempt {  // stops waiting for an attempt that is out; it ends as cancelled, or as it already
                        // has
  RequestId request = 0;
  int attempt = 0;
};
struct Reject {  // final; tells the client that another try is harmless
  RequestId request = 0;
  Duration retry_after{0};  // 0: no advice
};
struct FailRequest {  // final; promises nothing
  RequestId request = 0;
};
struct SetTimer {
  TimePoint at{};
  std::uint64_t token = 0;
};
struct Subscribe {};  // ask discovery for the changes from here on
struct Log {
  std::string text;
};
using Action = std::variant<Dispatch, CancelAttempt, Reject, FailRequest, SetTimer, Subscribe, Log>;

// What the module holds of a server, as of the last event; for people and tools, never for a decision.
struct BackendView {
  BackendEntry entry;
  bool ejected = false;
  TimePoint ejected_until{};  // while ejected
  bool silent = false;        // the last that it owed ran out of time
  int in_flight = 0;          // attempts of this proxy
  double work_in_flight = 0;  // hinted, ms on a standard core
  double slowness = 1;        // time of its answers over what the fleet takes for the like
  double warm_share = 1;      // of its capacity, at the least; 1: warm
  double cold_budget = 0;     // work that it may be sent within the rule's window; only while cold
  double cold_sent = 0;       // and was, within the window
};

class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends what is to be done at `now` because of `event`. Ignores what it does not know; never throws on
  // the content of an event.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  // Every server that is not forgotten, by id.
  std::vector<BackendView> Inspect() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_H_
