// SPDX-License-Identifier: Apache-2.0
//
// The size of a trial, and what follows from it by number alone, so that every process of a trial knows it
// without being told: which backends there are, which services a proxy follows. Pure.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_PLAN_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_PLAN_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/ledger.h"

namespace badgerbridge::scale {

constexpr std::size_t kZones = 24;

struct Size {
  std::size_t proxies = 100;           // hollow ones
  std::size_t ledgers = 0;             // of them, from the first on, hold a ledger; the rest a digest alone
  std::size_t backends = 1000;         // spread over the services
  std::size_t services = 1;            // at most as many as backends
  std::size_t services_per_proxy = 0;  // 0: a proxy follows one flat prefix with all backends
  std::uint64_t seed = 1;
  // A fault planted for the rig's own test: hollow proxy 0 misses deletions, or holds up what it is told.
  bool loses_deletions = false;
  bool late_drains = false;

  bool flat() const { return services_per_proxy == 0; }
  // How many backends one proxy follows, rounded up.
  std::size_t backends_per_proxy() const;
};

boost::json::object ToJson(const Size& size);
Size SizeFrom(const boost::json::object& object);

std::size_t ServiceOf(const Size& size, std::size_t backend);
// 0 to kZones - 1, spread evenly over each service.
std::size_t ZoneOf(std::size_t backend);
// The service's prefix of keys; the flat one where size.flat(), whatever the service.
std::string PrefixOf(const Size& size, std::size_t service);
// The prefix that holds all backends' keys.
std::string WholePrefix(const Size& size);
membership::Member BackendAt(std::size_t backend);
std::string KeyOf(const Size& size, std::size_t backend);
// Different services that a proxy follows, in ascending order; {0} where size.flat().
std::vector<std::size_t> ServicesOf(const Size& size, std::size_t proxy);

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_PLAN_H_
