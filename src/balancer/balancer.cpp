// SPDX-License-Identifier: Apache-2.0
//
// Every decision of balancer. The types, events and actions are in include/badgerbridge/balancer.h.
//
// The ordinary path is gRFC A50 outlier detection (failure percentage) and, among the servers in service, a
// pick of the one with the least hinted work of this proxy's own in flight. Whatever departs from that is
// marked "Exception" with the condition under which it acts; docs/design.md lists them all.
#include "badgerbridge/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace badgerbridge::balancer {
namespace {

// ---- 1. Constants -------------------------------------------------------------------------------------
// Outlier detection, in A50's terms.
constexpr Duration kInterval{2000};          // counts reset: long enough for the volume floor at 2 requests/s
constexpr Duration kBaseEjectionTime{2000};  // first ejection: as long as one interval
constexpr Duration kMaxEjectionTime{16000};  // a recovered server is tried again within this
constexpr int kRequestVolume = 3;           // a proxy sees few requests a server; 3 of 3 failing is no chance
constexpr int kMinimumHosts = 2;            // servers to compare with each other
constexpr double kThreshold = 0.4;          // failure share; well over what noise and overlap produce
constexpr double kMaxEjectionPercent = 50;  // the rest must be able to carry the load
constexpr double kEnforcingPercent = 100;   // every finding is enforced

// The aperture: over how many servers a proxy spreads what it has.
constexpr double kLeastAperture = 6;    // warm servers: two may fail and the rest still carry their share
constexpr double kCrossingWeight = 10;  // mean requests of work that the whole crossing price is worth
constexpr double kColdCaution = 0.55;   // of the fall multiple: the rest is for chance and for late news
constexpr double kColdLeast = 0.25;     // standard cores that a warm server has at the very least
constexpr double kWindowSlack = 1.1;    // rolling window of the cold budget over the rule's, for delays
constexpr Duration kRateMemory{8000};   // averaging of work served by warm servers
constexpr double kRateSamples = 20;     // of nothing, with which that average begins at a proxy that is new
constexpr double kRetryRatio = 0.1;     // repeats a first send earns: bounds a storm to a tenth
constexpr double kRetryBurst = 20;      // repeats in store
constexpr int kFewSamples = 10;         // below, nothing is known of how long a class takes
constexpr double kDeviations = 4;       // time-out: mean + 4 deviations, as RFC 6298
constexpr double kWindowMargin = 0.9;   // of the window in which a keyed repeat is dropped
constexpr double kQueueShare = 0.33;    // of the aim that an attempt may take, in the mean
constexpr double kChance = 1;           // deviations of the number in flight that are no overload
constexpr double kSpare = 2;            // requests more: two that meet by chance are no crowd at any proxy
constexpr double kFewLate = 0.1;       // of the answers, late by themselves: from here on servers are crowded
constexpr Duration kLateMemory{4000};  // and no longer, however few the answers
constexpr double kLateGain = 0.03;     // of one answer: some tens of answers, a few seconds of a small proxy
constexpr double kCrowding = 3;        // and of what a mean request takes at servers that are not crowded
constexpr Duration kGoodMemory{1500};  // averaging of the work answered, for the limit of the whole proxy
constexpr double kLeastPerServer = 1.5;    // in flight at a server, of all proxies, that are always in order
constexpr double kStretchGain = 0.01;      // of a slower answer; a faster one counts ten times as much
constexpr double kSlownessGain = 0.08;     // of one answer
constexpr double kMostSlownessGain = 0.3;  // of one answer that comes alone: three outweigh what was known
constexpr double kMostSlowness = 8;        // one answer counts as no slower than this
constexpr Duration kSlownessMemory{4000};  // what is not confirmed is forgotten
constexpr double kSlownessWeight = 1;      // of the time lost at a slow server, against work in flight
constexpr double kOutlier = 1.5;           // times the median slowness: the server is slow, not the fleet
constexpr Duration kShareBurst{1000};      // of a zone's share that may be used at once
constexpr double kShareKept = 0.5;         // of that, for what is worth more
constexpr double kMostlyWarm = 0.95;       // of the servers' capacity
constexpr double kFewPlaces = 3, kManyPlaces = 6;  // attempts that a proxy may have out, in the mean
constexpr double kSameTime = 0.04;    // part by which times of tries may differ and still be the same
constexpr int kFirmVotes = 10;        // below, nothing is made of it: clients may differ widely
constexpr int kMostVotes = 50;        // for the usual time of a try
constexpr double kWarmWeight = 2;     // of a request's work, at a server that met its key lately
constexpr Duration kKeyMemory{4000};  // how long a key sent to a server is taken to be warm there
constexpr double kRefuseShare =
    0.45;  // of a client's time that it may be held: early enough to try elsewhere
constexpr Duration kSilentPause{1000};   // between requests that try a silent server
constexpr int kMostMisses = 8;           // held requests tried in a row without room for any
constexpr double kMostWork = 1e6;        // ms; a larger hint is taken as this
constexpr Duration kHousekeeping{100};   // rates are sampled this often
constexpr Duration kLogGap{1000};        // log lines of ejections and returns no closer than this
constexpr Duration kLongLogGap{10000};   // others
constexpr Duration kMostAskPause{2000};  // after failed calls: a change must be heard of within 6 s
constexpr Duration kForgetAfter{60000};  // a server gone for this long loses its state
constexpr std::size_t kFewEntries = 32;  // of a list: more are put in order all at once

constexpr TimePoint kNever{Duration(1e300)};

// Deterministic from its seed alone; the standard distributions differ between libraries.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  std::uint64_t Below(std::uint64_t n) { return engine_() % n; }

 private:
  std::mt19937_64 engine_;
};

// Scatters ids: the finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// Mean and mean deviation, exponentially weighted.
struct Spread {
  double mean = 0, deviation = 0;
  int samples = 0;

  void Add(double x) {
    const double gain = std::max(0.02, 1.0 / ++samples);
    if (samples == 1) mean = x, deviation = x / 2;
    deviation += gain * (std::abs(x - mean) - deviation);
    mean += gain * (x - mean);
  }
};

// ---- 2. Outlier detection -----------------------------------------------------------------------------
// gRFC A50, failure percentage, evaluated at each answer as DESIGN states it.
class OutlierDetector {
 public:
  struct Host {
    int successes = 0, failures = 0, multiplier = 0;
    bool ejected = false;
    TimePoint return_at{};
    int attempts() const { return successes + failures; }
  };

  struct Fleet {
    std::vector<const Host*> heard;  // those with answers of this proxy's own
    std::size_t size = 0;            // all
  };

  static bool Qualifies(const Host& host) { return host.attempts() >= kRequestVolume; }

  // Tests a host in service that has just had an answer counted; true if it is ejected by it.
  static bool Eject(Host& host, TimePoint now, const Fleet& fleet, Random& random) {
    int qualifying = 0, ejected = 0, others_failed = 0, others = 0;
    for (const Host* other : fleet.heard) {
      qualifying += Qualifies(*other);
      ejected += other->ejected;
      if (other == &host || other->ejected) continue;
      others_failed += other->failures;
      others += other->attempts();
    }
    if (!Qualifies(host) || qualifying < kMinimumHosts) return false;
    // The threshold rises with the share failing elsewhere, to twice that while it is small and to 1 with it:
    // an overloaded fleet must not eject itself, but a server failing always goes, however bad the rest.
    const double elsewhere = others > 0 ? static_cast<double>(others_failed) / others : 0;
    const double threshold = std::max(kThreshold, elsewhere * (2 - elsewhere));
    if (!(host.failures > threshold * host.attempts())) return false;
    if (!(100.0 * ejected < kMaxEjectionPercent * static_cast<double>(fleet.size))) return false;
    if (!(100.0 * random.Unit() < kEnforcingPercent)) return false;
    ++host.multiplier;
    host.ejected = true;
    host.return_at =
        now + std::min(kBaseEjectionTime * host.multiplier, std::max(kBaseEjectionTime, kMaxEjectionTime));
    return true;
  }
  static bool ReturnIfDue(Host& host, TimePoint now) {
    if (!host.ejected || now < host.return_at) return false;
    host.ejected = false;
    host.multiplier = std::max(0, host.multiplier - 1);
    return true;
  }
  static void EndInterval(Host& host) {
    host.successes = host.failures = 0;
    if (!host.ejected) host.multiplier = std::max(0, host.multiplier - 1);
  }
};

// ---- 4. Cold-start budget (its state; the pick below asks it) -----------------------------------------
// Work this proxy sent to one server within the rule's window. Everything sent counts. Of thousands of
// servers most are sent nothing, and hold no memory for it.
class SentWindow {
 public:
  void Add(TimePoint now, double work) {
    sent_.emplace_back(now, work);
    sum_ += work;
  }
  void MakeRoom() {
    if (sent_.size() == sent_.capacity()) sent_.reserve(2 * sent_.size() + 1);
  }
  double Within(TimePoint now, Duration window) {
    for (; first_ < sent_.size() && now - sent_[first_].first > window; ++first_)
      sum_ -= sent_[first_].second;
    if (2 * first_ >= sent_.size()) {
      sent_.erase(sent_.begin(), sent_.begin() + static_cast<std::ptrdiff_t>(std::exchange(first_, 0)));
      if (sent_.empty()) sent_.shrink_to_fit();
    }
    return sent_.empty() ? sum_ = 0 : sum_;
  }
  // What was counted then and never sent after all.
  void TakeBack(TimePoint at, double work) {
    const auto begin = sent_.begin() + static_cast<std::ptrdiff_t>(first_);
    const auto found = std::find(begin, sent_.end(), std::pair(at, work));
    if (found == sent_.end()) return;
    sum_ -= work;
    sent_.erase(found);
  }
  double Peek(TimePoint now, Duration window) const {
    double sum = 0;
    for (auto at = sent_.rbegin(); at != sent_.rend() && now - at->first <= window; ++at) sum += at->second;
    return sum;
  }

 private:
  std::vector<std::pair<TimePoint, double>> sent_;
  std::size_t first_ = 0;  // those before it are no longer within
  double sum_ = 0;
};

struct Server {
  BackendEntry entry;
  TimePoint gone_since{};
  double own_work = 0;  // hinted, of this proxy, in flight
  int own_count = 0;
  int counted = 0;  // of these, in flight for the limit of the whole proxy
  OutlierDetector::Host health;
  SentWindow sent;
  double served_since_sample = 0, served_rate = 0;  // work; work a ms
  int rate_samples = 0;                             // in that rate
  double slowness = 1;                     // time of its answers over what the fleet takes for the like
  std::map<std::uint64_t, TimePoint> met;  // keys sent to it lately
  TimePoint last_sent{}, quiet_since{}, answered_at{};
  std::array<TimePoint, 3> newest_answered{};  // when the newest requests that it has answered were sent
  TimePoint paced_start{}, earned_at{};  // the start for which its first turn was drawn; last counted then
  double earned = 0, pace = 0;  // of this proxy's next turn while it is cold, 1 of a mean request; work a ms
  bool silent = false;          // the last that it owed ran out of time, and nothing was heard since
  bool active = false;          // it is in active_
  bool on_ring = false;
  std::uint64_t place = 0;  // on the ring

  void NoteAnswered(TimePoint sent) {
    const auto oldest = std::min_element(newest_answered.begin(), newest_answered.end());
    *oldest = std::max(*oldest, sent);
  }
  // Whether it has answered so many that were sent later that this one waits for something else than its
  // turn.
  bool Overtaken(TimePoint sent) const {
    return *std::min_element(newest_answered.begin(), newest_answered.end()) > sent;
  }

  bool Idle() const {  // nothing is known of it that the passing of time would change
    return own_count == 0 && served_since_sample == 0 && served_rate < 1e-9 && !silent &&
           std::abs(slowness - 1) < 1e-3 && met.empty() && health.attempts() == 0 && !health.ejected &&
           health.multiplier == 0;
  }
};

struct Attempt {
  BackendId server = 0;
  TimePoint sent_at{}, sent_before{};  // this one; the last before it at the same server
  double earned_before = 0;            // towards its turn there
  bool outstanding = true;
  bool may_have_run = true;
  bool overdue = false;  // no longer counted in flight
  bool abandoned = false;
};

struct Request {
  RequestId id = 0;
  int cls = 0;
  double work = 1;
  double value = 0;
  std::uint64_t key = 0;
  TimePoint arrived{}, due{}, refuse_at{};
  std::vector<Attempt> attempts;
  bool finished = false, streaming = false, held = false;
  int outstanding() const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.outstanding; }));
  }
};

// How long clients usually give a try.
struct UsualTime {
  Duration time{0};
  int votes = 0;
};

// What this proxy has seen of a class.
struct ClassState {
  Spread latency, usual, work;  // time over WorkScale; the same, of usual servers; hinted work
  UsualTime usual_time;
};

struct ZoneBucket {
  double rate = -1, left = 0;  // work a ms, below 0: without limit; work that may still be sent now
  TimePoint filled{};
};

// What may be done with a request now.
struct Permission {
  bool dispatch = false;
  bool refuse = false;
  const Server* group_of = nullptr;    // if set: only to servers that drop this one's repeats
  TimePoint until = TimePoint::max();  // and begun before they forget
};

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    classes_.resize(settings_.classes.size());
    for (const ClassSettings& c : settings_.classes) most_worth_ = std::max(most_worth_, c.priority_weight);
    tenant_tokens_.resize(settings_.tenants.size(), 1);
  }

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    const double passed = std::max(0.0, (now - now_).count());
    mean_in_flight_ += std::min(1.0, passed / kGoodMemory.count()) * (in_flight_ - mean_in_flight_);
    now_ = now;
    out_ = actions;
    std::visit([this](const auto& e) { On(e); }, event);  // first: a list may forbid what is due
    Advance();
    PlaceHeld();
    Arm();
    out_ = nullptr;
  }

  std::vector<BackendView> Inspect() const {
    std::vector<BackendView> views;
    views.reserve(servers_.size());
    for (const auto& [id, s] : servers_) {
      BackendView v{.entry = s.entry, .ejected = s.health.ejected, .silent = s.silent};
      if (v.ejected) v.ejected_until = s.health.return_at;
      v.in_flight = s.own_count;
      v.work_in_flight = s.own_work;
      v.slowness = s.slowness;
      v.warm_share = WarmShare(s);
      if (v.warm_share < 1) {
        v.cold_budget = ColdRate(s, v.warm_share) * settings_.overload_duration.count();
        v.cold_sent = s.sent.Peek(now_, settings_.overload_duration * kWindowSlack);
      }
      views.push_back(v);
    }
    return views;
  }

 private:
  // ---- 3. Pick ----------------------------------------------------------------------------------------
  // Exception, where a proxy has too few requests for the fleet: it ranks no more servers than it can give
  // the volume floor within an interval. Spread over hundreds, it learns nothing of any, and pays for a
  // connection to each: at full size nine attempts in ten found a server's connections taken. Proxies take
  // places evenly spaced on a ring of servers, a ring for each group of them, so that every server is in as
  // many apertures, and those who share one server share no other. Servers that are ejected or cold are made
  // up for by the next.
  std::uint64_t GroupSize() const {
    return static_cast<std::uint64_t>(std::ceil(std::sqrt(static_cast<double>(settings_.balancer_count))));
  }
  std::uint64_t Me() const { return static_cast<std::uint64_t>(settings_.balancer_index); }
  std::size_t RingStart() const { return (Me() % GroupSize()) * ring_.size() / GroupSize(); }

  static bool Before(const Server* a, const Server* b) {
    return std::pair(a->place, a->entry.server) < std::pair(b->place, b->entry.server);
  }

  // Takes a server onto the ring or off it, as its state says; the rest stays where it is.
  void PlaceOnRing(Server& s) {
    if (Usable(s) == s.on_ring) return;
    s.on_ring = Usable(s);
    const auto at = std::lower_bound(ring_.begin(), ring_.end(), &s, Before);
    if (s.on_ring) {
      ring_.insert(at, &s);
    } else {
      ring_.erase(at);
    }
  }

  double Aperture() const {
    return std::min(static_cast<double>(usable_),
                    std::max(kLeastAperture, send_rate_ * kInterval.count() / kRequestVolume));
  }

  Duration Interval() const {  // long enough for twice the volume floor at each server of the aperture
    const double needed = send_rate_ > 0 ? 2 * kRequestVolume * Aperture() / send_rate_ : 0;
    return std::clamp(Duration(needed), kInterval, kMaxEjectionTime / 2);
  }

  bool Usable(const Server& s) const { return s.entry.state == BackendState::kReady; }

  static bool Tried(const Request& r, const Server& s) {
    return std::any_of(r.attempts.begin(), r.attempts.end(),
                       [&](const Attempt& a) { return a.server == s.entry.server; });
  }

  bool InGroup(const Request& r, const Server& anchor, const Server& s) const {
    switch (settings_.classes[r.cls].group) {
      case DeduplicationScope::kAll:
        return true;
      case DeduplicationScope::kZone:
        return s.entry.zone == anchor.entry.zone;
      case DeduplicationScope::kCell:
        return s.entry.cell == anchor.entry.cell && s.entry.zone == anchor.entry.zone;
    }
    return false;
  }

  bool Warm(const Server& s, std::uint64_t key) const {
    const auto met = s.met.find(key);
    return met != s.met.end() && now_ - met->second < kKeyMemory;
  }

  // Least own hinted work in flight, ties at random. Exceptions: a crossing of zones counts as the work that
  // its price is worth; where keys are warm, a server that met this one lately serves it with less work, and
  // what it saves serves others; those over their cold budget are passed over; those it has
  // tried come last; if no server of the group is in service, an ejected one is used: never a lost request.
  Server* Pick(const Request& r, const Permission& permission) {
    Choice choice;
    double warm = 0;
    for (std::size_t i = 0, at = RingStart(); i < ring_.size(); ++i, ++at) {
      Server* s = ring_[at < ring_.size() ? at : at -= ring_.size()];
      if (permission.group_of && !InGroup(r, *permission.group_of, *s)) continue;
      if (!FitsZone(*s, r)) continue;
      if (FitsColdBudget(*s, r.work)) {
        Consider(r, *s, &choice);
      } else if (MayLog(kCold)) {
        LogLine("server " + std::to_string(s->entry.server) + " held back: cold, at " +
                std::to_string(static_cast<int>(100 * WarmShare(*s))) + "% or more of its capacity");
      }
      choice.in_service |= !s->health.ejected;
      if (!s->health.ejected && !Tried(r, *s)) warm += WarmShare(*s);
      if (warm >= Aperture()) break;
    }
    // Some server is in service, though without room now: the ejected ones need not serve.
    return choice.rank >= 2 && choice.in_service ? nullptr : choice.best;
  }

  // Exception, where somebody decides how much goes to each zone (src/zone_failover): a zone whose share is
  // used up is passed over. Each share is a bucket of a second's worth; what is worth least leaves most of it
  // to others.
  ZoneBucket* BucketOf(const Server& s) {
    const bool known = s.entry.zone >= 0 && static_cast<std::size_t>(s.entry.zone) < zones_.size();
    return known ? &zones_[static_cast<std::size_t>(s.entry.zone)] : nullptr;
  }
  void Fill(ZoneBucket& zone) {
    const double depth = std::max(0.0, zone.rate) * kShareBurst.count();
    zone.left = std::min(depth, zone.left + zone.rate * (now_ - zone.filled).count());
    zone.filled = now_;
  }
  bool FitsZone(const Server& s, const Request& r) {
    ZoneBucket* const zone = BucketOf(s);
    if (!zone || zone->rate < 0) return true;
    Fill(*zone);
    const double kept = kShareKept * (1 - settings_.classes[r.cls].priority_weight / most_worth_);
    return zone->left > kept * zone->rate * kShareBurst.count();
  }

  struct Choice {
    Server* best = nullptr;
    int rank = 0, ties = 0;
    double score = 0;
    bool in_service = false;
  };

  // Exception: a server that is silent gets only one request a while, and one that may be repeated elsewhere
  // in time. Cut off from some, a proxy lost two requests a second at each: too few to fill the volume floor
  // for an ejection, each waiting to the end of the client's time.
  bool Unheard(const Request& r, const Server& s) const {
    return s.silent && (settings_.classes[r.cls].effect == Idempotency::kNotIdempotent || s.own_count > 0 ||
                        now_ - s.last_sent < kSilentPause);
  }

  void Consider(const Request& r, Server& s, Choice* choice) {
    const int rank = 2 * s.health.ejected + (Tried(r, s) || Unheard(r, s));
    const bool crosses = s.entry.zone != settings_.zone;
    const double score = s.own_work + kSlownessWeight * r.work * (s.slowness - 1) -
                         (Warm(s, r.key) ? kWarmWeight * r.work : 0) +
                         (crosses ? kCrossingWeight * settings_.cross_zone_cost * request_work_.mean : 0);
    if (choice->best && (rank > choice->rank || (rank == choice->rank && score > choice->score))) return;
    const bool tie = choice->best && rank == choice->rank && score == choice->score;
    choice->ties = tie ? choice->ties + 1 : 1;
    if (tie && random_.Below(choice->ties) != 0) return;
    choice->best = &s;
    choice->rank = rank;
    choice->score = score;
  }

  // ---- 4. Cold-start budget ---------------------------------------------------------------------------
  // The share of its capacity that a server has at least.
  double WarmShare(const Server& s) const {
    if (s.entry.up_since.time_since_epoch().count() <= 0) return 1;
    const double age = (now_ - s.entry.up_since).count();
    const double slow_start_window = settings_.slow_start_window.count();
    if (slow_start_window <= 0 || age >= slow_start_window) return 1;
    return settings_.slow_start_floor +
           (1 - settings_.slow_start_floor) * std::max(0.0, age) / slow_start_window;
  }

  // A cold server gets, over the rule's window, its share of what a warm one serves for this proxy. All
  // proxies doing so, their sum is that share of what a warm server can do, whatever part of the traffic each
  // has. What was sent is no measure: an overloaded fleet is sent far more than it can do. One request in a
  // while is always allowed, or a fleet that is cold throughout would never come back.
  bool FitsColdBudget(Server& s, double work) {
    const double share = WarmShare(s);
    const Duration window = settings_.overload_duration * kWindowSlack;
    const double sent = s.sent.Within(now_, window);
    if (share >= 1 || settings_.overload_factor <= 0) return true;
    const double rate = ColdRate(s, share);
    EarnTurn(s, std::max(rate, LeastColdRate(share)), window);
    if (sent + work <= rate * settings_.overload_duration.count()) return true;
    return now_ - s.last_sent >= window && s.earned >= std::max(1.0, work / request_work_.mean);
  }

  // A budget of less than one request is one in so many windows, earned at the budget's pace, the first from
  // a part that is drawn at random: proxies that heard of a start together, or that start themselves and know
  // nothing yet, would each send their one request at once.
  void EarnTurn(Server& s, double pace, Duration window) {
    if (s.paced_start != s.entry.up_since) {  // it started anew
      const bool one_a_window = pace * window.count() >= request_work_.mean;
      s.earned = one_a_window ? 1 : random_.Unit();
      s.paced_start = s.entry.up_since;
    } else {
      s.earned += std::min(s.pace, pace) * (now_ - s.earned_at).count() / request_work_.mean;
    }
    s.pace = pace;
    s.earned_at = now_;
  }

  double ColdRate(const Server& s, double share) const {  // work a ms
    return kColdCaution * settings_.overload_factor * share * WarmRate(s);
  }

  // Where no request tells its work, each counts as 1, and is about as long as one takes uncrowded; until
  // that is known, as one may take.
  double LeastColdRate(double share) const {
    const double unit = hinted_ ? 1 : stretch_ > 0 ? stretch_ : kQueueShare * mean_aim_.mean;
    return kColdLeast * settings_.overload_factor * share / settings_.balancer_count / std::max(unit, 1e-3);
  }

  // Work a ms that a warm server of the same kind serves for this proxy; of any kind if there is none.
  double WarmRate(const Server& like) const {
    double same = 0, all = 0;
    int same_count = 0, count = 0;
    for (const Server* s : active_) {
      if (!Usable(*s) || s->health.ejected || WarmShare(*s) < 1) continue;
      all += s->served_rate;
      ++count;
      if (s->entry.kind != like.entry.kind) continue;
      same += s->served_rate;
      ++same_count;
    }
    return same_count > 0 ? same / same_count : count > 0 ? all / count : 0;
  }

  // ---- 5. Attempts ------------------------------------------------------------------------------------
  // The one place that decides whether a request may be dispatched (again) or refused.
  Permission Permitted(const Request& r) const {
    Permission may;
    if (r.finished || r.streaming) return may;
    const ClassSettings& c = settings_.classes[r.cls];
    const Attempt* first_run = nullptr;
    for (const Attempt& a : r.attempts) {
      if (a.may_have_run && !first_run) first_run = &a;
    }
    const int outstanding = r.outstanding();
    may.dispatch =
        now_ < r.due && static_cast<int>(r.attempts.size()) < settings_.max_attempts && outstanding == 0;
    may.refuse = true;
    if (!first_run || c.effect == Idempotency::kIdempotent) return may;
    may.refuse = c.effect == Idempotency::kIdempotencyKey && c.group == DeduplicationScope::kAll;
    may.until = first_run->sent_at + c.window * kWindowMargin;
    if (c.effect == Idempotency::kNotIdempotent || now_ >= may.until) may.dispatch = false;
    const auto anchor = servers_.find(first_run->server);
    if (anchor == servers_.end()) may.dispatch = false;
    if (may.dispatch) may.group_of = &anchor->second;
    return may;
  }

  void Finish(Request& r, Duration retry_after = Duration(0)) {
    const Permission may = Permitted(r);
    if (MayLog(kEnding))
      LogLine((may.refuse ? "refusing: " : "failing: ") +
              (r.attempts.empty() ? "not in time"
                                  : "last at server " + std::to_string(r.attempts.back().server)) +
              "; " + std::to_string(in_flight_) + " in flight, " + std::to_string(held_.size()) + " held");
    if (may.refuse) {
      out_->push_back(Reject{r.id, retry_after});
    } else {
      out_->push_back(FailRequest{r.id});
    }
    r.finished = true;
  }

  // Only a server that has gone silent gets a time-out short of the client's own: it owes answers, and has
  // owed them for longer than this class takes by mean + kDeviations deviations. Timing out what was merely
  // late doubled its work on every site. Zero also where no repeat is permitted or would come in time.
  Duration TimeoutFor(const Request& r, const Server& s) const {
    const ClassSettings& c = settings_.classes[r.cls];
    const Spread& seen = classes_[r.cls].latency;
    if (c.effect == Idempotency::kNotIdempotent || seen.samples < kFewSamples || retry_tokens_ < 1 ||
        (s.own_count == 0 && !s.silent))
      return Duration(0);
    if (static_cast<int>(r.attempts.size()) + 1 >= settings_.max_attempts) return Duration(0);
    const double scale = WorkScale(r);
    const Duration repeat((seen.mean + seen.deviation) * scale);
    const Duration unlikely = Unlikely(r);
    if ((!s.silent && now_ - s.quiet_since < unlikely) || now_ + unlikely + repeat > r.due)
      return Duration(0);
    return unlikely;
  }

  static double Unlikely(const Spread& seen) { return seen.mean + kDeviations * seen.deviation; }
  Duration Unlikely(const Request& r) const {
    return Duration(Unlikely(classes_[r.cls].latency) * WorkScale(r));
  }

  double WorkScale(const Request& r) const {
    const double mean = classes_[r.cls].work.mean;
    const double ratio = mean > 0 ? r.work / mean : 1;
    return ratio > 1 ? ratio : 0.5 + 0.5 * ratio;
  }

  // Room for all that a dispatch adds, first: an attempt that is counted must be sent.
  void MakeRoomToSend(Request& r, Server& s) {
    const auto grow = [](auto& list) {
      if (list.size() == list.capacity()) list.reserve(2 * list.size() + 1);
    };
    grow(active_);
    grow(r.attempts);
    grow(*out_);
    s.sent.MakeRoom();
    if (settings_.key_affinity && r.key != 0) s.met[r.key] = now_;
    if (classes_[r.cls].latency.samples >= kFewSamples) wakeups_.emplace(now_ + CountedFor(r), r.id);
  }

  void Send(Request& r, Server& s, TimePoint begin_before) {
    MakeRoomToSend(r, s);
    const bool first = r.attempts.empty();
    if (first) {
      retry_tokens_ = std::min(kRetryBurst, retry_tokens_ + kRetryRatio);
    } else {
      retry_tokens_ = std::max(0.0, retry_tokens_ - 1);
    }
    const Duration timeout = TimeoutFor(r, s);
    if (s.own_count == 0) s.quiet_since = now_;
    if (!s.active) active_.push_back(&s);
    s.active = true;
    ++in_flight_;
    ++s.counted;
    last_place_ = random_.Unit();
    s.own_work += r.work;
    if (ZoneBucket* const zone = BucketOf(s)) zone->left -= r.work;
    ++s.own_count;
    s.sent.Add(now_, r.work);
    const TimePoint sent_before = std::exchange(s.last_sent, now_);
    Attempt attempt;
    attempt.server = s.entry.server;
    attempt.sent_at = now_;
    attempt.sent_before = sent_before;
    attempt.earned_before = std::exchange(s.earned, 0);
    r.attempts.push_back(attempt);
    out_->push_back(Dispatch{r.id, s.entry.server, timeout, begin_before});
  }

  void On(const AttemptEnded& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    if (e.attempt < 0 || e.attempt >= static_cast<int>(r.attempts.size())) return;
    Attempt& a = r.attempts[e.attempt];
    if (!a.outstanding) return;
    a.outstanding = false;
    a.may_have_run = !(e.outcome == Outcome::kRejected || e.outcome == Outcome::kConnectFailed ||
                       e.outcome == Outcome::kNotSent);
    const auto at = servers_.find(a.server);
    if (at != servers_.end()) Learn(r, e, at->second);
    room_ = true;
    if (e.settled) r.finished = true;
    if (!r.finished && r.outstanding() == 0 && !r.held)
      Again(r, a.may_have_run || e.outcome == Outcome::kRejected);
    Forget(found);
  }

  // After a failed attempt: another one where permitted, within the budget of repeats if it adds load.
  void Again(Request& r, bool adds_load) {
    if (!Permitted(r).dispatch || (adds_load && retry_tokens_ < 1)) return Finish(r);
    r.refuse_at = std::max(r.refuse_at, std::min(r.due - settings_.tick * 2, now_ + settings_.tick * 4));
    Place(r);
  }

  void Learn(const Request& r, const AttemptEnded& e, Server& s) {
    if (!r.attempts[e.attempt].overdue) --in_flight_, --s.counted;
    s.own_work -= r.work;
    if (e.outcome != Outcome::kTimeout && e.outcome != Outcome::kNotSent) s.quiet_since = now_;
    if (--s.own_count == 0) s.own_work = 0;
    const bool ok = e.outcome == Outcome::kOk;
    const Attempt& a = r.attempts[e.attempt];
    if (e.outcome == Outcome::kNotSent) {  // its place in the budgets is free again
      s.sent.TakeBack(a.sent_at, r.work);
      if (s.last_sent == a.sent_at) s.last_sent = a.sent_before, s.earned += a.earned_before;
      if (ZoneBucket* const zone = BucketOf(s)) zone->left += r.work;
    }
    if (ok || e.outcome == Outcome::kError || e.outcome == Outcome::kRejected) {
      s.NoteAnswered(a.sent_at);
      s.silent = false;
    }
    s.silent |= e.outcome == Outcome::kTimeout && s.quiet_since <= a.sent_at;
    // Its connection is silent, not the server slow: that is a failure, and no sign of crowding.
    const bool silent = e.outcome == Outcome::kTimeout && s.Overtaken(a.sent_at);
    const bool given_up = e.outcome == Outcome::kCancelled && a.abandoned;
    if ((e.outcome == Outcome::kCancelled && !given_up) || e.outcome == Outcome::kNotSent ||
        e.outcome == Outcome::kUnknown)
      return;
    if (ok) s.served_since_sample += r.work, ++answered_;
    const double took = e.took.count();
    const bool timed = ok || (e.outcome == Outcome::kTimeout && !silent);
    if (timed && std::isfinite(took) && took >= 0) {
      Spread& seen = classes_[r.cls].latency;
      seen.Add(took / WorkScale(r));
      // No answer teaches more than an unlikely one: a few slow servers must not pass for what is usual.
      Spread& usual = classes_[r.cls].usual;
      const double most = usual.samples < kFewSamples ? took / WorkScale(r) : Unlikely(usual);
      usual.Add(std::min(took / WorkScale(r), most));
      // A heavy tail is late whatever is done, and does not count; nor does a server slower than most.
      const Duration latency_objective = settings_.classes[r.cls].latency_objective;
      if (r.work * stretch_ < 0.5 * latency_objective.count() &&
          !(e.took > latency_objective && IsOutlier(s)))
        late_share_ += kLateGain * ((e.took > latency_objective) - late_share_);
      const double like = std::max(Cold() ? seen.mean : usual.mean, 1e-9);
      const double relative = std::min(kMostSlowness, took / WorkScale(r) / like);
      // The rarer its answers, the more each tells.
      const double gain =
          std::clamp((now_ - s.answered_at) / kSlownessMemory, kSlownessGain, kMostSlownessGain);
      s.slowness += gain * (relative - s.slowness);
      s.answered_at = now_;
    }
    if (ok && r.work >= request_work_.mean && took > 0) {
      const double x = took / r.work;
      stretch_ += (stretch_ == 0 ? 1 : x < stretch_ ? 10 * kStretchGain : kStretchGain) * (x - stretch_);
    }
    ++(ok ? s.health.successes : s.health.failures);
    if (s.health.ejected || !OutlierDetector::Qualifies(s.health)) return;
    OutlierDetector::Fleet fleet{{}, usable_};
    for (const Server* other : active_) {
      if (Usable(*other)) fleet.heard.push_back(&other->health);
    }
    if (!OutlierDetector::Eject(s.health, now_, fleet, random_)) return;
    next_return_ = std::min(next_return_, s.health.return_at);
    if (MayLog(kHealth)) {
      LogLine("server " + std::to_string(s.entry.server) + " ejected: " + std::to_string(s.health.failures) +
              " of " + std::to_string(s.health.attempts()) + " attempts failed");
    }
  }

  // While many servers are cold, they are slow for all to know, and the fleet can do less: nothing is laid at
  // the door of single ones.
  bool Cold() const { return warm_servers_ < kMostlyWarm * static_cast<double>(usable_); }
  bool IsOutlier(const Server& s) const { return !Cold() && s.slowness > kOutlier * usual_slowness_; }

  // One huge request, out for seconds, must not keep a small proxy from sending either.
  Duration CountedFor(const Request& r) const {
    const Duration unlikely = std::min(Unlikely(r), settings_.classes[r.cls].latency_objective);
    return Cold() ? unlikely : std::min(unlikely, Duration(Unlikely(classes_[r.cls].usual) * WorkScale(r)));
  }

  // What is out for longer than its like is stuck at one server, and no sign of what the fleet holds: two at
  // a silent server kept a small proxy from sending anything for seconds.
  void NoteOverdue(Request& r) {
    for (Attempt& a : r.attempts) {
      if (!a.outstanding || now_ < a.sent_at + CountedFor(r)) continue;
      const auto at = servers_.find(a.server);
      if (!a.overdue) {
        --in_flight_;
        if (at != servers_.end()) {
          --at->second.counted;
          at->second.silent |= at->second.quiet_since <= a.sent_at;
        }
      }
      a.overdue = room_ = true;
      AbandonIfSilent(r, a);
    }
  }

  // Exception: an attempt whose server has answered what was sent after it, and that is out for longer than
  // its like takes by kDeviations deviations, has gone astray with its connection: on days with silent
  // connections a proxy waited for each to the end of the client's time. Given up where a repeat is permitted
  // and comes in time.
  void AbandonIfSilent(const Request& r, Attempt& a) {
    const auto at = servers_.find(a.server);
    const Spread& seen = classes_[r.cls].latency;
    const Duration repeat((seen.mean + seen.deviation) * WorkScale(r));
    if (a.abandoned || r.finished || settings_.classes[r.cls].effect == Idempotency::kNotIdempotent ||
        static_cast<int>(r.attempts.size()) >= settings_.max_attempts || now_ + repeat > r.due)
      return;
    if (at != servers_.end() && at->second.Overtaken(a.sent_at) && retry_tokens_ >= 1) {
      a.abandoned = true;
      out_->push_back(CancelAttempt{r.id, static_cast<int>(&a - r.attempts.data())});
    } else {
      wakeups_.emplace(now_ + std::max(settings_.tick, CountedFor(r) / 2), r.id);
    }
  }

  void Forget(std::map<RequestId, Request>::iterator it) {
    if (it->second.finished) Unhold(it->second);
    if (it->second.finished && it->second.outstanding() == 0) requests_.erase(it);
  }

  // ---- 6. Admission -----------------------------------------------------------------------------------
  // Exception, for a proxy with few places: what waits at a server slower than most counts by how much slower
  // it is, since it says little of the others. Of 300 proxies those in a zone that slowed down had their two
  // places taken by it, sent next to nothing, and so learnt nothing new (scenarios/zone_slow.toml: 0.08 of
  // the worth).
  double InFlight(double places) const {
    const double few = std::clamp((kManyPlaces - places) / (kManyPlaces - kFewPlaces), 0.0, 1.0);
    double count = in_flight_;
    for (const Server* s : outliers_) count -= few * s->counted * (1 - usual_slowness_ / s->slowness);
    return std::max(0.0, count);
  }

  // Exception, when the whole fleet is slow: by Little's law requests in flight are those answered a ms times
  // their time; more than kQueueShare of the aim at the rate of late could only queue, and more than
  // kCrowding times what they take uncrowded lets servers choke (i42a2e5). The rest is held, the most worth
  // first, and refused while a try later can still be of use. Counted, not weighed, for huge requests' sake.
  // Chance in flight evens out over all proxies: one may have a deviation and kSpare more, until answers come
  // late; then its mean may exceed the limit only by its part of the whole fleet's chance: hundreds at their
  // deviation choked the servers (i32c1ee). The last place is drawn at each send: the limit may be a
  // fraction.
  bool FitsProxy() const {
    const double uncrowded = stretch_ > 0 ? stretch_ * request_work_.mean : mean_aim_.mean;
    const double in_time = std::max(0.0, 1 - late_share_ / kFewLate);
    const double useful = std::min(kQueueShare * mean_aim_.mean, kCrowding * uncrowded);
    const double served = served_rate_ * useful;
    const double mean = std::max(kLeastPerServer * warm_servers_ / settings_.balancer_count,
                                 served + kChance * std::sqrt(served / settings_.balancer_count));
    const double room = std::clamp(4 * (1 - mean_in_flight_ / mean), in_time, 1.0);
    return InFlight(mean) + last_place_ < mean + (kChance * std::sqrt(mean) + kSpare) * room;
  }

  bool WithinShare(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(tenant_tokens_.size())) return true;
    double& tokens = tenant_tokens_[tenant];
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  // Exception: what has passed of a client's deadline has passed of its aim. A client's last try has what is
  // left of its deadline, all others of a class have the same time: the usual one, found by vote.
  Duration Elapsed(const Submit& e) {
    const ClassSettings& c = settings_.classes[e.request_class];
    UsualTime& usual = classes_[e.request_class].usual_time;
    const Duration left = e.due - now_;
    const bool as_usual = std::abs((left - usual.time).count()) <= kSameTime * usual.time.count();
    if (as_usual) {
      usual.votes = std::min(kMostVotes, usual.votes + 1);
    } else if (!e.client_retry && --usual.votes < 0) {
      usual.time = left;
      usual.votes = 0;
    }
    if (usual.votes < kFirmVotes) return Duration(0);
    const Duration at_most = std::max(Duration(0), c.deadline - left);
    return !as_usual ? at_most : e.client_retry ? at_most * 0.5 : Duration(0);
  }

  void On(const Submit& e) {
    if (requests_.count(e.request)) return;
    Request r;
    r.id = e.request;
    r.due = e.due;
    r.arrived = now_;
    r.key = e.key;
    if (e.request_class < 0 || e.request_class >= static_cast<int>(settings_.classes.size())) {
      // Nothing is known of what it may do twice, and it never ran: the client may try again.
      out_->push_back(Reject{r.id, Duration(0)});
      return;
    }
    r.cls = e.request_class;
    const ClassSettings& c = settings_.classes[r.cls];
    const Duration latency_objective = c.latency_objective - Elapsed(e);
    const bool hinted = e.has_hint && std::isfinite(e.work_ms) && e.work_ms > 0;
    hinted_ |= hinted;
    r.work = hinted ? std::min(e.work_ms, kMostWork) : request_work_.samples > 0 ? request_work_.mean : 1;
    if (hinted || request_work_.samples == 0) {
      request_work_.Add(r.work);
      classes_[r.cls].work.Add(r.work);
    }
    mean_aim_.Add(c.latency_objective.count());
    ++arrived_;
    r.value = c.priority_weight * (WithinShare(e.tenant) ? 1 : settings_.over_quota_weight);
    // What is too large to be in time is worth little, or nothing: it must not take the place of others. Each
    // such finding weakens the next: a slow spell must not shut a class out for good.
    const Duration alone(r.work * stretch_);
    if (alone > latency_objective) r.value *= now_ + alone > r.due ? 0 : c.late_weight;
    if (alone > c.latency_objective) stretch_ *= 1 - 5 * kStretchGain;
    if (r.value <= 0) return Finish(r, StayAway(r));
    const Duration useful =
        latency_objective - Duration(classes_[r.cls].latency.mean + classes_[r.cls].latency.deviation);
    r.refuse_at = std::min(r.due - settings_.tick * 2, now_ + std::max(useful, c.latency_objective / 4));
    r.refuse_at = std::min(r.refuse_at, now_ + (e.due - now_) * kRefuseShare);
    Request& kept = requests_.emplace(r.id, std::move(r)).first->second;
    Place(kept);
    Forget(requests_.find(e.request));
  }

  // Exception, where clients listen: one whose aim could not be met would come back only to be late, and take
  // the place of one in time. It is told to stay away for as long as it would have come back.
  Duration StayAway(const Request& r) const {
    return std::min(settings_.max_retry_after, settings_.classes[r.cls].deadline);
  }

  // Sends the request or holds it; true if sent.
  bool Place(Request& r) {
    const Permission may = Permitted(r);
    Server* s = may.dispatch && FitsProxy() ? Pick(r, may) : nullptr;
    if (s) {
      Unhold(r);
      Send(r, *s, may.until);
      return true;
    }
    if (!may.dispatch || now_ >= r.refuse_at) {
      Finish(r, StayAway(r));
    } else if (!r.held) {
      r.held = true;
      held_.emplace(-r.value, -r.arrived.time_since_epoch(), r.id);
      wakeups_.emplace(r.refuse_at, r.id);
    }
    return false;
  }

  void Unhold(Request& r) {
    if (r.held) held_.erase({-r.value, -r.arrived.time_since_epoch(), r.id});
    r.held = false;
  }

  void PlaceHeld() {
    if (!room_) return;
    room_ = false;
    int misses = 0;
    for (auto it = held_.begin(); it != held_.end() && misses < kMostMisses;) {
      const RequestId id = std::get<2>(*it++);
      const auto found = requests_.find(id);
      misses += !Place(found->second);
      Forget(found);
    }
  }

  void On(const ClientDisconnected& e) {
    const auto found = requests_.find(e.request);
    if (found == requests_.end()) return;
    found->second.finished = true;
    Forget(found);
  }

  void On(const ZoneQuotas& e) {
    zones_.resize(e.work_per_ms.size());
    for (std::size_t z = 0; z < zones_.size(); ++z) {
      ZoneBucket& zone = zones_[z];
      if (zone.rate < 0) {
        zone.left = 0;  // it earns what it has from here on
        zone.filled = now_;
      }
      Fill(zone);  // what was earned until now was by the old rate
      zone.rate = std::isfinite(e.work_per_ms[z]) ? e.work_per_ms[z] : -1;
    }
    room_ = true;
  }

  void On(const StreamStarted& e) {
    const auto found = requests_.find(e.request);
    if (found != requests_.end()) found->second.streaming = true;
  }

  // The caller may round times: a timer that fires a little early must be set again, or nothing wakes a quiet
  // proxy and what it holds is lost.
  void On(const TimerFired& e) {
    if (e.token == timer_) armed_ = kNever;
  }

  // ---- 7. Discovery -----------------------------------------------------------------------------------
  void On(const EndpointListUpdate& e) {
    if (settings_.polls_endpoint_list) FollowUp(e.kind);
    if (e.kind == EndpointListKind::kFailed) return;
    const bool many = e.entries.size() > kFewEntries;
    if (many) ring_.clear();
    if (e.kind != EndpointListKind::kDelta) {
      std::set<BackendId> listed;
      for (const BackendEntry& entry : e.entries) listed.insert(entry.server);
      for (auto& [id, s] : servers_) {
        if (!listed.count(id)) SetState(s, BackendState::kGone, !many);
      }
    }
    for (const BackendEntry& entry : e.entries) {
      const auto [it, added] = servers_.try_emplace(entry.server);
      Server& s = it->second;
      if (added) s.place = Mix(entry.server ^ Mix(Me() / GroupSize() + 1));
      const BackendState before = s.entry.state;
      s.entry = entry;
      s.entry.state = before;
      SetState(s, entry.state, !many);
      if (Usable(s) && WarmShare(s) < 1) warming_.insert(entry.server);
    }
    if (many) {  // in order at once
      for (auto& [id, s] : servers_) {
        s.on_ring = Usable(s);
        if (s.on_ring) ring_.push_back(&s);
      }
      std::sort(ring_.begin(), ring_.end(), Before);
    }
    ForgetGone();
    CountWarmth();
    room_ = true;
  }

  void SetState(Server& s, BackendState state, bool place) {
    if (state == BackendState::kGone && s.entry.state != state) {
      s.gone_since = now_;
      gone_.push_back(s.entry.server);
    }
    s.entry.state = state;
    if (place) PlaceOnRing(s);
  }

  // The longest gone first; one that has come back, or is still active, is looked at again when it is due
  // next.
  void ForgetGone() {
    for (std::size_t left = gone_.size(); left > 0; --left) {
      const BackendId id = gone_.front();
      const auto found = servers_.find(id);
      const bool gone = found != servers_.end() && found->second.entry.state == BackendState::kGone;
      if (gone && now_ - found->second.gone_since <= kForgetAfter) break;
      gone_.pop_front();
      if (gone && found->second.active) gone_.push_back(id);
      if (gone && !found->second.active) servers_.erase(found);
    }
  }

  void FollowUp(EndpointListKind kind) {
    if (kind == EndpointListKind::kCached) {
      ask_at_ = now_;  // a new life: nothing is subscribed yet
    } else if (kind == EndpointListKind::kFailed) {
      // Jittered backoff, from a twentieth to a quarter of the time within which the rules want a call.
      ask_backoff_ = std::min({settings_.max_poll_interval / 4, kMostAskPause,
                               std::max(settings_.max_poll_interval / 20, ask_backoff_ * 2)});
      ask_at_ = now_ + ask_backoff_ * (0.5 + 0.5 * random_.Unit());
    } else {
      ask_backoff_ = Duration(0);
      ask_at_ = kNever;
    }
  }

  // ---- Time -------------------------------------------------------------------------------------------
  void Advance() {
    if (now_ >= armed_) armed_ = kNever;
    if (now_ >= next_return_) ReturnDue();
    if (now_ >= interval_end_) {
      interval_end_ = now_ + Interval();
      for (Server* s : active_) OutlierDetector::EndInterval(s->health);
    }
    if (now_ >= sample_at_) Sample();
    if (now_ >= ask_at_) {
      out_->push_back(Subscribe{});
      ask_at_ = now_ + settings_.max_poll_interval / 2;  // an answer may never come
    }
    while (!wakeups_.empty() && wakeups_.begin()->first <= now_) {
      const auto found = requests_.find(wakeups_.begin()->second);
      wakeups_.erase(wakeups_.begin());
      if (found == requests_.end()) continue;
      Request& r = found->second;
      if (r.held && now_ >= r.refuse_at) Finish(r, StayAway(r));
      NoteOverdue(r);
      Forget(found);
    }
  }

  void ReturnDue() {
    next_return_ = kNever;
    for (Server* s : active_) {
      if (OutlierDetector::ReturnIfDue(s->health, now_)) {
        room_ = true;
        if (MayLog(kHealth)) LogLine("server " + std::to_string(s->entry.server) + " returns to service");
      } else if (s->health.ejected) {
        next_return_ = std::min(next_return_, s->health.return_at);
      }
    }
  }

  // How many warm servers' worth those on the ring are. Only those that were cold when they were listed
  // change.
  void CountWarmth() {
    usable_ = ring_.size();
    double shares = 0;
    std::erase_if(warming_, [&](BackendId id) {
      const auto found = servers_.find(id);
      const double share = found == servers_.end() || !Usable(found->second) ? 1 : WarmShare(found->second);
      if (share < 1) shares += share;
      return share >= 1;
    });
    warm_servers_ = static_cast<double>(usable_ - warming_.size()) + shares;
  }

  // The median, so that fewer than half of the servers can't pass for the usual ones.
  void FindOutliers() {
    std::vector<double> slowness;
    for (const Server* s : active_) slowness.push_back(s->slowness);
    const auto middle = slowness.begin() + static_cast<std::ptrdiff_t>(slowness.size() / 2);
    std::nth_element(slowness.begin(), middle, slowness.end());
    usual_slowness_ = slowness.empty() ? 1 : std::max(1.0, *middle);
    outliers_.clear();
    for (Server* s : active_) {
      if (IsOutlier(*s)) outliers_.push_back(s);
    }
  }

  void Sample() {
    const double elapsed = (now_ - sampled_at_).count();
    const double gain = std::min(1.0, elapsed / kRateMemory.count());
    for (Server* s : active_) {
      if (elapsed > 0 && sampled_at_ != TimePoint{})
        s->served_rate += std::max(gain, 1 / (kRateSamples + ++s->rate_samples)) *
                          (s->served_since_sample / elapsed - s->served_rate);
      s->served_since_sample = 0;
      std::erase_if(s->met, [this](const auto& met) { return now_ - met.second >= kKeyMemory; });
      s->slowness += std::min(1.0, elapsed / kSlownessMemory.count()) * (1 - s->slowness);
      s->active = !s->Idle();
    }
    std::erase_if(active_, [](const Server* s) { return !s->active; });
    FindOutliers();
    if (!Cold()) late_share_ *= std::exp(-elapsed / kLateMemory.count());  // who sends little learns little
    if (!warming_.empty()) CountWarmth();
    if (sampled_at_ != TimePoint{} && elapsed > 0) {
      // A new proxy starts from little and trusts its first samples: one that floods the fleet at its start
      // leaves queues that take far longer to drain than the start took.
      const double gain = std::min(1.0, std::max(elapsed / kGoodMemory.count(), 1.0 / ++samples_));
      served_rate_ += gain * (answered_ / elapsed - served_rate_);
      send_rate_ += gain * (arrived_ / elapsed - send_rate_);
      answered_ = arrived_ = 0;
    }
    for (std::size_t t = 0; t < tenant_tokens_.size(); ++t) {
      const double rate = settings_.tenants[t].quota_per_s / settings_.balancer_count / 1000;
      tenant_tokens_[t] = std::min(std::max(1.0, rate * 2000), tenant_tokens_[t] + rate * elapsed);
    }
    sampled_at_ = now_;
    sample_at_ = now_ + kHousekeeping;
    room_ = true;  // cold budgets have moved on
  }

  void Arm() {
    TimePoint at = std::min({sample_at_, ask_at_, next_return_});
    if (!wakeups_.empty()) at = std::min(at, wakeups_.begin()->first);
    if (at >= armed_) return;
    armed_ = at;
    out_->push_back(SetTimer{at, ++timer_});
  }

  // Few lines: each kind no closer than its gap.
  enum LogKind { kHealth, kEnding, kCold, kLogKinds };
  bool MayLog(LogKind kind) {
    if (now_ < log_at_[kind]) return false;
    log_at_[kind] = now_ + (kind == kHealth ? kLogGap : kLongLogGap);
    return true;
  }
  void LogLine(std::string text) { out_->push_back(Log{std::move(text)}); }

  Settings settings_;
  Random random_;
  TimePoint now_{};
  std::vector<Action>* out_ = nullptr;
  std::map<BackendId, Server> servers_;
  std::vector<Server*> ring_;           // those that take work, by place
  std::set<BackendId> warming_;         // those of them that are cold
  std::deque<BackendId> gone_;          // in the order in which they went
  double arrived_ = 0, send_rate_ = 0;  // requests since the last sample; a ms
  std::vector<Server*> active_;    // those this proxy has dealt with lately; work per event is theirs alone
  double most_worth_ = 1e-9;       // of the classes
  std::vector<ZoneBucket> zones_;  // empty: nobody decides how much goes where
  std::vector<Server*> outliers_;  // of these, slower than most; as of the last sample
  double usual_slowness_ = 1;
  std::size_t usable_ = 0;   // servers on the list that take work
  double warm_servers_ = 0;  // their shares of a warm server's capacity, summed
  std::map<RequestId, Request> requests_;
  std::set<std::tuple<double, Duration, RequestId>> held_;
  std::set<std::pair<TimePoint, RequestId>> wakeups_;
  std::vector<ClassState> classes_;
  Spread request_work_, mean_aim_;
  bool hinted_ = false;  // some request has told its work
  double stretch_ = 0;   // time over work that large requests take at the least
  int samples_ = 0;
  double mean_in_flight_ = 0;
  double last_place_ = 0;  // the part of one that the limit must leave for the next, drawn at each send
  double late_share_ = 0;  // of the answers lately
  int in_flight_ = 0;      // attempts
  double answered_ = 0, served_rate_ = 0;  // answers since the last sample; answers a ms
  std::vector<double> tenant_tokens_;
  double retry_tokens_ = kRetryBurst;
  bool room_ = false;  // something changed that may let a held request go
  Duration ask_backoff_{0};
  std::uint64_t timer_ = 0;  // token of the timer that is set
  TimePoint armed_ = kNever, ask_at_ = kNever, next_return_ = kNever;
  TimePoint interval_end_{}, sample_at_{}, sampled_at_{};
  TimePoint log_at_[kLogKinds] = {};
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}
std::vector<BackendView> Balancer::Inspect() const { return impl_->Inspect(); }

}  // namespace badgerbridge::balancer
