// SPDX-License-Identifier: Apache-2.0
//
// Tests decoding of endpoint lists and the ids of names.
#include "proxy/endpoint_list_reader.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

class EndpointListReaderTest : public ::testing::Test {
 protected:
  EndpointList Read(const std::string& text) { return reader.Read(boost::json::parse(text)).value(); }

  EndpointListReader reader{TestConfig({})};
};

TEST_F(EndpointListReaderTest, EntriesGetTheDecisionModulesIndices) {
  const EndpointList list =
      Read(ListJson(43, false, {EndpointJson("s-1", "127.0.0.1:81", "Terminating", 3, 1.7e12)}));
  EXPECT_FALSE(list.snapshot);
  EXPECT_EQ(reader.version(), 43u);
  ASSERT_EQ(list.endpoints.size(), 1u);
  const BackendEntry& entry = list.endpoints[0].entry;
  EXPECT_EQ(entry.state, BackendState::kDraining);
  EXPECT_EQ(entry.zone, 1);
  EXPECT_EQ(entry.kind, 0);
  EXPECT_EQ(entry.cell, 3);
  EXPECT_EQ(entry.up_since.time_since_epoch().count(), 1.7e12);
  EXPECT_EQ(list.endpoints[0].address, *ParseAddress("127.0.0.1:81"));
}

TEST_F(EndpointListReaderTest, IdsAreStableForEachNameAndTheSameAtEveryProxy) {
  const EndpointList first =
      Read(ListJson(1, true, {EndpointJson("s-1", "127.0.0.1:81"), EndpointJson("s-2", "127.0.0.1:82")}));
  const EndpointList change = Read(ListJson(2, false, {EndpointJson("s-2", "127.0.0.1:99")}));
  EXPECT_EQ(first.endpoints[1].entry.server, change.endpoints[0].entry.server);
  EXPECT_NE(first.endpoints[0].entry.server, first.endpoints[1].entry.server);
  EndpointListReader other{TestConfig({})};
  const EndpointList elsewhere =
      other.Read(boost::json::parse(ListJson(1, true, {EndpointJson("s-2", "127.0.0.3:1")}))).value();
  EXPECT_EQ(elsewhere.endpoints[0].entry.server, first.endpoints[1].entry.server);
}

// The states of the backends of a list, in its order.
std::vector<BackendState> StatesOf(const EndpointList& list) {
  std::vector<BackendState> states;
  for (const Endpoint& endpoint : list.endpoints) states.push_back(endpoint.entry.state);
  return states;
}

constexpr const char* kAddress = "127.0.0.1:81";
constexpr double kEarlierMs = 1000;
constexpr double kLaterMs = 2000;

// Guards against work at the wrong process: while the list still had one that was gone, requests for it went
// to the new one at its address.
TEST_F(EndpointListReaderTest, ABackendWhoseAddressALaterOneHasIsGone) {
  const auto old = [](const char* status) { return EndpointJson("old", kAddress, status, 1, kEarlierMs); };
  const std::string added = EndpointJson("new", kAddress, "Ready", 2, kLaterMs);
  const EndpointList first = Read(ListJson(1, true, {old("Ready")}));
  const EndpointList change = Read(ListJson(2, false, {added}));
  ASSERT_EQ(StatesOf(change), (std::vector{BackendState::kReady, BackendState::kGone}));
  EXPECT_EQ(change.endpoints[1].name, "old");
  EXPECT_EQ(change.endpoints[1].entry.server, first.endpoints[0].entry.server);
  for (const char* status : {"Ready", "Terminating", "Gone"}) {
    EXPECT_EQ(StatesOf(Read(ListJson(3, false, {old(status)}))), std::vector{BackendState::kGone}) << status;
  }
  EXPECT_EQ(reader.name_count(), 1u);
  EXPECT_EQ(StatesOf(Read(ListJson(4, true, {old("Ready"), added}))),
            (std::vector{BackendState::kGone, BackendState::kReady}));
  EXPECT_EQ(StatesOf(Read(ListJson(5, true, {added, old("Ready")}))),
            (std::vector{BackendState::kReady, BackendState::kGone}));
}

TEST_F(EndpointListReaderTest, AnAddressIsFreeOnceItsBackendIsGoneOrHasMoved) {
  const std::string old = EndpointJson("old", kAddress, "Ready", 1, kEarlierMs);
  const std::string added = EndpointJson("new", kAddress, "Ready", 1, kLaterMs);
  Read(ListJson(1, true, {added}));
  EXPECT_EQ(StatesOf(Read(ListJson(2, true, {old}))), std::vector{BackendState::kReady}) << "not listed";
  Read(ListJson(3, true, {added}));
  Read(ListJson(4, false, {R"({"name":"new","status":"Gone"})"}));
  EXPECT_EQ(StatesOf(Read(ListJson(5, false, {old}))), std::vector{BackendState::kReady}) << "gone";
  Read(ListJson(6, true, {added}));
  Read(ListJson(7, false, {EndpointJson("new", "127.0.0.1:82", "Ready", 1, kLaterMs)}));
  EXPECT_EQ(StatesOf(Read(ListJson(8, false, {old}))), std::vector{BackendState::kReady}) << "moved";
}

TEST_F(EndpointListReaderTest, BackendsThatStartedAtTheSameTimeMayShareAnAddress) {
  const EndpointList list =
      Read(ListJson(1, true, {EndpointJson("a", kAddress), EndpointJson("b", kAddress)}));
  EXPECT_EQ(StatesOf(list), (std::vector{BackendState::kReady, BackendState::kReady}));
}

TEST_F(EndpointListReaderTest, NamesOfGoneBackendsAreRemoved) {
  for (int i = 0; i < 50; ++i) {
    const std::string name = "s-" + std::to_string(i);
    Read(ListJson(2 * i + 1, false, {EndpointJson(name, "127.0.0.1:81")}));
    if (i % 2 == 0) Read(ListJson(2 * i + 2, false, {R"({"name":")" + name + R"(","status":"Gone"})"}));
  }
  EXPECT_EQ(reader.name_count(), 25u);
  const auto again = Read(ListJson(200, true, {EndpointJson("s-0", "127.0.0.1:81")}));
  EXPECT_EQ(reader.name_count(), 1u);
  EndpointListReader other{TestConfig({})};
  EXPECT_EQ(other.Read(boost::json::parse(ListJson(1, true, {EndpointJson("s-0", "127.0.0.1:81")})))
                .value()
                .endpoints[0]
                .entry.server,
            again.endpoints[0].entry.server);
}

TEST_F(EndpointListReaderTest, AGoneEntryNeedsNoAddressAndAnUnknownStatusIsDraining) {
  const auto list = Read(
      R"({"index":2,"snapshot":false,"endpoints":[{"name":"a","status":"Gone"},{"name":"b","status":"New","address":"127.0.0.1:1"}]})");
  EXPECT_EQ(list.endpoints[0].entry.state, BackendState::kGone);
  EXPECT_EQ(list.endpoints[1].entry.state, BackendState::kDraining);
}

TEST_F(EndpointListReaderTest, AnInvalidListIsAnErrorAndChangesNothing) {
  Read(ListJson(5, true, {}));
  for (const char* bad :
       {"[]", "{}", R"({"index":6,"snapshot":true})", R"({"index":6,"snapshot":1,"endpoints":[]})",
        R"({"index":6,"snapshot":true,"endpoints":[{"name":"x","status":"Ready","address":"nowhere"}]})"})
    EXPECT_ANY_THROW(Read(bad)) << bad;
  EXPECT_EQ(reader.version(), 5u);
}

TEST_F(EndpointListReaderTest, ErrorsNameTheFieldAndTheWrongValue) {
  const auto error_in = [&](const char* text) { return reader.Read(boost::json::parse(text)).error(); };
  const EndpointListError missing = error_in(R"({"snapshot":true,"endpoints":[]})");
  EXPECT_EQ(missing.code, EndpointListErrorCode::kInvalidField);
  EXPECT_EQ(missing.where, "index");
  const EndpointListError wrong = error_in(R"({"index":6,"snapshot":1,"endpoints":[]})");
  EXPECT_EQ(wrong.where, "snapshot");
  EXPECT_EQ(wrong.value, "1");
  const EndpointListError address = error_in(
      R"({"index":6,"snapshot":true,"endpoints":[{"name":"x","status":"Ready","address":"nowhere"}]})");
  EXPECT_EQ(address.code, EndpointListErrorCode::kMissingAddress);
  EXPECT_EQ(address.where, "x");
  EXPECT_EQ(address.value, "nowhere");
  EXPECT_EQ(Message(address), R"(endpoint "x" has no address and port: "nowhere")");
}

TEST_F(EndpointListReaderTest, AnErrorIsOneLineWhateverTheListNames) {
  const EndpointListError address =
      reader
          .Read(boost::json::parse(
              R"({"index":6,"snapshot":true,"endpoints":[{"name":"a\nb","status":"Ready","address":"c\nd"}]})"))
          .error();
  EXPECT_EQ(Message(address).find('\n'), std::string::npos) << Message(address);
  const EndpointListError large =
      reader.Read(boost::json::parse(R"({"index":6,"snapshot":true,"endpoints":{"a":[1,2,3]}})")).error();
  EXPECT_EQ(large.value, "an object");
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
