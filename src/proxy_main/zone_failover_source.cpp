// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/zone_failover_source.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "membership/etcd_settings.h"
#include "proxy_main/zone_failover_calls.h"
#include "proxy_main/zone_failover_settings.h"

namespace badgerbridge::proxy_main {
namespace {

namespace asio = boost::asio;
namespace pb = etcdserverpb;
using balancer::Duration;
using balancer::TimePoint;
using std::chrono::milliseconds;
using zone_failover::Member;

constexpr milliseconds kMaxUpdateInterval{
    250};  // updates are periodic because grants expire without an event
constexpr Duration kMinUpdateInterval{1};
constexpr milliseconds kMinCallTimeout{500};
constexpr milliseconds kMinAttemptTimeout{150};        // of one attempt, which goes to a single etcd member
constexpr std::uint64_t kJitterSeedMask = 0x7265676f;  // makes the jitter independent of the proxy's

// Sends a Member's calls to etcd. It holds copies of the settings because its caller may be destroyed before
// a call completes. The client cancels its calls on destruction.
class CallSender {
 public:
  CallSender(etcd::Client& client, std::string prefix, std::string name, milliseconds timeout)
      : client_(client), prefix_(std::move(prefix)), name_(std::move(name)), timeout_(timeout) {}

  asio::awaitable<Member::Reply> operator()(const Member::GrantLease& call) {
    pb::LeaseGrantResponse response;
    const etcd::Status status =
        co_await client_.Call("/etcdserverpb.Lease/LeaseGrant", ToEtcd(call), &response, timeout_);
    co_return FromEtcd(status, response);
  }

  // LeaseKeepAlive is a bidirectional stream; one request followed by the end of the stream is a unary call.
  asio::awaitable<Member::Reply> operator()(const Member::KeepLeaseAlive& call) {
    pb::LeaseKeepAliveResponse response;
    const etcd::Status status =
        co_await client_.Call("/etcdserverpb.Lease/LeaseKeepAlive", ToEtcd(call), &response, timeout_);
    co_return FromEtcd(status, response);
  }

  asio::awaitable<Member::Reply> operator()(const Member::Heartbeat& call) {
    return SendTransaction(ToEtcd(call, prefix_, name_));
  }

  asio::awaitable<Member::Reply> operator()(const Member::Campaign& call) {
    return SendTransaction(ToEtcd(call, prefix_, name_));
  }

  asio::awaitable<Member::Reply> operator()(const Member::Propose& call) {
    return SendTransaction(ToEtcd(call, prefix_));
  }

 private:
  asio::awaitable<Member::Reply> SendTransaction(pb::TxnRequest request) {
    pb::TxnResponse response;
    const etcd::Status status =
        co_await client_.Call("/etcdserverpb.KV/Txn", std::move(request), &response, timeout_);
    co_return FromEtcd(status, response, prefix_);
  }

  etcd::Client& client_;
  const std::string prefix_;
  const std::string name_;
  const milliseconds timeout_;
};

}  // namespace

ZoneFailoverSource::ZoneFailoverSource(asio::io_context& io, const proxy::ProxyClock& clock,
                                       const proxy::Config& config,
                                       const operator_config::ZoneFailoverSettings& settings,
                                       OnQuotas on_quotas)
    : io_(io),
      clock_(clock),
      prefix_(settings.prefix),
      name_(config.name),
      zones_{config.zones, static_cast<std::size_t>(config.settings.zone)},
      is_coordinated_(settings.coordinated),
      call_timeout_(std::max<milliseconds>(settings.heartbeat * 2, kMinCallTimeout)),
      on_quotas_(std::move(on_quotas)),
      member_(MakeMemberSettings(config, settings).value(), config.seed ^ kJitterSeedMask),
      traffic_(config, member_),
      timer_(io) {
  if (is_coordinated_) {
    etcd::ClientSettings client = membership::MakeEtcdClientSettings(settings).value();
    // An unresponsive etcd member must leave time for an attempt at the next one.
    client.call_timeout = std::max(kMinAttemptTimeout, call_timeout_ / 2);
    client_.emplace(io, std::move(client), config.seed);
  }
  asio::post(io_, [this, is_alive = is_alive_] {
    if (*is_alive) Advance();
  });
}

ZoneFailoverSource::~ZoneFailoverSource() { *is_alive_ = false; }

void ZoneFailoverSource::Advance() {
  const TimePoint now = clock_.Now();
  if (!is_calling_) StartNextCall(now);
  PublishQuotas(now);
  ArmTimer(now);
}

void ZoneFailoverSource::StartNextCall(TimePoint now) {
  member_.UpdateWarmBackends(traffic_.WarmBackends(now));
  std::optional<Member::Call> call = member_.NextCall(now);
  if (!call) return;
  is_calling_ = true;
  asio::co_spawn(io_, CallEtcd(std::move(*call)), asio::detached);
}

void ZoneFailoverSource::PublishQuotas(TimePoint now) {
  std::vector<double> quotas = member_.ZoneQuotas(now);
  if (quotas == published_quotas_) return;
  published_quotas_ = quotas;
  on_quotas_({std::move(quotas)});
}

void ZoneFailoverSource::ArmTimer(TimePoint now) {
  Duration wait = kMaxUpdateInterval;
  if (!is_calling_)
    wait = std::clamp<Duration>(member_.wake_at() - now, kMinUpdateInterval, kMaxUpdateInterval);
  timer_.ArmAfter(std::chrono::ceil<milliseconds>(wait), [this] { Advance(); });
}

asio::awaitable<void> ZoneFailoverSource::CallEtcd(Member::Call call) {
  const std::shared_ptr<bool> is_alive = is_alive_;
  CallSender sender(*client_, prefix_, name_, call_timeout_);
  const Member::Reply reply = co_await std::visit(sender, call);
  if (!*is_alive) co_return;
  is_calling_ = false;
  member_.CallEnded(clock_.Now(), reply);
  Advance();
}

boost::json::value ZoneFailoverSource::DescribeStatus() const {
  return EncodeZoneStatus(clock_.Now(), member_, zones_, is_coordinated_);
}

}  // namespace badgerbridge::proxy_main
