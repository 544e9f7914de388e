// SPDX-License-Identifier: Apache-2.0
#include "operator_config/operator_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <random>

#include "operator_config/table_reader.h"

namespace badgerbridge::operator_config {
namespace {

/// The formatted problems of a file with this text.
std::string FormattedProblems(const std::string& text) {
  return FormatProblems(ParseOperatorFile(text, "op.toml").problems);
}

TEST(OperatorFile, EmptyFileEnablesNothing) {
  const OperatorFile file = ParseOperatorFile("# nothing\n", "op.toml");
  EXPECT_FALSE(file.admin_api);
  EXPECT_TRUE(file.ok());
}

TEST(OperatorFile, ExampleFileHasEveryKeyWithItsDefault) {
  const OperatorFile file = LoadOperatorFile(std::string(SOURCE_DIR) + "/deploy/operator.toml");
  EXPECT_EQ(FormatProblems(file.problems), "");
  ASSERT_TRUE(file.admin_api);
  const AdminApiSettings defaults;
  EXPECT_EQ(file.admin_api->max_connections, defaults.max_connections);
  EXPECT_EQ(file.admin_api->request_timeout, defaults.request_timeout);
  EXPECT_EQ(file.admin_api->idle_timeout, defaults.idle_timeout);
  EXPECT_EQ(file.admin_api->allow_uids, defaults.allow_uids);
}

TEST(OperatorFile, EachProblemIsReportedOnALineWithItsPosition) {
  EXPECT_EQ(
      FormattedProblems("[control]\n"
                        "socket = 7\n"
                        "max_connection = 3\n"
                        "request_timeout = 5\n"
                        "idle_timeout = \"3 days\"\n"
                        "allow_uids = [1, \"root\"]\n"
                        "[contrl]\n"),
      "op.toml:2:10: control.socket is a whole number; a string would be right, in quotes\n"
      "op.toml:2:10: control.socket is no absolute path; one that begins with / would be right\n"
      "op.toml:3:1: control.max_connection is no key here; did you mean max_connections?\n"
      "op.toml:4:19: control.request_timeout is no duration; a number with its unit, such as \"250ms\", "
      "\"10s\" or \"2m\", 100ms to 1m, would be right\n"
      "op.toml:5:16: control.idle_timeout is no duration; a number with its unit, such as \"250ms\", "
      "\"10s\" or \"2m\", 100ms to 1h, would be right\n"
      "op.toml:6:18: control.allow_uids holds what is no whole number from 0 to 4294967294\n"
      "op.toml:7:2: contrl is no key here; did you mean control?\n");
}

TEST(OperatorFile, ValuesOutOfRangeOrContradictoryAreReported) {
  EXPECT_EQ(FormattedProblems("[control]\nsocket = \"/s\"\nmax_connections = 65\n"),
            "op.toml:3:19: control.max_connections = 65 is out of range; 1 to 64 would be right\n");
  EXPECT_EQ(
      FormattedProblems("[control]\nsocket = \"/s\"\nidle_timeout = \"500ms\"\n"),
      "op.toml:3:16: control.idle_timeout contradicts the other time-out: idle_timeout (500ms) must not be "
      "shorter than request_timeout (2s)\n");
  EXPECT_EQ(FormattedProblems("[control]\n"),
            "op.toml:1:1: control.socket is missing; give the path of a Unix domain socket, as in socket = "
            "\"/run/badgerbridge/n1.sock\"\n");
  EXPECT_NE(FormattedProblems("[control]\nsocket = \"/" + std::string(107, 'x') + "\"\n").find("107 bytes"),
            std::string::npos);
}

TEST(OperatorFile, SyntaxErrorIsReportedOnALineWithItsPosition) {
  const std::string text = FormattedProblems("[control\nsocket = \"/s\"\n");
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
  EXPECT_EQ(text.rfind("op.toml:1:", 0), 0u) << text;
  EXPECT_NE(FormattedProblems("control = 3\n").find("a table, [control], would be right"), std::string::npos);
}

TEST(OperatorFile, FileThatCannotBeReadOrIsTooLargeIsReported) {
  for (const std::string& path : {std::string("/nonexistent/op.toml"), std::string("/tmp")}) {
    EXPECT_EQ(FormatProblems(LoadOperatorFile(path).problems),
              path + ": cannot be read; give a file that this user may read\n");
  }
  std::string path = ::testing::TempDir() + "operator_XXXXXX";
  const int file = mkstemp(path.data());
  ASSERT_GE(file, 0);
  EXPECT_EQ(ftruncate(file, kMaxFileBytes + 1), 0);
  close(file);
  const Problems problems = LoadOperatorFile(path).problems;
  unlink(path.c_str());
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_NE(problems[0].text.find("too large"), std::string::npos);
}

/// A valid file with random deletions, duplications and changes is either accepted or reported.
TEST(OperatorFile, RandomlyCorruptedFileIsAcceptedOrReported) {
  const std::string valid_text =
      "[control]\nsocket = \"/run/a.sock\"\nmax_connections = 8\nrequest_timeout = \"2s\"\nallow_uids = "
      "[1]\n";
  std::mt19937 random(7);
  int rejected = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string text = valid_text;
    for (unsigned n = random() % 3 + 1; n > 0; --n) {
      const std::size_t position = random() % text.size();
      switch (random() % 3) {
        case 0:
          text.erase(position, random() % 8 + 1);
          break;
        case 1: {
          const std::size_t size = random() % 12;
          text.insert(position, text.substr(random() % text.size(), size));
          break;
        }
        default:
          text[position] = static_cast<char>(random());
      }
      if (text.empty()) text = "=";
    }
    const OperatorFile file = ParseOperatorFile(text, "f");
    rejected += file.ok() ? 0 : 1;
    if (file.ok() && file.admin_api) {
      EXPECT_EQ(file.admin_api->socket.front(), '/');
    }
    for (const Problem& problem : file.problems)
      EXPECT_EQ(FormatProblem(problem).find('\n'), std::string::npos);
  }
  EXPECT_GT(rejected, 10000);
}

#ifdef BADGERBRIDGE_HAS_ETCD
TEST(OperatorFile, InvalidServicesAreReported) {
  const std::string head = "[etcd]\nendpoints = [\"127.0.0.1:1\"]\n";
  EXPECT_EQ(FormattedProblems(head + "services = [\"billing\", \"search\"]\n"), "");
  EXPECT_EQ(FormattedProblems(head + "services = [\"a\", \"a\"]\n"),
            "op.toml:3:12: etcd.services names a twice\n");
  EXPECT_EQ(FormattedProblems(head + "services = [\"a/b\"]\n"),
            "op.toml:3:12: etcd.services names \"a/b\"; a name of 1 to 128 characters without / would be "
            "right\n");
  EXPECT_NE(FormattedProblems(head + "services = [\"\"]\n").find("a name of 1 to 128 characters"),
            std::string::npos);
  EXPECT_NE(FormattedProblems(head + "services_prefix = \"\"\n").find("services_prefix is empty"),
            std::string::npos);
  std::string too_many_services = head + "services = [";
  for (int i = 0; i < 257; ++i) too_many_services += (i > 0 ? ", \"s" : "\"s") + std::to_string(i) + "\"";
  EXPECT_EQ(FormattedProblems(too_many_services + "]\n"),
            "op.toml:3:12: etcd.services names 257; at most 256 would be right\n");
}

TEST(OperatorFile, InvalidRegionsAreReported) {
  EXPECT_EQ(FormattedProblems("[regions]\nzones = [\"a\", \"b\"]\n"),
            "op.toml:1:1: regions needs endpoints = [\"127.0.0.1:2379\"], or an [etcd] table that says where "
            "etcd is\n");
  EXPECT_EQ(FormattedProblems("[regions]\nzones = [\"a\", \"b\"]\ndecide = \"alone\"\n"), "");
  const std::string head = "[regions]\nendpoints = [\"127.0.0.1:1\"]\n";
  EXPECT_EQ(FormattedProblems(head + "zones = [\"a\", \"a\"]\n"),
            "op.toml:3:9: regions.zones names a twice\n");
  EXPECT_EQ(FormattedProblems(head + "zones = [\"a\"]\nlease = \"1500ms\"\n"),
            "op.toml:4:9: regions.lease is no whole number of seconds; \"3s\" would be right\n");
  EXPECT_EQ(FormattedProblems(head + "zones = [\"a\"]\nheartbeat = \"2s\"\n"),
            "op.toml:4:13: regions.heartbeat contradicts the other time: three heartbeats (2s) must fit into "
            "a lease "
            "(3s)\n");
  EXPECT_EQ(FormattedProblems(head + "zones = [\"a\"]\nlease = \"1s\"\nheartbeat = \"400ms\"\n"),
            "op.toml:5:13: regions.heartbeat contradicts the other time: three heartbeats (400ms) must fit "
            "into a lease "
            "(1s)\n");
  EXPECT_EQ(FormattedProblems(head + "zones = [\"a\", \"b\"]\n[[regions.link]]\nfrom = \"a\"\nto = \"c\"\n"),
            "op.toml:6:6: regions.link.to is \"c\", which zones does not name\n");
  EXPECT_EQ(
      FormattedProblems(
          "[etcd]\nendpoints = [\"127.0.0.1:1\"]\n[regions]\nzones = [\"a\"]\nping_every = \"1s\"\n"),
      "op.toml:5:14: regions.ping_every stands without endpoints: then all of the way to etcd is that of "
      "[etcd]\n");
  EXPECT_NE(FormattedProblems(head + "zones = []\n").find("must name 1 to 64 zones"), std::string::npos);
  EXPECT_NE(FormattedProblems(head + "zones = [\"a\"]\ndecide = \"never\"\n")
                .find("together or alone would be right"),
            std::string::npos);
}

TEST(OperatorFile, FormerNameOfAKeyWorksWithAWarning) {
  const std::string head = "[regions]\nendpoints = [\"127.0.0.1:1\"]\nzones = [\"a\"]\n";
  OperatorFile file = ParseOperatorFile(head + "heartbeat = \"300ms\"\n", "op.toml");
  EXPECT_EQ(FormatProblems(file.problems), "");
  EXPECT_EQ(FormatProblems(file.warnings), "");
  EXPECT_EQ(file.zone_failover->heartbeat.count(), 300);

  file = ParseOperatorFile(head + "beat = \"300ms\"\n", "op.toml");
  EXPECT_EQ(FormatProblems(file.problems), "");
  EXPECT_EQ(
      FormatProblems(file.warnings),
      "op.toml:4:8: warning: regions.beat is now called regions.heartbeat; the former name still works\n");
  EXPECT_EQ(file.zone_failover->heartbeat.count(), 300);

  EXPECT_EQ(FormattedProblems(head + "beat = \"2s\"\n"),
            "op.toml:4:8: regions.beat contradicts the other time: three heartbeats (2s) must fit into a "
            "lease (3s)\n");
  EXPECT_EQ(
      FormattedProblems(head + "beat = \"300ms\"\nheartbeat = \"300ms\"\n"),
      "op.toml:4:8: regions.beat is the former name of regions.heartbeat, which stands here too; give that "
      "alone\n");
}

TEST(OperatorFile, RegionsWithoutEndpointsUseTheConnectionOfEtcd) {
  const OperatorFile file = ParseOperatorFile(
      "[etcd]\nendpoints = [\"127.0.0.1:7\"]\nuser = \"u\"\npassword_file = \"p\"\n[regions]\nzones = "
      "[\"a\"]\n",
      "op.toml");
  EXPECT_EQ(FormatProblems(file.problems), "");
  ASSERT_TRUE(file.zone_failover);
  EXPECT_EQ(file.zone_failover->endpoints, std::vector<std::string>{"127.0.0.1:7"});
  EXPECT_EQ(file.zone_failover->user, "u");
  EXPECT_EQ(file.zone_failover->prefix, "/badgerbridge/regions/");
}
#endif

}  // namespace
}  // namespace badgerbridge::operator_config
