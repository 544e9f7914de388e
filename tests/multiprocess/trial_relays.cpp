// SPDX-License-Identifier: Apache-2.0
//
// The relays of a trial: watch caches in two tiers between etcd and the proxies, and what happens to them.
#include <algorithm>
#include <boost/json.hpp>
#include <csignal>

#include "http_api/address.h"
#include "multiprocess/roles.h"
#include "multiprocess/trial.h"
#include "multiprocess/trial_names.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// The address of the first relay in its zone's block; proxies come before.
constexpr int kFirstRelay = 200;

}  // namespace

// The first of each region follows etcd, the others follow those.
void Trial::PlaceRelays() {
  for (int i = 0; i < model_.multiprocess.watch_caches; ++i) {
    Relay relay;
    relay.name = RelayName(static_cast<std::size_t>(i));
    relay.region = i % model_.regions;
    relay.follows_etcd = i < model_.regions;
    // A port that was free a moment ago, on an address that nothing but this relay uses.
    asio::ip::tcp::acceptor held(io_, {asio::ip::make_address_v4(Host(0, kFirstRelay + i)), 0});
    relay.listen = http_api::ToText(held.local_endpoint());
    relays_.push_back(std::move(relay));
  }
}

void Trial::OpenRelayLinks() {
  for (Relay& relay : relays_) {
    for (int z = 0; z < model_.zones; ++z)
      relay.by_zone.push_back(OpenLink(ZoneName(z), relay.name, relay.listen, Host(z, 7)));
    if (relay.follows_etcd) {
      for (const std::string& member : etcd_addresses_)
        relay.upstreams.push_back(OpenLink(relay.name, "etcd", member, Host(0, 8)));
      continue;
    }
    for (const Relay& parent : relays_) {
      if (parent.follows_etcd)
        relay.upstreams.push_back(OpenLink(relay.name, parent.name, parent.listen, Host(0, 8)));
    }
  }
}

void Trial::StartRelay(Relay& relay) {
  ++processes_;
  std::string upstreams;
  for (const std::string& address : relay.upstreams) upstreams += (upstreams.empty() ? "" : ",") + address;
  relay.process =
      std::make_unique<Child>(io_, relay.name,
                              std::vector<std::string>{relay_program_, "--listen", relay.listen, "--upstream",
                                                       upstreams, "--prefix", kMembersPrefix},
                              std::vector<std::string>{}, folder_ + "/" + relay.name + ".log");
}

void Trial::StartRelays() {
  for (Relay& relay : relays_) StartRelay(relay);
}

void Trial::SetRelayLinks() {
  for (const Relay& relay : relays_) {
    const auto set = [&](const std::string& to) {
      wire_->Tell({{"do", "link"},
                   {"from", relay.name},
                   {"to", to},
                   {"cut_there", relay.cut_out},
                   {"cut_back", relay.cut_in}});
    };
    if (relay.follows_etcd) {
      set("etcd");
      continue;
    }
    for (const Relay& parent : relays_) {
      if (parent.follows_etcd) set(parent.name);
    }
  }
}

void Trial::SufferRelay(const simulator::MultiprocessFault& what) {
  using Way = simulator::ScenarioEvent::Direction;
  Relay& relay = relays_.at(static_cast<std::size_t>(what.value) - 1);
  Note(what.name + ": " + relay.name);
  if (what.name == "relay_cut") {
    relay.cut_in = what.direction != Way::kOut;
    relay.cut_out = what.direction != Way::kIn;
    return SetRelayLinks();
  }
  if (what.name == "relay_heal") {
    relay.cut_in = relay.cut_out = false;
    return SetRelayLinks();
  }
  if (what.name == "relay_start") {
    if (!relay.process) StartRelay(relay);
    return;
  }
  if (!relay.process) return;
  if (what.name == "relay_kill") {
    relay.process->Signal(SIGCONT);
    relay.process->Signal(SIGKILL);
    relay.process.reset();
  } else if (what.name == "relay_stop") {
    relay.process->Signal(SIGTERM);
  } else {
    relay.process->Signal(what.name == "relay_freeze" ? SIGSTOP : SIGCONT);
  }
}

// Those that ended: by SIGTERM, or though nobody asked them to.
void Trial::LookAfterRelays() {
  for (Relay& relay : relays_) {
    if (!relay.process || relay.process->Running()) continue;
    if (relay.process->status() != 0) outcome_.troubles.push_back(relay.name + " ended by itself");
    Note(relay.name + " has ended");
    relay.process.reset();
  }
}

// Asked to stop, each relay ends by itself.
void Trial::StopRelays() {
  for (Relay& relay : relays_) {
    if (!relay.process) continue;
    relay.process->Signal(SIGCONT);
    relay.process->Signal(SIGTERM);
  }
  Until(
      [&] {
        return std::none_of(relays_.begin(), relays_.end(),
                            [](Relay& relay) { return relay.process && relay.process->Running(); });
      },
      "every relay ends when asked to");
  LookAfterRelays();
}

// A backend's key in etcd, for the proxies of each zone; its departure is the key's deletion. From the
// moment of the write it counts as told to every proxy: none is ever out of reach of all relays.
void Trial::WriteMember(const Backend& backend) {
  for (int z = 0; z < model_.zones; ++z) {
    json::array proxies;
    for (const Proxy& proxy : proxies_) {
      if (proxy.zone == z) proxies.push_back(json::value(proxy.name));
    }
    const json::object value{{"name", backend.name},
                             {"address", backend.relayed[static_cast<std::size_t>(z)]},
                             {"zone", ZoneName(backend.zone)},
                             {"type", "standard"},
                             {"group", backend.group},
                             {"status", backend.status},
                             {"weight", 1.0},
                             {"since_ms", backend.since_ms}};
    etcd_->Tell({{"do", "member"},
                 {"key", MembersPrefix(z) + backend.name},
                 {"value", backend.status == "Gone" ? std::string() : json::serialize(value)},
                 {"name", backend.name},
                 {"ready", backend.status == "Ready"},
                 {"proxies", std::move(proxies)}});
  }
}

}  // namespace badgerbridge::multiprocess
