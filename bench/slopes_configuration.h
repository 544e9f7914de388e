// SPDX-License-Identifier: Apache-2.0
//
// A proxy's JSON configuration with any number of tenants.
#ifndef BADGERBRIDGE_BENCH_SLOPES_CONFIGURATION_H_
#define BADGERBRIDGE_BENCH_SLOPES_CONFIGURATION_H_

#include <string>

#include "proxy/config.h"

namespace badgerbridge::bench {

std::string ConfigurationText(int tenants);
proxy::Config ConfigurationOf(int tenants);

}  // namespace badgerbridge::bench

#endif  // BADGERBRIDGE_BENCH_SLOPES_CONFIGURATION_H_
