// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/verdict.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "simulator/slow_start_checker.h"

namespace badgerbridge::multiprocess {
namespace {

constexpr std::size_t kMostLines = 25;  // of a kind
// ms for which a proxy that runs may have a request, unread, on a kept connection that it ends: between its
// look at the socket and the end it does next to nothing, but it may wait for a processor.
constexpr double kMostCrossing = 100;
// The same, for the close that it says in its answer to the request before.
constexpr double kMostBehind = 30;
constexpr double kAfterDeparture = 100;  // ms after its client has closed, until an attempt begins
constexpr double kDeadlineSlack = 150;   // ms that a backend may be told beyond what the client has left
// From a proxy's look (at the clock, at the client's connection) to its write it does little, but it may wait
// for a processor. It tells a little less than is left, and takes a request's time from the last bytes that
// it finds, so from those of the next request where that came some ms later.
constexpr double kMostSending = 20, kMostMargin = 15, kMostApart = 40;  // ms
constexpr double kStopTakesEffect = 5;                                  // ms
// Clients that connect to the proxies wait for what a stop makes late. Where the trial itself was late to end
// one, it lasted longer.
constexpr double kLongestStop = 450;  // ms
constexpr double kMostRaced = 0.05;   // of the stops
constexpr double kRelayLag = 50;      // ms from the relay's accepting to its own connection to the proxy

class Judge_ {
 public:
  Judge_(const Rules& rules, const History& history) : rules_(rules), history_(history) {
    for (const Excuse& excuse : history.excuses) excuses_[excuse.proxy].push_back(excuse);
  }

  Verdict Pass() {
    for (const auto check : {&Judge_::Clients, &Judge_::Crossings, &Judge_::Departures, &Judge_::Deadlines,
                             &Judge_::Races, &Judge_::Effects, &Judge_::Drains, &Judge_::ColdStarts}) {
      BeginLines();
      (this->*check)();
    }
    BeginLines();
    verdict_.fell = history_.fell.size();
    for (const std::string& backend : history_.fell) Line(backend + " was pushed over while cold");
    if (history_.wanted != history_.asked.size()) {
      verdict_.unaccounted += history_.wanted > history_.asked.size()
                                  ? history_.wanted - history_.asked.size()
                                  : history_.asked.size() - history_.wanted;
      Line(std::to_string(history_.wanted) + " requests were begun, and " +
           std::to_string(history_.asked.size()) + " accounted for");
    }
    return std::move(verdict_);
  }

 private:
  // Before each check: so many lines of its breaches are kept.
  void BeginLines() { most_lines_ = verdict_.breaches.size() + kMostLines; }
  void Line(std::string text) {
    if (verdict_.breaches.size() < most_lines_) verdict_.breaches.push_back(std::move(text));
  }

  // For people: where a lost request stood on its connection.
  static std::string Place(const Asked& one) {
    if (!one.direct) return "";
    const std::string unread = one.unread > 0 ? ", unread by the proxy" : "";
    if (one.last_answer == 0) return ", on a new connection" + unread;
    if (one.sent >= one.last_answer) return ", at rest for " + Ms(one.sent - one.last_answer) + " ms";
    return ", behind one that was answered " + Ms(one.last_answer - one.sent) + " ms after it was written";
  }

  // Whether a lost request is the trial's doing.
  bool Excused(const Asked& one) const {
    const auto found = excuses_.find(one.proxy);
    if (found == excuses_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const Excuse& e) {
      if (e.from > one.ended || one.sent > e.until) return false;
      switch (e.why) {
        case Excuse::Why::kDown:
          return true;
        case Excuse::Why::kStopped:
          return (!one.direct || e.until - e.from > kLongestStop) && !one.ended_by_peer;
        case Excuse::Why::kStarved:
          return !one.ended_by_peer;
        case Excuse::Why::kDoorClosed:
          return !one.direct && one.sent >= e.from - kRelayLag;
      }
      return false;
    });
  }

  // One that was stopped read what it was told only when it went on. A stop that is shorter than the grace
  // leaves it time for that.
  double Since(const std::string& proxy, double told, double until) const {
    const auto found = excuses_.find(proxy);
    if (found == excuses_.end()) return told;
    double since = told;
    for (const Excuse& e : found->second) {
      if (e.why == Excuse::Why::kStarved) continue;
      if (e.why == Excuse::Why::kStopped && e.until - e.from <= rules_.drain_grace) continue;
      if (e.from <= until && told <= e.until) since = std::max(since, std::min(until, e.until));
    }
    return since;
  }

  // Of the time from `from` to `until`, the part in which the trial's own processes ran and, if one is named,
  // the proxy was not stopped.
  double Running(double from, double until, const std::string& proxy = {}) const {
    std::vector<Lag> pauses;
    const auto add = [&](double begin, double end) {
      if (begin < until && from < end) pauses.push_back({std::max(from, begin), std::min(until, end)});
    };
    for (const Lag& lag : history_.lags) add(lag.from, lag.until);
    if (const auto found = excuses_.find(proxy); found != excuses_.end()) {
      for (const Excuse& e : found->second) {
        if (e.why == Excuse::Why::kStopped) add(e.from, e.until);
      }
    }
    std::sort(pauses.begin(), pauses.end(), [](const Lag& a, const Lag& b) { return a.from < b.from; });
    double running = until - from, covered = from;
    for (const Lag& pause : pauses) {
      running -= std::max(0.0, pause.until - std::max(pause.from, covered));
      covered = std::max(covered, pause.until);
    }
    return running;
  }

  static std::string Name(Excuse::Why why) {
    if (why == Excuse::Why::kStopped) return "stopped ";
    return why == Excuse::Why::kStarved ? "starved " : "down ";
  }

  // For people: when the proxy was stopped round these moments, in ms after the first.
  std::string StopsRound(const std::string& proxy, double from, double until) const {
    constexpr double kRound = 500;
    std::string text;
    if (const auto found = excuses_.find(proxy); found != excuses_.end()) {
      for (const Excuse& e : found->second) {
        if (e.until < from - kRound || e.from > until + kRound) continue;
        text += (text.empty() ? "; " : ", ") + Name(e.why) + Ms(e.from - from) + " to " + Ms(e.until - from);
      }
    }
    return text;
  }

  static std::string Ms(double ms) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", ms);
    return text;
  }

  void Clients() {
    for (const Asked& one : history_.asked) {
      ++verdict_.requests;
      by_id_.emplace(one.id, &one);
      const double worth = rules_.worths[one.request_class];
      const bool first_try = one.id.find('.') == std::string::npos;
      if (first_try && one.end != Asked::End::kLeft) verdict_.worth_asked += worth;
      const bool answered =
          one.end == Asked::End::kServed || one.end == Asked::End::kRefused || one.end == Asked::End::kFailed;
      verdict_.late += answered && one.due >= 0 && one.ended > one.due;
      switch (one.end) {
        case Asked::End::kServed:
          ++verdict_.served;
          verdict_.worth_served += worth * (one.ended - one.sent <= rules_.aims[one.request_class]
                                                ? 1
                                                : rules_.late_worths[one.request_class]);
          break;
        case Asked::End::kRefused:
          ++verdict_.refused;
          break;
        case Asked::End::kFailed:
          ++verdict_.failed;
          break;
        case Asked::End::kUnsent:
          ++verdict_.unsent;
          break;
        case Asked::End::kLeft:
          ++verdict_.left;
          break;
        case Asked::End::kLost:
          JudgeLost(one);
      }
      if (!one.doubled) continue;
      ++verdict_.doubled;
      Line(one.id + " had an answer that is not its own, or more than one, from " + one.proxy);
    }
  }

  void JudgeLost(const Asked& one) {
    if (Excused(one)) {
      ++verdict_.excused;
      return;
    }
    ++verdict_.lost;
    const std::string what = one.ended_by_peer ? " had its connection ended with no answer by "
                                               : " had no answer in its time from ";
    Line(one.id + what + one.proxy + ", " + Ms(one.ended - one.sent) + " ms after its last byte" +
         Place(one) + StopsRound(one.proxy, one.sent, one.ended));
  }

  // What is wrong about a request's being sent once more; nullptr: nothing.
  const char* CrossingFault(const Crossed& one) const {
    if (one.last_answer == 0) return "on a new connection";
    if (one.sent < one.last_answer && Running(one.sent, one.last_answer, one.proxy) > kMostBehind)
      return "while the connection was not at rest";
    if (!one.unread) return "and had been read";
    if (Running(one.sent, one.ended, one.proxy) > kMostCrossing) return "and was there long before";
    return nullptr;
  }

  void Crossings() {
    for (const Crossed& one : history_.crossed) {
      ++verdict_.crossed;
      const char* fault = CrossingFault(one);
      if (!fault) continue;
      ++verdict_.lost;
      Line(one.id + " was sent " + fault + ", and its connection ended with no answer by " + one.proxy +
           ", " + Ms(one.ended - one.sent) + " ms after its last byte" +
           StopsRound(one.proxy, one.sent, one.ended));
    }
  }

  // Attempts that begin once the client has gone away.
  void Departures() {
    if (!rules_.prompt_links) return;
    for (const Came& one : history_.came) {
      const auto asked = by_id_.find(one.id);
      if (asked == by_id_.end()) continue;
      const double closed = asked->second->closed;
      if (closed < 0 || one.at < closed) continue;
      if (Running(closed, one.at) <= kAfterDeparture + rules_.link_delay) continue;
      if (StoppedWhileSending(*asked->second, one, asked->second->sent, closed)) {
        ++verdict_.raced;
        continue;
      }
      ++verdict_.after_departure;
      Line(one.id + " came to " + one.backend + " " + Ms(one.at - closed) +
           " ms after its client had closed, which was " + Ms(closed - asked->second->sent) +
           " ms after its last byte, by " + asked->second->proxy +
           StopsRound(asked->second->proxy, closed, one.at));
    }
  }

  // Whether an attempt that came with the end of a stop was on the point of being sent when that began: the
  // proxy was caught at work, and had looked no sooner than `looked_from` and no later than `looked_until`.
  bool StoppedWhileSending(const Asked& asked, const Came& one, double looked_from,
                           double looked_until) const {
    const auto found = excuses_.find(asked.proxy);
    if (found == excuses_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const Excuse& e) {
      return e.why == Excuse::Why::kStopped && e.at_work && asked.sent <= e.from + kStopTakesEffect &&
             std::abs(one.at - e.until) <= kMostSending && looked_from <= e.from + kStopTakesEffect &&
             looked_until >= e.from - kMostSending;
    });
  }

  // What backends are told of the time that is left, against what the client has left.
  void Deadlines() {
    if (!rules_.prompt_links) return;
    for (const Came& one : history_.came) {
      const auto asked = by_id_.find(one.id);
      if (asked == by_id_.end() || asked->second->due < 0 || one.time_left < 0) continue;
      const double left = asked->second->due - one.at;
      const double under_way = one.at - asked->second->sent;
      const double held_up = under_way - Running(asked->second->sent, one.at);
      if (one.time_left <= left + held_up + kDeadlineSlack + rules_.link_delay) continue;
      const double looked = asked->second->due - one.time_left;  // it told what was left then
      if (StoppedWhileSending(*asked->second, one, looked - kMostMargin, looked + kMostApart)) {
        ++verdict_.raced;
        continue;
      }
      ++verdict_.too_long;
      Line(one.id + " came to " + one.backend + " with " + Ms(one.time_left) + " ms left, its client had " +
           Ms(left) + ", " + Ms(under_way) + " ms after its last byte, by " + asked->second->proxy +
           StopsRound(asked->second->proxy, asked->second->sent, one.at));
    }
  }

  // A proxy is rarely caught between a look and a write, or too much time passes there.
  void Races() {
    const auto stops = std::count_if(history_.excuses.begin(), history_.excuses.end(),
                                     [](const Excuse& e) { return e.why == Excuse::Why::kStopped; });
    if (static_cast<double>(verdict_.raced) <= std::max(1.0, kMostRaced * static_cast<double>(stops))) return;
    verdict_.over_raced = verdict_.raced;
    Line(std::to_string(verdict_.raced) + " attempts were overtaken by " + std::to_string(stops) +
         " stops: too much time passes between a look and the write");
  }

  void Effects() {
    struct Ran {
      int effects = 0;
      std::set<std::string> groups;
    };
    std::map<std::string, Ran> ran;  // by key, or by id
    for (const Came& one : history_.came) {
      if (!one.took_effect) continue;
      Ran& r = ran[one.key.empty() ? one.id : "key " + one.key];
      ++r.effects;
      r.groups.insert(one.group);
      const auto asked = by_id_.find(one.id);
      if (asked == by_id_.end()) {
        ++verdict_.unaccounted;
        Line(one.id + " ran at " + one.backend + ", and no client asked for it");
        continue;
      }
      const Idempotency effect = rules_.effects[asked->second->request_class];
      if (effect != Idempotency::kIdempotent && r.effects > 1) {
        ++verdict_.twice;
        Line(one.id + " took effect a second time, at " + one.backend);
      }
      if (effect == Idempotency::kNotIdempotent && asked->second->end == Asked::End::kRefused) {
        ++verdict_.twice;
        Line(one.id + " was refused by " + asked->second->proxy + ", and ran at " + one.backend);
      }
    }
  }

  // What all proxies together sent a cold backend, in every window that ends with a call: by the number of
  // calls, and by their work over the mean.
  void ColdStarts() {
    if (!rules_.cold_budget) return;
    std::map<std::string, std::vector<const Came*>> came;
    for (const Came& one : history_.came) came[one.backend].push_back(&one);
    for (auto& [backend, all] : came)
      std::stable_sort(all.begin(), all.end(), [](const Came* a, const Came* b) { return a->at < b->at; });
    for (const Started& start : history_.started) {
      ++verdict_.cold_starts;
      double worst = 0, work = 0;
      const std::vector<const Came*>& all = came[start.backend];
      std::size_t first = 0;
      for (std::size_t i = 0; i < all.size(); ++i) {
        const double age = all[i]->at - start.at;
        work += WorkInMeans(*all[i]);
        while (all[first]->at < std::min(all[i]->at, std::max(start.at, all[i]->at - rules_.window)))
          work -= WorkInMeans(*all[first++]);
        if (age < 0 || age > rules_.slow_start_window) continue;
        const double calls = static_cast<double>(i - first + 1);
        worst = std::max(worst, std::max(calls, work) / simulator::MaxCalls(rules_.cold_budget(age)));
      }
      verdict_.worst_cold = std::max(verdict_.worst_cold, worst);
      if (worst <= 1) continue;
      ++verdict_.over_cold;
      Line(start.backend + " was sent " + std::to_string(worst) + " of its cold budget and chance");
    }
  }
  double WorkInMeans(const Came& one) const { return one.work > 0 ? one.work / rules_.mean_work : 1; }

  void Drains() {
    // Of each pair, what was told in the order in which it was told.
    std::map<std::pair<std::string, std::string>, std::vector<const Told*>> told;
    for (const Told& one : history_.told) told[{one.proxy, one.backend}].push_back(&one);
    for (auto& [pair, all] : told)
      std::stable_sort(all.begin(), all.end(), [](const Told* a, const Told* b) { return a->at < b->at; });
    for (const Came& one : history_.came) {
      const auto asked = by_id_.find(one.id);
      if (asked == by_id_.end()) continue;
      const auto found = told.find({asked->second->proxy, one.backend});
      if (found == told.end()) continue;
      const Told* off = nullptr;  // since when it was off when this came
      for (const Told* word : found->second) {
        if (word->at > one.at) break;
        if (word->ready) {
          off = nullptr;
        } else if (!off) {
          off = word;
        }
      }
      const double allowed = rules_.drain_grace + rules_.slack;
      if (!off || one.at - Since(asked->second->proxy, off->at, one.at) <= allowed) continue;
      ++verdict_.late_sends;
      Line(one.id + " came to " + one.backend + " " + std::to_string(static_cast<int>(one.at - off->at)) +
           " ms after " + asked->second->proxy + " was told that it takes no more");
    }
  }

  const Rules& rules_;
  const History& history_;
  std::map<std::string, std::vector<Excuse>> excuses_;
  std::unordered_map<std::string, const Asked*> by_id_;
  std::size_t most_lines_ = kMostLines;
  Verdict verdict_;
};

}  // namespace

Verdict Judge(const Rules& rules, const History& history) { return Judge_(rules, history).Pass(); }

}  // namespace badgerbridge::multiprocess
