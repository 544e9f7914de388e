// SPDX-License-Identifier: Apache-2.0
//
// `multiprocess_test role clients`: the paced clients of one zone.
#include <boost/asio/io_context.hpp>
#include <memory>

#include "http_api/address.h"
#include "multiprocess/clock.h"
#include "multiprocess/event_loop_lag.h"
#include "multiprocess/role_channel.h"
#include "multiprocess/roles.h"
#include "multiprocess/when_done.h"
#include "multiprocess/work_distribution.h"
#include "simulator/distribution.h"
#include "simulator/random.h"
#include "standins/clients.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kWorkStream = 77;  // of the seed

milliseconds ToMilliseconds(double time_ms) { return milliseconds(static_cast<std::int64_t>(time_ms)); }

standins::LoadClass LoadClassFrom(const ClientClass& message) {
  standins::LoadClass load_class;
  load_class.name = message.name;
  load_class.kind = static_cast<standins::Kind>(message.idempotency);
  load_class.share = message.share;
  load_class.deadline = ToMilliseconds(message.deadline_ms);
  return load_class;
}

RequestOutcome OutcomeOf(standins::Record::End end) {
  switch (end) {
    case standins::Record::End::kServed:
      return RequestOutcome::kServed;
    case standins::Record::End::kRefused:
      return RequestOutcome::kRejected;
    case standins::Record::End::kFailed:
      return RequestOutcome::kFailed;
    case standins::Record::End::kLost:
      return RequestOutcome::kLost;
    case standins::Record::End::kUnsent:
      return RequestOutcome::kUnsent;
  }
  return RequestOutcome::kUnsent;
}

class ClientsRole {
 public:
  explicit ClientsRole(asio::io_context& io) : io_(io) {}

  void Begin(const BeginClients& command) {
    standins::Load load;
    load.per_second = command.requests_per_s;
    load.seed = command.seed;
    load.name = command.id_prefix;
    load.tries = command.max_attempts;
    load.pause = ToMilliseconds(command.mean_retry_delay_ms);
    for (const ClientClass& client_class : command.classes) {
      load.classes.push_back(LoadClassFrom(client_class));
      work_.push_back(WorkDistributionOf(client_class));
    }
    random_ = std::make_unique<simulator::Random>(load.seed, kWorkStream);
    load.work = [this](std::size_t request_class) { return work_[request_class].Draw(*random_); };
    std::vector<asio::ip::tcp::endpoint> addresses;
    for (const ProxyAddress& proxy : command.proxies) {
      proxies_.push_back(proxy.name);
      addresses.push_back(http_api::ParseAddress(proxy.address).value());
    }
    clients_ = std::make_unique<standins::Clients>(io_, std::move(addresses), load);
    clients_->OnRecord([this](const standins::Record& record) { Add(record); });
  }

  standins::Clients& clients() { return *clients_; }
  const std::vector<RequestRecord>& records() const { return records_; }

 private:
  void Add(const standins::Record& record) {
    RequestRecord request;
    request.id = record.id;
    request.request_class = record.request_class;
    if (record.proxy < proxies_.size()) request.proxy = proxies_[record.proxy];
    request.started_at_ms = ToMs(record.began);
    request.first_sent_at_ms = ToMs(record.first_sent);
    request.sent_at_ms = ToMs(record.sent);
    request.ended_at_ms = ToMs(record.ended);
    request.outcome = OutcomeOf(record.end);
    request.has_wrong_response = record.doubled;
    request.deadline_ms = ToMs(record.due);
    if (record.closed) request.closed_at_ms = ToMs(*record.closed);
    request.closed_by_peer = record.ended_by_peer;
    records_.push_back(std::move(request));
  }

  asio::io_context& io_;
  std::unique_ptr<standins::Clients> clients_;
  std::vector<std::string> proxies_;
  std::vector<simulator::Distribution> work_;  // by class
  std::unique_ptr<simulator::Random> random_;
  std::vector<RequestRecord> records_;
};

}  // namespace

int RunClientsRole() {
  asio::io_context io(1);
  RoleChannel channel(io);
  EventLoopLagMonitor lag_monitor(io);
  ClientsRole role(io);
  WhenDone when_done(io);
  channel.On<BeginClients>([&](const BeginClients& command) {
    role.Begin(command);
    channel.Send(Ready{});
  });
  channel.On<CountReadyProxies>(
      [&](const CountReadyProxies&) { channel.Send(ReadyProxies{role.clients().ready()}); });
  channel.On<StartLoad>([&](const StartLoad&) { role.clients().Start(); });
  channel.On<ScaleLoad>([&](const ScaleLoad& command) { role.clients().Scale(command.factor); });
  channel.On<StopLoad>([&](const StopLoad&) { role.clients().Stop(); });
  const auto report = [&] {
    channel.SendRecords(&Records::requests, role.records());
    channel.SendRecords(&Records::lags, lag_monitor.lags());
    channel.Send(Ended{role.records().size(), 0});
  };
  channel.On<ReportRecords>([&](const ReportRecords&) {
    role.clients().Stop();
    when_done.Call([&] { return role.clients().Done(); }, report);
  });
  channel.Start();
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
