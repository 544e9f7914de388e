// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/relay_file.h"

#include <chrono>
#include <utility>

#include "membership/etcd_settings.h"
#include "membership/member_codec.h"
#include "operator_config/operator_file.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::watch_cache {
namespace {

using operator_config::Problems;
using operator_config::TableReader;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kKibibyte = 1 << 10;
constexpr std::int64_t kGibibyte = 1 << 30;

// Bounds of the values in the file.
constexpr std::int64_t kMaxConnections = 100000;
constexpr std::int64_t kMaxWatchesPerConnection = 100000;
constexpr std::int64_t kMaxCount = 10000000;
constexpr std::int64_t kMinBytes = kKibibyte;
constexpr std::int64_t kMaxBytes = 16 * kGibibyte;
constexpr milliseconds kMaxGracePeriod = minutes(10);
constexpr milliseconds kMinPingTime = milliseconds(100);
constexpr milliseconds kMaxPingTime = hours(1);
constexpr milliseconds kMinTimeout = seconds(1);
constexpr milliseconds kMaxTimeout = hours(24);
constexpr milliseconds kMinReadTimeout = milliseconds(50);
constexpr milliseconds kMaxReadTimeout = minutes(1);
constexpr milliseconds kMinProgressInterval = milliseconds(50);
constexpr milliseconds kMaxProgressInterval = minutes(10);

std::size_t ReadCount(TableReader& table, std::string_view key, std::size_t default_value, std::int64_t max) {
  return static_cast<std::size_t>(table.Integer(key, static_cast<std::int64_t>(default_value), 1, max));
}

std::size_t ReadBytes(TableReader& table, std::string_view key, std::size_t default_value) {
  return static_cast<std::size_t>(
      table.Integer(key, static_cast<std::int64_t>(default_value), kMinBytes, kMaxBytes));
}

void ReadUpstream(TableReader& table, const std::string& file, RelayFile* parsed) {
  operator_config::EtcdConnectionSettings connection;
  if (table.Has("endpoints")) table.Report("endpoints", "are set with --upstream, not in the file");
  connection = operator_config::ReadEtcdConnection(table);
  table.Finish();
  if (!parsed->ok()) return;
  const auto client = membership::MakeEtcdClientSettings(connection);
  if (!client) {
    parsed->problems.push_back({file, 0, 0, Message(client.error())});
    return;
  }
  parsed->settings.upstream.channel = client->channel;
  parsed->settings.upstream.user = client->user;
  parsed->settings.upstream.password = client->password;
}

void ReadReaderTls(TableReader& table, etcd::ServerOptions* server) {
  http_api::TlsFiles files{table.Text("certificate"), table.Text("key"), table.Text("client_authority")};
  const bool has_any = !files.certificate.empty() || !files.key.empty() || !files.authority.empty();
  const bool has_all = !files.certificate.empty() && !files.key.empty() && !files.authority.empty();
  if (has_any && !has_all) {
    table.Report("certificate",
                 "must be set together with key and client_authority: all three for TLS, or none");
  }
  if (has_all) server->tls = std::move(files);
}

void ReadReaders(TableReader& table, ServiceSettings* settings) {
  etcd::ServerOptions& server = settings->server;
  ReadReaderTls(table, &server);
  server.max_connections = ReadCount(table, "connections", server.max_connections, kMaxConnections);
  settings->max_watches_per_connection = ReadCount(
      table, "watches_per_connection", settings->max_watches_per_connection, kMaxWatchesPerConnection);
  server.ping_interval = table.Duration("ping_every", server.ping_interval, kMinPingTime, kMaxPingTime);
  server.ping_timeout = table.Duration("ping_timeout", server.ping_timeout, kMinPingTime, kMaxPingTime);
  server.idle_timeout = table.Duration("idle_timeout", server.idle_timeout, kMinTimeout, kMaxTimeout);
  server.stall_timeout = table.Duration("stall_timeout", server.stall_timeout, kMinTimeout, kMaxTimeout);
  table.Finish();
}

void ReadBounds(TableReader& table, Settings* cache) {
  cache->max_window_bytes = ReadBytes(table, "window_bytes", cache->max_window_bytes);
  cache->max_window_events = ReadCount(table, "window_events", cache->max_window_events, kMaxCount);
  cache->max_backlog_bytes = ReadBytes(table, "backlog_bytes", cache->max_backlog_bytes);
  cache->max_merged_events = ReadCount(table, "merged_events", cache->max_merged_events, kMaxCount);
  cache->max_subscribers = ReadCount(table, "watches", cache->max_subscribers, kMaxCount);
  cache->max_waiting_reads = ReadCount(table, "waiting_reads", cache->max_waiting_reads, kMaxCount);
  const auto default_rate = static_cast<std::size_t>(cache->list_bytes_per_second);
  cache->list_bytes_per_second = static_cast<double>(ReadBytes(table, "list_bytes_per_second", default_rate));
  cache->list_burst_bytes = ReadBytes(table, "list_burst_bytes", cache->list_burst_bytes);
  cache->read_timeout = table.Duration("read_timeout", cache->read_timeout, kMinReadTimeout, kMaxReadTimeout);
  cache->progress_interval = table.Duration("progress_interval", cache->progress_interval,
                                            kMinProgressInterval, kMaxProgressInterval);
  table.Finish();
}

}  // namespace

RelayFile ParseRelayFile(std::string_view text, const std::string& file) {
  RelayFile parsed;
  const auto root = operator_config::ParseToml(text, file);
  if (!root) parsed.problems.push_back(root.error());
  if (!root) return parsed;
  TableReader reader(*root, "", file, parsed.problems);
  Settings& cache = parsed.settings.cache;
  cache.drain_period = reader.Duration("drain_period", cache.drain_period, milliseconds(0), kMaxGracePeriod);
  cache.upstream_grace =
      reader.Duration("upstream_grace", cache.upstream_grace, milliseconds(0), kMaxGracePeriod);
  if (const auto upstream = reader.Table("upstream")) ReadUpstream(*upstream, file, &parsed);
  if (const auto readers = reader.Table("readers")) ReadReaders(*readers, &parsed.settings);
  if (const auto bounds = reader.Table("bounds")) ReadBounds(*bounds, &cache);
  reader.Finish();
  return parsed;
}

RelayFile LoadRelayFile(const std::string& path) {
  RelayFile unreadable;
  const auto text = operator_config::ReadFile(path, operator_config::kMaxFileBytes);
  if (!text) unreadable.problems.push_back(text.error());
  if (!text) return unreadable;
  return ParseRelayFile(*text, path);
}

bool IsDrainEvent(const etcdserverpb::KeyValue& kv) {
  const std::string& key = kv.key();
  const std::size_t slash = key.rfind('/');
  const std::string name = slash == std::string::npos ? key : key.substr(slash + 1);
  const auto member = membership::ParseMember(name, kv.value());
  return member && member->state == membership::MemberState::kDraining;
}

}  // namespace badgerbridge::watch_cache
