// SPDX-License-Identifier: Apache-2.0
#include "membership/value.h"

#include <boost/json.hpp>

namespace badgerbridge::membership {
namespace {

namespace json = boost::json;
namespace pb = etcdserverpb;

std::string TextAt(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

const char* StatusOf(State state) { return state == State::kReady ? "Ready" : "Terminating"; }

}  // namespace

std::optional<std::string> ReadMember(std::string_view name, std::string_view value, Member* member) {
  boost::system::error_code error;
  const json::value parsed = json::parse(json::string_view(value.data(), value.size()), error);
  const json::object* object = error ? nullptr : parsed.if_object();
  if (!object) return "the value is no JSON object";
  const std::string named = TextAt(*object, "name");
  if (named != name) return "the value names \"" + named.substr(0, 64) + "\", and not what its key does";
  const std::string status = TextAt(*object, "status");
  Member read;
  read.name = named;
  read.address = TextAt(*object, "address");
  read.zone = TextAt(*object, "zone");
  read.kind = TextAt(*object, "type");
  if (status == "Ready") {
    read.state = State::kReady;
  } else if (status == "Terminating") {
    read.state = State::kDraining;
  } else {
    return "its status is neither Ready nor Terminating";
  }
  if (read.address.empty()) return "it has no address";
  for (const char* key : {"group", "weight", "since_ms"}) {
    const json::value* number = object->if_contains(key);
    if (!number) continue;
    const double x = number->is_number() ? number->to_number<double>() : -1;
    if (!(x >= 0 && x < 1e15)) return std::string(key) + " is no number of at least 0";
    if (key[0] == 'g') read.group = static_cast<int>(std::min(x, 2e9));
    if (key[0] == 'w') read.weight = x;
    if (key[0] == 's') read.since_ms = x;
  }
  *member = std::move(read);
  return std::nullopt;
}

std::string ValueOf(const Member& member) {
  return json::serialize(json::object{{"name", member.name},
                                      {"address", member.address},
                                      {"zone", member.zone},
                                      {"type", member.kind},
                                      {"group", member.group},
                                      {"status", StatusOf(member.state)},
                                      {"weight", member.weight},
                                      {"since_ms", member.since_ms}});
}

std::optional<pb::TxnRequest> ChangeOfState(const pb::KeyValue& kv, State state, std::string* problem) {
  boost::system::error_code error;
  json::value parsed = json::parse(kv.value(), error);
  json::object* object = error ? nullptr : parsed.if_object();
  if (!object) {
    *problem = "its value is no JSON object";
    return std::nullopt;
  }
  if (TextAt(*object, "status") == StatusOf(state)) return std::nullopt;
  (*object)["status"] = StatusOf(state);
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
  return txn;
}

}  // namespace badgerbridge::membership
