// SPDX-License-Identifier: Apache-2.0
//
// Connections to backends: a pool for each, and one attempt at a time on a connection.
#ifndef BADGERBRIDGE_PROXY_BACKEND_POOL_H_
#define BADGERBRIDGE_PROXY_BACKEND_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "proxy/clock.h"
#include "proxy/discovery.h"
#include "proxy/requester.h"

namespace badgerbridge::proxy {

// What goes on to a backend unchanged.
struct Forwarded {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target, body, correlation_id, idempotency_key, service_class, account;
};

struct AttemptResult {
  Outcome outcome = Outcome::kUnknown;
  std::string body;  // of a 200
  std::string content_type;
  std::string load = {};  // the X-Backend-Load of a whole answer, where KeepLoads asks for it
};

class BackendPool {
 public:
  struct Limits {
    static Limits From(const Config& config);

    std::size_t connections = 480;      // in all
    std::size_t idle_per_backend = 16;  // spares; what a burst left over costs both sides
    // Between two requests on a connection, for a while after a backend has said something unasked: one that
    // answers twice does so some milliseconds apart, and the second answer would pass for the next request's.
    // Always to rest would cost connections (brink, ten seeds: 0.808 of the score for 0.828).
    Duration rest{20};
    Duration connect_timeout{250};
    Duration idle_limit{15000};
  };
  using Done = std::function<void(AttemptResult)>;
  // Brings a connection up, and says once how that ended; never from within the call.
  using Dial = std::function<void(boost::asio::ip::tcp::socket&, const boost::asio::ip::tcp::endpoint&,
                                  std::function<void(boost::system::error_code)>)>;

  BackendPool(boost::asio::io_context& io, const ProxyClock& clock, Limits limits);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  void Update(const EndpointList& list);
  // From here on results bring what an answer says of its backend's load.
  void KeepLoads() { keep_loads_ = true; }
  bool AnyReady() const;
  // In place of the system's connect.
  void DialBy(Dial dial) { dial_ = std::move(dial); }
  // Asked before an attempt's first byte: while it is true, news of the list has come that nobody has
  // handled, as in a process that was held up. The attempt waits for that, a bounded number of turns of the
  // event loop.
  void PostponeWhile(std::function<bool()> list_is_unread) { list_is_unread_ = std::move(list_is_unread); }
  // Called where the first byte of an attempt is about to be written.
  void OnBegin(std::function<void(BackendId, const Forwarded&)> look_on) { on_begin_ = std::move(look_on); }

  class Connection;
  struct Ticket {  // an attempt
    std::weak_ptr<Connection> connection;
    std::uint64_t number = 0;
  };

  // Makes one attempt; `done` is called exactly once, never from within this call. Its first byte is written
  // before `begin_before`, and only to a backend that is ready by then; else it ends as could not connect. It
  // is not written either for a requester, if one is given, that has left by then: the attempt ends as moot.
  Ticket Send(BackendId server, std::shared_ptr<const Forwarded> request, Duration timeout,
              TimePoint begin_before, Done done, std::shared_ptr<Requester> requester = nullptr);

  // Stops waiting for it; it ends as cancelled, unless it has ended already or is known not to have run.
  void Cancel(const Ticket& attempt);
  // Nobody wants its answer any more: unless it has been written whole, it ends as moot, and never runs.
  void Withdraw(const Ticket& attempt);

  std::size_t open() const { return open_; }
  std::size_t known() const { return backends_.size(); }

 private:
  struct Backend {
    boost::asio::ip::tcp::endpoint address;
    BackendState state = BackendState::kGone;
    std::vector<std::shared_ptr<Connection>> idle;  // the newest last
  };

  void CloseIdle(Backend& backend);
  void CloseUntested(BackendId server, TimePoint since);
  std::shared_ptr<Connection> TakeIdle(Backend& backend);
  bool EvictConnection();
  // For a connection: whether its backend takes requests; and its changes of state.
  bool Takes(BackendId server, const boost::asio::ip::tcp::endpoint& address) const;
  void Park(std::shared_ptr<Connection> connection);
  void Unpark(const Connection* connection);

  boost::asio::io_context& io_;
  const ProxyClock& clock_;
  Limits limits_;
  std::unordered_map<BackendId, Backend> backends_;
  TimePoint unasked_at_{};  // when one last said something that nobody had asked for
  std::size_t open_ = 0;
  bool keep_loads_ = false;
  Dial dial_;
  std::function<bool()> list_is_unread_;
  std::function<void(BackendId, const Forwarded&)> on_begin_;
  std::uint64_t attempts_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_BACKEND_POOL_H_
