// SPDX-License-Identifier: Apache-2.0
#include "agent/orders.h"

#include <algorithm>
#include <csignal>

namespace badgerbridge::agent {
namespace {

constexpr Time kCallRetry{250};
// Beyond the deadline of an order with force_after: for what may follow a SIGTERM at the deadline, and to see
// the end of one that was killed.
constexpr Time kForceGrace = kAnswerTime + Time(1000);

std::string Seconds(Time time) {
  const auto tenths = (time.count() + 50) / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

std::vector<Step> StepsOf(const Order& order, const std::string& instance) {
  switch (order.verb) {
    case Verb::kStart:
      return {Step::kSpawn, Step::kCallUndrain, Step::kAwaitReady};
    case Verb::kStop:
      return {Step::kTerminate};
    case Verb::kDrain:
      return {Step::kCallDrain, Step::kAwaitDrained};
    case Verb::kUndrain:
      return {Step::kCallUndrain, Step::kAwaitReady};
    case Verb::kReload:
      return {Step::kNoteReloads, Step::kHangUp, Step::kAwaitReloaded};
    case Verb::kRestart:
      return {Step::kCallDrain, Step::kAwaitDrained, Step::kTerminate, Step::kSpawn, Step::kAwaitReady};
    case Verb::kApply:
      break;
  }
  const auto definition = order.definitions.find(instance);
  if (definition == order.definitions.end() || definition->second.empty())
    return {Step::kCallDrain, Step::kAwaitDrained, Step::kTerminate, Step::kForget};
  return {Step::kCallDrain, Step::kAwaitDrained, Step::kTerminate,
          Step::kDefine,    Step::kSpawn,        Step::kAwaitReady};
}

// The order is about to end the process anyway: one that is not there, or won't drain, is no obstacle.
bool EndsProcess(const Part& part) {
  return std::find(part.steps.begin(), part.steps.end(), Step::kTerminate) != part.steps.end();
}

std::string_view DoneText(Verb verb) {
  constexpr std::string_view kTexts[] = {"ready",    "stopped",          "drained",       "takes work",
                                         "reloaded", "restarted, ready", "applied, ready"};
  return kTexts[static_cast<int>(verb)];
}

bool GoodId(const std::string& id) {
  return !id.empty() && id.size() <= kMostId && std::all_of(id.begin(), id.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
}

}  // namespace

std::string_view Name(Verb verb) {
  constexpr std::string_view kNames[] = {"start", "stop", "drain", "undrain", "reload", "restart", "apply"};
  return kNames[static_cast<int>(verb)];
}

std::optional<Verb> ParseVerb(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(Verb::kApply); ++i) {
    if (name == Name(static_cast<Verb>(i))) return static_cast<Verb>(i);
  }
  return std::nullopt;
}

std::string_view Name(Result result) {
  constexpr std::string_view kNames[] = {"waiting", "running", "done", "failed", "superseded", "not begun"};
  return kNames[static_cast<int>(result)];
}

bool Fleet::Add(const std::string& name, const std::string& definition, bool wanted) {
  if (instances_.size() >= kMostInstances || instances_.count(name)) return false;
  Instance& instance = instances_[name];
  instance.name = name;
  instance.definition = definition;
  instance.wanted = wanted;
  changed_instances_.insert(name);
  return true;
}

Instance* Fleet::Find(const std::string& name) {
  const auto found = instances_.find(name);
  return found == instances_.end() ? nullptr : &found->second;
}

const OrderState* Fleet::FindOrder(const std::string& id) const {
  const auto found =
      std::find_if(orders_.rbegin(), orders_.rend(), [&](const OrderState& o) { return o.order.id == id; });
  return found == orders_.rend() ? nullptr : &*found;
}

OrderState* Fleet::Open(const std::string& id) {
  auto* order = const_cast<OrderState*>(FindOrder(id));
  return order && !order->ended ? order : nullptr;
}

Part* Fleet::Running(const std::string& instance, OrderState** of) {
  for (OrderState& order : orders_) {
    if (order.ended) continue;
    for (Part& part : order.parts) {
      if (part.instance != instance || part.result != Result::kRunning) continue;
      if (of) *of = &order;
      return &part;
    }
  }
  return nullptr;
}

const Part* Fleet::Running(const std::string& instance) const {
  return const_cast<Fleet*>(this)->Running(instance);
}

Verdict Fleet::Judge(const Order& order) const {
  using Kind = Verdict::Kind;
  if (!GoodId(order.id)) return {Kind::kBad, "an order's id is 1 to 64 letters, digits, '-', '_' or '.'", ""};
  if (FindOrder(order.id)) return {Kind::kKnown, "this order is known; it is carried out once", order.id};
  if (order.instances.empty()) return {Kind::kBad, "the order names no instance", ""};
  if (order.instances.size() > kMostInstances) return {Kind::kBad, "the order names too many instances", ""};
  if (order.deadline <= Time(0) || order.deadline > kMostDeadline)
    return {Kind::kBad, "the deadline is not between 1 ms and an hour", ""};
  if (order.force_after && (*order.force_after < Time(0) || *order.force_after > order.deadline))
    return {Kind::kBad, "force_after is later than the deadline; nothing would come of it", ""};
  if (order.force_after && order.verb != Verb::kStop && order.verb != Verb::kRestart &&
      order.verb != Verb::kApply)
    return {Kind::kBad, "force_after is for orders that end a process: stop, restart, apply", ""};
  const std::set<std::string> unique(order.instances.begin(), order.instances.end());
  if (unique.size() != order.instances.size()) return {Kind::kBad, "the order names an instance twice", ""};
  std::size_t fresh = 0;
  for (const std::string& name : order.instances) {
    if (instances_.count(name)) continue;
    const auto definition = order.definitions.find(name);
    if (order.verb != Verb::kApply || definition == order.definitions.end() || definition->second.empty())
      return {Kind::kUnknownInstance, "there is no instance " + name, ""};
    ++fresh;
  }
  if (instances_.size() + fresh > kMostInstances)
    return {Kind::kBad, "there would be more than " + std::to_string(kMostInstances) + " instances", ""};
  // What is open and in the way first: that is what its author must know.
  for (const OrderState& open : orders_) {
    if (open.ended) continue;
    for (const Part& part : open.parts) {
      if (Final(part.result) || !unique.count(part.instance)) continue;
      if (order.supersede) {
        // Two that both wait to take over would have no order between them.
        if (open.superseded_by.empty() || part.result == Result::kWaiting) continue;
      }
      const std::string holder = std::string(Name(open.order.verb)) + " (order " + open.order.id +
                                 ", generation " + std::to_string(open.generation) + ") by " + open.order.who;
      if (order.supersede)
        return {Kind::kConflict,
                part.instance + " is still held by " + holder + ", which order " + open.superseded_by +
                    " has superseded, " + Doing(open, part) + "; repeat this order once that has ended",
                open.order.id};
      return {Kind::kConflict,
              part.instance + " is held by " + holder + ", " + Doing(open, part) +
                  "; wait for it (badgerbridge-ctl orders " + open.order.id +
                  "), or take over with --supersede",
              open.order.id};
    }
  }
  if (order.against > generation_)
    return {Kind::kStale,
            "the order was written against generation " + std::to_string(order.against) +
                ", and this fleet is at " + std::to_string(generation_) +
                ": it is for another fleet, or for one that was restored",
            ""};
  if (order.against != 0 && !order.supersede) {
    for (const std::string& name : order.instances) {
      const auto found = instances_.find(name);
      if (found == instances_.end() || found->second.changed <= order.against) continue;
      const OrderState* by = FindOrder(found->second.changed_by);
      std::string text = name + " was changed at generation " + std::to_string(found->second.changed);
      if (by)
        text +=
            " by " + std::string(Name(by->order.verb)) + " (order " + by->order.id + ") of " + by->order.who;
      return {Kind::kStale,
              text + "; the order was written against generation " + std::to_string(order.against) +
                  ": look at it again (badgerbridge-ctl status), then repeat the order",
              found->second.changed_by};
    }
  }
  const auto open =
      std::count_if(orders_.begin(), orders_.end(), [](const OrderState& o) { return !o.ended; });
  if (open >= static_cast<std::ptrdiff_t>(kMostOrders / 2))
    return {Kind::kConflict, "too many orders are open; wait for some of them", ""};
  return {};
}

Verdict Fleet::Submit(Time now, std::int64_t unix_ms, const Order& order, std::vector<Action>* actions) {
  Verdict verdict = Judge(order);
  if (verdict.kind != Verdict::Kind::kAccepted) return verdict;
  ++generation_;
  if (order.supersede) {
    for (OrderState& open : orders_) {
      if (open.ended || !open.superseded_by.empty()) continue;
      const bool shared = std::any_of(open.parts.begin(), open.parts.end(), [&](const Part& part) {
        return !Final(part.result) && std::find(order.instances.begin(), order.instances.end(),
                                                part.instance) != order.instances.end();
      });
      if (!shared) continue;
      open.superseded_by = order.id;
      changed_orders_.insert(open.order.id);
    }
  }
  OrderState state;
  state.order = order;
  state.order.instances.shrink_to_fit();
  state.generation = generation_;
  state.accepted_unix_ms = unix_ms;
  state.accepted = now;
  for (const std::string& name : order.instances) {
    if (!instances_.count(name)) Add(name, "", false);
    Instance& instance = instances_[name];
    instance.changed = generation_;
    instance.changed_by = order.id;
    changed_instances_.insert(name);
    Part part;
    part.instance = name;
    part.steps = StepsOf(order, name);
    state.parts.push_back(std::move(part));
  }
  orders_.push_back(std::move(state));
  changed_orders_.insert(order.id);
  Forget();
  Advance(now, actions);
  return verdict;
}

// The oldest that have ended leave.
void Fleet::Forget() {
  for (auto at = orders_.begin(); orders_.size() > kMostOrders && at != orders_.end();) {
    at = at->ended ? orders_.erase(at) : std::next(at);
  }
}

void Fleet::Handle(Time now, const Event& event, std::vector<Action>* actions) {
  std::visit([&](const auto& e) { On(now, e); }, event);
  Advance(now, actions);
}

void Fleet::On(Time now, const Spawned& e) {
  Instance* instance = Find(e.instance);
  if (!instance || !instance->spawning) return;
  instance->spawning = false;
  if (e.pid == 0) return Died(now, *instance, e.error);
  instance->pid = e.pid;
  instance->spawned_at = now;
  instance->terminated_at.reset();
  instance->seen.reset();
  instance->silent.clear();
}

void Fleet::On(Time now, const Adopted& e) {
  Instance* instance = Find(e.instance);
  if (!instance) return;
  instance->spawning = false;
  instance->pid = e.pid;
  instance->spawned_at = now;
  instance->terminated_at.reset();
  instance->seen.reset();
}

void Fleet::On(Time now, const Exited& e) {
  Instance* instance = Find(e.instance);
  if (!instance || instance->pid == 0) return;
  instance->pid = 0;  // a call that is out ends by itself, with its CallEnded
  instance->seen.reset();
  instance->silent.clear();
  Died(now, *instance, e.how);
}

void Fleet::Died(Time now, Instance& instance, std::string how) {
  instance.last_end = std::move(how);
  changed_instances_.insert(instance.name);
  if (!instance.wanted) return;
  const bool at_once = now - instance.spawned_at < supervision_.short_life || instance.spawned_at == Time(0);
  instance.deaths = at_once ? instance.deaths + 1 : 1;
  if (instance.deaths >= supervision_.most_deaths) {
    instance.gave_up = "given up after " + std::to_string(instance.deaths) +
                       " deaths in a row, each within " + Seconds(supervision_.short_life) +
                       " of its start; the last time it " + instance.last_end;
    return;
  }
  Time backoff = supervision_.first_backoff;
  for (int i = 1; i < instance.deaths && backoff < supervision_.most_backoff; ++i) backoff *= 2;
  backoff = std::min(backoff, supervision_.most_backoff);
  // Jitter on the upper half: instances that died together must not come back together.
  const auto half = static_cast<std::uint64_t>(backoff.count() / 2);
  instance.spawn_after = now + Time(static_cast<std::int64_t>(half + random_() % (half + 1)));
}

void Fleet::On(Time, const Observed& e) {
  Instance* instance = Find(e.instance);
  if (!instance || instance->pid == 0) return;
  instance->seen = e.observation;
  instance->seen_at = e.asked;
  instance->silent.clear();
  if (e.observation.state == "ready" && e.asked - instance->spawned_at >= supervision_.short_life)
    instance->deaths = 0;
}

void Fleet::On(Time now, const Silent& e) {
  Instance* instance = Find(e.instance);
  if (!instance || instance->pid == 0) return;
  if (instance->silent.empty()) instance->silent_since = now;
  instance->silent = e.why.empty() ? "no answer" : e.why;
}

void Fleet::On(Time now, const CallEnded& e) {
  Instance* instance = Find(e.instance);
  if (!instance || !instance->calling) return;
  instance->calling = false;
  instance->call_after = now + kCallRetry;
  OrderState* order = nullptr;
  Part* part = Running(e.instance, &order);
  if (!part || !part->issued) return;
  const Step step = part->steps[part->at];
  if (step != Step::kCallDrain && step != Step::kCallUndrain) return;
  if (e.error.empty()) {
    instance->wanted_drained = step == Step::kCallDrain && !EndsProcess(*part);
    ++part->at;
    part->issued = false;
    part->step_began = now;
    part->last_try.clear();
    changed_orders_.insert(order->order.id);
    changed_instances_.insert(instance->name);
  } else {
    part->issued = false;
    part->retry_at = now + kCallRetry;
    part->last_try = e.error;
  }
}

void Fleet::Finish(Time now, OrderState& order, Part& part, Result result, std::string text) {
  part.result = result;
  part.ended = now;
  part.text = std::move(text);
  part.last_try.clear();
  changed_orders_.insert(order.order.id);
  if (result == Result::kFailed && order.order.at_most > 0 && !order.halted) order.halted = true;
}

// Between two steps, and in those that only wait: what is out (a call, a start, a signal to end) ends first.
bool Fleet::MayHandOver(const Part& part) const {
  if (part.at >= part.steps.size()) return true;
  const auto found = instances_.find(part.instance);
  if (found == instances_.end()) return true;
  const Instance& instance = found->second;
  switch (part.steps[part.at]) {
    case Step::kSpawn:
      return !instance.spawning;
    case Step::kCallDrain:
    case Step::kCallUndrain:
      return !instance.calling;
    case Step::kTerminate:
      return !part.issued || instance.pid == 0;
    case Step::kDefine:
    case Step::kForget:
      return true;
    default:
      return true;
  }
}

void Fleet::Advance(Time now, std::vector<Action>* actions) {
  for (OrderState& order : orders_) {
    if (!order.ended) AdvanceOrder(now, order, actions);
  }
  for (auto& [name, instance] : instances_) Supervise(now, instance, actions);
}

void Fleet::AdvanceOrder(Time now, OrderState& order, std::vector<Action>* actions) {
  unsigned running = 0;
  for (Part& part : order.parts) {
    if (part.result != Result::kRunning) continue;
    const OrderState* successor = order.superseded_by.empty() ? nullptr : FindOrder(order.superseded_by);
    const bool taken_over =
        successor && std::any_of(successor->parts.begin(), successor->parts.end(),
                                 [&](const Part& other) { return other.instance == part.instance; });
    while (part.result == Result::kRunning) {
      if (taken_over && MayHandOver(part)) {
        Finish(now, order, part, Result::kSuperseded,
               "superseded by order " + order.superseded_by + " while " + Doing(order, part));
        break;
      }
      if (!Work(now, order, part, actions)) break;
    }
    running += part.result == Result::kRunning;
  }
  for (Part& part : order.parts) {
    if (part.result != Result::kWaiting) continue;
    if (!order.superseded_by.empty()) {
      Finish(now, order, part, Result::kSuperseded, "not begun: superseded by order " + order.superseded_by);
      continue;
    }
    if (order.halted) {
      const auto failed = std::find_if(order.parts.begin(), order.parts.end(),
                                       [](const Part& other) { return other.result == Result::kFailed; });
      Finish(now, order, part, Result::kNotBegun,
             "not begun: the order halted" +
                 (failed == order.parts.end() ? std::string() : " when " + failed->instance + " failed"));
      continue;
    }
    if (order.order.at_most > 0 && running >= order.order.at_most) continue;
    if (Running(part.instance)) continue;  // being handed over
    part.result = Result::kRunning;
    part.began = part.step_began = now;
    changed_orders_.insert(order.order.id);
    while (part.result == Result::kRunning && Work(now, order, part, actions)) {
    }
    running += part.result == Result::kRunning;
  }
  order.ended =
      std::all_of(order.parts.begin(), order.parts.end(), [](const Part& p) { return Final(p.result); });
  if (order.ended) changed_orders_.insert(order.order.id);
}

void Fleet::StartProcess(Instance& instance, std::vector<Action>* actions) {
  instance.spawning = true;
  actions->push_back(Spawn{instance.name, instance.definition});
}

bool Fleet::Work(Time now, OrderState& order, Part& part, std::vector<Action>* actions) {
  if (part.at >= part.steps.size()) {
    const std::string done(DoneText(order.order.verb));
    Finish(now, order, part, Result::kDone, part.text.empty() ? done : done + "; " + part.text);
    return false;
  }
  if (!instances_.count(part.instance)) {
    const auto definition = order.order.definitions.find(part.instance);
    if (order.order.verb == Verb::kApply && definition != order.order.definitions.end() &&
        definition->second.empty()) {
      Finish(now, order, part, Result::kDone, "was removed already");
      return false;
    }
    if (order.order.verb != Verb::kApply || !Add(part.instance, "", false)) {
      Finish(now, order, part, Result::kFailed, "there is no such instance any more");
      return false;
    }
  }
  Instance& instance = instances_.at(part.instance);
  const Step step = part.steps[part.at];
  const bool runs = instance.pid != 0;
  const auto next = [&] {
    ++part.at;
    part.step_began = now;
    part.issued = false;
    part.retry_at = Time(0);
    part.last_try.clear();
    changed_orders_.insert(order.order.id);
    return true;
  };
  const auto fail = [&](std::string why) {
    Finish(now, order, part, Result::kFailed, std::move(why));
    return false;
  };
  const auto fresh = [&] { return instance.seen && instance.seen_at > part.step_began; };

  const bool before_end = EndsProcess(part) && step != Step::kSpawn && step != Step::kAwaitReady &&
                          step != Step::kDefine && step != Step::kForget;
  const bool may_force = order.order.force_after && before_end && runs && !part.forced;
  if (may_force && now - part.began >= *order.order.force_after) {
    if (step != Step::kTerminate) {
      part.at = static_cast<std::size_t>(std::find(part.steps.begin(), part.steps.end(), Step::kTerminate) -
                                         part.steps.begin());
      part.issued = false;
      part.step_began = now;
      part.last_try.clear();
      changed_orders_.insert(order.order.id);
      return true;
    }
    if (instance.terminated_at && now - *instance.terminated_at >= kAnswerTime) {
      part.forced = part.issued = true;
      part.text = "killed after " + Seconds(now - part.began) + ", as force_after said";
      changed_orders_.insert(order.order.id);
      actions->push_back(Signal{instance.name, SIGKILL});
      return false;
    }
  }

  const Time grace = may_force || part.forced ? kForceGrace : Time(0);
  if (now - part.began >= order.order.deadline + grace && (MayHandOver(part) || step == Step::kTerminate)) {
    std::string why = "not in time: " + Doing(order, part) + " for " + Seconds(now - part.step_began);
    // A change that got no further than the drain leaves the instance as it was.
    if (before_end && step != Step::kTerminate && runs) {
      if (instance.wanted_drained) return fail(why + "; it goes on draining, as it was told before");
      if (!instance.calling) {
        instance.calling = true;
        actions->push_back(Call{instance.name, false, Time(0)});
      }
      return fail(why + "; taken back, it runs as before");
    }
    if (step == Step::kAwaitDrained) why += "; it goes on draining";
    return fail(why);
  }

  switch (step) {
    case Step::kSpawn:
      if (!part.issued) {
        part.issued = true;
        instance.wanted = true;
        instance.wanted_drained = false;
        instance.deaths = 0;
        instance.gave_up.clear();
        instance.spawn_after = Time(0);
        changed_instances_.insert(instance.name);
        if (runs && part.at == 0) part.text = "ran already";
      }
      if (runs) return next();
      if (!instance.gave_up.empty()) return fail(instance.gave_up);
      return false;  // the supervision starts it
    case Step::kAwaitReady:
      if (!instance.gave_up.empty()) return fail(instance.gave_up);
      if (order.order.verb == Verb::kUndrain && !runs) return fail("does not run; " + instance.last_end);
      if (!fresh() || instance.seen->state != "ready") return false;
      return next();
    case Step::kCallDrain:
    case Step::kCallUndrain:
      // What this order has just started takes work by itself.
      if (order.order.verb == Verb::kStart && runs && instance.spawned_at >= part.began) return next();
      if (!runs) {
        if (EndsProcess(part) || order.order.verb == Verb::kStart) return next();
        return fail("does not run" + (instance.last_end.empty() ? "" : "; it last " + instance.last_end));
      }
      if (part.issued || instance.calling || now < part.retry_at) return false;
      part.issued = true;
      instance.calling = true;
      actions->push_back(Call{instance.name, step == Step::kCallDrain,
                              std::max(Time(0), order.order.deadline - (now - part.began))});
      return false;
    case Step::kAwaitDrained:
      if (!runs) {
        if (EndsProcess(part)) return next();
        return fail("ended while it drained: " + instance.last_end);
      }
      if (!fresh() || instance.seen->state != "drained") return false;
      return next();
    case Step::kTerminate:
      if (instance.wanted || instance.wanted_drained) {
        instance.wanted = instance.wanted_drained = false;
        changed_instances_.insert(instance.name);
      }
      if (instance.spawning) return false;  // first it must be there
      if (!runs) {
        if (!part.issued && part.at == 0 && part.text.empty()) part.text = "did not run";
        return next();
      }
      if (part.issued) return false;
      part.issued = true;
      if (!instance.terminated_at) instance.terminated_at = now;
      actions->push_back(Signal{instance.name, SIGTERM});
      return false;
    case Step::kNoteReloads:
      if (!runs)
        return fail("does not run" + (instance.last_end.empty() ? "" : "; it last " + instance.last_end));
      if (!fresh()) return false;
      part.reloads_applied = instance.seen->reloads_applied;
      part.reloads_refused = instance.seen->reloads_refused;
      return next();
    case Step::kHangUp:
      if (!runs) return fail("ended: " + instance.last_end);
      actions->push_back(Signal{instance.name, SIGHUP});
      return next();
    case Step::kAwaitReloaded:
      if (!runs) return fail("ended while it reloaded: " + instance.last_end);
      if (!fresh()) return false;
      if (instance.seen->reloads_refused > part.reloads_refused)
        return fail("refused the configuration: " + instance.seen->reload_error);
      if (instance.seen->reloads_applied <= part.reloads_applied) return false;
      return next();
    case Step::kDefine:
      instance.definition = order.order.definitions.at(instance.name);
      changed_instances_.insert(instance.name);
      return next();
    case Step::kForget:
      if (instance.calling) return false;
      changed_instances_.insert(instance.name);
      instances_.erase(part.instance);
      ++part.at;
      Finish(now, order, part, Result::kDone, "removed");
      return false;
  }
  return false;
}

// Outside of orders: keeps running what shall run, and drained what shall be drained.
void Fleet::Supervise(Time now, Instance& instance, std::vector<Action>* actions) {
  if (instance.wanted && instance.pid == 0 && !instance.spawning && instance.gave_up.empty() &&
      now >= instance.spawn_after && !instance.definition.empty())
    StartProcess(instance, actions);
  if (instance.wanted_drained && instance.pid != 0 && !instance.calling && now >= instance.call_after &&
      instance.seen && instance.seen->state == "ready" && !Running(instance.name)) {
    instance.calling = true;
    actions->push_back(Call{instance.name, true, Time(0)});
  }
}

std::string Fleet::Doing(const OrderState& order, const Part& part) const {
  if (Final(part.result)) return std::string(Name(part.result));
  if (part.result == Result::kWaiting || part.at >= part.steps.size()) return "waiting for its turn";
  const auto found = instances_.find(part.instance);
  if (found == instances_.end()) return "waiting";
  const Instance& instance = found->second;
  const std::string silent = instance.silent.empty() ? "" : " (" + instance.silent + ")";
  const std::string tried = part.last_try.empty() ? "" : " (" + part.last_try + ")";
  switch (part.steps[part.at]) {
    case Step::kSpawn:
      return instance.last_end.empty() || instance.deaths == 0
                 ? "starting"
                 : "starting again after it " + instance.last_end;
    case Step::kAwaitReady:
      if (instance.pid == 0 && !instance.last_end.empty())
        return "starting again after it " + instance.last_end;
      return "waiting for it to be ready" + silent;
    case Step::kCallDrain:
      return "telling it to drain" + (tried.empty() ? silent : tried);
    case Step::kCallUndrain:
      return "telling it to take work again" + (tried.empty() ? silent : tried);
    case Step::kAwaitDrained:
      return "draining" + (silent.empty() && instance.seen
                               ? " (" + std::to_string(instance.seen->open) + " requests open, " +
                                     std::to_string(instance.seen->connections) + " connections)"
                               : silent);
    case Step::kTerminate:
      return part.forced ? "waiting for its end after SIGKILL" : "waiting for its end after SIGTERM" + silent;
    case Step::kNoteReloads:
      return "asking how often it has reloaded" + silent;
    case Step::kHangUp:
    case Step::kAwaitReloaded:
      return "waiting for it to reload" + silent;
    case Step::kDefine:
    case Step::kForget:
      break;
  }
  return "changing its definition for order " + order.order.id;
}

std::string_view Fleet::StateOf(const Instance& instance) {
  if (instance.spawning) return "spawning";
  if (instance.pid == 0) {
    if (!instance.gave_up.empty()) return "failed";
    return instance.wanted ? "backoff" : "stopped";
  }
  if (!instance.silent.empty()) return instance.seen ? "silent" : "starting";
  if (!instance.seen) return "starting";
  for (const std::string_view known : {"ready", "draining", "drained", "stopping"}) {
    if (instance.seen->state == known) return known;
  }
  return "starting";
}

bool Fleet::Eager(const std::string& name) const {
  const auto found = instances_.find(name);
  if (found == instances_.end() || found->second.pid == 0) return false;
  const Part* part = Running(name);
  if (!part || part->at >= part->steps.size()) return !found->second.seen && found->second.silent.empty();
  switch (part->steps[part->at]) {
    case Step::kAwaitReady:
    case Step::kAwaitDrained:
    case Step::kNoteReloads:
    case Step::kAwaitReloaded:
      return true;
    default:
      return false;
  }
}

// When the part is forced further, towards SIGTERM or SIGKILL.
std::optional<Time> Fleet::ForceAt(const OrderState& order, const Part& part) const {
  if (!order.order.force_after || part.forced) return std::nullopt;
  const Time at = part.began + *order.order.force_after;
  const auto instance = instances_.find(part.instance);
  if (instance == instances_.end() || !instance->second.terminated_at) return at;
  return std::max(at, *instance->second.terminated_at + kAnswerTime);
}

std::optional<Time> Fleet::NextWake(Time now) const {
  std::optional<Time> first;
  const auto at = [&](Time time) {
    if (!first || time < *first) first = time;
  };
  for (const auto& [name, instance] : instances_) {
    if (instance.wanted && instance.pid == 0 && !instance.spawning && instance.gave_up.empty())
      at(instance.spawn_after);
    if (instance.wanted_drained && instance.pid != 0 && !instance.calling && instance.seen &&
        instance.seen->state == "ready" && instance.call_after > now)
      at(instance.call_after);
  }
  for (const OrderState& order : orders_) {
    if (order.ended) continue;
    for (const Part& part : order.parts) {
      if (part.result != Result::kRunning) continue;
      const Time due = part.began + order.order.deadline;
      if (due > now) at(due);
      if (order.order.force_after && due + kForceGrace > now) at(due + kForceGrace);
      if (const auto force = ForceAt(order, part); force && *force > now) at(*force);
      if (part.retry_at > now) at(part.retry_at);
    }
  }
  return first;
}

}  // namespace badgerbridge::agent
