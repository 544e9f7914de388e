// SPDX-License-Identifier: Apache-2.0
//
// A session of the listener: one client's connection. Only proxy/listener.cpp and the session's own files use
// it.
#ifndef BADGERBRIDGE_PROXY_SESSION_H_
#define BADGERBRIDGE_PROXY_SESSION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/url_view.hpp>
#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/one_shot_timer.h"
#include "proxy/arrival_times.h"
#include "proxy/listener.h"

namespace badgerbridge::proxy {

using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// One connection of a client, from accept to close.
///
/// Input. Bytes stay in the kernel until the handler that acts on them reads them: the session waits for
/// readability and reads without blocking. So UnreadBytes() tells at any moment whether something has come
/// that nobody has seen; an asynchronous read would hold bytes whose handler is still queued, and every
/// decision to end the connection would miss them. A wait is always out, also while a request is served: it
/// sees the client leave.
///
/// End. A connection ends in one way: its sending side is shut down, the client has a bounded time to close
/// its own, then it is closed. What crosses the end of a connection between requests is left unread, so that
/// it was not taken and its client may send it once more. Only of a client that has been told of an error, or
/// has said that it sends no further request, is what still comes read and dropped: closing over unread bytes
/// resets a connection, and could take the answer away.
///
/// Exceptions. None leaves a handler: a request that is owed an answer gets a fixed 500 that needs no memory,
/// and a connection that is owed nothing is closed.
class Listener::Session : public Requester, public std::enable_shared_from_this<Session> {
 public:
  explicit Session(Listener& listener);

  /// Takes over an accepted connection's descriptor; if it throws, it has not.
  void Adopt(const boost::asio::ip::tcp& protocol, int descriptor);
  void Start(Sessions::iterator at) noexcept;

  /// Between requests, silent for that long, and nothing unread: a close that crosses its next request has
  /// the client send that once more, on a new connection.
  bool HasBeenIdleFor(Duration silent) const;
  /// Has never sent a byte, for longer than a usual client needs.
  bool NeverAsked() const;
  /// Sends its request more slowly than a usual client.
  bool SlowToSend() const;
  /// Does not read its answer.
  bool SlowToRead() const;

  /// Between requests: shuts the connection down. Has no effect once a request has begun to come.
  void ShutdownIfIdle() noexcept;
  /// At the limit of clients: answers a request that is not whole, and ends the connection.
  void RejectPartialRequest() noexcept;
  /// Without any delay, whatever it is owed.
  void Close() noexcept;

  /// Nothing of it is owed an answer; one that has its last answer and only stays open is quiet, too.
  bool IsIdle() const { return state_ == State::kEnding || (state_ == State::kReceiving && !begun_); }

  /// While this proxy drains: ends a connection between requests, unless its next one has come already. One
  /// that has not asked yet has its own time-out.
  void EndIfDrained() noexcept;

  /// Once the listener has closed: ends a connection between requests. Unread bytes are a request that was
  /// taken. A new connection, and a request that is not whole, have a bounded time left.
  void BeginDrain() noexcept;

  bool ending() const { return state_ == State::kEnding; }
  /// Shut down, and a close now would take nothing away from the client.
  bool EndedCleanly() const;

  void OnAnswer(Answer answer) noexcept override;
  bool HasLeft() noexcept override;

 private:
  enum class State {
    kReceiving,  // owes nothing: between requests, or a request is on its way in
    kServing,    // its request is in the table of requests
    kAnswering,  // an answer is being written
    kEnding,     // shut down: waits for the client to close its side
    kClosed,
  };
  enum class Input {
    kParsed,
    kDiscarded,   // read and dropped: no request, or behind an error or the client's last request
    kLeftUnread,  // not looked at any more
  };
  // Why a request is turned away: the answer's status and its text.
  struct Fault {
    unsigned status;
    const char* text;
  };
  // What a request asks for, as far as it has been checked.
  struct Checked {
    Submit submit;
    boost::urls::url_view url;  // of the request's own bytes
    std::string service_class;
    double left = 0;  // ms, from when the request began
  };

  static constexpr std::size_t kMostBody = 64 << 10;
  static constexpr std::size_t kMostHeader = 16 << 10;
  // A client sends a request in one go: one that takes longer will not be whole.
  static constexpr std::chrono::milliseconds kSlowRequest{2200};

  // session.cpp
  // Runs one step of a handler. Without memory, say, it may end in the midst of its changes.
  template <typename Step>
  void Guarded(Step step) noexcept {
    try {
      step();
    } catch (const std::exception& error) {
      Recover(error);
    }
  }
  void Recover(const std::exception& cause) noexcept;
  void ShutdownSend(Input what_still_comes);
  void OnTimer();
  void OnReceiveTimeout();
  void OnLingerTimeout();
  void SetTimer(std::chrono::milliseconds wait);

  // session_read.cpp
  void AwaitInput();
  void OnReadable();
  bool ReadSome();
  void ReadAllUnread();
  void DiscardSome();
  void LookForEnd();
  void AwaitHangup();
  void ResetParser();
  void NoteBegin();
  void ParseBuffered();
  void Advance();
  void ArmReceiveTimeout();
  void ServeNext();

  // session_request.cpp
  std::optional<Fault> Serve(ClientRequest& request, TimePoint began);
  std::optional<Fault> ServeReady(const ClientRequest& request);
  std::optional<Fault> CheckTarget(const ClientRequest& request, Checked* checked) const;
  std::optional<Fault> CheckFields(const ClientRequest& request, Checked* checked) const;
  void Take(ClientRequest& request, const Checked& checked);

  // session_write.cpp
  void Reject(const Fault& fault);
  void RejectInput(boost::beast::error_code error);
  void Write(Answer answer) noexcept;
  void WriteSome();
  void AwaitWritable();
  void PostWritten();
  void OnWritten();
  bool AnotherHasCome() const;

  Listener& listener_;
  boost::asio::ip::tcp::socket socket_;
  net::OneShotTimer timer_;  // of the state; at most one limit holds at a time
  net::OneShotTimer pause_;  // between pieces of what is dropped
  Sessions::iterator at_;
  State state_ = State::kReceiving;
  Input input_ = Input::kParsed;

  boost::beast::flat_buffer buffer_{kMostHeader + kMostBody};
  ArrivalTimes arrivals_;  // of what is in the buffer
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  boost::beast::error_code failed_;  // of what has been read
  TimePoint began_{};                // of the request that is read
  TimePoint since_{};                // of the silence, of the request that is not whole, or of the answer
  std::size_t dropped_ = 0;          // bytes
  int linger_extensions_ = 0;

  std::string output_;          // the answer
  std::string_view unwritten_;  // of it, or of a fixed text
  bool keep_after_answer_ = false;

  RequestId request_ = 0;    // in the table
  bool asked_ = false;       // a whole request has come
  bool begun_ = false;       // bytes of the next request have been parsed
  bool keep_alive_ = true;   // as far as the client wishes
  bool awaiting_ = false;    // a wait for input is out
  bool overflowed_ = false;  // some of what came behind the buffer was dropped
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_SESSION_H_
