// SPDX-License-Identifier: Apache-2.0
//
// Stand-in backends: they speak the backends' side of the platform's protocol on loopback sockets,
// strictly, with service times, slots, a cold start and faults on command, and keep a ledger of what ran.
#ifndef BADGERBRIDGE_TESTS_STANDINS_BACKENDS_H_
#define BADGERBRIDGE_TESTS_STANDINS_BACKENDS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/port_reservation.h"

namespace badgerbridge::standins {

/// What ran, at all backends together. A request with a key counts as run once for each group of backends:
/// they drop each other's repeats. A safe one (GET) has no effect, and may run again.
class Ledger {
 public:
  /// One request that a backend began.
  struct Run {
    std::string id, key, backend, group;
    std::chrono::steady_clock::time_point at;
    bool safe = false, finished = false;
  };

  /// Whether it takes effect; false: a repeat that the group drops.
  bool Begin(const Run& run);
  /// The backend has done the work of this request.
  void Finish(const std::string& id, const std::string& backend);

  /// Requests that took effect or ran safely.
  std::size_t runs() const { return runs_.size(); }
  /// Effects beyond the first, of one id or one key, at all backends.
  std::size_t doubled() const { return doubled_; }
  /// Keyed repeats that a group dropped.
  std::size_t repeats_dropped() const { return dropped_; }
  /// Repeats of requests that are safe to repeat.
  std::size_t safe_repeats() const { return safe_repeats_; }
  std::size_t malformed = 0;  // requests that no proxy may send
  /// Whether a request with this id took effect.
  bool Ran(const std::string& id) const { return effects_.count(id) > 0; }

 private:
  std::vector<Run> runs_;
  std::map<std::string, std::set<std::string>>
      effects_;  // of an id or a key: the groups in which it took effect
  std::size_t doubled_ = 0, dropped_ = 0, safe_repeats_ = 0;
};

/// How a backend is named and how fast it is.
struct BackendSettings {
  std::string name = "c-1", zone = "a", kind = "standard", group = "1";
  std::chrono::milliseconds service{20};  // mean; each is drawn between half and one and a half
  int slots = 8, queue = 64;
  std::chrono::milliseconds slow_start_window{0};  // slower until then, from a third of its speed
  std::uint64_t seed = 1;
};

/// What requests can meet at a backend instead of being served.
enum class Fault {
  kNone,
  kResetBefore,  // the connection is reset once the request has come, and it has not run
  kResetAfter,   // it has run, and the connection is reset instead of an answer
  kCutAnswer,    // it has run, and the answer stops halfway
  kError,        // 500
  kReject,       // 503 with X-Unprocessed: 1
  kSilent,       // it accepts and says nothing
};

/// One backend, on a port that stays its own while it is away.
class Backend {
 public:
  /// It listens at once. `ledger` outlives it.
  Backend(boost::asio::io_context& io, BackendSettings settings, Ledger& ledger);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  /// Its address as text.
  std::string address() const;
  const BackendSettings& settings() const { return settings_; }
  /// The next `count` requests meet it; a negative count: all, until another fault is set.
  void Inject(Fault fault, int count);
  /// Multiplies service times.
  void Slow(double factor) { slow_ = factor; }
  /// Ends all connections by reset and accepts no more, until Return().
  void Vanish();
  /// Listens again at the same address.
  void Return();

  /// Requests received so far.
  std::size_t taken() const { return taken_; }
  /// When the last one was received.
  std::chrono::steady_clock::time_point last_taken() const { return last_taken_; }

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  struct Connection;

  // `generation`: the one in which the coroutine began.
  boost::asio::awaitable<void> Accept(std::uint64_t generation);
  boost::asio::awaitable<void> Serve(std::shared_ptr<Connection> connection);
  boost::asio::awaitable<bool> ServeRequest(Connection& connection, const Request& request,
                                            std::uint64_t generation);
  boost::asio::awaitable<bool> Process(const Request& request, Response& response, std::uint64_t generation);
  boost::asio::awaitable<bool> AcquireSlot(std::uint64_t generation);
  void ReleaseSlot();
  bool IsFull() const;
  Fault TakeFault();
  std::chrono::milliseconds DrawServiceTime();

  boost::asio::io_context& io_;
  BackendSettings settings_;
  Ledger& ledger_;
  boost::asio::ip::tcp::acceptor acceptor_;
  testing::PortReservation port_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting_;  // for a slot
  std::mt19937_64 random_;
  std::chrono::steady_clock::time_point started_, last_taken_{};
  Fault fault_ = Fault::kNone;
  int fault_count_ = 0, busy_ = 0;
  double slow_ = 1;
  std::size_t taken_ = 0;
  std::uint64_t generation_ = 0;  // counts vanishings and returns
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_BACKENDS_H_
