// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/ledger_settings.h"

namespace badgerbridge::proxy_main {
namespace {

using membership::Time;

constexpr Time kEtcdMaxCurrentAge{5000};
constexpr Time kDiscoveryMaxCurrentAge{10000};
constexpr Time kStaleAfter{60000};
constexpr double kPercent = 100;

}  // namespace

std::string SourceName(std::size_t source) { return source == kEtcdSource ? "etcd" : "discovery"; }

membership::LedgerSettings MakeLedgerSettings(const operator_config::EtcdSettings& table,
                                              std::size_t max_members) {
  membership::LedgerSettings settings;
  settings.sources = {
      {SourceName(kEtcdSource), table.is_authoritative, kEtcdMaxCurrentAge, kStaleAfter},
      {SourceName(kDiscoverySource), !table.is_authoritative, kDiscoveryMaxCurrentAge, kStaleAfter}};
  settings.limits.max_members = max_members;
  settings.mass_departure.max_share = table.max_departures_percent / kPercent;
  return settings;
}

}  // namespace badgerbridge::proxy_main
