// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/evidence.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace badgerbridge::zone_failover {
namespace {

namespace json = boost::json;

constexpr double kMostRate = 1e6;     // standard cores that one member may speak of
constexpr double kMostCount = 1e6;    // attempts in a second
constexpr double kMostSlow = 1000;    // times
constexpr double kMostLatency = 6e5;  // ms
constexpr double kUsualGain = 0.02;   // of one answer in the long run
constexpr double kUsualUpTo = 1.5;    // a slow answer teaches nothing about what is usual
constexpr int kFewSamples = 10;       // below, nothing is known to be usual
constexpr double kTooLong = 6;        // times the usual, for an attempt that is out
constexpr Duration kLeastTooLong{500};
constexpr double kFewAttempts = 3;  // in a second: enough to speak of a zone
constexpr double kMostBad = 0.5;    // share: a zone that fails

// A shorter form for people and the wire.
double Rounded(double x) { return std::round(x * 1000) / 1000; }

bool Read(const json::value& value, double least, double most, double* out) {
  if (!value.is_number()) return false;
  const double number = value.to_number<double>();
  if (!std::isfinite(number)) return false;
  *out = std::clamp(number, least, most);
  return true;
}

}  // namespace

std::string Encode(const Evidence& evidence) {
  json::array zones;
  for (const ZoneReport& z : evidence.zones)
    zones.push_back(json::array{Rounded(z.attempts), Rounded(z.bad), Rounded(z.served), Rounded(z.slow),
                                Rounded(z.latency), Rounded(z.used), Rounded(z.warm)});
  json::object all{{"v", 1},
                   {"epoch", evidence.epoch},
                   {"zone", evidence.zone},
                   {"demand", Rounded(evidence.demand)},
                   {"zones", std::move(zones)}};
  if (evidence.doubt) all["doubt"] = true;
  return json::serialize(all);
}

std::optional<Evidence> DecodeEvidence(std::string_view text, std::size_t zones, std::string* why) {
  const auto bad = [&](const char* reason) -> std::optional<Evidence> {
    *why = reason;
    return std::nullopt;
  };
  if (text.size() > kMostEvidenceBytes) return bad("longer than any evidence is");
  boost::system::error_code error;
  const json::value root = json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !root.is_object()) return bad("no JSON object");
  const json::object& all = root.get_object();
  const auto at = [&](const char* key) {
    const json::value* found = all.if_contains(key);
    return found ? *found : json::value();
  };
  if (!at("v").is_number() || at("v").to_number<double>() != 1) return bad("not of version 1");
  Evidence evidence;
  double zone = 0, epoch = 0;
  if (!Read(at("epoch"), 0, 9e15, &epoch)) return bad("epoch is no number");
  if (!Read(at("zone"), -1, 1e6, &zone) || zone < 0 || zone >= static_cast<double>(zones) ||
      zone != std::floor(zone))
    return bad("zone is none of this installation");
  if (!Read(at("demand"), 0, kMostRate, &evidence.demand)) return bad("demand is no number");
  evidence.epoch = static_cast<std::uint64_t>(epoch);
  evidence.zone = static_cast<int>(zone);
  evidence.doubt = at("doubt").is_bool() && at("doubt").get_bool();
  const json::value list = at("zones");
  if (!list.is_array() || list.get_array().size() != zones)
    return bad("zones are not those of this installation");
  for (const json::value& value : list.get_array()) {
    ZoneReport z;
    if (!value.is_array() || value.get_array().size() != 7) return bad("a zone is no list of seven numbers");
    const json::array& n = value.get_array();
    if (!Read(n[0], 0, kMostCount, &z.attempts) || !Read(n[1], 0, kMostCount, &z.bad) ||
        !Read(n[2], 0, kMostRate, &z.served) || !Read(n[3], 0, kMostSlow, &z.slow) ||
        !Read(n[4], 0, kMostLatency, &z.latency) || !Read(n[5], -1, 1, &z.used) ||
        !Read(n[6], 0, kMostCount, &z.warm))
      return bad("a zone holds what is no number");
    z.bad = std::min(z.bad, z.attempts);
    evidence.zones.push_back(z);
  }
  return evidence;
}

Meter::Meter(int zone, std::size_t zones, std::size_t classes)
    : zone_(zone), zones_(zones), usual_(zones, std::vector<Usual>(classes)), mean_work_(classes) {
  for (Bucket& bucket : buckets_) bucket.zones.resize(zones);
}

void Meter::Advance(TimePoint now) {
  if (began_ == TimePoint{}) began_ = bucket_began_ = now;
  for (int i = 0; now - bucket_began_ >= kBucket; ++i) {
    if (i > kBuckets) {  // nothing for long: all are empty
      bucket_began_ = now;
      break;
    }
    bucket_began_ += kBucket;
    current_ = (current_ + 1) % kBuckets;
    buckets_[static_cast<std::size_t>(current_)] = Bucket{0, std::vector<Bucket::Zone>(zones_)};
  }
}

void Meter::Arrived(TimePoint now, double work) {
  Advance(now);
  buckets_[static_cast<std::size_t>(current_)].demand += work;
}

void Meter::Sent(TimePoint now, std::uint64_t attempt, std::size_t zone) {
  Advance(now);
  if (zone < zones_) out_.emplace(attempt, std::pair(zone, now));
}

void Meter::Ended(TimePoint now, std::uint64_t attempt, std::size_t request_class, End end, Duration took,
                  double work, std::optional<double> used) {
  Advance(now);
  const auto found = out_.find(attempt);
  if (found == out_.end()) return;
  const std::size_t zone = found->second.first;
  out_.erase(found);
  if (end == End::kNothing) return;
  Bucket::Zone& z = buckets_[static_cast<std::size_t>(current_)].zones[zone];
  ++z.attempts;
  z.bad += end == End::kFailed;
  if (used && std::isfinite(*used) && *used >= 0 && *used <= 1) z.used += *used, ++z.told;
  if (end != End::kServed || request_class >= mean_work_.size()) return;
  z.served += work;
  double& mean = mean_work_[request_class];
  mean = mean == 0 ? work : mean + kUsualGain * (work - mean);
  // Work is hinted roughly: a request of half the mean is not taken to be done in half the time.
  const double scale = mean > 0 ? 0.5 + 0.5 * std::min(work / mean, 10.0) : 1;
  const double time = took.count() / scale;
  if (!(time >= 0) || !std::isfinite(time)) return;
  Usual& usual = usual_[zone][request_class];
  const double ratio = usual.samples >= kFewSamples && usual.time > 0 ? time / usual.time : 1;
  if (usual.samples < kFewSamples || ratio < 4) {
    // A median of sorts: what is slower than kUsualUpTo counts as that.
    const double taught = usual.samples < kFewSamples ? time : std::min(time, kUsualUpTo * usual.time);
    usual.time += std::max(kUsualGain, 1.0 / (usual.samples + 1)) * (taught - usual.time);
    ++usual.samples;
  }
  ++z.timed;
  z.slow += std::min(ratio, kMostSlow);
  z.latency += std::min(took.count(), kMostLatency);
}

double Meter::Likely(std::size_t zone) const {
  double longest = 0;
  for (const Usual& usual : usual_[zone]) {
    if (usual.samples >= kFewSamples) longest = std::max(longest, usual.time);
  }
  return longest;
}

Evidence Meter::Take(TimePoint now, std::uint64_t epoch) {
  Advance(now);
  Evidence evidence;
  evidence.epoch = epoch;
  evidence.zone = zone_;
  evidence.zones.resize(zones_);
  // The newest bucket has begun some time ago; a new member has not seen a whole second.
  const double span = std::max(50.0, std::min((now - began_).count(), (kBuckets - 1) * kBucket.count() +
                                                                          (now - bucket_began_).count()));
  std::vector<Bucket::Zone> sums(zones_);
  for (const Bucket& bucket : buckets_) {
    evidence.demand += bucket.demand;
    for (std::size_t i = 0; i < zones_; ++i) {
      const Bucket::Zone& b = bucket.zones[i];
      Bucket::Zone& s = sums[i];
      s.attempts += b.attempts, s.bad += b.bad, s.served += b.served, s.slow += b.slow;
      s.latency += b.latency, s.timed += b.timed, s.used += b.used, s.told += b.told;
    }
  }
  evidence.demand /= span;
  std::vector<double> overdue(zones_);
  for (const auto& [attempt, what] : out_) {
    const auto& [zone, since] = what;
    const double likely = Likely(zone);
    if (likely > 0 && (now - since).count() > std::max(kLeastTooLong.count(), kTooLong * likely))
      ++overdue[zone];
  }
  std::vector<double> answered(zones_);  // in the two newest buckets
  for (const int back : {0, 1}) {
    const Bucket& bucket = buckets_[static_cast<std::size_t>((current_ + kBuckets - back) % kBuckets)];
    for (std::size_t i = 0; i < zones_; ++i) answered[i] += bucket.zones[i].timed;
  }
  int spoken = 0, failing = 0;
  for (std::size_t i = 0; i < zones_; ++i) {
    ZoneReport& z = evidence.zones[i];
    const Bucket::Zone& s = sums[i];
    // While answers come, what is out for long is slow and not lost.
    const double silent = answered[i] > 0 ? 0 : overdue[i];
    z.attempts = s.attempts + silent;
    z.bad = s.bad + silent;
    z.served = s.served / span;
    z.warm = i < warm_.size() ? warm_[i] : 0;
    if (s.timed > 0) z.slow = s.slow / s.timed, z.latency = s.latency / s.timed;
    if (s.told > 0) z.used = s.used / s.told;
    if (z.attempts < kFewAttempts) continue;
    ++spoken;
    failing += z.bad > kMostBad * z.attempts;
  }
  // As in Lifeguard (Dadgar, Phillips, Currey, 2018): who sees everyone fail is likely to be the one that
  // fails.
  evidence.doubt = spoken >= 2 && failing == spoken;
  return evidence;
}

}  // namespace badgerbridge::zone_failover
