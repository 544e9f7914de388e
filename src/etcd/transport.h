// SPDX-License-Identifier: Apache-2.0

/// \file
/// A TCP connection in cleartext or with TLS, for both sides of HTTP/2.
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

/// HTTP/2 as the only protocol, in the form of an ALPN protocol list (RFC 7301, section 3.1; RFC 9113,
/// section 3.2).
inline constexpr unsigned char kAlpnHttp2[] = {2, 'h', '2'};

/// A TCP socket, and TLS on it where there is a context. Not thread-safe.
class Transport {
 public:
  /// The type of the stream with TLS.
  using TlsStream = boost::asio::ssl::stream<boost::asio::ip::tcp::socket>;

  /// Takes over `socket`, connected or not. `tls` must outlive this; null: cleartext.
  Transport(boost::asio::ip::tcp::socket socket, boost::asio::ssl::context* tls);

  /// The TCP socket, below TLS.
  boost::asio::ip::tcp::socket& socket() { return tls_ ? tls_->next_layer() : *plain_; }
  /// The TCP socket, below TLS.
  const boost::asio::ip::tcp::socket& socket() const { return tls_ ? tls_->next_layer() : *plain_; }
  /// The stream with TLS, for its handshake; null: cleartext.
  TlsStream* tls() { return tls_ ? &*tls_ : nullptr; }

  /// Small writes leave at once. Ignores errors: the next read or write has them.
  void DisableNagle();
  /// Closes the socket without TLS's close_notify. Operations in progress end with an error.
  void Close();

  /// Reads what is there, at least one byte. The result is that of Asio's async_read_some.
  template <typename CompletionToken>
  auto AsyncReadSome(boost::asio::mutable_buffer buffer, CompletionToken&& token) {
    if (tls_) return tls_->async_read_some(buffer, std::forward<CompletionToken>(token));
    return plain_->async_read_some(buffer, std::forward<CompletionToken>(token));
  }
  /// Writes all bytes. The result is that of boost::asio::async_write.
  template <typename CompletionToken>
  auto AsyncWrite(boost::asio::const_buffer bytes, CompletionToken&& token) {
    if (tls_) return boost::asio::async_write(*tls_, bytes, std::forward<CompletionToken>(token));
    return boost::asio::async_write(*plain_, bytes, std::forward<CompletionToken>(token));
  }

 private:
  std::optional<TlsStream> tls_;
  std::optional<boost::asio::ip::tcp::socket> plain_;  // without TLS
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_TRANSPORT_H_
