// SPDX-License-Identifier: Apache-2.0
//
// The backends of one zone on sockets. How long work takes, how it waits, warms and falls over is
// simulator::Backend's, the model that the lab plays, stepped by this machine's clock.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "http_api/address.h"
#include "multiprocess/lag_watch.h"
#include "multiprocess/roles.h"
#include "multiprocess/verdict.h"
#include "simulator/backend.h"

namespace badgerbridge::multiprocess {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using balancer::Duration;
using balancer::TimePoint;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMostBody = 64 << 10;
constexpr double kUsageMemory = 300;  // ms over which a backend's use of its slots is averaged

TimePoint Now() { return TimePoint(Duration(NowMs())); }

class Zone : public simulator::Backend::Observer {
 public:
  explicit Zone(asio::io_context& io) : io_(io), timer_(io), lags_(io) {}

  json::array Begin(const json::object& order) {
    zone_ = order.at("zone").as_string();
    window_ = order.at("window_ms").to_number<double>();
    model_.slots = order.at("slots").to_number<int>();
    model_.queue_capacity = order.at("queue").to_number<int>();
    model_.speed = order.at("speed").to_number<double>();
    model_.slow_start_floor = order.at("cold_from").to_number<double>();
    model_.slow_start_window = Duration(order.at("warm_up_ms").to_number<double>());
    model_.overload_factor = order.at("fall_multiple").to_number<double>();
    model_.overload_duration = Duration(order.at("overload_for_ms").to_number<double>());
    const auto host = asio::ip::make_address_v4(std::string(order.at("host").as_string()));
    json::array addresses;
    for (const json::value& value : order.at("converters").as_array()) {
      const std::size_t index = all_.size();
      auto one = std::make_unique<One>(io_, queue_, *this, index, model_);
      one->name = value.at("name").as_string();
      one->group = zone_ + "/" + std::to_string(value.at("group").to_number<int>());
      one->address = tcp::endpoint(host, 0);
      one->model.Start(TimePoint{});
      all_.push_back(std::move(one));
      Listen(*all_.back());
      addresses.push_back(json::value(http_api::ToText(all_.back()->address)));
    }
    return addresses;
  }

  void Do(const std::string& what, const json::object& order) {
    const auto& which = order.at("which").as_array();
    const double value = order.if_contains("value") ? order.at("value").to_number<double>() : 1;
    for (const json::value& number : which) {
      One& one = *all_.at(number.to_number<std::size_t>());
      if (what == "slow") {
        one.model.SetSlowdown(value);
      } else if (what == "wrong") {
        one.model.SetErrorShare(value);
      } else if (what == "pause") {
        one.model.PauseUntil(Now() + Duration(value));
      } else if (what == "stop") {
        Stop(one);
      } else if (what == "start") {
        Stop(one);
        one.model.Start(Now());
        Listen(one);
      }
    }
    Step();
  }

  void End() {
    for (std::size_t at = 0; at < came_.size(); at += 200) {
      json::array part;
      for (std::size_t i = at; i < std::min(came_.size(), at + 200); ++i) {
        const Came& c = came_[i];
        part.push_back(
            json::array{c.id, c.key, c.backend, c.group, c.at, c.took_effect, c.work, c.time_left});
      }
      Orders::Say({{"came", std::move(part)}});
    }
    for (std::size_t at = 0; at < lags_.lags().size(); at += 200) {
      json::array part;
      for (std::size_t i = at; i < std::min(lags_.lags().size(), at + 200); ++i)
        part.push_back(lags_.lags()[i]);
      Orders::Say({{"lags", std::move(part)}});
    }
    json::array busy;
    for (const auto& one : all_) busy.push_back(one->model.busy_ms());
    Orders::Say({{"busy_ms", std::move(busy)}, {"malformed", malformed_}, {"ended", true}});
  }

 private:
  struct Waiter {
    explicit Waiter(asio::io_context& io) : timer(io, Clock::time_point::max()) {}
    asio::steady_timer timer;
    enum class End { kNone, kRight, kWrong, kDropped } end = End::kNone;
    std::size_t came = 0;  // its place in came_
  };
  struct One {
    One(asio::io_context& io, simulator::EventQueue& queue, simulator::Backend::Observer& watcher,
        std::size_t index, const simulator::BackendModel& m)
        : acceptor(io), model(queue, watcher, index, m, simulator::Random(index + 1, 9)) {}
    std::string name, group;
    tcp::endpoint address;
    tcp::acceptor acceptor;
    simulator::Backend model;
    std::uint64_t turn = 0;  // of its process
    std::set<std::shared_ptr<tcp::socket>> sockets;
    double used = 0;  // share of its slots, lately
    TimePoint used_at{};
  };

  void OnJobStarted(TimePoint, std::size_t, simulator::JobId job) override {
    came_[waiters_.at(job)->came].took_effect = true;
  }
  void OnJobFinished(TimePoint, std::size_t, simulator::JobId job, bool right) override {
    Over(job, right ? Waiter::End::kRight : Waiter::End::kWrong);
  }
  void OnJobDropped(TimePoint, std::size_t, simulator::JobId job) override {
    Over(job, Waiter::End::kDropped);
  }
  void Over(simulator::JobId job, typename Waiter::End end) {
    const auto found = waiters_.find(job);
    if (found == waiters_.end()) return;
    found->second->end = end;
    found->second->timer.cancel();
    waiters_.erase(found);
  }

  void Listen(One& one) {
    beast::error_code error;
    one.acceptor.open(tcp::v4());
    one.acceptor.set_option(tcp::acceptor::reuse_address(true));
    one.acceptor.bind(one.address);
    one.acceptor.listen(1024);
    one.address = one.acceptor.local_endpoint();
    asio::co_spawn(io_, Accept(one, ++one.turn), asio::detached);
  }

  void Stop(One& one) {
    ++one.turn;
    beast::error_code ignored;
    one.acceptor.close(ignored);
    for (const auto& socket : std::exchange(one.sockets, {})) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    one.model.Stop(Now());
  }

  // The model's events up to now, and a timer for the next.
  void Step() {
    while (queue_.RunNext(Now())) {
    }
    // The queue does not tell its first event's time; a backend's work ends on some ms.
    if (stepping_ || queue_.size() == 0) return;
    stepping_ = true;
    timer_.expires_after(std::chrono::milliseconds(1));
    timer_.async_wait([this](const beast::error_code& error) {
      stepping_ = false;
      if (!error) Step();
    });
  }

  void Use(One& one) {
    const TimePoint now = Now();
    const double gain = std::min(1.0, (now - one.used_at).count() / kUsageMemory);
    one.used += gain * (static_cast<double>(one.model.running()) / model_.slots - one.used);
    one.used_at = now;
  }

  asio::awaitable<void> Accept(One& one, std::uint64_t turn) {
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    while (turn == one.turn) {
      tcp::socket socket = co_await one.acceptor.async_accept(token);
      if (turn != one.turn || error == asio::error::operation_aborted) co_return;
      if (error) continue;
      socket.set_option(tcp::no_delay(true), error);
      const auto kept = std::make_shared<tcp::socket>(std::move(socket));
      one.sockets.insert(kept);
      asio::co_spawn(io_, Serve(one, turn, kept), asio::detached);
    }
  }

  asio::awaitable<void> Serve(One& one, std::uint64_t turn, std::shared_ptr<tcp::socket> socket) {
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    beast::flat_buffer buffer(kMostBody + 16384);
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMostBody);
      co_await http::async_read(*socket, buffer, parser, token);
      if (error || turn != one.turn) break;
      const auto& request = parser.get();
      http::response<http::string_body> response{http::status::ok, 11};
      response.keep_alive(request.keep_alive());
      const std::string id(request["X-Correlation-Id"]);
      if (id.empty()) {
        ++malformed_;
        response.result(http::status::not_found);
      } else {
        const bool alive = co_await Work(one, turn, request, id, &response);
        if (!alive) break;
      }
      Use(one);
      char load[96];
      std::snprintf(load, sizeof load, "inflight=%d,queue=%zu,util=%.3f",
                    one.model.running() + static_cast<int>(one.model.queued()), one.model.queued(), one.used);
      response.set("X-Backend-Load", load);
      response.prepare_payload();
      co_await http::async_write(*socket, response, token);
      if (error || turn != one.turn || !response.keep_alive()) break;
    }
    one.sockets.erase(socket);
  }

  // False: its process has ended meanwhile.
  asio::awaitable<bool> Work(One& one, std::uint64_t turn, const http::request<http::string_body>& request,
                             const std::string& id, http::response<http::string_body>* response) {
    Came came{id,
              std::string(request["Idempotency-Key"]),
              one.name,
              one.group,
              NowMs(),
              false,
              WorkOf(request),
              TimeLeft(request)};
    const auto waiter = std::make_shared<Waiter>(io_);
    waiter->came = came_.size();
    const std::string key = came.key, body = "converted " + id + " by " + one.name + "\n";
    came_.push_back(std::move(came));
    // What the group has begun, or done lately, under this key is not done again.
    if (!key.empty()) {
      const auto [met, added] = keys_.try_emplace(one.group + " " + key, NowMs());
      if (!added && NowMs() - met->second < window_) {
        response->body() = body;
        co_return true;
      }
      met->second = NowMs();
    }
    const simulator::JobId job = ++jobs_;
    waiters_.emplace(job, waiter);
    Use(one);
    const simulator::Backend::Admission begin = one.model.Submit(Now(), job, WorkOf(request));
    if (begin == simulator::Backend::Admission::kRejected ||
        begin == simulator::Backend::Admission::kOverloaded) {
      waiters_.erase(job);
      if (!key.empty()) keys_.erase(one.group + " " + key);  // it has not run
      if (begin == simulator::Backend::Admission::kOverloaded) {
        Orders::Say({{"fell", one.name}});
        Stop(one);
        co_return false;
      }
      response->result(http::status::service_unavailable);
      response->set("X-Unprocessed", "1");
      co_return true;
    }
    Step();
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    while (waiter->end == Waiter::End::kNone) co_await waiter->timer.async_wait(token);
    if (waiter->end == Waiter::End::kDropped || turn != one.turn) {
      if (!key.empty() && !came_[waiter->came].took_effect) keys_.erase(one.group + " " + key);
      co_return false;
    }
    if (waiter->end == Waiter::End::kWrong) {
      response->result(http::status::internal_server_error);
    } else {
      response->body() = body;
    }
    co_return true;
  }

  // -1: it is not told.
  double TimeLeft(const http::request<http::string_body>& request) const {
    const auto text = request["X-Time-Left-Ms"];
    std::int64_t ms = -1;
    std::from_chars(text.data(), text.data() + text.size(), ms);
    return static_cast<double>(ms);
  }

  // "/convert?obj=7&work=20000": the work in microseconds of a standard core.
  double WorkOf(const http::request<http::string_body>& request) const {
    const std::string target(request.target());
    double work = 20;
    const std::size_t at = target.find("work=");
    std::int64_t us = 0;
    if (at != std::string::npos &&
        std::from_chars(target.data() + at + 5, target.data() + target.size(), us).ec == std::errc())
      work = static_cast<double>(us) / 1000;
    return work;
  }

  asio::io_context& io_;
  asio::steady_timer timer_;
  LagWatch lags_;
  bool stepping_ = false;
  simulator::EventQueue queue_;
  std::string zone_;
  simulator::BackendModel model_;
  double window_ = 10000;
  std::vector<std::unique_ptr<One>> all_;
  std::vector<Came> came_;
  std::unordered_map<simulator::JobId, std::shared_ptr<Waiter>> waiters_;
  std::unordered_map<std::string, double> keys_;  // by group and key: when
  simulator::JobId jobs_ = 0;
  std::uint64_t malformed_ = 0;
};

}  // namespace

int PlayBackends() {
  asio::io_context io(1);
  Orders orders(io);
  Zone zone(io);
  orders.Follow([&](const json::object& order) {
    const std::string what(order.at("do").as_string());
    if (what == "begin") {
      Orders::Say({{"ready", true}, {"addresses", zone.Begin(order)}});
    } else if (what == "end") {
      zone.End();
    } else {
      zone.Do(what, order);
    }
  });
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
