// SPDX-License-Identifier: Apache-2.0
//
// The decoder against frames written out by hand.
#include "simulator_protocol/decoder.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "simulator_protocol/hex.h"

namespace badgerbridge::simulator_protocol {
namespace {

using namespace balancer;
using balancer::testing::Hex;

/// The batch of a frame that must be well formed.
Batch Read(const std::string& bytes) {
  std::istringstream input(bytes);
  const auto batch = ReadBatch(input);
  EXPECT_TRUE(batch.has_value() && batch->has_value());
  return batch.has_value() ? batch->value_or(Batch{}) : Batch{};
}

/// The batch of one record in a frame at 0 ms.
Batch ReadRecord(const std::string& record) {
  std::string header(8, '\0');
  const auto length = static_cast<std::uint32_t>(record.size() + 4);
  for (int i = 0; i < 4; ++i) header += static_cast<char>(length >> (8 * i));
  return Read(header + Hex("01000000") + record);
}

/// The event of the first record.
template <typename T>
T EventIn(const Batch& batch) {
  return std::get<T>(std::get<Event>(batch.records.at(0).message));
}

TEST(Decoder, EmptyFrame_BatchWithoutRecords) {
  const Batch batch = Read(Hex("00000000206ec040 04000000 00000000"));
  EXPECT_EQ(batch.now.time_since_epoch().count(), 8412.25);
  EXPECT_TRUE(batch.records.empty());
}

TEST(Decoder, RecordsOfTwoInstances_DecodedInOrder) {
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

TEST(Decoder, CreateAndCrashRecords_Decoded) {
  const Batch created = ReadRecord(Hex("10 17000000 03000000 0102000000000000 07000000") + "a=1\nb=2");
  const auto& create = std::get<CreateInstance>(created.records.at(0).message);
  EXPECT_EQ(create.seed, 0x0201u);
  EXPECT_EQ(create.config, "a=1\nb=2");
  const Batch crashed = ReadRecord(Hex("19 04000000 03000000"));
  EXPECT_TRUE(std::holds_alternative<CrashInstance>(crashed.records.at(0).message));
}

TEST(Decoder, EndpointListRecord_EveryFieldDecoded) {
  const auto list =
      EventIn<EndpointListUpdate>(ReadRecord(Hex("11 3b000000 03000000 02 29000000 02000000"
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

TEST(Decoder, AttemptEndedWithAndWithoutLoadReport_Decoded) {
  const auto bare = EventIn<AttemptEnded>(
      ReadRecord(Hex("14 1d000000 03000000 c4913a5dc9090800 01 074a1203 02 c800 0000000000803240 00")));
  EXPECT_EQ(bare.request, 0x0809c95d3a91c4u);
  EXPECT_TRUE(bare.settled);
  EXPECT_EQ(bare.server, 0x03124a07u);
  EXPECT_EQ(bare.attempt, 2);
  EXPECT_EQ(bare.outcome, Outcome::kOk);
  EXPECT_EQ(bare.took.count(), 18.5);
  const auto full = EventIn<AttemptEnded>(ReadRecord(Hex(
      "14 25000000 03000000 c4913a5dc9090800 00 074a1203 00 f701 0000000000803240 02 0000803f 0000003f")));
  EXPECT_FALSE(full.settled);
  EXPECT_EQ(full.outcome, Outcome::kRejected);
}

TEST(Decoder, EveryStatus_ItsOutcome) {
  const std::pair<const char*, Outcome> outcomes[] = {
      {"c800", Outcome::kOk},        {"f401", Outcome::kError},         {"f701", Outcome::kRejected},
      {"f801", Outcome::kTimeout},   {"f601", Outcome::kConnectFailed}, {"5602", Outcome::kReset},
      {"f301", Outcome::kCancelled}, {"9a01", Outcome::kNotSent},       {"0700", Outcome::kUnknown}};
  for (const auto& [status, outcome] : outcomes) {
    const auto end =
        EventIn<AttemptEnded>(ReadRecord(Hex("14 1d000000 03000000 0100000000000000 00 02000000 00") +
                                         Hex(status) + Hex("0000000000000000 00")));
    EXPECT_EQ(end.outcome, outcome) << status;
  }
}

TEST(Decoder, StreamStartedRecord_Decoded) {
  const auto started = EventIn<StreamStarted>(
      ReadRecord(Hex("13 19000000 03000000 c4913a5dc9090800 01 074a1203 0000000000802240")));
  EXPECT_EQ(started.request, 0x0809c95d3a91c4u);
  EXPECT_EQ(started.attempt, 1);
}

TEST(Decoder, UnknownCode_SkippedByItsLength) {
  const Batch batch =
      Read(Hex("0000000000000000 14000000 02000000"
               "63 02000000 ffff"
               "19 04000000 03000000"));
  ASSERT_EQ(batch.records.size(), 2u);
  EXPECT_EQ(std::get<IgnoredEvent>(batch.records[0].message).code, 0x63);
  EXPECT_FALSE(std::get<IgnoredEvent>(batch.records[0].message).is_known_code);
  EXPECT_TRUE(std::holds_alternative<CrashInstance>(batch.records[1].message));
}

/// A frame that is not well formed, and the error that it must give.
struct MalformedFrame {
  const char* hex_digits;
  DecodeErrorCode code;
  std::uint32_t record_index;
  std::uint64_t value;
};

TEST(Decoder, MalformedFrame_ErrorNamesTheFaultTheRecordAndTheValue) {
  const MalformedFrame frames[] = {
      {"00000000206ec0", DecodeErrorCode::kTruncatedHeader, 0, 7},
      {"0000000000000000 08000000 00000000 0000", DecodeErrorCode::kTruncatedFrame, 0, 2},
      {"0000000000000000 00000000 00000000", DecodeErrorCode::kFrameTooShort, 0, 0},
      {"0000000000000000 05000000 00000000 00", DecodeErrorCode::kTrailingBytes, 0, 1},
      // A record overruns its frame; then a field overruns its record.
      {"0000000000000000 09000000 01000000 19 04000000", DecodeErrorCode::kFieldOverrun, 0, 4},
      {"0000000000000000 0b000000 01000000 19 02000000 0300", DecodeErrorCode::kFieldOverrun, 0, 4},
      {"0000000000000000 16000000 01000000 11 0d000000 03000000 01 29000000 ff000000",
       DecodeErrorCode::kEndpointListOverrun, 0, 255},
      {"0000000000000000 16000000 01000000 11 0d000000 03000000 09 29000000 00000000",
       DecodeErrorCode::kUnknownListKind, 0, 9},
  };
  for (const MalformedFrame& frame : frames) {
    std::istringstream input(Hex(frame.hex_digits));
    const auto batch = ReadBatch(input);
    ASSERT_TRUE(batch.has_error()) << frame.hex_digits;
    EXPECT_EQ(batch.error().code, frame.code) << frame.hex_digits;
    EXPECT_EQ(batch.error().record_index, frame.record_index) << frame.hex_digits;
    EXPECT_EQ(batch.error().value, frame.value) << frame.hex_digits;
    EXPECT_FALSE(Message(batch.error()).empty()) << frame.hex_digits;
  }
}

TEST(Decoder, UnknownBackendStateInSecondRecord_ErrorNamesThatRecord) {
  const std::string entry = "074a1203 0000 0000 0000 03 0000803f 0000000000000000";
  std::istringstream input(
      Hex("0000000000000000 36000000 02000000 19 04000000 03000000"
          "11 24000000 03000000 02 01000000 01000000" +
          entry));
  const auto batch = ReadBatch(input);
  ASSERT_TRUE(batch.has_error());
  EXPECT_EQ(batch.error().code, DecodeErrorCode::kUnknownBackendState);
  EXPECT_EQ(batch.error().record_index, 1u);
  EXPECT_EQ(batch.error().value, 3u);
}

TEST(Decoder, EndOfInputBetweenFrames_NoBatchAndNoError) {
  std::istringstream input;
  const auto batch = ReadBatch(input);
  ASSERT_TRUE(batch.has_value());
  EXPECT_FALSE(batch->has_value());
}

}  // namespace
}  // namespace badgerbridge::simulator_protocol
