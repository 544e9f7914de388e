// SPDX-License-Identifier: Apache-2.0
#include "etcd/client.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "etcd.pb.h"

namespace badgerbridge::etcd {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kMinTimeout{1};

// The result of a callback that a coroutine waits for. The callback may run after the coroutine has ended.
struct PendingResult {
  explicit PendingResult(asio::io_context& io) : timer(io, Clock::time_point::max()) {}

  void Complete(Status result, std::string body = "") {
    is_complete = true;
    status = std::move(result);
    response = std::move(body);
    timer.cancel();
  }

  asio::steady_timer timer;  // never expires; cancelled on completion
  bool is_complete = false;
  Status status;
  std::string response;
};

asio::awaitable<void> WaitFor(std::shared_ptr<PendingResult> pending) {
  boost::system::error_code ignored;
  auto token = asio::redirect_error(asio::use_awaitable, ignored);
  while (!pending->is_complete) co_await pending->timer.async_wait(token);
}

milliseconds TimeUntil(Clock::time_point deadline) {
  return std::max(kMinTimeout, std::chrono::duration_cast<milliseconds>(deadline - Clock::now()));
}

}  // namespace

Client::Client(asio::io_context& io, ClientSettings settings, std::uint64_t seed)
    : io_(io), settings_(std::move(settings)), random_(seed) {
  endpoint_ = random_() % settings_.endpoints.size();
}

Client::~Client() {
  if (channel_) channel_->Close("the client was destroyed");
}

asio::awaitable<Status> Client::Connect(milliseconds timeout) {
  const auto pending = std::make_shared<PendingResult>(io_);
  if (channel_) channel_->Close("replaced by a new connection");
  channel_.reset();
  token_.clear();
  ++connection_attempts_;
  ChannelOptions options = settings_.channel;
  options.connect_timeout = std::min(options.connect_timeout, timeout);
  Status status;
  try {
    channel_ = Channel::Open(
        io_, settings_.endpoints[endpoint_], options, [pending] { pending->Complete({}); },
        [pending](const ConnectionError& error) {
          pending->Complete({Code::kUnavailable, Ending::kLost, Message(error)});
        });
  } catch (const std::exception& error) {  // unusable TLS files: other members would fail too
    status = {Code::kFailedPrecondition, Ending::kStatus, error.what()};
  }
  if (!channel_) co_return status;
  co_await WaitFor(pending);
  co_return pending->status;
}

asio::awaitable<Result<std::string>> Client::CallOnChannel(std::string path, std::string request,
                                                           milliseconds timeout) {
  const auto pending = std::make_shared<PendingResult>(io_);
  HeaderFields metadata;
  if (!token_.empty()) metadata.push_back({"token", token_});
  channel_->CallUnary(path, metadata, request, timeout, [pending](Status status, std::string body) {
    pending->Complete(std::move(status), std::move(body));
  });
  co_await WaitFor(pending);
  if (!pending->status.ok()) co_return pending->status;
  co_return std::move(pending->response);
}

// Requests a token (etcd.proto, service Auth) for the calls on this connection.
asio::awaitable<Status> Client::Authenticate(milliseconds timeout) {
  etcdserverpb::AuthenticateRequest request;
  request.set_name(settings_.user);
  request.set_password(settings_.password);
  const Result<std::string> body =
      co_await CallOnChannel("/etcdserverpb.Auth/Authenticate", request.SerializeAsString(), timeout);
  if (!body) co_return body.error();
  etcdserverpb::AuthenticateResponse response;
  if (!response.ParseFromString(*body)) co_return MalformedResponse();
  token_ = response.token();
  co_return Status{};
}

// One attempt: connects and authenticates if necessary, then makes the call, all within `timeout`.
asio::awaitable<Result<std::string>> Client::CallCurrentEndpoint(std::string path, std::string request,
                                                                 milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  if (!channel_ || !channel_->is_open() || channel_->going_away()) {
    Status connected = co_await Connect(timeout);
    if (!connected.ok()) co_return connected;
  }
  if (!settings_.user.empty() && token_.empty()) {
    Status authenticated = co_await Authenticate(TimeUntil(deadline));
    if (!authenticated.ok()) co_return authenticated;
  }
  co_return co_await CallOnChannel(std::move(path), std::move(request), TimeUntil(deadline));
}

void Client::SelectNextEndpoint() {
  if (channel_) channel_->Close("failing over to another member");
  channel_.reset();
  endpoint_ = (endpoint_ + 1) % settings_.endpoints.size();
}

milliseconds Client::NextRetryDelay(milliseconds* backoff) {
  const auto half = static_cast<std::uint64_t>(backoff->count() / 2);
  const milliseconds delay(static_cast<std::int64_t>(half + random_() % (half + 1)));
  *backoff = std::min(settings_.max_backoff, *backoff * 2);
  return delay;
}

asio::awaitable<Result<std::string>> Client::CallWithFailover(std::string path, std::string request,
                                                              milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  milliseconds backoff = settings_.first_backoff;
  bool token_was_renewed = false;
  std::size_t failures = 0;
  for (;;) {
    const milliseconds attempt_timeout =
        std::max(kMinTimeout, std::min(settings_.call_timeout, TimeUntil(deadline)));
    Result<std::string> response = co_await CallCurrentEndpoint(path, request, attempt_timeout);
    if (response) co_return response;
    const bool token_expired = response.error().code == Code::kUnauthenticated && !token_.empty();
    if (token_expired && !token_was_renewed) {  // after its lifetime, or because the member restarted
      token_was_renewed = true;
      token_.clear();
      continue;
    }
    if (!response.error().IsRetriable()) co_return response;
    SelectNextEndpoint();
    ++failures;
    const bool all_failed = failures % settings_.endpoints.size() == 0;
    const milliseconds delay = all_failed ? NextRetryDelay(&backoff) : milliseconds(0);
    if (Clock::now() + delay >= deadline) co_return response;
    asio::steady_timer timer(io_, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace badgerbridge::etcd
