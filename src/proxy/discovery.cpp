// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <tuple>
#include <unordered_set>

#include "net/socket_state.h"
#include "proxy/clock.h"

namespace badgerbridge::proxy {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace {

constexpr std::size_t kMostList = 4 << 20;  // bytes; far more than the list of any deployment
constexpr std::size_t kPiece = 16384;       // read at once

int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

// A status that this build does not know is no leave to send.
BackendState StateOf(std::string_view status) {
  if (status == "Ready") return BackendState::kReady;
  if (status == "Gone") return BackendState::kGone;
  return BackendState::kDraining;
}

std::string_view TextAt(const json::object& object, std::string_view key) {
  const json::string& text = object.at(key).as_string();
  return {text.data(), text.size()};
}

double NumberAt(const json::object& object, std::string_view key, double otherwise) {
  const json::value* found = object.if_contains(key);
  return found && found->is_number() ? found->to_number<double>() : otherwise;
}

// Closes a stream unless what is awaited on it has come by a time. What has come by then and is not read yet,
// since this process was held up, is read first.
class ReadDeadline {
 public:
  ReadDeadline(asio::io_context& io, beast::tcp_stream& stream) : stream_(stream), timer_(io) {}

  void SetAfter(std::chrono::milliseconds wait) {
    timer_.ArmAfter(wait, [this] { Expire(); });
  }

 private:
  void Expire() {
    if (unread_.Postpones(stream_.socket()))
      return timer_.ArmAfter(net::ReadGrace::kPause, [this] { Expire(); });
    stream_.close();
  }

  beast::tcp_stream& stream_;
  net::OneShotTimer timer_;
  net::ReadGrace unread_;
};

}  // namespace

// Derived from the name, so that an id is the same at every proxy and after each restart: the module places
// servers on its ring by id, and proxies that number them differently crowd on the same few.
BackendId EndpointListReader::IdOf(const std::string& name) {
  const auto known = ids_.find(name);
  if (known != ids_.end()) return known->second;
  BackendId id = 2166136261u;  // FNV-1a
  for (const char c : name) id = (id ^ static_cast<unsigned char>(c)) * 16777619u;
  auto [at, added] = names_.emplace(id, name);
  while (!added)
    std::tie(at, added) = names_.emplace(++id, name);  // two names of one hash: the later takes the next
  ids_.emplace(at->second, id);
  return id;
}

std::string EndpointListReader::NameOf(BackendId id) const {
  const auto found = names_.find(id);
  return found == names_.end() ? std::string() : found->second;
}

EndpointList EndpointListReader::Read(const json::value& value) {
  const json::object& object = value.as_object();
  const auto index = object.at("index").to_number<std::uint64_t>();
  const bool snapshot = object.at("snapshot").as_bool();
  std::vector<ListedEndpoint> listed;
  for (const json::value& item : object.at("endpoints").as_array()) {
    const json::object& fields = item.as_object();
    const auto text = [&](const char* key) {
      const json::value* found = fields.if_contains(key);
      return found && found->is_string() ? TextAt(fields, key) : std::string_view();
    };
    ListedEndpoint one;
    one.name = std::string(TextAt(fields, "name"));
    one.state = StateOf(TextAt(fields, "status"));
    one.address = ParseAddress(text("address"));
    if (!one.address && one.state != BackendState::kGone)
      throw std::runtime_error("an endpoint without an address");
    one.zone = std::string(text("zone"));
    one.kind = std::string(text("type"));
    one.group = static_cast<int>(NumberAt(fields, "group", 0));
    one.weight = NumberAt(fields, "weight", 1);
    one.since_ms = NumberAt(fields, "since_ms", 0);
    listed.push_back(std::move(one));
  }
  return Take(snapshot, index, listed);
}

EndpointList EndpointListReader::Take(bool snapshot, std::uint64_t index,
                                      const std::vector<ListedEndpoint>& listed) {
  EndpointList list;
  list.snapshot = snapshot;
  for (const ListedEndpoint& one : listed) {
    Endpoint endpoint;
    endpoint.name = one.name;
    if (one.address) endpoint.address = *one.address;
    endpoint.entry.state = one.state;
    endpoint.entry.server = IdOf(one.name);
    endpoint.entry.zone = IndexOf(zones_, one.zone);
    endpoint.entry.kind = IndexOf(kinds_, one.kind);
    endpoint.entry.cell = one.group;
    endpoint.entry.weight = one.weight;
    endpoint.entry.up_since = TimePoint(Duration(one.since_ms));  // see NodeClock
    list.endpoints.push_back(std::move(endpoint));
  }
  index_ = index;
  Forget(list);
  return list;
}

// Backends are replaced by new ones, under new names, for as long as this node lives.
void EndpointListReader::Forget(const EndpointList& list) {
  std::unordered_set<BackendId> listed;
  for (const Endpoint& endpoint : list.endpoints) {
    if (endpoint.entry.state != BackendState::kGone) listed.insert(endpoint.entry.server);
  }
  const auto drop = [this](BackendId id) {
    const auto found = names_.find(id);
    if (found == names_.end()) return;
    ids_.erase(found->second);
    names_.erase(found);
  };
  if (!list.snapshot) {
    for (const Endpoint& endpoint : list.endpoints) {
      if (!listed.count(endpoint.entry.server)) drop(endpoint.entry.server);
    }
    return;
  }
  std::vector<BackendId> gone;
  for (const auto& [id, name] : names_) {
    if (!listed.count(id)) gone.push_back(id);
  }
  for (const BackendId id : gone) drop(id);
}

Discovery::Discovery(asio::io_context& io, asio::ip::tcp::endpoint address, EndpointListReader reader,
                     bool ask, std::uint64_t seed, OnList on_list, std::function<void()> on_failed,
                     Timing timing)
    : io_(io),
      address_(std::move(address)),
      reader_(std::move(reader)),
      ask_(ask),
      random_(seed),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      timing_(timing),
      backoff_(timing.first_backoff),
      move_(io),
      watchdog_(io) {}

Discovery::Timing Discovery::Timing::For(bool ask) {
  Timing timing;
  if (ask) {
    timing.connect = std::chrono::milliseconds(1000);  // a lost first packet is sent again by then
    timing.answer = std::chrono::milliseconds(2200);   // it turns a call away that has waited for 2 s
    timing.silence = std::chrono::milliseconds(2400);  // the module paces the next call
  }
  return timing;
}

void Discovery::Watch() {
  if (!(ask_ && (calling_ || AwaitsRead()))) Start();
}

// Something of the open watch has come, and its handler has yet to run.
bool Discovery::AwaitsRead() { return stream_ && unread_.Postpones(stream_->socket()); }

bool Discovery::HasUnread() const { return stream_ && net::UnreadBytes(stream_->socket()) > 0; }

void Discovery::Start() {
  // Closed, not cancelled: what the old watch has just completed must not lead it to another step.
  if (stream_) stream_->close();
  ExpectSign();
  try {
    asio::co_spawn(io_, Run(++turn_), asio::detached);
  } catch (const std::exception& error) {
    std::cerr << "discovery: " << error.what() << '\n';  // tried again when no sign has come
  }
}

void Discovery::ExpectSign() {
  const auto longest = timing_.connect + timing_.answer + timing_.silence + timing_.most_backoff;
  watchdog_.ArmAfter(longest, [this] { OnNoSign(); });
}

void Discovery::OnNoSign() {
  if (AwaitsRead()) return watchdog_.ArmAfter(net::ReadGrace::kPause, [this] { OnNoSign(); });
  if (!ask_) return Start();
  ++turn_;
  if (stream_) stream_->close();
  calling_ = false;
  on_failed_();
}

void Discovery::MoveTo(asio::ip::tcp::endpoint address) {
  if (AwaitsRead()) return move_.ArmAfter(net::ReadGrace::kPause, [this, address] { MoveTo(address); });
  move_.Disarm();
  address_ = std::move(address);
  reader_.Restart();
  backoff_ = timing_.first_backoff;
  Start();
}

asio::awaitable<void> Discovery::Run(std::uint64_t turn) {
  while (turn == turn_) {
    ExpectSign();
    calling_ = true;
    try {
      co_await WatchOnce(turn);
    } catch (const std::exception& error) {
      std::cerr << "discovery: " << error.what() << '\n';
    }
    if (turn != turn_) co_return;
    calling_ = false;
    stream_.reset();
    if (ask_) {
      watchdog_.Disarm();
      on_failed_();
      co_return;
    }
    // Full jitter on the upper half: proxies that lost discovery together must not return together.
    const auto half = backoff_.count() / 2;
    const auto wait = half + static_cast<long>(random_() % static_cast<std::uint64_t>(half + 1));
    backoff_ = std::min(timing_.most_backoff, backoff_ * 2);
    asio::steady_timer timer(io_, std::chrono::milliseconds(wait));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> Discovery::WatchOnce(std::uint64_t turn) {
  const auto stream = std::make_shared<beast::tcp_stream>(io_);
  stream_ = stream;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  stream->expires_after(timing_.connect);
  co_await stream->async_connect(address_, token);
  if (error) co_return;
  stream->socket().set_option(asio::ip::tcp::no_delay(true), error);

  http::request<http::empty_body> request(
      http::verb::get, "/v1/endpoints?stream=1&index=" + std::to_string(reader_.index()), 11);
  request.set(http::field::host, "discovery");
  stream->expires_never();
  ReadDeadline deadline(io_, *stream);
  deadline.SetAfter(timing_.answer);
  co_await http::async_write(*stream, request, token);
  if (error) co_return;

  beast::flat_buffer buffer(2 * kPiece);
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);  // it lasts; what is kept of it is bounded below
  co_await http::async_read_header(*stream, buffer, parser, token);
  if (error || parser.get().result() != http::status::ok || turn != turn_) co_return;
  calling_ = false;

  // A discovery that is cut off says nothing, and one that hangs may say half of something for ever: what
  // counts is whole words.
  deadline.SetAfter(timing_.silence);
  JsonValues values(kMostList);
  std::array<char, kPiece> piece;
  while (!parser.is_done()) {
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    co_await http::async_read_some(*stream, buffer, parser, token);
    if (error == http::error::need_buffer) error = {};
    if (turn != turn_) co_return;
    const bool word = TakeWords(&values, {piece.data(), piece.size() - parser.get().body().size}, turn);
    if (error || turn != turn_) co_return;
    if (!word) continue;
    ExpectSign();
    deadline.SetAfter(timing_.silence);
  }
}

bool Discovery::TakeWords(JsonValues* values, std::string_view bytes, std::uint64_t turn) {
  bool word = false;
  while (turn == turn_) {
    EndpointList list;
    try {
      const JsonValues::Found found = values->Next(&bytes);
      if (found == JsonValues::Found::kNothing) break;
      word = true;
      if (found == JsonValues::Found::kEmptyLine) continue;  // a heartbeat
      list = reader_.Read(values->Take());
    } catch (const std::exception& error) {
      reader_.Restart();  // what it held is missing now; only the whole list brings it back
      throw std::runtime_error(std::string("not a list: ") + error.what());
    }
    backoff_ = timing_.first_backoff;
    try {
      on_list_(std::move(list));
    } catch (const std::exception&) {
      reader_.Restart();  // it has not been heard, or not all of it
      throw;
    }
  }
  return word;
}

}  // namespace badgerbridge::proxy
