// SPDX-License-Identifier: Apache-2.0
//
// A hollow proxy: the product's own client of the control plane (membership::EtcdSource, and the ledger where
// wanted) with connections of its own, and no listener for clients. It keeps a digest of what it was told and
// notes when each revision came into force.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_HOLLOW_PROXY_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_HOLLOW_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "membership/etcd_source.h"
#include "membership/ledger.h"
#include "scale_rig/digest.h"
#include "scale_rig/plan.h"

namespace badgerbridge::scale {

// The keys of each service, once a process.
class KeyIndices {
 public:
  // Numbers all keys that a proxy of this number may hear of, so that it costs no memory later.
  void Prepare(const Size& size, std::size_t proxy);
  KeyIndex* OfService(std::size_t service) { return &indices_[service]; }

 private:
  std::map<std::size_t, KeyIndex> indices_;
};

// A write at the source.
struct Write {
  std::uint64_t revision = 0;
  std::int64_t at_ns = 0;  // of CLOCK_MONOTONIC, just before it
  std::size_t service = 0;
};

class HollowProxy {
 public:
  // Starts at once. `keys` outlives it.
  HollowProxy(boost::asio::io_context& io, const Size& size, std::size_t number,
              const std::vector<boost::asio::ip::tcp::endpoint>& endpoints, KeyIndices* keys);

  // All that it follows was listed.
  bool ready() const { return lists_left_ == 0; }
  bool was_ready(std::int64_t at_ns) const { return ready() && ready_ns_ <= at_ns; }
  double ready_after_ms() const { return static_cast<double>(ready_ns_ - started_ns_) / 1e6; }
  bool follows(std::size_t service) const;
  // Milliseconds from a write to a service that it follows until it was in force here; nothing if it is not.
  std::optional<double> InForceAfterMs(const Write& write) const;
  // Forgets when what is in force came into force.
  void ForgetTimes();

  std::uint64_t revision() const;  // of the service that is furthest behind
  // Of each service that it follows, what it was told.
  std::vector<std::pair<std::size_t, DigestValue>> digests() const;
  // The same of what its ledgers believe; empty if it holds none.
  std::vector<std::pair<std::size_t, DigestValue>> ledger_digests() const;
  std::uint64_t lists() const;    // whole lists read
  std::uint64_t resumes() const;  // watches that went on where they had stopped
  std::size_t refused_reports() const { return refused_reports_; }  // by a ledger
  std::size_t rig_bytes() const;  // what this object keeps beside the product's client
  std::string last_trouble() const;

 private:
  struct InForce {
    std::uint64_t revision;
    std::int64_t at_ns;
  };
  struct Follow {  // of one service, or of all backends
    Follow(std::size_t s, KeyIndex* keys) : service(s), digest(keys) {}
    std::size_t service;
    StateDigest digest;
    bool listed = false;
    std::vector<InForce> times;  // revisions ascend
    std::optional<membership::Ledger> ledger;
    std::optional<membership::EtcdSource> source;
  };

  void Take(Follow& follow, membership::Time now, const membership::Report& report);
  void TakeWithoutDeletions(Follow& follow, membership::Time now, membership::Report report);
  const Follow* Find(std::size_t service) const;

  KeyIndices* keys_;
  bool loses_deletions_, late_drains_;  // planted faults
  std::int64_t started_ns_, ready_ns_ = 0;
  std::size_t lists_left_ = 0, refused_reports_ = 0;
  std::vector<std::unique_ptr<Follow>> follows_;
};

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_HOLLOW_PROXY_H_
