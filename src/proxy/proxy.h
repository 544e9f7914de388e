// SPDX-License-Identifier: Apache-2.0
//
// Between the sockets and the table of requests (src/request_table): passes events to the table, carries out
// its actions, and keeps what the table has no need of: bodies, and the clients to answer.
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

/// Observes the traffic of a proxy (src/zone_failover), and changes nothing.
class TrafficObserver {
 public:
  virtual ~TrafficObserver() = default;
  /// A list, or a change to it, has been taken over.
  virtual void OnEndpointList(TimePoint now, const EndpointList& list) = 0;
  /// A request has come.
  virtual void OnRequest(TimePoint now, const Submit& submit) = 0;
  /// An attempt of a request that was accepted as `submit` begins; OnAttemptEnded follows exactly once.
  virtual void OnAttemptSent(TimePoint now, const request_table::Send& send, const Submit& submit) = 0;
  /// An attempt has ended. `load_report`: X-Backend-Load of its response; empty: none.
  virtual void OnAttemptEnded(TimePoint now, const request_table::Send& send, Outcome outcome,
                              std::string_view load_report) = 0;
};

/// Serves requests by means of the table of requests and the pool of connections to backends. Used on the
/// event loop's thread only.
class Proxy {
 public:
  /// `clock` and `backends` must outlive it, and it must outlive the io_context's last handler.
  Proxy(boost::asio::io_context& io, const ProxyClock& clock, BackendPool& backends, const Config& config);

  /// `subscribe` is called when the decision module polls the endpoint list.
  void SetSubscribeHandler(std::function<void()> subscribe) { subscribe_ = std::move(subscribe); }

  /// Accepts a request, whose `request` is set here and whose `due` is when the client gives up. The
  /// requester is given its answer exactly once, before that, unless ClientDisconnected comes first. If it
  /// throws, the request has not been accepted.
  RequestId Accept(Submit submit, std::shared_ptr<const ForwardedRequest> forwarded,
                   std::shared_ptr<Requester> requester);
  /// The client of a request has left; it is not answered any more.
  void ClientDisconnected(RequestId request);
  /// Takes over a list.
  void UpdateList(EndpointListKind kind, const EndpointList& list);
  /// A poll of the endpoint list has failed.
  void EndpointListFailed();
  /// Limits how much may go to each zone from here on.
  void UpdateZoneQuotas(balancer::ZoneQuotas quotas);
  /// `observer` is notified from here on, and must outlive this; may be null.
  void SetTrafficObserver(TrafficObserver* observer) {
    observer_ = observer;
    backends_.RecordLoadReports();
  }
  /// False: a list is on its way in slices, and what is there of it is too little to serve from.
  void SetListComplete(bool complete) { list_complete_ = complete; }
  /// Whether requests can be served.
  bool CanServe() const { return list_complete_ && backends_.HasReadyBackend(); }
  /// Requests that have no answer yet.
  std::size_t open_requests() const { return table_.open(); }
  /// Counters by service class.
  const std::vector<RequestCounters>& counters() const { return table_.counters(); }
  /// When a list last came that was not cached.
  TimePoint last_list_at() const { return last_list_at_; }
  /// The decision module's state of each backend.
  std::vector<BackendView> Inspect() const { return table_.Inspect(); }

 private:
  // A request that has no answer yet.
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
    std::optional<Outcome> unreported_outcome;  // it has ended, and the table could not be notified
  };
  using OutstandingAttempts = std::unordered_map<RequestId, OutstandingAttempt>;

  static constexpr RequestId kNoRequestId = 0;  // in requests_: one that is not in the table yet

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
  OutstandingAttempts attempts_;  // one a request at most; one may outlast its request
  bool has_unreported_ends_ = false;
  TimePoint last_list_at_{};
  request_table::RequestTable::Actions actions_;  // of the table, not begun yet
  bool processing_ = false;
  bool list_complete_ = true;
  net::OneShotTimer timer_;
  TimePoint timer_at_;  // when the timer is due
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_PROXY_H_
