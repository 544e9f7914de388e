// SPDX-License-Identifier: Apache-2.0
#include "lab/world.h"

#include <algorithm>
#include <bit>

namespace badgerbridge::lab {

using namespace fordlb;

namespace {

// Streams of randomness; those of converters follow.
enum Stream : std::uint64_t { kArrivals, kWorks, kNetwork, kLists, kClients, kConverters };

constexpr double kEpochMs = 1e6;  // virtual time begins here: 0 means "long ago" to the module

TimePoint At(double ms) { return TimePoint(Duration(kEpochMs + ms)); }

}  // namespace

struct World::Proxy {
  int zone = 0;
  std::uint32_t life = 0;  // counts its starts; even: it is dead
  std::unique_ptr<Core> core;
  Core::Actions actions;
  bool carrying = false;
  std::optional<TimePoint> wake;
  std::unordered_map<RequestId, std::uint64_t> traces;  // its own numbers
  std::unordered_map<RequestId, std::uint64_t> newest;  // attempt of each, while it is out
  std::unordered_map<ServerId, TimePoint> told_off;     // since when not to send there
  std::vector<std::uint16_t> idle;                      // connections to each converter
  TimePoint told_until{};                               // lists reach it in order
  bool alive() const { return life % 2 == 1; }
};

struct World::Attempt {
  std::size_t proxy = 0;
  std::uint32_t life = 0;
  std::uint64_t trace = 0;
  std::size_t converter = 0;
  TimePoint converter_since{};  // of the process that it was sent to
  exchange::Send send;
  bool told = false;  // its end, to the proxy
  bool at_converter = false;
  bool on_idle = false;  // on a connection that was there
  TimePoint written{};   // when its connection is up and the request goes out
  bool reset = false;    // its connection breaks once it has been written
};

struct World::Intent {  // what a client wants, over all its tries
  int request_class = 0, tries = 0, zone = 0;
  TimePoint began{};
  double work = 0;
};

double Result::worth_share() const {
  double asked = 0, served = 0;
  for (const ClassResult& c : classes) asked += c.worth_asked, served += c.worth_served;
  return asked > 0 ? served / asked : 0;
}

World::World(const Model& model, std::uint64_t seed, CoreFactory factory, std::uint64_t tie_seed)
    : model_(model),
      seed_(seed),
      factory_(std::move(factory)),
      queue_(tie_seed),
      referee_(model.drain_grace),
      arrivals_(seed, kArrivals),
      works_(seed, kWorks),
      network_(seed, kNetwork),
      lists_(seed, kLists),
      clients_(seed, kClients),
      fronts_(static_cast<std::size_t>(model.zones)),
      cut_in_(static_cast<std::size_t>(model.zones)),
      cut_out_(static_cast<std::size_t>(model.zones)) {
  double sum = 0;
  for (const ClassModel& c : model_.classes) class_shares_.push_back(sum += c.share);
  result_.classes.resize(model_.classes.size());
  for (int i = 0; i < model_.converters; ++i) {
    const auto index = static_cast<std::size_t>(i);
    converters_.push_back(std::make_unique<Converter>(queue_, static_cast<Converter::Watcher&>(*this), index,
                                                      model_.converter, Random(seed, kConverters + index)));
    converters_.back()->Start(TimePoint{});
    ServerEntry entry;
    entry.server = static_cast<ServerId>(i + 1);
    entry.zone = i % model_.zones;
    entry.cell = i / model_.zones % std::max(1, model_.groups);
    listed_.push_back(entry);
  }
  proxies_.resize(static_cast<std::size_t>(model_.proxies));
  if (model_.decision.decide != RegionsModel::Decide::kOff) {
    members_ = std::make_unique<Members>(
        queue_, model_, seed, [this](TimePoint now, std::size_t index, std::vector<double> shares) {
          Proxy& proxy = proxies_[index];
          if (!proxy.alive()) return;
          proxy.core->Shares(now, {std::move(shares)}, &proxy.actions);
          Carry(now, index);
        });
  }
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    proxies_[i].zone = static_cast<int>(i) % model_.zones;
    Revive(At(0), i);
  }
  queue_.At(At(0), this, kArrive);
  for (std::size_t i = 0; i < model_.happenings.size(); ++i)
    queue_.At(At(model_.happenings[i].at), this, kHappen, i);
}

World::~World() = default;

Result World::Run(std::uint64_t most_steps) {
  const TimePoint end = At(model_.length);
  // After the load's end: whatever is open is over within the longest that a client goes on.
  while (queue_.steps() < most_steps && !referee_.breach()) {
    const bool over = queue_.now() > end && intents_.empty() && traces_.empty();
    if (over || !queue_.Step(TimePoint(Duration(1e300)))) break;
  }
  if (!referee_.breach()) {
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
      if (!proxies_[i].alive()) continue;
      bool add_up = true;
      for (const exchange::Tally& t : proxies_[i].core->tallies())
        add_up &= t.taken == t.served + t.refused + t.failed + t.open;
      referee_.Totals(queue_.now(), queue_.steps(), add_up, static_cast<std::uint32_t>(i));
    }
  }
  result_.steps = queue_.steps();
  result_.length = (queue_.now() - At(0)).count();
  result_.breach = referee_.breach();
  result_.busy.clear();
  for (const auto& converter : converters_)
    result_.busy.push_back(converter->busy_ms() / std::max(1.0, result_.length) / model_.converter.slots);
  return result_;
}

void World::On(TimePoint now, std::uint32_t what, std::uint64_t a, std::uint64_t b) {
  switch (what) {
    case kArrive:
      return Arrive(now);
    case kTryAgain:
      if (intents_.count(a)) Try(now, a);
      return;
    case kReachProxy:
      return ReachProxy(now, a);
    case kAnswered:
      return Ended(now, a, static_cast<exchange::Ending>(b & 3), static_cast<double>(b >> 2) / 1000);
    case kTimeUp: {
      const auto found = traces_.find(a);
      if (found == traces_.end()) return;
      Trace& trace = found->second;
      const Proxy& proxy = proxies_[trace.proxy];
      if (trace.life != 0) referee_.TimeUp(now, queue_.steps(), trace, proxy.life == trace.life);
      if (!trace.answered && !trace.left) {  // its proxy died
        trace.answered = true;
        ++result_.classes[static_cast<std::size_t>(trace.request_class)].cut_short;
        intents_.erase(trace.intent);
      }
      trace.closed = true;
      return Release(a);
    }
    case kLeave: {
      const auto found = traces_.find(a);
      if (found == traces_.end() || found->second.answered || found->second.left) return;
      Trace& trace = found->second;
      trace.left = true;
      ++result_.classes[static_cast<std::size_t>(trace.request_class)].left;
      intents_.erase(trace.intent);
      Proxy& proxy = proxies_[trace.proxy];
      if (proxy.life != trace.life || proxy.traces.erase(trace.request) == 0) return;
      proxy.core->Gone(now, trace.request, &proxy.actions);
      return Carry(now, trace.proxy);
    }
    case kReachConverter:
      return ReachConverter(now, a);
    case kAttemptEnds:
      return EndAttempt(now, a, static_cast<Outcome>(b));
    case kAttemptTimesOut:
      return EndAttempt(now, a, Outcome::kTimeout);
    case kWake: {
      Proxy& proxy = proxies_[a];
      if (proxy.life != b || !proxy.wake || *proxy.wake > now) return;
      proxy.wake.reset();
      proxy.core->Wake(now, &proxy.actions);
      return Carry(now, a);
    }
    case kTold:
      return Tell(now, a, b);
    case kHappen:
      return Happen(now, model_.happenings[a]);
    case kNoticed: {
      const bool alive = proxies_[a].alive();
      auto& front = fronts_[static_cast<std::size_t>(proxies_[a].zone)];
      std::erase(front, static_cast<std::uint32_t>(a));
      if (alive) front.push_back(static_cast<std::uint32_t>(a));
      return;
    }
  }
}

// ---- clients --------------------------------------------------------------------------------------------

void World::Arrive(TimePoint now) {
  if (now >= At(model_.length)) return;
  const double per_ms = model_.clients.per_second * load_ / 1000;
  queue_.At(now + Duration(per_ms > 0 ? arrivals_.Exponential(1 / per_ms) : 1000), this, kArrive);
  if (per_ms <= 0) return;
  const double at = works_.Unit() * class_shares_.back();
  const auto which = static_cast<std::size_t>(
      std::upper_bound(class_shares_.begin(), class_shares_.end(), at) - class_shares_.begin());
  const ClassModel& cls = model_.classes[std::min(which, model_.classes.size() - 1)];
  Intent intent;
  intent.request_class = static_cast<int>(std::min(which, model_.classes.size() - 1));
  intent.began = now;
  intent.work = cls.work.Draw(works_);
  intent.zone = static_cast<int>(works_.Below(static_cast<std::uint64_t>(model_.zones)));
  const std::uint64_t id = ++next_intent_;
  ClassResult& result = result_.classes[static_cast<std::size_t>(intent.request_class)];
  ++result.asked;
  result.worth_asked += cls.rules.worth;
  intents_.emplace(id, intent);
  Try(now, id);
}

// Of its own zone while there is one, else of any.
int World::PickProxy(int zone) {
  const auto& own = fronts_[static_cast<std::size_t>(zone)];
  if (!own.empty()) return static_cast<int>(own[clients_.Below(own.size())]);
  std::vector<std::uint32_t> all;
  for (const auto& front : fronts_) all.insert(all.end(), front.begin(), front.end());
  return all.empty() ? -1 : static_cast<int>(all[clients_.Below(all.size())]);
}

void World::Try(TimePoint now, std::uint64_t id) {
  Intent& intent = intents_.at(id);
  const ClassModel& cls = model_.classes[static_cast<std::size_t>(intent.request_class)];
  ClassResult& result = result_.classes[static_cast<std::size_t>(intent.request_class)];
  ++result.tries;
  ++intent.tries;
  // One that is dead refuses the connection, and the next is asked: as many times as there are proxies at
  // most.
  int proxy = -1;
  for (std::size_t i = 0; i <= proxies_.size(); ++i) {
    proxy = PickProxy(intent.zone);
    if (proxy < 0 || proxies_[static_cast<std::size_t>(proxy)].alive()) break;
    proxy = -1;
  }
  if (proxy < 0) {
    ++result.unreached;
    intents_.erase(id);
    return;
  }
  Trace trace;
  trace.request_class = intent.request_class;
  trace.proxy = static_cast<std::uint32_t>(proxy);
  trace.sent = now;
  trace.due = now + cls.rules.deadline;
  trace.intent = id;
  trace.work = intent.work;
  const std::uint64_t number = ++next_trace_;
  traces_.emplace(number, trace);
  queue_.At(now + Duration(Latency()), this, kReachProxy, number);
  queue_.At(trace.due, this, kTimeUp, number);
  if (model_.clients.leaves > 0 && clients_.Unit() < model_.clients.leaves)
    queue_.At(now + cls.rules.deadline * clients_.Unit(), this, kLeave, number);
}

void World::Ended(TimePoint now, std::uint64_t id, exchange::Ending ending, double retry_after) {
  const auto found = traces_.find(id);
  if (found == traces_.end()) return;
  Trace& trace = found->second;
  const ClassModel& cls = model_.classes[static_cast<std::size_t>(trace.request_class)];
  const bool waited = !trace.left && !trace.answered;
  referee_.Answered(now, queue_.steps(), trace, cls.rules, ending == exchange::Ending::kRefused);
  Digest(id ^ static_cast<std::uint64_t>(ending) << 60);
  Digest(std::bit_cast<std::uint64_t>(now.time_since_epoch().count()));
  if (!waited) return;
  const std::uint64_t intent = trace.intent;
  if (ending == exchange::Ending::kServed) {
    ClassResult& result = result_.classes[static_cast<std::size_t>(trace.request_class)];
    const Intent& wanted = intents_.at(intent);
    const bool in_aim = now - trace.sent <= cls.rules.aim;
    ++result.served, result.in_aim += in_aim;
    result.worth_served += cls.rules.worth * (in_aim ? 1 : cls.rules.late_worth);
    result.latency.Add((now - wanted.began).count());
    intents_.erase(intent);
  } else {
    Again(now, intent, retry_after, ending);
  }
}

// A refusal says that trying again is harmless; a failure is tried again where that is safe or has a key.
void World::Again(TimePoint now, std::uint64_t id, double retry_after, exchange::Ending ending) {
  Intent& intent = intents_.at(id);
  ClassResult& result = result_.classes[static_cast<std::size_t>(intent.request_class)];
  const bool refused = ending == exchange::Ending::kRefused;
  const Effect effect = model_.classes[static_cast<std::size_t>(intent.request_class)].rules.effect;
  if (intent.tries >= model_.clients.tries || (!refused && effect == Effect::kUnsafe)) {
    ++(refused ? result.refused : result.failed);
    intents_.erase(id);
    return;
  }
  double pause = model_.clients.pause.Draw(clients_);
  if (retry_after > 0 && model_.clients.honours_retry_after) pause += retry_after;
  queue_.At(now + Duration(pause), this, kTryAgain, id);
}

// ---- proxies --------------------------------------------------------------------------------------------

void World::ReachProxy(TimePoint now, std::uint64_t id) {
  const auto found = traces_.find(id);
  if (found == traces_.end()) return;
  Trace& trace = found->second;
  Proxy& proxy = proxies_[trace.proxy];
  if (!proxy.alive() || trace.left) return;  // reset; the client's time ends it
  trace.life = proxy.life;
  const ClassModel& cls = model_.classes[static_cast<std::size_t>(trace.request_class)];
  Submit submit;
  submit.due = trace.due;
  submit.request_class = trace.request_class;
  submit.has_hint = cls.hinted;
  submit.work_ms = cls.hinted ? trace.work : 0;
  const std::size_t index = trace.proxy;
  if (members_) members_->Arrived(now, index, trace.work);
  trace.request = proxy.core->Take(now, submit, &proxy.actions);
  proxy.traces[trace.request] = id;
  Carry(now, index);
}

// What the core says, in order; what it says meanwhile follows.
void World::Carry(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (proxy.carrying) return;
  proxy.carrying = true;
  while (!proxy.actions.empty()) {
    for (const exchange::Action& action : std::exchange(proxy.actions, {})) {
      if (const auto* send = std::get_if<exchange::Send>(&action)) {
        Send(now, index, *send);
      } else if (const auto* cancel = std::get_if<exchange::Cancel>(&action)) {
        const auto newest = proxy.newest.find(cancel->request);
        if (newest != proxy.newest.end())
          queue_.At(now, this, kAttemptEnds, newest->second, static_cast<std::uint64_t>(Outcome::kCancelled));
      } else if (const auto* withdraw = std::get_if<exchange::Withdraw>(&action)) {
        const auto newest = proxy.newest.find(withdraw->request);
        if (newest != proxy.newest.end() && now < attempts_.at(newest->second).written)
          queue_.At(now, this, kAttemptEnds, newest->second, static_cast<std::uint64_t>(Outcome::kMoot));
      } else if (const auto* answer = std::get_if<exchange::Answer>(&action)) {
        const auto traced = proxy.traces.find(answer->request);
        if (traced == proxy.traces.end()) continue;
        queue_.At(now + Duration(Latency()), this, kAnswered, traced->second,
                  static_cast<std::uint64_t>(answer->retry_after.count() * 1000) << 2 |
                      static_cast<std::uint64_t>(answer->ending));
        proxy.traces.erase(traced);
      }
    }
  }
  proxy.carrying = false;
  const auto wake = proxy.core->NextWake();
  if (wake && (!proxy.wake || *wake < *proxy.wake)) {
    proxy.wake = wake;
    queue_.At(*wake, this, kWake, index, proxy.life);
  }
}

void World::Send(TimePoint now, std::size_t index, const exchange::Send& send) {
  Proxy& proxy = proxies_[index];
  const auto traced = proxy.traces.find(send.request);
  if (traced == proxy.traces.end()) return proxy.core->Ended(now, send, Outcome::kMoot, &proxy.actions);
  Trace& trace = traces_.at(traced->second);
  const auto converter = static_cast<std::size_t>(send.server - 1);
  Attempt attempt;
  attempt.proxy = index;
  attempt.life = proxy.life;
  attempt.trace = traced->second;
  attempt.converter = converter;
  attempt.converter_since = converters_[converter]->up_since();
  attempt.send = send;
  attempt.reset = model_.network.reset_share > 0 && network_.Unit() < model_.network.reset_share;
  const std::uint64_t id = ++next_attempt_;
  ++trace.attempts_out, ++trace.records;
  ++result_.attempts;
  proxy.newest[send.request] = id;
  const auto off = proxy.told_off.find(send.server);
  referee_.Sent(now, queue_.steps(), trace,
                off == proxy.told_off.end() ? std::nullopt : std::optional<TimePoint>(off->second),
                static_cast<std::uint32_t>(converter));
  attempt.on_idle = proxy.idle[converter] > 0;
  const int zone = listed_[converter].zone;
  if (members_) members_->Sent(now, index, id, zone);
  ClassResult& result = result_.classes[static_cast<std::size_t>(trace.request_class)];
  ++result.attempts, result.crossed += zone != proxy.zone;
  result.far += model_.RegionOf(zone) != model_.RegionOf(proxy.zone);
  const double latency = Between(proxy.zone, zone);
  const bool cut = Cut(proxy.zone, zone);
  attempt.written = attempt.on_idle ? now : cut ? TimePoint::max() : now + Duration(2 * latency);
  attempts_.emplace(id, attempt);
  if (attempt.on_idle) {
    --proxy.idle[converter];
    // A silent link, or a process that has died since: an idle connection does not notice the one, and is
    // reset by the other.
    if (!cut) queue_.At(now + Duration(latency), this, kReachConverter, id);
  } else if (cut) {
    queue_.At(now + std::min(model_.network.connect_timeout, send.timeout), this, kAttemptEnds, id,
              static_cast<std::uint64_t>(Outcome::kConnectFailed));
  } else {
    queue_.At(now + Duration(3 * latency), this, kReachConverter, id);
  }
  queue_.At(now + send.timeout, this, kAttemptTimesOut, id);
}

void World::ReachConverter(TimePoint now, std::uint64_t id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.told) return;  // its connection was closed before
  Attempt& attempt = found->second;
  Converter& converter = *converters_[attempt.converter];
  const int zone = listed_[attempt.converter].zone;
  const auto ends = [&](Outcome outcome) {
    if (Cut(zone, proxies_[attempt.proxy].zone)) return;
    queue_.At(now + Duration(Between(proxies_[attempt.proxy].zone, zone)), this, kAttemptEnds, id,
              static_cast<std::uint64_t>(outcome));
  };
  // Another process than the one that it was meant for, or none: what was written on an open connection is
  // reset.
  if (!converter.up() || converter.up_since() != attempt.converter_since)
    return ends(attempt.on_idle ? Outcome::kReset : Outcome::kConnectFailed);
  if (Cut(proxies_[attempt.proxy].zone, zone)) return;
  attempt.at_converter = true;
  const Converter::Begin begin = converter.Take(now, id, traces_.at(attempt.trace).work);
  if (begin == Converter::Begin::kFull) {
    attempt.at_converter = false;
    return ends(Outcome::kFull);
  }
  if (begin == Converter::Begin::kFell) {
    attempt.at_converter = false;
    referee_.Fell(now, queue_.steps(), static_cast<std::uint32_t>(attempt.converter));
    return ends(Outcome::kReset);
  }
  if (attempt.reset) ends(Outcome::kReset);
}

// ---- converters' word -----------------------------------------------------------------------------------

void World::Began(TimePoint now, std::size_t index, JobId id) {
  Trace& trace = traces_.at(attempts_.at(id).trace);
  const ClassSettings& rules = model_.classes[static_cast<std::size_t>(trace.request_class)].rules;
  const int group = rules.group == Group::kAll    ? 0
                    : rules.group == Group::kZone ? listed_[index].zone
                                                  : listed_[index].cell;
  result_.repeats_dropped += !referee_.Effect(now, queue_.steps(), trace, rules, group);
  Digest(id * 64 + index);
  Digest(std::bit_cast<std::uint64_t>(now.time_since_epoch().count()));
}

// Its proxy hears of it, if it still waits and the link is not silent.
void World::Leaves(TimePoint now, JobId id, Outcome outcome) {
  Attempt& attempt = attempts_.at(id);
  attempt.at_converter = false;
  if (!attempt.told) {
    const int zone = listed_[attempt.converter].zone, proxy = proxies_[attempt.proxy].zone;
    if (!Cut(zone, proxy))
      queue_.At(now + Duration(Between(proxy, zone)), this, kAttemptEnds, id,
                static_cast<std::uint64_t>(outcome));
    return;
  }
  const std::uint64_t trace = attempt.trace;
  Forget(id);
  Release(trace);
}

void World::Finished(TimePoint now, std::size_t, JobId id, bool right) {
  Leaves(now, id, right ? Outcome::kOk : Outcome::kError);
}

void World::Dropped(TimePoint now, std::size_t, JobId id) { Leaves(now, id, Outcome::kReset); }

void World::EndAttempt(TimePoint now, std::uint64_t id, Outcome outcome) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.told) return;
  Attempt& attempt = found->second;
  attempt.told = true;
  Proxy& proxy = proxies_[attempt.proxy];
  const std::size_t index = attempt.proxy;
  const exchange::Send send = attempt.send;
  const bool same_life = proxy.life == attempt.life;
  const std::uint64_t trace = attempt.trace;
  --traces_.at(trace).attempts_out;
  // A connection is kept where its answer came whole.
  const bool kept = outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kFull;
  if (same_life && kept && proxy.idle[attempt.converter] < 16) ++proxy.idle[attempt.converter];
  if (same_life && members_) {
    const Converter& converter = *converters_[attempt.converter];
    const bool heard = outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kFull;
    members_->Ended(now, index, id, traces_.at(trace).request_class, outcome, now - send.at,
                    traces_.at(trace).work,
                    heard ? static_cast<double>(converter.running()) / model_.converter.slots : -1);
  }
  if (!attempt.at_converter) Forget(id);
  if (same_life) {
    proxy.newest.erase(send.request);
    proxy.core->Ended(now, send, outcome, &proxy.actions);
    Carry(now, index);
  }
  Release(trace);
}

// ---- network and discovery ------------------------------------------------------------------------------

bool World::Cut(int from_zone, int to_zone) const {
  return from_zone != to_zone &&
         (cut_out_[static_cast<std::size_t>(from_zone)] || cut_in_[static_cast<std::size_t>(to_zone)]);
}

double World::Between(int zone, int other) {
  return Latency() + (model_.RegionOf(zone) != model_.RegionOf(other) ? model_.far.count() : 0);
}

// Warm converters' worth in each zone, as discovery has it.
std::vector<double> World::Warm(TimePoint now) const {
  std::vector<double> warm(static_cast<std::size_t>(model_.zones));
  for (std::size_t i = 0; i < listed_.size(); ++i) {
    if (listed_[i].state == ServerState::kReady)
      warm[static_cast<std::size_t>(listed_[i].zone)] += converters_[i]->WarmShare(now);
  }
  return warm;
}

double World::Latency() { return model_.network.latency.Draw(network_); }

void World::List(TimePoint now, std::size_t converter, ServerState state) {
  ServerEntry& entry = listed_[converter];
  entry.state = state;
  entry.up_since = converters_[converter]->up_since();
  changes_.push_back(entry);
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    if (!proxies_[i].alive()) continue;
    if (stale_lists_) {
      held_back_.emplace_back(i, changes_.size() - 1);
      continue;
    }
    proxies_[i].told_until =
        std::max(proxies_[i].told_until, now + Duration(model_.network.lag.Draw(lists_)));
    queue_.At(proxies_[i].told_until, this, kTold, i, changes_.size() - 1);
  }
}

void World::Tell(TimePoint now, std::size_t index, std::uint64_t change) {
  Proxy& proxy = proxies_[index];
  if (!proxy.alive()) return;
  const ServerEntry& entry = changes_[change];
  if (entry.state == ServerState::kReady) {
    proxy.told_off.erase(entry.server);
  } else {
    proxy.told_off.emplace(entry.server, now);
    proxy.idle[entry.server - 1] = 0;
  }
  if (members_) members_->Listed(index, Warm(now));
  proxy.core->List(now, {ListKind::kDelta, {entry}}, &proxy.actions);
  Carry(now, index);
}

void World::Kill(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (!proxy.alive()) return;
  ++proxy.life;
  proxy.core.reset();
  proxy.actions.clear();
  proxy.traces.clear();
  proxy.newest.clear();
  proxy.wake.reset();
  if (members_) members_->Stop(index);
  queue_.At(now + model_.network.front_notices, this, kNoticed, index);
}

void World::Revive(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (proxy.alive()) return;
  ++proxy.life;
  proxy.core =
      factory_(model_.SettingsOf(static_cast<int>(index)), seed_ * 1000003 + index * 101 + proxy.life);
  proxy.told_off.clear();
  proxy.idle.assign(converters_.size(), 0);
  proxy.told_until = now;
  ListUpdate list{ListKind::kFull, {}};
  for (const ServerEntry& entry : listed_) {
    if (entry.state != ServerState::kGone) list.entries.push_back(entry);
    if (entry.state != ServerState::kReady) proxy.told_off.emplace(entry.server, now);
  }
  proxy.core->List(now, std::move(list), &proxy.actions);
  Carry(now, index);
  if (members_) {
    members_->Listed(index, Warm(now));
    members_->Start(now, index);
  }
  if (now == At(0)) {
    fronts_[static_cast<std::size_t>(proxy.zone)].push_back(static_cast<std::uint32_t>(index));
  } else {
    queue_.At(now, this, kNoticed, index);
  }
}

void World::Happen(TimePoint now, const Happening& what) {
  using Kind = Happening::Kind;
  if (what.kind == Kind::kLoad) {
    load_ = what.value;
    return;
  }
  if (what.kind == Kind::kCut || what.kind == Kind::kHeal) {
    for (std::size_t zone = 0; zone < cut_in_.size(); ++zone) {
      if (what.zone >= 0 && zone != static_cast<std::size_t>(what.zone)) continue;
      const bool cut = what.kind == Kind::kCut;
      if (!cut || what.way != Happening::Way::kOut) cut_in_[zone] = cut;
      if (!cut || what.way != Happening::Way::kIn) cut_out_[zone] = cut;
    }
    return;
  }
  if (what.kind == Kind::kEtcdDown || what.kind == Kind::kEtcdUp) {
    if (members_) members_->EtcdDown(what.kind == Kind::kEtcdDown);
    return;
  }
  if (what.kind == Kind::kEvacuate || what.kind == Kind::kReadmit) {
    for (int zone = 0; members_ && zone < model_.zones; ++zone) {
      if (what.zone < 0 || zone == what.zone) members_->Order(zone, what.kind == Kind::kEvacuate);
    }
    return;
  }
  if (what.kind == Kind::kStaleLists || what.kind == Kind::kFreshLists) {
    stale_lists_ = what.kind == Kind::kStaleLists;
    if (!stale_lists_) {
      for (const auto& [proxy, change] : std::exchange(held_back_, {}))
        queue_.At(now, this, kTold, proxy, change);
    }
    return;
  }
  // A share, evenly spread over those of the zone: each whose running sum passes a whole number.
  const bool of_proxies = what.kind == Kind::kKill || what.kind == Kind::kRevive;
  const std::size_t all = of_proxies ? proxies_.size() : converters_.size();
  double sum = 0;
  for (std::size_t i = 0; i < all; ++i) {
    const int zone = of_proxies ? proxies_[i].zone : listed_[i].zone;
    if (what.zone >= 0 && zone != what.zone) continue;
    sum += what.share;
    if (sum < 1 - 1e-9) continue;
    sum -= 1;
    switch (what.kind) {
      case Kind::kDrain:
        if (listed_[i].state == ServerState::kReady) List(now, i, ServerState::kDraining);
        break;
      case Kind::kStop:
        converters_[i]->Die(now);
        for (Proxy& proxy : proxies_) proxy.idle[i] = 0;
        if (listed_[i].state != ServerState::kGone) List(now, i, ServerState::kGone);
        break;
      case Kind::kStart:
        converters_[i]->Die(now);
        for (Proxy& proxy : proxies_) proxy.idle[i] = 0;
        converters_[i]->Start(now);
        List(now, i, ServerState::kReady);
        break;
      case Kind::kSlow:
        converters_[i]->Slow(what.value);
        break;
      case Kind::kWrong:
        converters_[i]->Wrong(what.value);
        break;
      case Kind::kPause:
        converters_[i]->Pause(now + Duration(what.value));
        break;
      case Kind::kKill:
        Kill(now, i);
        break;
      case Kind::kRevive:
        Revive(now, i);
        break;
      default:
        break;
    }
  }
}

void World::Forget(std::uint64_t id) {
  const auto found = attempts_.find(id);
  --traces_.at(found->second.trace).records;
  attempts_.erase(found);
}

// Once nothing of it is under way: no client waits, no attempt is out, and none that was given up runs still.
void World::Release(std::uint64_t id) {
  const auto found = traces_.find(id);
  if (found != traces_.end() && found->second.closed && found->second.records == 0) traces_.erase(found);
}

void World::Digest(std::uint64_t word) {
  // FNV-1a over words.
  result_.digest = (result_.digest ^ word) * 0x100000001b3ull;
}

}  // namespace badgerbridge::lab
