// SPDX-License-Identifier: Apache-2.0
#include "membership/etcd_settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <stdexcept>
#include <string>

namespace badgerbridge::membership {
namespace {

TEST(EtcdSettingsTest, UnreadablePasswordFileIsAnErrorAndValueThrowsItsMessage) {
  operator_config::EtcdSettings table;
  table.user = "proxy";
  table.password_file = "/absent/password";
  const auto client = MakeEtcdClientSettings(table);
  ASSERT_FALSE(client.has_value());
  EXPECT_EQ(client.error().code, ErrorCode::kUnreadablePassword);
  EXPECT_EQ(client.error().where, "/absent/password");
  try {
    MakeEtcdSourceSettings(table).value();
    FAIL() << "no exception";
  } catch (const std::runtime_error& error) {
    EXPECT_STREQ(error.what(), "cannot read a password from /absent/password");
  }
}

TEST(EtcdSettingsTest, CopiesTheTableToTheSettings) {
  const std::string password_file = ::testing::TempDir() + "etcd_settings_password";
  std::ofstream(password_file) << "secret\n";
  operator_config::EtcdSettings table;
  table.endpoints = {"127.0.0.1:2379"};
  table.user = "proxy";
  table.password_file = password_file;
  table.services = {"billing"};
  const auto source = MakeEtcdSourceSettings(table);
  ASSERT_TRUE(source.has_value());
  EXPECT_EQ(source->endpoints.size(), 1u);
  EXPECT_EQ(source->user, "proxy");
  EXPECT_EQ(source->password, "secret");
  EXPECT_EQ(source->follower.prefix, table.services_prefix);
  EXPECT_EQ(source->follower.sections, std::vector<std::string>{"billing/"});
}

}  // namespace
}  // namespace badgerbridge::membership
