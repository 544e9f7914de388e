// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Calls that the tool makes to etcd itself, each command with a client of its own. In builds with the etcd
/// client.
#ifndef BADGERBRIDGE_CLI_ETCD_SESSION_H_
#define BADGERBRIDGE_CLI_ETCD_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <random>
#include <string>
#include <utility>

#include "cli/error.h"
#include "etcd/client.h"
#include "etcd/grpc.h"
#include "membership/etcd_settings.h"
#include "operator_config/operator_file.h"

namespace badgerbridge::cli {

/// How long one call to etcd may take, its attempts included, unless the command line says otherwise.
constexpr std::chrono::milliseconds kDefaultEtcdTimeout{5000};

/// What all commands on etcd have in common.
struct EtcdCommandOptions {
  bool json = false;                                       ///< one line of JSON in place of a table
  bool dry_run = false;                                    ///< nothing is written
  std::chrono::milliseconds timeout{kDefaultEtcdTimeout};  ///< of one call, with its attempts
};

/// The error of a call that failed with this status.
EtcdError EtcdCallError(const etcd::Status& status);

/// Runs `conversation(client)`, which gives an awaitable Result<T>, with a client for etcd to its end.
template <typename T, typename Conversation>
Result<T> RunWithEtcdClient(const operator_config::EtcdConnectionSettings& connection,
                            Conversation conversation) {
  Result<T> result = EtcdError{EtcdError::Kind::kNotCalled, ExitCode::kPartialFailure, "", ""};
  const auto client_settings = membership::MakeEtcdClientSettings(connection);
  if (!client_settings)
    return EtcdError{EtcdError::Kind::kInvalidClientSettings, ExitCode::kUsage, "",
                     Message(client_settings.error())};
  try {
    boost::asio::io_context io(1);
    std::random_device random;
    etcd::Client client(io, *client_settings, random());
    boost::asio::co_spawn(io, conversation(client), [&](std::exception_ptr failure, Result<T> answer) {
      if (!failure) result = std::move(answer);
      io.stop();
    });
    io.run();
  } catch (const std::exception& failure) {  // from the client's certificates, for example
    return EtcdError{EtcdError::Kind::kInvalidClientSettings, ExitCode::kUsage, "", failure.what()};
  }
  return result;
}

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ETCD_SESSION_H_
