// SPDX-License-Identifier: Apache-2.0
#include <boost/asio/ssl.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/ssl.hpp>

#include "http_api/client.h"
#include "http_api/exchange.h"
#include "http_api/tls_context.h"

namespace badgerbridge::http_api {

namespace asio = boost::asio;
namespace beast = boost::beast;

asio::awaitable<Reply> Call(Target where, std::string method, std::string target, std::string body,
                            std::chrono::milliseconds timeout) {
  Reply reply;
  if (!where.unix_path.empty()) {
    reply =
        co_await CallUnix(where.unix_path, std::move(method), std::move(target), std::move(body), timeout);
    co_return reply;
  }
  auto executor = co_await asio::this_coro::executor;
  std::optional<asio::ssl::context> tls;
  try {
    tls.emplace(TlsContext(where.files, false));
  } catch (const std::exception& bad) {
    reply.error = bad.what();
  }
  if (!tls) co_return reply;
  beast::ssl_stream<beast::tcp_stream> stream(executor, *tls);
  stream.set_verify_callback(asio::ssl::host_name_verification(
      where.server_name.empty() ? where.address.address().to_string() : where.server_name));
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  beast::get_lowest_layer(stream).expires_after(timeout);
  co_await beast::get_lowest_layer(stream).async_connect(where.address, token);
  if (!error) co_await stream.async_handshake(asio::ssl::stream_base::client, token);
  co_return co_await detail::Exchange(stream, error, std::move(method), std::move(target), std::move(body),
                                      timeout);
}

}  // namespace badgerbridge::http_api
