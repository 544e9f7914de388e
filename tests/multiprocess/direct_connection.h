// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A connection of a direct client, and the requests that are in flight on it.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CONNECTION_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

#include "multiprocess/direct_request.h"

namespace badgerbridge::multiprocess {

/// Reads answers and matches them with the requests in flight, in their order.
class DirectConnection {
 public:
  /// Called with each request that is answered; its record has no end yet.
  using OnAnswer = std::function<void(DirectRequest& request, RequestOutcome outcome)>;

  /// For a socket that the caller connects; `proxy_index` is the caller's.
  DirectConnection(boost::asio::io_context& io, std::size_t proxy_index, OnAnswer on_answer);

  /// The socket, to be connected, waited for and written to.
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  /// To be called once the socket is connected.
  void Connected();
  /// Of the client's end, once it is connected.
  const boost::asio::ip::tcp::endpoint& local_address() const { return local_address_; }
  /// Of the proxy's end, once it is connected.
  const boost::asio::ip::tcp::endpoint& remote_address() const { return remote_address_; }

  /// Adds a request that has been written now.
  void AddSent(DirectRequest request);
  /// Reads everything that has arrived.
  void ReadArrived();
  /// Closes the socket, by a reset or not.
  void Close(bool is_reset = false);
  /// Takes the requests in flight.
  std::deque<DirectRequest> TakeInFlight();

  /// Requests that have no answer yet, in their order.
  const std::deque<DirectRequest>& in_flight() const { return in_flight_; }
  /// Of the proxy, as the caller numbers them.
  std::size_t proxy_index() const { return proxy_index_; }
  /// When the last request was written; 0: none was.
  double last_sent_ms() const { return last_sent_ms_; }
  /// When the last answer came, if any did.
  std::optional<double> last_answer_ms() const { return last_answer_ms_; }
  /// Whether the last answer leaves the connection open.
  bool is_persistent() const { return is_persistent_; }
  /// Whether the proxy has closed the connection, as far as it has been read.
  bool has_ended() const { return has_ended_; }
  /// Whether it ended by an error, not by a close.
  bool has_failed() const { return has_failed_; }
  /// Whether a part of an answer has come.
  bool has_part_answer() const { return parser_ && parser_->got_some(); }

 private:
  bool TakeAnswer();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint local_address_;
  boost::asio::ip::tcp::endpoint remote_address_;
  std::size_t proxy_index_;
  OnAnswer on_answer_;
  boost::beast::flat_buffer buffer_{128 << 10};
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::deque<DirectRequest> in_flight_;
  std::optional<double> last_answer_ms_;
  double last_sent_ms_ = 0;
  bool is_persistent_ = true;
  bool has_ended_ = false;
  bool has_failed_ = false;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CONNECTION_H_
