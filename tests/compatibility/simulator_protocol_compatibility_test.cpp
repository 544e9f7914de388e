// SPDX-License-Identifier: Apache-2.0
//
/// The simulator's wire: a fixed conversation with the program, bytes in and bytes out.
///
/// golden/simulator_protocol/conversation_in.hex holds the input in hexadecimal digits, with comments from
/// "#" to the end of the line; conversation_out.txt holds the replies, one record a line. The text of a log
/// record is left out: it is for people.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>

#include "compatibility/golden_file.h"
#include "simulator_protocol/hex.h"

namespace badgerbridge::compatibility {
namespace {

constexpr std::uint8_t kLogRecord = 22;
constexpr std::size_t kRecordHeaderBytes = 5;  // code, length
constexpr std::size_t kInstanceBytes = 4;

/// The bytes that a golden file with hexadecimal digits and comments stands for.
std::string BytesOfHexFile(const std::string& name) {
  std::string digits;
  for (const std::string& line : GoldenLines(name)) digits += line.substr(0, line.find('#'));
  return balancer::testing::Hex(digits);
}

std::string HexOf(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    text += kDigits[static_cast<unsigned char>(c) >> 4];
    text += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return text;
}

std::uint32_t LittleEndian(std::string_view bytes) {
  std::uint32_t value = 0;
  std::memcpy(&value, bytes.data(), sizeof value);
  return value;
}

/// The records of one reply's body.
void AppendRecords(std::string_view body, std::vector<std::string>* lines) {
  while (body.size() >= kRecordHeaderBytes) {
    const auto code = static_cast<std::uint8_t>(body[0]);
    const std::size_t length = LittleEndian(body.substr(1));
    ASSERT_LE(kRecordHeaderBytes + length, body.size());
    const std::string_view record = body.substr(kRecordHeaderBytes, length);
    const std::string fields = code == kLogRecord ? "(text)" : HexOf(record.substr(kInstanceBytes));
    lines->push_back("  " + std::to_string(code) + " " + HexOf(record.substr(0, kInstanceBytes)) + " " +
                     fields);
    body.remove_prefix(kRecordHeaderBytes + length);
  }
  EXPECT_EQ(body.size(), 0u);
}

std::vector<std::string> LinesOfReplies(std::string_view replies) {
  std::vector<std::string> lines;
  while (replies.size() >= sizeof(std::uint32_t)) {
    const std::size_t length = LittleEndian(replies);
    replies.remove_prefix(sizeof(std::uint32_t));
    EXPECT_LE(length, replies.size());
    lines.push_back("reply");
    AppendRecords(replies.substr(0, length), &lines);
    replies.remove_prefix(std::min(length, replies.size()));
  }
  EXPECT_EQ(replies.size(), 0u);
  return lines;
}

/// What the program writes when it is given `input`; it must end with 0.
std::string Converse(const std::string& input) {
  const TemporaryDirectory directory;
  WriteWholeFile(directory.Path("in"), input);
  const std::string command =
      std::string(DRILL_PATH) + " <" + directory.Path("in") + " >" + directory.Path("out") + " 2>/dev/null";
  EXPECT_EQ(std::system(command.c_str()), 0);
  return ReadWholeFile(directory.Path("out"));
}

TEST(SimulatorProtocolCompatibility, FixedConversationHasTheRepliesOfBefore) {
  const std::string replies = Converse(BytesOfHexFile("simulator_protocol/conversation_in.hex"));
  EXPECT_TRUE(
      MatchesGoldenFile("simulator_protocol/conversation_out.txt", JoinLines(LinesOfReplies(replies))));
}

}  // namespace
}  // namespace badgerbridge::compatibility
