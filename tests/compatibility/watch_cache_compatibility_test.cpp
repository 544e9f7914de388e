// SPDX-License-Identifier: Apache-2.0
//
/// The watch cache's own file, with every key: read into the same settings as before.
#include <gtest/gtest.h>

#include "compatibility/golden_file.h"
#include "compatibility/key_value_dump.h"
#include "watch_cache/relay_file.h"

namespace badgerbridge::compatibility {
namespace {

void AddTls(const std::optional<http_api::TlsFiles>& tls, std::string_view authority_key,
            KeyValueDump* dump) {
  dump->Add("certificate", tls ? tls->certificate : "");
  dump->Add("key", tls ? tls->key : "");
  dump->Add(authority_key, tls ? tls->authority : "");
}

void AddUpstream(const etcd::FollowerLinkSettings& upstream, KeyValueDump* dump) {
  dump->BeginTable("upstream");
  dump->Add("ping_every", upstream.channel.ping_every);
  dump->Add("ping_timeout", upstream.channel.ping_timeout);
  dump->Add("user", upstream.user);
  dump->Add("password_file's first line", upstream.password);
  AddTls(upstream.channel.tls, "authority_certificate", dump);
  dump->Add("server_name", upstream.channel.server_name);
}

void AddReaders(const watch_cache::ServiceSettings& settings, KeyValueDump* dump) {
  dump->BeginTable("readers");
  AddTls(settings.server.tls, "client_authority", dump);
  dump->Add("connections", settings.server.connections);
  dump->Add("watches_per_connection", settings.max_watches_per_connection);
  dump->Add("ping_every", settings.server.ping_every);
  dump->Add("ping_timeout", settings.server.ping_timeout);
  dump->Add("idle_timeout", settings.server.idle_timeout);
  dump->Add("stall_timeout", settings.server.stall_timeout);
}

void AddBounds(const watch_cache::Settings& bounds, KeyValueDump* dump) {
  dump->BeginTable("bounds");
  dump->Add("window_bytes", bounds.max_window_bytes);
  dump->Add("window_events", bounds.max_window_events);
  dump->Add("backlog_bytes", bounds.max_backlog_bytes);
  dump->Add("merged_events", bounds.max_merged_events);
  dump->Add("watches", bounds.max_subscribers);
  dump->Add("waiting_reads", bounds.max_waiting_reads);
  dump->Add("read_timeout", bounds.read_timeout);
  dump->Add("progress_interval", bounds.progress_interval);
  dump->Add("list_bytes_per_second", bounds.list_bytes_per_second);
  dump->Add("list_burst_bytes", bounds.list_burst_bytes);
}

std::string DumpOf(const watch_cache::ServiceSettings& settings) {
  KeyValueDump dump;
  dump.Add("drain_period", settings.cache.drain_period);
  dump.Add("upstream_grace", settings.cache.upstream_grace);
  AddUpstream(settings.upstream, &dump);
  AddReaders(settings, &dump);
  AddBounds(settings.cache, &dump);
  return dump.text();
}

/// What a file of golden/watch_cache sets, and the problems that it has.
std::string DumpOfRelayFile(const std::string& name) {
  std::string text = ReadGoldenFile("watch_cache/" + name);
  constexpr std::string_view kPlaceholder = "@PASSWORD_FILE@";
  const std::size_t placeholder = text.find(kPlaceholder);
  if (placeholder != std::string::npos)
    text.replace(placeholder, kPlaceholder.size(), GoldenPath("watch_cache/password"));
  const watch_cache::RelayFile file = watch_cache::ParseRelayFile(text, "relay.toml");
  return DumpOf(file.settings) + operator_config::FormatProblems(file.problems);
}

TEST(WatchCacheFileCompatibility, FileWithEveryKeyIsReadAsBefore) {
  EXPECT_TRUE(MatchesGoldenFile("watch_cache/relay_every_key.txt", DumpOfRelayFile("relay_every_key.toml")));
}

TEST(WatchCacheFileCompatibility, EmptyFileHasTheDefaultsOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("watch_cache/relay_defaults.txt", DumpOfRelayFile("relay_defaults.toml")));
}

TEST(WatchCacheFileCompatibility, UnknownKeysAreReportedAsBefore) {
  EXPECT_TRUE(
      MatchesGoldenFile("watch_cache/relay_unknown_keys.txt", DumpOfRelayFile("relay_unknown_keys.toml")));
}

}  // namespace
}  // namespace badgerbridge::compatibility
