// SPDX-License-Identifier: Apache-2.0

/// @file
/// The requests of a run: what clients want, their submissions to proxies, and the proxies' attempts.
#ifndef BADGERBRIDGE_SIMULATOR_REQUEST_TRACKER_H_
#define BADGERBRIDGE_SIMULATOR_REQUEST_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "request_table/request_table.h"
#include "simulator/event_queue.h"

namespace badgerbridge::simulator {

/// Numbers of requests, submissions and attempts: each counted from 1 over the run.
using ClientRequestId = std::uint64_t;
using SubmissionId = std::uint64_t;  ///< Of a submission.
using AttemptId = std::uint64_t;     ///< Of an attempt; it is the job's id at the backend, too.

/// What a client wants, over all its submissions.
struct ClientRequest {
  int request_class = 0;      ///< Its class.
  int submissions = 0;        ///< So far.
  int zone = 0;               ///< Of the client.
  TimePoint first_sent_at{};  ///< When it was first submitted.
  double work = 0;            ///< ms of a standard core.
};

/// A request sent to a proxy once, until nothing of it is in progress.
struct Submission {
  int request_class = 0;                  ///< Its class.
  std::uint32_t proxy = 0;                ///< The proxy that it was sent to.
  std::uint32_t proxy_incarnation = 0;    ///< That has accepted it; 0: none has.
  TimePoint sent_at{};                    ///< When the client has sent it.
  TimePoint deadline{};                   ///< When the client stops waiting.
  int pending_attempts = 0;               ///< That its proxy waits for.
  int open_attempts = 0;                  ///< That its proxy waits for, or that run at a backend.
  balancer::RequestId proxy_request = 0;  ///< The proxy's number of it.
  int effects = 0;                        ///< Attempts that have taken effect.
  int effect_scope = -1;                  ///< The deduplication scope of the first effect.
  TimePoint first_effect_at{};            ///< When.
  bool is_answered = false;               ///< It has a final response, or its proxy has died.
  bool is_rejected = false;               ///< Its final response says that nothing has taken effect.
  bool has_disconnected = false;          ///< Its client has.
  bool is_closed = false;                 ///< Its deadline has passed.
  ClientRequestId client_request = 0;     ///< The request that it is of.
  double work = 0;                        ///< ms of a standard core.
};

/// An attempt of a proxy, until it has ended both at the proxy and at the backend.
struct Attempt {
  std::size_t proxy = 0;                ///< The proxy.
  std::uint32_t proxy_incarnation = 0;  ///< That has sent it.
  SubmissionId submission = 0;          ///< That it is of.
  std::size_t backend = 0;              ///< That it was sent to.
  TimePoint backend_up_since{};         ///< Of the backend's process that it was sent to.
  request_table::Send send;             ///< What the core has asked for.
  bool has_ended = false;               ///< Its proxy waits no more.
  bool is_at_backend = false;           ///< It waits or runs there.
  bool uses_idle_connection = false;    ///< Else one is opened for it.
  bool proxy_was_notified = false;      ///< Of the start of the backend's process.
  TimePoint written_at{};               ///< When the request goes out on its connection.
  bool is_reset = false;                ///< Its connection is reset once the request has been written.
};

/// All requests, submissions and attempts that are open. References stay valid until their item is removed.
class RequestTracker {
 public:
  /// Adds a request.
  ClientRequestId Add(const ClientRequest& request) {
    client_requests_.emplace(++last_client_request_, request);
    return last_client_request_;
  }
  /// Adds a submission.
  SubmissionId Add(const Submission& submission) {
    submissions_.emplace(++last_submission_, submission);
    return last_submission_;
  }
  /// Adds an attempt, and counts it with its submission.
  AttemptId Add(const Attempt& attempt) {
    Submission& of_attempt = submission(attempt.submission);
    ++of_attempt.pending_attempts;
    ++of_attempt.open_attempts;
    attempts_.emplace(++last_attempt_, attempt);
    return last_attempt_;
  }

  /// Whether a request is open.
  bool IsOpen(ClientRequestId id) const { return client_requests_.count(id) != 0; }
  /// An open request.
  ClientRequest& client_request(ClientRequestId id) { return client_requests_.at(id); }
  /// An open submission.
  Submission& submission(SubmissionId id) { return submissions_.at(id); }
  /// An open attempt.
  Attempt& attempt(AttemptId id) { return attempts_.at(id); }

  /// A submission; null if it is not open any more.
  Submission* FindSubmission(SubmissionId id) {
    const auto found = submissions_.find(id);
    return found == submissions_.end() ? nullptr : &found->second;
  }
  /// An attempt that its proxy waits for; null if there is none.
  Attempt* FindPendingAttempt(AttemptId id) {
    const auto found = attempts_.find(id);
    return found == attempts_.end() || found->second.has_ended ? nullptr : &found->second;
  }

  /// Removes a request that has ended, if it is open.
  void RemoveClientRequest(ClientRequestId id) { client_requests_.erase(id); }
  /// Removes an attempt that has ended at its proxy and at its backend.
  void RemoveAttempt(AttemptId id) {
    const auto found = attempts_.find(id);
    --submission(found->second.submission).open_attempts;
    attempts_.erase(found);
  }
  /// Removes a submission if nothing of it is in progress: no client waits and no attempt is open.
  void RemoveIfFinished(SubmissionId id) {
    const auto found = submissions_.find(id);
    const bool is_finished =
        found != submissions_.end() && found->second.is_closed && found->second.open_attempts == 0;
    if (is_finished) submissions_.erase(found);
  }

  /// Whether no request and no submission is open.
  bool IsEmpty() const { return client_requests_.empty() && submissions_.empty(); }

 private:
  std::unordered_map<ClientRequestId, ClientRequest> client_requests_;
  std::unordered_map<SubmissionId, Submission> submissions_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  ClientRequestId last_client_request_ = 0;
  SubmissionId last_submission_ = 0;
  AttemptId last_attempt_ = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_REQUEST_TRACKER_H_
