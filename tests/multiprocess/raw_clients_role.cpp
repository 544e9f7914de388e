// SPDX-License-Identifier: Apache-2.0
//
// `multiprocess_test role raw_clients`: those of one zone.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "http_api/address.h"
#include "multiprocess/lag_watch.h"
#include "multiprocess/raw_clients.h"
#include "multiprocess/roles.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds kAskDone{20};
constexpr std::size_t kMostInLine = 200;  // records

RawClients::Class ReadClass(const json::object& order) {
  RawClients::Class c;
  c.name = order.at("name").as_string();
  c.effect = static_cast<Idempotency>(order.at("effect").to_number<int>());
  c.share = order.at("share").to_number<double>();
  c.deadline = order.at("deadline_ms").to_number<double>();
  c.work.kind = static_cast<simulator::Distribution::Kind>(order.at("work_kind").to_number<int>());
  c.work.mean = order.at("work_ms").to_number<double>();
  c.work.spread = order.at("work_spread").to_number<double>();
  return c;
}

RawClients::Settings ReadSettings(const json::object& order) {
  RawClients::Settings settings;
  settings.name = order.at("name").as_string();
  settings.seed = order.at("seed").to_number<std::uint64_t>();
  settings.clients = order.at("clients").to_number<std::size_t>();
  for (const json::value& one : order.at("classes").as_array())
    settings.classes.push_back(ReadClass(one.as_object()));
  for (const json::value& one : order.at("proxies").as_array())
    settings.proxies.push_back({std::string(one.at("name").as_string()),
                                *http_api::ParseAddress(std::string(one.at("address").as_string()))});
  return settings;
}

// In lines of a bounded size.
void SayAll(const char* what, const json::array& records) {
  for (std::size_t at = 0; at < records.size(); at += kMostInLine) {
    const auto first = records.begin() + static_cast<std::ptrdiff_t>(at);
    const auto last =
        records.begin() + static_cast<std::ptrdiff_t>(std::min(records.size(), at + kMostInLine));
    Orders::Say({{what, json::array(first, last)}});
  }
}

class Role {
 public:
  explicit Role(asio::io_context& io) : io_(io), lags_(io), ending_(io) {}

  void Do(const json::object& order) {
    const std::string what(order.at("do").as_string());
    if (what == "begin") {
      clients_ = std::make_unique<RawClients>(
          io_, ReadSettings(order), [this](const Asked& one) { Note(one); },
          [this](const Crossed& one) { Note(one); });
      Orders::Say({{"ready", true}});
    } else if (what == "start") {
      clients_->Start();
    } else if (what == "stop") {
      clients_->Stop();
    } else if (what == "end") {
      clients_->Stop();
      End();
    }
  }

 private:
  void Note(const Asked& a) {
    asked_.push_back(json::array{a.id, a.request_class, a.proxy, a.began, a.sent, a.ended,
                                 static_cast<int>(a.end), a.doubled, a.due, a.closed, a.ended_by_peer,
                                 a.last_answer, a.unread, a.direct});
  }
  void Note(const Crossed& c) {
    crossed_.push_back(json::array{c.id, c.proxy, c.sent, c.ended, c.last_answer, c.unread});
  }

  // Says what it holds once nothing is out.
  void End() {
    if (!clients_->Done()) {
      ending_.expires_after(kAskDone);
      ending_.async_wait([this](const boost::system::error_code&) { End(); });
      return;
    }
    SayAll("asked", asked_);
    SayAll("crossed", crossed_);
    SayAll("lags", lags_.lags());
    Orders::Say({{"wanted", clients_->begun()}, {"ended", true}});
  }

  asio::io_context& io_;
  LagWatch lags_;
  asio::steady_timer ending_;
  std::unique_ptr<RawClients> clients_;
  json::array asked_, crossed_;
};

}  // namespace

int PlayRawClients() {
  asio::io_context io(1);
  Orders orders(io);
  Role role(io);
  orders.Follow([&](const json::object& order) { role.Do(order); });
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
