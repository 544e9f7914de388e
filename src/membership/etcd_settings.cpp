// SPDX-License-Identifier: Apache-2.0
#include "membership/etcd_settings.h"

#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "http_api/address.h"

namespace badgerbridge::membership {
namespace {

std::vector<boost::asio::ip::tcp::endpoint> ParseEndpoints(
    const operator_config::EtcdConnectionSettings& table) {
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;
  for (const std::string& text : table.endpoints) {
    if (const auto endpoint = http_api::ParseAddress(text)) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

etcd::ChannelOptions MakeChannelOptions(const operator_config::EtcdConnectionSettings& table) {
  etcd::ChannelOptions channel;
  channel.ping_interval = table.ping_interval;
  channel.ping_timeout = table.ping_timeout;
  channel.server_name = table.server_name;
  if (!table.certificate.empty())
    channel.tls = http_api::TlsFiles{table.certificate, table.key, table.ca_certificate};
  return channel;
}

Result<std::string> ReadPassword(const operator_config::EtcdConnectionSettings& table) {
  std::string password;
  std::ifstream file(table.password_file);
  if (!std::getline(file, password))
    return MembershipError{ErrorCode::kUnreadablePassword, table.password_file, ""};
  return password;
}

// Sets the connection settings that EtcdSourceSettings and etcd::ClientSettings have in common.
template <typename Settings>
Result<Settings> WithConnectionSettings(Settings settings,
                                        const operator_config::EtcdConnectionSettings& table) {
  settings.endpoints = ParseEndpoints(table);
  settings.channel = MakeChannelOptions(table);
  if (table.user.empty()) return settings;
  Result<std::string> password = ReadPassword(table);
  if (!password) return password.error();
  settings.user = table.user;
  settings.password = std::move(*password);
  return settings;
}

}  // namespace

Result<EtcdSourceSettings> MakeEtcdSourceSettings(const operator_config::EtcdSettings& table) {
  EtcdSourceSettings settings;
  settings.follower.prefix = table.prefix;
  if (!table.services.empty()) settings.FollowServices(table.services_prefix, table.services);
  return WithConnectionSettings(std::move(settings), table);
}

Result<etcd::ClientSettings> MakeEtcdClientSettings(const operator_config::EtcdConnectionSettings& table) {
  return WithConnectionSettings(etcd::ClientSettings(), table);
}

}  // namespace badgerbridge::membership
