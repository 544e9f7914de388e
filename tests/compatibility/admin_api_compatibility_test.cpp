// SPDX-License-Identifier: Apache-2.0
//
/// A proxy's control API: paths, status codes, and the form of each answer.
#include <gtest/gtest.h>

#include <chrono>

#include "compatibility/golden_file.h"
#include "compatibility/installation.h"
#include "standins/clients.h"

namespace badgerbridge::compatibility {
namespace {

double UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

TEST(AdminApiCompatibility, EachCallHasTheStatusAndFormOfBefore) {
  Installation installation;
  installation.Start();
  std::string text;
  text += installation.ProxyAnswer("n1", "GET", "/v1/status");
  text += installation.ProxyAnswer("n1", "GET", "/v1/converters");
  text += installation.ProxyAnswer("n1", "GET", "/v1/members");
  text += installation.ProxyAnswer("n1", "GET", "/v1/zones", "", "zones[].share: null");
  text += installation.ProxyAnswer("n1", "POST", "/v1/members/release", "{}");
  text += installation.ProxyAnswer("n1", "POST", "/v1/drain", R"({"deadline_ms":60000})");
  text += installation.ProxyAnswer("n1", "GET", "/v1/status", "", "state = \"drained\"");
  text += installation.ProxyAnswer("n1", "POST", "/v1/undrain", "{}");
  text += installation.ProxyAnswer("n1", "POST", "/v1/drain");
  text += installation.ProxyAnswer("n1", "POST", "/v1/undrain", "{}");
  text += installation.ProxyAnswer("n1", "POST", "/v1/drain", R"({"deadline":60000})");
  text += installation.ProxyAnswer("n1", "POST", "/v1/status");
  text += installation.ProxyAnswer("n1", "GET", "/v1/nothing");
  text += installation.ProxyAnswer("n1", "POST", "/v1/stop", "{}");
  EXPECT_TRUE(MatchesGoldenFile("admin_api/calls.txt", text));
}

/// Proxy n1's answer about its backends, once it has a line that begins with `field`.
void ExpectInBackends(Installation& installation, const std::string& field) {
  const std::string answer = installation.ProxyAnswer("n1", "GET", "/v1/converters", "", field);
  EXPECT_TRUE(HasField(answer, field)) << "no " << field << " in\n" << answer;
}

TEST(AdminApiCompatibility, BackendsWithFaultsHaveTheFieldsAndWordsOfBefore) {
  Installation installation;
  installation.Start();
  standins::Clients clients(installation.io(), installation.site().addresses(), {});
  ASSERT_TRUE(installation.site().Until([&] { return clients.ready() == 2; }));
  installation.site().backends()[0]->Inject(standins::Fault::kError, -1);
  clients.Start();
  ExpectInBackends(installation, "converters[].ejected_for_ms: number");
  ExpectInBackends(installation, "converters[].health = \"ejected\"");
  installation.site().backends()[2]->Inject(standins::Fault::kSilent, -1);
  ExpectInBackends(installation, "converters[].health = \"silent\"");
  clients.Stop();
  ASSERT_TRUE(installation.site().Until([&] { return clients.Done(); }));
  installation.RegisterBackend(1, UnixMs());
  ExpectInBackends(installation, "converters[].cold_budget.work_ms: number");
  ExpectInBackends(installation, "converters[].cold_budget.sent_ms: number");
  const standins::CommandResult drained =
      installation.site().Ctl({"members", "drain", "c-2", "--etcd", installation.etcd_address()});
  EXPECT_EQ(drained.code, 0) << drained.err;
  ExpectInBackends(installation, "converters[].status = \"draining\"");
}

}  // namespace
}  // namespace badgerbridge::compatibility
