// SPDX-License-Identifier: Apache-2.0
//
// Stand-in clients: a paced open load through a front that deals requests out among the proxies that GET
// /ready says are ready, as the platform's protocol has it. They account for every request.
#ifndef BADGERBRIDGE_TESTS_STANDINS_CLIENTS_H_
#define BADGERBRIDGE_TESTS_STANDINS_CLIENTS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace badgerbridge::standins {

/// Every request is in exactly one of answered, lost and unsent once none is out.
struct Account {
  std::uint64_t sent = 0;  // written whole to a proxy that had accepted the connection
  std::uint64_t served = 0, refused = 0, failed = 0;
  std::uint64_t lost = 0;     // no whole answer in the client's time, or the connection ended without one
  std::uint64_t unsent = 0;   // no proxy was ready, or none accepted
  std::uint64_t doubled = 0;  // anything more after the one answer
  std::uint64_t resent = 0;   // a close had crossed the request: sent once more, on a new connection
  std::uint64_t answered() const { return served + refused + failed; }
};

/// What a repeat of a request may do.
enum class Kind { kIdempotent, kIdempotencyKey, kNotIdempotent };

/// A class of requests.
struct LoadClass {
  std::string name;
  Kind kind = Kind::kIdempotent;
  double share = 1;  // of the requests, by weight
  std::chrono::milliseconds deadline{1500};
};

/// The requests that clients send.
struct Load {
  double per_second = 200;
  std::chrono::milliseconds deadline{1500};  // of the three usual classes
  std::uint64_t seed = 1;
  std::string name = "r";               // of its ids: two clients of one name and seed would use the same
  std::vector<LoadClass> classes = {};  // none: preview, convert and certify, in turn
  /// Work in ms of a request of this class: hinted, and told to the backend in the query. None: neither.
  std::function<double(std::size_t request_class)> work = nullptr;
  /// Further tries after a refusal, or a failure that may be repeated, each a request of its own.
  int tries = 1;
  std::chrono::milliseconds pause{100};  // before another try, in the mean
};

/// What became of one try of a request; reported once.
struct Record {
  enum class End { kServed, kRefused, kFailed, kLost, kUnsent };
  std::string id;
  std::size_t request_class = 0, proxy = 0;                  // no proxy: their number
  int attempt = 0;                                           // of its client's tries, from 0
  std::chrono::steady_clock::time_point began, sent, ended;  // the first try; written whole; over
  std::chrono::steady_clock::time_point
      first_sent;  // earlier than `sent`: it was written again after a close
  End end = End::kServed;
  bool doubled = false;                       // something came after the answer, or the answer is not its own
  std::chrono::steady_clock::time_point due;  // until when its client waits
  std::optional<std::chrono::steady_clock::time_point> closed;  // when its client closed with no answer
  bool ended_by_peer = false;  // of a lost one: the connection was ended, the time had not run out
};

/// Sends a load to proxies that are ready.
class Clients {
 public:
  Clients(boost::asio::io_context& io, std::vector<boost::asio::ip::tcp::endpoint> proxies, Load load);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void Start();
  void Stop();  // no more requests; those that are out go on
  bool Done() const { return !running_ && out_ == 0; }
  std::size_t out() const { return out_; }
  std::size_t ready() const;
  const Account& account() const { return account_; }
  /// Of one proxy; unsent requests belong to none.
  const Account& account(std::size_t proxy) const { return account_by_proxy_[proxy]; }
  /// Requests whose client holds an answer 200.
  const std::set<std::string>& served_ids() const { return served_ids_; }
  /// Called for each answer, with the time that it took from the first byte of its request.
  void OnAnswer(std::function<void(double ms)> told) { on_answer_ = std::move(told); }
  /// Called for each request once it is over.
  void OnRecord(std::function<void(const Record&)> told) { on_record_ = std::move(told); }
  /// From here on the load is so many times what it was made with.
  void Scale(double factor) { scale_ = factor; }
  /// The front leaves this proxy out, whatever it says of itself.
  void Avoid(std::size_t proxy, bool avoid) { avoided_[proxy] = avoid; }

 private:
  struct Connection;

  boost::asio::awaitable<void> GenerateLoad(std::uint64_t generation);
  boost::asio::awaitable<void> PollReadiness(std::size_t proxy);
  boost::asio::awaitable<void> Ask(std::uint64_t number);
  boost::asio::awaitable<bool> Try(Record* record, double work);
  boost::asio::awaitable<std::shared_ptr<Connection>> Connect(boost::asio::ip::tcp::endpoint address);
  std::shared_ptr<Connection> TakeIdle(std::size_t proxy);
  void RecordLoss(bool ended_by_peer, Record* record);
  void RecordAnswer(unsigned status, const std::string& body, Record* record);
  void Count(std::size_t proxy, std::uint64_t Account::*counter);
  std::size_t PickProxy();
  void Close();

  boost::asio::io_context& io_;
  std::vector<boost::asio::ip::tcp::endpoint> addresses_;
  Load load_;
  std::mt19937_64 random_;
  std::vector<bool> ready_, avoided_;
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;
  Account account_;
  std::vector<Account> account_by_proxy_;
  std::set<std::string> served_ids_;
  std::function<void(double)> on_answer_;
  std::function<void(const Record&)> on_record_;
  double share_sum_ = 0, scale_ = 1;
  std::size_t out_ = 0, next_ = 0;
  std::uint64_t number_ = 0, generation_ = 0;
  bool running_ = false;
  bool cycles_classes_ = true;  // one class after another, in place of their shares
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_CLIENTS_H_
