// SPDX-License-Identifier: Apache-2.0
//
// TLS before a server that speaks in cleartext: takes a client that shows a certificate of the authority's
// and offers HTTP/2 by ALPN (RFC 7301), and passes the bytes on both ways. Strict: without either there is no
// connection.
#ifndef BADGERBRIDGE_TESTS_STANDINS_TLS_FRONT_H_
#define BADGERBRIDGE_TESTS_STANDINS_TLS_FRONT_H_

#include <openssl/ssl.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "http_api/tls_context.h"

namespace badgerbridge::standins {

class TlsFront {
 public:
  TlsFront(boost::asio::io_context& io, const http_api::TlsFiles& files,
           boost::asio::ip::tcp::endpoint behind)
      : io_(io),
        context_(http_api::MakeTlsContext(files, http_api::TlsSide::kServer)),
        behind_(behind),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    SSL_CTX_set_alpn_select_cb(
        context_.native_handle(),
        [](SSL*, const unsigned char** out, unsigned char* size, const unsigned char* in, unsigned in_size,
           void*) {
          static const unsigned char kH2[] = {2, 'h', '2'};
          return SSL_select_next_proto(const_cast<unsigned char**>(out), size, kH2, sizeof kH2, in,
                                       in_size) == OPENSSL_NPN_NEGOTIATED
                     ? SSL_TLSEXT_ERR_OK
                     : SSL_TLSEXT_ERR_ALERT_FATAL;
        },
        nullptr);
    Accept();
  }
  ~TlsFront() { *alive_ = false; }
  TlsFront(const TlsFront&) = delete;
  TlsFront& operator=(const TlsFront&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t taken() const { return taken_; }      // handshakes that were good
  std::size_t refused() const { return refused_; }  // and those that were not

 private:
  using tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;
  struct Pair : std::enable_shared_from_this<Pair> {
    Pair(boost::asio::io_context& io, boost::asio::ssl::context& context, tcp::socket socket)
        : outer(std::move(socket), context), inner(io) {}
    boost::asio::ssl::stream<tcp::socket> outer;
    tcp::socket inner;
    std::array<char, 16384> up{}, down{};

    template <typename From, typename To>
    void Pass(From& from, To& to, std::array<char, 16384>& piece) {
      from.async_read_some(boost::asio::buffer(piece), [self = shared_from_this(), &from, &to, &piece](
                                                           ErrorCode error, std::size_t n) {
        if (error) return self->Close();
        boost::asio::async_write(to, boost::asio::buffer(piece.data(), n),
                                 [self, &from, &to, &piece](ErrorCode failed, std::size_t) {
                                   if (failed) return self->Close();
                                   self->Pass(from, to, piece);
                                 });
      });
    }
    void Close() {
      ErrorCode ignored;
      outer.next_layer().close(ignored);
      inner.close(ignored);
    }
  };

  void Accept() {
    acceptor_.async_accept([this, alive = alive_](ErrorCode error, tcp::socket socket) {
      if (!*alive || error) return;
      const auto pair = std::make_shared<Pair>(io_, context_, std::move(socket));
      pair->outer.async_handshake(boost::asio::ssl::stream_base::server,
                                  [this, alive, pair](ErrorCode failed) {
                                    if (!*alive) return;
                                    ++(failed ? refused_ : taken_);
                                    if (failed) return;
                                    pair->inner.async_connect(behind_, [pair](ErrorCode nobody) {
                                      if (nobody) return pair->Close();
                                      pair->Pass(pair->outer, pair->inner, pair->up);
                                      pair->Pass(pair->inner, pair->outer, pair->down);
                                    });
                                  });
      Accept();
    });
  }

  boost::asio::io_context& io_;
  boost::asio::ssl::context context_;
  tcp::endpoint behind_;
  tcp::acceptor acceptor_;
  std::size_t taken_ = 0, refused_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_TLS_FRONT_H_
