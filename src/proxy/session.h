// SPDX-License-Identifier: Apache-2.0
//
// A session: one client connection, from accept to close. Included only by the listener and the session
// files.
//
// States and transitions (docs/design.md, "Race conditions", gives the reasons):
//
//   kAwaitingFirst, kIdle --first bytes--> kReceiving
//   kReceiving --complete, valid--> kServing --answer--> kAnswering
//   kReceiving --rejected, timeout, eviction, GET /ready--> kAnswering
//   kAnswering --written, further input is buffered--> kReceiving
//   kAnswering --written, connection kept--> kIdle
//   kAnswering --written, last answer--> kLingering
//   kAwaitingFirst --timeout, eviction--> kLingering
//   kIdle --timeout, eviction, drain, stop--> kLingering
//   any state --client disconnected--> kClosed
//   kAnswering, kLingering --timeout, eviction--> kClosed
//
// After an exception, a session with an unanswered request enters kAnswering with a fixed 500.
#ifndef BADGERBRIDGE_PROXY_SESSION_H_
#define BADGERBRIDGE_PROXY_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <exception>
#include <memory>
#include <optional>

#include "net/one_shot_timer.h"
#include "proxy/answer_buffer.h"
#include "proxy/client_request.h"
#include "proxy/listener.h"
#include "proxy/recent_ids.h"
#include "proxy/request_error.h"
#include "proxy/request_input.h"
#include "proxy/request_validator.h"
#include "proxy/requester.h"
#include "proxy/session_list.h"

namespace badgerbridge::proxy {

/// One client connection, from accept to close. Runs on the listener's thread.
///
/// Input. Bytes stay in the kernel until the handler that processes them reads them: the session waits for
/// readability and then reads without blocking. So net::UnreadBytes() reports at any moment whether
/// unprocessed input has arrived. An asynchronous read would hold bytes while its handler is still queued,
/// and a decision to close the connection would miss them. A wait for readability is always pending, also
/// while a request is served, to detect that the client disconnects.
///
/// Close. Every connection is closed in the same steps: its sending side is shut down, the client gets a
/// bounded time to close its own side, then the socket is closed. A request that crosses the shutdown of an
/// idle connection is left unread: it was not accepted, so its client may retry it. Further input is read and
/// discarded only after a rejection or a request with `Connection: close`, because closing a socket with
/// unread bytes resets the connection, and the client could lose the answer.
///
/// Exceptions. None escapes a handler: an unanswered request gets a fixed 500 that needs no memory, and a
/// connection without one is closed.
class Session : public Requester, public std::enable_shared_from_this<Session> {
 public:
  /// Creates a session without a connection. `listener` must outlive the session's handlers.
  explicit Session(Listener& listener);

  /// Takes ownership of the descriptor of an accepted connection, unless it throws.
  void Adopt(const boost::asio::ip::tcp& protocol, int descriptor);
  /// Starts to read. `position` is that of this session in the listener's list.
  void Start(SessionList::Position position) noexcept;

  /// Whether the connection has been idle between requests for `min_idle` and has no unread input. If the
  /// next request crosses a close, the client retries it on a new connection.
  bool HasBeenIdleFor(Duration min_idle) const;
  /// Whether the client has sent no byte since it connected, for longer than a typical client needs.
  bool HasSentNothing() const;
  /// Whether the client sends its request more slowly than a typical client.
  bool IsSlowToSend() const;
  /// Whether the client reads its answer more slowly than a typical client.
  bool IsSlowToRead() const;
  /// Whether no request is being received, served or answered.
  bool IsIdle() const;
  /// Whether the connection ends without serving another request: it is closed, lingering, or writes its last
  /// answer.
  bool IsEnding() const;
  /// Whether the sending side is shut down and the session waits for its client to close.
  bool is_lingering() const { return state_ == State::kLingering; }
  /// Whether the session lingers, and closing it now would lose no data that the client has yet to receive.
  bool CanCloseWithoutLoss() const;

  /// Shuts the connection down if it is between requests. No effect once bytes of a request have arrived.
  void ShutdownIfIdle() noexcept;
  /// Evicts a session that is receiving a request, at the client limit: reads the available input, then
  /// serves the request if it is complete, or else rejects it and ends the connection. No effect in other
  /// states.
  void RejectPartialRequest() noexcept;
  /// Closes the connection immediately, even if a request is unanswered.
  void Close() noexcept;
  /// During a drain: shuts the connection down if it is between requests and the next one has not arrived. A
  /// connection without a first request is left to its own timeout.
  void EndIfDrained() noexcept;
  /// After the listening socket has closed: shuts the connection down if it is between requests without
  /// unread input, which counts as an accepted request. A new connection or an incomplete request gets a
  /// bounded time.
  void BeginDrain() noexcept;

  /// Writes the answer to the client, unless the connection is closed.
  void OnAnswer(Answer answer) noexcept override;
  ClientState CheckClient() noexcept override;

 private:
  enum class State {
    kAwaitingFirst,  // connected; no byte of the first request has been parsed
    kIdle,           // between requests
    kReceiving,      // a request is incomplete
    kServing,        // its request is in the request table
    kAnswering,      // an answer is being written
    kLingering,      // sending side shut down; waits for the client to close its side
    kClosed,
  };
  // How further input is handled.
  enum class InputMode {
    kParse,
    kDiscard,      // read and dropped, after an error or the client's last request
    kLeaveUnread,  // left in the kernel
  };

  // session.cpp: start, close and timeouts.
  // Runs one step of a handler. An exception, for example when memory runs out halfway, is passed to Recover,
  // which answers the request if there is one.
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

  // session_read.cpp: reads input and parses it into requests.
  void AwaitInput();
  void OnReadable();
  bool ReadSome();
  void ReadAllUnread();
  void DiscardSome();
  void OnTooMuchDiscarded();
  void WithdrawRequest();
  void NoteBacklog();
  bool MayHideDisconnect();
  void CheckForClose();
  void AwaitHangup();
  void BeginRequest();
  void ParseInput();
  void Advance();

  // session_request.cpp: validates complete requests and adds them to the request table.
  void ServeNext();
  RequestResult<void> Serve(ClientRequest& request);
  RequestResult<void> ServeReady(const ClientRequest& request);
  RequestResult<void> RememberId(const ValidRequest& valid);
  void BeginServing(ClientRequest& request, ValidRequest& valid);

  // session_write.cpp: writes answers.
  void Reject(RequestError error);
  void BeginAnswer(const Answer& answer) noexcept;
  void WriteSome();
  void AwaitWritable();
  void PostEndAnswer();
  void EndAnswer();
  bool HasNextRequestArrived() const;

  Listener& listener_;
  boost::asio::ip::tcp::socket socket_;
  net::OneShotTimer timer_;          // timeout of the current state
  net::OneShotTimer discard_pause_;  // limits the rate of discarding input
  SessionList::Position position_;
  State state_ = State::kAwaitingFirst;
  InputMode input_mode_ = InputMode::kParse;
  bool is_awaiting_input_ = false;  // a wait for readability is pending
  // Since when the connection has been idle, the request incomplete, or the answer being written.
  TimePoint state_since_{};

  RequestInput input_;
  bool client_keeps_alive_ = true;        // as the last request asked; false after a rejection
  RequestId request_ = 0;                 // id in the request table; 0 if none
  RecentIds::IdHash correlation_id_ = 0;  // of the last request added to the request table
  AnswerBuffer answer_;
  bool keep_alive_after_answer_ = false;

  std::size_t discarded_bytes_ = 0;  // since discarding or lingering began
  TimePoint request_began_at_{};     // when the first byte of the request that is served arrived
  // When much input behind that request was last unread.
  std::optional<TimePoint> last_backlog_at_;
  int linger_extensions_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_SESSION_H_
