// SPDX-License-Identifier: Apache-2.0
//
/// A backend's value in etcd, as the version before wrote it: read, and written back byte for byte.
#include <gtest/gtest.h>

#include "compatibility/etcd_transaction_text.h"
#include "compatibility/golden_file.h"
#include "membership/member_codec.h"
#include "membership/registration.h"

namespace badgerbridge::compatibility {
namespace {

/// With a value of its own in each field.
membership::Member MemberWithEveryField(membership::MemberState state) {
  membership::Member member;
  member.name = "v17";
  member.address = "10.1.2.3:9000";
  member.zone = "south";
  member.kind = "gpu-large";
  member.group = 4;
  member.state = state;
  member.weight = 1.5;
  member.start_time_ms = 1700000000123;
  return member;
}

etcdserverpb::KeyValue KeyValueOf(const std::string& value) {
  etcdserverpb::KeyValue kv;
  kv.set_key("/badgerbridge/converters/v17");
  kv.set_value(value);
  kv.set_mod_revision(42);
  kv.set_lease(77);
  return kv;
}

TEST(MembershipValueCompatibility, MemberOfEachStateIsWrittenAsTheGoldenValue) {
  EXPECT_TRUE(MatchesGoldenFile(
      "membership/values.jsonl",
      JoinLines({membership::SerializeMember(MemberWithEveryField(membership::MemberState::kReady)),
                 membership::SerializeMember(MemberWithEveryField(membership::MemberState::kDraining))})));
}

TEST(MembershipValueCompatibility, GoldenValueIsReadIntoEveryFieldAndWrittenBack) {
  const std::vector<std::string> values = GoldenLines("membership/values.jsonl");
  ASSERT_EQ(values.size(), 2u);
  const membership::MemberState states[] = {membership::MemberState::kReady,
                                            membership::MemberState::kDraining};
  for (std::size_t i = 0; i < values.size(); ++i) {
    const auto member = membership::ParseMember("v17", values[i]);
    ASSERT_TRUE(member.has_value());
    EXPECT_EQ(*member, MemberWithEveryField(states[i]));
    EXPECT_EQ(membership::SerializeMember(*member), values[i]);
  }
}

TEST(MembershipValueCompatibility, ValueWithoutOptionalFieldsHasTheirDefaults) {
  const auto member = membership::ParseMember("v17", GoldenLines("membership/short_value.jsonl").front());
  ASSERT_TRUE(member.has_value());
  membership::Member expected;
  expected.name = "v17";
  expected.address = "10.1.2.3:9000";
  EXPECT_EQ(*member, expected);
}

TEST(MembershipValueCompatibility, ChangeOfStateIsTheGoldenTransactionAndKeepsUnknownFields) {
  std::string text;
  for (const std::string& value : GoldenLines("membership/foreign_values.jsonl")) {
    for (const membership::MemberState state :
         {membership::MemberState::kReady, membership::MemberState::kDraining}) {
      const auto transaction = membership::MakeStateChange(KeyValueOf(value), state);
      ASSERT_TRUE(transaction.has_value()) << Message(transaction.error());
      text += *transaction ? TextOf("change", **transaction) : "no change\n";
    }
  }
  EXPECT_TRUE(MatchesGoldenFile("membership/change_of_state.txt", text));
}

TEST(MembershipRegistrationCompatibility, RegistrationWritesTheGoldenKeyAndValue) {
  using membership::Registration;
  membership::RegistrationSettings settings;
  settings.member = MemberWithEveryField(membership::MemberState::kReady);
  Registration registration(settings);
  std::string text;
  etcdserverpb::LeaseGrantResponse lease;
  lease.set_id(77);
  lease.set_ttl(10);
  const auto grant = registration.Next(membership::Time(1000));
  text += "lease of " + std::to_string(std::get<Registration::GrantLease>(grant).request.ttl()) + " s\n";
  registration.OnLeaseGranted(membership::Time(1001), etcd::Status{}, lease);
  const auto read = registration.Next(membership::Time(1002));
  text += "read " + std::get<Registration::ReadKey>(read).request.key() + "\n";
  registration.OnKeyRead(membership::Time(1003), etcd::Status{}, {});
  const auto write = registration.Next(membership::Time(1004));
  text += TextOf("write", std::get<Registration::WriteKey>(write).request);
  EXPECT_TRUE(MatchesGoldenFile("membership/registration.txt", text));
}

}  // namespace
}  // namespace badgerbridge::compatibility
