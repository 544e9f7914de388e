// SPDX-License-Identifier: Apache-2.0

/// @file
/// What the bench simulator sends to the module: batches of records, each for one instance.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_MESSAGES_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::simulator_protocol {

/// Starts an instance of the decision module; one that lives under the same number is replaced.
struct CreateInstance {
  std::uint64_t seed = 0;  ///< Of the instance's random choices.
  std::string config;      ///< The platform's settings, as lines `path=value`.
};

/// Ends an instance at once.
struct CrashInstance {};

/// An event that this module does not use, or whose code it does not know.
struct IgnoredEvent {
  std::uint8_t code = 0;       ///< The code on the wire.
  bool is_known_code = false;  ///< The protocol defines the code.
};

/// What one record says.
using InstanceMessage = std::variant<CreateInstance, CrashInstance, IgnoredEvent, balancer::Event>;

/// One record of a batch.
struct Record {
  std::uint32_t instance = 0;  ///< The instance that it is for; 0 where the code is not known.
  InstanceMessage message;     ///< What it says.
};

/// The records of one frame, which all happen at one moment.
struct Batch {
  balancer::TimePoint now{};    ///< The simulator's time.
  std::vector<Record> records;  ///< In the order of the frame.
};

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_MESSAGES_H_
