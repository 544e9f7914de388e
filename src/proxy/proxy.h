// SPDX-License-Identifier: Apache-2.0
//
// Between the sockets and the table of requests (src/request_table): tells it what happens, carries out what
// it says, and keeps what it has no need of: bodies, and whom to answer.
#ifndef BADGERBRIDGE_PROXY_PROXY_H_
#define BADGERBRIDGE_PROXY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/one_shot_timer.h"
#include "proxy/backend_pool.h"
#include "proxy/clock.h"
#include "proxy/config.h"
#include "proxy/discovery.h"
#include "proxy/requester.h"
#include "request_table/request_table.h"

namespace badgerbridge::proxy {

using request_table::RequestCounters;

// Looks on at what goes where (src/zone_failover); it changes nothing.
class TrafficObserver {
 public:
  virtual ~TrafficObserver() = default;
  virtual void OnEndpointList(TimePoint now, const EndpointList& list) = 0;
  virtual void OnRequest(TimePoint now, const Submit& submit) = 0;
  // An attempt of a request that was taken as `submit`; its end is told exactly once.
  virtual void OnAttemptSent(TimePoint now, const request_table::Send& send, const Submit& submit) = 0;
  // `load`: what its answer said in X-Backend-Load; empty: nothing.
  virtual void OnAttemptEnded(TimePoint now, const request_table::Send& send, Outcome outcome,
                              std::string_view load) = 0;
};

class Proxy {
 public:
  Proxy(boost::asio::io_context& io, const ProxyClock& clock, BackendPool& backends, const Config& config);

  // Where the module asks for the list.
  void OnSubscribe(std::function<void()> subscribe) { subscribe_ = std::move(subscribe); }

  // Takes a request, whose `request` is set here and whose `due` is when the client gives up. The requester
  // is given its answer exactly once, before that, unless ClientDisconnected comes first.
  RequestId Accept(Submit submit, std::shared_ptr<const Forwarded> forwarded,
                   std::shared_ptr<Requester> requester);
  void ClientDisconnected(RequestId request);
  void UpdateList(EndpointListKind kind, const EndpointList& list);
  void EndpointListFailed();
  // How much may go to each zone from here on.
  void UpdateZoneQuotas(balancer::ZoneQuotas shares);
  // From here on; it must outlive this. None: nothing is told, and nothing kept for it.
  void SetTrafficObserver(TrafficObserver* observer) {
    observer_ = observer;
    backends_.KeepLoads();
  }
  // False: a list is on its way in slices, and what is there yet is too little to serve from.
  void SetListComplete(bool complete) { list_complete_ = complete; }
  bool CanServe() const { return list_complete_ && backends_.AnyReady(); }
  std::size_t open() const { return table_.open(); }
  const std::vector<RequestCounters>& counters() const { return table_.counters(); }  // by class
  TimePoint list_at() const { return list_at_; }  // when discovery last told something
  std::vector<BackendView> Inspect() const { return table_.Inspect(); }

 private:
  struct Entry {
    std::shared_ptr<const Forwarded> forwarded;
    std::shared_ptr<Requester> requester;
    Answer brought;  // by the attempt that served it
    Submit submit;   // for the observer
  };

  // An attempt that is out, and how it ended if the table could not be told yet.
  struct Outstanding {
    request_table::Send action;
    BackendPool::Ticket ticket;
    std::optional<Outcome> ended;
  };
  static constexpr RequestId kUnnumbered = 0;  // in entries_: not in the table yet

  using Attempts = std::unordered_map<RequestId, Outstanding>;

  void Turn();
  void TellEnd(Attempts::iterator attempt, Outcome outcome);
  void TellEnds();
  void Perform(const request_table::Send& action);
  void Perform(const request_table::Cancel& action);
  void Perform(const request_table::Withdraw& action);
  void Perform(const request_table::Respond& action);
  void Perform(const balancer::Subscribe& action);
  void Perform(const balancer::Log& action);
  void OnAttemptEnd(const request_table::Send& attempt, AttemptResult result);
  void Arm();

  const ProxyClock& clock_;
  BackendPool& backends_;
  request_table::RequestTable table_;
  std::function<void()> subscribe_;
  TrafficObserver* observer_ = nullptr;
  std::unordered_map<RequestId, Entry> entries_;  // of those that are open
  // Of the attempts that are out, one a request; one may outlast its request.
  Attempts out_;
  bool ends_untold_ = false;
  TimePoint list_at_{};
  request_table::RequestTable::Actions actions_;  // said by the table, and not begun yet
  bool performing_ = false;
  bool list_complete_ = true;
  net::OneShotTimer timer_;
  TimePoint armed_{Duration(1e300)};
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_PROXY_H_
