// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/relay_file.h"

#include <stdexcept>

#include "membership/etcd_settings.h"
#include "membership/member_codec.h"
#include "operator_config/operator_file.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::watch_cache {
namespace {

using operator_config::Problems;
using operator_config::TableReader;
using std::chrono::milliseconds;

constexpr std::int64_t kMebibyte = 1 << 20;

void ReadUpstream(TableReader& table, ServiceSettings* settings, Problems& problems,
                  const std::string& file) {
  operator_config::EtcdLink link;
  if (table.Has("endpoints")) table.Report("endpoints", "are --upstream's");
  operator_config::ReadEtcdLink(table, link);
  table.Finish();
  if (!problems.empty()) return;
  const auto client = membership::MakeEtcdClientSettings(link);
  if (!client) {
    problems.push_back({file, 0, 0, Message(client.error())});
    return;
  }
  settings->upstream.channel = client->channel;
  settings->upstream.user = client->user;
  settings->upstream.password = client->password;
}

void ReadReaders(TableReader& table, ServiceSettings* settings) {
  etcd::ServerOptions& server = settings->server;
  http_api::TlsFiles files{table.Text("certificate"), table.Text("key"), table.Text("client_authority")};
  const bool some = !files.certificate.empty() || !files.key.empty() || !files.authority.empty();
  const bool all = !files.certificate.empty() && !files.key.empty() && !files.authority.empty();
  if (some && !all)
    table.Report("certificate", "key and client_authority belong together: all three for TLS, or none");
  if (all) server.tls = std::move(files);
  const auto count = [&table](std::string_view key, std::size_t* value, std::int64_t most) {
    *value = static_cast<std::size_t>(table.Whole(key, static_cast<std::int64_t>(*value), 1, most));
  };
  count("connections", &server.connections, 100000);
  count("watches_per_connection", &settings->watches_per_connection, 100000);
  server.ping_every =
      table.Duration("ping_every", server.ping_every, milliseconds(100), milliseconds(3600000));
  server.ping_timeout =
      table.Duration("ping_timeout", server.ping_timeout, milliseconds(100), milliseconds(3600000));
  server.idle_timeout =
      table.Duration("idle_timeout", server.idle_timeout, milliseconds(1000), milliseconds(86400000));
  server.stall_timeout =
      table.Duration("stall_timeout", server.stall_timeout, milliseconds(1000), milliseconds(86400000));
  table.Finish();
}

void ReadBounds(TableReader& table, Settings* settings) {
  const auto bytes = [&table](std::string_view key, std::size_t* value) {
    *value = static_cast<std::size_t>(
        table.Whole(key, static_cast<std::int64_t>(*value), 1024, 16384 * kMebibyte));
  };
  const auto count = [&table](std::string_view key, std::size_t* value) {
    *value = static_cast<std::size_t>(table.Whole(key, static_cast<std::int64_t>(*value), 1, 10000000));
  };
  bytes("window_bytes", &settings->window_bytes);
  count("window_events", &settings->window_events);
  bytes("backlog_bytes", &settings->backlog_bytes);
  count("merged_events", &settings->merged_events);
  count("watches", &settings->max_subscribers);
  count("waiting_reads", &settings->max_waiting_reads);
  settings->list_bytes_per_second = static_cast<double>(
      table.Whole("list_bytes_per_second", static_cast<std::int64_t>(settings->list_bytes_per_second), 1024,
                  16384 * kMebibyte));
  bytes("list_burst_bytes", &settings->list_burst_bytes);
  settings->read_timeout =
      table.Duration("read_timeout", settings->read_timeout, milliseconds(50), milliseconds(60000));
  settings->progress_interval = table.Duration("progress_interval", settings->progress_interval,
                                               milliseconds(50), milliseconds(600000));
  table.Finish();
}

}  // namespace

void ApplyFile(std::string_view text, const std::string& file, ServiceSettings* settings,
               Problems& problems) {
  const auto root = operator_config::ParseToml(text, file, problems);
  if (!root) return;
  TableReader reader(*root, "", file, problems);
  settings->relay.drain_period =
      reader.Duration("drain_period", settings->relay.drain_period, milliseconds(0), milliseconds(600000));
  settings->relay.upstream_grace = reader.Duration("upstream_grace", settings->relay.upstream_grace,
                                                   milliseconds(0), milliseconds(600000));
  if (const auto upstream = reader.Table("upstream")) ReadUpstream(*upstream, settings, problems, file);
  if (const auto readers = reader.Table("readers")) ReadReaders(*readers, settings);
  if (const auto bounds = reader.Table("bounds")) ReadBounds(*bounds, &settings->relay);
  reader.Finish();
}

void LoadFile(const std::string& path, ServiceSettings* settings, Problems& problems) {
  const auto text = operator_config::ReadFile(path, operator_config::kMostBytes, problems);
  if (text) ApplyFile(*text, path, settings, problems);
}

bool SaysDrain(const etcdserverpb::KeyValue& kv) {
  const std::string& key = kv.key();
  const std::size_t slash = key.rfind('/');
  const auto member =
      membership::ParseMember(slash == std::string::npos ? key : key.substr(slash + 1), kv.value());
  return member && member->state == membership::MemberState::kDraining;
}

}  // namespace badgerbridge::watch_cache
