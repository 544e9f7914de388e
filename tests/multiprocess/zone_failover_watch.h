// SPDX-License-Identifier: Apache-2.0
//
// Looks on at the common decision while a trial runs: asks every proxy for its part (GET /v1/zones), and
// holds the sum of all shares against what the zones have shown, whatever epochs the proxies hold.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_WATCH_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/etcd_store.h"

namespace badgerbridge::multiprocess {

// All words of the common decision that a store has, the newest first: each must be of a higher epoch than
// the one before it, and by whoever held the decider's key at that moment.
struct WordsWritten {
  std::uint64_t words = 0, disorder = 0, unfenced = 0;
};
WordsWritten CheckWords(const standins::EtcdStore& store, const std::string& prefix);
// Who holds the decider's key; empty: nobody.
std::string DeciderIn(const standins::EtcdStore& store, const std::string& prefix);

// One proxy's part, as it told it.
struct Part {
  int zone = 0;
  std::uint64_t epoch = 0;  // 0: it has heard of no decision
  bool in_touch = false, deciding = false;
  std::vector<double> shares;  // by receiver, work a ms; below 0: without limit
  std::vector<double> limits;  // of the decision that it goes by
  std::vector<std::string> states;
};

// Null for what is no such answer.
std::unique_ptr<Part> ReadPart(const boost::json::object& told, const std::vector<std::string>& zones);

// For the worst receiver: what all that have heard of a decision may send there from elsewhere, and its own
// members too where it is not sound, over the largest limit that one of their decisions gives it. 0: nothing
// is granted.
double WorstReceiver(const std::vector<const Part*>& parts);

class RegionsWatch {
 public:
  using OnNews = std::function<void(const std::string&)>;

  // `sockets` by proxy: the control API's. `told` is called when a zone's state, or the decider, is another.
  RegionsWatch(boost::asio::io_context& io, std::vector<std::string> zones,
               std::map<std::string, std::string> sockets, OnNews told);
  ~RegionsWatch();
  RegionsWatch(const RegionsWatch&) = delete;
  RegionsWatch& operator=(const RegionsWatch&) = delete;

  void Start();
  void Stop();

  // Highest epoch; 0 until somebody has decided.
  std::uint64_t epoch() const { return epoch_; }
  double worst_receiver() const { return worst_; }
  // At how many moments at least half of the proxies could be held together.
  std::size_t looks() const { return looks_; }
  // A line for each proxy, as it last told its part.
  std::vector<std::string> Describe() const;

 private:
  struct One {
    std::string socket;
    bool asking = false;
    std::unique_ptr<Part> part;
    std::chrono::steady_clock::time_point at{};
  };
  void Look();
  void Judge();

  boost::asio::io_context& io_;
  const std::vector<std::string> zones_;
  std::map<std::string, One> all_;
  OnNews told_;
  boost::asio::steady_timer timer_;
  bool running_ = false;
  std::uint64_t epoch_ = 0;
  std::string decider_;
  std::vector<std::string> states_;
  double worst_ = 0;
  std::size_t looks_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_WATCH_H_
