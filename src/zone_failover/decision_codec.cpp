// SPDX-License-Identifier: Apache-2.0
/// @file
/// Codec of decisions and rosters. The JSON field names and state names are stored in etcd and shared with
/// other releases, so they must not change:
///
///   decider   Decision::leader              carried   Zone::served
///   admitted  Decision::admitted_revision   shown     Zone::observed_capacity
///   counted   Decision::counted_revision    lost      Zone::lost_members
///   returned  Decision::readmitted          why       Zone::reason
///   ceiling   Decision::grant_ceiling       roll      the roster's key (keys.h)
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <optional>

#include "zone_failover/decision.h"
#include "zone_failover/json_fields.h"

namespace badgerbridge::zone_failover {
namespace {

namespace json = boost::json;
using Kind = ZoneFailoverError::Kind;
using Record = ZoneFailoverError::Record;

constexpr std::array<std::string_view, 5> kStateNames = {"sound", "limping", "dark", "returning",
                                                         "evacuated"};
constexpr double kMaxNumber = 1e9;
constexpr double kStepsPerUnit = 10000;  // four decimals

// Rounds down, so that a decoded grant never exceeds the encoded one.
double RoundedDown(double number) {
  return number < 0 ? kUnlimited : std::floor(number * kStepsPerUnit) / kStepsPerUnit;
}

// Encodes only the cells that are not 0: [origin, receiver, value, …].
json::array EncodeMatrix(const Matrix& matrix) {
  json::array cells;
  for (std::size_t origin = 0; origin < matrix.zones(); ++origin) {
    for (std::size_t receiver = 0; receiver < matrix.zones(); ++receiver) {
      const double value = RoundedDown(matrix.at(origin, receiver));
      if (value == 0) continue;
      cells.push_back(origin);
      cells.push_back(receiver);
      cells.push_back(value);
    }
  }
  return cells;
}

// Rounds up, so that a decoded upper bound is never below the encoded one.
Matrix RoundedUp(Matrix matrix) {
  for (std::size_t origin = 0; origin < matrix.zones(); ++origin) {
    for (std::size_t receiver = 0; receiver < matrix.zones(); ++receiver) {
      double& value = matrix.at(origin, receiver);
      if (value > 0) value = std::ceil(value * kStepsPerUnit) / kStepsPerUnit;
    }
  }
  return matrix;
}

json::object EncodeZone(const Decision::Zone& zone) {
  return {{"state", WireName(zone.state)},      {"shown", RoundedDown(zone.observed_capacity)},
          {"limit", RoundedDown(zone.limit)},   {"carried", RoundedDown(zone.served)},
          {"demand", RoundedDown(zone.demand)}, {"members", zone.members},
          {"lost", zone.lost_members},          {"why", zone.reason}};
}

ZoneFailoverError Error(Kind kind, const char* field, const json::value* value) {
  return FieldError(Record::kDecision, kind, field, value);
}

std::optional<double> ReadNumber(const json::value* value, double min, double max = kMaxNumber) {
  if (!value || !value->is_number()) return std::nullopt;
  const double number = value->to_number<double>();
  if (!std::isfinite(number) || number < min || number > max) return std::nullopt;
  return number;
}

// Returns an empty string if the field is absent or not a string.
std::string ReadText(const json::value* value) {
  return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool IsPairWithName(const json::value& value) {
  return value.is_array() && value.get_array().size() == 2 && value.get_array()[0].is_string();
}

Result<Matrix> ReadMatrix(const json::object& root, const char* field, std::size_t zones) {
  const json::value* list = root.if_contains(field);
  if (!list || !list->is_array() || list->get_array().size() % 3 != 0)
    return Error(Kind::kMalformedMatrix, field, list);
  Matrix matrix(zones);
  const json::array& cells = list->get_array();
  for (std::size_t i = 0; i + 2 < cells.size(); i += 3) {
    const auto origin = ReadNumber(&cells[i], 0);
    const auto receiver = ReadNumber(&cells[i + 1], 0);
    const auto value = ReadNumber(&cells[i + 2], kUnlimited);
    if (!origin || !receiver || !value) return Error(Kind::kMalformedMatrix, field, &cells[i]);
    if (*origin >= static_cast<double>(zones) || *receiver >= static_cast<double>(zones))
      return Error(Kind::kMalformedMatrix, field, &cells[i]);
    if (*value < 0 && (*value != kUnlimited || *origin != *receiver))
      return Error(Kind::kMalformedMatrix, field, &cells[i + 2]);
    matrix.at(static_cast<std::size_t>(*origin), static_cast<std::size_t>(*receiver)) = *value;
  }
  return matrix;
}

// Reads the fields that are not about a single zone.
Result<Decision> ReadHeader(const json::object& root) {
  const json::value* version = root.if_contains("v");
  if (ReadNumber(version, 1) != 1) return Error(Kind::kUnsupportedVersion, "v", version);
  std::array<double, 3> revisions{};
  constexpr std::array<const char*, 3> kFields = {"epoch", "admitted", "counted"};
  for (std::size_t i = 0; i < kFields.size(); ++i) {
    const json::value* value = root.if_contains(kFields[i]);
    const auto number = ReadNumber(value, 0, kMaxRevision);
    if (!number) return Error(Kind::kNotANumber, kFields[i], value);
    revisions[i] = *number;
  }
  Decision decision;
  decision.epoch = static_cast<std::uint64_t>(revisions[0]);
  decision.admitted_revision = static_cast<std::int64_t>(revisions[1]);
  decision.counted_revision = static_cast<std::int64_t>(revisions[2]);
  decision.leader = ReadText(root.if_contains("decider"));
  return decision;
}

Result<std::vector<MemberIncarnation>> ReadReadmitted(const json::object& root) {
  std::vector<MemberIncarnation> readmitted;
  const json::value* list = root.if_contains("returned");
  if (!list) return readmitted;
  if (!list->is_array()) return Error(Kind::kNotAList, "returned", list);
  for (const json::value& value : list->get_array()) {
    if (!IsPairWithName(value) || !value.get_array()[1].is_int64())
      return Error(Kind::kMalformedEntry, "returned", &value);
    readmitted.push_back({ReadText(&value.get_array()[0]), value.get_array()[1].get_int64()});
  }
  return readmitted;
}

std::optional<ZoneState> ReadState(const json::value* value) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (value && value->is_string() && std::string_view(value->get_string()) == kStateNames[i])
      return static_cast<ZoneState>(i);
  }
  return std::nullopt;
}

Result<Decision::Zone> ReadZone(const json::value& value) {
  if (!value.is_object()) return Error(Kind::kMalformedZone, "", &value);
  const json::object& fields = value.get_object();
  const auto number = [&](const char* key) { return ReadNumber(fields.if_contains(key), 0); };
  const auto observed_capacity = number("shown");
  const auto limit = number("limit");
  const auto served = number("carried");
  const auto demand = number("demand");
  const auto members = number("members");
  const auto lost_members = number("lost");
  if (!observed_capacity || !limit || !served || !demand || !members || !lost_members)
    return Error(Kind::kMalformedZone, "zones", &value);
  const auto state = ReadState(fields.if_contains("state"));
  if (!state) return Error(Kind::kUnknownState, "state", fields.if_contains("state"));
  Decision::Zone zone;
  zone.state = *state;
  zone.observed_capacity = *observed_capacity;
  zone.limit = *limit;
  zone.served = *served;
  zone.demand = *demand;
  zone.members = static_cast<int>(*members);
  zone.lost_members = static_cast<int>(*lost_members);
  zone.reason = ReadText(fields.if_contains("why"));
  return zone;
}

Result<std::vector<Decision::Zone>> ReadZones(const json::object& root, std::size_t zones) {
  const json::value* list = root.if_contains("zones");
  if (!list || !list->is_array() || list->get_array().size() != zones)
    return Error(Kind::kZonesMismatch, "zones", list);
  std::vector<Decision::Zone> zone_decisions;
  for (const json::value& value : list->get_array()) {
    Result<Decision::Zone> zone = ReadZone(value);
    if (!zone) return zone.error();
    zone_decisions.push_back(std::move(*zone));
  }
  return zone_decisions;
}

}  // namespace

std::string_view WireName(ZoneState state) { return kStateNames[static_cast<std::size_t>(state)]; }

std::string Encode(const Decision& decision) {
  json::array readmitted;
  for (const MemberIncarnation& one : decision.readmitted)
    readmitted.push_back(json::array{one.member, one.create_revision});
  json::array zones;
  for (const Decision::Zone& zone : decision.zones) zones.push_back(EncodeZone(zone));
  return json::serialize(json::object{{"v", 1},
                                      {"epoch", decision.epoch},
                                      {"decider", decision.leader},
                                      {"admitted", decision.admitted_revision},
                                      {"counted", decision.counted_revision},
                                      {"returned", std::move(readmitted)},
                                      {"zones", std::move(zones)},
                                      {"grants", EncodeMatrix(decision.grants)},
                                      {"ceiling", EncodeMatrix(RoundedUp(decision.grant_ceiling))},
                                      {"standby", EncodeMatrix(decision.standby)}});
}

Result<Decision> DecodeDecision(std::string_view text, std::size_t zones) {
  const Result<json::object> root = ParseRecord(Record::kDecision, text, kMaxDecisionBytes);
  if (!root) return root.error();
  Result<Decision> decision = ReadHeader(*root);
  if (!decision) return decision.error();
  Result<std::vector<MemberIncarnation>> readmitted = ReadReadmitted(*root);
  if (!readmitted) return readmitted.error();
  decision->readmitted = std::move(*readmitted);
  Result<std::vector<Decision::Zone>> zone_decisions = ReadZones(*root, zones);
  if (!zone_decisions) return zone_decisions.error();
  decision->zones = std::move(*zone_decisions);
  struct MatrixField {
    const char* field;
    Matrix* matrix;
  };
  for (const MatrixField& entry :
       {MatrixField{"grants", &decision->grants}, MatrixField{"ceiling", &decision->grant_ceiling},
        MatrixField{"standby", &decision->standby}}) {
    Result<Matrix> matrix = ReadMatrix(*root, entry.field, zones);
    if (!matrix) return matrix.error();
    *entry.matrix = std::move(*matrix);
  }
  return decision;
}

std::string EncodeRoster(const Decision& decision) {
  json::array members;
  for (const RosterEntry& entry : decision.roster) members.push_back(json::array{entry.member, entry.zone});
  return json::serialize(json::object{{"v", 1}, {"epoch", decision.epoch}, {"members", std::move(members)}});
}

Result<std::vector<RosterEntry>> DecodeRoster(std::string_view text, std::size_t zones, std::uint64_t epoch) {
  const Result<json::object> root = ParseRecord(Record::kRoster, text, kMaxDecisionBytes);
  if (!root) return root.error();
  const json::value* epoch_field = root->if_contains("epoch");
  const auto own_epoch = ReadNumber(epoch_field, 0, kMaxRevision);
  if (!own_epoch) return FieldError(Record::kRoster, Kind::kNotANumber, "epoch", epoch_field);
  if (*own_epoch != static_cast<double>(epoch))
    return FieldError(Record::kRoster, Kind::kOtherEpoch, "epoch", epoch_field);
  const json::value* list = root->if_contains("members");
  if (!list || !list->is_array()) return FieldError(Record::kRoster, Kind::kNotAList, "members", list);
  std::vector<RosterEntry> roster;
  for (const json::value& value : list->get_array()) {
    const auto zone = IsPairWithName(value) ? ReadNumber(&value.get_array()[1], 0) : std::nullopt;
    if (!zone || *zone >= static_cast<double>(zones))
      return FieldError(Record::kRoster, Kind::kMalformedEntry, "members", &value);
    roster.push_back({ReadText(&value.get_array()[0]), static_cast<int>(*zone)});
  }
  return roster;
}

}  // namespace badgerbridge::zone_failover
