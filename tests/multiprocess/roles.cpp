// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/roles.h"

#include <time.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <boost/json.hpp>
#include <cerrno>
#include <iostream>
#include <map>
#include <memory>

#include "http_api/address.h"
#include "multiprocess/lag_watch.h"
#include "multiprocess/wire.h"
#include "multiprocess/zone_failover_watch.h"
#include "simulator/distribution.h"
#include "simulator/random.h"
#include "standins/clients.h"
#include "standins/discovery.h"
#include "standins/etcd.h"

namespace badgerbridge::multiprocess {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

std::string Text(const json::object& order, std::string_view key) {
  const json::value* found = order.if_contains(key);
  return found && found->is_string() ? std::string(found->get_string()) : std::string();
}

double Number(const json::object& order, std::string_view key, double otherwise = 0) {
  const json::value* found = order.if_contains(key);
  return found && found->is_number() ? found->to_number<double>() : otherwise;
}

bool Flag(const json::object& order, std::string_view key) {
  const json::value* found = order.if_contains(key);
  return found && found->is_bool() && found->get_bool();
}

double Ms(std::chrono::steady_clock::time_point at) {  // steady_clock is CLOCK_MONOTONIC here
  return std::chrono::duration<double, std::milli>(at.time_since_epoch()).count();
}

}  // namespace

double NowMs() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) * 1000 + static_cast<double>(now.tv_nsec) / 1e6;
}

Orders::Orders(asio::io_context& io) : io_(io), input_(io, dup(STDIN_FILENO)) {}

void Orders::Follow(Handler handler) {
  handler_ = std::move(handler);
  Read();
}

void Orders::Read() {
  asio::async_read_until(input_, buffer_, '\n',
                         [this](const boost::system::error_code& error, std::size_t n) {
                           if (error) return io_.stop();
                           const std::string line(static_cast<const char*>(buffer_.data().data()), n);
                           buffer_.consume(n);
                           try {
                             handler_(json::parse(line).as_object());
                           } catch (const std::exception& bad) {
                             Say({{"error", std::string(bad.what()) + " in " + line.substr(0, 200)}});
                           }
                           Read();
                         });
}

// The pipe's reader always reads: a write that blocks is soon over.
void Orders::Say(const json::object& what) {
  const std::string line = json::serialize(what) + "\n";
  for (std::size_t at = 0; at < line.size();) {
    const ssize_t n = write(STDOUT_FILENO, line.data() + at, line.size() - at);
    if (n < 0 && errno != EINTR) return;
    if (n > 0) at += static_cast<std::size_t>(n);
  }
}

// ---- clients ---------------------------------------------------------------------------------------------

int PlayClients() {
  asio::io_context io(1);
  Orders orders(io);
  LagWatch lags(io);
  std::unique_ptr<standins::Clients> clients;
  std::vector<std::string> proxies;
  std::vector<simulator::Distribution> works;
  std::unique_ptr<simulator::Random> random;
  std::uint64_t wanted = 0;
  json::array records;
  asio::steady_timer ending(io);
  const auto begin = [&](const json::object& order) {
    standins::Load load;
    load.per_second = Number(order, "per_second", 100);
    load.seed = static_cast<std::uint64_t>(Number(order, "seed", 1));
    load.name = Text(order, "name");
    load.tries = static_cast<int>(Number(order, "tries", 1));
    load.pause = milliseconds(static_cast<std::int64_t>(Number(order, "pause_ms", 100)));
    random = std::make_unique<simulator::Random>(load.seed, 77);
    for (const json::value& value : order.at("classes").as_array()) {
      const json::object& one = value.as_object();
      standins::LoadClass cls;
      cls.name = Text(one, "name");
      cls.kind = static_cast<standins::Kind>(static_cast<int>(Number(one, "effect")));
      cls.share = Number(one, "share", 1);
      cls.deadline = milliseconds(static_cast<std::int64_t>(Number(one, "deadline_ms", 1500)));
      load.classes.push_back(cls);
      simulator::Distribution shape;
      shape.kind = static_cast<simulator::Distribution::Kind>(static_cast<int>(Number(one, "work_kind")));
      shape.mean = Number(one, "work_ms", 20);
      shape.spread = Number(one, "work_spread", 1);
      works.push_back(shape);
    }
    load.work = [&works, &random](std::size_t cls) { return works[cls].Draw(*random); };
    std::vector<asio::ip::tcp::endpoint> addresses;
    for (const json::value& value : order.at("proxies").as_array()) {
      proxies.push_back(Text(value.as_object(), "name"));
      addresses.push_back(*http_api::ParseAddress(Text(value.as_object(), "address")));
    }
    clients = std::make_unique<standins::Clients>(io, std::move(addresses), load);
    clients->OnRecord([&](const standins::Record& r) {
      ++wanted;
      records.push_back(json::array{r.id, r.request_class, r.proxy < proxies.size() ? proxies[r.proxy] : "",
                                    Ms(r.began), Ms(r.sent), Ms(r.ended), static_cast<int>(r.end), r.doubled,
                                    Ms(r.due), r.closed ? Ms(*r.closed) : -1, r.ended_by_peer, 0, -1, false});
    });
  };
  // Says what it holds, in lines of a bounded size, once nothing is out.
  std::function<void()> end = [&] {
    if (clients && !clients->Done()) {
      ending.expires_after(milliseconds(20));
      ending.async_wait([&](const boost::system::error_code&) { end(); });
      return;
    }
    for (std::size_t at = 0; at < records.size(); at += 200) {
      json::array part;
      for (std::size_t i = at; i < std::min(records.size(), at + 200); ++i) part.push_back(records[i]);
      Orders::Say({{"asked", std::move(part)}});
    }
    Orders::Say({{"lags", lags.lags()}});
    Orders::Say({{"wanted", wanted}, {"ended", true}});
  };
  std::function<void()> report = [&] { Orders::Say({{"ready_proxies", clients->ready()}}); };
  orders.Follow([&](const json::object& order) {
    const std::string what = Text(order, "do");
    if (what == "begin") {
      begin(order);
      Orders::Say({{"ready", true}});
    } else if (what == "count") {
      report();
    } else if (what == "start") {
      clients->Start();
    } else if (what == "load") {
      clients->Scale(Number(order, "value", 1));
    } else if (what == "stop") {
      clients->Stop();
    } else if (what == "end") {
      clients->Stop();
      end();
    }
  });
  io.run();
  return 0;
}

// ---- discovery -------------------------------------------------------------------------------------------

int PlayDiscovery() {
  asio::io_context io(1);
  Orders orders(io);
  std::map<std::string, std::unique_ptr<standins::Discovery>> lists;  // by proxy
  json::array told;
  orders.Follow([&](const json::object& order) {
    const std::string what = Text(order, "do");
    if (what == "begin") {
      json::object addresses;
      for (const json::value& name : order.at("proxies").as_array()) {
        auto& list = lists[std::string(name.as_string())];
        list = std::make_unique<standins::Discovery>(io);
        addresses[name.as_string()] = list->address();
      }
      Orders::Say({{"ready", true}, {"addresses", std::move(addresses)}});
    } else if (what == "set") {
      standins::Entry entry;
      entry.name = Text(order, "name");
      entry.address = Text(order, "address");
      entry.zone = Text(order, "zone");
      entry.status = Text(order, "status");
      entry.group = static_cast<int>(Number(order, "group", 1));
      entry.since_ms = Number(order, "since_ms");
      const std::string proxy = Text(order, "proxy");
      if (entry.status == "Gone") {
        lists.at(proxy)->Remove(entry.name);
      } else {
        lists.at(proxy)->Set(entry);
      }
      told.push_back(json::array{proxy, entry.name, entry.status == "Ready", NowMs()});
    } else if (what == "down") {
      for (auto& [proxy, list] : lists) list->Down();
    } else if (what == "up") {
      for (auto& [proxy, list] : lists) list->Up();
    } else if (what == "end") {
      Orders::Say({{"told", told}});
      Orders::Say({{"ended", true}});
    }
  });
  io.run();
  return 0;
}

// ---- wire ------------------------------------------------------------------------------------------------

int PlayWire() {
  asio::io_context io(1);
  Orders orders(io);
  Wire wire(io, 1);
  LagWatch lags(io);
  Orders::Say({{"ready", true}});
  orders.Follow([&](const json::object& order) {
    const std::string what = Text(order, "do"), from = Text(order, "from"), to = Text(order, "to");
    if (what == "open") {
      const auto at = wire.Open(from, to, *http_api::ParseAddress(Text(order, "target")),
                                asio::ip::make_address_v4(Text(order, "host")));
      Orders::Say({{"opened", http_api::ToText(at)}, {"number", order.at("number")}});
    } else if (what == "link") {
      Link link;
      const auto us = [&](const char* key) {
        return std::chrono::microseconds(static_cast<std::int64_t>(Number(order, key) * 1000));
      };
      link.there.delay = link.back.delay = us("delay_ms");
      link.there.jitter = link.back.jitter = us("jitter_ms");
      link.there.bytes_per_s = link.back.bytes_per_s = Number(order, "bytes_per_s");
      link.there.cut = Flag(order, "cut_there");
      link.back.cut = Flag(order, "cut_back");
      link.swallowed = Number(order, "swallowed");
      wire.Set(from, to, link);
    } else if (what == "reset") {
      wire.Reset(from, to);
    } else if (what == "half") {
      wire.HalfClose(from, to);
    } else if (what == "end") {
      Orders::Say({{"lags", lags.lags()}});
      Orders::Say({{"bytes", wire.bytes()}, {"ended", true}});
    }
  });
  io.run();
  return 0;
}

// ---- etcd ------------------------------------------------------------------------------------------------

int PlayEtcd() {
  asio::io_context io(1);
  Orders orders(io);
  std::unique_ptr<standins::Etcd> etcd;
  std::string prefix;
  int members = 0;
  json::array told;
  orders.Follow([&](const json::object& order) {
    const std::string what = Text(order, "do");
    if (what == "begin") {
      standins::EtcdSettings settings;
      prefix = Text(order, "prefix");
      settings.members = members = static_cast<int>(Number(order, "members", 3));
      etcd = std::make_unique<standins::Etcd>(io, settings);
      json::array addresses;
      for (int i = 0; i < members; ++i)
        addresses.push_back(json::value(http_api::ToText(etcd->address(static_cast<std::size_t>(i)))));
      Orders::Say({{"ready", true}, {"addresses", std::move(addresses)}});
    } else if (what == "down" || what == "up") {
      for (int i = 0; i < members; ++i)
        what == "down" ? etcd->Down(static_cast<std::size_t>(i)) : etcd->Up(static_cast<std::size_t>(i));
    } else if (what == "decider") {  // who is it now
      Orders::Say({{"decider", DeciderIn(etcd->store(), prefix)}});
    } else if (what == "order") {
      const std::string key = prefix + "orders/" + std::to_string(static_cast<int>(Number(order, "zone")));
      Flag(order, "leave") ? etcd->Put(key, "the plan") : etcd->Delete(key);
    } else if (what == "member") {
      const std::string key = Text(order, "key"), value = Text(order, "value");
      value.empty() ? etcd->Delete(key) : etcd->Put(key, value);
      for (const json::value& proxy : order.at("proxies").as_array())
        told.push_back(json::array{proxy, Text(order, "name"), Flag(order, "ready"), NowMs()});
    } else if (what == "end") {
      Orders::Say({{"told", told}});
      if (etcd) {
        const WordsWritten words = CheckWords(etcd->store(), prefix);
        Orders::Say({{"decisions", words.words}, {"disorder", words.disorder}, {"unfenced", words.unfenced}});
      }
      Orders::Say({{"calls", etcd ? etcd->calls() : 0},
                   {"protocol_errors", etcd ? etcd->protocol_errors() : 0},
                   {"ended", true}});
    }
  });
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
