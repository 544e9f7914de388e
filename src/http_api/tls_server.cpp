// SPDX-License-Identifier: Apache-2.0
#include <openssl/x509.h>

#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "http_api/address.h"
#include "http_api/serve.h"
#include "http_api/tls.h"
#include "http_api/tls_context.h"

namespace badgerbridge::http_api {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Stream = beast::ssl_stream<beast::tcp_stream>;

std::string CommonName(Stream& stream) {
  X509* certificate = SSL_get_peer_certificate(stream.native_handle());
  if (!certificate) return "";
  char name[256] = {};
  const int size =
      X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name, sizeof name);
  X509_free(certificate);
  return size > 0 ? std::string(name, static_cast<std::size_t>(size)) : "";
}

}  // namespace

struct TlsServer::State {
  std::shared_ptr<detail::Acceptor<tcp>> acceptor;
};

TlsServer::TlsServer(asio::io_context& io, const tcp::endpoint& address, const TlsFiles& files,
                     std::map<std::string, Role> roles, ServerLimits limits, Handler handler)
    : state_(std::make_shared<State>()) {
  state_->acceptor = std::make_shared<detail::Acceptor<tcp>>(
      io, limits.connections, limits.young,
      [tls = std::make_shared<asio::ssl::context>(TlsContext(files, true)), roles = std::move(roles), limits,
       handler = std::move(handler)](
          tcp::socket socket, std::shared_ptr<detail::Connection> connection) -> asio::awaitable<void> {
        Stream stream(beast::tcp_stream(std::move(socket)), *tls);
        connection->close = [&stream] { beast::get_lowest_layer(stream).close(); };
        connection->has_unread = [&stream] {
          return detail::HasUnread(beast::get_lowest_layer(stream).socket());
        };
        beast::error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        beast::get_lowest_layer(stream).expires_after(limits.request_timeout);
        co_await stream.async_handshake(asio::ssl::stream_base::server, token);
        if (error) co_return;
        const std::string name = CommonName(stream);
        const auto role = roles.find(name);
        Peer peer{"cn " + name, role == roles.end() ? Role::kNone : role->second};
        co_await detail::Serve(stream, connection, limits, handler, std::move(peer));
        // Not awaited for long: the peer may be gone.
        beast::get_lowest_layer(stream).expires_after(std::chrono::milliseconds(250));
        co_await stream.async_shutdown(token);
        connection->close = [] {};
      });
  auto& acceptor = state_->acceptor->socket();
  ErrorCode error;
  acceptor.open(address.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(128, error);
  if (error) throw std::runtime_error("cannot listen on " + ToText(address) + ": " + error.message());
  state_->acceptor->Start();
}

TlsServer::~TlsServer() { state_->acceptor->Close(); }

tcp::endpoint TlsServer::address() const { return state_->acceptor->socket().local_endpoint(); }

}  // namespace badgerbridge::http_api
