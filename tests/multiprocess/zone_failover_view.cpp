// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/zone_failover_view.h"

#include <algorithm>
#include <boost/json.hpp>

namespace badgerbridge::multiprocess {

namespace json = boost::json;

namespace {

constexpr double kUnlimitedRatio = 1e9;  // where something is granted without any limit
constexpr const char* kHealthy = "sound";

double ReadNumber(const json::object& object, const char* key, double otherwise) {
  const json::value* found = object.if_contains(key);
  return found && found->is_number() ? found->to_number<double>() : otherwise;
}

bool ReadFlag(const json::object& object, const char* key) {
  const json::value* found = object.if_contains(key);
  return found && found->is_bool() && found->get_bool();
}

std::string ReadText(const json::object& object, const char* key) {
  const json::value* found = object.if_contains(key);
  return found && found->is_string() ? std::string(found->get_string()) : std::string();
}

// What all proxies may send to one zone, over its largest limit.
double QuotaRatio(const std::vector<const ProxyZoneView*>& views, std::size_t receiver) {
  double quota_sum = 0;
  double limit = 0;
  for (const ProxyZoneView* view : views) {
    if (view->epoch == 0) continue;
    const ReceiverView& received = view->receivers[receiver];
    limit = std::max(limit, received.limit);
    const bool is_own = static_cast<std::size_t>(view->zone) == receiver;
    // A healthy zone has no quota for its own proxies: the leader reserves capacity for them.
    if (received.quota > 0 && !(is_own && received.state == kHealthy)) quota_sum += received.quota;
    if (received.quota < 0 && !is_own) return kUnlimitedRatio;  // no proxy may be unlimited elsewhere
  }
  if (quota_sum <= 0) return 0;
  return limit > 0 ? quota_sum / limit : kUnlimitedRatio;
}

}  // namespace

std::optional<ProxyZoneView> ParseZoneView(const json::value& answer, const std::vector<std::string>& zones) {
  const json::object* object = answer.if_object();
  const json::value* list = object ? object->if_contains("zones") : nullptr;
  if (!list || !list->is_array() || list->get_array().size() != zones.size()) return std::nullopt;
  const auto zone = std::find(zones.begin(), zones.end(), ReadText(*object, "zone"));
  if (zone == zones.end()) return std::nullopt;
  ProxyZoneView view;
  view.zone = static_cast<int>(zone - zones.begin());
  view.epoch = static_cast<std::uint64_t>(ReadNumber(*object, "epoch", 0));
  view.is_connected = ReadFlag(*object, "in_touch");
  view.is_leader = ReadFlag(*object, "deciding");
  for (const json::value& element : list->get_array()) {
    const json::object* receiver = element.if_object();
    if (!receiver) return std::nullopt;
    view.receivers.push_back({ReadNumber(*receiver, "share", -1), ReadNumber(*receiver, "limit", 0),
                              ReadText(*receiver, "state")});
  }
  return view;
}

double MaxQuotaRatio(const std::vector<const ProxyZoneView*>& views) {
  double max_ratio = 0;
  if (views.empty()) return max_ratio;
  for (std::size_t receiver = 0; receiver < views.front()->receivers.size(); ++receiver)
    max_ratio = std::max(max_ratio, QuotaRatio(views, receiver));
  return max_ratio;
}

}  // namespace badgerbridge::multiprocess
