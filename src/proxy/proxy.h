// SPDX-License-Identifier: Apache-2.0
//
// Connects the sockets with the table of requests (src/request_table): passes events to the table, performs
// its actions, and holds the request bodies and the clients waiting for answers.
#ifndef BADGERBRIDGE_PROXY_PROXY_H_
#define BADGERBRIDGE_PROXY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/one_shot_timer.h"
#include "proxy/backend_pool.h"
#include "proxy/clock.h"
#include "proxy/config.h"
#include "proxy/endpoint_list.h"
#include "proxy/requester.h"
#include "request_table/request_table.h"

namespace badgerbridge::proxy {

using request_table::RequestCounters;

/// Observes the traffic of a proxy without changing it (implemented in src/zone_failover).
class TrafficObserver {
 public:
  virtual ~TrafficObserver() = default;
  /// Called when a list, or a change to it, has been applied.
  virtual void OnEndpointList(TimePoint now, const EndpointList& list) = 0;
  /// Called when a request has been received.
  virtual void OnRequest(TimePoint now, const Submit& submit) = 0;
  /// Called when an attempt begins; `submit` describes its request. OnAttemptEnded follows exactly once.
  virtual void OnAttemptSent(TimePoint now, const request_table::Send& send, const Submit& submit) = 0;
  /// Called when an attempt has ended. `load_report`: X-Backend-Load of its response; empty: none.
  virtual void OnAttemptEnded(TimePoint now, const request_table::Send& send, Outcome outcome,
                              std::string_view load_report) = 0;
};

/// Serves requests with the table of requests and the pool of connections to backends. Used on the event
/// loop's thread only.
class Proxy {
 public:
  /// `clock` and `backends` must outlive the proxy, which must outlive the io_context's last handler.
  Proxy(boost::asio::io_context& io, const ProxyClock& clock, BackendPool& backends, const Config& config);

  /// `subscribe` is called when the decision module polls the endpoint list.
  void SetSubscribeHandler(std::function<void()> subscribe) { subscribe_ = std::move(subscribe); }

  /// Accepts a request and returns its id, replacing `submit.request`; `submit.due` is the client's deadline.
  /// The requester gets exactly one answer before the deadline, unless ClientDisconnected() is called first.
  /// If this throws, the request has not been accepted.
  RequestId Accept(Submit submit, std::shared_ptr<const ForwardedRequest> forwarded,
                   std::shared_ptr<Requester> requester);
  /// Reports that the client of a request has disconnected; the request gets no answer. Returns whether an
  /// attempt was passed to the backend pool, as Answer::was_attempted.
  bool ClientDisconnected(RequestId request);
  /// Applies a list of discovery, or a change to it.
  void UpdateList(EndpointListKind kind, const EndpointList& list);
  /// Applies a change that another source than discovery has decided on. It is no answer of discovery, so a
  /// poll that is due stays due.
  void ApplyMembershipChange(const EndpointList& change);
  /// Reports that a poll of the endpoint list has failed.
  void EndpointListFailed();
  /// Replaces the limits on the traffic to each zone.
  void UpdateZoneQuotas(balancer::ZoneQuotas quotas);
  /// Sets the observer, which must outlive the proxy; may be null.
  void SetTrafficObserver(TrafficObserver* observer) {
    observer_ = observer;
    backends_.RecordLoadReports();
  }
  /// `complete` is false while a list is applied in slices and too few backends are known to serve requests.
  void SetListComplete(bool complete) { list_complete_ = complete; }
  /// Whether requests can be served.
  bool CanServe() const { return list_complete_ && backends_.HasReadyBackend(); }
  /// The number of requests without an answer.
  std::size_t open_requests() const { return table_.open(); }
  /// Counters of requests, indexed by service class.
  const std::vector<RequestCounters>& counters() const { return table_.counters(); }
  /// When the last list was received; cached lists don't count.
  TimePoint last_list_at() const { return last_list_at_; }
  /// The decision module's state of each backend.
  std::vector<BackendView> Inspect() const { return table_.Inspect(); }

 private:
  // A request without an answer.
  struct OpenRequest {
    std::shared_ptr<const ForwardedRequest> forwarded;
    std::shared_ptr<Requester> requester;
    Answer answer;  // of the attempt that succeeded
    Submit submit;  // for the observer
  };

  // An attempt whose end the table has not been notified of.
  struct OutstandingAttempt {
    request_table::Send action;
    BackendPool::AttemptHandle handle;
    std::optional<Outcome> unreported_outcome;  // set if it has ended and notifying the table failed
  };
  using OutstandingAttempts = std::unordered_map<RequestId, OutstandingAttempt>;

  static constexpr RequestId kNoRequestId = 0;  // key in requests_ until the table has assigned an id

  void ApplyList(EndpointListKind kind, const EndpointList& list, bool answers_poll);
  void ProcessActions();
  void Perform(const request_table::Send& action);
  void Perform(const request_table::Cancel& action);
  void Perform(const request_table::Withdraw& action);
  void Perform(const request_table::Respond& action);
  void Perform(const balancer::Subscribe& action);
  void Perform(const balancer::Log& action);
  void OnAttemptEnd(const request_table::Send& attempt, AttemptResult result);
  void ReportAttemptEnd(OutstandingAttempts::iterator attempt, Outcome outcome);
  void RetryUnreportedEnds();
  void ArmTimer();

  const ProxyClock& clock_;
  BackendPool& backends_;
  request_table::RequestTable table_;
  std::function<void()> subscribe_;
  TrafficObserver* observer_ = nullptr;
  std::unordered_map<RequestId, OpenRequest> requests_;
  OutstandingAttempts attempts_;  // at most one per request; may outlive its request
  bool has_unreported_ends_ = false;
  TimePoint last_list_at_{};
  request_table::RequestTable::Actions actions_;  // actions of the table that have not been performed
  bool processing_ = false;
  bool list_complete_ = true;
  net::OneShotTimer timer_;
  TimePoint timer_at_;  // when the timer expires
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_PROXY_H_
