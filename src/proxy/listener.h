// SPDX-License-Identifier: Apache-2.0
//
// The side of the clients: the listener, and a session for each connection.
#ifndef BADGERBRIDGE_PROXY_LISTENER_H_
#define BADGERBRIDGE_PROXY_LISTENER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <chrono>
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

#include "net/one_shot_timer.h"
#include "proxy/config.h"
#include "proxy/proxy.h"

namespace badgerbridge::proxy {

struct ListenerLimits {
  // From the stop: until no new connection is accepted (clients' front goes on for up to 0.4 s), until
  // requests on open connections are not waited for any more, and, beyond the longest deadline, until all is
  // answered (the process may be killed 0.7 s after that deadline, counted from a signal that it may have
  // handled 0.4 s late).
  std::chrono::milliseconds accept_grace{500};
  std::chrono::milliseconds serving{700};
  std::chrono::milliseconds last_answer{300};
  std::chrono::milliseconds handshake{20};  // of connections that have begun to come up when no more may
  std::chrono::milliseconds linger{1000};   // for a client to read an answer and close
  std::size_t remembered = 32 << 10;        // ids of requests taken lately
};

class Listener {
 public:
  // Binds and listens; throws boost::system::system_error if it can't.
  Listener(boost::asio::io_context& io, const ProxyClock& clock, Proxy& proxy, const Config& config,
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
  bool IsIdle() const;
  static constexpr Duration kDrainIdleTime{1000};

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  enum class AcceptResult {
    kAccepted,   // or it had gone by itself
    kNoneWaits,  // in the kernel's queue
    kFailed,     // one waits
  };
  static constexpr int kNoDescriptor = -1;

  void Accept() noexcept;
  void AwaitConnection();
  void OnConnection();
  AcceptResult AcceptOne();
  void AcceptAfter(std::chrono::milliseconds wait) noexcept;
  void Admit(int descriptor);
  void CloseUnadmitted();
  bool EvictConnection();
  std::shared_ptr<Session> FirstOf(const std::function<bool(const Session&)>& which) const;
  void CloseOneThatHasEnded();
  std::vector<std::shared_ptr<Session>> Snapshot() const { return {sessions_.begin(), sessions_.end()}; }
  bool NoteId(std::string_view id);
  void EndHandshakes();
  void CloseListenerAfter(std::chrono::milliseconds wait);
  void CloseListener();
  bool AcceptAllThatWait();
  void StopIfDone() noexcept;
  // The stop's times; far away while there is none.
  bool PastLastAnswer() const;
  std::chrono::milliseconds UntilPastServing() const;
  TimePoint LastAnswer() const;
  std::chrono::milliseconds UntilLastAnswer() const;
  void SweepWhileDraining();
  void Remove(Sessions::iterator at) noexcept;

  boost::asio::io_context& io_;
  const ProxyClock& clock_;
  Proxy& proxy_;
  std::vector<ClassSettings> class_settings_;
  std::unordered_map<std::string, int> classes_, tenants_;
  std::size_t max_clients_;
  boost::asio::ip::tcp protocol_;
  ListenerLimits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  net::OneShotTimer stop_timer_, accept_pause_, drain_sweep_;
  std::array<char, 16384> dropped_;      // what is read only to be dropped, of all sessions
  std::unordered_set<std::size_t> ids_;  // hashes of those taken lately
  std::deque<std::pair<TimePoint, std::size_t>> ids_by_age_;
  Sessions sessions_;  // the one that was idle the longest comes first
  bool awaiting_connection_ = false, stopping_ = false, door_closed_ = false, draining_ = false;
  int unadmitted_ = kNoDescriptor;  // a connection accepted, and for want of memory no session yet
  std::size_t ending_ = 0;          // of the sessions, those that are shut and wait for their client's close
  Duration longest_deadline_{0};    // of all classes
  TimePoint stop_began_{};
  TimePoint last_busy_{};  // when a request was last taken or answered
  std::uint64_t rejected_ = 0;
  std::function<void()> stopped_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_LISTENER_H_
