// SPDX-License-Identifier: Apache-2.0
#include "membership/etcd_settings.h"

#include <fstream>
#include <stdexcept>

#include "http_api/address.h"

namespace badgerbridge::membership {
namespace {

std::vector<boost::asio::ip::tcp::endpoint> Endpoints(const operator_config::EtcdLink& table) {
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;
  for (const std::string& text : table.endpoints) {
    if (const auto endpoint = http_api::ParseAddress(text)) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

etcd::ChannelOptions Channel(const operator_config::EtcdLink& table) {
  etcd::ChannelOptions channel;
  channel.ping_every = table.ping_every;
  channel.ping_timeout = table.ping_timeout;
  channel.server_name = table.server_name;
  if (!table.certificate.empty())
    channel.tls = http_api::TlsFiles{table.certificate, table.key, table.client_authority};
  return channel;
}

std::string Password(const operator_config::EtcdLink& table) {
  std::string password;
  std::ifstream file(table.password_file);
  if (!std::getline(file, password))
    throw std::runtime_error("cannot read a password from " + table.password_file);
  return password;
}

}  // namespace

EtcdSourceSettings SourceSettingsOf(const operator_config::Etcd& table) {
  EtcdSourceSettings settings;
  settings.endpoints = Endpoints(table);
  settings.follower.prefix = table.prefix;
  if (!table.services.empty()) settings.FollowServices(table.services_prefix, table.services);
  settings.channel = Channel(table);
  if (table.user.empty()) return settings;
  settings.user = table.user;
  settings.password = Password(table);
  return settings;
}

etcd::ClientSettings ClientSettingsOf(const operator_config::EtcdLink& table) {
  etcd::ClientSettings settings;
  settings.endpoints = Endpoints(table);
  settings.channel = Channel(table);
  if (table.user.empty()) return settings;
  settings.user = table.user;
  settings.password = Password(table);
  return settings;
}

}  // namespace badgerbridge::membership
