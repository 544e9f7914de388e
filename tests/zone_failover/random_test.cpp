// SPDX-License-Identifier: Apache-2.0
//
// Many members over one etcd, from fixed seeds: stopped, deaf, dead, slow, with clocks that drift, with calls
// that are done and whose answer is lost, with orders, with an etcd that is gone or restored from a backup.
// At each step the sum over all members is held against what each zone has shown.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "simulator/etcd.h"
#include "zone_failover/member.h"

namespace badgerbridge::zone_failover {
namespace {

constexpr std::size_t kZones = 4;

struct Fleet {
  struct One {
    std::string name;
    std::size_t zone = 0;
    std::unique_ptr<Member> member;
    double rate = 1;  // of its clock
    double offset = 0;
    bool stopped = false, deaf = false, dead = false;
    double demand = 0;
    std::optional<Member::Call> call;  // on its way
    double arrives = 0, answered = 0;  // real ms
    bool lost_there = false, lost_back = false;
    std::optional<Member::Reply> reply;
    std::uint64_t attempts = 0;
    std::vector<double> spent = std::vector<double>(kZones);
  };

  explicit Fleet(std::uint64_t seed, int members) : random(seed) {
    rules.zones = kZones;
    rules.round_trip = Matrix(kZones, 2);
    rules.price = Matrix(kZones, 1);
    for (int i = 0; i < members; ++i) {
      One one;
      one.name = "n" + std::to_string(i);
      one.zone = static_cast<std::size_t>(i) % kZones;
      one.rate = 0.99 + 0.02 * Unit();
      one.offset = 1e6 * (1 + Unit());
      one.demand = 0.4 + 0.4 * Unit();
      all.push_back(std::move(one));
      Begin(all.back());
    }
    for (std::size_t z = 0; z < kZones; ++z) able[z] = 1.5 * members / kZones;
  }

  double Unit() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
  TimePoint Clock(const One& one) const { return TimePoint(Duration(one.offset + now * one.rate)); }

  void Begin(One& one) {
    MemberSettings settings;
    settings.name = one.name;
    settings.zone = static_cast<int>(one.zone);
    settings.rules = rules;
    one.member = std::make_unique<Member>(settings, random());
    one.member->Listed(std::vector<double>(kZones, 10));
    one.call.reset();
    one.reply.reset();
    one.dead = one.stopped = false;
  }

  // 10 ms of real time.
  void Step() {
    now += 10;
    if (static_cast<int>(now) % 500 == 0) {
      for (std::size_t r = 0; r < kZones; ++r) {
        if (able[r] > 0) used[r] = std::min(1.0, load[r] / 500 / able[r]);
        load[r] = 0;
      }
    }
    if (!etcd_down) etcd.Expire(TimePoint(Duration(now)));
    for (One& one : all) {
      if (one.call && now >= one.arrives && !one.reply) {
        if (etcd_down || one.lost_there) {
          one.reply = Member::Reply{};
          one.answered = now + 400;
        } else {
          one.reply = etcd.Do(TimePoint(Duration(now)), one.name, *one.call);
          if (one.lost_back) one.reply = Member::Reply{};
        }
      }
      if (one.dead || one.stopped) continue;
      const TimePoint at = Clock(one);
      Work(one, at);
      if (one.call && one.reply && now >= one.answered) {
        one.call.reset();
        one.member->Done(at, *std::exchange(one.reply, std::nullopt));
      }
      if (one.call) continue;
      if (auto call = one.member->Next(at)) {
        one.call = std::move(call);
        one.lost_there = one.deaf || Unit() < 0.01;
        one.lost_back = Unit() < 0.01;
        one.arrives = now + 1 + 20 * Unit() * Unit();
        one.answered = one.arrives + 1 + 20 * Unit() * Unit();
      }
    }
    Check();
  }

  // What it is asked goes to its own zone as far as it may, and the rest wherever it may.
  void Work(One& one, TimePoint at) {
    if (static_cast<int>(now) % 50 != 0) return;
    const double work = one.demand * 50;
    one.member->Arrived(at, work);
    const auto shares = one.member->Shares(at);
    double left = work;
    for (std::size_t k = 0; k < kZones; ++k) {
      const std::size_t r = (one.zone + k) % kZones;
      const double part = shares[r] == kFree ? left : std::min(left, shares[r] * 50);
      if (part <= 0) continue;
      left -= part;
      const std::uint64_t attempt = ++one.attempts;
      one.member->Sent(at, attempt, r);
      const bool good = able[r] > 0;
      load[r] += part;
      one.member->Ended(at + Duration(20), attempt, 0, good ? Meter::End::kServed : Meter::End::kFailed,
                        Duration(slow[r] * 20), part, used[r]);
    }
  }

  std::string Describe(std::size_t r) {
    std::string text;
    for (One& one : all) {
      const auto& d = one.member->decision();
      text += "\n  " + one.name + " of " + std::to_string(one.zone) + (one.dead ? ", dead" : "") +
              (one.stopped ? ", stopped" : "") + (one.deaf ? ", deaf" : "") + ": share " +
              std::to_string(one.member->Shares(Clock(one))[r]) + ", epoch " +
              std::to_string(d ? d->epoch : 0) + (one.member->in_touch(Clock(one)) ? ", in touch" : "") +
              (one.member->deciding() ? ", deciding" : "") + ", demand " + std::to_string(one.demand);
    }
    for (const auto& [at, d] : decisions) {
      text += "\n  at " + std::to_string(at) + " epoch " + std::to_string(d.epoch) + " by " + d.decider +
              ": " + std::string(Name(d.zones[r].state)) + ", limit " + std::to_string(d.zones[r].limit) +
              ", shown " + std::to_string(d.zones[r].shown) + ", demand " +
              std::to_string(d.zones[r].demand) + ", members " + std::to_string(d.zones[r].members) + "+" +
              std::to_string(d.zones[r].lost) + ", grants";
      for (std::size_t o = 0; o < kZones; ++o)
        text += " " + std::to_string(d.grants.at(o, r)) + "/" + std::to_string(d.ceiling.at(o, r));
    }
    return text;
  }

  void Check() {
    const auto record = etcd.keys().find("decision");
    std::string why;
    if (record != etcd.keys().end() && record->second.modified != seen) {
      seen = record->second.modified;
      const auto d = DecodeDecision(record->second.value, kZones, &why);
      ASSERT_TRUE(d) << why;
      decisions.emplace_back(now, *d);
    }
    while (decisions.size() > 1 && decisions[1].first < now - 12000) decisions.pop_front();
    if (decisions.empty()) return;
    for (std::size_t r = 0; r < kZones; ++r) {
      double sum = 0, home = 0, limit = 0;
      bool sound =
          true;  // a deaf member of a zone that is not goes on with its own zone, as if all this were off
      for (const auto& [at, d] : decisions) {
        limit = std::max(limit, d.zones[r].limit);
        sound &= d.zones[r].state == ZoneState::kSound;
      }
      for (One& one : all) {
        if (one.dead) continue;
        // One that is stopped sends nothing, and may go on at any moment by the shares of that moment.
        const double share = one.member->Shares(Clock(one))[r];
        if (!one.member->decision()) continue;  // it has heard of none yet: docs/zone_failover.md
        if (share == kFree) {
          home += one.demand;
        } else if (sound || one.member->in_touch(Clock(one))) {
          // What one that has lost touch stands by with was kept for it while the zone was sound: that the
          // zone has fallen since is news that can't reach it.
          sum += share;
        }
      }
      // Beside what the zone's own clients ask of it, with the margin that the decider leaves for it.
      const double rest = sound ? std::max(0.0, limit - home) : limit;
      // The limit is read from the record, which has it rounded down to ten-thousandths.
      ASSERT_LE(sum, rest + 1e-4) << "zone " << r << " at " << now << " ms, home " << home << ", limit "
                                  << limit << Describe(r);
      worst = std::max(worst, limit > 0 ? (sum + home) / limit : 0);
    }
  }

  std::mt19937_64 random;
  Rules rules;
  std::vector<One> all;
  simulator::EtcdModel etcd;
  std::optional<simulator::EtcdModel> backup;
  bool etcd_down = false;
  double now = 0;
  std::int64_t seen = 0;
  std::deque<std::pair<double, Decision>> decisions;
  std::map<std::size_t, double> able;
  std::vector<double> slow = std::vector<double>(kZones, 1);
  std::vector<std::optional<double>> used = std::vector<std::optional<double>>(kZones, 0.4);
  std::vector<double> load = std::vector<double>(kZones);  // since the last look
  double worst = 0;
};

// Four times ten seeds of 8,000 steps.
class RegionsRandom : public ::testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, RegionsRandom, ::testing::Values(1, 11, 21, 31));

TEST_P(RegionsRandom, TheSumStaysUnderEachZonesLimitAndAllEndsInOneEpoch) {
  for (std::uint64_t seed = GetParam(); seed < GetParam() + 10; ++seed) {
    Fleet fleet(seed, 16);
    for (int i = 0; i < 500; ++i) fleet.Step();
    for (int i = 0; i < 3000 && !::testing::Test::HasFailure(); ++i) {
      const double drawn = fleet.Unit();
      auto& one = fleet.all[fleet.random() % fleet.all.size()];
      if (drawn < 0.004) {
        one.stopped = !one.stopped;
      } else if (drawn < 0.008) {
        one.deaf = !one.deaf;
      } else if (drawn < 0.010) {
        if (one.dead) {
          fleet.Begin(one);
        } else {
          one.dead = true;
        }
      } else if (drawn < 0.012) {
        fleet.etcd_down = !fleet.etcd_down && fleet.Unit() < 0.5;
      } else if (drawn < 0.014) {
        const std::size_t z = fleet.random() % kZones;
        fleet.able[z] = fleet.able[z] > 0 && fleet.Unit() < 0.5 ? 0 : 6;
      } else if (drawn < 0.015) {
        fleet.etcd.Order(static_cast<int>(fleet.random() % kZones), fleet.Unit() < 0.4 ? "an operator" : "");
      } else if (drawn < 0.0162) {
        if (fleet.backup && fleet.Unit() < 0.5) {
          fleet.etcd.Restore(*fleet.backup);
        } else {
          fleet.backup = fleet.etcd;
        }
      } else if (drawn < 0.0164) {
        fleet.etcd.Put("members/liar",
                       fleet.Unit() < 0.5 ? "{\"v\":1,\"zone\":NaN}" : std::string(9000, 'x'));
      }
      fleet.Step();
    }
    if (::testing::Test::HasFailure()) FAIL() << "seed " << seed;
    // Quiet again: one epoch, one decider, every zone sound.
    fleet.etcd_down = false;
    for (std::size_t z = 0; z < kZones; ++z) {
      fleet.able[z] = 6;
      fleet.etcd.Order(static_cast<int>(z), "");
    }
    for (auto& one : fleet.all) {
      if (one.dead) fleet.Begin(one);
      one.stopped = one.deaf = false;
    }
    for (int i = 0; i < 4500; ++i) fleet.Step();
    if (::testing::Test::HasFailure()) FAIL() << "seed " << seed << ", after it was quiet";
    std::set<std::uint64_t> epochs;
    int deciding = 0;
    for (auto& one : fleet.all) {
      ASSERT_TRUE(one.member->decision()) << one.member->last_error();
      epochs.insert(one.member->decision()->epoch);
      deciding += one.member->deciding();
      EXPECT_TRUE(one.member->admitted()) << one.name << ": " << one.member->last_error();
      EXPECT_EQ(one.member->Shares(fleet.Clock(one))[one.zone], kFree) << "seed " << seed << " " << one.name;
    }
    EXPECT_EQ(deciding, 1) << "seed " << seed;
    EXPECT_LE(*epochs.rbegin() - *epochs.begin(), 1u) << "seed " << seed;
    // The bound was reached for: a sum that stays far below it would show nothing.
    EXPECT_GT(fleet.worst, 0.9) << "seed " << seed;
    for (const Decision::Zone& zone : fleet.decisions.back().second.zones)
      EXPECT_EQ(zone.state, ZoneState::kSound) << zone.why;
  }
}

}  // namespace
}  // namespace badgerbridge::zone_failover
