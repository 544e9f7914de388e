// SPDX-License-Identifier: Apache-2.0
//
// Calls of etcd's v3 API, one question and one answer each, at whichever member answers: fail-over with
// back-off and jitter, a token that is renewed. One call at a time. For work that may run twice: a call whose
// connection ends is made again at another member. (Compare-and-swap may: its second run finds that its first
// has changed the key.)
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

namespace badgerbridge::etcd {

struct ClientSettings {
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;  // at least one
  ChannelOptions channel;
  std::string user, password;                    // both: calls carry a token
  std::chrono::milliseconds call_timeout{1000};  // of one try at one member, with connection and token
  std::chrono::milliseconds first_backoff{20}, most_backoff{1000};  // once every member has failed
};

class Client {
 public:
  Client(boost::asio::io_context& io, ClientSettings settings, std::uint64_t seed);
  ~Client();  // no call may be under way
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // `path` is "/package.Service/Method". Tries until an answer comes that another member could not better, or
  // `timeout` is over: then the newest failure. Never throws for what the other side does.
  template <typename Request, typename Response>
  boost::asio::awaitable<Status> Call(std::string path, Request request, Response* response,
                                      std::chrono::milliseconds timeout) {
    std::string answer;
    Status status = co_await Raw(std::move(path), request.SerializeAsString(), &answer, timeout);
    if (status.ok() && !response->ParseFromString(answer))
      status = {Code::kInternal, Ending::kMalformed, "no such message"};
    co_return status;
  }

  std::size_t connects() const { return connects_; }

 private:
  boost::asio::awaitable<Status> Raw(std::string path, std::string request, std::string* answer,
                                     std::chrono::milliseconds timeout);
  boost::asio::awaitable<Status> Try(std::string path, std::string request, std::string* answer,
                                     std::chrono::milliseconds timeout);
  boost::asio::awaitable<Status> Connect(std::chrono::milliseconds timeout);
  boost::asio::awaitable<Status> One(std::string path, std::string request, std::string* answer,
                                     std::chrono::milliseconds timeout);

  boost::asio::io_context& io_;
  ClientSettings settings_;
  std::mt19937_64 random_;
  std::size_t endpoint_ = 0, connects_ = 0;
  std::shared_ptr<Channel> channel_;
  std::string token_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_CLIENT_H_
