// SPDX-License-Identifier: Apache-2.0
#include "membership/etcd_source.h"

#include <utility>

namespace badgerbridge::membership {

EtcdSource::EtcdSource(boost::asio::io_context& io, const EtcdSourceSettings& settings, std::uint64_t seed,
                       OnReport on_report, OnAlive on_alive, OnProblem on_problem)
    : feed_(settings.follower.prefix, settings.services),
      on_report_(std::move(on_report)),
      on_alive_(std::move(on_alive)),
      on_problem_(std::move(on_problem)),
      link_(io, static_cast<const etcd::FollowerLinkSettings&>(settings), seed, [this] {
        etcd::FollowerLinkCallbacks callbacks;
        callbacks.on_snapshot_page = [this](const etcd::Follower::SnapshotPage& page) {
          Pass(feed_.Convert(page));
        };
        callbacks.on_section_events = [this](const etcd::Follower::Events& events) {
          on_alive_(Now());
          Pass(feed_.Convert(events));
        };
        callbacks.on_progress = [this](std::int64_t) { on_alive_(Now()); };
        return callbacks;
      }()) {}

void EtcdSource::Pass(const Feed::Output& output) {
  for (const Feed::KeyProblem& key : output.keys) on_problem_(key.key, key.reason);
  on_report_(Now(), output.report);
}

}  // namespace badgerbridge::membership
