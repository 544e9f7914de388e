// SPDX-License-Identifier: Apache-2.0
#include "simulator/scenario.h"

#include <algorithm>
#include <array>
#include <utility>

#include "operator_config/table_reader.h"

namespace badgerbridge::simulator {
namespace {

using namespace balancer;
using operator_config::Problems;
using operator_config::TableReader;
using std::chrono::milliseconds;

constexpr milliseconds kDay{24 * 3600 * 1000};
constexpr int kMaxRelays = 64;
constexpr int kMaxRawClients = 1000;  // of each proxy
constexpr int kLeastSockets = 64;     // below, a proxy does not start

// One of these words, by its place in the list.
template <std::size_t n>
std::size_t OneOf(TableReader& table, std::string_view key, const std::array<std::string_view, n>& words,
                  std::size_t otherwise) {
  const std::string word = table.Text(key, std::string(words[otherwise]));
  const auto found = std::find(words.begin(), words.end(), word);
  if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
  std::string known;
  for (const std::string_view w : words) known += (known.empty() ? "" : ", ") + std::string(w);
  table.Report(key, "= \"" + word.substr(0, 60) + "\" is not known; one of " + known + " would be right");
  return otherwise;
}

double Ms(milliseconds time) { return static_cast<double>(time.count()); }

// Keys PREFIX (a word), PREFIX_us or _mean, PREFIX_spread_percent.
Shape ReadShape(TableReader& table, const std::string& prefix, Shape shape) {
  constexpr std::array<std::string_view, 4> kKinds = {"constant", "exponential", "lognormal", "pareto"};
  shape.kind = static_cast<Shape::Kind>(OneOf(table, prefix, kKinds, static_cast<std::size_t>(shape.kind)));
  shape.mean = static_cast<double>(table.Integer(prefix + "_us", static_cast<std::int64_t>(shape.mean * 1000),
                                                 0, 3600000000)) /
               1000;
  const bool pareto = shape.kind == Shape::Kind::kPareto;
  shape.spread = static_cast<double>(
                     table.Integer(prefix + "_spread_percent", pareto ? 250 : 100, pareto ? 101 : 1, 10000)) /
                 100;
  return shape;
}

void ReadClass(TableReader& table, ClassModel* c) {
  constexpr std::array<std::string_view, 3> kEffects = {"safe", "keyed", "unsafe"};
  constexpr std::array<std::string_view, 3> kGroups = {"all", "zone", "group"};
  table.Require("name", "the class's name");
  c->name = table.Text("name");
  c->rules.effect = static_cast<Idempotency>(OneOf(table, "effect", kEffects, 0));
  c->rules.group = static_cast<DeduplicationScope>(OneOf(table, "group", kGroups, 2));
  c->rules.window = Duration(Ms(table.Duration("window", milliseconds(10000), milliseconds(0), kDay)));
  c->rules.latency_objective = Duration(Ms(table.Duration("aim", milliseconds(500), milliseconds(1), kDay)));
  c->rules.deadline =
      Duration(Ms(table.Duration("deadline", milliseconds(1500), milliseconds(10), milliseconds(600000))));
  if (c->rules.deadline < c->rules.latency_objective)
    table.Report("deadline", "is shorter than aim; at least as long would be right");
  c->rules.priority_weight = static_cast<double>(table.Integer("worth", 1, 0, 1000000));
  c->rules.late_weight = static_cast<double>(table.Integer("late_worth_percent", 30, 0, 100)) / 100;
  c->share = static_cast<double>(table.Integer("share", 1, 1, 1000000));
  c->hinted = table.Boolean("hinted", true);
  c->work = ReadShape(table, "work", {Shape::Kind::kLognormal, 20, 1, {}});
}

Happening::Way ReadWay(TableReader& table) {
  constexpr std::array<std::string_view, 3> kWays = {"both", "in", "out"};
  return static_cast<Happening::Way>(OneOf(table, "way", kWays, 0));
}

void ReadHappening(TableReader& table, const Model& model, Happening* h) {
  constexpr std::array<std::string_view, 17> kKinds = {
      "drain", "stop", "start",     "slow",    "wrong",    "pause",   "kill",        "revive",     "load",
      "cut",   "heal", "etcd_down", "etcd_up", "evacuate", "readmit", "stale_lists", "fresh_lists"};
  table.Require("at", "when it happens");
  table.Require("what", "what happens");
  h->at = Ms(table.Duration("at", milliseconds(0), milliseconds(0), kDay));
  h->kind = static_cast<Happening::Kind>(OneOf(table, "what", kKinds, 0));
  h->zone = static_cast<int>(table.Integer("zone", -1, -1, model.zones - 1));
  h->way = ReadWay(table);
  h->share = static_cast<double>(table.Integer("share_percent", 100, 1, 100)) / 100;
  const bool pause = h->kind == Happening::Kind::kPause, wrong = h->kind == Happening::Kind::kWrong;
  if (pause) {
    h->value = Ms(table.Duration("for", milliseconds(1000), milliseconds(0), kDay));
  } else {
    h->value =
        static_cast<double>(table.Integer(
            "by_percent", 100, wrong || h->kind == Happening::Kind::kLoad ? 0 : 1, wrong ? 100 : 100000)) /
        100;
  }
}

}  // namespace

Model ParseScenario(std::string_view text, const std::string& file, Problems& problems) {
  Model model;
  const auto root = operator_config::ParseToml(text, file);
  if (!root) problems.push_back(root.error());
  if (!root) return model;
  TableReader top(*root, "", file, problems);
  model.name = top.Text("name", file);
  model.length = Ms(top.Duration("length", milliseconds(60000), milliseconds(1), kDay));
  if (const auto table = top.Table("installation")) {
    model.zones = static_cast<int>(table->Integer("zones", 1, 1, kMostZones));
    model.proxies = static_cast<int>(table->Integer("proxies", 3, 1, kMostProxies));
    model.backends = static_cast<int>(table->Integer("converters", 10, 1, kMostBackends));
    model.groups = static_cast<int>(table->Integer("groups", 2, 1, kMostBackends));
    model.max_attempts = static_cast<int>(table->Integer("max_attempts", 4, 1, 4));
    model.max_retry_after = Duration(
        Ms(table->Duration("max_retry_after", milliseconds(600), milliseconds(0), milliseconds(60000))));
    model.drain_grace =
        Duration(Ms(table->Duration("drain_grace", milliseconds(500), milliseconds(0), milliseconds(60000))));
    model.cross_zone_cost =
        static_cast<double>(table->Integer("price_cross_zone_percent", 10, 0, 1000)) / 100;
    model.regions = static_cast<int>(table->Integer("regions", 1, 1, model.zones));
    model.far = Duration(Ms(table->Duration("far", milliseconds(0), milliseconds(0), milliseconds(60000))));
    table->Finish();
  } else if (!top.Has("installation")) {
    top.Require("installation", "a table with proxies, converters and zones");
  }
  if (const auto table = top.Table("converter")) {
    BackendModel& c = model.backend;
    c.slots = static_cast<int>(table->Integer("slots", 8, 1, 10000));
    c.queue = static_cast<int>(table->Integer("queue", 64, 0, 1000000));
    c.speed = static_cast<double>(table->Integer("speed_percent", 100, 1, 100000)) / 100;
    c.slow_start_floor = static_cast<double>(table->Integer("cold_from_percent", 16, 1, 100)) / 100;
    c.slow_start_window =
        Duration(Ms(table->Duration("warm_up", milliseconds(24000), milliseconds(0), milliseconds(3600000))));
    c.overload_factor = static_cast<double>(table->Integer("fall_multiple_percent", 250, 0, 100000)) / 100;
    c.overload_duration = Duration(
        Ms(table->Duration("overload_for", milliseconds(3000), milliseconds(100), milliseconds(600000))));
    table->Finish();
  }
  if (const auto table = top.Table("clients")) {
    model.clients.per_second =
        static_cast<double>(table->Integer("per_second", 100, 1, static_cast<std::int64_t>(kMostPerSecond)));
    model.clients.tries = static_cast<int>(table->Integer("tries", 1, 1, 100));
    model.clients.honours_retry_after = table->Boolean("honours_retry_after", true);
    model.clients.pause = ReadShape(*table, "pause", model.clients.pause);
    model.clients.leaves = static_cast<double>(table->Integer("leaves_percent", 0, 0, 100)) / 100;
    table->Finish();
  }
  if (const auto table = top.Table("network")) {
    model.network.latency = ReadShape(*table, "latency", model.network.latency);
    model.network.lag = ReadShape(*table, "lag", model.network.lag);
    model.network.connect_timeout = Duration(
        Ms(table->Duration("connect_timeout", milliseconds(250), milliseconds(1), milliseconds(60000))));
    model.network.front_notices = Duration(
        Ms(table->Duration("front_notices", milliseconds(2000), milliseconds(0), milliseconds(600000))));
    model.network.reset_share = static_cast<double>(table->Integer("reset_percent", 0, 0, 100)) / 100;
    table->Finish();
  }
  if (const auto table = top.Table("regions")) {
    constexpr std::array<std::string_view, 4> kDecide = {"off", "alone", "cliff", "together"};
    model.decision.decide = static_cast<RegionsModel::Decide>(OneOf(*table, "decide", kDecide, 3));
    model.decision.reports = table->Boolean("reports", true);
    model.decision.etcd = ReadShape(*table, "etcd", model.decision.etcd);
    table->Finish();
  }
  if (const auto table = top.Table("together")) {
    model.together.etcd_members = static_cast<int>(table->Integer("etcd_members", 0, 0, 9));
    model.together.regions = table->Boolean("regions", false);
    model.together.relays = static_cast<int>(table->Integer("relays", 0, 0, kMaxRelays));
    model.together.stalls = table->Boolean("stalls", false);
    model.together.raw_clients = static_cast<int>(table->Integer("raw_clients", 0, 0, kMaxRawClients));
    model.together.sockets = static_cast<int>(table->Integer("sockets", 1024, kLeastSockets, 65536));
    if (model.together.relays > 0 && model.together.etcd_members == 0)
      table->Report("relays", "needs etcd_members: relays follow etcd");
    if (model.together.relays > 0 && model.together.relays <= model.regions)
      table->Report("relays",
                    "must be more than regions: one a region follows etcd, the others follow those");
    if (model.together.regions && model.together.etcd_members == 0)
      table->Report("regions", "needs etcd_members: members decide through etcd");
    model.together.least_worth_percent =
        static_cast<double>(table->Integer("least_worth_percent", 0, 0, 100));
    for (const auto& fault : table->Tables("fault")) {
      constexpr std::array<std::string_view, 22> kFaults = {
          "freeze",     "thaw",           "reset",        "half_close",     "swallow",      "delay",
          "trickle",    "etcd_cut",       "etcd_heal",    "freeze_decider", "kill_decider", "thaw_decider",
          "restart",    "discovery_down", "discovery_up", "relay_cut",      "relay_heal",   "relay_kill",
          "relay_stop", "relay_start",    "relay_freeze", "relay_thaw"};
      TogetherFault& one = model.together.faults.emplace_back();
      fault->Require("at", "when it happens");
      fault->Require("what", "what happens");
      one.at = Ms(fault->Duration("at", milliseconds(0), milliseconds(0), kDay));
      one.what = kFaults[OneOf(*fault, "what", kFaults, 0)];
      one.zone = static_cast<int>(fault->Integer("zone", -1, -1, model.zones - 1));
      one.share = static_cast<double>(fault->Integer("share_percent", 100, 1, 100)) / 100;
      one.value = static_cast<double>(fault->Integer("value", 0, 0, 1000000000));
      one.way = ReadWay(*fault);
      if (one.what.rfind("relay_", 0) == 0 && (one.value < 1 || one.value > model.together.relays))
        fault->Report("value", "is no relay's number");
      if (one.what == "swallow") one.value = std::min(1.0, one.value / 100);
      if (one.what.find("_decider") != std::string::npos && !model.together.regions)
        fault->Report("what", "is about whoever decides, and regions = true stands nowhere");
      fault->Finish();
    }
    table->Finish();
  }
  for (const auto& table : top.Tables("class")) {
    ReadClass(*table, &model.classes.emplace_back());
    table->Finish();
  }
  if (!top.Has("class")) top.Require("class", "a [[class]] of requests");
  for (const auto& table : top.Tables("happening")) {
    ReadHappening(*table, model, &model.happenings.emplace_back());
    table->Finish();
  }
  if (model.happenings.size() > static_cast<std::size_t>(kMostHappenings))
    top.Report("happening",
               "stands there too often; at most " + std::to_string(kMostHappenings) + " would be right");
  std::stable_sort(model.happenings.begin(), model.happenings.end(),
                   [](const Happening& a, const Happening& b) { return a.at < b.at; });
  top.Finish();
  return model;
}

Model LoadScenario(const std::string& path, Problems& problems) {
  const auto text = operator_config::ReadFile(path, kMostScenarioBytes);
  if (!text) problems.push_back(text.error());
  return text ? ParseScenario(*text, path, problems) : Model{};
}

}  // namespace badgerbridge::simulator
