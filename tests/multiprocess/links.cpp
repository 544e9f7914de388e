// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/links.h"

namespace badgerbridge::multiprocess {

using simulator::ScenarioEvent;

namespace {

constexpr double kJitterShare = 0.25;  // of a delay

}  // namespace

Links::Links(RunContext& context)
    : context_(context),
      process_(context, "wire", kLinkProxyProcess),
      is_cut_in_(static_cast<std::size_t>(context.model.zones)),
      is_cut_out_(static_cast<std::size_t>(context.model.zones)),
      is_etcd_cut_(static_cast<std::size_t>(context.model.zones)) {
  process_.On<LinkOpened>([this](const LinkOpened& opened) { opened_.at(opened.number) = opened.address; });
}

std::string Links::Open(const std::string& from, const std::string& to, const std::string& target,
                        const std::string& host) {
  const std::size_t number = opened_.size();
  opened_.emplace_back();
  process_.Send(OpenLink{number, from, to, target, host});
  context_.WaitUntil([&] { return !opened_[number].empty(); },
                     "the link proxy listens for " + from + " to " + to);
  return opened_[number];
}

void Links::CutZones(const ScenarioEvent& happening) {
  const bool is_cut = happening.kind == ScenarioEvent::Kind::kCut;
  for (std::size_t zone = 0; zone < is_cut_in_.size(); ++zone) {
    if (happening.zone >= 0 && zone != static_cast<std::size_t>(happening.zone)) continue;
    if (!is_cut || happening.direction != ScenarioEvent::Direction::kOut) is_cut_in_[zone] = is_cut;
    if (!is_cut || happening.direction != ScenarioEvent::Direction::kIn) is_cut_out_[zone] = is_cut;
  }
  Apply();
}

void Links::CutEtcd(int zone, bool is_cut) {
  for (std::size_t i = 0; i < is_etcd_cut_.size(); ++i) {
    if (zone < 0 || i == static_cast<std::size_t>(zone)) is_etcd_cut_[i] = is_cut;
  }
  Apply();
}

void Links::SetCuts(const std::string& from, const std::string& to, bool is_forward_cut, bool is_back_cut) {
  SetLink link;
  link.from = from;
  link.to = to;
  link.is_forward_cut = is_forward_cut;
  link.is_back_cut = is_back_cut;
  process_.Send(link);
}

void Links::SetFault(const simulator::MultiprocessFault& fault) {
  if (fault.value > 0) {
    faults_[{fault.name, fault.zone}] = fault;
  } else {
    faults_.erase({fault.name, fault.zone});
  }
  Apply();
}

void Links::Break(int zone, LinkBreak how) {
  for (int from = 0; from < context_.model.zones; ++from) {
    for (int to = 0; to < context_.model.zones; ++to) {
      if (zone < 0 || to == zone) process_.Send(BreakLink{ZoneName(from), ZoneName(to), how});
    }
  }
}

SetLink Links::LinkBetween(int from, int to) const {
  const auto from_index = static_cast<std::size_t>(from);
  const auto to_index = static_cast<std::size_t>(to);
  SetLink link;
  link.from = ZoneName(from);
  link.to = ZoneName(to);
  if (context_.model.RegionOf(from) != context_.model.RegionOf(to))
    link.delay_ms = context_.model.cross_region_latency.count();
  for (const auto& [key, fault] : faults_) {
    if (fault.zone >= 0 && fault.zone != to && fault.zone != from) continue;
    if (fault.name == "delay") link.delay_ms += fault.value;
    if (fault.name == "swallow") link.swallowed_share = fault.value;
    if (fault.name == "trickle") link.bytes_per_s = fault.value;
  }
  link.jitter_ms = link.delay_ms * kJitterShare;
  link.is_forward_cut = from != to && (is_cut_out_[from_index] || is_cut_in_[to_index]);
  link.is_back_cut = from != to && (is_cut_out_[to_index] || is_cut_in_[from_index]);
  return link;
}

void Links::Apply() {
  for (int from = 0; from < context_.model.zones; ++from) {
    for (int to = 0; to < context_.model.zones; ++to) process_.Send(LinkBetween(from, to));
    const bool is_cut = is_etcd_cut_[static_cast<std::size_t>(from)];
    SetCuts(ZoneName(from), kEtcdGroup, is_cut, is_cut);
  }
}

}  // namespace badgerbridge::multiprocess
