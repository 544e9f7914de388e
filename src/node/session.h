// SPDX-License-Identifier: Apache-2.0
//
// A session of the listener: one client's connection. Only node/client.cpp and the session's own files use
// it.
#ifndef BADGERBRIDGE_NODE_SESSION_H_
#define BADGERBRIDGE_NODE_SESSION_H_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/url_view.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "node/client.h"

namespace badgerbridge::node {

using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;

// One connection. A read is always out, also while a request is served, and whatever is done with what it
// brings: it sees the client leave. A connection ends in one way: it is shut, what still comes is read and
// dropped until its client closes it, or for a bounded time, and then it is closed. To close it over unread
// bytes would reset it, and could take an answer away from the client.
class Listener::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Listener& listener, boost::asio::ip::tcp::socket socket);

  void Start(Sessions::iterator at);

  // Whether it has a place that another connection needs more. Settled: it has asked before and is silent. A
  // close that crosses its next request has the client send that once more, on a new connection; one that
  // crosses the first request of a connection would fail it, so a stranger is never a young one.
  bool Settled(Duration silent) const;
  bool Stranger() const;

  void Close();

  // Nothing of it is owed an answer; one that has its last answer and only stays open is quiet, too.
  bool Quiet() const { return lingering_ || (serving_ == 0 && !writing_ && !begun_); }

  // While this proxy drains: ends a connection between requests, unless its next one has come already. Its
  // client sends what crosses the end once more, elsewhere. One that has not asked yet has its own time-out.
  void EndIfIdle();

  // At the stop: ends a connection between requests. Bytes that have come but are not read yet are a request
  // that was taken; one that is still incomplete after a while was not.
  void WindDown();

  // What still comes is dropped: a request among it is sent once more by its client, which sees the end and
  // no answer.
  void Linger();
  bool lingering() const { return lingering_; }

 private:
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
  static constexpr std::size_t kPiece = 2048;  // read at once; what an idle connection keeps
  static constexpr std::chrono::milliseconds kSlowRequest{
      2200};  // a client sends in one go: it will not be whole

  bool NothingHasCome() const;
  bool Busy() const { return serving_ != 0 || writing_ || lingering_; }

  // session_read.cpp
  void NextRequest();
  void NoteBegin();
  void Read();
  void OnRead(boost::beast::error_code error, std::size_t n);
  void TakeIn();
  void Proceed();

  // session_request.cpp
  std::optional<Fault> Serve(ClientRequest& request, TimePoint began);
  std::optional<Fault> ServeReady(const ClientRequest& request);
  std::optional<Fault> CheckTarget(const ClientRequest& request, Checked* checked) const;
  std::optional<Fault> CheckFields(const ClientRequest& request, Checked* checked) const;
  void Take(ClientRequest& request, const Checked& checked);

  // session_write.cpp
  void Reject(const Fault& fault);
  void Write(Answer answer);
  bool AnotherHasCome() const;
  void OnWritten(boost::beast::error_code error);

  // session.cpp
  void Drop(std::size_t n);
  void OnTimer();
  void SetTimer(std::chrono::milliseconds wait);
  void StopTimer();

  static constexpr RequestId kTaking = UINT64_MAX;  // in the table, and its number not yet known

  Listener& listener_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_, pause_;
  std::array<char, kPiece> piece_;
  Sessions::iterator at_;
  boost::beast::flat_buffer buffer_{kMostHeader + kMostBody};
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
  boost::beast::error_code failed_;
  TimePoint began_{}, since_{};  // of the request; of the silence, or of the request that is not whole
  std::size_t dropped_ = 0;      // bytes
  RequestId serving_ = 0;
  bool begun_ = false, keep_alive_ = true, writing_ = false, reading_ = false, lingering_ = false,
       closed_ = false;
  bool answered_early_ = false, timed_ = false, asked_ = false;
  bool next_whole_ = false;  // the next request is there and waits for its turn
  bool deaf_ = false;        // what comes is dropped, from here on
  bool overflowed_ = false;  // some of what came behind the buffer was
};

}  // namespace badgerbridge::node

#endif  // BADGERBRIDGE_NODE_SESSION_H_
