// SPDX-License-Identifier: Apache-2.0
//
// A session: one client's connection, from accept to close. Only the listener's and the session's own files
// use it.
//
// States and transitions (docs/design.md, "Race conditions", says why each is as it is):
//
//   kAwaitingFirst, kIdle --first bytes--> kReceiving
//   kReceiving --complete, valid--> kServing --answer--> kAnswering
//   kReceiving --rejected, time over, eviction, GET /ready--> kAnswering
//   kAnswering --written, the next has begun--> kReceiving
//   kAnswering --written, connection kept--> kIdle
//   kAnswering --written, last answer--> kLingering
//   kAwaitingFirst --time over, eviction--> kLingering
//   kIdle --time over, eviction, drain, stop--> kLingering
//   any state --client has left--> kClosed
//   kAnswering, kLingering --time over, room needed--> kClosed
//
// After an exception, a request that is owed an answer goes to kAnswering with a fixed 500.
#ifndef BADGERBRIDGE_PROXY_SESSION_H_
#define BADGERBRIDGE_PROXY_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <exception>
#include <memory>

#include "net/one_shot_timer.h"
#include "proxy/answer_buffer.h"
#include "proxy/client_request.h"
#include "proxy/listener.h"
#include "proxy/request_error.h"
#include "proxy/request_input.h"
#include "proxy/request_validator.h"
#include "proxy/requester.h"
#include "proxy/session_list.h"

namespace badgerbridge::proxy {

/// One connection of a client, from accept to close. Runs on the listener's thread.
///
/// Input. Bytes stay in the kernel until the handler that acts on them reads them: the session waits for
/// readability and reads without blocking. So net::UnreadBytes() tells at any moment whether something has
/// come that was not handled; an asynchronous read would hold bytes whose handler is still queued, and every
/// decision to end the connection would miss them. A wait is always pending, also while a request is served:
/// it detects that the client leaves.
///
/// End. A connection ends in one way: its sending side is shut down, the client has a bounded time to close
/// its own, then it is closed. What crosses the end of a connection between requests is left unread, so that
/// it was not accepted and its client may send it once more. Only after a rejection, or a request with
/// `Connection: close`, is what still comes read and dropped: closing over unread bytes resets a connection,
/// and could take the answer away.
///
/// Exceptions. None leaves a handler: a request that is owed an answer gets a fixed 500 that needs no memory,
/// and a connection that is owed nothing is closed.
class Session : public Requester, public std::enable_shared_from_this<Session> {
 public:
  /// A session without a connection yet. The listener must outlive its handlers.
  explicit Session(Listener& listener);

  /// Takes over the descriptor of an accepted connection; if it throws, it has not taken it.
  void Adopt(const boost::asio::ip::tcp& protocol, int descriptor);
  /// Begins to read; `position` is the session's own in the listener's list.
  void Start(SessionList::Position position) noexcept;

  /// Whether it has been between requests for `min_idle`, and nothing is unread. If its next request crosses
  /// a close, the client sends it once more, on a new connection.
  bool HasBeenIdleFor(Duration min_idle) const;
  /// Whether it has never sent a byte, for longer than a typical client needs.
  bool HasSentNothing() const;
  /// Whether it sends its request more slowly than a typical client.
  bool IsSlowToSend() const;
  /// Whether it reads its answer more slowly than a typical client.
  bool IsSlowToRead() const;
  /// Whether nothing of it is owed an answer.
  bool IsIdle() const;
  /// Whether it was shut down, and waits for its client to close.
  bool is_lingering() const { return state_ == State::kLingering; }
  /// Whether it lingers, and a close now would take nothing away from the client.
  bool EndedCleanly() const;

  /// Shuts the connection down between requests. No effect once a request has begun to come.
  void ShutdownIfIdle() noexcept;
  /// For when the limit of clients is reached: reads what has come. A request that is complete then is
  /// served; an incomplete one is answered with an error, and the connection ends. No effect unless a request
  /// is on its way in.
  void RejectPartialRequest() noexcept;
  /// Closes at once, whatever the client is owed.
  void Close() noexcept;
  /// During a drain: shuts the connection down between requests, unless the next one has come. One that has
  /// sent no request yet has its own time limit.
  void EndIfDrained() noexcept;
  /// Once the listener has closed: shuts the connection down between requests. Unread bytes are a request
  /// that was accepted. A new connection, and an incomplete request, have a bounded time left.
  void BeginDrain() noexcept;

  /// Writes the answer to the client, unless it has left.
  void OnAnswer(Answer answer) noexcept override;
  bool HasLeft() noexcept override;

 private:
  enum class State {
    kAwaitingFirst,  // connected; no byte of a request has been parsed
    kIdle,           // between requests
    kReceiving,      // a request is incomplete
    kServing,        // its request is in the table of requests
    kAnswering,      // an answer is being written
    kLingering,      // shut down: waits for the client to close its side
    kClosed,
  };
  // What is done with input that comes.
  enum class InputMode {
    kParse,
    kDiscard,      // read and dropped: no request, or behind an error or the client's last request
    kLeaveUnread,  // not read any more
  };

  // session.cpp: transitions of the beginning and the end, and time limits.
  // Runs one step of a handler. An exception (memory may run out in the midst of its changes) goes to
  // Recover, which answers what is owed.
  template <typename Step>
  void Guarded(Step step) noexcept {
    try {
      step();
    } catch (const std::exception& error) {
      Recover(error);
    }
  }
  void Recover(const std::exception& cause) noexcept;
  void ResumeState();
  bool IsBeforeServing() const;
  void BeginLinger(InputMode mode);
  void OnTimer();
  void OnReceiveTimeout();
  void OnLingerTimeout();
  void ArmTimer(std::chrono::milliseconds wait);
  void ArmReceiveTimeout();

  // session_read.cpp: from input to complete requests.
  void AwaitInput();
  void OnReadable();
  bool ReadSome();
  void ReadAllUnread();
  void DiscardSome();
  void CheckForClose();
  void AwaitHangup();
  void BeginRequest();
  void ParseInput();
  void Advance();

  // session_request.cpp: from a complete request to the table of requests.
  void ServeNext();
  RequestResult<void> Serve(ClientRequest& request, TimePoint began_at);
  RequestResult<void> ServeReady(const ClientRequest& request);
  void BeginServing(ClientRequest& request, ValidRequest& valid);

  // session_write.cpp: answers.
  void Reject(RequestError error);
  void BeginAnswer(const Answer& answer) noexcept;
  void WriteSome();
  void AwaitWritable();
  void PostEndAnswer();
  void EndAnswer();
  bool HasNextRequestCome() const;

  Listener& listener_;
  boost::asio::ip::tcp::socket socket_;
  net::OneShotTimer timer_;          // of the state; at most one limit holds at a time
  net::OneShotTimer discard_pause_;  // between pieces of discarded input
  SessionList::Position position_;
  State state_ = State::kAwaitingFirst;
  InputMode input_mode_ = InputMode::kParse;
  bool is_awaiting_input_ = false;  // a wait for readability is pending
  // Since when the connection is idle, the request incomplete, or the answer written.
  TimePoint since_{};

  RequestInput input_;
  bool client_keeps_alive_ = true;  // as the last request says; false behind a rejection
  RequestId request_ = 0;           // in the table of requests
  AnswerBuffer answer_;
  bool keep_after_answer_ = false;

  std::size_t discarded_bytes_ = 0;  // since it began to linger, or since it discards
  int linger_extensions_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_SESSION_H_
