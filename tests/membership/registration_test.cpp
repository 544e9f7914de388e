// SPDX-License-Identifier: Apache-2.0
//
// Registration against the store of the fake etcd, in virtual time: lost responses, expired leases, drains,
// newer incarnations, deletions.
#include "membership/registration.h"

#include <gtest/gtest.h>

#include <random>

#include "membership/member_codec.h"
#include "standins/etcd_store.h"

namespace badgerbridge::membership {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Status;
using standins::EtcdStore;

const std::string kKey = "/badgerbridge/converters/c1";

/// A registration, the etcd store it writes to, and the simulated network between them, in virtual time.
class RegistrationSimulation {
 public:
  explicit RegistrationSimulation(std::uint64_t seed = 1, double start_time_ms = 100)
      : random_(seed), registration_(MakeSettings(start_time_ms)) {}

  /// The fate of a call on the network.
  enum class CallFate { kDelivered, kRequestLost, kAnswerLost };
  /// Decides the fate of each call.
  std::function<CallFate()> next_call_fate = [] { return CallFate::kDelivered; };

  /// Runs until `until`. Each call takes 1 ms.
  void RunUntil(Time until) {
    while (now_ < until) {
      const Registration::Action action = registration_.Next(now_);
      if (std::holds_alternative<Registration::End>(action)) break;
      if (const auto* wait = std::get_if<Registration::Wait>(&action)) {
        ASSERT_GT(wait->until, now_) << "a wait that ends now or earlier would loop for ever";
        AdvanceBy(std::min(until, wait->until) - now_);
        continue;
      }
      ++calls_;
      ASSERT_LT(calls_, 2'000'000u);
      std::visit([this](const auto& one) { Execute(one); }, action);
      AdvanceBy(Time(1));
    }
    if (now_ < until) AdvanceBy(until - now_);
  }
  /// Advances the time and expires leases.
  void AdvanceBy(Time by) {
    now_ += by;
    store.Expire(now_);
  }

  /// The member stored under the key; nullopt if the key is absent or its value is invalid.
  std::optional<Member> StoredMember() {
    pb::RangeRequest request;
    request.set_key(kKey);
    pb::RangeResponse response;
    EXPECT_TRUE(store.Range(request, &response).ok());
    if (response.kvs_size() == 0) return std::nullopt;
    const auto member = ParseMember("c1", response.kvs(0).value());
    return member ? std::make_optional(*member) : std::nullopt;
  }
  /// Writes the state into the value, as an operator does. Returns whether the value changed.
  bool WriteState(MemberState state) {
    pb::RangeRequest request;
    request.set_key(kKey);
    pb::RangeResponse response;
    EXPECT_TRUE(store.Range(request, &response).ok());
    if (response.kvs_size() == 0) return false;
    const auto change = MakeStateChange(response.kvs(0), state);
    if (!change || !*change) return false;
    pb::TxnResponse answer;
    EXPECT_TRUE(store.Txn(**change, &answer).ok());
    return answer.succeeded();
  }
  /// Deletes the key, as an operator does.
  void Delete() {
    pb::DeleteRangeRequest request;
    request.set_key(kKey);
    pb::DeleteRangeResponse response;
    EXPECT_TRUE(store.DeleteRange(request, &response).ok());
  }
  /// The number of leases in the store.
  std::size_t LeaseCount() const {
    pb::LeaseLeasesResponse all;
    store.Leases(&all);
    return static_cast<std::size_t>(all.leases_size());
  }

  Registration& registration() { return registration_; }
  Time now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  /// The number of writes that set a key to ready although it was last read as draining.
  std::uint64_t undone_drains() const { return undone_drains_; }

  EtcdStore store;

 private:
  static RegistrationSettings MakeSettings(double start_time_ms) {
    RegistrationSettings settings;
    settings.member.name = "c1";
    settings.member.address = "127.0.0.1:1";
    settings.member.start_time_ms = start_time_ms;
    return settings;
  }
  /// Runs a call with the fate from next_call_fate and reports its status.
  template <typename Run, typename Report>
  void Call(Run run, Report report) {
    const CallFate call_fate = next_call_fate();
    Status status{Code::kUnavailable, Ending::kLost, "cut"};
    if (call_fate != CallFate::kRequestLost) {
      const Status ran = run();
      if (call_fate == CallFate::kDelivered) status = ran;
    }
    report(status);
  }
  void Execute(const Registration::GrantLease& action) {
    pb::LeaseGrantResponse response;
    Call([&] { return store.Grant(now_, action.request, &response); },
         [&](const Status& s) { registration_.OnLeaseGranted(now_, s, response); });
  }
  void Execute(const Registration::ReadKey& action) {
    pb::RangeResponse response;
    Call([&] { return store.Range(action.request, &response); },
         [&](const Status& s) {
           if (s.ok()) {
             was_read_draining_ = false;
             if (response.kvs_size() > 0) {
               const auto member = ParseMember("c1", response.kvs(0).value());
               was_read_draining_ =
                   member && member->start_time_ms == 100 && member->state == MemberState::kDraining;
             }
           }
           registration_.OnKeyRead(now_, s, response);
         });
  }
  void Execute(const Registration::WriteKey& action) {
    const auto member = ParseMember("c1", action.request.success(0).request_put().value());
    ASSERT_TRUE(member.has_value());
    // Only an operator, not the registration, may set a draining backend to ready.
    undone_drains_ += was_read_draining_ && member->state == MemberState::kReady;
    const auto stored_before = StoredMember();
    pb::TxnResponse response;
    Call([&] { return store.Txn(action.request, &response); },
         [&](const Status& s) { registration_.OnKeyWritten(now_, s, response); });
    if (stored_before && stored_before->start_time_ms > 100) {
      EXPECT_EQ(StoredMember(), stored_before) << "a newer incarnation was overwritten";
    }
  }
  void Execute(const Registration::KeepLeaseAlive& action) {
    pb::LeaseKeepAliveResponse response;
    Call(
        [&] {
          response.set_ttl(store.KeepAlive(now_, action.request.id()));
          return Status{};
        },
        [&](const Status& s) { registration_.OnLeaseKeptAlive(now_, s, response); });
  }
  void Execute(const Registration::RevokeLease& action) {
    Call([&] { return store.Revoke(action.request.id()); },
         [&](const Status& s) { registration_.OnLeaseRevoked(now_, s, {}); });
  }
  void Execute(const Registration::Wait&) {}
  void Execute(const Registration::End&) {}

  std::mt19937_64 random_;
  Registration registration_;
  Time now_{0};
  std::uint64_t calls_ = 0, undone_drains_ = 0;
  bool was_read_draining_ = false;
};

using CallFate = RegistrationSimulation::CallFate;

TEST(RegistrationTest, KeepsItsKeyUntilStopped) {
  RegistrationSimulation simulation;
  simulation.RunUntil(Time(60000));
  ASSERT_TRUE(simulation.StoredMember());
  EXPECT_EQ(simulation.StoredMember()->state, MemberState::kReady);
  EXPECT_EQ(simulation.registration().grants(), 1u) << "the lease was granted again and not kept alive";
  simulation.registration().Stop(simulation.now());
  simulation.RunUntil(simulation.now() + Time(1000));
  ASSERT_TRUE(simulation.StoredMember());
  EXPECT_EQ(simulation.StoredMember()->state, MemberState::kDraining)
      << "the key was not written as draining before its removal";
  simulation.RunUntil(simulation.now() + Time(2000));
  EXPECT_FALSE(simulation.StoredMember());
  EXPECT_EQ(simulation.LeaseCount(), 0u);
  EXPECT_TRUE(simulation.registration().has_ended());
}

TEST(RegistrationTest, DrainOutlivesTheLease) {
  RegistrationSimulation simulation;
  simulation.RunUntil(Time(5000));
  ASSERT_TRUE(simulation.WriteState(MemberState::kDraining));
  simulation.RunUntil(Time(10000));  // the registration has read the drain
  simulation.next_call_fate = [] { return CallFate::kRequestLost; };
  simulation.RunUntil(Time(40000));
  EXPECT_FALSE(simulation.StoredMember()) << "the lease did not expire";
  simulation.next_call_fate = [] { return CallFate::kDelivered; };
  simulation.RunUntil(Time(50000));
  ASSERT_TRUE(simulation.StoredMember());
  EXPECT_EQ(simulation.StoredMember()->state, MemberState::kDraining);
  EXPECT_EQ(simulation.registration().grants(), 2u);
  ASSERT_TRUE(simulation.WriteState(MemberState::kReady));
  simulation.RunUntil(Time(60000));
  EXPECT_EQ(simulation.StoredMember()->state, MemberState::kReady);
}

TEST(RegistrationTest, NewerIncarnationOrDeletionByAnOperatorEndsTheRegistration) {
  RegistrationSimulation simulation;
  simulation.RunUntil(Time(5000));
  simulation.Delete();
  simulation.RunUntil(Time(30000));
  EXPECT_TRUE(simulation.registration().has_ended());
  EXPECT_EQ(Message(simulation.registration().condition()),
            "its key was deleted by somebody else: it is not written again");
  EXPECT_FALSE(simulation.StoredMember());
  EXPECT_EQ(simulation.LeaseCount(), 0u);

  RegistrationSimulation with_newer;
  Member other_incarnation;
  other_incarnation.name = "c1";
  other_incarnation.address = "127.0.0.1:2";
  other_incarnation.start_time_ms = 200;
  pb::PutRequest put;
  put.set_key(kKey);
  put.set_value(SerializeMember(other_incarnation));
  pb::PutResponse ignored;
  ASSERT_TRUE(with_newer.store.Put(put, &ignored).ok());
  with_newer.RunUntil(Time(30000));
  EXPECT_EQ(Message(with_newer.registration().condition()),
            "a newer incarnation of c1 is registered; this registration ends");
  EXPECT_EQ(with_newer.StoredMember(), other_incarnation);

  // The key of an older incarnation is overwritten, and that one's drain is ignored.
  RegistrationSimulation with_older;
  other_incarnation.start_time_ms = 50;
  other_incarnation.state = MemberState::kDraining;
  put.set_value(SerializeMember(other_incarnation));
  ASSERT_TRUE(with_older.store.Put(put, &ignored).ok());
  with_older.RunUntil(Time(30000));
  ASSERT_TRUE(with_older.StoredMember());
  EXPECT_EQ(with_older.StoredMember()->start_time_ms, 100);
  EXPECT_EQ(with_older.StoredMember()->state, MemberState::kReady);
}

TEST(RegistrationTest, StopEndsInBoundedTimeWhenEtcdDoesNotAnswer) {
  RegistrationSimulation simulation;
  simulation.RunUntil(Time(5000));
  simulation.next_call_fate = [] { return CallFate::kRequestLost; };
  simulation.registration().Stop(simulation.now());
  simulation.RunUntil(simulation.now() + Time(13000));
  EXPECT_TRUE(simulation.registration().has_ended());
  EXPECT_FALSE(simulation.StoredMember()) << "the lease did not expire";
  RegistrationSimulation unreachable;
  unreachable.next_call_fate = [] { return CallFate::kRequestLost; };
  unreachable.RunUntil(Time(3000));
  unreachable.registration().Stop(unreachable.now());
  EXPECT_TRUE(unreachable.registration().has_ended());
}

TEST(RegistrationTest, DeletedKeyEndsTheRegistrationWhenEtcdDoesNotAnswer) {
  RegistrationSimulation simulation;
  simulation.RunUntil(Time(5000));
  simulation.Delete();
  // The registration reads that its key was deleted and then cannot revoke the lease.
  simulation.next_call_fate = [&] {
    return Message(simulation.registration().condition()).find("deleted") == std::string::npos
               ? CallFate::kDelivered
               : CallFate::kRequestLost;
  };
  simulation.RunUntil(Time(60000));
  EXPECT_TRUE(simulation.registration().has_ended());
  EXPECT_EQ(Message(simulation.registration().condition()),
            "its key was deleted by somebody else: it is not written again");
  EXPECT_EQ(simulation.LeaseCount(), 0u) << "the lease did not expire";
}

TEST(RegistrationTest, InvalidValueIsOverwritten) {
  RegistrationSimulation simulation;
  pb::PutRequest put;
  put.set_key(kKey);
  put.set_value("not JSON");
  pb::PutResponse ignored;
  ASSERT_TRUE(simulation.store.Put(put, &ignored).ok());
  simulation.RunUntil(Time(5000));
  ASSERT_TRUE(simulation.StoredMember());
  EXPECT_EQ(simulation.StoredMember()->state, MemberState::kReady);
}

TEST(RegistrationTest, RandomFaultsNeverUndoADrainAndLeaveOneLease) {
  std::uint64_t lost_leases = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RegistrationSimulation simulation(seed);
    unsigned loss_percent = 0;
    simulation.next_call_fate = [&] {
      const unsigned draw = static_cast<unsigned>(simulation.random()() % 100);
      return draw >= loss_percent ? CallFate::kDelivered
             : draw % 2           ? CallFate::kRequestLost
                                  : CallFate::kAnswerLost;
    };
    bool draining = false;
    for (int step = 0; step < 100; ++step) {
      constexpr unsigned kLossPercents[] = {0, 20, 60, 100};
      loss_percent = kLossPercents[simulation.random()() % 4];
      if (simulation.random()() % 4 == 0) {
        const MemberState to = simulation.random()() % 2 ? MemberState::kReady : MemberState::kDraining;
        if (simulation.WriteState(to)) draining = to == MemberState::kDraining;
      }
      simulation.RunUntil(simulation.now() + Time(static_cast<std::int64_t>(simulation.random()() % 8000)));
      ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed << ", step " << step;
    }
    EXPECT_EQ(simulation.undone_drains(), 0u) << "seed " << seed;
    loss_percent = 0;
    simulation.RunUntil(simulation.now() + Time(60000));
    ASSERT_TRUE(simulation.StoredMember()) << "seed " << seed;
    EXPECT_EQ(simulation.LeaseCount(), 1u) << "leases whose grants were lost have not expired";
    EXPECT_EQ(simulation.StoredMember()->state, simulation.registration().state());
    lost_leases += simulation.registration().grants() - 1;
    // With a working connection, the registration adopts the state that an operator writes.
    if (simulation.WriteState(draining ? MemberState::kReady : MemberState::kDraining)) draining = !draining;
    simulation.RunUntil(simulation.now() + Time(20000));
    EXPECT_EQ(simulation.registration().state(), simulation.StoredMember()->state);
    simulation.registration().Stop(simulation.now());
    simulation.RunUntil(simulation.now() + Time(20000));
    EXPECT_TRUE(simulation.registration().has_ended());
    EXPECT_FALSE(simulation.StoredMember());
  }
  EXPECT_GT(lost_leases, 50u);
}

}  // namespace
}  // namespace badgerbridge::membership
