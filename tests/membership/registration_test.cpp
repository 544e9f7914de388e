// SPDX-License-Identifier: Apache-2.0
//
// A registration alone against the stand-in's store, in virtual time: lost answers, leases that run out,
// drains, takeovers, deletions.
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

/// One registration, the etcd store it writes to, and the network between, in virtual time.
class World {
 public:
  explicit World(std::uint64_t seed = 1, double since = 100)
      : random_(seed), registration_(MakeSettings(since)) {}

  /// What the network does with a call.
  enum class CallFate { kDelivered, kRequestLost, kAnswerLost };
  /// Asked for each call.
  std::function<CallFate()> next_call_fate = [] { return CallFate::kDelivered; };

  /// Runs until `until`; each call takes a millisecond.
  void RunUntil(Time until) {
    while (now_ < until) {
      const Registration::Action action = registration_.Next(now_);
      if (std::holds_alternative<Registration::End>(action)) break;
      if (const auto* wait = std::get_if<Registration::Wait>(&action)) {
        ASSERT_GT(wait->until, now_) << "a wait with no end in sight would spin";
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
  /// Moves the time on; leases expire.
  void AdvanceBy(Time by) {
    now_ += by;
    store.Expire(now_);
  }

  /// The member under the key; nothing: no key, or a value that cannot be read.
  std::optional<Member> StoredMember() {
    pb::RangeRequest request;
    request.set_key(kKey);
    pb::RangeResponse response;
    EXPECT_TRUE(store.Range(request, &response).ok());
    if (response.kvs_size() == 0) return std::nullopt;
    const auto member = ParseMember("c1", response.kvs(0).value());
    return member ? std::make_optional(*member) : std::nullopt;
  }
  /// Writes the state into the value as a person would; whether it was changed.
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
  /// Deletes the key as a person would.
  void Delete() {
    pb::DeleteRangeRequest request;
    request.set_key(kKey);
    pb::DeleteRangeResponse response;
    EXPECT_TRUE(store.DeleteRange(request, &response).ok());
  }
  /// How many leases live in the store.
  std::size_t LeaseCount() const {
    pb::LeaseLeasesResponse all;
    store.Leases(&all);
    return static_cast<std::size_t>(all.leases_size());
  }

  Registration& registration() { return registration_; }
  Time now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  /// How often the registration wrote a key as ready that it had read as draining.
  std::uint64_t undone_drains() const { return undone_drains_; }

  EtcdStore store;

 private:
  static RegistrationSettings MakeSettings(double since) {
    RegistrationSettings settings;
    settings.member.name = "c1";
    settings.member.address = "127.0.0.1:1";
    settings.member.start_time_ms = since;
    return settings;
  }
  /// Runs a call as next_call_fate has it, and reports how it ended.
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
    // What was last seen as draining may only be seen as ready again by somebody else's hand.
    undone_drains_ += was_read_draining_ && member->state == MemberState::kReady;
    const auto stored_before = StoredMember();
    pb::TxnResponse response;
    Call([&] { return store.Txn(action.request, &response); },
         [&](const Status& s) { registration_.OnKeyWritten(now_, s, response); });
    if (stored_before && stored_before->start_time_ms > 100) {
      EXPECT_EQ(StoredMember(), stored_before) << "a newer start was overwritten";
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

using CallFate = World::CallFate;

TEST(RegistrationTest, KeepsItsKeyUntilStopped) {
  World world;
  world.RunUntil(Time(60000));
  ASSERT_TRUE(world.StoredMember());
  EXPECT_EQ(world.StoredMember()->state, MemberState::kReady);
  EXPECT_EQ(world.registration().grants(), 1u) << "kept alive, not granted again";
  world.registration().Stop(world.now());
  world.RunUntil(world.now() + Time(1000));
  ASSERT_TRUE(world.StoredMember());
  EXPECT_EQ(world.StoredMember()->state, MemberState::kDraining) << "first it says that it drains";
  world.RunUntil(world.now() + Time(2000));
  EXPECT_FALSE(world.StoredMember());
  EXPECT_EQ(world.LeaseCount(), 0u);
  EXPECT_TRUE(world.registration().has_ended());
}

TEST(RegistrationTest, ADrainOutlivesTheLease) {
  World world;
  world.RunUntil(Time(5000));
  ASSERT_TRUE(world.WriteState(MemberState::kDraining));
  world.RunUntil(Time(10000));  // it has seen it
  world.next_call_fate = [] { return CallFate::kRequestLost; };
  world.RunUntil(Time(40000));
  EXPECT_FALSE(world.StoredMember()) << "the lease ran out";
  world.next_call_fate = [] { return CallFate::kDelivered; };
  world.RunUntil(Time(50000));
  ASSERT_TRUE(world.StoredMember());
  EXPECT_EQ(world.StoredMember()->state, MemberState::kDraining);
  EXPECT_EQ(world.registration().grants(), 2u);
  ASSERT_TRUE(world.WriteState(MemberState::kReady));
  world.RunUntil(Time(60000));
  EXPECT_EQ(world.StoredMember()->state, MemberState::kReady);
}

TEST(RegistrationTest, ANewerIncarnationAndADeletionByHandEndTheRegistration) {
  World world;
  world.RunUntil(Time(5000));
  world.Delete();
  world.RunUntil(Time(30000));
  EXPECT_TRUE(world.registration().has_ended());
  EXPECT_EQ(Message(world.registration().condition()),
            "its key was deleted by somebody else: it is not written again");
  EXPECT_FALSE(world.StoredMember());
  EXPECT_EQ(world.LeaseCount(), 0u);

  World other;
  Member newer;
  newer.name = "c1";
  newer.address = "127.0.0.1:2";
  newer.start_time_ms = 200;
  pb::PutRequest put;
  put.set_key(kKey);
  put.set_value(SerializeMember(newer));
  pb::PutResponse ignored;
  ASSERT_TRUE(other.store.Put(put, &ignored).ok());
  other.RunUntil(Time(30000));
  EXPECT_EQ(Message(other.registration().condition()), "a newer start of c1 is registered");
  EXPECT_EQ(other.StoredMember(), newer);

  // One of an older start is taken over, and its drain does not count.
  World third;
  newer.start_time_ms = 50;
  newer.state = MemberState::kDraining;
  put.set_value(SerializeMember(newer));
  ASSERT_TRUE(third.store.Put(put, &ignored).ok());
  third.RunUntil(Time(30000));
  ASSERT_TRUE(third.StoredMember());
  EXPECT_EQ(third.StoredMember()->start_time_ms, 100);
  EXPECT_EQ(third.StoredMember()->state, MemberState::kReady);
}

TEST(RegistrationTest, StopEndsInBoundedTimeWhenEtcdDoesNotAnswer) {
  World world;
  world.RunUntil(Time(5000));
  world.next_call_fate = [] { return CallFate::kRequestLost; };
  world.registration().Stop(world.now());
  world.RunUntil(world.now() + Time(13000));
  EXPECT_TRUE(world.registration().has_ended());
  EXPECT_FALSE(world.StoredMember()) << "the lease ran out by itself";
  World never;
  never.next_call_fate = [] { return CallFate::kRequestLost; };
  never.RunUntil(Time(3000));
  never.registration().Stop(never.now());
  EXPECT_TRUE(never.registration().has_ended());
}

TEST(RegistrationTest, ADeletedKeyEndsTheRegistrationWhenEtcdDoesNotAnswer) {
  World world;
  world.RunUntil(Time(5000));
  world.Delete();
  // It learns that its key was deleted, and can't give the lease back.
  world.next_call_fate = [&] {
    return Message(world.registration().condition()).find("deleted") == std::string::npos
               ? CallFate::kDelivered
               : CallFate::kRequestLost;
  };
  world.RunUntil(Time(60000));
  EXPECT_TRUE(world.registration().has_ended());
  EXPECT_EQ(Message(world.registration().condition()),
            "its key was deleted by somebody else: it is not written again");
  EXPECT_EQ(world.LeaseCount(), 0u) << "run out by itself";
}

TEST(RegistrationTest, AnUnreadableValueIsOverwritten) {
  World world;
  pb::PutRequest put;
  put.set_key(kKey);
  put.set_value("not JSON");
  pb::PutResponse ignored;
  ASSERT_TRUE(world.store.Put(put, &ignored).ok());
  world.RunUntil(Time(5000));
  ASSERT_TRUE(world.StoredMember());
  EXPECT_EQ(world.StoredMember()->state, MemberState::kReady);
}

TEST(RegistrationTest, RandomFaultsNeverUndoADrainAndLeaveOneLease) {
  std::uint64_t lost_leases = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    World world(seed);
    unsigned bad = 0;
    world.next_call_fate = [&] {
      const unsigned draw = static_cast<unsigned>(world.random()() % 100);
      return draw >= bad ? CallFate::kDelivered : draw % 2 ? CallFate::kRequestLost : CallFate::kAnswerLost;
    };
    bool draining = false;
    for (int step = 0; step < 100; ++step) {
      constexpr unsigned kBad[] = {0, 20, 60, 100};
      bad = kBad[world.random()() % 4];
      if (world.random()() % 4 == 0) {
        const MemberState to = world.random()() % 2 ? MemberState::kReady : MemberState::kDraining;
        if (world.WriteState(to)) draining = to == MemberState::kDraining;
      }
      world.RunUntil(world.now() + Time(static_cast<std::int64_t>(world.random()() % 8000)));
      ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed << ", step " << step;
    }
    EXPECT_EQ(world.undone_drains(), 0u) << "seed " << seed;
    bad = 0;
    world.RunUntil(world.now() + Time(60000));
    ASSERT_TRUE(world.StoredMember()) << "seed " << seed;
    EXPECT_EQ(world.LeaseCount(), 1u) << "what was granted and never heard of has run out";
    EXPECT_EQ(world.StoredMember()->state, world.registration().state());
    lost_leases += world.registration().grants() - 1;
    // While it reaches etcd it takes the state that is written.
    if (world.WriteState(draining ? MemberState::kReady : MemberState::kDraining)) draining = !draining;
    world.RunUntil(world.now() + Time(20000));
    EXPECT_EQ(world.registration().state(), world.StoredMember()->state);
    world.registration().Stop(world.now());
    world.RunUntil(world.now() + Time(20000));
    EXPECT_TRUE(world.registration().has_ended());
    EXPECT_FALSE(world.StoredMember());
  }
  EXPECT_GT(lost_leases, 50u);
}

}  // namespace
}  // namespace badgerbridge::membership
