// SPDX-License-Identifier: Apache-2.0
//
// A connection to a backend and the attempt on it. Only the pool (proxy/backend_pool.cpp) uses it.
// backend_connection.cpp implements connecting, idling and closing, backend_attempt.cpp an attempt.
#ifndef BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_
#define BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_

#include <algorithm>
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

/// One connection to a backend, with one attempt at a time. An idle connection is closed as soon as it
/// becomes readable: the backend has either closed it or sent unsolicited bytes, which must not be parsed as
/// the response to the next request.
///
///     Connect()
///         │
///         ▼                       Reuse()
///     kStarting ◄──────────────────────────────────┐
///         │ first byte                             │
///         ▼                            response    │
///     kWriting ─ last byte ─► kAwaitingResponse ─► kIdle
///         │ abort while the write is pending       │
///         ▼                                        │
///     kAborting ─ end of the write ─► kClosed ◄────┘ (and from every state)
///
/// Owned by shared pointers: the pool holds idle connections, pending operations the others. Used on the
/// event loop's thread only. The pool must outlive all operations.
class BackendPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// One attempt to run on the connection.
  struct Attempt {
    std::shared_ptr<const ForwardedRequest> request;  ///< the request to send
    std::shared_ptr<Requester> requester;             ///< the client; may be null
    TimePoint deadline{};                             ///< when the attempt times out
    TimePoint begin_before{};                         ///< when the whole request must have been written
    AttemptCallback on_end;                           ///< called exactly once
  };

  /// Creates an unconnected connection, which counts as open in the pool until Close().
  Connection(BackendPool& pool, BackendId backend, Instance instance);

  /// The backend it belongs to.
  BackendId backend() const { return backend_; }
  /// The process it was opened to.
  const Instance& instance() const { return instance_; }
  /// When it last became idle.
  TimePoint idle_since() const { return idle_since_; }
  /// The number of the current or last attempt on this connection; unique in the pool.
  std::uint64_t attempt_number() const { return attempt_number_; }

  /// Opens the connection and runs an attempt on it.
  void Connect(Attempt attempt);
  /// Runs an attempt on an idle connection that the pool has removed from its list of idle connections.
  void Reuse(Attempt attempt);
  /// Keeps the connection open for the next attempt. May close it before returning.
  void BecomeIdle();
  /// Ends the attempt with kCancelled, or with kConnectFailed if its last byte has not been written. Does
  /// nothing if the attempt has ended.
  void Cancel(std::uint64_t attempt_number);
  /// Ends the attempt with kNotSent unless its last byte has been written; otherwise the attempt continues.
  void Withdraw(std::uint64_t attempt_number);
  /// Closes the connection; does nothing if it is already closed. Does not end the attempt.
  void Close();
  /// Whether the backend has closed the connection or sent unsolicited bytes. Checks the socket itself, as
  /// the handler may not have run yet, and records the time of unsolicited bytes in the pool. Must not be
  /// called between the first byte of a request and the end of its response.
  bool CheckStale();

 private:
  enum class State {
    kStarting,          // connecting, or about to write the request
    kWriting,           // from the first byte of the request to its last
    kAwaitingResponse,  // the request is written
    kIdle,              // no attempt
    kAborting,          // the attempt has failed; waiting for its write to end
    kClosed,
  };
  class WriteHandler;

  // Runs one step of a handler. If it throws (std::bad_alloc, for example), ends the attempt with the outcome
  // that fits how far it got.
  template <typename Step>
  void RunStep(Step step) noexcept {
    try {
      step();
    } catch (const std::exception& error) {
      OnStepFailed(error);
    }
  }
  void OnStepFailed(const std::exception& error) noexcept;

  // Connecting, idling and closing.
  void StartConnecting();
  void OnConnected(boost::beast::error_code error);
  void AwaitInput();
  void OnInput(boost::beast::error_code error);
  void SetTimer(TimePoint at);
  void OnTimer();
  void CloseSocket();

  // When the attempt must have begun.
  TimePoint LatestBegin() const { return std::min(attempt_.deadline, attempt_.begin_before); }

  // The attempt before its first byte.
  void SetAttempt(Attempt attempt);
  void Begin();
  bool MayReceiveEndpointList();
  bool MayHaveLostClient() const;
  void PostponeBegin();
  void AwaitClient();
  std::optional<Outcome> OutcomeIfNotSendable(TimePoint now) const;

  // Sending the request and reading the response.
  void Write();
  void Compose();
  void OnWritten(boost::beast::error_code error);
  void ParseOrRead();
  void Read();
  void OnRead(boost::beast::error_code error);
  void OnIncompleteResponse();
  void OnInterimResponse();
  void OnResponse();

  // The end of the attempt.
  void OnAttemptTimeout();
  void Complete(AttemptResult result, bool is_reusable);
  void ReleaseAttempt();
  void ReleaseRequest();
  void Abort(Outcome outcome);
  void End(Outcome outcome);

  BackendPool* pool_;
  const BackendId backend_;
  const Instance instance_;
  boost::asio::ip::tcp::socket socket_;
  net::OneShotTimer timer_;
  State state_ = State::kStarting;
  TimePoint idle_since_{};
  bool has_input_wait_ = false;  // waiting for the idle connection to become readable

  Attempt attempt_;
  std::uint64_t attempt_number_ = 0;
  TimePoint attempt_started_at_{};
  bool was_postponed_ = false;      // the attempt has waited for an endpoint list or for its client
  bool awaits_client_ = false;      // the timer checks again whether the client is connected
  int postponed_iterations_ = 0;    // iterations that it has waited for an endpoint list
  int iterations_to_postpone_ = 0;  // iterations that it still has to wait for one
  bool write_started_ = false;      // the write of the current attempt
  bool write_pending_ = false;      // started and not ended
  Outcome outcome_if_written_ = Outcome::kUnknown;          // in kAborting, if the last byte was written
  Outcome outcome_if_unwritten_ = Outcome::kConnectFailed;  // in kAborting, if it was not

  BackendRequest message_;
  BackendResponseReader reader_;
  // A part of the response has been received, and the timer bounds the wait for the rest.
  bool response_stalled_ = false;
  net::ReadTimeoutGrace read_grace_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_
