// SPDX-License-Identifier: Apache-2.0

/// \file
/// Unary calls of etcd's v3 API (etcd.proto) at whichever member answers: failover with backoff and jitter,
/// and a token that is renewed. For calls that may run twice: one whose connection ends is made again at
/// another member. (A compare-and-swap transaction may: its second run finds that the first has changed the
/// key.)
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
  ChannelOptions channel;                                 ///< Of each connection.
  std::string user;                                       ///< With `password`: calls carry a token.
  std::string password;                                   ///< See `user`.
  std::chrono::milliseconds call_timeout{1000};  ///< Of an attempt at one member, connecting included.
  std::chrono::milliseconds first_backoff{20};   ///< Once every member has failed; doubles each time.
  std::chrono::milliseconds max_backoff{1000};   ///< At most.
};

/// One call at a time. To be used on the io_context's thread only.
class Client {
 public:
  /// Connects with the first call. `io` must outlive this. `seed` seeds the first endpoint and the jitter.
  Client(boost::asio::io_context& io, ClientSettings settings, std::uint64_t seed);
  /// No call may be in progress.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Calls the method `path`, "/package.Service/Method", until a response comes that another member could
  /// not improve, or `timeout` has passed; then the status is that of the last attempt. `response` is set if
  /// the status is ok. Does not throw for anything that the servers do.
  template <typename Request, typename Response>
  boost::asio::awaitable<Status> Call(std::string path, Request request, Response* response,
                                      std::chrono::milliseconds timeout) {
    const Result<std::string> body =
        co_await CallWithFailover(std::move(path), request.SerializeAsString(), timeout);
    if (!body) co_return body.error();
    if (!response->ParseFromString(*body)) co_return MalformedResponse();
    co_return Status{};
  }

  /// How many connections were opened, or attempted.
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
  // Draws a pause from the upper half of `backoff`, and doubles that up to the longest.
  std::chrono::milliseconds DrawBackoff(std::chrono::milliseconds* backoff);

  boost::asio::io_context& io_;
  ClientSettings settings_;
  std::mt19937_64 random_;
  std::size_t endpoint_ = 0;  // index of the current one
  std::size_t connection_attempts_ = 0;
  std::shared_ptr<Channel> channel_;
  std::string token_;  // empty: none yet
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_CLIENT_H_
