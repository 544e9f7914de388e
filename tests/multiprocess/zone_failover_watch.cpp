// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/zone_failover_watch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>

#include "http_api/client.h"

namespace badgerbridge::multiprocess {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kEvery{100}, kAnswer{1000};
constexpr milliseconds kFresh{150};  // parts that are older are not held together with newer ones

double Number(const json::object& object, const char* key, double otherwise) {
  const json::value* found = object.if_contains(key);
  return found && found->is_number() ? found->to_number<double>() : otherwise;
}

struct Found {
  std::string value;
  std::int64_t modified = 0;
};

// As of a revision; 0: now.
Found Read(const standins::EtcdStore& store, const std::string& key, std::int64_t revision = 0) {
  etcdserverpb::RangeRequest request;
  request.set_key(key);
  request.set_revision(revision);
  etcdserverpb::RangeResponse response;
  if (!store.Range(request, &response).ok() || response.kvs_size() == 0) return {};
  return {response.kvs(0).value(), response.kvs(0).mod_revision()};
}

}  // namespace

std::string DeciderIn(const standins::EtcdStore& store, const std::string& prefix) {
  return Read(store, prefix + "decider").value;
}

WordsWritten CheckWords(const standins::EtcdStore& store, const std::string& prefix) {
  WordsWritten all;
  double later = 1e18;
  for (Found at = Read(store, prefix + "decision"); at.modified > 1;
       at = Read(store, prefix + "decision", at.modified - 1)) {
    boost::system::error_code bad;
    const json::value value = json::parse(at.value, bad);
    const json::object none;
    const json::object& word = !bad && value.is_object() ? value.get_object() : none;
    ++all.words;
    const double epoch = Number(word, "epoch", -1);
    all.disorder += epoch < 0 || epoch >= later;
    if (epoch >= 0) later = epoch;
    const json::value* by = word.if_contains("decider");
    const std::string decider = by && by->is_string() ? std::string(by->get_string()) : "";
    all.unfenced += decider.empty() || decider != Read(store, prefix + "decider", at.modified).value;
  }
  return all;
}

std::unique_ptr<Part> ReadPart(const json::object& told, const std::vector<std::string>& zones) {
  const json::value* list = told.if_contains("zones");
  const json::value* zone = told.if_contains("zone");
  if (!list || !list->is_array() || list->get_array().size() != zones.size() || !zone || !zone->is_string())
    return nullptr;
  auto part = std::make_unique<Part>();
  const std::string name(zone->get_string());
  const auto at = std::find(zones.begin(), zones.end(), name);
  if (at == zones.end()) return nullptr;
  part->zone = static_cast<int>(at - zones.begin());
  part->epoch = static_cast<std::uint64_t>(Number(told, "epoch", 0));
  const auto flag = [&](const char* key) {
    const json::value* found = told.if_contains(key);
    return found && found->is_bool() && found->get_bool();
  };
  part->in_touch = flag("in_touch");
  part->deciding = flag("deciding");
  for (const json::value& value : list->get_array()) {
    if (!value.is_object()) return nullptr;
    const json::object& one = value.get_object();
    part->shares.push_back(Number(one, "share", -1));
    part->limits.push_back(Number(one, "limit", 0));
    const json::value* state = one.if_contains("state");
    part->states.push_back(state && state->is_string() ? std::string(state->get_string()) : "");
  }
  return part;
}

double WorstReceiver(const std::vector<const Part*>& parts) {
  double worst = 0;
  if (parts.empty()) return worst;
  for (std::size_t r = 0; r < parts.front()->shares.size(); ++r) {
    double sum = 0, limit = 0;
    for (const Part* part : parts) {
      if (part->epoch == 0) continue;
      limit = std::max(limit, part->limits[r]);
      // A sound zone is free to its own: the decider leaves room for them.
      const bool home = static_cast<std::size_t>(part->zone) == r;
      if (part->shares[r] > 0 && !(home && part->states[r] == "sound")) sum += part->shares[r];
      if (part->shares[r] < 0 && !home) return 1e9;  // nobody may be without limit elsewhere
    }
    if (sum > 0) worst = std::max(worst, limit > 0 ? sum / limit : 1e9);
  }
  return worst;
}

RegionsWatch::RegionsWatch(asio::io_context& io, std::vector<std::string> zones,
                           std::map<std::string, std::string> sockets, OnNews told)
    : io_(io), zones_(std::move(zones)), told_(std::move(told)), timer_(io), states_(zones_.size()) {
  for (auto& [name, socket] : sockets) all_[name].socket = std::move(socket);
}

RegionsWatch::~RegionsWatch() { *alive_ = false; }

void RegionsWatch::Start() {
  running_ = true;
  Look();
}

void RegionsWatch::Stop() {
  running_ = false;
  timer_.cancel();
}

void RegionsWatch::Look() {
  if (!running_) return;
  for (auto& [name, one] : all_) {
    if (one.asking) continue;
    one.asking = true;
    asio::co_spawn(io_, http_api::CallUnix(one.socket, "GET", "/v1/zones", "", kAnswer),
                   [this, alive = alive_, &one](std::exception_ptr, http_api::Reply reply) {
                     if (!*alive) return;
                     one.asking = false;
                     one.part = reply.ok() && reply.body.is_object()
                                    ? ReadPart(reply.body.get_object(), zones_)
                                    : nullptr;
                     one.at = Clock::now();
                   });
  }
  Judge();
  timer_.expires_after(kEvery);
  timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (!error && *alive) Look();
  });
}

std::vector<std::string> RegionsWatch::Describe() const {
  std::vector<std::string> lines;
  for (const auto& [name, one] : all_) {
    if (!one.part) continue;
    std::string line = name + ", " + zones_[static_cast<std::size_t>(one.part->zone)] + ", epoch " +
                       std::to_string(one.part->epoch) + (one.part->in_touch ? "" : ", out of touch") + ":";
    for (std::size_t z = 0; z < zones_.size(); ++z) {
      char text[96];
      std::snprintf(text, sizeof text, " %s %s %.2f of %.2f;", zones_[z].c_str(), one.part->states[z].c_str(),
                    one.part->shares[z], one.part->limits[z]);
      line += text;
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

void RegionsWatch::Judge() {
  std::vector<const Part*> parts;
  const Part* newest = nullptr;
  std::string decider;
  for (const auto& [name, one] : all_) {
    if (!one.part || Clock::now() - one.at > kFresh) continue;
    parts.push_back(one.part.get());
    if (!newest || one.part->epoch > newest->epoch) newest = one.part.get();
    if (one.part->deciding) decider = name;
  }
  if (parts.empty()) return;
  looks_ += 2 * parts.size() >= all_.size();
  worst_ = std::max(worst_, WorstReceiver(parts));
  if (!decider.empty() && decider != decider_) told_(decider + " decides");
  if (!decider.empty()) decider_ = decider;
  if (newest->epoch < epoch_ || newest->epoch == 0) return;
  epoch_ = newest->epoch;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    if (newest->states[z] == states_[z]) continue;
    if (!states_[z].empty())
      told_(zones_[z] + " is " + newest->states[z] + ", epoch " + std::to_string(epoch_));
    states_[z] = newest->states[z];
  }
}

}  // namespace badgerbridge::multiprocess
