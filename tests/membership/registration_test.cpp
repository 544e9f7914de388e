// SPDX-License-Identifier: Apache-2.0
//
// A registration alone against the stand-in's store, in virtual time: lost answers, leases that run out,
// drains, takeovers, deletions.
#include "membership/registration.h"

#include <gtest/gtest.h>

#include <random>

#include "membership/value.h"
#include "standins/etcd_store.h"

namespace badgerbridge::membership {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Status;
using standins::EtcdStore;

const std::string kKey = "/badgerbridge/converters/c1";

class World {
 public:
  explicit World(std::uint64_t seed = 1, double since = 100)
      : random_(seed), registration_(Settings_(since)) {}

  // What the network does with the next call.
  enum class Fate { kWell, kNeverThere, kAnswerLost };
  std::function<Fate()> fate = [] { return Fate::kWell; };

  // Until `until`, with all that is asked carried out in no time.
  void RunUntil(Time until) {
    while (now_ < until) {
      const Registration::Action action = registration_.Next(now_);
      if (std::holds_alternative<Registration::End>(action)) break;
      if (const auto* wait = std::get_if<Registration::Wait>(&action)) {
        ASSERT_GT(wait->until, now_) << "a wait with no end in sight would spin";
        Pass(std::min(until, wait->until) - now_);
        continue;
      }
      ++calls_;
      ASSERT_LT(calls_, 2'000'000u);
      std::visit([this](const auto& one) { Do(one); }, action);
      Pass(Time(1));
    }
    if (now_ < until) Pass(until - now_);
  }
  void Pass(Time by) {
    now_ += by;
    store.Expire(now_);
  }

  std::optional<Member> There() {
    pb::RangeRequest request;
    request.set_key(kKey);
    pb::RangeResponse response;
    EXPECT_TRUE(store.Range(request, &response).ok());
    if (response.kvs_size() == 0) return std::nullopt;
    Member member;
    if (ReadMember("c1", response.kvs(0).value(), &member)) return std::nullopt;
    return member;
  }
  bool Set(State state) {
    pb::RangeRequest request;
    request.set_key(kKey);
    pb::RangeResponse response;
    EXPECT_TRUE(store.Range(request, &response).ok());
    if (response.kvs_size() == 0) return false;
    std::string problem;
    const auto txn = ChangeOfState(response.kvs(0), state, &problem);
    if (!txn) return false;
    pb::TxnResponse answer;
    EXPECT_TRUE(store.Txn(*txn, &answer).ok());
    return answer.succeeded();
  }
  void Delete() {
    pb::DeleteRangeRequest request;
    request.set_key(kKey);
    pb::DeleteRangeResponse response;
    EXPECT_TRUE(store.DeleteRange(request, &response).ok());
  }
  std::size_t Leases() const {
    pb::LeaseLeasesResponse all;
    store.Leases(&all);
    return static_cast<std::size_t>(all.leases_size());
  }

  Registration& registration() { return registration_; }
  Time now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  std::uint64_t ready_after_drain() const { return ready_after_drain_; }

  EtcdStore store;

 private:
  static RegistrationSettings Settings_(double since) {
    RegistrationSettings settings;
    settings.member.name = "c1";
    settings.member.address = "127.0.0.1:1";
    settings.member.since_ms = since;
    return settings;
  }
  template <typename Run, typename Tell>
  void Call(Run run, Tell tell) {
    const Fate how = fate();
    Status status{Code::kUnavailable, Ending::kLost, "cut"};
    if (how != Fate::kNeverThere) {
      const Status ran = run();
      if (how == Fate::kWell) status = ran;
    }
    tell(status);
  }
  void Do(const Registration::Grant& a) {
    pb::LeaseGrantResponse response;
    Call([&] { return store.Grant(now_, a.request, &response); },
         [&](const Status& s) { registration_.Granted(now_, s, response); });
  }
  void Do(const Registration::Read& a) {
    pb::RangeResponse response;
    Call([&] { return store.Range(a.request, &response); },
         [&](const Status& s) {
           if (s.ok()) {
             Member member;
             drained_ = response.kvs_size() > 0 && !ReadMember("c1", response.kvs(0).value(), &member) &&
                        member.since_ms == 100 && member.state == State::kDraining;
           }
           registration_.WasRead(now_, s, response);
         });
  }
  void Do(const Registration::Write& a) {
    Member member;
    EXPECT_FALSE(ReadMember("c1", a.request.success(0).request_put().value(), &member));
    // What was last seen as draining may only be seen as ready again by somebody else's hand.
    ready_after_drain_ += drained_ && member.state == State::kReady;
    const auto there = There();
    pb::TxnResponse response;
    Call([&] { return store.Txn(a.request, &response); },
         [&](const Status& s) { registration_.Written(now_, s, response); });
    if (there && there->since_ms > 100) {
      EXPECT_EQ(There(), there) << "a newer start was overwritten";
    }
  }
  void Do(const Registration::KeepAlive& a) {
    pb::LeaseKeepAliveResponse response;
    Call(
        [&] {
          response.set_ttl(store.KeepAlive(now_, a.request.id()));
          return Status{};
        },
        [&](const Status& s) { registration_.KeptAlive(now_, s, response); });
  }
  void Do(const Registration::Revoke& a) {
    Call([&] { return store.Revoke(a.request.id()); },
         [&](const Status& s) { registration_.Revoked(now_, s, {}); });
  }
  void Do(const Registration::Wait&) {}
  void Do(const Registration::End&) {}

  std::mt19937_64 random_;
  Registration registration_;
  Time now_{0};
  std::uint64_t calls_ = 0, ready_after_drain_ = 0;
  bool drained_ = false;
};

using Fate = World::Fate;

TEST(RegistrationTest, KeepsItsKeyAndGivesItBack) {
  World world;
  world.RunUntil(Time(60000));
  ASSERT_TRUE(world.There());
  EXPECT_EQ(world.There()->state, State::kReady);
  EXPECT_EQ(world.registration().grants(), 1u) << "kept alive, not granted again";
  world.registration().Stop(world.now());
  world.RunUntil(world.now() + Time(1000));
  ASSERT_TRUE(world.There());
  EXPECT_EQ(world.There()->state, State::kDraining) << "first it says that it drains";
  world.RunUntil(world.now() + Time(2000));
  EXPECT_FALSE(world.There());
  EXPECT_EQ(world.Leases(), 0u);
  EXPECT_TRUE(world.registration().ended());
}

TEST(RegistrationTest, ADrainOutlivesTheLease) {
  World world;
  world.RunUntil(Time(5000));
  ASSERT_TRUE(world.Set(State::kDraining));
  world.RunUntil(Time(10000));  // it has seen it
  world.fate = [] { return Fate::kNeverThere; };
  world.RunUntil(Time(40000));
  EXPECT_FALSE(world.There()) << "the lease ran out";
  world.fate = [] { return Fate::kWell; };
  world.RunUntil(Time(50000));
  ASSERT_TRUE(world.There());
  EXPECT_EQ(world.There()->state, State::kDraining);
  EXPECT_EQ(world.registration().grants(), 2u);
  ASSERT_TRUE(world.Set(State::kReady));
  world.RunUntil(Time(60000));
  EXPECT_EQ(world.There()->state, State::kReady);
}

TEST(RegistrationTest, ANewerStartAndADeletionByHandAreRespected) {
  World world;
  world.RunUntil(Time(5000));
  world.Delete();
  world.RunUntil(Time(30000));
  EXPECT_TRUE(world.registration().ended());
  EXPECT_EQ(world.registration().why(), "its key was deleted by somebody else: it is not written again");
  EXPECT_FALSE(world.There());
  EXPECT_EQ(world.Leases(), 0u);

  World other;
  Member newer;
  newer.name = "c1";
  newer.address = "127.0.0.1:2";
  newer.since_ms = 200;
  pb::PutRequest put;
  put.set_key(kKey);
  put.set_value(ValueOf(newer));
  pb::PutResponse ignored;
  ASSERT_TRUE(other.store.Put(put, &ignored).ok());
  other.RunUntil(Time(30000));
  EXPECT_EQ(other.registration().why(), "a newer start of c1 is registered");
  EXPECT_EQ(other.There(), newer);

  // One of an older start is taken over, and its drain does not count.
  World third;
  newer.since_ms = 50;
  newer.state = State::kDraining;
  put.set_value(ValueOf(newer));
  ASSERT_TRUE(third.store.Put(put, &ignored).ok());
  third.RunUntil(Time(30000));
  ASSERT_TRUE(third.There());
  EXPECT_EQ(third.There()->since_ms, 100);
  EXPECT_EQ(third.There()->state, State::kReady);
}

TEST(RegistrationTest, ItsEndHasAnEndWhereNothingAnswers) {
  World world;
  world.RunUntil(Time(5000));
  world.fate = [] { return Fate::kNeverThere; };
  world.registration().Stop(world.now());
  world.RunUntil(world.now() + Time(13000));
  EXPECT_TRUE(world.registration().ended());
  EXPECT_FALSE(world.There()) << "the lease ran out by itself";
  World never;
  never.fate = [] { return Fate::kNeverThere; };
  never.RunUntil(Time(3000));
  never.registration().Stop(never.now());
  EXPECT_TRUE(never.registration().ended());
}

TEST(RegistrationTest, WhatItEndsItselfEndsAlsoWhereNothingAnswers) {
  World world;
  world.RunUntil(Time(5000));
  world.Delete();
  // It learns that its key was deleted, and can't give the lease back.
  world.fate = [&] {
    return world.registration().why().find("deleted") == std::string::npos ? Fate::kWell : Fate::kNeverThere;
  };
  world.RunUntil(Time(60000));
  EXPECT_TRUE(world.registration().ended());
  EXPECT_EQ(world.registration().why(), "its key was deleted by somebody else: it is not written again");
  EXPECT_EQ(world.Leases(), 0u) << "run out by itself";
}

TEST(RegistrationTest, AValueThatCantBeReadIsWrittenOver) {
  World world;
  pb::PutRequest put;
  put.set_key(kKey);
  put.set_value("not JSON");
  pb::PutResponse ignored;
  ASSERT_TRUE(world.store.Put(put, &ignored).ok());
  world.RunUntil(Time(5000));
  ASSERT_TRUE(world.There());
  EXPECT_EQ(world.There()->state, State::kReady);
}

TEST(RegistrationTest, RandomFaultsNeverUndoADrainAndLeaveOneLease) {
  std::uint64_t lost_leases = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    World world(seed);
    unsigned bad = 0;
    world.fate = [&] {
      const unsigned draw = static_cast<unsigned>(world.random()() % 100);
      return draw >= bad ? Fate::kWell : draw % 2 ? Fate::kNeverThere : Fate::kAnswerLost;
    };
    bool draining = false;
    for (int step = 0; step < 100; ++step) {
      constexpr unsigned kBad[] = {0, 20, 60, 100};
      bad = kBad[world.random()() % 4];
      if (world.random()() % 4 == 0) {
        const State to = world.random()() % 2 ? State::kReady : State::kDraining;
        if (world.Set(to)) draining = to == State::kDraining;
      }
      world.RunUntil(world.now() + Time(static_cast<std::int64_t>(world.random()() % 8000)));
      ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed << ", step " << step;
    }
    EXPECT_EQ(world.ready_after_drain(), 0u) << "seed " << seed;
    bad = 0;
    world.RunUntil(world.now() + Time(60000));
    ASSERT_TRUE(world.There()) << "seed " << seed;
    EXPECT_EQ(world.Leases(), 1u) << "what was granted and never heard of has run out";
    EXPECT_EQ(world.There()->state, world.registration().state());
    lost_leases += world.registration().grants() - 1;
    // Told while it hears, it is as it was told.
    if (world.Set(draining ? State::kReady : State::kDraining)) draining = !draining;
    world.RunUntil(world.now() + Time(20000));
    EXPECT_EQ(world.registration().state(), world.There()->state);
    world.registration().Stop(world.now());
    world.RunUntil(world.now() + Time(20000));
    EXPECT_TRUE(world.registration().ended());
    EXPECT_FALSE(world.There());
  }
  EXPECT_GT(lost_leases, 50u);
}

}  // namespace
}  // namespace badgerbridge::membership
