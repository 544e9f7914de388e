// SPDX-License-Identifier: Apache-2.0

/// \file
/// Unary calls of etcd's v3 API (etcd.proto) with failover between members, backoff with jitter, and renewal
/// of the authentication token. Calls must be safe to execute twice: a call whose connection ends is retried
/// on another member. (A compare-and-swap transaction is safe: the second execution fails its comparison
/// because the first one has changed the key.)
#ifndef BADGERBRIDGE_ETCD_CLIENT_H_
#define BADGERBRIDGE_ETCD_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "etcd/channel.h"
#include "etcd/status.h"

namespace badgerbridge::etcd {

/// Configuration of a client.
struct ClientSettings {
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;  ///< At least one.
  ChannelOptions channel;                                 ///< Options of each connection.
  std::string user;                              ///< If set, calls carry a token obtained with `password`.
  std::string password;                          ///< See `user`.
  std::chrono::milliseconds call_timeout{1000};  ///< Per attempt, including connecting.
  std::chrono::milliseconds first_backoff{20};   ///< After all members have failed; doubles each time.
  std::chrono::milliseconds max_backoff{1000};   ///< Upper bound of the backoff.
};

/// Supports one call at a time. May be used only on the io_context's thread.
class Client {
 public:
  /// Connects on the first call. `io` must outlive the client. `seed` selects the first endpoint and seeds
  /// the jitter.
  Client(boost::asio::io_context& io, ClientSettings settings, std::uint64_t seed);
  /// No call may be in progress.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Calls the method `path` ("/package.Service/Method"). Retries on other members until an attempt succeeds,
  /// fails with a status that is not retriable, or `timeout` has passed; returns the status of the last
  /// attempt. `response` is set if the status is ok. Server failures never cause an exception.
  template <typename Request, typename Response>
  boost::asio::awaitable<Status> Call(std::string path, Request request, Response* response,
                                      std::chrono::milliseconds timeout) {
    const Result<std::string> body =
        co_await CallWithFailover(std::move(path), request.SerializeAsString(), timeout);
    if (!body) co_return body.error();
    if (!response->ParseFromString(*body)) co_return MalformedResponse();
    co_return Status{};
  }

  /// Number of connections opened or attempted.
  std::size_t connection_attempts() const { return connection_attempts_; }

 private:
  boost::asio::awaitable<Result<std::string>> CallWithFailover(std::string path, std::string request,
                                                               std::chrono::milliseconds timeout);
  boost::asio::awaitable<Result<std::string>> CallCurrentEndpoint(std::string path, std::string request,
                                                                  std::chrono::milliseconds timeout);
  boost::asio::awaitable<Status> Connect(std::chrono::milliseconds timeout);
  boost::asio::awaitable<Status> Authenticate(std::chrono::milliseconds timeout);
  boost::asio::awaitable<Result<std::string>> CallOnChannel(std::string path, std::string request,
                                                            std::chrono::milliseconds timeout);
  void SelectNextEndpoint();
  // Returns a random delay from the upper half of `backoff`, and doubles `backoff` up to max_backoff.
  std::chrono::milliseconds NextRetryDelay(std::chrono::milliseconds* backoff);

  boost::asio::io_context& io_;
  ClientSettings settings_;
  std::mt19937_64 random_;
  std::size_t endpoint_ = 0;  // index in settings_.endpoints
  std::size_t connection_attempts_ = 0;
  std::shared_ptr<Channel> channel_;
  std::string token_;  // empty until authenticated
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_CLIENT_H_
