// SPDX-License-Identifier: Apache-2.0
//
// The decision module's names, as the node uses them.
#ifndef BADGERBRIDGE_NODE_MODULE_H_
#define BADGERBRIDGE_NODE_MODULE_H_

#include "fordlb/balancer.h"

namespace badgerbridge::node {

using fordlb::ClassSettings;
using fordlb::Duration;
using fordlb::Effect;
using fordlb::ListKind;
using fordlb::ListUpdate;
using fordlb::Outcome;
using fordlb::RequestId;
using fordlb::ServerEntry;
using fordlb::ServerId;
using fordlb::ServerState;
using fordlb::ServerView;
using fordlb::Settings;
using fordlb::Submit;
using fordlb::TimePoint;

}  // namespace badgerbridge::node

#endif  // BADGERBRIDGE_NODE_MODULE_H_
