// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/decision.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace badgerbridge::zone_failover {
namespace {

namespace json = boost::json;

constexpr std::string_view kNames[] = {"sound", "limping", "dark", "returning", "evacuated"};
constexpr double kMost = 1e9;

// Rounded down: what is read back is never more than what was granted.
double Floor(double x) { return x < 0 ? kFree : std::floor(x * 10000) / 10000; }

// Only what is not 0: [origin, receiver, value, …].
json::array Sparse(const Matrix& matrix) {
  json::array all;
  for (std::size_t o = 0; o < matrix.zones(); ++o) {
    for (std::size_t r = 0; r < matrix.zones(); ++r) {
      const double value = Floor(matrix.at(o, r));
      if (value == 0) continue;
      all.push_back(o);
      all.push_back(r);
      all.push_back(value);
    }
  }
  return all;
}

// A bound must not be read back as less.
Matrix RoundedUp(Matrix matrix) {
  for (std::size_t o = 0; o < matrix.zones(); ++o) {
    for (std::size_t r = 0; r < matrix.zones(); ++r) {
      double& value = matrix.at(o, r);
      if (value > 0) value = std::ceil(value * 10000) / 10000;
    }
  }
  return matrix;
}

bool Number(const json::value* value, double least, double* out, double most = kMost) {
  if (!value || !value->is_number()) return false;
  *out = value->to_number<double>();
  return std::isfinite(*out) && *out >= least && *out <= most;
}

bool Read(const json::value* value, std::size_t zones, Matrix* matrix) {
  *matrix = Matrix(zones);
  if (!value || !value->is_array() || value->get_array().size() % 3 != 0) return false;
  const json::array& all = value->get_array();
  for (std::size_t i = 0; i + 2 < all.size(); i += 3) {
    double o = 0, r = 0, x = 0;
    if (!Number(&all[i], 0, &o) || !Number(&all[i + 1], 0, &r) || !Number(&all[i + 2], kFree, &x))
      return false;
    if (o >= static_cast<double>(zones) || r >= static_cast<double>(zones)) return false;
    if (x < 0 && (x != kFree || o != r)) return false;
    matrix->at(static_cast<std::size_t>(o), static_cast<std::size_t>(r)) = x;
  }
  return true;
}

}  // namespace

std::string_view Name(ZoneState state) { return kNames[static_cast<int>(state)]; }

Matrix SlicesOf(const Decision& decision) {
  Matrix slices = decision.grants;
  for (std::size_t o = 0; o < slices.zones(); ++o) {
    for (std::size_t r = 0; r < slices.zones(); ++r) {
      if (slices.at(o, r) != kFree) slices.at(o, r) /= std::max(1, decision.zones[o].members);
    }
  }
  return slices;
}

std::string Encode(const Decision& decision) {
  json::array returned;
  for (const Decision::Returned& one : decision.returned)
    returned.push_back(json::array{one.member, one.created});
  json::array zones;
  for (const Decision::Zone& z : decision.zones)
    zones.push_back(json::object{{"state", Name(z.state)},
                                 {"shown", Floor(z.shown)},
                                 {"limit", Floor(z.limit)},
                                 {"carried", Floor(z.carried)},
                                 {"demand", Floor(z.demand)},
                                 {"members", z.members},
                                 {"lost", z.lost},
                                 {"why", z.why}});
  return json::serialize(json::object{{"v", 1},
                                      {"epoch", decision.epoch},
                                      {"decider", decision.decider},
                                      {"admitted", decision.admitted},
                                      {"counted", decision.counted},
                                      {"returned", std::move(returned)},
                                      {"zones", std::move(zones)},
                                      {"grants", Sparse(decision.grants)},
                                      {"ceiling", Sparse(RoundedUp(decision.ceiling))},
                                      {"standby", Sparse(decision.standby)}});
}

std::string EncodeRoster(const Decision& decision) {
  json::array all;
  for (const Decision::Counted& one : decision.roster) all.push_back(json::array{one.member, one.zone});
  return json::serialize(json::object{{"v", 1}, {"epoch", decision.epoch}, {"members", std::move(all)}});
}

bool DecodeRoster(std::string_view text, std::size_t zones, Decision* decision) {
  if (text.size() > kMostDecisionBytes) return false;
  boost::system::error_code error;
  const json::value root = json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !root.is_object()) return false;
  const json::value* epoch = root.get_object().if_contains("epoch");
  const json::value* list = root.get_object().if_contains("members");
  double number = 0;
  if (!Number(epoch, 0, &number, 9e15) || number != static_cast<double>(decision->epoch) || !list ||
      !list->is_array())
    return false;
  std::vector<Decision::Counted> roster;
  for (const json::value& value : list->get_array()) {
    double zone = 0;
    if (!value.is_array() || value.get_array().size() != 2 || !value.get_array()[0].is_string() ||
        !Number(&value.get_array()[1], 0, &zone) || zone >= static_cast<double>(zones))
      return false;
    roster.push_back({std::string(value.get_array()[0].get_string()), static_cast<int>(zone)});
  }
  decision->roster = std::move(roster);
  return true;
}

std::optional<Decision> DecodeDecision(std::string_view text, std::size_t zones, std::string* why) {
  const auto bad = [&](const char* reason) -> std::optional<Decision> {
    *why = reason;
    return std::nullopt;
  };
  if (text.size() > kMostDecisionBytes) return bad("longer than any decision is");
  boost::system::error_code error;
  const json::value root = json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !root.is_object()) return bad("no JSON object");
  const json::object& all = root.get_object();
  double version = 0, epoch = 0, admitted = 0, counted = 0;
  if (!Number(all.if_contains("v"), 1, &version) || version != 1) return bad("not of version 1");
  const auto whole = [&](const char* key, double* out) {  // revisions go beyond what grants may
    const json::value* found = all.if_contains(key);
    if (!found || !found->is_number()) return false;
    *out = found->to_number<double>();
    return *out >= 0 && *out <= 9e15;
  };
  if (!whole("epoch", &epoch) || !whole("admitted", &admitted) || !whole("counted", &counted))
    return bad("epoch, admitted and counted are no numbers");
  Decision decision;
  decision.epoch = static_cast<std::uint64_t>(epoch);
  decision.admitted = static_cast<std::int64_t>(admitted);
  decision.counted = static_cast<std::int64_t>(counted);
  if (const json::value* decider = all.if_contains("decider"); decider && decider->is_string())
    decision.decider = decider->get_string();
  if (const json::value* returned = all.if_contains("returned")) {
    if (!returned->is_array()) return bad("returned is no list");
    for (const json::value& value : returned->get_array()) {
      if (!value.is_array() || value.get_array().size() != 2 || !value.get_array()[0].is_string() ||
          !value.get_array()[1].is_int64())
        return bad("returned holds what is no name with its revision");
      decision.returned.push_back(
          {std::string(value.get_array()[0].get_string()), value.get_array()[1].get_int64()});
    }
  }
  const json::value* list = all.if_contains("zones");
  if (!list || !list->is_array() || list->get_array().size() != zones)
    return bad("zones are not those of this installation");
  for (const json::value& value : list->get_array()) {
    if (!value.is_object()) return bad("a zone is no object");
    const json::object& one = value.get_object();
    Decision::Zone z;
    double members = 0, lost = 0;
    if (!Number(one.if_contains("shown"), 0, &z.shown) || !Number(one.if_contains("limit"), 0, &z.limit) ||
        !Number(one.if_contains("carried"), 0, &z.carried) ||
        !Number(one.if_contains("demand"), 0, &z.demand) ||
        !Number(one.if_contains("members"), 0, &members) || !Number(one.if_contains("lost"), 0, &lost))
      return bad("a zone holds what is no number");
    z.members = static_cast<int>(members);
    z.lost = static_cast<int>(lost);
    const json::value* state = one.if_contains("state");
    bool known = false;
    for (int i = 0; state && state->is_string() && i < 5; ++i) {
      if (std::string_view(state->get_string()) != kNames[i]) continue;
      z.state = static_cast<ZoneState>(i);
      known = true;
    }
    if (!known) return bad("a zone's state is not known");
    if (const json::value* text_of = one.if_contains("why"); text_of && text_of->is_string())
      z.why = text_of->get_string();
    decision.zones.push_back(std::move(z));
  }
  if (!Read(all.if_contains("grants"), zones, &decision.grants) ||
      !Read(all.if_contains("ceiling"), zones, &decision.ceiling) ||
      !Read(all.if_contains("standby"), zones, &decision.standby))
    return bad("grants, ceiling or standby is no list of origin, receiver and work a ms");
  return decision;
}

}  // namespace badgerbridge::zone_failover
