// SPDX-License-Identifier: Apache-2.0
#include "agent/agent.h"

#include <fcntl.h>
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

#include "agent/agent_parts.h"
#include "http_api/address.h"
#include "http_api/client.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr Time kEagerPoll{50};      // while an order waits for what an instance says
constexpr Time kStartingPoll{250};  // while one starts by itself
constexpr Time kStartingFor{10000};
constexpr Time kSaveAgain{2000};  // after the disk refused
constexpr Time kBoundLogs{1000};
constexpr std::size_t kMostBody = 2 << 20;
constexpr std::uint64_t kAuditBytes = 4 << 20;
constexpr int kAuditFiles = 4;

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

Supervision SupervisionOf(const AgentSettings& settings) {
  return {settings.first_backoff, settings.most_backoff, settings.short_life, settings.most_deaths};
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
    std::cerr << "badgerbridge-agent: the last " << store_.dropped()
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
      std::cerr << "badgerbridge-agent: the fleet file differs from what was last applied in "
                << changes.size()
                << " instances, which stay as they are; see badgerbridge-ctl diff, and apply\n";
  }
  const http_api::Handler handler = [this](http_api::Request request, http_api::Peer peer) {
    return Handle(std::move(request), std::move(peer));
  };
  const http_api::ServerLimits limits{settings_.max_connections, 16 << 10, kMostBody, milliseconds(5000),
                                      milliseconds(60000)};
  unix_ =
      std::make_unique<http_api::UnixServer>(io_, settings_.socket, settings_.allow_uids, limits, handler);
  if (settings_.tls) {
    tls_ = std::make_unique<http_api::TlsServer>(
        io_, *http_api::ParseAddress(settings_.tls->listen),  // checked when the file was read
        http_api::TlsFiles{settings_.tls->certificate, settings_.tls->key, settings_.tls->client_ca},
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
    std::cerr << "badgerbridge-agent: " << store_.error()
              << "; new orders are refused until that works again\n";
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
  const int watched = fcntl(process.pidfd.get(), F_DUPFD_CLOEXEC, 0);
  running_.erase(instance);
  running_.emplace(instance, Running{std::move(process), asio::posix::stream_descriptor(io_, watched)});
  next_poll_[instance] = Time(0);
  AwaitEnd(instance, pid);
}

void Agent::AwaitEnd(const std::string& instance, pid_t pid) {
  running_.at(instance).watch.async_wait(
      asio::posix::stream_descriptor::wait_read,
      [this, alive = alive_, instance, pid](const boost::system::error_code& error) {
        if (!error && *alive) OnEnd(instance, pid);
      });
}

void Agent::OnEnd(const std::string& instance, pid_t pid) {
  const auto found = running_.find(instance);
  if (found == running_.end() || found->second.process.pid != pid) return;
  const std::optional<std::string> end = ReapProcess(found->second.process);
  if (!end) return AwaitEnd(instance, pid);  // woken for nothing; docs/agent.md
  std::string how = *end;
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
  const http_api::Reply reply =
      co_await http_api::CallUnix(socket, "POST", drain ? "/v1/drain" : "/v1/undrain", body, kCallTimeout);
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
  const http_api::Reply reply = co_await http_api::CallUnix(socket, "GET", "/v1/status", "", kCallTimeout);
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
    if (!unsaved_) std::cerr << "badgerbridge-agent: the state is on disk again\n";
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
  pulse_.ArmAfter(std::max(Time(1), next - now), [this] { Pulse(); });
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

}  // namespace badgerbridge::agent
