// SPDX-License-Identifier: Apache-2.0
//
// A listening socket that loses no connection when descriptors or memory run out.
#ifndef BADGERBRIDGE_PROXY_CONNECTION_ACCEPTOR_H_
#define BADGERBRIDGE_PROXY_CONNECTION_ACCEPTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <functional>
#include <utility>

namespace badgerbridge::proxy {

/// Accepts connections one at a time and passes them to an admit function. It calls accept(2) directly,
/// because Asio's accept closes a connection if memory runs out or the descriptor can't be registered with
/// the reactor. Here such a connection is kept until it can be admitted. Not thread-safe.
class ConnectionAcceptor {
 public:
  /// Takes ownership of a connection's descriptor, unless it throws.
  using Admit = std::function<void(int descriptor)>;

  /// Result of AcceptOne().
  enum class AcceptResult {
    kAccepted,    ///< a connection was admitted, or its client aborted it before the accept
    kQueueEmpty,  ///< the kernel's accept queue is empty
    kFailed,      ///< a connection is waiting that can't be accepted or admitted now
  };

  /// Binds to `address` and listens. Throws boost::system::system_error.
  ConnectionAcceptor(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Admit admit);
  ~ConnectionAcceptor();
  ConnectionAcceptor(const ConnectionAcceptor&) = delete;
  ConnectionAcceptor& operator=(const ConnectionAcceptor&) = delete;

  /// The listening address. Throws boost::system::system_error after Close().
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  /// Calls `handler` with an error code when a connection is waiting or the acceptor is closed. May throw;
  /// then no wait has begun. This object must outlive the wait.
  template <typename Handler>
  void AsyncWait(Handler handler) {
    acceptor_.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                         [this, handler = std::move(handler)](boost::beast::error_code error) {
                           is_waiting_ = false;
                           handler(error);
                         });
    is_waiting_ = true;
  }
  /// Whether a wait has begun whose handler has not been called.
  bool is_waiting() const { return is_waiting_; }

  /// Accepts and admits one connection. One that could not be admitted before is tried first.
  AcceptResult AcceptOne();
  /// Whether a connection is kept that could not be admitted yet.
  bool has_unadmitted() const { return unadmitted_ != kNoDescriptor; }
  /// Whether AcceptOne() has a connection to accept or to admit, or may have one: the queue can't be polled.
  bool HasWaiting();

  /// Stops accepting new TCP handshakes, if the system supports that (net::StopNewHandshakes).
  void StopNewHandshakes();
  /// Closes the listening socket and the connection that could not be admitted, if any.
  void Close();
  /// Whether Close() has been called.
  bool is_closed() const { return is_closed_; }

 private:
  static constexpr int kNoDescriptor = -1;

  void CloseUnadmitted();

  boost::asio::ip::tcp::acceptor acceptor_;
  Admit admit_;
  int unadmitted_ = kNoDescriptor;  // accepted but not admitted yet; owned
  bool is_waiting_ = false;
  bool is_closed_ = false;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_CONNECTION_ACCEPTOR_H_
