// SPDX-License-Identifier: Apache-2.0
#include "cli/context.h"

#include <gtest/gtest.h>

namespace badgerbridge::cli {
namespace {

TEST(Context, AgentsAreReadInTheOrderOfTheFile) {
  const auto agents = ParseContext(
      "[[agent]]\nname = \"a\"\nsocket = \"/s\"\n"
      "[[agent]]\nname = \"b\"\naddress = \"127.0.0.1:7443\"\ncertificate = \"c\"\nkey = \"k\"\n"
      "authority = \"ca\"\nserver_name = \"bay\"\n",
      "c");
  ASSERT_TRUE(agents.has_value()) << operator_config::FormatProblems(agents.error());
  ASSERT_EQ(agents->size(), 2u);
  const AgentTarget& by_socket = agents->front();
  EXPECT_EQ(by_socket.name, "a");
  EXPECT_EQ(by_socket.target.unix_path, "/s");
  const AgentTarget& by_address = agents->back();
  EXPECT_EQ(by_address.name, "b");
  EXPECT_EQ(by_address.target.address.port(), 7443);
  EXPECT_EQ(by_address.target.files.certificate, "c");
  EXPECT_EQ(by_address.target.files.key, "k");
  EXPECT_EQ(by_address.target.files.authority, "ca");
  EXPECT_EQ(by_address.target.server_name, "bay");
}

TEST(Context, ProblemsAreLines) {
  const auto check = [](const std::string& text) {
    const auto agents = ParseContext(text, "c");
    return agents ? std::string() : operator_config::FormatProblems(agents.error());
  };
  EXPECT_EQ(check("[[agent]]\nname = \"a\"\nsocket = \"/s\"\n"), "");
  EXPECT_NE(check("").find("agent is missing"), std::string::npos);
  EXPECT_NE(check("[[agent]]\nname = \"a\"\n").find("give one of them"), std::string::npos);
  EXPECT_NE(check("[[agent]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n").find("agent.key is missing"),
            std::string::npos);
  EXPECT_NE(check("[[agent]]\nname = \"a\"\nsocket = \"/s\"\n[[agent]]\nname = \"a\"\nsocket = \"/t\"\n")
                .find("is there twice"),
            std::string::npos);
}

}  // namespace
}  // namespace badgerbridge::cli
