// SPDX-License-Identifier: Apache-2.0
#include <boost/asio/ssl.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/ssl.hpp>

#include "http_api/client.h"
#include "http_api/stream_call.h"
#include "http_api/tls_context.h"

namespace badgerbridge::http_api {

namespace asio = boost::asio;
namespace beast = boost::beast;

asio::awaitable<Reply> Call(Target server, std::string method, std::string target, std::string body,
                            std::chrono::milliseconds timeout) {
  Reply reply;
  if (!server.unix_path.empty()) {
    reply =
        co_await CallUnix(server.unix_path, std::move(method), std::move(target), std::move(body), timeout);
    co_return reply;
  }
  auto executor = co_await asio::this_coro::executor;
  std::optional<asio::ssl::context> tls;
  try {
    tls.emplace(MakeTlsContext(server.files, TlsSide::kClient));
  } catch (const std::exception& invalid) {
    reply.error = CallError{CallErrorCode::kInvalidTlsFiles, invalid.what(), {}};
  }
  if (!tls) co_return reply;
  beast::ssl_stream<beast::tcp_stream> stream(executor, *tls);
  stream.set_verify_callback(asio::ssl::host_name_verification(
      server.server_name.empty() ? server.address.address().to_string() : server.server_name));
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  beast::get_lowest_layer(stream).expires_after(timeout);
  co_await beast::get_lowest_layer(stream).async_connect(server.address, token);
  if (!error) co_await stream.async_handshake(asio::ssl::stream_base::client, token);
  co_return co_await detail::CallOverStream(stream, error, std::move(method), std::move(target),
                                            std::move(body), timeout);
}

}  // namespace badgerbridge::http_api
