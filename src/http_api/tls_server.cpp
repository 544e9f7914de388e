// SPDX-License-Identifier: Apache-2.0
#include <openssl/x509.h>

#include <array>
#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "http_api/acceptor.h"
#include "http_api/address.h"
#include "http_api/serve_connection.h"
#include "http_api/tls.h"
#include "http_api/tls_context.h"

namespace badgerbridge::http_api {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Stream = beast::ssl_stream<beast::tcp_stream>;

constexpr int kBacklog = 128;
constexpr std::chrono::milliseconds kShutdownTimeout{250};

// Shared by all connections of a server.
struct ServerContext {
  asio::ssl::context tls;
  std::map<std::string, Role> roles;  // by common name
  ServerLimits limits;
  Handler handler;
};

// The subject's common name in the peer's certificate (RFC 5280, section 4.1.2.6); empty if there is none.
std::string CommonName(Stream& stream) {
  constexpr std::size_t kMaxNameBytes = 256;
  const std::unique_ptr<X509, decltype(&X509_free)> certificate(
      SSL_get_peer_certificate(stream.native_handle()), &X509_free);
  if (!certificate) return "";
  std::array<char, kMaxNameBytes> name = {};
  const int size = X509_NAME_get_text_by_NID(X509_get_subject_name(certificate.get()), NID_commonName,
                                             name.data(), static_cast<int>(name.size()));
  return size > 0 ? std::string(name.data(), static_cast<std::size_t>(size)) : "";
}

Peer MakePeer(Stream& stream, const std::map<std::string, Role>& roles) {
  const std::string name = CommonName(stream);
  const auto role = roles.find(name);
  return {"cn " + name, role == roles.end() ? Role::kNone : role->second};
}

// Serves one connection, from the TLS handshake to the TLS shutdown.
asio::awaitable<void> ServeClient(tcp::socket socket, std::shared_ptr<detail::Connection> connection,
                                  std::shared_ptr<ServerContext> context) {
  Stream stream(beast::tcp_stream(std::move(socket)), context->tls);
  connection->close = [&stream] { beast::get_lowest_layer(stream).close(); };
  connection->has_unread_bytes = [&stream] {
    return detail::HasUnreadBytes(beast::get_lowest_layer(stream).socket());
  };
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  beast::get_lowest_layer(stream).expires_after(context->limits.request_timeout);
  co_await stream.async_handshake(asio::ssl::stream_base::server, token);
  if (error) co_return;
  Peer peer = MakePeer(stream, context->roles);
  co_await detail::ServeConnection(stream, connection, context->limits, context->handler, std::move(peer));
  // The wait is short because the peer may have gone without a close_notify.
  beast::get_lowest_layer(stream).expires_after(kShutdownTimeout);
  co_await stream.async_shutdown(token);
  connection->close = [] {};
}

void Listen(tcp::acceptor& socket, const tcp::endpoint& address) {
  ErrorCode error;
  socket.open(address.protocol(), error);
  if (!error) socket.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) socket.bind(address, error);
  if (!error) socket.listen(kBacklog, error);
  if (error) throw std::runtime_error("cannot listen on " + ToText(address) + ": " + error.message());
}

}  // namespace

struct TlsServer::State {
  std::shared_ptr<detail::Acceptor<tcp>> acceptor;
};

TlsServer::TlsServer(asio::io_context& io, const tcp::endpoint& address, const TlsFiles& files,
                     std::map<std::string, Role> roles, ServerLimits limits, Handler handler)
    : state_(std::make_shared<State>()) {
  const auto context = std::make_shared<ServerContext>(
      ServerContext{MakeTlsContext(files, TlsSide::kServer), std::move(roles), limits, std::move(handler)});
  state_->acceptor = std::make_shared<detail::Acceptor<tcp>>(
      io, limits.max_connections, limits.min_idle,
      [context](tcp::socket socket, std::shared_ptr<detail::Connection> connection) {
        return ServeClient(std::move(socket), std::move(connection), context);
      });
  Listen(state_->acceptor->listening_socket(), address);
  state_->acceptor->Start();
}

TlsServer::~TlsServer() { state_->acceptor->Close(); }

tcp::endpoint TlsServer::address() const { return state_->acceptor->listening_socket().local_endpoint(); }

}  // namespace badgerbridge::http_api
