// SPDX-License-Identifier: Apache-2.0
//
// The proxy's membership sources and the settings of its membership ledger. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_LEDGER_SETTINGS_H_
#define BADGERBRIDGE_PROXY_MAIN_LEDGER_SETTINGS_H_

#include <cstddef>
#include <string>

#include "membership/ledger.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::proxy_main {

constexpr std::size_t kEtcdSource = 0;       ///< The index of etcd in the ledger.
constexpr std::size_t kDiscoverySource = 1;  ///< The index of the platform's discovery in the ledger.

/// The name of a source in the admin API and in log messages.
std::string SourceName(std::size_t source);

/// The settings of a ledger with these two sources. `max_members` bounds each source's list.
membership::LedgerSettings MakeLedgerSettings(const operator_config::EtcdSettings& table,
                                              std::size_t max_members);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_LEDGER_SETTINGS_H_
