// SPDX-License-Identifier: Apache-2.0
#include "membership/feed.h"

#include <map>
#include <utility>

namespace badgerbridge::membership {

namespace pb = etcdserverpb;

Feed::Feed(std::string prefix, std::vector<std::string> services, std::size_t source)
    : prefix_(std::move(prefix)), services_(std::move(services)), source_(source) {}

std::string Feed::NameOf(const pb::KeyValue& kv, std::size_t section) const {
  const std::size_t skipped = services_.empty() ? 0 : SectionOf(services_[section]).size();
  return kv.key().substr(prefix_.size() + skipped);
}

std::optional<Member> Feed::Parse(const pb::KeyValue& kv, std::size_t section, Output* output) const {
  Member member;
  const auto problem = ReadMember(NameOf(kv, section), kv.value(), &member);
  member.service = ServiceOf(section);
  output->keys.push_back({kv.key(), problem.value_or("")});
  if (problem) return std::nullopt;
  return member;
}

Feed::Output Feed::Convert(const etcd::Follower::SnapshotPage& page) const {
  Output output;
  Report& report = output.report;
  report.source = source_;
  report.epoch = page.cluster_id;
  report.version = static_cast<std::uint64_t>(page.revision);
  report.whole = report.certain = true;
  report.page = page.first && page.last ? Page::kOnly
                : page.first            ? Page::kFirst
                : page.last             ? Page::kLast
                                        : Page::kMiddle;
  report.service = ServiceOf(page.section);
  report.ends_service = page.ends_section;
  for (const pb::KeyValue& kv : page.kvs) {
    if (auto member = Parse(kv, page.section, &output)) {
      report.members.push_back(std::move(*member));
    } else {
      report.unreadable.push_back(NameOf(kv, page.section));
    }
  }
  return output;
}

Feed::Output Feed::Convert(const etcd::Follower::Events& events) const {
  Output output;
  std::map<std::string, Member> changed;  // the newest of each name
  for (const pb::Event& event : events.events) {
    const std::string name = NameOf(event.kv(), events.section);
    if (event.type() == pb::Event::DELETE) {
      output.keys.push_back({event.kv().key(), ""});
      Member gone;
      gone.name = name;
      gone.service = ServiceOf(events.section);
      gone.state = State::kGone;
      changed[name] = std::move(gone);
    } else if (auto member = Parse(event.kv(), events.section, &output)) {
      changed[name] = std::move(*member);
    }
  }
  Report& report = output.report;
  report.source = source_;
  report.epoch = events.cluster_id;
  report.version = static_cast<std::uint64_t>(events.revision);
  report.service = ServiceOf(events.section);
  for (auto& [name, member] : changed) report.members.push_back(std::move(member));
  return output;
}

}  // namespace badgerbridge::membership
