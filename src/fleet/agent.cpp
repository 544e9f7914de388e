// SPDX-License-Identifier: Apache-2.0
#include "fleet/agent.h"

#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iostream>

#include "api/address.h"
#include "api/client.h"

namespace badgerbridge::fleet {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1000};  // of one call to an instance
constexpr Time kEagerPoll{50};              // while an order waits for what an instance says
constexpr Time kStartingPoll{250};          // while one starts by itself
constexpr Time kStartingFor{10000};
constexpr Time kSaveAgain{2000};  // after the disk refused
constexpr Time kBoundLogs{1000};
constexpr milliseconds kFreshStatus{60};  // what a status waits for instances that do not answer
constexpr milliseconds kMostWait{30000};  // of a long poll
constexpr std::size_t kMostBody = 2 << 20;
constexpr std::uint64_t kAuditBytes = 4 << 20;
constexpr int kAuditFiles = 4;
constexpr std::size_t kMostLogBytes = 256 << 10;  // of one answer

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string BootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

std::string StateFile(const AgentSettings& settings) {
  if (mkdir(settings.state_dir.c_str(), 0700) != 0 && errno != EEXIST)
    throw std::runtime_error("cannot make " + settings.state_dir + ": " + std::strerror(errno));
  for (const char* folder : {"/instances", "/logs"}) {
    const std::string path = settings.state_dir + folder;
    if (mkdir(path.c_str(), 0700) != 0 && errno != EEXIST)
      throw std::runtime_error("cannot make " + path + ": " + std::strerror(errno));
  }
  return settings.state_dir + "/state";
}

std::string AuditLine(std::string_view who, std::string_view what, json::object more) {
  const std::time_t seconds = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char when[32];
  std::strftime(when, sizeof when, "%Y-%m-%dT%H:%M:%SZ", &parts);
  json::object line{{"when", when}, {"who", who}, {"what", what}};
  for (auto& [key, value] : more) line[key] = value;
  return json::serialize(line);
}

Supervision SupervisionOf(const AgentSettings& settings) {
  return {settings.first_backoff, settings.most_backoff, settings.short_life, settings.most_deaths};
}

// Members of a JSON object, each asked for once; what is left over is unknown.
class Members {
 public:
  explicit Members(const json::object& object) : object_(object) {}
  std::optional<std::string> Text(const char* key) {
    const json::value* value = Find(key);
    if (!value) return std::nullopt;
    if (!value->is_string()) throw std::runtime_error(std::string(key) + " is no string");
    return std::string(value->get_string());
  }
  std::optional<std::int64_t> Whole(const char* key, std::int64_t most) {
    const json::value* value = Find(key);
    if (!value) return std::nullopt;
    boost::system::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    if (error || number < 0 || number > most)
      throw std::runtime_error(std::string(key) + " is no whole number from 0 to " + std::to_string(most));
    return number;
  }
  bool Flag(const char* key) {
    const json::value* value = Find(key);
    if (!value) return false;
    if (!value->is_bool()) throw std::runtime_error(std::string(key) + " is neither true nor false");
    return value->get_bool();
  }
  std::vector<std::string> Texts(const char* key) {
    std::vector<std::string> texts;
    const json::value* value = Find(key);
    if (!value) return texts;
    if (!value->is_array()) throw std::runtime_error(std::string(key) + " is no list");
    for (const json::value& item : value->get_array()) {
      if (!item.is_string()) throw std::runtime_error(std::string(key) + " holds what is no string");
      texts.emplace_back(item.get_string());
    }
    return texts;
  }
  void Finish() const {
    for (const auto& [key, value] : object_) {
      if (!asked_.count(std::string(key))) throw std::runtime_error("unknown member " + std::string(key));
    }
  }

 private:
  const json::value* Find(const char* key) {
    asked_.insert(key);
    const json::value* value = object_.if_contains(key);
    return value && !value->is_null() ? value : nullptr;
  }
  const json::object& object_;
  std::set<std::string> asked_;
};

// What orders of every kind share.
Order CommonOrder(Members& members, const api::Peer& peer) {
  Order order;
  order.id = members.Text("id").value_or("");
  order.who = peer.who;
  if (const auto name = members.Text("as")) order.who += " (" + name->substr(0, 64) + ")";
  order.against = static_cast<std::uint64_t>(members.Whole("against", INT64_MAX).value_or(0));
  order.supersede = members.Flag("supersede");
  order.deadline = Time(members.Whole("deadline_ms", kMostDeadline.count()).value_or(30000));
  if (const auto force = members.Whole("force_after_ms", kMostDeadline.count()))
    order.force_after = Time(*force);
  order.at_most = static_cast<unsigned>(members.Whole("at_most", kMostInstances).value_or(0));
  return order;
}

unsigned StatusOf(Verdict::Kind kind) {
  switch (kind) {
    case Verdict::Kind::kAccepted:
      return 202;
    case Verdict::Kind::kKnown:
      return 200;
    case Verdict::Kind::kConflict:
    case Verdict::Kind::kStale:
      return 409;
    case Verdict::Kind::kUnknownInstance:
      return 404;
    case Verdict::Kind::kBad:
      return 400;
  }
  return 500;
}

std::uint64_t Number(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  boost::system::error_code error;
  const auto number = value ? value->to_number<std::uint64_t>(error) : 0;
  return error ? 0 : number;
}

std::optional<Observation> ObservationOf(const json::value& value) {
  const json::object* status = value.if_object();
  const json::value* state = status ? status->if_contains("state") : nullptr;
  if (!state || !state->is_string()) return std::nullopt;
  Observation seen;
  seen.state = std::string(state->get_string());
  seen.connections = Number(*status, "connections");
  if (const json::value* requests = status->if_contains("requests"); requests && requests->is_object())
    seen.open = Number(requests->get_object(), "open");
  if (const json::value* reloads = status->if_contains("reloads"); reloads && reloads->is_object()) {
    seen.reloads_applied = Number(reloads->get_object(), "applied");
    seen.reloads_refused = Number(reloads->get_object(), "refused");
    if (const json::value* why = reloads->get_object().if_contains("last_error"); why && why->is_string())
      seen.reload_error = std::string(why->get_string());
  }
  return seen;
}

}  // namespace

Agent::Agent(asio::io_context& io, const FleetFile& file, std::shared_ptr<Disk> disk)
    : io_(io),
      settings_(file.agent),
      store_(StateFile(settings_), std::move(disk)),
      audit_(settings_.state_dir + "/audit.log", kAuditBytes, kAuditFiles),
      fleet_(static_cast<std::uint64_t>(UnixMs()) ^ static_cast<std::uint64_t>(getpid()),
             SupervisionOf(settings_)),
      started_(Now()),
      pulse_(io),
      changed_(io) {
  if (store_.dropped() > 0)
    std::cerr << "badgeragent: the last " << store_.dropped()
              << " bytes of the state were torn and are dropped\n";
  std::string boot;
  const std::vector<std::string> records = store_.TakeRecords();
  for (const std::string& record : records) {
    const json::value value = json::parse(record);
    if (const json::value* id = value.as_object().if_contains("boot")) {
      boot = std::string(id->as_string());
    } else {
      fleet_.Restore(record);
    }
  }
  const bool fresh = records.empty();
  if (fresh) {
    for (const Definition& one : file.instances) fleet_.Add(one.name, ToText(one), true);
  }
  std::map<std::string, pid_t> running;
  for (const auto& [name, instance] : fleet_.instances()) {
    if (auto process = FindProcess(PathsOf(name))) {
      running[name] = process->pid;
      Watch(name, std::move(*process));
    }
  }
  fleet_.Restored(Now(), boot == BootId(), running);
  if (!store_.Compact(WholeState())) throw std::runtime_error(store_.error());
  for (const OrderState& order : fleet_.orders()) {
    for (const Part& part : order.parts) {
      if (Final(part.result)) audited_.insert(order.order.id + "/" + part.instance);
    }
  }
  Audit("agent", "started",
        {{"pid", getpid()}, {"adopted", running.size()}, {"generation", fleet_.generation()}});
  if (!fresh) {
    std::map<std::string, std::string> before, after;
    for (const auto& [name, instance] : fleet_.instances()) before[name] = instance.definition;
    for (const Definition& one : file.instances) after[one.name] = ToText(one);
    const auto changes = Diff(before, after);
    if (!changes.empty())
      std::cerr << "badgeragent: the fleet file differs from what was last applied in " << changes.size()
                << " instances, which stay as they are; see badgerctl diff, and apply\n";
  }
  const api::Handler handler = [this](api::Request request, api::Peer peer) {
    return Handle(std::move(request), std::move(peer));
  };
  const api::ServerLimits limits{settings_.max_connections, 16 << 10, kMostBody, milliseconds(5000),
                                 milliseconds(60000)};
  unix_ = std::make_unique<api::UnixServer>(io_, settings_.socket, settings_.allow_uids, limits, handler);
  if (settings_.tls) {
    tls_ = std::make_unique<api::TlsServer>(
        io_, *api::ParseAddress(settings_.tls->listen),  // checked when the file was read
        api::TlsFiles{settings_.tls->certificate, settings_.tls->key, settings_.tls->client_ca},
        settings_.tls->roles, limits, handler);
  }
  Raise(Tick{});
}

Agent::~Agent() {
  *alive_ = false;
  for (auto& [name, running] : running_) running.watch.release();
}

std::optional<asio::ip::tcp::endpoint> Agent::tls_address() const {
  if (!tls_) return std::nullopt;
  return tls_->address();
}

// The boot's clock, not this process's: what is stored means the same to the next agent.
Time Agent::Now() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return Time(now.tv_sec * 1000 + now.tv_nsec / 1000000);
}

Paths Agent::PathsOf(const std::string& instance) const {
  return {settings_.state_dir + "/instances/" + instance + ".lock",
          settings_.state_dir + "/logs/" + instance + ".log"};
}

void Agent::Raise(Event event) {
  queue_.push_back(std::move(event));
  if (handling_) return;
  handling_ = true;
  while (!queue_.empty()) {
    const Event next = std::move(queue_.front());
    queue_.pop_front();
    std::vector<Action> actions;
    fleet_.Handle(Now(), next, &actions);
    Save();  // before anything is done: what is done is then known to whoever comes after this process
    Perform(actions);
  }
  handling_ = false;
  AuditEnds();
  Changed();
  ArmPulse();
}

// With the boot whose clock its times are of, in one batch.
std::vector<std::string> Agent::WholeState() const {
  std::vector<std::string> records = fleet_.Everything();
  records.push_back(json::serialize(json::object{{"boot", BootId()}}));
  return records;
}

void Agent::Save() {
  const std::vector<std::string> changes = fleet_.TakeChanges();
  if (unsaved_) return;  // the next whole writing has all
  if (!store_.Append(changes)) {
    unsaved_ = true;
    save_again_ = Now() + kSaveAgain;
    std::cerr << "badgeragent: " << store_.error() << "; new orders are refused until that works again\n";
    return;
  }
  if (store_.WantsCompaction()) {
    store_.Compact(WholeState());
  }
}

void Agent::Perform(const std::vector<Action>& actions) {
  for (const Action& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
}

void Agent::Do(const Spawn& action) {
  std::string error;
  try {
    const Definition definition = DefinitionOf(action.definition);
    const Paths paths = PathsOf(action.instance);
    if (auto process = StartProcess(definition, paths, &error)) {
      const pid_t pid = process->pid;
      Watch(action.instance, std::move(*process));
      queue_.push_back(Spawned{action.instance, pid, ""});
      return;
    }
    // Somebody started it between: it is the instance, and is adopted.
    if (auto process = FindProcess(paths)) {
      const pid_t pid = process->pid;
      Watch(action.instance, std::move(*process));
      queue_.push_back(Adopted{action.instance, pid});
      return;
    }
  } catch (const std::exception& failure) {
    error = std::string("cannot be started: ") + failure.what();
  }
  queue_.push_back(Spawned{action.instance, 0, error});
}

void Agent::Do(const Call& action) {
  std::string socket;
  try {
    socket = DefinitionOf(fleet_.instances().at(action.instance).definition).control_socket;
  } catch (const std::exception&) {
  }
  asio::co_spawn(io_, CallInstance(action.instance, socket, action.drain, action.deadline), asio::detached);
}

void Agent::Do(const Signal& action) {
  const auto found = running_.find(action.instance);
  if (found != running_.end()) SendSignal(found->second.process, action.number);
}

void Agent::Watch(const std::string& instance, Process process) {
  const pid_t pid = process.pid;
  const int watched = dup(process.pidfd.get());
  running_.erase(instance);
  const auto [at, added] =
      running_.emplace(instance, Running{std::move(process), asio::posix::stream_descriptor(io_, watched)});
  next_poll_[instance] = Time(0);
  at->second.watch.async_wait(asio::posix::stream_descriptor::wait_read,
                              [this, alive = alive_, instance, pid](const boost::system::error_code& error) {
                                if (!error && *alive) OnEnd(instance, pid);
                              });
}

void Agent::OnEnd(const std::string& instance, pid_t pid) {
  const auto found = running_.find(instance);
  if (found == running_.end() || found->second.process.pid != pid) return;
  std::string how = ReapProcess(found->second.process);
  running_.erase(found);
  seen_.erase(instance);
  next_poll_.erase(instance);
  const auto at = fleet_.instances().find(instance);
  if (at != fleet_.instances().end() && at->second.wanted) {
    const std::string line = LastLine(PathsOf(instance).log, 200);
    if (!line.empty() && how != "exited with 0") how += "; the last line of its log: " + line;
    Audit("agent", "instance ended", {{"instance", instance}, {"pid", pid}, {"how", how}});
  }
  Raise(Exited{instance, how});
}

asio::awaitable<void> Agent::CallInstance(std::string instance, std::string socket, bool drain,
                                          Time deadline) {
  const auto alive = alive_;
  std::string body = "{}";
  if (drain && deadline > Time(0)) body = json::serialize(json::object{{"deadline_ms", deadline.count()}});
  const api::Reply reply =
      co_await api::CallUnix(socket, "POST", drain ? "/v1/drain" : "/v1/undrain", body, kCallTimeout);
  if (*alive) Raise(CallEnded{instance, reply.ok() ? "" : reply.Why()});
}

asio::awaitable<void> Agent::Poll(std::string instance) {
  const auto alive = alive_;
  const auto at = fleet_.instances().find(instance);
  const auto process = running_.find(instance);
  if (at == fleet_.instances().end() || process == running_.end() || !polling_.insert(instance).second)
    co_return;
  const pid_t pid = process->second.process.pid;
  std::string socket;
  try {
    socket = DefinitionOf(at->second.definition).control_socket;
  } catch (const std::exception&) {
  }
  const Time asked = Now();
  const api::Reply reply = co_await api::CallUnix(socket, "GET", "/v1/status", "", kCallTimeout);
  if (!*alive) co_return;
  polling_.erase(instance);
  const auto now_runs = running_.find(instance);
  if (now_runs == running_.end() || now_runs->second.process.pid != pid) co_return;
  const auto seen = reply.ok() ? ObservationOf(reply.body) : std::nullopt;
  // Of this process, not of one that had the socket before.
  const bool own = seen && Number(reply.body.as_object(), "pid") == static_cast<std::uint64_t>(pid);
  const auto& known = fleet_.instances().at(instance);
  const Time now = Now();
  if (own) {
    seen_[instance] = {reply.body.as_object(), asked};
    Raise(Observed{instance, *seen, asked});
  } else {
    Raise(Silent{instance, seen ? "another process answers on its socket" : reply.Why()});
  }
  const bool starting = !own && now - known.spawned_at < kStartingFor;
  const bool not_ready = own && seen->state == "starting";
  next_poll_[instance] = now + (fleet_.Eager(instance)  ? kEagerPoll
                                : starting || not_ready ? kStartingPoll
                                                        : settings_.poll);
  ArmPulse();
}

// One wake-up for all that is due; an idle agent has one a `poll`.
void Agent::Pulse() {
  const Time now = Now();
  for (const auto& [name, running] : running_) {
    Time& due = next_poll_[name];
    if (fleet_.Eager(name)) due = std::min(due, now + kEagerPoll);
    if (due > now || polling_.count(name)) continue;
    due = now + settings_.poll;
    asio::co_spawn(io_, Poll(name), asio::detached);
  }
  if (now >= bound_logs_) {
    // As often as instances are looked at; a busy writer is caught by the size that is allowed for it.
    bound_logs_ = now + std::max<Time>(kBoundLogs, settings_.poll);
    for (const auto& [name, running] : running_) BoundLog(PathsOf(name).log, settings_.log_bytes);
  }
  if (unsaved_ && now >= save_again_) {
    unsaved_ = !store_.Compact(WholeState());
    save_again_ = now + kSaveAgain;
    if (!unsaved_) std::cerr << "badgeragent: the state is on disk again\n";
  }
  Raise(Tick{});
}

void Agent::ArmPulse() {
  const Time now = Now();
  Time next = now + Time(60000);
  if (const auto wake = fleet_.NextWake(now)) next = std::min(next, *wake);
  for (const auto& [name, running] : running_) {
    if (polling_.count(name)) continue;
    Time due = next_poll_[name];
    if (fleet_.Eager(name)) due = std::min(due, now + kEagerPoll);
    next = std::min(next, due);
  }
  if (!running_.empty()) next = std::min(next, bound_logs_);
  if (unsaved_) next = std::min(next, save_again_);
  pulse_.expires_after(std::max(Time(1), next - now));
  pulse_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (!error && *alive) Pulse();
  });
}

void Agent::Changed() {
  ++changes_;
  changed_.cancel();
}

asio::awaitable<void> Agent::WaitForChange(milliseconds most) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  // One timer for all that wait: the soonest ends the wait of all, and each looks again.
  if (changed_.expiry() <= std::chrono::steady_clock::now() ||
      changed_.expiry() > std::chrono::steady_clock::now() + most)
    changed_.expires_after(most);
  co_await changed_.async_wait(token);
}

bool Agent::Audit(std::string_view who, std::string_view what, json::object more) {
  return WriteAudit({AuditLine(who, what, std::move(more))});
}

bool Agent::WriteAudit(const std::vector<std::string>& lines) {
  if (audit_.Add(lines)) return true;
  for (const std::string& line : lines)
    std::cerr << "badgeragent: the audit log cannot be written: " << line << '\n';
  return false;
}

void Agent::AuditEnds() {
  std::vector<std::string> lines;
  for (const OrderState& order : fleet_.orders()) {
    for (const Part& part : order.parts) {
      if (!Final(part.result) || !audited_.insert(order.order.id + "/" + part.instance).second) continue;
      lines.push_back(
          AuditLine(order.order.who, "result",
                    {{"order", order.order.id},
                     {"verb", Name(order.order.verb)},
                     {"instance", part.instance},
                     {"result", Name(part.result)},
                     {"text", part.text},
                     {"took_ms", part.began == Time(0) ? 0 : (part.ended - part.began).count()}}));
    }
  }
  if (!lines.empty()) WriteAudit(lines);
  if (audited_.size() > 4 * kMostOrders * 16) {
    std::erase_if(audited_,
                  [this](const std::string& key) { return !fleet_.FindOrder(key.substr(0, key.find('/'))); });
  }
}

// Asks all that run, and waits for them, but not for those that do not answer at once.
asio::awaitable<void> Agent::Refresh() {
  const Time asked = Now();
  for (const auto& [name, running] : running_) {
    if (!polling_.count(name)) asio::co_spawn(io_, Poll(name), asio::detached);
  }
  const auto due = std::chrono::steady_clock::now() + kFreshStatus;
  const auto waits = [&] {
    for (const auto& [name, running] : running_) {
      const auto seen = seen_.find(name);
      if (polling_.count(name) && (seen == seen_.end() || seen->second.at < asked)) return true;
    }
    return false;
  };
  while (waits()) {
    const auto left = std::chrono::duration_cast<milliseconds>(due - std::chrono::steady_clock::now());
    if (left <= milliseconds(0)) break;
    co_await WaitForChange(left);
  }
}

json::object Agent::Describe(const Instance& instance) const {
  const Time now = Now();
  json::object one{{"name", instance.name},
                   {"state", Fleet::StateOf(instance)},
                   {"wanted", instance.wanted ? instance.wanted_drained ? "drained" : "running" : "stopped"},
                   {"pid", instance.pid},
                   {"generation", instance.changed},
                   {"deaths", instance.deaths},
                   {"last_end", instance.last_end},
                   {"gave_up", instance.gave_up}};
  json::object labels;
  std::string listen;
  try {
    const Definition definition = DefinitionOf(instance.definition);
    for (const auto& [key, value] : definition.labels) labels[key] = value;
    listen = definition.listen;
  } catch (const std::exception&) {
  }
  one["labels"] = std::move(labels);
  one["listen"] = listen;
  if (!instance.silent.empty() && instance.pid != 0) {
    one["silent"] = instance.silent;
    one["silent_for_ms"] = (now - instance.silent_since).count();
  }
  const auto seen = seen_.find(instance.name);
  if (seen != seen_.end()) {
    one["seen_ms_ago"] = (now - seen->second.at).count();
    for (const char* key : {"uptime_ms", "version", "connections", "requests", "list", "drain", "reloads"}) {
      if (const json::value* value = seen->second.status.if_contains(key)) one[key] = *value;
    }
  }
  for (const OrderState& order : fleet_.orders()) {
    if (order.ended) continue;
    for (const Part& part : order.parts) {
      if (part.instance != instance.name || part.result != Result::kRunning) continue;
      one["order"] = order.order.id;
      one["doing"] = fleet_.Doing(order, part);
      one["doing_for_ms"] = (now - part.step_began).count();
    }
  }
  return one;
}

json::object Agent::Describe(const OrderState& state, bool whole) const {
  const Time now = Now();
  const Order& order = state.order;
  std::map<std::string, std::int64_t> counts;
  for (const Part& part : state.parts) ++counts[std::string(Name(part.result))];
  json::object sums;
  for (const auto& [name, count] : counts) sums[name] = count;
  json::object one{{"id", order.id},
                   {"verb", Name(order.verb)},
                   {"who", order.who},
                   {"generation", state.generation},
                   {"accepted_unix_ms", state.accepted_unix_ms},
                   {"age_ms", (now - state.accepted).count()},
                   {"ended", state.ended},
                   {"halted", state.halted},
                   {"superseded_by", state.superseded_by},
                   {"results", std::move(sums)}};
  if (!whole) return one;
  json::array parts;
  for (const Part& part : state.parts) {
    json::object line{{"instance", part.instance}, {"result", Name(part.result)}};
    if (Final(part.result)) {
      line["text"] = part.text;
      line["took_ms"] = part.began == Time(0) ? 0 : (part.ended - part.began).count();
    } else {
      line["text"] = fleet_.Doing(state, part);
      line["took_ms"] = part.result == Result::kRunning ? (now - part.began).count() : 0;
      line["doing_for_ms"] = part.result == Result::kRunning ? (now - part.step_began).count() : 0;
    }
    parts.push_back(std::move(line));
  }
  one["instances"] = std::move(parts);
  return one;
}

json::object Agent::Status() const {
  json::array instances, open;
  for (const auto& [name, instance] : fleet_.instances()) instances.push_back(Describe(instance));
  for (const OrderState& order : fleet_.orders()) {
    if (!order.ended) open.push_back(Describe(order, false));
  }
  return {{"agent", settings_.name},
          {"version", BADGERBRIDGE_VERSION},
          {"pid", getpid()},
          {"uptime_ms", (Now() - started_).count()},
          {"generation", fleet_.generation()},
          {"disk", unsaved_      ? store_.error()
                   : audit_.ok() ? "ok"
                                 : "the audit log cannot be written"},
          {"instances", std::move(instances)},
          {"open_orders", std::move(open)}};
}

asio::awaitable<api::Response> Agent::Handle(api::Request request, api::Peer peer) {
  const bool read = request.method == "GET", write = request.method == "POST";
  const bool diff = request.path == "/v1/diff";
  const api::Role needed = read || diff                  ? api::Role::kReader
                           : request.path == "/v1/apply" ? api::Role::kAdmin
                                                         : api::Role::kOperator;
  if (peer.role < needed) {
    if (write && !diff) Audit(peer.who, "not allowed", {{"path", request.path}});
    co_return api::Error(403, peer.who + " has the role " + std::string(api::Name(peer.role)) +
                                  "; this takes " + std::string(api::Name(needed)));
  }
  const auto below = [&](std::string_view folder) {
    return request.path.rfind(folder, 0) == 0 ? request.path.substr(folder.size()) : std::string();
  };
  if (read && request.path == "/v1/status") {
    co_await Refresh();
    co_return api::Response{200, Status()};
  }
  if (read && request.path == "/v1/orders") {
    json::array orders;
    for (const OrderState& order : fleet_.orders()) orders.push_back(Describe(order, false));
    co_return api::Response{200,
                            json::object{{"generation", fleet_.generation()}, {"orders", std::move(orders)}}};
  }
  if (read && !below("/v1/orders/").empty()) {
    api::Response response = co_await GetOrder(below("/v1/orders/"), request);
    co_return response;
  }
  if (const std::string rest = below("/v1/instances/"); !rest.empty()) {
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash),
                      what = slash == std::string::npos ? "" : rest.substr(slash);
    if (read && what.empty()) {
      api::Response response = co_await GetInstance(name);
      co_return response;
    }
    if ((read && what == "/members") || (write && what == "/members/release")) {
      api::Response response = co_await Pass(name, "/v1" + what, peer, write);
      co_return response;
    }
  }
  if (read && !below("/v1/logs/").empty()) co_return GetLog(below("/v1/logs/"), request);
  if (write && request.path == "/v1/orders") co_return PostOrder(request, peer);
  if (write && (request.path == "/v1/apply" || diff)) co_return PostFleet(request, peer, !diff);
  co_return api::Error(404, "no such call; docs/operators/fleet.md lists them");
}

asio::awaitable<api::Response> Agent::GetInstance(std::string name) {
  const auto found = fleet_.instances().find(name);
  if (found == fleet_.instances().end()) co_return api::Error(404, "there is no instance " + name);
  json::object one = Describe(found->second);
  one["definition"] = json::parse(found->second.definition);
  const auto seen = seen_.find(name);
  if (seen != seen_.end()) one["status"] = seen->second.status;
  if (found->second.pid != 0) {
    const std::string socket = DefinitionOf(found->second.definition).control_socket;
    const api::Reply reply = co_await api::CallUnix(socket, "GET", "/v1/converters", "", kCallTimeout);
    if (reply.ok() && reply.body.is_object() && reply.body.get_object().contains("converters")) {
      one["converters"] = reply.body.get_object().at("converters");
    } else {
      one["converters_error"] = reply.Why();
    }
  }
  co_return api::Response{200, std::move(one)};
}

// On to the instance's own control API, and its answer back. What changes something is in the audit log
// first.
asio::awaitable<api::Response> Agent::Pass(std::string name, std::string path, api::Peer peer, bool write) {
  const auto found = fleet_.instances().find(name);
  if (found == fleet_.instances().end()) co_return api::Error(404, "there is no instance " + name);
  if (found->second.pid == 0) co_return api::Error(409, "the instance " + name + " does not run");
  if (write && !Audit(peer.who, "asked", {{"instance", name}, {"path", path}}))
    co_return api::Error(507, "the agent cannot write its audit log, and asks nothing without it");
  const std::string socket = DefinitionOf(found->second.definition).control_socket;
  const api::Reply reply =
      co_await api::CallUnix(socket, write ? "POST" : "GET", path, write ? "{}" : "", kCallTimeout);
  if (write) Audit(peer.who, "answered", {{"instance", name}, {"path", path}, {"status", reply.status}});
  if (reply.status == 0) co_return api::Error(504, "the instance does not answer: " + reply.Why());
  co_return api::Response{reply.status, reply.body};
}

// With wait_ms, answers once something has changed since `seen`, or the order has ended.
asio::awaitable<api::Response> Agent::GetOrder(std::string id, api::Request request) {
  const auto wait = milliseconds(api::QueryNumber(request, "wait_ms", 0, kMostWait.count()));
  const auto due = std::chrono::steady_clock::now() + wait;
  for (;;) {
    const OrderState* order = fleet_.FindOrder(id);
    if (!order) co_return api::Error(404, "there is no order " + id + ", or it ended long ago");
    const auto left = std::chrono::duration_cast<milliseconds>(due - std::chrono::steady_clock::now());
    if (order->ended || left <= milliseconds(0)) co_return api::Response{200, Describe(*order, true)};
    co_await WaitForChange(left);
  }
}

api::Response Agent::GetLog(const std::string& name, const api::Request& request) const {
  if (!fleet_.instances().count(name)) return api::Error(404, "there is no instance " + name);
  const auto most = static_cast<std::size_t>(api::QueryNumber(request, "lines", 50, 10000));
  std::string text;
  const std::string path = PathsOf(name).log;
  for (const std::string& part : {path + ".1", path}) {
    std::ifstream file(part, std::ios::binary | std::ios::ate);
    if (!file) continue;
    const std::streamoff size = file.tellg();
    const std::streamoff from =
        std::max<std::streamoff>(0, size - static_cast<std::streamoff>(kMostLogBytes));
    file.seekg(from);
    std::string piece(static_cast<std::size_t>(size - from), '\0');
    file.read(piece.data(), static_cast<std::streamsize>(piece.size()));
    piece.resize(static_cast<std::size_t>(file.gcount()));
    text += piece;
  }
  std::vector<std::string> lines;
  for (std::size_t end = text.size(); end > 0 && lines.size() < most;) {
    if (text[end - 1] == '\n') --end;
    const std::size_t before = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
    const std::size_t begin = before == std::string::npos ? 0 : before + 1;
    std::string line = text.substr(begin, end - begin);
    for (char& c : line) {  // what is no UTF-8 is no JSON
      if (static_cast<unsigned char>(c) < ' ' || static_cast<unsigned char>(c) > '~') c = '?';
    }
    lines.push_back(std::move(line));
    end = begin;
  }
  json::array out;
  for (auto at = lines.rbegin(); at != lines.rend(); ++at) out.emplace_back(*at);
  return {200, json::object{{"instance", name}, {"lines", std::move(out)}}};
}

// Accepted only once it is in the audit log and on disk; else nothing of it has happened.
api::Response Agent::Take(const Order& order, bool dry_run) {
  Verdict verdict = fleet_.Judge(order);
  json::object asked{{"order", order.id},
                     {"verb", Name(order.verb)},
                     {"against", order.against},
                     {"supersede", order.supersede},
                     {"verdict", verdict.kind == Verdict::Kind::kAccepted ? "accepted" : verdict.text}};
  json::array names;
  for (const std::string& name : order.instances) names.emplace_back(name);
  asked["instances"] = names;
  const auto answer = [&](unsigned status) {
    json::object body{{"generation", fleet_.generation()}};
    if (status >= 400) {
      body["error"] = verdict.text;
      body["order"] = verdict.order;
      body["kind"] = verdict.kind == Verdict::Kind::kStale ? "stale" : "conflict";
    } else if (dry_run) {
      body["dry_run"] = true;
      body["instances"] = names;
    } else if (const OrderState* state = fleet_.FindOrder(order.id)) {
      body = Describe(*state, true);
    }
    return api::Response{status, std::move(body)};
  };
  if (dry_run || verdict.kind == Verdict::Kind::kKnown)
    return answer(dry_run && verdict.kind == Verdict::Kind::kAccepted ? 200 : StatusOf(verdict.kind));
  if (unsaved_) return api::Error(507, "the agent cannot store orders: " + store_.error());
  if (!Audit(order.who, "order", std::move(asked)))
    return api::Error(507, "the agent cannot write its audit log, and takes no order without it");
  if (verdict.kind != Verdict::Kind::kAccepted) return answer(StatusOf(verdict.kind));

  const Fleet before = fleet_;
  std::vector<Action> actions;
  fleet_.Submit(Now(), UnixMs(), order, &actions);
  if (!store_.Append(fleet_.TakeChanges())) {
    fleet_ = before;
    Audit("agent", "not taken after all", {{"order", order.id}, {"why", store_.error()}});
    return api::Error(507, "the agent cannot store the order: " + store_.error());
  }
  handling_ = true;
  Perform(actions);
  handling_ = false;
  const api::Response response = answer(202);
  asio::post(io_, [this, alive = alive_] {
    if (*alive) Raise(Tick{});
  });
  return response;
}

api::Response Agent::PostOrder(const api::Request& request, const api::Peer& peer) {
  try {
    std::string why;
    const auto body = api::ReadObject(request, &why);
    if (!body) return api::Error(400, why);
    Members members(*body);
    Order order = CommonOrder(members, peer);
    const auto verb = ParseVerb(members.Text("verb").value_or(""));
    if (!verb || *verb == Verb::kApply)
      return api::Error(400, "verb is none of start, stop, drain, undrain, reload, restart");
    order.verb = *verb;
    order.instances = members.Texts("instances");
    const bool dry_run = members.Flag("dry_run");
    members.Finish();
    return Take(order, dry_run);
  } catch (const std::exception& bad) {
    return api::Error(400, bad.what());
  }
}

api::Response Agent::PostFleet(const api::Request& request, const api::Peer& peer, bool apply) {
  try {
    std::string why;
    const auto body = api::ReadObject(request, &why);
    if (!body) return api::Error(400, why);
    Members members(*body);
    Order order = CommonOrder(members, peer);
    order.verb = Verb::kApply;
    const std::string text = members.Text("fleet").value_or("");
    const std::string name = members.Text("file").value_or("fleet.toml");
    const bool dry_run = members.Flag("dry_run");
    members.Finish();
    operator_file::Problems problems;
    const FleetFile fleet = ParseFleet(text, name, problems);
    if (!problems.empty()) return api::Error(400, operator_file::Lines(problems));
    if (fleet.agent.name != settings_.name)
      return api::Error(400, "the file is for agent " + fleet.agent.name + ", and this is " + settings_.name);
    std::map<std::string, std::string> before, after;
    for (const auto& [instance, known] : fleet_.instances()) before[instance] = known.definition;
    for (const Definition& one : fleet.instances) after[one.name] = ToText(one);
    json::array changes;
    for (const Change& change : Diff(before, after)) {
      constexpr std::string_view kKinds[] = {"add", "change", "remove"};
      changes.push_back(json::object{{"instance", change.instance},
                                     {"kind", kKinds[static_cast<int>(change.kind)]},
                                     {"text", change.text}});
      order.instances.push_back(change.instance);
      order.definitions[change.instance] =
          change.kind == Change::Kind::kRemove ? std::string() : after[change.instance];
    }
    if (!apply || changes.empty())
      return {200, json::object{{"generation", fleet_.generation()}, {"changes", std::move(changes)}}};
    api::Response response = Take(order, dry_run);
    if (json::object* object = response.body.if_object()) (*object)["changes"] = std::move(changes);
    return response;
  } catch (const std::exception& bad) {
    return api::Error(400, bad.what());
  }
}

}  // namespace badgerbridge::fleet
