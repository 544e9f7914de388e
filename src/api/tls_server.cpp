// SPDX-License-Identifier: Apache-2.0
#include <openssl/x509.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/ssl.hpp>

#include "api/serve.h"
#include "api/tls.h"
#include "api/tls_context.h"

namespace badgerbridge::api {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Stream = beast::ssl_stream<beast::tcp_stream>;

constexpr std::chrono::milliseconds kRoomPause{25}, kAcceptPause{50};

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

struct TlsServer::State : std::enable_shared_from_this<State> {
  State(asio::io_context& context, const TlsFiles& files, std::map<std::string, Role> r, ServerLimits l,
        Handler h)
      : io(context),
        tls(TlsContext(files, true)),
        roles(std::move(r)),
        limits(l),
        handler(std::move(h)),
        acceptor(context),
        pause(context) {}

  void AcceptAfter(std::chrono::milliseconds wait) {
    pause.expires_after(wait);
    pause.async_wait([self = shared_from_this()](ErrorCode error) {
      if (!error) self->Accept();
    });
  }

  void Accept() {
    if (closed) return;
    if (connections.size() >= limits.connections && !detail::MakeRoom(connections, limits.young))
      return AcceptAfter(kRoomPause);
    acceptor.async_accept([self = shared_from_this()](ErrorCode error, tcp::socket socket) {
      if (self->closed || error == asio::error::operation_aborted) return;
      if (error) return self->AcceptAfter(kAcceptPause);
      asio::co_spawn(self->io, Run(self, std::move(socket)), asio::detached);
      self->Accept();
    });
  }

  static asio::awaitable<void> Run(std::shared_ptr<State> self, tcp::socket socket) {
    Stream stream(beast::tcp_stream(std::move(socket)), self->tls);
    auto connection = std::make_shared<detail::Connection>();
    connection->close = [&stream] { beast::get_lowest_layer(stream).close(); };
    self->connections.push_back(connection);
    try {
      beast::error_code error;
      auto token = asio::redirect_error(asio::use_awaitable, error);
      beast::get_lowest_layer(stream).expires_after(self->limits.request_timeout);
      co_await stream.async_handshake(asio::ssl::stream_base::server, token);
      if (!error) {
        const std::string name = CommonName(stream);
        const auto role = self->roles.find(name);
        Peer peer{"cn " + name, role == self->roles.end() ? Role::kNone : role->second};
        co_await detail::Serve(stream, connection, self->limits, self->handler, std::move(peer));
        // Not awaited for long: the peer may be gone.
        beast::get_lowest_layer(stream).expires_after(std::chrono::milliseconds(250));
        co_await stream.async_shutdown(token);
      }
    } catch (const std::exception& error) {
      std::cerr << "a control connection failed: " << error.what() << '\n';
    }
    connection->close = [] {};
    self->connections.remove(connection);
  }

  asio::io_context& io;
  asio::ssl::context tls;
  const std::map<std::string, Role> roles;
  const ServerLimits limits;
  const Handler handler;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  detail::Connections connections;
  bool closed = false;
};

TlsServer::TlsServer(asio::io_context& io, const tcp::endpoint& address, const TlsFiles& files,
                     std::map<std::string, Role> roles, ServerLimits limits, Handler handler)
    : state_(std::make_shared<State>(io, files, std::move(roles), limits, std::move(handler))) {
  ErrorCode error;
  state_->acceptor.open(address.protocol(), error);
  if (!error) state_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) state_->acceptor.bind(address, error);
  if (!error) state_->acceptor.listen(128, error);
  if (error)
    throw std::runtime_error("cannot listen on " + address.address().to_string() + ":" +
                             std::to_string(address.port()) + ": " + error.message());
  state_->Accept();
}

TlsServer::~TlsServer() {
  state_->closed = true;
  ErrorCode ignored;
  state_->acceptor.close(ignored);
  state_->pause.cancel();
  for (const auto& connection : state_->connections) connection->close();
}

tcp::endpoint TlsServer::address() const { return state_->acceptor.local_endpoint(); }

}  // namespace badgerbridge::api
