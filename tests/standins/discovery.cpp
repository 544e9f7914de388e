// SPDX-License-Identifier: Apache-2.0
#include "standins/discovery.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cstdio>

namespace badgerbridge::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kHeartbeat{2000};

std::string Line(std::uint64_t index, bool snapshot, const std::string& entries) {
  return "{\"index\":" + std::to_string(index) + ",\"snapshot\":" + (snapshot ? "true" : "false") +
         ",\"endpoints\":[" + entries + "]}";
}

std::string Chunk(const std::string& text) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
  return size + text + "\n\r\n";
}

}  // namespace

std::string Entry::Json() const {
  return boost::json::serialize(boost::json::object{{"name", name},
                                                    {"address", address},
                                                    {"zone", zone},
                                                    {"type", kind},
                                                    {"group", group},
                                                    {"status", status},
                                                    {"weight", weight},
                                                    {"since_ms", since_ms}});
}

struct Discovery::Watch {
  Watch(asio::io_context& io, tcp::socket s) : socket(std::move(s)), updated(io) {}
  tcp::socket socket;
  asio::steady_timer updated;
  std::string pending;
};

Discovery::Discovery(asio::io_context& io) : io_(io), acceptor_(io), port_(io) { Up(); }

Discovery::~Discovery() {
  *alive_ = false;
  Down();
}

std::string Discovery::address() const { return "127.0.0.1:" + std::to_string(port_.address().port()); }

std::string Discovery::List() const {
  std::string entries;
  for (const auto& [name, entry] : entries_) {
    if (!entries.empty()) entries += ',';
    entries += entry.Json();
  }
  return Line(index_, true, entries);
}

void Discovery::NotifyWatches(const std::string& entry) {
  ++index_;
  for (const auto& watch : watches_) {
    watch->pending += Chunk(Line(index_, false, entry));
    watch->updated.cancel();
  }
}

void Discovery::Set(const Entry& entry) {
  entries_[entry.name] = entry;
  NotifyWatches(entry.Json());
}

void Discovery::Remove(const std::string& name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  Entry gone = found->second;
  gone.status = "Gone";
  entries_.erase(found);
  NotifyWatches(gone.Json());
}

void Discovery::Down() {
  ++generation_;
  beast::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& watch : watches_) {
    watch->socket.close(ignored);
    watch->updated.cancel();
  }
}

void Discovery::Up() {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(port_.address());
  acceptor_.listen(256);
  asio::co_spawn(io_, Accept(++generation_), asio::detached);
}

asio::awaitable<void> Discovery::Accept(std::uint64_t generation) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (*alive && generation == generation_) {
    tcp::socket socket = co_await acceptor_.async_accept(token);
    if (!*alive || error) co_return;
    asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Discovery::Serve(tcp::socket socket) {
  const auto alive = alive_;
  const std::uint64_t generation = generation_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  beast::flat_buffer buffer(16384);
  http::request<http::string_body> request;
  co_await http::async_read(socket, buffer, request, token);
  if (error || !*alive || generation != generation_) co_return;
  const std::string target(request.target());
  if (target.rfind("/v1/endpoints", 0) != 0) {
    const std::string answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(answer), token);
    co_return;
  }
  if (target.find("stream=1") == std::string::npos) {
    const std::string list = List();
    const std::string answer =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(list.size()) +
        "\r\n\r\n" + list;
    co_await asio::async_write(socket, asio::buffer(answer), token);
    co_return;
  }
  const auto watch = std::make_shared<Watch>(io_, std::move(socket));
  watches_.insert(watch);
  watch->pending = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(List());
  while (*alive && generation == generation_ && !error) {
    if (watch->pending.empty()) {
      beast::error_code ended;
      watch->updated.expires_after(kHeartbeat);
      co_await watch->updated.async_wait(asio::redirect_error(asio::use_awaitable, ended));
      if (!*alive) co_return;
      if (watch->pending.empty()) watch->pending = Chunk("");
      continue;
    }
    const std::string text = std::exchange(watch->pending, {});
    co_await asio::async_write(watch->socket, asio::buffer(text), token);
  }
  if (*alive) watches_.erase(watch);
}

}  // namespace badgerbridge::standins
