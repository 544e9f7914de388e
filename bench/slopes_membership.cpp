// SPDX-License-Identifier: Apache-2.0
//
// The ledger, and the way of a list and of a change from etcd's messages to it.
#include <algorithm>
#include <iterator>
#include <random>

#include "allocations.h"
#include "etcd.pb.h"
#include "etcd/follower.h"
#include "membership/feed.h"
#include "membership/ledger.h"
#include "membership/member_codec.h"
#include "slopes.h"
#include "slopes_names.h"

namespace badgerbridge::bench {
namespace {

namespace pb = etcdserverpb;
using membership::Feed;
using membership::Member;
using membership::Time;

constexpr int kSizes[] = {1000, 3000, 10000, 30000, 100000, kBackends};
constexpr int kRepetitions = 3;
constexpr int kChanges = 200;
constexpr int kPageSize = 250;          // FollowerSettings::page_size
constexpr std::size_t kFrameBytes = 5;  // gRPC's prefix of a message
constexpr std::uint64_t kCluster = 0x8e9e05c52164694dULL, kMember = 0xcf1d15c5d194b5c9ULL;

membership::LedgerSettings MakeLedgerSettings() {
  membership::LedgerSettings settings;
  settings.sources = {{"etcd", true, Time(5000), Time(60000)},
                      {"discovery", false, Time(10000), Time(60000)}};
  return settings;
}

membership::Report ReportOf(std::uint64_t version, bool whole, std::vector<Member> members) {
  membership::Report report;
  report.epoch = kCluster;
  report.version = version;
  report.complete = whole;
  report.linearizable = whole;
  report.members = std::move(members);
  return report;
}

double ChangeUs(membership::Ledger& ledger, int size) {
  std::mt19937_64 random(3);
  std::uint64_t version = 1;
  double took = 0;
  for (int i = 0; i < kChanges; ++i) {
    Member member = BackendMember(static_cast<int>(random() % static_cast<unsigned>(size)));
    member.state = i % 2 ? membership::MemberState::kReady : membership::MemberState::kDraining;
    const membership::Report report = ReportOf(++version, false, {member});
    const double before = ThreadCpuMs();
    const auto changes = ledger.ApplyReport(Time(1000 + i), report);
    took += ThreadCpuMs() - before;
  }
  return took * 1000 / kChanges;
}

struct PagesCost {
  double cpu_ms = 0;
  double longest_ms = 0;  // of one page
  bool whole = false;
};

PagesCost TakeInPages(const std::vector<Member>& members) {
  membership::Ledger ledger(MakeLedgerSettings());
  PagesCost cost;
  for (std::size_t from = 0; from < members.size(); from += kPageSize) {
    const std::size_t end = std::min(members.size(), from + kPageSize);
    const auto at = [&](std::size_t i) { return members.begin() + static_cast<std::ptrdiff_t>(i); };
    membership::Report report = ReportOf(1, true, {at(from), at(end)});
    const bool last = end == members.size();
    report.page = from == 0 ? (last ? membership::Page::kOnly : membership::Page::kFirst)
                            : (last ? membership::Page::kLast : membership::Page::kMiddle);
    const double before = ThreadCpuMs();
    const auto changes = ledger.ApplyReport(Time(1000), report);
    const double took = ThreadCpuMs() - before;
    cost.cpu_ms += took;
    cost.longest_ms = std::max(cost.longest_ms, took);
  }
  cost.whole = ledger.current_view().size() == members.size();
  return cost;
}

void Fill(pb::ResponseHeader* header, std::int64_t revision) {
  header->set_cluster_id(kCluster);
  header->set_member_id(kMember);
  header->set_revision(revision);
  header->set_raft_term(7);
}

void Fill(pb::KeyValue* kv, const std::string& prefix, const Member& member, std::int64_t revision) {
  kv->set_key(prefix + member.name);
  kv->set_value(SerializeMember(member));
  kv->set_create_revision(revision);
  kv->set_mod_revision(revision);
  kv->set_version(1);
  kv->set_lease(0x694d7c9a6b1f0a01LL);
}

constexpr std::int64_t kListedAt = 5000000;

// The pages of a whole list, as etcd would send them.
std::vector<std::string> Pages(const std::string& prefix, int size, int page) {
  std::vector<std::string> pages;
  for (int from = 0; from < size; from += page) {
    pb::RangeResponse response;
    Fill(response.mutable_header(), kListedAt);
    for (int i = from; i < std::min(size, from + page); ++i)
      Fill(response.add_kvs(), prefix, BackendMember(i), kListedAt - i);
    response.set_more(from + page < size);
    response.set_count(size - from);
    pages.push_back(response.SerializeAsString());
  }
  return pages;
}

// A follower with what turns its output into the ledger's reports.
struct Rig {
  etcd::Follower follower;
  Feed feed{membership::kBackendsPrefix};
};

// One that has asked for its snapshot.
Rig Listing() {
  etcd::FollowerSettings settings;
  settings.prefix = membership::kBackendsPrefix;
  settings.page_size = kPageSize;
  Rig rig{etcd::Follower(settings, 1)};
  etcd::Follower::Actions actions;
  rig.follower.Tick(Time(0), &actions);
  rig.follower.Opened(Time(1), &actions);
  return rig;
}

// What the reports of `actions` name.
std::vector<Member> Reported(Feed& feed, const etcd::Follower::Actions& actions) {
  std::vector<Member> members;
  for (const etcd::Follower::Action& action : actions) {
    Feed::Output output;
    if (const auto* page = std::get_if<etcd::Follower::SnapshotPage>(&action)) output = feed.Convert(*page);
    if (const auto* events = std::get_if<etcd::Follower::Events>(&action)) output = feed.Convert(*events);
    std::move(output.report.members.begin(), output.report.members.end(), std::back_inserter(members));
  }
  return members;
}

struct Listed {
  double cpu_ms = 0;
  std::vector<Member> members;
};

Listed TakePages(Rig& rig, const std::vector<std::string>& pages) {
  Listed listed;
  const double before = ThreadCpuMs();
  for (const std::string& page : pages) {
    pb::RangeResponse response;
    response.ParseFromString(page);
    etcd::Follower::Actions actions;
    rig.follower.RangeCompleted(Time(2), {}, std::move(response), &actions);
    for (Member& member : Reported(rig.feed, actions)) listed.members.push_back(std::move(member));
  }
  listed.cpu_ms = ThreadCpuMs() - before;
  return listed;
}

std::string ChangesMessage(const std::string& prefix, int count) {
  pb::WatchResponse response;
  Fill(response.mutable_header(), kListedAt + 1);
  for (int i = 0; i < count; ++i) {
    Member member = BackendMember(i);
    member.state = membership::MemberState::kDraining;
    Fill(response.add_events()->mutable_kv(), prefix, member, kListedAt + 1);
  }
  return response.SerializeAsString();
}

// CPU in ms; the members that were told of are counted in *told.
double TakeChangesMs(Rig rig, const std::string& message, std::size_t* told) {
  const double before = ThreadCpuMs();
  pb::WatchResponse response;
  response.ParseFromString(message);
  etcd::Follower::Actions actions;
  rig.follower.WatchReceived(Time(3), std::move(response), &actions);
  *told = Reported(rig.feed, actions).size();
  return ThreadCpuMs() - before;
}

}  // namespace

void MeasureLedger(Report& report) {
  Series memory("ledger: memory", "bytes", "members");
  Series whole("ledger: a whole list, CPU", "ms", "members");
  Series same("ledger: the same whole list again, CPU", "ms", "members");
  Series change("ledger: one change, CPU", "us", "members");
  Series paged("ledger: a whole list in pages of 250, CPU", "ms", "members");
  Series page("ledger: the longest of those pages, CPU", "ms", "members");
  bool holds_all = false;
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    for (const int size : kSizes) {
      const membership::Report list = ReportOf(1, true, BackendMembers(size));
      membership::Ledger ledger(MakeLedgerSettings());
      const std::size_t live = LiveBytes();
      const double before = ThreadCpuMs();
      auto changes = ledger.ApplyReport(Time(1000), list);
      const double took = ThreadCpuMs() - before;
      const bool taken = changes.has_value();
      const std::size_t told = taken ? changes->size() : 0;
      changes = std::vector<Member>();
      if (size == kBackends) holds_all = taken;
      report.checks.Expect(taken || ledger.current_view().empty(),
                           "ledger: a list that is refused changes it");
      if (!taken) continue;
      report.checks.Expect(told == static_cast<std::size_t>(size), "ledger: not all members are told on");
      memory.Add(size, static_cast<double>(LiveBytes() - live));
      whole.Add(size, took);
      const double again = ThreadCpuMs();
      changes = ledger.ApplyReport(Time(1000), list);
      same.Add(size, ThreadCpuMs() - again);
      report.checks.Expect(changes.has_value() && changes->empty(), "ledger: an unchanged list is told on");
      change.Add(size, ChangeUs(ledger, size));
      const PagesCost pages = TakeInPages(list.members);
      report.checks.Expect(pages.whole, "ledger: a list in pages is not whole");
      paged.Add(size, pages.cpu_ms);
      page.Add(size, pages.longest_ms);
    }
  }
  report.Fit(memory, "ledger_bytes_per_member");
  report.Fit(whole, "ledger_whole_list_ms_per_member", Weighting::kAbsolute);
  report.Fit(same, "ledger_same_list_ms_per_member", Weighting::kAbsolute);
  report.Fit(paged, "ledger_pages_ms_per_member", Weighting::kAbsolute);
  report.Fit(page, "ledger_longest_page_ms_per_member", Weighting::kAbsolute);
  report.Fit(change, "ledger_change_us_per_member", Weighting::kAbsolute);
  report.Figure("ledger_change_us", change.Points().back().y, "ledger: one change at the largest size, us");
  report.Figure("ledger_takes_110000", holds_all ? 1 : 0,
                "ledger: takes a list of 110,000 (1) or refuses it (0)");
}

void MeasureFeed(Report& report) {
  const std::string prefix = membership::kBackendsPrefix;
  Series bytes("feed: a whole list on the wire (messages with gRPC's prefix)", "bytes", "members");
  Series pages_sent("feed: calls for a whole list", "calls", "members");
  Series parse("feed: a whole list read, CPU", "ms", "members");
  Series held("feed: memory while a whole list is read, at its peak", "bytes", "members");
  Series event_bytes("feed: one revision of a watch on the wire", "bytes", "changes");
  Series event_parse("feed: one revision of a watch read, CPU", "us", "changes");
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    for (const int size : kSizes) {
      const std::vector<std::string> pages = Pages(prefix, size, kPageSize);
      double total = 0;
      for (const std::string& page : pages) total += static_cast<double>(page.size() + kFrameBytes);
      bytes.Add(size, total);
      pages_sent.Add(size, static_cast<double>(pages.size()));
      Rig rig = Listing();
      const std::size_t live = LiveBytes();
      ResetPeak();
      const Listed listed = TakePages(rig, pages);
      parse.Add(size, listed.cpu_ms);
      held.Add(size, static_cast<double>(PeakBytes() - live));
      report.checks.Expect(listed.members.size() == static_cast<std::size_t>(size),
                           "feed: members are missing");
    }
    Rig rig = Listing();
    TakePages(rig, Pages(prefix, 1000, kPageSize));
    for (const int changes : {1, 10, 100, 1000, 4583, 13750}) {
      const std::string message = ChangesMessage(prefix, changes);
      event_bytes.Add(changes, static_cast<double>(message.size() + kFrameBytes));
      std::size_t told = 0;
      event_parse.Add(changes, TakeChangesMs(rig, message, &told) * 1000);
      report.checks.Expect(told == static_cast<std::size_t>(changes), "feed: changes are missing");
    }
  }
  report.Fit(bytes, "feed_list_bytes_per_member");
  report.Fit(pages_sent, "feed_list_calls_per_member", Weighting::kAbsolute);
  report.Fit(parse, "feed_list_ms_per_member", Weighting::kAbsolute);
  report.Fit(held, "feed_list_peak_bytes_per_member");
  report.Fit(event_bytes, "feed_event_bytes_per_change");
  report.Fit(event_parse, "feed_event_us_per_change", Weighting::kAbsolute);
}

}  // namespace badgerbridge::bench
