// SPDX-License-Identifier: Apache-2.0
#include "membership/registrar.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>
#include <variant>

#include "membership/etcd_source.h"

namespace badgerbridge::membership {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kMinCallTimeout{200};
constexpr milliseconds kMaxCallTimeout{2000};
constexpr Time kMinSleep{1};

// A third of the TTL: the lease is renewed when a third of its TTL has passed, so one lost response does not
// let it expire.
milliseconds CallTimeout(std::chrono::seconds lease_ttl) {
  return std::clamp(milliseconds(lease_ttl) / 3, kMinCallTimeout, kMaxCallTimeout);
}

}  // namespace

Registrar::Registrar(asio::io_context& io, etcd::ClientSettings client, RegistrationSettings settings,
                     std::uint64_t seed, OnStep on_step)
    : client_(io, std::move(client), seed),
      registration_(settings),
      call_timeout_(CallTimeout(settings.lease_ttl)),
      on_step_(std::move(on_step)),
      timer_(io) {}

template <typename Request, typename Response>
asio::awaitable<void> Registrar::Call(const char* method, Request request,
                                      void (Registration::*on_answer)(Time, const etcd::Status&,
                                                                      const Response&)) {
  Response response;
  const etcd::Status status = co_await client_.Call(std::string("/etcdserverpb.") + method,
                                                    std::move(request), &response, call_timeout_);
  (registration_.*on_answer)(EtcdSource::Now(), status, response);
}

asio::awaitable<void> Registrar::Sleep(Time until) {
  boost::system::error_code ignored;  // Stop cancels the timer
  auto token = asio::redirect_error(asio::use_awaitable, ignored);
  timer_.expires_after(std::max(kMinSleep, until - EtcdSource::Now()));
  co_await timer_.async_wait(token);
}

asio::awaitable<void> Registrar::Execute(Registration::Action action) {
  if (auto* grant = std::get_if<Registration::GrantLease>(&action)) {
    co_await Call("Lease/LeaseGrant", grant->request, &Registration::OnLeaseGranted);
  } else if (auto* read = std::get_if<Registration::ReadKey>(&action)) {
    co_await Call("KV/Range", read->request, &Registration::OnKeyRead);
  } else if (auto* write = std::get_if<Registration::WriteKey>(&action)) {
    co_await Call("KV/Txn", write->request, &Registration::OnKeyWritten);
  } else if (auto* keep_alive = std::get_if<Registration::KeepLeaseAlive>(&action)) {
    // LeaseKeepAlive is a bidirectional stream; one request and the end of the stream make it a unary call.
    co_await Call("Lease/LeaseKeepAlive", keep_alive->request, &Registration::OnLeaseKeptAlive);
  } else if (auto* revoke = std::get_if<Registration::RevokeLease>(&action)) {
    co_await Call("Lease/LeaseRevoke", revoke->request, &Registration::OnLeaseRevoked);
  } else if (auto* wait = std::get_if<Registration::Wait>(&action)) {
    co_await Sleep(wait->until);
  }
}

asio::awaitable<void> Registrar::Run() {
  while (!registration_.has_ended()) {
    co_await Execute(registration_.Next(EtcdSource::Now()));
    if (on_step_) on_step_(registration_);
  }
}

void Registrar::Stop() {
  registration_.Stop(EtcdSource::Now());
  timer_.cancel();
}

}  // namespace badgerbridge::membership
