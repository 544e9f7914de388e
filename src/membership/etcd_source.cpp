// SPDX-License-Identifier: Apache-2.0
#include "membership/etcd_source.h"

#include <utility>

namespace badgerbridge::membership {

EtcdSource::EtcdSource(boost::asio::io_context& io, const EtcdSourceSettings& settings, std::uint64_t seed,
                       OnReport on_report, OnContact on_contact, OnKey on_key)
    : feed_(settings.follower.prefix, settings.services),
      on_report_(std::move(on_report)),
      on_contact_(std::move(on_contact)),
      on_key_(std::move(on_key)),
      link_(io, static_cast<const etcd::FollowerLinkSettings&>(settings), seed, MakeCallbacks()) {}

etcd::FollowerLinkCallbacks EtcdSource::MakeCallbacks() {
  etcd::FollowerLinkCallbacks callbacks;
  callbacks.on_snapshot_page = [this](const etcd::Follower::SnapshotPage& page) {
    Deliver(feed_.Convert(page));
  };
  callbacks.on_section_events = [this](const etcd::Follower::Events& events) {
    on_contact_(Now());
    Deliver(feed_.Convert(events));
  };
  callbacks.on_progress = [this](std::int64_t) { on_contact_(Now()); };
  return callbacks;
}

void EtcdSource::Deliver(const Feed::Output& output) {
  for (const Feed::KeyProblem& key : output.keys) on_key_(key.key, key.reason);
  on_report_(Now(), output.report);
}

}  // namespace badgerbridge::membership
