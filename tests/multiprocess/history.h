// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The history of a multi-process run: what clients, backends, discovery and the nemesis each recorded, in
/// processes of their own. Plain values. All times are ms of CLOCK_MONOTONIC, which all processes of a
/// machine share.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_HISTORY_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace badgerbridge::multiprocess {

/// The name of the link proxy's process.
constexpr const char* kLinkProxyProcess = "wire";

/// How a request ended, as its client saw it.
enum class RequestOutcome {
  kServed,     ///< Answered with 200.
  kRejected,   ///< Answered with 429 or 503.
  kFailed,     ///< Answered with another status.
  kLost,       ///< No answer in the client's time, or the connection was closed without one.
  kUnsent,     ///< Never written to a proxy that had accepted the connection.
  kCancelled,  ///< The client itself closed the connection before the answer.
};

/// What a client recorded about one request.
struct RequestRecord {
  std::string id;                 ///< Its correlation id; that of a retry has a "." in it.
  std::size_t request_class = 0;  ///< Index in VerdictRules::classes.
  std::string proxy;              ///< Empty: no proxy was ready.
  double started_at_ms = 0;       ///< When the client's first attempt began.
  /// When its last byte was written for the first time, if recorded. Before `sent_at_ms` if a close crossed
  /// it and it was written again on another connection.
  std::optional<double> first_sent_at_ms;
  double sent_at_ms = 0;                             ///< When its last byte was written.
  double ended_at_ms = 0;                            ///< When it was over.
  RequestOutcome outcome = RequestOutcome::kServed;  ///< How it ended.
  bool has_wrong_response = false;                   ///< Two responses, or one that is not its own.
  std::optional<double> deadline_ms;                 ///< Until when its client waits, if recorded.
  std::optional<double> closed_at_ms;                ///< When its client closed with no answer, if it did.
  bool closed_by_peer = false;                       ///< Lost: the connection was closed before the deadline.
  std::optional<double> previous_response_at_ms;     ///< The last one before on its connection, if any.
  std::optional<double> unread_bytes;  ///< Given up: bytes of its connection not read by the proxy.
  bool is_direct = false;      ///< Its connection was accepted by the proxy's machine, not by the link proxy.
  std::string client_process;  ///< The name of its client's process.
};

/// A request that its client sent a second time, since the close of an idle persistent connection crossed it
/// (RFC 9112, section 9.3.1).
struct CloseRaceRecord {
  std::string id;                                 ///< The request's correlation id.
  std::string proxy;                              ///< The proxy that closed the connection.
  double sent_at_ms = 0;                          ///< When its last byte was written.
  double close_seen_at_ms = 0;                    ///< When the client saw the close.
  std::optional<double> previous_response_at_ms;  ///< The last one before on the connection, if any.
  bool is_unread = false;  ///< The proxy never read it, as the operating system reports.
};

/// What a backend recorded about one request that it received complete.
struct AttemptRecord {
  std::string id;                      ///< The request's correlation id.
  std::string idempotency_key;         ///< Empty: none.
  std::string backend;                 ///< Name of the backend.
  std::string deduplication_scope;     ///< Names the backends that drop each other's repeats of a key.
  double received_at_ms = 0;           ///< When it was complete.
  bool took_effect = false;            ///< The backend began its work.
  double work_ms = 0;                  ///< ms of a standard core; 0: the mean.
  std::optional<double> time_left_ms;  ///< X-Time-Left-Ms, if it was sent.
  std::string backend_process;         ///< The name of its backend's process.
};

/// A backend's state that was written to one proxy by discovery, or to etcd.
struct EndpointNotification {
  std::string proxy;      ///< The proxy that was notified.
  std::string backend;    ///< The backend concerned.
  bool is_ready = true;   ///< False: draining, or gone.
  double sent_at_ms = 0;  ///< When it was written.
};

/// Why a proxy could not work through no fault of its own.
enum class DisruptionKind {
  kDown,          ///< Killed, or cut off: excuses every loss meanwhile.
  kStopped,       ///< Stopped by SIGSTOP: excuses a late answer, not a close without one.
  kStarved,       ///< Waited for a processor: as kStopped, also for direct clients.
  kNotListening,  ///< Shut down as requested: excuses what the link proxy accepted for it from then on.
};

/// A period in which a proxy could not work through no fault of its own.
struct Disruption {
  std::string proxy;                            ///< Name of the proxy.
  double from_ms = 0;                           ///< Its beginning.
  double until_ms = 0;                          ///< Its end.
  DisruptionKind kind = DisruptionKind::kDown;  ///< What happened.
  bool interrupted_work = false;  ///< A stop that caught the proxy elsewhere than waiting for events.
};

/// A period in which the system did not run one of the test's own processes.
struct EventLoopLag {
  double from_ms = 0;        ///< When its event loop should have run.
  double until_ms = 0;       ///< When it did.
  std::string process = {};  ///< Its name.
};

/// The start of a backend as a new process, in slow start.
struct BackendStart {
  std::string backend;       ///< Name of the backend.
  double started_at_ms = 0;  ///< When it started.
};

/// All records of a run.
struct History {
  std::vector<RequestRecord> requests;              ///< By clients.
  std::vector<CloseRaceRecord> close_races;         ///< By direct clients.
  std::vector<AttemptRecord> attempts;              ///< By backends.
  std::vector<EndpointNotification> notifications;  ///< By discovery and etcd.
  std::vector<Disruption> disruptions;              ///< By the nemesis.
  std::vector<EventLoopLag> lags;                   ///< By all processes of the test.
  std::vector<BackendStart> backend_starts;         ///< By the nemesis.
  std::vector<std::string> overloaded_backends;     ///< Failed under overload in slow start.
  std::uint64_t requests_started = 0;               ///< As the clients count them.
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_HISTORY_H_
