// SPDX-License-Identifier: Apache-2.0
//
// A proxy's configuration, read whole: time and memory by the number of tenants. Routes and services have no
// place in it today.
#include "slopes_configuration.h"

#include "allocations.h"
#include "badgerbridge/balancer.h"
#include "slopes.h"
#include "slopes_names.h"

namespace badgerbridge::bench {
namespace {

constexpr int kSizes[] = {1000, 3000, 10000, 30000, 65536};
constexpr int kRepetitions = 3;

const char* NoEnvironment(const char*) { return nullptr; }

std::string ClassText(const char* name, const char* effect) {
  return std::string(R"({"name":")") + name + R"(","effect":")" + effect +
         R"(","group":"cell","windowMs":10000.0,"goalTimeMs":500.0,"deadlineMs":1500.0,"worth":1.0})";
}

bool Refused(int tenants) {
  try {
    ConfigurationOf(tenants);
    return false;
  } catch (const proxy::BadConfig&) {
    return true;
  }
}

}  // namespace

std::string ConfigurationText(int tenants) {
  std::string text = R"({"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"a5",)"
                     R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"balancers":)" +
                     std::to_string(kProxies) + R"(,"me":0,"zone":0,"zones":[)";
  for (int zone = 0; zone < kZones; ++zone) text += (zone ? ",\"" : "\"") + ZoneName(zone) + "\"";
  text += R"(],"kinds":["standard"],"periodMs":5.0,"registryMode":"push","tenants":[)";
  for (int i = 0; i < tenants; ++i) {
    text += (i ? "," : "") + std::string(R"({"name":"account-)") + std::to_string(100000 + i) +
            R"(","fraction":0.0000014,"quotaPerS":4.5})";
  }
  return text + R"(],"classes":[)" + ClassText("preview", "read_like") + "," +
         ClassText("convert", "idempotency_key") + "," + ClassText("certify", "non_idempotent") +
         R"(],"permissions":{"maxAttempts":4,"connectTimeoutMs":250.0,"connIdleMs":60000.0,"retryAfter":true,)"
         R"("maxRetryAfterMs":600.0},"rules":{"coldFrom":0.2,"warmUpMs":24000.0,"fallMultiple":2.5,)"
         R"("overloadForMs":3000.0,"drainGraceMs":500.0}}})";
}

proxy::Config ConfigurationOf(int tenants) {
  return proxy::ParseConfig(ConfigurationText(tenants), NoEnvironment);
}

void MeasureConfiguration(Report& report) {
  Series size("configuration: its text", "bytes", "tenants");
  Series time("configuration: read whole, CPU in one event", "ms", "tenants");
  Series memory("configuration: memory once read", "bytes", "tenants");
  Series peak("configuration: memory while it is read, at its peak, without the text", "bytes", "tenants");
  Series module("module: memory of its tenants", "bytes", "tenants");
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    for (const int tenants : kSizes) {
      const std::string text = ConfigurationText(tenants);
      size.Add(tenants, static_cast<double>(text.size()));
      const std::size_t live = LiveBytes();
      ResetPeak();
      const double before = ThreadCpuMs();
      const proxy::Config config = proxy::ParseConfig(text, NoEnvironment);
      time.Add(tenants, ThreadCpuMs() - before);
      memory.Add(tenants, static_cast<double>(LiveBytes() - live));
      peak.Add(tenants, static_cast<double>(PeakBytes() - live));
      report.checks.Expect(config.settings.tenants.size() == static_cast<std::size_t>(tenants),
                           "configuration: tenants are missing");
      const std::size_t without = LiveBytes();
      const balancer::Balancer balancer(config.settings, 1);
      module.Add(tenants, static_cast<double>(LiveBytes() - without));
    }
  }
  report.Fit(size, "configuration_bytes_per_tenant");
  report.Fit(time, "configuration_ms_per_tenant");
  report.Fit(memory, "configuration_held_bytes_per_tenant");
  report.Fit(peak, "configuration_peak_bytes_per_tenant");
  report.Fit(module, "module_bytes_per_tenant");
  report.Figure("configuration_takes_710000", Refused(kTenants) ? 0 : 1,
                "configuration: takes 710,000 tenants (1) or refuses them (0)");
  const double reads_per_second = 33000.0 / 86400;
  report.Figure("account_requests_per_second", kProxies * kRequestsPerSecond / kTenants,
                "accounts, worked out: requests a second of a mean tenant over all proxies");
  report.Figure("account_share_requests_per_second", kRequestsPerSecond / kTenants,
                "accounts, worked out: the same, divided evenly by 3,400 proxies");
  report.Figure("configuration_changes_per_second", reads_per_second,
                "configuration, worked out: 33,000 changes a day, a second");
}

}  // namespace badgerbridge::bench
