// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/membership_status_codec.h"

#include <boost/json.hpp>
#include <utility>

#include "proxy_main/ledger_settings.h"

namespace badgerbridge::proxy_main {
namespace {

namespace json = boost::json;
using membership::Ledger;
using membership::Time;

json::array EncodeMembers(Time now, const Ledger& ledger) {
  json::array members;
  for (const auto& [name, entry] : ledger.current_view()) {
    members.push_back(json::object{{"name", name},
                                   {"state", membership::Name(entry.member->state)},
                                   {"why", ledger.DescribeDecision(entry)},
                                   {"revision", entry.version},
                                   {"age_ms", (now - entry.changed_at).count()},
                                   {"held", entry.retained},
                                   {"address", entry.member->address},
                                   {"service", entry.member->service}});
  }
  return members;
}

json::object EncodeSource(Time now, const Ledger& ledger, std::size_t source) {
  json::object problems;
  for (const auto& [key, reason] : ledger.problems(source)) problems[key] = reason;
  const membership::Staleness staleness = ledger.StalenessAt(now, source);
  json::value age_ms;  // null: the source has never reported
  if (staleness != membership::Staleness::kNeverReported)
    age_ms = (now - ledger.last_contact(source)).count();
  return {{"name", SourceName(source)},
          {"authority", ledger.is_authority(source)},
          {"freshness", membership::Name(staleness)},
          {"age_ms", std::move(age_ms)},
          {"revision", ledger.version(source)},
          {"refused", ledger.rejection(source)},
          {"problems", std::move(problems)}};
}

json::object EncodeFollower(const etcd::Follower& follower) {
  return {{"state", follower.state()},
          {"revision", follower.revision()},
          {"lists", follower.snapshots()},
          {"resumes", follower.resumes()},
          {"last_trouble", follower.last_error_message()}};
}

}  // namespace

json::object EncodeMembership(Time now, const Ledger& ledger, const PublicationStatus& publication,
                              const etcd::Follower& follower) {
  json::array sources;
  for (const std::size_t source : {kEtcdSource, kDiscoverySource})
    sources.push_back(EncodeSource(now, ledger, source));
  return {{"members", EncodeMembers(now, ledger)},
          {"sources", std::move(sources)},
          {"held", ledger.retained_count()},
          {"pending", publication.pending_changes},
          {"longest_flush_ms", publication.longest_turn.count()},
          {"etcd", EncodeFollower(follower)}};
}

}  // namespace badgerbridge::proxy_main
