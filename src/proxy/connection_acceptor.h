// SPDX-License-Identifier: Apache-2.0
//
// A listening socket that loses no connection for want of descriptors or memory.
#ifndef BADGERBRIDGE_PROXY_CONNECTION_ACCEPTOR_H_
#define BADGERBRIDGE_PROXY_CONNECTION_ACCEPTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <functional>
#include <utility>

namespace badgerbridge::proxy {

/// Accepts connections one at a time and passes them on. By the system's own call: Asio's closes a connection
/// for which it has no memory, or the system has no place among the descriptors that are polled. Here such a
/// connection is kept until it can be passed on. Not thread-safe.
class ConnectionAcceptor {
 public:
  /// Takes over the descriptor of a connection. If it throws, it has not taken the descriptor.
  using Admit = std::function<void(int descriptor)>;

  /// What became of an attempt to accept.
  enum class AcceptResult {
    kAccepted,    ///< a connection was passed on, or it had been closed by its client meanwhile
    kQueueEmpty,  ///< none waits in the kernel's queue
    kFailed,      ///< one waits that can't be accepted now
  };

  /// Binds to `address` and listens. Throws boost::system::system_error.
  ConnectionAcceptor(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Admit admit);
  ~ConnectionAcceptor();
  ConnectionAcceptor(const ConnectionAcceptor&) = delete;
  ConnectionAcceptor& operator=(const ConnectionAcceptor&) = delete;

  /// The address that it listens on. Throws boost::system::system_error once it is closed.
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  /// Calls `handler` with an error code when a connection waits, or when the acceptor is closed. May throw;
  /// then no wait has begun. This must outlive the wait.
  template <typename Handler>
  void AsyncWait(Handler handler) {
    acceptor_.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                         [this, handler = std::move(handler)](boost::beast::error_code error) {
                           is_waiting_ = false;
                           handler(error);
                         });
    is_waiting_ = true;
  }
  /// Whether a wait's handler is still to be called.
  bool is_waiting() const { return is_waiting_; }

  /// Accepts a connection and passes it on, or the one kept from before.
  AcceptResult AcceptOne();
  /// Accepts all that wait in the kernel's queue: their clients count as connected. False if one waits that
  /// can't be accepted now.
  bool AcceptAll();
  /// Whether a connection is kept that could not be passed on.
  bool has_unadmitted() const { return unadmitted_ != kNoDescriptor; }

  /// From here on no new handshake begins, where the system can do that (net::StopNewHandshakes).
  void StopNewHandshakes();
  /// Closes the listening socket and a connection that could not be passed on.
  void Close();
  /// Whether Close() has been called.
  bool is_closed() const { return is_closed_; }

 private:
  static constexpr int kNoDescriptor = -1;

  void CloseUnadmitted();

  boost::asio::ip::tcp::acceptor acceptor_;
  Admit admit_;
  int unadmitted_ = kNoDescriptor;  // a connection that was accepted and not passed on; owned
  bool is_waiting_ = false;
  bool is_closed_ = false;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_CONNECTION_ACCEPTOR_H_
