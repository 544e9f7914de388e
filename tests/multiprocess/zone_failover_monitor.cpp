// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/zone_failover_monitor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <cstdio>
#include <exception>
#include <utility>

#include "http_api/client.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr milliseconds kPollInterval{100};
constexpr milliseconds kAnswerTimeout{1000};
constexpr milliseconds kMaxViewAge{150};  // older views are not checked together with newer ones

}  // namespace

ZoneFailoverMonitor::ZoneFailoverMonitor(asio::io_context& io, std::vector<std::string> zones,
                                         const std::map<std::string, std::string>& sockets,
                                         OnChange on_change)
    : io_(io),
      zones_(std::move(zones)),
      on_change_(std::move(on_change)),
      timer_(io),
      states_(zones_.size()) {
  for (const auto& [proxy, socket] : sockets) proxies_[proxy].socket = socket;
}

ZoneFailoverMonitor::~ZoneFailoverMonitor() { *alive_ = false; }

void ZoneFailoverMonitor::Start() {
  is_running_ = true;
  Poll();
}

void ZoneFailoverMonitor::Stop() {
  is_running_ = false;
  timer_.cancel();
}

void ZoneFailoverMonitor::Poll() {
  if (!is_running_) return;
  for (auto& [name, proxy] : proxies_) {
    if (!proxy.is_polling) PollProxy(proxy);
  }
  CheckViews();
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (!error && *alive) Poll();
  });
}

void ZoneFailoverMonitor::PollProxy(PolledProxy& proxy) {
  proxy.is_polling = true;
  asio::co_spawn(io_, http_api::CallUnix(proxy.socket, "GET", "/v1/zones", "", kAnswerTimeout),
                 [this, alive = alive_, &proxy](std::exception_ptr, http_api::Reply reply) {
                   if (!*alive) return;
                   proxy.is_polling = false;
                   proxy.view.reset();
                   if (reply.ok()) proxy.view = ParseZoneView(reply.body, zones_);
                   proxy.received_at = Clock::now();
                 });
}

std::vector<std::string> ZoneFailoverMonitor::Describe() const {
  std::vector<std::string> lines;
  for (const auto& [name, proxy] : proxies_) {
    if (!proxy.view) continue;
    const ProxyZoneView& view = *proxy.view;
    std::string line = name + ", " + zones_[static_cast<std::size_t>(view.zone)] + ", epoch " +
                       std::to_string(view.epoch) + (view.is_connected ? "" : ", disconnected") + ":";
    for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
      const ReceiverView& receiver = view.receivers[zone];
      char text[96];
      std::snprintf(text, sizeof text, " %s %s %.2f of %.2f;", zones_[zone].c_str(), receiver.state.c_str(),
                    receiver.quota, receiver.limit);
      line += text;
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

void ZoneFailoverMonitor::CheckViews() {
  std::vector<const ProxyZoneView*> views;
  const ProxyZoneView* newest = nullptr;
  std::string leader;
  for (const auto& [name, proxy] : proxies_) {
    if (!proxy.view || Clock::now() - proxy.received_at > kMaxViewAge) continue;
    views.push_back(&*proxy.view);
    if (!newest || proxy.view->epoch > newest->epoch) newest = &*proxy.view;
    if (proxy.view->is_leader) leader = name;
  }
  if (!newest) return;
  if (2 * views.size() >= proxies_.size()) ++complete_checks_;
  max_quota_ratio_ = std::max(max_quota_ratio_, MaxQuotaRatio(views));
  NoteLeader(leader);
  NoteStates(*newest);
}

void ZoneFailoverMonitor::NoteLeader(const std::string& leader) {
  if (leader.empty() || leader == leader_) return;
  on_change_(leader + " is the leader");
  leader_ = leader;
}

void ZoneFailoverMonitor::NoteStates(const ProxyZoneView& newest) {
  if (newest.epoch < epoch_ || newest.epoch == 0) return;
  epoch_ = newest.epoch;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    const std::string& state = newest.receivers[zone].state;
    if (state == states_[zone]) continue;
    if (!states_[zone].empty())
      on_change_(zones_[zone] + " is " + state + ", epoch " + std::to_string(epoch_));
    states_[zone] = state;
  }
}

}  // namespace badgerbridge::multiprocess
