// SPDX-License-Identifier: Apache-2.0
//
// The side of the clients: the listener, and a session for each connection.
#ifndef BADGERBRIDGE_NODE_CLIENT_H_
#define BADGERBRIDGE_NODE_CLIENT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "node/config.h"
#include "node/proxy.h"

namespace badgerbridge::node {

struct ListenerLimits {
  std::chrono::milliseconds door_open{500};  // after SIGTERM: the front goes on for up to 0.4 s
  std::chrono::milliseconds linger{1000};    // for a client to read an answer and close
  std::size_t remembered = 32 << 10;         // ids of requests taken lately
};

class Listener {
 public:
  // Binds and listens; throws boost::system::system_error if it can't.
  Listener(boost::asio::io_context& io, const NodeClock& clock, Proxy& proxy, const Config& config,
           ListenerLimits limits = {});
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Goes on accepting for a while, answers all that was taken, then calls `stopped`.
  void Stop(std::function<void()> stopped);

  // Asks to be left out: GET /ready answers 503, each answer closes its connection, and connections between
  // requests are closed. What still comes is served as ever. Until Undrain; a stop goes before both.
  void Drain();
  void Undrain();
  bool draining() const { return draining_; }
  bool stopping() const { return stopping_; }
  std::size_t connections() const { return sessions_.size(); }
  std::uint64_t rejected() const { return rejected_; }  // malformed: never taken
  std::size_t remembered() const { return ids_.size(); }
  // Drained: no request is open or on its way in, and none has come for kDrainQuiet.
  bool Quiet() const;
  static constexpr Duration kDrainQuiet{1000};

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  void Accept();
  void AcceptAfter(std::chrono::milliseconds wait);
  std::shared_ptr<Session> Admit(boost::asio::ip::tcp::socket socket);
  bool MakeRoom();
  void CloseOldestLingering();
  bool NoteId(std::string_view id);
  void CloseDoorAfter(std::chrono::milliseconds wait);
  void CloseDoor();
  void StopIfDone();
  void SweepWhileDraining();
  void Remove(Sessions::iterator at);

  boost::asio::io_context& io_;
  const NodeClock& clock_;
  Proxy& proxy_;
  std::vector<ClassSettings> class_settings_;
  std::unordered_map<std::string, int> classes_, tenants_;
  std::size_t max_clients_;
  ListenerLimits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_, pause_, sweep_;  // of the stop; before the next accept; of the drain
  std::array<char, 16384> dropped_;                  // what is read only to be dropped, of all sessions
  std::unordered_set<std::size_t> ids_;              // hashes of those taken lately
  std::deque<std::pair<TimePoint, std::size_t>> ids_by_age_;
  Sessions sessions_;  // the one that was idle the longest comes first
  bool accepting_ = false, stopping_ = false, door_closed_ = false, draining_ = false;
  std::size_t lingering_ = 0;  // of the sessions, those that are shut and wait for their client's close
  TimePoint last_call_{};      // at the stop: what waits for a descriptor by then is not accepted any more
  TimePoint last_busy_{};      // when a request was last taken or answered
  std::uint64_t rejected_ = 0;
  std::function<void()> stopped_;
};

}  // namespace badgerbridge::node

#endif  // BADGERBRIDGE_NODE_CLIENT_H_
