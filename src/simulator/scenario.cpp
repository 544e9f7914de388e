// SPDX-License-Identifier: Apache-2.0
//
// The one file in which the words of scenario files and the code's terms meet. Each function reads one table;
// the order in which keys are read is the order of problems on one line.
#include "simulator/scenario.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include "operator_config/table_reader.h"

namespace badgerbridge::simulator {
namespace {

using namespace balancer;
using operator_config::Problems;
using operator_config::TableReader;
using std::chrono::milliseconds;

constexpr milliseconds kDay{24 * 3600 * 1000};
constexpr milliseconds kTenMinutes{600000};
constexpr milliseconds kMinute{60000};
constexpr std::int64_t kHourUs = 3600000000;
constexpr std::size_t kMaxQuotedBytes = 60;  // of a wrong word
constexpr int kMaxWatchCaches = 64;
constexpr int kMaxRawClients = 1000;  // of each proxy
constexpr int kMinSockets = 64;       // below, a proxy does not start
constexpr int kMaxSockets = 65536;

// In the order of ZoneFailoverModel::Mode.
constexpr std::array<std::string_view, 4> kModeNames = {"off", "alone", "cliff", "together"};
// In the order of ScenarioEvent::Kind.
constexpr std::array<std::string_view, 17> kEventNames = {
    "drain", "stop", "start",     "slow",    "wrong",    "pause",   "kill",        "revive",     "load",
    "cut",   "heal", "etcd_down", "etcd_up", "evacuate", "readmit", "stale_lists", "fresh_lists"};
constexpr std::array<std::string_view, 22> kFaultNames = {
    "freeze",     "thaw",           "reset",        "half_close",     "swallow",      "delay",
    "trickle",    "etcd_cut",       "etcd_heal",    "freeze_decider", "kill_decider", "thaw_decider",
    "restart",    "discovery_down", "discovery_up", "relay_cut",      "relay_heal",   "relay_kill",
    "relay_stop", "relay_start",    "relay_freeze", "relay_thaw"};

// The place in `names` of the name that stands at the key.
template <std::size_t size>
std::size_t ReadName(TableReader& table, std::string_view key,
                     const std::array<std::string_view, size>& names, std::size_t fallback) {
  const std::string name = table.Text(key, std::string(names[fallback]));
  const auto found = std::find(names.begin(), names.end(), name);
  if (found != names.end()) return static_cast<std::size_t>(found - names.begin());
  std::string known;
  for (const std::string_view each : names) known += (known.empty() ? "" : ", ") + std::string(each);
  table.Report(
      key, "= \"" + name.substr(0, kMaxQuotedBytes) + "\" is not known; one of " + known + " would be right");
  return fallback;
}

int ReadInt(TableReader& table, std::string_view key, int fallback, int minimum, int maximum) {
  return static_cast<int>(table.Integer(key, fallback, minimum, maximum));
}

double ReadNumber(TableReader& table, std::string_view key, std::int64_t fallback, std::int64_t minimum,
                  std::int64_t maximum) {
  return static_cast<double>(table.Integer(key, fallback, minimum, maximum));
}

// A share or factor that stands there as percent.
double ReadPercent(TableReader& table, std::string_view key, std::int64_t fallback, std::int64_t minimum,
                   std::int64_t maximum) {
  return ReadNumber(table, key, fallback, minimum, maximum) / 100;
}

Duration ReadDuration(TableReader& table, std::string_view key, milliseconds fallback, milliseconds minimum,
                      milliseconds maximum) {
  return Duration(static_cast<double>(table.Duration(key, fallback, minimum, maximum).count()));
}

// Keys PREFIX (a name), PREFIX_us and PREFIX_spread_percent.
Distribution ReadDistribution(TableReader& table, const std::string& prefix, Distribution distribution) {
  constexpr std::array<std::string_view, 4> kKindNames = {"constant", "exponential", "lognormal", "pareto"};
  distribution.kind = static_cast<Distribution::Kind>(
      ReadName(table, prefix, kKindNames, static_cast<std::size_t>(distribution.kind)));
  const auto mean_us = static_cast<std::int64_t>(distribution.mean * 1000);
  distribution.mean = ReadNumber(table, prefix + "_us", mean_us, 0, kHourUs) / 1000;
  const bool is_pareto = distribution.kind == Distribution::Kind::kPareto;
  distribution.spread =
      ReadPercent(table, prefix + "_spread_percent", is_pareto ? 250 : 100, is_pareto ? 101 : 1, 10000);
  return distribution;
}

ClassModel ReadClass(TableReader& table) {
  constexpr std::array<std::string_view, 3> kIdempotencyNames = {"safe", "keyed", "unsafe"};
  constexpr std::array<std::string_view, 3> kScopeNames = {"all", "zone", "group"};
  ClassModel model;
  table.Require("name", "the class's name");
  model.name = table.Text("name");
  ClassSettings& rules = model.rules;
  rules.idempotency = static_cast<Idempotency>(ReadName(table, "effect", kIdempotencyNames, 0));
  rules.deduplication_scope = static_cast<DeduplicationScope>(ReadName(table, "group", kScopeNames, 2));
  rules.deduplication_window = ReadDuration(table, "window", milliseconds(10000), milliseconds(0), kDay);
  rules.latency_objective = ReadDuration(table, "aim", milliseconds(500), milliseconds(1), kDay);
  rules.deadline = ReadDuration(table, "deadline", milliseconds(1500), milliseconds(10), kTenMinutes);
  if (rules.deadline < rules.latency_objective)
    table.Report("deadline", "is shorter than aim; at least as long would be right");
  rules.priority_weight = ReadNumber(table, "worth", 1, 0, 1000000);
  rules.late_weight = ReadPercent(table, "late_worth_percent", 30, 0, 100);
  model.share = ReadNumber(table, "share", 1, 1, 1000000);
  model.has_work_hint = table.Boolean("hinted", true);
  model.work = ReadDistribution(table, "work", {Distribution::Kind::kLognormal, 20, 1, {}});
  table.Finish();
  return model;
}

ScenarioEvent::Direction ReadDirection(TableReader& table) {
  constexpr std::array<std::string_view, 3> kDirectionNames = {"both", "in", "out"};
  return static_cast<ScenarioEvent::Direction>(ReadName(table, "way", kDirectionNames, 0));
}

double ReadEventValue(TableReader& table, ScenarioEvent::Kind kind) {
  using Kind = ScenarioEvent::Kind;
  if (kind == Kind::kPause)
    return ReadDuration(table, "for", milliseconds(1000), milliseconds(0), kDay).count();
  const bool may_be_zero = kind == Kind::kErrors || kind == Kind::kLoad;
  return ReadPercent(table, "by_percent", 100, may_be_zero ? 0 : 1, kind == Kind::kErrors ? 100 : 100000);
}

ScenarioEvent ReadEvent(TableReader& table, const Model& model) {
  ScenarioEvent event;
  table.Require("at", "when it happens");
  table.Require("what", "what happens");
  event.at_ms = ReadDuration(table, "at", milliseconds(0), milliseconds(0), kDay).count();
  event.kind = static_cast<ScenarioEvent::Kind>(ReadName(table, "what", kEventNames, 0));
  event.zone = ReadInt(table, "zone", -1, -1, model.zones - 1);
  event.direction = ReadDirection(table);
  event.share = ReadPercent(table, "share_percent", 100, 1, 100);
  event.value = ReadEventValue(table, event.kind);
  table.Finish();
  return event;
}

void ReadInstallation(TableReader& table, Model* model) {
  model->zones = ReadInt(table, "zones", 1, 1, kMaxZones);
  model->proxies = ReadInt(table, "proxies", 3, 1, kMaxProxies);
  model->backends = ReadInt(table, "converters", 10, 1, kMaxBackends);
  model->cells = ReadInt(table, "groups", 2, 1, kMaxBackends);
  model->max_attempts = ReadInt(table, "max_attempts", 4, 1, 4);
  model->max_retry_after =
      ReadDuration(table, "max_retry_after", milliseconds(600), milliseconds(0), kMinute);
  model->drain_grace = ReadDuration(table, "drain_grace", milliseconds(500), milliseconds(0), kMinute);
  model->cross_zone_cost = ReadPercent(table, "price_cross_zone_percent", 10, 0, 1000);
  model->regions = ReadInt(table, "regions", 1, 1, model->zones);
  model->cross_region_latency = ReadDuration(table, "far", milliseconds(0), milliseconds(0), kMinute);
  table.Finish();
}

void ReadBackend(TableReader& table, BackendModel* backend) {
  backend->slots = ReadInt(table, "slots", 8, 1, 10000);
  backend->queue_capacity = ReadInt(table, "queue", 64, 0, 1000000);
  backend->speed = ReadPercent(table, "speed_percent", 100, 1, 100000);
  backend->slow_start_floor = ReadPercent(table, "cold_from_percent", 16, 1, 100);
  backend->slow_start_window =
      ReadDuration(table, "warm_up", milliseconds(24000), milliseconds(0), milliseconds(3600000));
  backend->overload_factor = ReadPercent(table, "fall_multiple_percent", 250, 0, 100000);
  backend->overload_duration =
      ReadDuration(table, "overload_for", milliseconds(3000), milliseconds(100), kTenMinutes);
  table.Finish();
}

void ReadClients(TableReader& table, ClientModel* clients) {
  clients->requests_per_second =
      ReadNumber(table, "per_second", 100, 1, static_cast<std::int64_t>(kMaxRequestsPerSecond));
  clients->max_submissions = ReadInt(table, "tries", 1, 1, 100);
  clients->honours_retry_after = table.Boolean("honours_retry_after", true);
  clients->retry_delay = ReadDistribution(table, "pause", clients->retry_delay);
  clients->disconnect_share = ReadPercent(table, "leaves_percent", 0, 0, 100);
  table.Finish();
}

void ReadNetwork(TableReader& table, NetworkModel* network) {
  network->latency = ReadDistribution(table, "latency", network->latency);
  network->list_delay = ReadDistribution(table, "lag", network->list_delay);
  network->connect_timeout =
      ReadDuration(table, "connect_timeout", milliseconds(250), milliseconds(1), kMinute);
  network->failover_detection =
      ReadDuration(table, "front_notices", milliseconds(2000), milliseconds(0), kTenMinutes);
  network->reset_share = ReadPercent(table, "reset_percent", 0, 0, 100);
  table.Finish();
}

void ReadZoneFailover(TableReader& table, ZoneFailoverModel* failover) {
  const auto fallback = static_cast<std::size_t>(ZoneFailoverModel::Mode::kCoordinated);
  failover->mode = static_cast<ZoneFailoverModel::Mode>(ReadName(table, "decide", kModeNames, fallback));
  failover->reports_load = table.Boolean("reports", true);
  failover->etcd_latency = ReadDistribution(table, "etcd", failover->etcd_latency);
  table.Finish();
}

MultiprocessFault ReadMultiprocessFault(TableReader& table, const Model& model) {
  MultiprocessFault fault;
  table.Require("at", "when it happens");
  table.Require("what", "what happens");
  fault.at_ms = ReadDuration(table, "at", milliseconds(0), milliseconds(0), kDay).count();
  fault.name = kFaultNames[ReadName(table, "what", kFaultNames, 0)];
  fault.zone = ReadInt(table, "zone", -1, -1, model.zones - 1);
  fault.share = ReadPercent(table, "share_percent", 100, 1, 100);
  fault.value = ReadNumber(table, "value", 0, 0, 1000000000);
  fault.direction = ReadDirection(table);
  const bool is_of_watch_cache = fault.name.rfind("relay_", 0) == 0;
  if (is_of_watch_cache && (fault.value < 1 || fault.value > model.multiprocess.watch_caches))
    table.Report("value", "is no relay's number");
  if (fault.name == "swallow") fault.value = std::min(1.0, fault.value / 100);
  const bool is_of_leader = fault.name.find("_decider") != std::string::npos;
  if (is_of_leader && !model.multiprocess.runs_zone_failover)
    table.Report("what", "is about whoever decides, and regions = true stands nowhere");
  table.Finish();
  return fault;
}

void ReadMultiprocess(TableReader& table, Model* model) {
  MultiprocessModel& multiprocess = model->multiprocess;
  multiprocess.etcd_members = ReadInt(table, "etcd_members", 0, 0, 9);
  multiprocess.runs_zone_failover = table.Boolean("regions", false);
  multiprocess.watch_caches = ReadInt(table, "relays", 0, 0, kMaxWatchCaches);
  multiprocess.stalls_proxies = table.Boolean("stalls", false);
  multiprocess.raw_clients = ReadInt(table, "raw_clients", 0, 0, kMaxRawClients);
  multiprocess.sockets_per_proxy = ReadInt(table, "sockets", 1024, kMinSockets, kMaxSockets);
  if (multiprocess.watch_caches > 0 && multiprocess.etcd_members == 0)
    table.Report("relays", "needs etcd_members: relays follow etcd");
  if (multiprocess.watch_caches > 0 && multiprocess.watch_caches <= model->regions)
    table.Report("relays", "must be more than regions: one a region follows etcd, the others follow those");
  if (multiprocess.runs_zone_failover && multiprocess.etcd_members == 0)
    table.Report("regions", "needs etcd_members: members decide through etcd");
  multiprocess.min_weight_percent = ReadNumber(table, "least_worth_percent", 0, 0, 100);
  for (const auto& fault : table.Tables("fault"))
    multiprocess.faults.push_back(ReadMultiprocessFault(*fault, *model));
  table.Finish();
}

void ReadEvents(TableReader& top, Model* model) {
  for (const auto& table : top.Tables("happening")) model->events.push_back(ReadEvent(*table, *model));
  if (model->events.size() > static_cast<std::size_t>(kMaxEvents))
    top.Report("happening",
               "stands there too often; at most " + std::to_string(kMaxEvents) + " would be right");
  std::stable_sort(
      model->events.begin(), model->events.end(),
      [](const ScenarioEvent& left, const ScenarioEvent& right) { return left.at_ms < right.at_ms; });
}

Model ReadScenario(TableReader& top, const std::string& file) {
  Model model;
  model.name = top.Text("name", file);
  model.duration_ms = ReadDuration(top, "length", kMinute, milliseconds(1), kDay).count();
  const auto installation = top.Table("installation");
  if (installation) ReadInstallation(*installation, &model);
  if (!top.Has("installation")) top.Require("installation", "a table with proxies, converters and zones");
  if (const auto table = top.Table("converter")) ReadBackend(*table, &model.backend);
  if (const auto table = top.Table("clients")) ReadClients(*table, &model.clients);
  if (const auto table = top.Table("network")) ReadNetwork(*table, &model.network);
  if (const auto table = top.Table("regions")) ReadZoneFailover(*table, &model.failover);
  if (const auto table = top.Table("together")) ReadMultiprocess(*table, &model);
  for (const auto& table : top.Tables("class")) model.classes.push_back(ReadClass(*table));
  if (!top.Has("class")) top.Require("class", "a [[class]] of requests");
  ReadEvents(top, &model);
  top.Finish();
  return model;
}

}  // namespace

std::string Message(const ScenarioError& error) { return operator_config::FormatProblems(error.problems); }

void throw_exception_from_error(const ScenarioError& error, const boost::source_location&) {
  throw std::runtime_error(Message(error));
}

ScenarioResult<Model> ParseScenario(std::string_view text, const std::string& file) {
  const auto root = operator_config::ParseToml(text, file);
  if (!root) return ScenarioError{{root.error()}};
  Problems problems;
  TableReader top(*root, "", file, problems);
  Model model = ReadScenario(top, file);
  if (!problems.empty()) return ScenarioError{std::move(problems)};
  return model;
}

ScenarioResult<Model> LoadScenario(const std::string& path) {
  const auto text = operator_config::ReadFile(path, kMaxScenarioBytes);
  if (!text) return ScenarioError{{text.error()}};
  return ParseScenario(*text, path);
}

std::string_view ModeName(ZoneFailoverModel::Mode mode) { return kModeNames[static_cast<std::size_t>(mode)]; }

std::optional<ZoneFailoverModel::Mode> ParseMode(std::string_view name) {
  const auto found = std::find(kModeNames.begin(), kModeNames.end(), name);
  if (found == kModeNames.end()) return std::nullopt;
  return static_cast<ZoneFailoverModel::Mode>(found - kModeNames.begin());
}

}  // namespace badgerbridge::simulator
