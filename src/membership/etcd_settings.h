// SPDX-License-Identifier: Apache-2.0
//
// What the operator's [etcd] table means for the source and for single calls. Both throw std::runtime_error,
// one line, for a password that can't be read.
#ifndef BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_
#define BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_

#include "etcd/client.h"
#include "membership/etcd_source.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::membership {

EtcdSourceSettings SourceSettingsOf(const operator_config::Etcd& table);
etcd::ClientSettings ClientSettingsOf(const operator_config::EtcdLink& table);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_
