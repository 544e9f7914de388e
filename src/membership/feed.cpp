// SPDX-License-Identifier: Apache-2.0
#include "membership/feed.h"

#include <map>
#include <utility>

namespace badgerbridge::membership {
namespace {

namespace pb = etcdserverpb;

Page PageOf(const etcd::Follower::SnapshotPage& page) {
  if (page.first) return page.last ? Page::kOnly : Page::kFirst;
  return page.last ? Page::kLast : Page::kMiddle;
}

Feed::KeyProblem ProblemOf(const pb::KeyValue& kv, const Result<Member>& member) {
  return {kv.key(), member ? "" : Message(member.error())};
}

}  // namespace

Feed::Feed(std::string prefix, std::vector<std::string> services, std::size_t source)
    : prefix_(std::move(prefix)), services_(std::move(services)), source_(source) {}

std::string Feed::NameOf(const pb::KeyValue& kv, std::size_t section) const {
  const std::size_t skipped = services_.empty() ? 0 : SectionOf(services_[section]).size();
  return kv.key().substr(prefix_.size() + skipped);
}

Result<Member> Feed::ParseKeyValue(const pb::KeyValue& kv, std::size_t section) const {
  Result<Member> member = ParseMember(NameOf(kv, section), kv.value());
  if (member) member->service = ServiceOf(section);
  return member;
}

Feed::Output Feed::Convert(const etcd::Follower::SnapshotPage& page) const {
  Output output;
  Report& report = output.report;
  report.source = source_;
  report.epoch = page.cluster_id;
  report.version = static_cast<std::uint64_t>(page.revision);
  report.complete = true;
  report.linearizable = true;
  report.page = PageOf(page);
  report.service = ServiceOf(page.section);
  report.ends_service = page.ends_section;
  for (const pb::KeyValue& kv : page.kvs) {
    Result<Member> member = ParseKeyValue(kv, page.section);
    output.keys.push_back(ProblemOf(kv, member));
    if (member) {
      report.members.push_back(std::move(*member));
    } else {
      report.unreadable.push_back(NameOf(kv, page.section));
    }
  }
  return output;
}

Feed::Output Feed::Convert(const etcd::Follower::Events& events) const {
  Output output;
  std::map<std::string, Member> newest;  // by name
  for (const pb::Event& event : events.events) {
    const std::string name = NameOf(event.kv(), events.section);
    if (event.type() == pb::Event::DELETE) {
      output.keys.push_back({event.kv().key(), ""});
      Member gone;
      gone.name = name;
      gone.service = ServiceOf(events.section);
      gone.state = MemberState::kGone;
      newest[name] = std::move(gone);
      continue;
    }
    Result<Member> member = ParseKeyValue(event.kv(), events.section);
    output.keys.push_back(ProblemOf(event.kv(), member));
    if (member) newest[name] = std::move(*member);
  }
  Report& report = output.report;
  report.source = source_;
  report.epoch = events.cluster_id;
  report.version = static_cast<std::uint64_t>(events.revision);
  report.service = ServiceOf(events.section);
  for (auto& [name, member] : newest) report.members.push_back(std::move(member));
  return output;
}

}  // namespace badgerbridge::membership
