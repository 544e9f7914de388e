// SPDX-License-Identifier: Apache-2.0
//
// Replies against frames written out by hand.
#include "simulator_protocol/reply_writer.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "simulator_protocol/hex.h"

namespace badgerbridge::simulator_protocol {
namespace {

using namespace balancer;
using balancer::testing::Hex;

TEST(ReplyWriter, EveryAction_BytesAsRecorded) {
  const std::pair<Action, const char*> actions[] = {
      {Dispatch{0x0809c95d3a91c4u, 0x03124a07u, Duration(80)},
       "1b 18000000 03000000 c4913a5dc9090800 0000000000005440 074a1203"},
      {SetTimer{TimePoint(Duration(8912.25)), 77}, "19 14000000 03000000 000000002068c140 4d00000000000000"},
      {Log{"two servers unknown"}, "16 19000000 03000000 1300 74776f207365727665727320756e6b6e6f776e"},
      {CancelAttempt{0x0809c95d3a91c4u, 2}, "11 0d000000 03000000 c4913a5dc9090800 02"},
      {Reject{0x0bfff20e6f2b19u, Duration(250)}, "14 14000000 03000000 192b6f0ef2ff0b00 0000000000406f40"},
      {FailRequest{0x0bfff20e6f2b19u}, "10 0c000000 03000000 192b6f0ef2ff0b00"},
      {Subscribe{}, "12 05000000 03000000 01"},
  };
  for (const auto& [action, bytes] : actions) {
    ReplyWriter reply;
    reply.Add(3, action);
    EXPECT_EQ(reply.TakeFrame().substr(4), Hex(bytes)) << bytes;
  }
}

TEST(ReplyWriter, InternalError_BytesAsRecorded) {
  ReplyWriter reply;
  reply.AddInternalError(3, "index out of range");
  EXPECT_EQ(reply.TakeFrame(),
            Hex("1d000000 15 18000000 03000000 1200 696e646578206f7574206f662072616e6765"));
}

TEST(ReplyWriter, NoActions_EmptyFrame) {
  ReplyWriter reply;
  EXPECT_EQ(reply.TakeFrame(), Hex("00000000"));
}

}  // namespace
}  // namespace badgerbridge::simulator_protocol
