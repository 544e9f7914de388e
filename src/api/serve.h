// SPDX-License-Identifier: Apache-2.0
//
// What servers over Unix sockets and over TLS share: the accept loop, the table of connections, and the loop
// of one connection.
#ifndef BADGERBRIDGE_API_SERVE_H_
#define BADGERBRIDGE_API_SERVE_H_

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <iostream>
#include <list>

#include "api/server.h"

namespace badgerbridge::api::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct Connection {
  std::function<void()> close;
  std::chrono::steady_clock::time_point since = std::chrono::steady_clock::now();
  bool asked = false;  // has sent a whole request
  bool busy = false;   // a request of it is being handled, or its answer written
};
using Connections = std::list<std::shared_ptr<Connection>>;

// False if all are busy or young.
inline bool MakeRoom(Connections& connections, std::chrono::milliseconds young) {
  const auto now = std::chrono::steady_clock::now();
  for (const bool asked : {false, true}) {
    const auto found = std::find_if(connections.begin(), connections.end(), [&](const auto& c) {
      return c->asked == asked && !c->busy && now - c->since >= young;
    });
    if (found == connections.end()) continue;
    const auto connection = *found;
    connections.erase(found);
    connection->close();
    return true;
  }
  return false;
}

// Accepts connections and holds them; at the limit, one makes room for the next. Close ends all of it;
// connections end in their own time then, and hold what they need.
template <typename Protocol>
class Acceptor : public std::enable_shared_from_this<Acceptor<Protocol>> {
 public:
  using Socket = typename Protocol::socket;
  // One connection to its end. While it runs, connection->close ends it from outside.
  using Run = std::function<asio::awaitable<void>(Socket, std::shared_ptr<Connection>)>;

  Acceptor(asio::io_context& io, std::size_t most, std::chrono::milliseconds young, Run run)
      : io_(io), most_(most), young_(young), run_(std::move(run)), acceptor_(io), pause_(io) {}

  typename Protocol::acceptor& socket() { return acceptor_; }
  std::size_t connections() const { return connections_.size(); }

  void Start() {
    if (closed_) return;
    if (connections_.size() >= most_ && !MakeRoom(connections_, young_)) return StartAfter(kRoomPause);
    acceptor_.async_accept([self = this->shared_from_this()](boost::system::error_code error, Socket socket) {
      if (self->closed_ || error == asio::error::operation_aborted) return;
      if (error) return self->StartAfter(kAcceptPause);
      asio::co_spawn(self->io_, Hold(self, std::move(socket)), asio::detached);
      self->Start();
    });
  }

  void Close() {
    closed_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
    for (const auto& connection : connections_) connection->close();
  }

 private:
  static constexpr std::chrono::milliseconds kRoomPause{5}, kAcceptPause{50};

  void StartAfter(std::chrono::milliseconds wait) {
    pause_.expires_after(wait);
    pause_.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
      if (!error) self->Start();
    });
  }

  static asio::awaitable<void> Hold(std::shared_ptr<Acceptor> self, Socket socket) {
    auto connection = std::make_shared<Connection>();
    connection->close = [] {};
    self->connections_.push_back(connection);
    try {
      co_await self->run_(std::move(socket), connection);
    } catch (const std::exception& error) {
      std::cerr << "a control connection failed: " << error.what() << '\n';
    }
    connection->close = [] {};
    self->connections_.remove(connection);
  }

  asio::io_context& io_;
  const std::size_t most_;
  const std::chrono::milliseconds young_;
  const Run run_;
  typename Protocol::acceptor acceptor_;
  asio::steady_timer pause_;
  Connections connections_;
  bool closed_ = false;
};

inline std::optional<Request> ToRequest(const http::request<http::string_body>& message) {
  const auto url = boost::urls::parse_origin_form({message.target().data(), message.target().size()});
  if (!url) return std::nullopt;
  Request request;
  request.method = std::string(message.method_string());
  request.path = std::string(url->encoded_path());
  for (const auto& param : url->params()) request.query[std::string(param.key)] = std::string(param.value);
  request.body = message.body();
  return request;
}

// Serves the stream until it ends, errs, is silent for too long, or is closed from outside.
template <typename Stream>
asio::awaitable<void> Serve(Stream& stream, std::shared_ptr<Connection> connection, ServerLimits limits,
                            Handler handler, Peer peer) {
  beast::flat_buffer buffer(limits.header + limits.body);
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header));
    parser.body_limit(limits.body);
    if (connection->asked && buffer.size() == 0) {
      beast::get_lowest_layer(stream).expires_after(limits.idle_timeout);
      const std::size_t n = co_await stream.async_read_some(buffer.prepare(1024), token);
      if (error) co_return;
      buffer.commit(n);
    }
    beast::get_lowest_layer(stream).expires_after(limits.request_timeout);
    co_await http::async_read(stream, buffer, parser, token);
    connection->since = std::chrono::steady_clock::now();
    Response response;
    bool keep = false;
    if (!error) {
      connection->asked = connection->busy = true;
      beast::get_lowest_layer(stream).expires_never();
      keep = parser.get().keep_alive();
      std::optional<Request> request = ToRequest(parser.get());
      if (!request) {
        response = Error(400, "malformed target");
      } else {
        try {
          response = co_await handler(std::move(*request), peer);
        } catch (const std::exception& failure) {
          std::cerr << "a control request failed: " << failure.what() << '\n';
          response = Error(500, "it could not be carried out; the log says why");
        }
      }
    } else if (error == http::error::body_limit) {
      response = Error(413, "the body is larger than " + std::to_string(limits.body) + " bytes");
    } else if (error == http::error::header_limit) {
      response = Error(431, "the header is larger than " + std::to_string(limits.header) + " bytes");
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream && error != http::error::partial_message) {
      response = Error(400, "not HTTP/1.1");
    } else {
      co_return;
    }
    http::response<http::string_body> message{http::int_to_status(response.status), 11};
    message.result(response.status);
    message.set(http::field::content_type, "application/json");
    message.body() = boost::json::serialize(response.body) + "\n";
    message.keep_alive(keep);
    message.prepare_payload();
    beast::get_lowest_layer(stream).expires_after(limits.request_timeout);
    co_await http::async_write(stream, message, token);
    connection->busy = false;
    connection->since = std::chrono::steady_clock::now();
    if (error || !keep) co_return;
  }
}

}  // namespace badgerbridge::api::detail

#endif  // BADGERBRIDGE_API_SERVE_H_
