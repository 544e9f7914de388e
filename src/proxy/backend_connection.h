// SPDX-License-Identifier: Apache-2.0
//
// A connection to a backend and the attempt on it. Only the pool (proxy/backend_pool.cpp) uses it.
// backend_connection.cpp has the connection's life, backend_attempt.cpp the exchange of an attempt.
#ifndef BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_
#define BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>

#include "net/one_shot_timer.h"
#include "net/read_timeout_grace.h"
#include "proxy/backend_codec.h"
#include "proxy/backend_pool.h"

namespace badgerbridge::proxy {

/// One connection to a backend, with one attempt at a time. While it is idle, whatever can be read ends it:
/// the backend has closed it, or has sent bytes that are unsolicited and must not become the next response.
///
///     Connect()
///         │
///         ▼                       Reuse()
///     kStarting ◄──────────────────────────────────┐
///         │ first byte                             │
///         ▼                            response    │
///     kWriting ─ last byte ─► kAwaitingResponse ─► kIdle
///         │ abort, while the write is under way    │
///         ▼                                        │
///     kAborting ─ end of the write ─► kClosed ◄────┘ (and from every state)
///
/// Owned by shared pointers: the pool holds idle connections, pending operations the others. Used on the
/// event loop's thread only. The pool must outlive all operations.
class BackendPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// One attempt, as the pool hands it over.
  struct Attempt {
    std::shared_ptr<const ForwardedRequest> request;  ///< what is sent
    std::shared_ptr<Requester> requester;             ///< the client; may be none
    TimePoint deadline{};                             ///< when the attempt ends as timed out
    TimePoint begin_before{};                         ///< by when its last byte must be written
    AttemptCallback on_end;                           ///< called exactly once
  };

  /// Not connected yet. Counts as open from here on.
  Connection(BackendPool& pool, BackendId backend, boost::asio::ip::tcp::endpoint address);

  /// The backend it belongs to.
  BackendId backend() const { return backend_; }
  /// The address it was opened to.
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  /// When it last became idle.
  TimePoint idle_since() const { return idle_since_; }
  /// The number of the attempt on it, or of the last one; unique in the pool.
  std::uint64_t attempt_number() const { return attempt_number_; }

  /// Opens the connection for an attempt.
  void Connect(Attempt attempt);
  /// Begins an attempt on an idle connection that the pool has taken out of its list.
  void Reuse(Attempt attempt);
  /// Keeps the connection for the next attempt. May close it at once.
  void BecomeIdle();
  /// Ends an attempt that has not ended as cancelled, or as could not connect if it has not begun. Does
  /// nothing if the connection has another attempt by now.
  void Cancel(std::uint64_t attempt_number);
  /// Ends an attempt of which not all has been written as not sent. One that has been written goes on.
  void Withdraw(std::uint64_t attempt_number);
  /// Closes the connection; does nothing if it is closed.
  void Close();
  /// Whether the backend has closed the connection, or has sent unsolicited bytes, of which no handler knows
  /// yet. For a connection without an attempt that has begun. Asks the socket; notes unsolicited bytes in the
  /// pool.
  bool CheckStale();

 private:
  enum class State {
    kStarting,          // connecting, or about to begin on a connection that was idle
    kWriting,           // from the first byte of the request to its last
    kAwaitingResponse,  // the request is written
    kIdle,              // no attempt
    kAborting,          // the attempt has failed; the end of its write is awaited
    kClosed,
  };
  class WriteHandler;

  // Runs one step of a handler. If it throws, std::bad_alloc say, the attempt ends as what is known of it.
  template <typename Step>
  void RunStep(Step step) noexcept {
    try {
      step();
    } catch (const std::exception& error) {
      OnStepFailed(error);
    }
  }
  void OnStepFailed(const std::exception& error) noexcept;

  // The connection's life.
  void StartConnecting();
  void OnConnected(boost::beast::error_code error);
  void AwaitInput();
  void OnInput(boost::beast::error_code error);
  void SetTimer(TimePoint at);
  void OnTimer();
  void CloseSocket();

  // An attempt, up to its first byte.
  void SetAttempt(Attempt attempt);
  void Begin();
  void PostponeBegin();
  std::optional<Outcome> OutcomeIfNotSendable(TimePoint now) const;

  // Its exchange.
  void Write();
  void Compose();
  void OnWritten(boost::beast::error_code error);
  void ParseOrRead();
  void Read();
  void OnRead(boost::beast::error_code error);
  void OnIncompleteResponse();
  void OnInterimResponse();
  void OnResponse();

  // Its end.
  void OnAttemptTimeout();
  void Complete(AttemptResult result, bool is_reusable);
  void ReleaseAttempt();
  void Abort(Outcome outcome);
  void End(Outcome outcome);

  BackendPool* pool_;
  const BackendId backend_;
  const boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::socket socket_;
  net::OneShotTimer timer_;
  State state_ = State::kStarting;
  TimePoint idle_since_{};
  bool has_input_wait_ = false;  // a wait of the idle connection is pending

  Attempt attempt_;
  std::uint64_t attempt_number_ = 0;
  TimePoint attempt_started_at_{};
  int postponed_turns_ = 0;                                 // of the event loop, so far
  int turns_to_postpone_ = 0;                               // still to come
  bool write_started_ = false;                              // of this attempt
  bool write_pending_ = false;                              // started and not ended
  Outcome outcome_if_written_ = Outcome::kUnknown;          // in kAborting, if all was written
  Outcome outcome_if_unwritten_ = Outcome::kConnectFailed;  // in kAborting, if not all was written

  BackendRequest message_;
  BackendResponseReader reader_;
  bool response_stalled_ =
      false;  // a part of the response has come, and the timer bounds the wait for the rest
  net::ReadTimeoutGrace read_grace_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_
