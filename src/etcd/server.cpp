// SPDX-License-Identifier: Apache-2.0
#include "etcd/server.h"

#include <algorithm>
#include <boost/asio/ssl.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

#include "http_api/acceptor.h"
#include "http_api/address.h"
#include "http_api/tls_context.h"

namespace badgerbridge::etcd {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

using http_api::detail::Acceptor;
using AcceptedConnection = http_api::detail::Connection;

constexpr int kListenBacklog = 1024;

// OpenSSL's ALPN callback (RFC 7301): accepts only HTTP/2.
int SelectHttp2(SSL*, const unsigned char** selected_protocol, unsigned char* selected_size,
                const unsigned char* offered, unsigned offered_size, void*) {
  unsigned char* selected = nullptr;
  const int result =
      SSL_select_next_proto(&selected, selected_size, kAlpnHttp2, sizeof kAlpnHttp2, offered, offered_size);
  *selected_protocol = selected;
  return result == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_ALERT_FATAL;
}

std::optional<asio::ssl::context> MakeTlsContext(const ServerOptions& options) {
  if (!options.tls) return std::nullopt;
  asio::ssl::context context = http_api::MakeTlsContext(*options.tls, http_api::TlsSide::kServer);
  SSL_CTX_set_alpn_select_cb(context.native_handle(), SelectHttp2, nullptr);
  return context;
}

void Listen(tcp::acceptor& acceptor, const tcp::endpoint& address) {
  ErrorCode error;
  acceptor.open(address.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(kListenBacklog, error);
  if (error)
    throw std::runtime_error("cannot listen on " + http_api::ToText(address) + ": " + error.message());
}

}  // namespace

// Shared with the connections' coroutines, which may outlive the server.
struct Server::State {
  asio::awaitable<void> Serve(asio::io_context& io, tcp::socket socket,
                              std::shared_ptr<AcceptedConnection> accepted);

  ServerOptions options;
  OnConnection on_connection;
  std::optional<asio::ssl::context> tls;
  std::shared_ptr<Acceptor<tcp>> acceptor;
  std::set<std::shared_ptr<ServerConnection>> connections;
  bool is_accepting = true;
};

// Serves one connection until it ends.
asio::awaitable<void> Server::State::Serve(asio::io_context& io, tcp::socket socket,
                                           std::shared_ptr<AcceptedConnection> accepted) {
  const auto connection =
      std::make_shared<ServerConnection>(io, std::move(socket), options, tls ? &*tls : nullptr);
  accepted->is_busy = true;  // prevents the acceptor from closing it to make room for a new connection
  accepted->close = [weak_connection = std::weak_ptr<ServerConnection>(connection)] {
    if (const auto open_connection = weak_connection.lock())
      open_connection->Close("the server is shutting down");
  };
  connection->SetHandler(on_connection(connection));
  connections.insert(connection);
  if (!is_accepting) connection->http2().GoAway();
  co_await connection->Run();
  connections.erase(connection);
}

Server::Server(asio::io_context& io, const tcp::endpoint& address, ServerOptions options,
               OnConnection on_connection)
    : state_(std::make_shared<State>()) {
  state_->options = std::move(options);
  state_->on_connection = std::move(on_connection);
  state_->tls = MakeTlsContext(state_->options);
  const auto serve = [&io, weak_state = std::weak_ptr<State>(state_)](
                         tcp::socket socket,
                         std::shared_ptr<AcceptedConnection> accepted) -> asio::awaitable<void> {
    const auto state = weak_state.lock();
    if (state && state->on_connection) co_await state->Serve(io, std::move(socket), std::move(accepted));
  };
  state_->acceptor = std::make_shared<Acceptor<tcp>>(io, state_->options.max_connections,
                                                     std::chrono::milliseconds(0), serve);
  Listen(state_->acceptor->listening_socket(), address);
  state_->acceptor->Start();
}

Server::~Server() {
  state_->is_accepting = false;
  const auto connections = state_->connections;
  for (const auto& connection : connections) connection->Close("the server is shutting down");
  state_->acceptor->Close();
  state_->on_connection = nullptr;
}

tcp::endpoint Server::address() const { return state_->acceptor->listening_socket().local_endpoint(); }

std::size_t Server::connections() const {
  const auto count = std::count_if(state_->connections.begin(), state_->connections.end(),
                                   [](const auto& connection) { return !connection->is_closed(); });
  return static_cast<std::size_t>(count);
}

void Server::StopAccepting() {
  if (!std::exchange(state_->is_accepting, false)) return;
  state_->acceptor->StopAccepting();
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    connection->http2().GoAway();
    connection->Flush();
  }
}

}  // namespace badgerbridge::etcd
