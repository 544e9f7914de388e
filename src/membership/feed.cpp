// SPDX-License-Identifier: Apache-2.0
#include "membership/feed.h"

#include <map>
#include <utility>

namespace badgerbridge::membership {

namespace pb = etcdserverpb;

Feed::Feed(std::string prefix, std::size_t source) : prefix_(std::move(prefix)), source_(source) {}

std::optional<Member> Feed::Parse(const pb::KeyValue& kv, Output* output) const {
  Member member;
  const auto problem = ReadMember(NameOf(kv), kv.value(), &member);
  output->keys.push_back({kv.key(), problem.value_or("")});
  if (problem) return std::nullopt;
  return member;
}

Feed::Output Feed::Convert(const etcd::Follower::SnapshotPage& page) {
  Output output;
  if (page.first) {
    members_.clear();
    unreadable_.clear();
  }
  for (const pb::KeyValue& kv : page.kvs) {
    if (auto member = Parse(kv, &output)) {
      members_.push_back(std::move(*member));
    } else {
      unreadable_.push_back(NameOf(kv));
    }
  }
  if (!page.last) return output;
  Report report;
  report.source = source_;
  report.epoch = page.cluster_id;
  report.version = static_cast<std::uint64_t>(page.revision);
  report.whole = report.certain = true;
  report.members = std::exchange(members_, {});
  report.unreadable = std::exchange(unreadable_, {});
  output.report = std::move(report);
  return output;
}

Feed::Output Feed::Convert(const etcd::Follower::Events& events) {
  Output output;
  std::map<std::string, Member> changed;  // the newest of each name
  for (const pb::Event& event : events.events) {
    const std::string name = NameOf(event.kv());
    if (event.type() == pb::Event::DELETE) {
      output.keys.push_back({event.kv().key(), ""});
      Member gone;
      gone.name = name;
      gone.state = State::kGone;
      changed[name] = std::move(gone);
    } else if (auto member = Parse(event.kv(), &output)) {
      changed[name] = std::move(*member);
    }
  }
  Report report;
  report.source = source_;
  report.epoch = events.cluster_id;
  report.version = static_cast<std::uint64_t>(events.revision);
  for (auto& [name, member] : changed) report.members.push_back(std::move(member));
  output.report = std::move(report);
  return output;
}

}  // namespace badgerbridge::membership
