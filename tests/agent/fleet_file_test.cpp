// SPDX-License-Identifier: Apache-2.0
#include "agent/fleet_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "cli/context.h"

namespace badgerbridge::agent {
namespace {

class FleetFileTest : public ::testing::Test {
 protected:
  FleetFileTest() {
    folder_ = ::testing::TempDir() + "fleet_XXXXXX";
    EXPECT_NE(mkdtemp(folder_.data()), nullptr);
    std::ofstream(folder_ + "/op.toml") << "[control]\nsocket = \"/run/n1.sock\"\n";
    std::ofstream(folder_ + "/none.toml") << "# nothing\n";
  }
  ~FleetFileTest() override { std::filesystem::remove_all(folder_); }

  std::string Agent() const {
    return "[agent]\nname = \"bay-1\"\nstate_dir = \"/var/lib/x\"\nsocket = \"/run/a.sock\"\n";
  }
  std::string Instance(const std::string& name, const std::string& more = "") const {
    return "[[instance]]\nname = \"" + name + "\"\ncommand = [\"/bin/true\"]\noperator_file = \"" + folder_ +
           "/op.toml\"\n" + more;
  }
  std::string Check(const std::string& text) const {
    operator_config::Problems problems;
    ParseFleetFile(text, "f", problems);
    return operator_config::FormatProblems(problems);
  }

  std::string folder_;
};

TEST_F(FleetFileTest, CompleteFileIsRead) {
  operator_config::Problems problems;
  const FleetFile file = ParseFleetFile(
      Agent() +
          "poll = \"2s\"\n[agent.tls]\nlisten = \"127.0.0.1:7443\"\ncertificate = \"c\"\nkey = \"k\"\n"
          "client_ca = \"ca\"\nroles = { ana = \"operator\" }\n" +
          Instance("n1",
                   "listen = \"127.0.0.1:8080\"\nlabels = { zone = \"a\" }\nenvironment = { X = \"1\" }\n"
                   "limits = { descriptors = 1024 }\n"),
      "f", problems);
  EXPECT_EQ(operator_config::FormatProblems(problems), "");
  ASSERT_EQ(file.instances.size(), 1u);
  const InstanceDefinition& one = file.instances[0];
  EXPECT_EQ(one.control_socket, "/run/n1.sock");
  EXPECT_EQ(one.max_descriptors, 1024);
  EXPECT_EQ(one.labels.at("zone"), "a");
  EXPECT_EQ(file.agent.poll_interval, std::chrono::milliseconds(2000));
  EXPECT_EQ(file.agent.tls->roles.at("ana"), http_api::Role::kOperator);
  EXPECT_EQ(ParseDefinition(SerializeDefinition(one)).value(), one);
}

TEST_F(FleetFileTest, ExampleFilesHaveNoProblems) {
  for (const char* name : {"fleet.toml", "context.toml"}) {
    std::ifstream in(std::string(SOURCE_DIR) + "/deploy/" + name);
    std::string text((std::istreambuf_iterator<char>(in)), {});
    ASSERT_FALSE(text.empty()) << name;
    const std::size_t at = text.find("/etc/badgerbridge/n1.toml");
    if (at != std::string::npos) text.replace(at, 25, folder_ + "/op.toml");
    operator_config::Problems problems;
    if (std::string(name) == "fleet.toml") {
      ParseFleetFile(text, name, problems);
    } else if (const auto agents = cli::ParseContext(text, name); !agents) {
      problems = agents.error();
    }
    EXPECT_EQ(operator_config::FormatProblems(problems), "");
  }
}

TEST_F(FleetFileTest, EachProblemIsReportedOnItsOwnLine) {
  EXPECT_EQ(Check("x = 1\n"),
            "f:1:1: agent is missing; give an [agent] table\n"
            "f:1:1: x is no key here; known are agent, instance\n");
  const std::string text = Check(Agent() + "first_backoff = \"20s\"\n" + Instance("n1") + Instance("n1") +
                                 "[[instance]]\nname = \"a b\"\ncommand = []\noperator_file = \"" + folder_ +
                                 "/none.toml\"\nlisten = \"localhost:80\"\nworking_directory = \"x\"\n");
  for (const char* expected :
       {"first_backoff contradicts the other", "instance.name is the same as that of another: n1",
        "instance.operator_file is the same as that of n1: /run/n1.sock",
        "instance.name is not 1 to 64 letters", "instance.command names no program", "has no [control] table",
        "instance.listen is no address and port", "instance.working_directory is no absolute path"})
    EXPECT_NE(text.find(expected), std::string::npos) << expected << "\n" << text;
  EXPECT_NE(Check(Agent() + "[agent.tls]\nroles = { ana = \"boss\" }\n").find("reader, operator or admin"),
            std::string::npos);
  EXPECT_NE(
      Check(Agent() + Instance("n1") + "[[instance]]\nname=\"n2\"\ncommand=[\"x\"]\noperator_file=\"/no\"\n")
          .find("/no: cannot be read"),
      std::string::npos);
}

TEST_F(FleetFileTest, DiffReportsAddedChangedAndRemovedInstances) {
  operator_config::Problems problems;
  const FleetFile file = ParseFleetFile(Agent() + Instance("n1"), "f", problems);
  InstanceDefinition changed = file.instances[0];
  changed.max_descriptors = 99;
  const auto changes = DiffDefinitions({{"n1", SerializeDefinition(file.instances[0])}, {"old", "{}"}},
                                       {{"n1", SerializeDefinition(changed)}, {"new", "{}"}})
                           .value();
  ASSERT_EQ(changes.size(), 3u);
  EXPECT_EQ(changes[0].description, "descriptors: 0 -> 99");
  EXPECT_EQ(changes[1].kind, DefinitionChange::Kind::kAdd);
  EXPECT_EQ(changes[2].kind, DefinitionChange::Kind::kRemove);
  EXPECT_TRUE(DiffDefinitions({{"n1", SerializeDefinition(changed)}}, {{"n1", SerializeDefinition(changed)}})
                  .value()
                  .empty());
}

}  // namespace
}  // namespace badgerbridge::agent
