// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The table of requests in flight: a sans-I/O state machine around the decision module (balancer::Balancer).
/// It uses no socket, clock, thread or global state. The caller reports timestamped events and carries out
/// the returned actions. The proxy and the simulator share this code, so that attempt limits, safety margins
/// and the deadline fallback are the same in both.
///
/// Invariants, which hold at the end of every call:
///  - For each request class, accepted = served + rejected + failed + open.
///  - An accepted request gets exactly one Respond action, before its client's deadline. It gets none if its
///    client disconnected first.
///  - At most min(kMaxAttempts, Settings::max_attempts) attempts of a request are sent, one at a time, and
///    none within kAnswerMargin of the client's deadline.
///  - No attempt is sent for a completed request. An attempt that is in flight when its request completes is
///    withdrawn.
#ifndef BADGERBRIDGE_REQUEST_TABLE_REQUEST_TABLE_H_
#define BADGERBRIDGE_REQUEST_TABLE_REQUEST_TABLE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::request_table {

/// Attempts must end this long (in ms) before the client's deadline, because the answer takes time to reach
/// the client.
constexpr balancer::Duration kAnswerMargin{5};

/// Upper bound of attempts for one request, whatever Settings::max_attempts allows.
constexpr int kMaxAttempts = 4;

/// The table answers a request by itself this long (in ms) before the client's deadline if the decision
/// module has not completed it by then. Less than kAnswerMargin, so that the module has had time to act.
constexpr balancer::Duration kDeadlineFallbackMargin{2};

// ---- actions: the caller carries them out in the order in which they are appended -----------------------

/// Send an attempt of a request. The caller reports its end exactly once, with RequestTable::AttemptEnded.
struct Send {
  balancer::RequestId request = 0;  ///< The request that is attempted.
  int attempt = 0;                  ///< Number of the attempt within its request, from 0.
  balancer::BackendId server = 0;   ///< The server to send the attempt to.
  balancer::Duration timeout{0};    ///< Above 0; after it the attempt ends as Outcome::kTimeout.
  balancer::TimePoint sent_at{};  ///< When this action was decided; the attempt's duration counts from here.
  /// The first byte must be written before this; otherwise the attempt ends as Outcome::kConnectFailed.
  balancer::TimePoint begin_before = balancer::TimePoint::max();
};

/// Stop waiting for the newest attempt of a request. It ends as Outcome::kCancelled, unless it has ended
/// already.
struct Cancel {
  balancer::RequestId request = 0;  ///< The request of the attempt.
  int attempt = 0;                  ///< Number of the attempt within its request.
};

/// Withdraw an attempt, because its request is complete. Unless the attempt has been written completely, it
/// ends as Outcome::kNotSent and the server never executes it.
struct Withdraw {
  balancer::RequestId request = 0;  ///< The completed request.
  int attempt = 0;                  ///< Number of the attempt within its request.
};

/// How a request was completed, as reported to its client.
enum class RequestOutcome {
  kServed,            ///< With the response of the attempt whose end was reported last.
  kRejected,          ///< No attempt had an effect, or the request is idempotent: the client may retry.
  kFailed,            ///< Failed; the request may have had an effect.
  kDeadlineFallback,  ///< Failed: the deadline was reached before the decision module completed the request.
};

/// Send the final response of a request to its client.
struct Respond {
  balancer::RequestId request = 0;                   ///< The request to answer.
  RequestOutcome outcome = RequestOutcome::kFailed;  ///< Determines the status of the response.
  balancer::Duration retry_after{0};  ///< For kRejected: the advised wait before a retry. 0: none.
};

/// An action that the caller must carry out.
using Action = std::variant<Send, Cancel, Withdraw, Respond, balancer::Subscribe, balancer::Log>;

/// Request counts of one class since the table was created.
struct RequestCounters {
  std::uint64_t accepted = 0;             ///< All requests; the sum of the next four.
  std::uint64_t served = 0;               ///< Completed as RequestOutcome::kServed.
  std::uint64_t rejected = 0;             ///< Completed as RequestOutcome::kRejected.
  std::uint64_t failed = 0;               ///< Completed in any other way, or its client disconnected.
  std::uint64_t open = 0;                 ///< In the table now.
  std::uint64_t client_disconnected = 0;  ///< Part of `failed`: the client disconnected before its response.
  std::uint64_t deadline_fallback = 0;    ///< Part of `failed`: RequestOutcome::kDeadlineFallback.

  /// Adds each count of `other`.
  RequestCounters& operator+=(const RequestCounters& other);
};

/// The table of requests in flight, which owns the decision module. Not thread-safe.
///
/// In each call `now` must be no earlier than in the call before. Actions are appended to `actions`, which
/// the caller owns. A call that reports an event may throw std::bad_alloc; nothing has happened then, and the
/// call may be repeated.
class RequestTable {
 public:
  /// Actions in the order in which the caller must carry them out.
  using Actions = std::vector<Action>;

  /// `seed` seeds the random choices of the decision module.
  RequestTable(const balancer::Settings& settings, std::uint64_t seed);

  /// Accepts a request and returns its new id. `submit.request` is ignored, and `submit.due` is the client's
  /// deadline. A request without time left for an attempt is rejected immediately, without consulting the
  /// decision module.
  balancer::RequestId Accept(balancer::TimePoint now, balancer::Submit submit, Actions* actions);

  /// Reports that the client of a request disconnected, so it gets no response. Unknown and completed
  /// requests are ignored.
  void ClientDisconnected(balancer::TimePoint now, balancer::RequestId request, Actions* actions);

  /// Reports the end of an attempt. If the outcome is kOk and the request is open, the first action appended
  /// is the Respond action that serves it.
  void AttemptEnded(balancer::TimePoint now, const Send& attempt, balancer::Outcome outcome,
                    Actions* actions);

  /// Reports that the endpoint list changed or could not be read.
  void UpdateEndpoints(balancer::TimePoint now, balancer::EndpointListUpdate update, Actions* actions);

  /// Sets how much work this proxy may send to each zone from now on.
  void UpdateZoneQuotas(balancer::TimePoint now, balancer::ZoneQuotas quotas, Actions* actions);

  /// Handles all due timers. Call it at NextWake() or later.
  void Wake(balancer::TimePoint now, Actions* actions);

  /// When the earliest timer is due. Empty if no timer is set; only another event can set one then.
  std::optional<balancer::TimePoint> NextWake() const;

  /// Whether the request was accepted and is not complete.
  bool IsOpen(balancer::RequestId request) const { return table_.count(request) > 0; }

  /// Number of requests that are not complete.
  std::size_t open() const { return table_.size(); }

  /// Counters by request class, in the order of Settings::classes.
  const std::vector<RequestCounters>& counters() const { return counters_; }

  /// The decision module's view of each server.
  std::vector<balancer::BackendView> Inspect() const { return balancer_.Inspect(); }

 private:
  struct Entry {
    int request_class = 0;
    int attempts = 0;                            // attempts sent so far
    bool attempt_in_flight = false;              // the newest attempt has not ended
    balancer::TimePoint attempts_due{};          // no attempt is sent at or after this
    balancer::TimePoint deadline_fallback_at{};  // when the table answers by itself
  };
  using Table = std::unordered_map<balancer::RequestId, Entry>;

  // A timer of the decision module.
  struct ModuleTimer {
    balancer::TimePoint due{};
    std::uint64_t token = 0;
    auto operator<=>(const ModuleTimer&) const = default;
  };

  // When the table answers a request by itself.
  struct DeadlineFallback {
    balancer::TimePoint due{};
    balancer::RequestId request = 0;
    auto operator<=>(const DeadlineFallback&) const = default;
  };

  void Insert(const balancer::Submit& submit, const Entry& entry, bool notify_module);
  void EnqueueAndProcess(balancer::TimePoint now, balancer::Event event, Actions* actions);
  void ProcessEvents(balancer::TimePoint now, Actions* actions);
  void ProcessUntilIdle(balancer::TimePoint now, Actions* actions);
  void FireDueTimers(balancer::TimePoint now, Actions* actions);
  void FireModuleTimers(balancer::TimePoint now, Actions* actions);
  void ApplyDeadlineFallbacks(balancer::TimePoint now, Actions* actions);
  void HandleInModule(balancer::TimePoint now, const balancer::Event& event, Actions* actions);
  void PerformDecisions(balancer::TimePoint now, Actions* actions);

  // One overload for each kind of action that the decision module returns.
  void Perform(balancer::TimePoint now, const balancer::Dispatch& action, Actions* actions);
  void Perform(balancer::TimePoint now, const balancer::CancelAttempt& action, Actions* actions);
  void Perform(balancer::TimePoint now, const balancer::Reject& action, Actions* actions);
  void Perform(balancer::TimePoint now, const balancer::FailRequest& action, Actions* actions);
  void Perform(balancer::TimePoint now, const balancer::SetTimer& action, Actions* actions);
  void Perform(balancer::TimePoint now, const balancer::Subscribe& action, Actions* actions);
  void Perform(balancer::TimePoint now, const balancer::Log& action, Actions* actions);

  bool MaySendAttempt(balancer::TimePoint now, const Entry& entry, const balancer::Dispatch& action) const;
  void DeclineDispatch(const balancer::Dispatch& action, Table::iterator entry);
  void Complete(balancer::RequestId request, RequestOutcome outcome, balancer::Duration retry_after,
                Actions* actions);
  RequestCounters& Remove(Table::iterator entry, Actions* actions);
  RequestCounters& CountersOf(int request_class);
  static void ReserveForCompletion(Actions* actions);
  static void LogFailure(const char* what, Actions* actions) noexcept;

  int max_attempts_;
  balancer::Balancer balancer_;
  Table table_;
  std::vector<RequestCounters> counters_;  // by request class
  balancer::RequestId last_request_ = 0;
  std::deque<balancer::Event> pending_events_;  // not handled by the decision module yet
  std::vector<balancer::Action> decisions_;     // returned by its last call
  std::size_t decisions_performed_ = 0;         // number of them carried out
  std::set<ModuleTimer> module_timers_;         // earliest first
  std::set<DeadlineFallback> fallbacks_;        // one for each open request, earliest first
};

}  // namespace badgerbridge::request_table

#endif  // BADGERBRIDGE_REQUEST_TABLE_REQUEST_TABLE_H_
