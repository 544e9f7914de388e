// SPDX-License-Identifier: Apache-2.0
//
// The codec against frames written out by hand.
#include "simulator_protocol/codec.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "simulator_protocol/hex.h"

namespace badgerbridge::simulator_protocol {
namespace {

using balancer::testing::Hex;

Batch Read(const std::string& bytes) {
  std::istringstream in(bytes);
  auto batch = ReadBatch(in);
  EXPECT_TRUE(batch.has_value());
  return batch.value_or(Batch{});
}

// One record in a frame at 0 ms.
Batch One(const std::string& record) {
  std::string header(8, '\0');
  const auto length = static_cast<std::uint32_t>(record.size() + 4);
  for (int i = 0; i < 4; ++i) header += static_cast<char>(length >> (8 * i));
  return Read(header + Hex("01000000") + record);
}

template <typename T>
T EventIn(const Batch& batch) {
  return std::get<T>(std::get<Event>(batch.records.at(0).message));
}

TEST(Codec, EmptyBatch) {
  const Batch batch = Read(Hex("00000000206ec040 04000000 00000000"));
  EXPECT_EQ(batch.now.time_since_epoch().count(), 8412.25);
  EXPECT_TRUE(batch.records.empty());
  ReplyWriter reply;
  EXPECT_EQ(reply.Take(), Hex("00000000"));
}

TEST(Codec, TwoInstancesInOneBatch) {
  const Batch batch =
      Read(Hex("00000000206ec040 55000000 03000000"
               "12 2a000000 03000000 c4913a5dc9090800 0000000020e6c040 0000 0100 640ad2557c3bf091"
               "0000 0000000000002840"
               "16 0c000000 03000000 4d00000000000000"
               "15 0c000000 05000000 192b6f0ef2ff0b00"));
  ASSERT_EQ(batch.records.size(), 3u);
  EXPECT_EQ(batch.records[0].instance, 3u);
  EXPECT_EQ(batch.records[2].instance, 5u);
  const auto submit = EventIn<Submit>(batch);
  EXPECT_EQ(submit.request, 0x0809c95d3a91c4u);
  EXPECT_EQ(submit.due.time_since_epoch().count(), 8652.25);
  EXPECT_EQ(submit.key, 0x91f03b7c55d20a64u);
  EXPECT_TRUE(submit.has_hint);
  EXPECT_FALSE(submit.client_retry);
  EXPECT_EQ(submit.work_ms, 12);
  EXPECT_EQ(std::get<TimerFired>(std::get<Event>(batch.records[1].message)).token, 77u);
  EXPECT_EQ(std::get<ClientDisconnected>(std::get<Event>(batch.records[2].message)).request,
            0x0bfff20e6f2b19u);
}

TEST(Codec, CreateAndCrash) {
  const Batch created = One(Hex("10 17000000 03000000 0102000000000000 07000000") + "a=1\nb=2");
  const auto& create = std::get<Create>(created.records.at(0).message);
  EXPECT_EQ(create.seed, 0x0201u);
  EXPECT_EQ(create.config, "a=1\nb=2");
  const Batch crashed = One(Hex("19 04000000 03000000"));
  EXPECT_TRUE(std::holds_alternative<Crash>(crashed.records.at(0).message));
}

TEST(Codec, Discovery) {
  const auto list =
      EventIn<EndpointListUpdate>(One(Hex("11 3b000000 03000000 02 29000000 02000000"
                                          "074a1203 0000 0000 0000 01 0000803f 0000000000000000"
                                          "f211902c 0100 0000 0400 02 0000c03f 0000000000d4b740")));
  EXPECT_EQ(list.kind, EndpointListKind::kCached);
  ASSERT_EQ(list.entries.size(), 2u);
  EXPECT_EQ(list.entries[0].server, 0x03124a07u);
  EXPECT_EQ(list.entries[0].state, BackendState::kReady);
  EXPECT_EQ(list.entries[1].zone, 1);
  EXPECT_EQ(list.entries[1].cell, 4);
  EXPECT_EQ(list.entries[1].state, BackendState::kDraining);
  EXPECT_EQ(list.entries[1].weight, 1.5);
  EXPECT_EQ(list.entries[1].up_since.time_since_epoch().count(), 6100);
}

TEST(Codec, AttemptEndWithAndWithoutReport) {
  const auto bare = EventIn<AttemptEnded>(
      One(Hex("14 1d000000 03000000 c4913a5dc9090800 01 074a1203 02 c800 0000000000803240 00")));
  EXPECT_EQ(bare.request, 0x0809c95d3a91c4u);
  EXPECT_TRUE(bare.settled);
  EXPECT_EQ(bare.server, 0x03124a07u);
  EXPECT_EQ(bare.attempt, 2);
  EXPECT_EQ(bare.outcome, Outcome::kOk);
  EXPECT_EQ(bare.took.count(), 18.5);
  const auto full = EventIn<AttemptEnded>(One(Hex(
      "14 25000000 03000000 c4913a5dc9090800 00 074a1203 00 f701 0000000000803240 02 0000803f 0000003f")));
  EXPECT_FALSE(full.settled);
  EXPECT_EQ(full.outcome, Outcome::kRejected);
}

TEST(Codec, EveryOutcome) {
  const std::pair<const char*, Outcome> outcomes[] = {
      {"c800", Outcome::kOk},        {"f401", Outcome::kError},         {"f701", Outcome::kRejected},
      {"f801", Outcome::kTimeout},   {"f601", Outcome::kConnectFailed}, {"5602", Outcome::kReset},
      {"f301", Outcome::kCancelled}, {"9a01", Outcome::kNotSent},       {"0700", Outcome::kUnknown}};
  for (const auto& [status, outcome] : outcomes) {
    const auto end = EventIn<AttemptEnded>(One(Hex("14 1d000000 03000000 0100000000000000 00 02000000 00") +
                                               Hex(status) + Hex("0000000000000000 00")));
    EXPECT_EQ(end.outcome, outcome) << status;
  }
}

TEST(Codec, Opened) {
  const auto started =
      EventIn<StreamStarted>(One(Hex("13 19000000 03000000 c4913a5dc9090800 01 074a1203 0000000000802240")));
  EXPECT_EQ(started.request, 0x0809c95d3a91c4u);
  EXPECT_EQ(started.attempt, 1);
}

TEST(Codec, UnknownCodeIsSkippedByItsLength) {
  const Batch batch =
      Read(Hex("0000000000000000 14000000 02000000"
               "63 02000000 ffff"
               "19 04000000 03000000"));
  ASSERT_EQ(batch.records.size(), 2u);
  EXPECT_EQ(std::get<Unknown>(batch.records[0].message).code, 0x63);
  EXPECT_TRUE(std::holds_alternative<Crash>(batch.records[1].message));
}

TEST(Codec, Actions) {
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
    EXPECT_EQ(reply.Take().substr(4), Hex(bytes)) << bytes;
  }
  ReplyWriter reply;
  reply.AddInternalError(3, "index out of range");
  EXPECT_EQ(reply.Take(), Hex("1d000000 15 18000000 03000000 1200 696e646578206f7574206f662072616e6765"));
}

TEST(Codec, Malformed) {
  const char* frames[] = {
      "00000000206ec0",                                       // header cut short
      "0000000000000000 08000000 00000000 0000",              // body cut short
      "0000000000000000 00000000 00000000",                   // shorter than its count
      "0000000000000000 05000000 00000000 00",                // bytes left over
      "0000000000000000 09000000 01000000 19 04000000",       // record overruns its frame
      "0000000000000000 0b000000 01000000 19 02000000 0300",  // field overruns its record
      "0000000000000000 16000000 01000000 11 0d000000 03000000 01 29000000 ff000000",  // list overruns
      "0000000000000000 16000000 01000000 11 0d000000 03000000 09 29000000 00000000",  // unknown list kind
  };
  for (const char* frame : frames) {
    std::istringstream in(Hex(frame));
    EXPECT_THROW(ReadBatch(in), MalformedInput) << frame;
  }
  std::istringstream end;
  EXPECT_FALSE(ReadBatch(end).has_value());
}

}  // namespace
}  // namespace badgerbridge::simulator_protocol
