// SPDX-License-Identifier: Apache-2.0

/// @file
/// The operator's [etcd] table as settings of the membership source and of etcd's client.
#ifndef BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_
#define BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_

#include "etcd/client.h"
#include "membership/error.h"
#include "membership/etcd_source.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::membership {

/// The settings to follow the members with. Reads the password's file. Error: kUnreadablePassword.
Result<EtcdSourceSettings> MakeEtcdSourceSettings(const operator_config::EtcdSettings& table);

/// The settings for single calls. Reads the password's file. Error: kUnreadablePassword.
Result<etcd::ClientSettings> MakeEtcdClientSettings(const operator_config::EtcdConnectionSettings& table);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_
