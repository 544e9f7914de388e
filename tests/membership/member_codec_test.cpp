// SPDX-License-Identifier: Apache-2.0
#include "membership/member_codec.h"

#include <gtest/gtest.h>

#include <string>

namespace badgerbridge::membership {
namespace {

TEST(MemberCodecTest, ParsesASerializedMember) {
  Member member;
  member.name = "c1";
  member.address = "127.0.0.1:1";
  member.zone = "a";
  member.kind = "large";
  member.group = 3;
  member.state = MemberState::kDraining;
  member.weight = 2.5;
  member.start_time_ms = 1.5e12;
  const std::string value = SerializeMember(member);
  EXPECT_EQ(value, R"({"name":"c1","address":"127.0.0.1:1","zone":"a","type":"large","group":3,)"
                   R"("status":"Terminating","weight":2.5E0,"since_ms":1.5E12})");
  const Result<Member> read = ParseMember("c1", value);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(*read, member);
}

TEST(MemberCodecTest, InvalidValueHasAnErrorWithItsReason) {
  struct Case {
    std::string value;
    ErrorCode code;
    std::string where;
    std::string wrong_value;
    std::string message;
  };
  const Case cases[] = {
      {"{", ErrorCode::kNotJsonObject, "the value", "", "the value is no JSON object"},
      {R"({"name":"z"})", ErrorCode::kNameMismatch, "name", "z",
       "the value names \"z\", and not what its key does"},
      {R"({"name":"a","status":"Lively"})", ErrorCode::kUnknownStatus, "status", "Lively",
       "its status is neither Ready nor Terminating"},
      {R"({"name":"a","status":"Ready"})", ErrorCode::kMissingAddress, "address", "", "it has no address"},
      {R"({"name":"a","status":"Ready","address":"x","weight":-1})", ErrorCode::kInvalidNumber, "weight",
       "-1", "weight is no number of at least 0"},
      {R"({"name":"a","status":"Ready","address":"x","since_ms":"1"})", ErrorCode::kInvalidNumber, "since_ms",
       "\"1\"", "since_ms is no number of at least 0"}};
  for (const Case& test_case : cases) {
    const Result<Member> member = ParseMember("a", test_case.value);
    ASSERT_FALSE(member.has_value()) << test_case.value;
    EXPECT_EQ(member.error().code, test_case.code) << test_case.value;
    EXPECT_EQ(member.error().where, test_case.where) << test_case.value;
    EXPECT_EQ(member.error().value, test_case.wrong_value) << test_case.value;
    EXPECT_EQ(Message(member.error()), test_case.message);
  }
}

TEST(MemberCodecTest, StateChangeIsACompareAndSwapOrNothingOrAnError) {
  etcdserverpb::KeyValue kv;
  kv.set_key("/k/a");
  kv.set_mod_revision(7);
  kv.set_value(R"({"name":"a","status":"Ready","extra":1})");
  const auto change = MakeStateChange(kv, MemberState::kDraining);
  ASSERT_TRUE(change.has_value() && change->has_value());
  EXPECT_EQ((*change)->compare(0).mod_revision(), 7);
  EXPECT_EQ((*change)->success(0).request_put().value(), R"({"name":"a","status":"Terminating","extra":1})");
  const auto nothing = MakeStateChange(kv, MemberState::kReady);
  ASSERT_TRUE(nothing.has_value());
  EXPECT_FALSE(nothing->has_value());
  kv.set_value("[]");
  EXPECT_EQ(Message(MakeStateChange(kv, MemberState::kReady).error()), "its value is no JSON object");
}

}  // namespace
}  // namespace badgerbridge::membership
