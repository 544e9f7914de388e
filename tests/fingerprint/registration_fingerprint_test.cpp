// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The registration of a member in etcd: what it asks, in which order and with which pauses, while calls are
/// lost, leases run out, and others drain, delete or take over its key.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "fingerprint/fingerprint.h"
#include "fingerprint/random.h"
#include "membership/registration.h"
#include "membership/value.h"
#include "standins/etcd_store.h"

namespace badgerbridge::fingerprint {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Status;
using membership::Member;
using membership::Registration;
using membership::Time;
using standins::EtcdStore;

constexpr std::uint64_t kSeeds = 30;
constexpr int kRegistrations = 40;  ///< One after another, of the same name.
constexpr double kStartMs = 100;    ///< Start of the first process.

/// How often the runs met what they must meet, summed over the seeds.
struct Coverage {
  std::uint64_t grants = 0, reads = 0, writes = 0, keep_alives = 0, revocations = 0, waits = 0, ends = 0;
  std::uint64_t lost_leases = 0, registered = 0, draining = 0, ended_early = 0;
};

/// One process after another that registers, the store that it asks, and others who write there.
class SimulatedRegistrations {
 public:
  SimulatedRegistrations(std::uint64_t seed, Coverage* coverage)
      : random_(seed), fingerprint_("registration", seed), coverage_(coverage) {}

  void Execute() {
    for (int number = 1; number <= kRegistrations; ++number) {
      Registration registration(DrawSettings(number));
      registration_ = &registration;
      Run();
      if (number % (kRegistrations / static_cast<int>(Fingerprint::kParts)) == 0) fingerprint_.EndPart();
    }
    fingerprint_.Check();
  }

 private:
  enum class Fate { kAnswered, kNeverArrives, kAnswerLost, kRefused };

  membership::RegistrationSettings DrawSettings(int number) {
    membership::RegistrationSettings settings;
    settings.member.name = "c1";
    settings.member.address = "127.0.0.1:" + std::to_string(random_.Integer(1, 2));
    // Some are started twice at the same time, and some come too late.
    settings.member.since_ms = kStartMs + number + random_.Integer(-2, 1);
    settings.member.state = random_.Chance(0.9) ? membership::State::kReady : membership::State::kDraining;
    settings.ttl_s = random_.Integer(1, 12);
    settings.drain_for = Time(random_.Integer(0, 3000));
    settings.first_backoff = Time(random_.Integer(10, 100));
    settings.most_backoff = Time(random_.Integer(200, 3000));
    return settings;
  }

  void Run() {
    const Time begin = now_;
    const Time stop_at = begin + Time(random_.Integer(200, 60000));
    const Time give_up_at = stop_at + Time(40000);
    bool stopped = false;
    while (now_ < give_up_at) {
      if (!stopped && now_ >= stop_at) {
        registration_->Stop(now_);
        stopped = true;
      }
      DisturbSometimes();
      const Registration::Action action = registration_->Next(now_);
      std::visit([this](const auto& act) { Perform(act); }, action);
      AddState();
      fingerprint_.EndStep();
      if (std::holds_alternative<Registration::End>(action)) break;
    }
    coverage_->ended_early += !stopped;
    Pass(Time(random_.Integer(0, 20000)));
  }

  void Pass(Time time) {
    now_ += time;
    store_.Expire(now_);
  }

  // ---- what others do ----

  void DisturbSometimes() {
    const double draw = random_.Unit();
    if (draw < 0.01) {
      faulty_ = !faulty_;
    } else if (draw < 0.03) {
      ChangeState();
    } else if (draw < 0.035) {
      pb::DeleteRangeRequest request;
      request.set_key(kKey);
      pb::DeleteRangeResponse response;
      store_.DeleteRange(request, &response);
    } else if (draw < 0.037) {
      PutNewerStart();
    } else if (draw < 0.045) {
      if (registration_->lease() != 0) store_.Revoke(registration_->lease());
    } else if (draw < 0.05) {
      Pass(Time(random_.Integer(1000, 15000)));  // this process was stopped
    }
  }

  void ChangeState() {
    pb::RangeRequest request;
    request.set_key(kKey);
    pb::RangeResponse response;
    store_.Range(request, &response);
    if (response.kvs_size() == 0) return;
    std::string problem;
    const auto state = random_.Chance(0.6) ? membership::State::kDraining : membership::State::kReady;
    const auto change = membership::ChangeOfState(response.kvs(0), state, &problem);
    fingerprint_.digest().Add(change.has_value());
    if (!change) return;
    fingerprint_.digest().Add(change->SerializeAsString());
    pb::TxnResponse answer;
    store_.Txn(*change, &answer);
  }

  void PutNewerStart() {
    Member member;
    member.name = "c1";
    member.address = "127.0.0.1:9";
    member.since_ms = kStartMs + random_.Integer(0, 2 * kRegistrations);
    pb::PutRequest request;
    request.set_key(kKey);
    request.set_value(random_.Chance(0.2) ? "not JSON" : membership::ValueOf(member));
    pb::PutResponse response;
    store_.Put(request, &response);
  }

  // ---- what the registration asks; the first number that each adds stands for the kind of action ----

  /// Runs a call on the store, and returns what the registration is told of it.
  template <typename Call>
  Status RunCall(Call call) {
    Pass(Time(random_.Integer(1, 20)));
    const double draw = random_.Unit();
    Fate fate = Fate::kAnswered;
    if (draw < (faulty_ ? 0.3 : 0.01))
      fate = Fate::kNeverArrives;
    else if (draw < (faulty_ ? 0.6 : 0.02))
      fate = Fate::kAnswerLost;
    else if (draw < (faulty_ ? 0.8 : 0.03))
      fate = Fate::kRefused;
    if (fate == Fate::kRefused) return {Code::kUnavailable, Ending::kStatus, "no leader"};
    if (fate == Fate::kNeverArrives) return {Code::kUnavailable, Ending::kLost, "cut"};
    const Status status = call();
    if (fate == Fate::kAnswerLost) return {Code::kUnavailable, Ending::kLost, "cut"};
    return status;
  }

  void Perform(const Registration::Grant& action) {
    fingerprint_.digest().Add(1, action.request.SerializeAsString());
    ++coverage_->grants;
    pb::LeaseGrantResponse response;
    const Status status = RunCall([&] { return store_.Grant(now_, action.request, &response); });
    registration_->Granted(now_, status, response);
  }
  void Perform(const Registration::Read& action) {
    fingerprint_.digest().Add(2, action.request.SerializeAsString());
    ++coverage_->reads;
    pb::RangeResponse response;
    const Status status = RunCall([&] { return store_.Range(action.request, &response); });
    registration_->WasRead(now_, status, response);
  }
  void Perform(const Registration::Write& action) {
    fingerprint_.digest().Add(3, action.request.SerializeAsString());
    ++coverage_->writes;
    pb::TxnResponse response;
    const Status status = RunCall([&] { return store_.Txn(action.request, &response); });
    registration_->Written(now_, status, response);
  }
  void Perform(const Registration::KeepAlive& action) {
    fingerprint_.digest().Add(4, action.request.SerializeAsString());
    ++coverage_->keep_alives;
    pb::LeaseKeepAliveResponse response;
    const Status status = RunCall([&] {
      response.set_ttl(store_.KeepAlive(now_, action.request.id()));
      return Status{};
    });
    coverage_->lost_leases += status.ok() && response.ttl() == 0;
    registration_->KeptAlive(now_, status, response);
  }
  void Perform(const Registration::Revoke& action) {
    fingerprint_.digest().Add(5, action.request.SerializeAsString());
    ++coverage_->revocations;
    const Status status = RunCall([&] { return store_.Revoke(action.request.id()); });
    registration_->Revoked(now_, status, {});
  }
  void Perform(const Registration::Wait& action) {
    fingerprint_.digest().Add(6, action.until);
    ++coverage_->waits;
    // A wait may be ended before its time by a Stop, which comes at no later moment than this.
    const Time most(random_.Integer(100, 4000));
    Pass(std::clamp(action.until - now_, Time(1), most));
  }
  void Perform(const Registration::End&) {
    fingerprint_.digest().Add(7);
    ++coverage_->ends;
  }

  void AddState() {
    fingerprint_.digest().Add(registration_->registered(), registration_->ended(), registration_->state());
    fingerprint_.digest().Add(registration_->lease(), registration_->grants(), !registration_->why().empty());
    coverage_->registered += registration_->registered();
    coverage_->draining += registration_->state() == membership::State::kDraining;
  }

  static constexpr char kKey[] = "/badgerbridge/converters/c1";

  Random random_;
  EtcdStore store_;
  Registration* registration_ = nullptr;  // the one that runs
  Time now_{1000};
  bool faulty_ = false;  // the way to the store
  Fingerprint fingerprint_;
  Coverage* coverage_;
};

TEST(RegistrationFingerprint, RandomFaults_SameRequestsAsRecorded) {
  Coverage coverage;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) SimulatedRegistrations(seed, &coverage).Execute();
  EXPECT_GT(coverage.grants, 200U);
  EXPECT_GT(coverage.reads, 500U);
  EXPECT_GT(coverage.writes, 200U);
  EXPECT_GT(coverage.keep_alives, 500U);
  EXPECT_GT(coverage.revocations, 50U);
  EXPECT_GT(coverage.waits, 500U);
  EXPECT_GT(coverage.ends, 100U);
  EXPECT_GT(coverage.lost_leases, 20U);
  EXPECT_GT(coverage.registered, 500U);
  EXPECT_GT(coverage.draining, 100U);
  EXPECT_GT(coverage.ended_early, 20U);
}

}  // namespace
}  // namespace badgerbridge::fingerprint
