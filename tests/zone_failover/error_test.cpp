// SPDX-License-Identifier: Apache-2.0
//
// Errors of the decoders: kind, field and rejected value.
#include "zone_failover/error.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "zone_failover/decision.h"
#include "zone_failover/load_report.h"

namespace badgerbridge::zone_failover {
namespace {

using Kind = ZoneFailoverError::Kind;
using Record = ZoneFailoverError::Record;

// Encodes a decision of one zone and replaces a part of the text.
std::string DecisionWith(const std::string& part, const std::string& replacement) {
  Decision decision;
  decision.epoch = 3;
  decision.zones.resize(1);
  decision.grants = Matrix(1, 1);
  decision.grant_ceiling = Matrix(1);
  decision.standby = Matrix(1);
  std::string text = Encode(decision);
  const std::size_t at = text.find(part);
  EXPECT_NE(at, std::string::npos) << part << " is not in " << text;
  if (at != std::string::npos) text.replace(at, part.size(), replacement);
  return text;
}

struct MalformedDecision {
  std::string part;  // of a valid decision
  std::string replacement;
  Kind kind;
  std::string field;
  std::string value;
  std::string message;
};

TEST(ZoneFailoverError, MalformedDecisionIsReportedWithKindFieldAndValue) {
  const std::string no_revision = "epoch, admitted and counted are no numbers";
  const std::string no_matrix = "grants, ceiling or standby is no list of origin, receiver and work a ms";
  for (const MalformedDecision& one : {
           MalformedDecision{"\"v\":1", "\"v\":2", Kind::kUnsupportedVersion, "v", "2", "not of version 1"},
           MalformedDecision{"\"epoch\":3", "\"epoch\":null", Kind::kNotANumber, "epoch", "null",
                             no_revision},
           MalformedDecision{"\"counted\":0,", "", Kind::kNotANumber, "counted", "", no_revision},
           MalformedDecision{"\"returned\":[]", "\"returned\":{}", Kind::kNotAList, "returned", "{}",
                             "returned is no list"},
           MalformedDecision{"\"returned\":[]", "\"returned\":[7]", Kind::kMalformedEntry, "returned", "7",
                             "returned holds what is no name with its revision"},
           MalformedDecision{"\"sound\"", "\"well\"", Kind::kUnknownState, "state", "\"well\"",
                             "a zone's state is not known"},
           MalformedDecision{"\"grants\":[0,0,1", "\"grants\":[0,9,1", Kind::kMalformedMatrix, "grants", "0",
                             no_matrix},
           MalformedDecision{"\"standby\":[]", "\"standby\":[1]", Kind::kMalformedMatrix, "standby", "[1]",
                             no_matrix},
       }) {
    const auto read = DecodeDecision(DecisionWith(one.part, one.replacement), 1);
    ASSERT_FALSE(read.has_value()) << one.replacement;
    EXPECT_EQ(read.error().record, Record::kDecision) << one.replacement;
    EXPECT_EQ(read.error().kind, one.kind) << one.replacement;
    EXPECT_EQ(read.error().field, one.field) << one.replacement;
    EXPECT_EQ(read.error().value, one.value) << one.replacement;
    EXPECT_EQ(Message(read.error()), one.message) << one.replacement;
  }
}

TEST(ZoneFailoverError, ValueOfTextThatIsNotAnObjectOrTooLongIsTruncated) {
  const auto not_an_object = DecodeLoadReport("[1,2]", 1);
  ASSERT_FALSE(not_an_object.has_value());
  EXPECT_EQ(not_an_object.error().kind, Kind::kNotAnObject);
  EXPECT_EQ(not_an_object.error().value, "[1,2]");
  EXPECT_EQ(Message(not_an_object.error()), "no JSON object");
  const auto too_long = DecodeLoadReport(std::string(kMaxLoadReportBytes + 1, 'x'), 1);
  ASSERT_FALSE(too_long.has_value());
  EXPECT_EQ(too_long.error().kind, Kind::kTooLong);
  EXPECT_LE(too_long.error().value.size(), 64u);
  EXPECT_EQ(Message(too_long.error()), "longer than any load report is");
}

TEST(ZoneFailoverError, ValueOfAnErrorThrowsItsMessage) {
  try {
    static_cast<void>(DecodeDecision("{}", 1).value());
    FAIL() << "an error has no value";
  } catch (const std::runtime_error& error) {
    EXPECT_STREQ(error.what(), "not of version 1");
  }
}

}  // namespace
}  // namespace badgerbridge::zone_failover
