// SPDX-License-Identifier: Apache-2.0
#include "etcd/client.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "etcd.pb.h"

namespace badgerbridge::etcd {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// A callback that a coroutine waits for: whoever holds it may call it once the waiter is gone.
struct Waiter {
  explicit Waiter(asio::io_context& io) : timer(io, Clock::time_point::max()) {}
  asio::steady_timer timer;
  bool done = false;
  Status status;
  std::string answer;
  void Done(Status how) {
    done = true;
    status = std::move(how);
    timer.cancel();
  }
};

asio::awaitable<void> Await(std::shared_ptr<Waiter> waiter) {
  boost::system::error_code ignored;
  auto token = asio::redirect_error(asio::use_awaitable, ignored);
  while (!waiter->done) co_await waiter->timer.async_wait(token);
}

}  // namespace

Client::Client(asio::io_context& io, ClientSettings settings, std::uint64_t seed)
    : io_(io), settings_(std::move(settings)), random_(seed) {
  endpoint_ = random_() % settings_.endpoints.size();
}

Client::~Client() {
  if (channel_) channel_->Close("it is not wanted any more");
}

asio::awaitable<Status> Client::Connect(milliseconds timeout) {
  const auto waiter = std::make_shared<Waiter>(io_);
  if (channel_) channel_->Close("another connection is tried");
  channel_.reset();
  token_.clear();
  ++connects_;
  Status status;
  ChannelOptions options = settings_.channel;
  options.connect_timeout = std::min(options.connect_timeout, timeout);
  try {
    channel_ = Channel::Open(
        io_, settings_.endpoints[endpoint_], options, [waiter] { waiter->Done({}); },
        [waiter](const std::string& why) {
          waiter->Done({Code::kUnavailable, Ending::kLost, why});
        });
  } catch (const std::exception& bad) {  // the files for TLS: no other member can help
    status = {Code::kFailedPrecondition, Ending::kStatus, bad.what()};
  }
  if (!channel_) co_return status;
  co_await Await(waiter);
  co_return waiter->status;
}

asio::awaitable<Status> Client::One(std::string path, std::string request, std::string* answer,
                                    milliseconds timeout) {
  const auto waiter = std::make_shared<Waiter>(io_);
  std::vector<std::pair<std::string, std::string>> metadata;
  if (!token_.empty()) metadata.emplace_back("token", token_);
  channel_->Unary(path, metadata, request, timeout, [waiter](Status status, std::string body) {
    waiter->answer = std::move(body);
    waiter->Done(std::move(status));
  });
  co_await Await(waiter);
  *answer = std::move(waiter->answer);
  co_return waiter->status;
}

// At the member of the moment: a connection, a token, the call; all of it within `timeout`.
asio::awaitable<Status> Client::Try(std::string path, std::string request, std::string* answer,
                                    milliseconds timeout) {
  const auto due = Clock::now() + timeout;
  const auto left = [&] {
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(due - Clock::now()));
  };
  Status status;
  if (!channel_ || !channel_->is_open() || channel_->going_away()) {
    status = co_await Connect(timeout);
    if (!status.ok()) co_return status;
  }
  if (!settings_.user.empty() && token_.empty()) {
    etcdserverpb::AuthenticateRequest login;
    login.set_name(settings_.user);
    login.set_password(settings_.password);
    std::string text;
    status = co_await One("/etcdserverpb.Auth/Authenticate", login.SerializeAsString(), &text, left());
    etcdserverpb::AuthenticateResponse token;
    if (status.ok() && !token.ParseFromString(text))
      status = {Code::kInternal, Ending::kMalformed, "no such message"};
    if (!status.ok()) co_return status;
    token_ = token.token();
  }
  status = co_await One(std::move(path), std::move(request), answer, left());
  co_return status;
}

asio::awaitable<Status> Client::Raw(std::string path, std::string request, std::string* answer,
                                    milliseconds timeout) {
  const auto due = Clock::now() + timeout;
  milliseconds backoff = settings_.first_backoff;
  bool renewed = false;
  for (std::size_t failed = 0;;) {
    const auto left = std::chrono::duration_cast<milliseconds>(due - Clock::now());
    Status status = co_await Try(path, request, answer,
                                 std::max(milliseconds(1), std::min(settings_.call_timeout, left)));
    const bool old_token = status.code == Code::kUnauthenticated && !token_.empty();
    if (old_token && !renewed) {  // it ran out, or the member was started again
      renewed = true;
      token_.clear();
      continue;
    }
    if (status.ok() || !status.Retriable()) co_return status;
    if (channel_) channel_->Close("another member is tried");
    channel_.reset();
    endpoint_ = (endpoint_ + 1) % settings_.endpoints.size();
    milliseconds wait{0};
    if (++failed % settings_.endpoints.size() == 0) {
      const auto half = static_cast<std::uint64_t>(backoff.count() / 2);
      wait = milliseconds(static_cast<std::int64_t>(half + random_() % (half + 1)));
      backoff = std::min(settings_.most_backoff, backoff * 2);
    }
    if (Clock::now() + wait >= due) co_return status;
    asio::steady_timer pause(io_, wait);
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await pause.async_wait(token);
  }
}

}  // namespace badgerbridge::etcd
