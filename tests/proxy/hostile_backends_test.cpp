// SPDX-License-Identifier: Apache-2.0
//
// Well-behaved clients send requests while backends misbehave. Each request must get one complete answer in
// time, and no connection, request or descriptor may be leaked.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>

#include "proxy/hostile_fixture.h"

namespace badgerbridge::proxy::testing {
namespace {

TEST_F(HostileTest, EachRequestIsAnsweredOnceBesideBackendsThatMisbehave) {
  Start({Backend::kGood, Backend::kGood, Backend::kGood, Backend::kGood, Backend::kSilent, Backend::kReset,
         Backend::kCloses, Backend::kHalfAnswer, Backend::kNoAnswer, Backend::kEndlessBody,
         Backend::kEndlessHeader, Backend::kNoLength, Backend::kAnswersTwice, Backend::kInterimOnly,
         Backend::kRejects, Backend::kError, Backend::kTooLarge});
  for (int round = 0; round < 30; ++round) {
    SendOneOfEachClass();
    RunFor(milliseconds(30));
  }
  ExpectCheckedAnswers();
  EXPECT_GT(served_, 30) << "of 90";
  ExpectNothingLeft();
}

TEST_F(HostileTest, EachRequestIsAnsweredOnceWhereNoBackendIsGood) {
  for (const Backend kind :
       {Backend::kSilent, Backend::kReset, Backend::kCloses, Backend::kHalfAnswer, Backend::kNoAnswer,
        Backend::kEndlessBody, Backend::kEndlessHeader, Backend::kNoLength, Backend::kInterimOnly,
        Backend::kRejects, Backend::kError, Backend::kTooLarge}) {
    SCOPED_TRACE(static_cast<int>(kind));
    if (node_) {
      node_.reset();
      backends_.clear();
    }
    Start({kind, kind, kind});
    SendOneOfEachClass();
    ExpectCheckedAnswers();
    EXPECT_EQ(served_, 0);
    ExpectNothingLeft();
  }
}

// Backends crash while requests are in flight: they reset all connections and refuse new ones.
TEST_F(HostileTest, EachRequestIsAnsweredOnceWhileBackendsCrash) {
  Start({Backend::kGood, Backend::kGood, Backend::kGood, Backend::kGood});
  hold_answers_ = true;
  for (int i = 0; i < 10; ++i) SendOneOfEachClass();
  RunFor(milliseconds(20));
  for (std::size_t i : {0u, 1u}) {
    backends_[i]->Refuse();
    for (const auto& wire : backends_[i]->wires) wire->Reset();
  }
  hold_answers_ = false;
  for (const auto& [wire, id] : held_) wire->Send(Reply(200, id));
  held_.clear();
  for (int i = 0; i < 10; ++i) SendOneOfEachClass();
  ExpectCheckedAnswers();
  EXPECT_GT(served_, 30) << "of 60";
  for (const auto& backend : backends_) backend->Refuse();
  for (const auto& client : clients_) client->Close();
  EXPECT_TRUE(RunUntil(
      [this] { return node_->listener.connections() == 0 && node_->backends.open_connections() == 0; }));
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
