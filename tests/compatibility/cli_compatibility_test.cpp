// SPDX-License-Identifier: Apache-2.0
//
/// The command-line tool: exit codes, and the form of `-o json` of each command.
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "compatibility/golden_file.h"
#include "compatibility/installation.h"
#include "etcd/key_range.h"

extern char** environ;

namespace badgerbridge::compatibility {
namespace {

/// The watch cache's program; ended with this.
class WatchCacheProcess {
 public:
  explicit WatchCacheProcess(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), RELAY_PATH);
    std::vector<char*> pointers;
    for (std::string& argument : arguments) pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    if (posix_spawn(&pid_, RELAY_PATH, nullptr, nullptr, pointers.data(), environ) != 0) pid_ = -1;
  }
  ~WatchCacheProcess() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  WatchCacheProcess(const WatchCacheProcess&) = delete;
  WatchCacheProcess& operator=(const WatchCacheProcess&) = delete;

 private:
  pid_t pid_ = -1;
};

TEST(CliCompatibility, CommandsThatShowHaveTheFormOfBefore) {
  Installation installation;
  installation.Start();
  std::ofstream(installation.Path("state/logs/n1.log"), std::ios::app) << "a line\n";
  std::string text;
  text += installation.CommandAnswer({"status"});
  text += installation.CommandAnswer({"get", "n1"});
  text += installation.CommandAnswer({"watch", "--count", "1"});
  text += installation.CommandAnswer({"logs", "n1", "--lines", "1"});
  text += installation.CommandAnswer({"members", "n1"});
  text += installation.CommandAnswer({"orders"});
  text += installation.CommandAnswer({"diff", installation.Path("fleet.toml")});
  installation.site().Write("changed.toml", installation.site().FleetText(2, "working_directory = \"/\"\n"));
  text += installation.CommandAnswer({"diff", installation.Path("changed.toml")});
  EXPECT_TRUE(MatchesGoldenFile("cli/shown.txt", text));
  EXPECT_EQ(installation.site().Ctl({"status", "-o", "names"}).out, "n1\nn2\n");
}

TEST(CliCompatibility, OrdersHaveTheExitCodesAndFormOfBefore) {
  Installation installation;
  installation.Start();
  std::string text;
  text += installation.CommandAnswer({"drain", "n1", "--dry-run", "--id", "dry"});
  text += installation.CommandAnswer(
      {"drain", "n1", "bay-1/n2", "--id", "drain", "--as", "ana", "--deadline", "20s"});
  text += installation.CommandAnswer({"status", "n1"}, "agents.bay-1.instances[].drain.since_ms:");
  text += installation.CommandAnswer({"undrain", "--all", "--id", "undrain"});
  text += installation.CommandAnswer({"reload", "--label", "zone=a", "--id", "reload"});
  text +=
      installation.CommandAnswer({"stop", "n2", "--agent", "bay-1", "--id", "stop", "--force-after", "10s"});
  text += installation.CommandAnswer({"drain", "n2", "--id", "drain-stopped"});
  text += installation.CommandAnswer({"start", "--state", "stopped", "--id", "start"});
  text += installation.CommandAnswer({"roll", "--all", "--at-most", "1", "--id", "roll"});
  text += installation.CommandAnswer({"orders", "roll"});
  text += installation.CommandAnswer({"orders"});
  EXPECT_TRUE(MatchesGoldenFile("cli/orders.txt", text));
}

TEST(CliCompatibility, ApplyHasTheExitCodesAndFormOfBefore) {
  Installation installation;
  installation.Start();
  installation.site().Write("changed.toml", installation.site().FleetText(2, "working_directory = \"/\"\n"));
  std::string text;
  text +=
      installation.CommandAnswer({"apply", installation.Path("changed.toml"), "--dry-run", "--id", "dry"});
  text += installation.CommandAnswer({"apply", installation.Path("changed.toml"), "--id", "apply"});
  text += installation.CommandAnswer({"apply", installation.Path("changed.toml"), "--id", "again"});
  EXPECT_TRUE(MatchesGoldenFile("cli/apply.txt", text));
}

TEST(CliCompatibility, ConflictsAndMisuseHaveTheExitCodesOfBefore) {
  Installation installation;
  installation.Start();
  const pid_t pid = installation.site().PidOf("n2");
  kill(pid, SIGSTOP);
  std::string text;
  text += installation.CommandAnswer({"drain", "n2", "--id", "held", "--no-wait", "--deadline", "10m"});
  text += installation.CommandAnswer({"status", "n2"}, "agents.bay-1.instances[].silent_for_ms:");
  text += installation.CommandAnswer({"stop", "n2", "--id", "conflict"});
  text += installation.CommandAnswer({"status", "n9"});
  kill(pid, SIGCONT);  // from here on the order ends at a moment of its own
  text += installation.CommandAnswer({"drain"});
  text += installation.CommandAnswer({"drain", "n1", "--deadline", "soon"});
  text += installation.CommandAnswer({"nothing"});
  text += installation.CommandAnswer({"check", installation.Path("operator.toml")});
  text += installation.CommandAnswer({"check", installation.Path("fleet.toml")});
  text += installation.CommandAnswer({"check", installation.Path("n1.json")});
  text += installation.CommandAnswer(
      {"zones", "evacuate", "nowhere", "--for", "30s", "--operator", installation.Path("operator.toml")});
  text += installation.CommandAnswer({"members", "drain", "c-1"});
  installation.site().KillAgent(SIGTERM);
  text += installation.CommandAnswer({"status", "--timeout", "500ms"});
  EXPECT_TRUE(MatchesGoldenFile("cli/conflicts_and_misuse.txt", text));
}

TEST(CliCompatibility, CommandsToEtcdHaveTheExitCodesAndFormOfBefore) {
  Installation installation;
  installation.Start();
  const std::string& etcd = installation.etcd_address();
  std::string text;
  text += installation.CommandAnswer({"members", "drain", "c-1", "--etcd", etcd, "--dry-run"});
  text += installation.CommandAnswer({"members", "drain", "c-1", "c-none", "--etcd", etcd});
  text += installation.CommandAnswer(
      {"members", "undrain", "c-1", "--operator", installation.Path("operator.toml")});
  text += installation.CommandAnswer({"members", "release", "n1"});
  standins::EtcdSettings guarded_settings;
  guarded_settings.user = "tool";
  guarded_settings.password = "secret";
  standins::Etcd guarded(installation.io(), guarded_settings);
  const standins::CommandResult not_allowed =
      installation.site().Ctl({"members", "drain", "c-1", "--etcd",
                               "127.0.0.1:" + std::to_string(guarded.address(0).port()), "-o", "json"});
  text += "without a password: exit " + std::to_string(not_allowed.code) + "\n";
  installation.etcd().Down(0);
  text += installation.CommandAnswer({"members", "drain", "c-1", "--etcd", etcd, "--timeout", "300ms"});
  EXPECT_TRUE(MatchesGoldenFile("cli/etcd.txt", text));
}

/// Keys and values in etcd that begin with `prefix`, one a line.
std::string KeysBelow(standins::Etcd& etcd, const std::string& prefix) {
  etcdserverpb::RangeRequest request;
  request.set_key(prefix);
  request.set_range_end(etcd::PrefixRangeEnd(prefix));
  etcdserverpb::RangeResponse response;
  EXPECT_TRUE(etcd.store().Range(request, &response).ok());
  std::string text;
  for (const etcdserverpb::KeyValue& kv : response.kvs())
    text += "etcd: " + kv.key() + " = " + kv.value() + "\n";
  return text;
}

TEST(CliCompatibility, ZonesHaveTheExitCodesAndFormOfBefore) {
  Installation installation;
  installation.Start();
  const std::string file = installation.Path("operator.toml");
  const auto zones = [&](std::vector<std::string> words, const std::string& field = "") {
    words.insert(words.begin(), "zones");
    words.insert(words.end(), {"--operator", file});
    return installation.CommandAnswer(words, field);
  };
  std::string text;
  text += zones({});
  text += zones({"evacuate", "a", "--for", "60s", "--dry-run"});
  text += zones({"evacuate", "a", "--for", "60s", "--force", "--as", "ana"});
  text += KeysBelow(installation.etcd(), "/badgerbridge/regions/orders/");
  text += zones({}, "zones[].state = \"evacuated\"");
  text += zones({"evacuate", "a", "--for", "60s", "--force"});
  text += zones({"history", "--lines", "3"});
  text += zones({"return", "a"});
  text += zones({"return", "a"});
  EXPECT_TRUE(MatchesGoldenFile("cli/zones.txt", text));
}

TEST(CliCompatibility, RelaysHaveTheExitCodesAndFormOfBefore) {
  Installation installation;
  const std::string socket = installation.Path("relay.sock");
  const WatchCacheProcess relay({"--listen", "127.0.0.1:0", "--upstream", installation.etcd_address(),
                                 "--prefix", "/badgerbridge/", "--status-socket", socket});
  std::string text;
  // Until it has connected to its upstream, the watch cache answers too, and the command exits with 1.
  text += installation.CommandAnswer({"relays", socket}, "[].upstream.connected: boolean", 0);
  text += installation.CommandAnswer({"relays", installation.Path("nothing.sock"), "--timeout", "300ms"});
  EXPECT_TRUE(MatchesGoldenFile("cli/relays.txt", text));
}

}  // namespace
}  // namespace badgerbridge::compatibility
