// SPDX-License-Identifier: Apache-2.0
#include "membership/member_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace badgerbridge::membership {
namespace {

namespace json = boost::json;
namespace pb = etcdserverpb;

constexpr char kName[] = "name";
constexpr char kAddress[] = "address";
constexpr char kZone[] = "zone";
constexpr char kKind[] = "type";
constexpr char kGroup[] = "group";
constexpr char kStatus[] = "status";
constexpr char kWeight[] = "weight";
constexpr char kStartTime[] = "since_ms";
constexpr char kStatusReady[] = "Ready";
constexpr char kStatusDraining[] = "Terminating";

constexpr double kNumberLimit = 1e15;  // exclusive upper bound of every numeric field
constexpr double kMaxGroup = 2e9;      // fits an int
constexpr std::size_t kMaxNameBytesInMessage = 64;

std::string TextAt(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

Result<double> NumberAt(const json::object& object, const char* key, double default_value) {
  const json::value* value = object.if_contains(key);
  if (!value) return default_value;
  const double number = value->is_number() ? value->to_number<double>() : -1;
  const bool is_valid = number >= 0 && number < kNumberLimit;  // false for NaN
  if (!is_valid) return MembershipError{ErrorCode::kInvalidNumber, key, json::serialize(*value)};
  return number;
}

const char* StatusOf(MemberState state) {
  return state == MemberState::kReady ? kStatusReady : kStatusDraining;
}

Result<MemberState> ParseStatus(const std::string& status) {
  if (status == kStatusReady) return MemberState::kReady;
  if (status == kStatusDraining) return MemberState::kDraining;
  return MembershipError{ErrorCode::kUnknownStatus, kStatus, status};
}

}  // namespace

Result<Member> ParseMember(std::string_view name, std::string_view value) {
  boost::system::error_code error;
  const json::value parsed = json::parse(json::string_view(value.data(), value.size()), error);
  const json::object* object = error ? nullptr : parsed.if_object();
  if (!object) return MembershipError{ErrorCode::kNotJsonObject, "the value", ""};
  Member member;
  member.name = TextAt(*object, kName);
  if (member.name != name)
    return MembershipError{ErrorCode::kNameMismatch, kName, member.name.substr(0, kMaxNameBytesInMessage)};
  member.address = TextAt(*object, kAddress);
  member.zone = TextAt(*object, kZone);
  member.kind = TextAt(*object, kKind);
  const Result<MemberState> state = ParseStatus(TextAt(*object, kStatus));
  if (!state) return state.error();
  member.state = *state;
  if (member.address.empty()) return MembershipError{ErrorCode::kMissingAddress, kAddress, ""};
  const Result<double> group = NumberAt(*object, kGroup, member.group);
  if (!group) return group.error();
  member.group = static_cast<int>(std::min(*group, kMaxGroup));
  const Result<double> weight = NumberAt(*object, kWeight, member.weight);
  if (!weight) return weight.error();
  member.weight = *weight;
  const Result<double> start_time_ms = NumberAt(*object, kStartTime, member.start_time_ms);
  if (!start_time_ms) return start_time_ms.error();
  member.start_time_ms = *start_time_ms;
  return member;
}

std::string SerializeMember(const Member& member) {
  return json::serialize(json::object{{kName, member.name},
                                      {kAddress, member.address},
                                      {kZone, member.zone},
                                      {kKind, member.kind},
                                      {kGroup, member.group},
                                      {kStatus, StatusOf(member.state)},
                                      {kWeight, member.weight},
                                      {kStartTime, member.start_time_ms}});
}

Result<std::optional<pb::TxnRequest>> MakeStateChange(const pb::KeyValue& kv, MemberState state) {
  boost::system::error_code error;
  json::value parsed = json::parse(kv.value(), error);
  json::object* object = error ? nullptr : parsed.if_object();
  if (!object) return MembershipError{ErrorCode::kNotJsonObject, "its value", ""};
  if (TextAt(*object, kStatus) == StatusOf(state)) return std::optional<pb::TxnRequest>();
  (*object)[kStatus] = StatusOf(state);
  pb::TxnRequest txn;
  pb::Compare* compare = txn.add_compare();
  compare->set_key(kv.key());
  compare->set_target(pb::Compare::MOD);
  compare->set_mod_revision(kv.mod_revision());
  pb::PutRequest* put = txn.add_success()->mutable_request_put();
  put->set_key(kv.key());
  put->set_value(json::serialize(parsed));
  put->set_ignore_lease(true);
  txn.add_failure()->mutable_request_range()->set_key(kv.key());
  return std::optional<pb::TxnRequest>(std::move(txn));
}

}  // namespace badgerbridge::membership
