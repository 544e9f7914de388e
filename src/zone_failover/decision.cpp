// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/decision.h"

#include <algorithm>

namespace badgerbridge::zone_failover {

Matrix GrantsPerMember(const Decision& decision) {
  Matrix grants = decision.grants;
  for (std::size_t origin = 0; origin < grants.zones(); ++origin) {
    for (std::size_t receiver = 0; receiver < grants.zones(); ++receiver) {
      double& grant = grants.at(origin, receiver);
      if (grant != kUnlimited) grant /= std::max(1, decision.zones[origin].members);
    }
  }
  return grants;
}

}  // namespace badgerbridge::zone_failover
