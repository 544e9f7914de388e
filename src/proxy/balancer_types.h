// SPDX-License-Identifier: Apache-2.0
//
// The types of the decision module (include/badgerbridge/balancer.h) that the proxy uses.
#ifndef BADGERBRIDGE_PROXY_BALANCER_TYPES_H_
#define BADGERBRIDGE_PROXY_BALANCER_TYPES_H_

#include "badgerbridge/balancer.h"

namespace badgerbridge::proxy {

using balancer::BackendEntry;
using balancer::BackendId;
using balancer::BackendState;
using balancer::BackendView;
using balancer::ClassSettings;
using balancer::Duration;
using balancer::EndpointListKind;
using balancer::EndpointListUpdate;
using balancer::Idempotency;
using balancer::Outcome;
using balancer::RequestId;
using balancer::Settings;
using balancer::Submit;
using balancer::TimePoint;

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_BALANCER_TYPES_H_
