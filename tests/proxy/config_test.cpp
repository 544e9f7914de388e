// SPDX-License-Identifier: Apache-2.0
//
// Tests the configuration: environment variables and JSON.
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <string>
#include <utility>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

const Environment kNoVariables = [](const char*) { return nullptr; };

// The error message for a configuration; empty if it is valid.
std::string ErrorIn(const std::string& text) {
  try {
    ParseConfig(text, kNoVariables);
  } catch (const BadConfig& error) {
    return error.what();
  }
  return "";
}

std::string Replaced(std::string text, const std::string& what, const std::string& with) {
  const std::size_t at = text.find(what);
  EXPECT_NE(at, std::string::npos) << what;
  return text.replace(at, what.size(), with);
}

TEST(ConfigTest, NestedJsonBecomesPathsAndValues) {
  const auto value = boost::json::parse(
      R"({"a":{"b":2.5,"none":null},"list":["x y","z"],"empty":[],"items":[{"n":1},{"n":true}]})");
  EXPECT_EQ(Flatten(value), "a.b=2.5E0\nlist=x_y,z\nempty=\nitems.count=2\nitems.0.n=1\nitems.1.n=true\n");
}

TEST(ConfigTest, ReadsTheSettingsOfTheProxyAndTheDecisionModule) {
  const Config config = TestConfig({EndpointJson("s-1", "127.0.0.1:8080")});
  EXPECT_EQ(config.name, "n1");
  EXPECT_EQ(config.seed, 0xa5u);
  EXPECT_EQ(config.classes, (std::vector<std::string>{"preview", "convert", "certify"}));
  EXPECT_EQ(config.zones, (std::vector<std::string>{"port louis", "ebene"}));
  EXPECT_EQ(config.settings.classes[1].idempotency, Idempotency::kIdempotencyKey);
  EXPECT_EQ(config.settings.classes[2].idempotency, Idempotency::kNotIdempotent);
  EXPECT_EQ(config.settings.max_retry_after.count(), 600);
  EXPECT_EQ(config.connect_timeout.count(), 250);
  EXPECT_EQ(config.backend_idle_timeout.count(), 60000);
}

// The platform's file sets how long after a drain new requests may still go to a backend. The proxy doesn't
// use this time (BackendPool::AcceptsRequests), so it accepts any value.
TEST(ConfigTest, TheGracePeriodAfterADrainIsAcceptedAndNotUsed) {
  const std::string with_grace = ConfigJson({});
  EXPECT_EQ(ErrorIn(with_grace), "");
  EXPECT_EQ(ErrorIn(Replaced(with_grace, R"(,"drainGraceMs":500.0)", "")), "");
  EXPECT_EQ(ErrorIn(Replaced(with_grace, R"("drainGraceMs":500.0)", R"("drainGraceMs":null)")), "");
  EXPECT_EQ(ErrorIn(Replaced(with_grace, R"("drainGraceMs":500.0)", R"("drainGraceMs":1)")), "");
}

TEST(ConfigTest, TheEnvironmentOverridesTheFile) {
  const Config config = ParseConfig(ConfigJson({}), [](const char* name) -> const char* {
    return std::string_view(name) == "ROUTER_LISTEN" ? "127.0.0.9:81" : nullptr;
  });
  EXPECT_EQ(config.listen, *ParseAddress("127.0.0.9:81"));
  EXPECT_EQ(config.discovery, *ParseAddress("127.0.0.1:1"));
}

TEST(ConfigTest, ConnectionsStayWithinTheDescriptors) {
  const Config config = TestConfig({}, 1024);
  EXPECT_LT(config.max_clients + config.max_backend_connections, 1024u - 32u);
  EXPECT_LT(TestConfig({}, 100).max_clients + TestConfig({}, 100).max_backend_connections, 100u - 32u);
}

TEST(ConfigTest, ErrorsNameTheFaultInOneLine) {
  const std::string good = ConfigJson({});
  EXPECT_EQ(ErrorIn(good), "");
  const std::pair<std::string, std::string> bad[] = {
      {"{", "JSON"},
      {"{}", "settings"},
      {Replaced(good, "127.0.0.1:0", "localhost"), "ROUTER_LISTEN"},
      {Replaced(good, "00000000000000a5", "xyz"), "seed"},
      {Replaced(good, "read_like", "odd"), "classes.0.effect"},
      {Replaced(good, R"("sockets":1024)", R"("sockets":10)"), "sockets"},
      {Replaced(good, R"("connIdleMs":60000.0)", R"("connIdleMs":"long")"), "connIdleMs"}};
  for (const auto& [text, word] : bad) {
    EXPECT_NE(ErrorIn(text).find(word), std::string::npos) << word << " in: " << ErrorIn(text);
    EXPECT_EQ(ErrorIn(text).find('\n'), std::string::npos);
  }
}

TEST(ConfigTest, AddressesHaveNoHostNames) {
  EXPECT_EQ(ParseAddress("10.1.0.18:8080")->port(), 8080);
  EXPECT_TRUE(ParseAddress("[::1]:80")->address().is_v6());
  for (const char* bad :
       {"", "8080", "10.1.0.18", "10.1.0.18:", "10.1.0.18:99999", "10.1.0.18:80x", "host:80"})
    EXPECT_FALSE(ParseAddress(bad)) << bad;
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
