// SPDX-License-Identifier: Apache-2.0
//
// What one proxy has seen of each zone, measured over the last second, and its published form. Pure: the
// proxy tells what it sent and how that ended; words of other members come in as text that may be anything.
//
// Units: work is in ms on a standard core, as clients hint it; rates in work a ms, so in standard cores.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_EVIDENCE_H_
#define BADGERBRIDGE_ZONE_FAILOVER_EVIDENCE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::zone_failover {

using balancer::Duration;
using balancer::TimePoint;

constexpr std::size_t kMostZones = 64;
constexpr std::size_t kMostEvidenceBytes = 8192;  // of a member's word: 64 zones at most

// Of one zone, over the last second or so.
struct ZoneReport {
  double attempts = 0;  // that ended, or are out for longer than is likely
  double bad = 0;       // of these: failed, or out for too long
  double served = 0;    // work a ms
  double slow = 1;      // time of answers over what this member is used to from this zone; 1 where none came
  double latency = 0;   // ms, mean
  double used = -1;     // 0 to 1: how busy its backends say they are; below 0: they say nothing
  double warm = 0;      // how many warm backends' worth the list has there: cold ones count by their share

  friend bool operator==(const ZoneReport&, const ZoneReport&) = default;
};

// What a member publishes.
struct Evidence {
  std::uint64_t epoch = 0;  // of the decision that it goes by: this confirms it
  int zone = 0;             // where it stands
  double demand = 0;        // work a ms that clients ask of it
  bool doubt = false;       // it sees several zones fail at once, and doubts itself
  std::vector<ZoneReport> zones;

  friend bool operator==(const Evidence&, const Evidence&) = default;
};

std::string Encode(const Evidence& evidence);
// Nothing, and *why set, for what is no evidence of an installation of `zones` zones: other members are not
// trusted to be sane. Numbers are finite and bounded in what it gives.
std::optional<Evidence> DecodeEvidence(std::string_view text, std::size_t zones, std::string* why);

// Measures.
class Meter {
 public:
  Meter(int zone, std::size_t zones, std::size_t classes);

  void Arrived(TimePoint now, double work);
  // An attempt goes out; `attempt` is a number of the caller's, unique while it is out.
  void Sent(TimePoint now, std::uint64_t attempt, std::size_t zone);
  enum class End {
    kServed,   // answered well
    kFailed,   // an error, a time-out, a reset, no connection: what speaks against the zone
    kFull,     // turned away: answered, and not served
    kNothing,  // given up for reasons of this proxy or its client
  };
  // `used` is what its answer says of how busy its backend is; NaN or out of 0 to 1: nothing.
  void Ended(TimePoint now, std::uint64_t attempt, std::size_t request_class, End end, Duration took,
             double work, std::optional<double> used);

  // What the list has in each zone, as ZoneReport::warm.
  void Listed(std::vector<double> warm) { warm_ = std::move(warm); }

  Evidence Take(TimePoint now, std::uint64_t epoch);

 private:
  static constexpr int kBuckets = 4;
  static constexpr Duration kBucket{250};
  struct Bucket {
    double demand = 0;
    struct Zone {
      double attempts = 0, bad = 0, served = 0, slow = 0, latency = 0, timed = 0, used = 0, told = 0;
    };
    std::vector<Zone> zones;
  };
  struct Usual {  // time of a class's answers by a zone, over their work, in the long run
    double time = 0;
    int samples = 0;
  };

  void Advance(TimePoint now);
  double Likely(std::size_t zone) const;

  int zone_;
  std::size_t zones_;
  std::array<Bucket, kBuckets> buckets_;
  int current_ = 0;
  TimePoint bucket_began_{};
  TimePoint began_{};
  std::map<std::uint64_t, std::pair<std::size_t, TimePoint>> out_;  // attempts: zone, and since when
  std::vector<std::vector<Usual>> usual_;                           // by zone and class
  std::vector<double> mean_work_;                                   // by class
  std::vector<double> warm_;                                        // by zone
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_EVIDENCE_H_
