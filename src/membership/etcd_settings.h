// SPDX-License-Identifier: Apache-2.0

/// @file
/// Converts the [etcd] table of the operator's file to settings of the membership source and the etcd client.
#ifndef BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_
#define BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_

#include "etcd/client.h"
#include "membership/error.h"
#include "membership/etcd_source.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::membership {

/// The settings of an EtcdSource. Reads the password file if a user is set. Error: kUnreadablePassword.
Result<EtcdSourceSettings> MakeEtcdSourceSettings(const operator_config::EtcdSettings& table);

/// The settings of an etcd client for unary calls. Reads the password file if a user is set. Error:
/// kUnreadablePassword.
Result<etcd::ClientSettings> MakeEtcdClientSettings(const operator_config::EtcdConnectionSettings& table);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_ETCD_SETTINGS_H_
