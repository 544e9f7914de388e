// SPDX-License-Identifier: Apache-2.0
#include "membership/registrar.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "membership/etcd_source.h"

namespace badgerbridge::membership {

namespace asio = boost::asio;

Registrar::Registrar(asio::io_context& io, etcd::ClientSettings client, RegistrationSettings settings,
                     std::uint64_t seed, std::function<void(const Registration&)> told)
    : client_(io, std::move(client), seed),
      registration_(settings),
      // Short enough that a lost answer costs no lease: it is asked at a third of its life.
      timeout_(std::clamp<std::int64_t>(settings.ttl_s * 1000 / 3, 200, 2000)),
      told_(std::move(told)),
      timer_(io) {}

template <typename Request, typename Response>
asio::awaitable<void> Registrar::Ask(const char* method, Request request,
                                     void (Registration::*told)(Time, const etcd::Status&, const Response&)) {
  Response response;
  const etcd::Status status =
      co_await client_.Call(std::string("/etcdserverpb.") + method, std::move(request), &response, timeout_);
  (registration_.*told)(EtcdSource::Now(), status, response);
}

asio::awaitable<void> Registrar::Carry(Registration::Action action) {
  if (auto* grant = std::get_if<Registration::Grant>(&action)) {
    co_await Ask("Lease/LeaseGrant", grant->request, &Registration::Granted);
  } else if (auto* read = std::get_if<Registration::Read>(&action)) {
    co_await Ask("KV/Range", read->request, &Registration::WasRead);
  } else if (auto* write = std::get_if<Registration::Write>(&action)) {
    co_await Ask("KV/Txn", write->request, &Registration::Written);
  } else if (auto* alive = std::get_if<Registration::KeepAlive>(&action)) {
    // A stream both ways in the API; one question and its end make it a single call.
    co_await Ask("Lease/LeaseKeepAlive", alive->request, &Registration::KeptAlive);
  } else if (auto* revoke = std::get_if<Registration::Revoke>(&action)) {
    co_await Ask("Lease/LeaseRevoke", revoke->request, &Registration::Revoked);
  } else if (auto* wait = std::get_if<Registration::Wait>(&action)) {
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
