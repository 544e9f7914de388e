// SPDX-License-Identifier: Apache-2.0
#include "membership/registrar.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "membership/etcd_source.h"

namespace badgerbridge::membership {

namespace asio = boost::asio;
namespace pb = etcdserverpb;
using Actions = Registration;

Registrar::Registrar(asio::io_context& io, etcd::ClientSettings client, RegistrationSettings settings,
                     std::uint64_t seed, std::function<void(const Registration&)> told)
    : client_(io, std::move(client), seed),
      registration_(settings),
      // Short enough that a lost answer costs no lease: it is asked at a third of its life.
      timeout_(std::clamp<std::int64_t>(settings.ttl_s * 1000 / 3, 200, 2000)),
      told_(std::move(told)),
      timer_(io) {}

asio::awaitable<void> Registrar::Carry(Registration::Action action) {
  etcd::Status status;
  if (auto* grant = std::get_if<Actions::Grant>(&action)) {
    pb::LeaseGrantResponse response;
    status = co_await client_.Call("/etcdserverpb.Lease/LeaseGrant", grant->request, &response, timeout_);
    registration_.Granted(EtcdSource::Now(), status, response);
  } else if (auto* read = std::get_if<Actions::Read>(&action)) {
    pb::RangeResponse response;
    status = co_await client_.Call("/etcdserverpb.KV/Range", read->request, &response, timeout_);
    registration_.WasRead(EtcdSource::Now(), status, response);
  } else if (auto* write = std::get_if<Actions::Write>(&action)) {
    pb::TxnResponse response;
    status = co_await client_.Call("/etcdserverpb.KV/Txn", write->request, &response, timeout_);
    registration_.Written(EtcdSource::Now(), status, response);
  } else if (auto* alive = std::get_if<Actions::KeepAlive>(&action)) {
    // A stream both ways in the API; one question and its end make it a single call.
    pb::LeaseKeepAliveResponse response;
    status = co_await client_.Call("/etcdserverpb.Lease/LeaseKeepAlive", alive->request, &response, timeout_);
    registration_.KeptAlive(EtcdSource::Now(), status, response);
  } else if (auto* revoke = std::get_if<Actions::Revoke>(&action)) {
    pb::LeaseRevokeResponse response;
    status = co_await client_.Call("/etcdserverpb.Lease/LeaseRevoke", revoke->request, &response, timeout_);
    registration_.Revoked(EtcdSource::Now(), status);
  } else if (auto* wait = std::get_if<Actions::Wait>(&action)) {
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    timer_.expires_after(std::max(Time(1), wait->until - EtcdSource::Now()));
    co_await timer_.async_wait(token);
  }
}

asio::awaitable<void> Registrar::Run() {
  while (!registration_.ended()) {
    co_await Carry(registration_.Next(EtcdSource::Now()));
    if (told_) told_(registration_);
  }
}

void Registrar::Stop() {
  registration_.Stop(EtcdSource::Now());
  timer_.cancel();
}

}  // namespace badgerbridge::membership
