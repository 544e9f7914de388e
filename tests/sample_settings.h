// SPDX-License-Identifier: Apache-2.0
//
// Sample settings in the format written by the platform.
#ifndef BADGERBRIDGE_TESTS_SAMPLE_SETTINGS_H_
#define BADGERBRIDGE_TESTS_SAMPLE_SETTINGS_H_

namespace badgerbridge::balancer::testing {

/// Settings with two classes and one tenant, one `key=value` per line.
inline constexpr char kSampleSettings[] = R"(
balancers=2
classes.count=2
classes.0.deadlineMs=1200.0
classes.0.effect=read_like
classes.0.goalTimeMs=300.0
classes.0.lateWorth=0.3
classes.0.worth=5.0
classes.1.deadlineMs=750.0
classes.1.effect=idempotency_key
classes.1.goalTimeMs=250.0
classes.1.group=cell
classes.1.lateWorth=0.5
classes.1.windowMs=750.0
classes.1.worth=10.0
overShareWorth=0.2
periodMs=5.0
permissions.maxAttempts=4
permissions.maxRetryAfterMs=600.0
permissions.parallelTries=false
permissions.retryAfter=true
registryMode=ask
report.fields=errors_per_s,outstanding,novelty
report.how=inline
rules.coldFrom=0.35
rules.fallMultiple=3.0
rules.mustAskInMs=10000.0
rules.overloadForMs=1500.0
rules.warmUpMs=8800.0
specifics.warmKeys=true
tenants.count=1
tenants.0.fraction=0.21
tenants.0.quotaPerS=57.0
zone=0
)";

}  // namespace badgerbridge::balancer::testing

#endif  // BADGERBRIDGE_TESTS_SAMPLE_SETTINGS_H_
