// SPDX-License-Identifier: Apache-2.0

/// \file
/// A TCP connection in cleartext or with TLS, for HTTP/2 clients and servers.
#ifndef BADGERBRIDGE_ETCD_TRANSPORT_H_
#define BADGERBRIDGE_ETCD_TRANSPORT_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

namespace badgerbridge::etcd {

/// The ALPN protocol list that contains only HTTP/2 (RFC 7301, section 3.1; RFC 9113, section 3.2).
inline constexpr unsigned char kAlpnHttp2[] = {2, 'h', '2'};

/// A TCP socket with optional TLS. Not thread-safe.
class Transport {
 public:
  /// A TLS stream over a TCP socket.
  using TlsStream = boost::asio::ssl::stream<boost::asio::ip::tcp::socket>;

  /// Takes ownership of `socket`, connected or not. `tls` must outlive the transport; cleartext if it is
  /// null.
  Transport(boost::asio::ip::tcp::socket socket, boost::asio::ssl::context* tls);

  /// The TCP socket, below TLS.
  boost::asio::ip::tcp::socket& socket() { return tls_ ? tls_->next_layer() : *plain_; }
  /// The TCP socket, below TLS.
  const boost::asio::ip::tcp::socket& socket() const { return tls_ ? tls_->next_layer() : *plain_; }
  /// The TLS stream, for the handshake; null in cleartext.
  TlsStream* tls() { return tls_ ? &*tls_ : nullptr; }

  /// Sets TCP_NODELAY. Errors are ignored, because the next read or write reports them.
  void DisableNagle();
  /// Closes the socket without sending TLS close_notify. Pending operations fail with an error.
  void Close();

  /// Reads at least one byte. Completes like Asio's async_read_some.
  template <typename CompletionToken>
  auto AsyncReadSome(boost::asio::mutable_buffer buffer, CompletionToken&& token) {
    if (tls_) return tls_->async_read_some(buffer, std::forward<CompletionToken>(token));
    return plain_->async_read_some(buffer, std::forward<CompletionToken>(token));
  }
  /// Writes all bytes. Completes like boost::asio::async_write.
  template <typename CompletionToken>
  auto AsyncWrite(boost::asio::const_buffer bytes, CompletionToken&& token) {
    if (tls_) return boost::asio::async_write(*tls_, bytes, std::forward<CompletionToken>(token));
    return boost::asio::async_write(*plain_, bytes, std::forward<CompletionToken>(token));
  }

 private:
  std::optional<TlsStream> tls_;
  std::optional<boost::asio::ip::tcp::socket> plain_;  // set without TLS
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_TRANSPORT_H_
