// SPDX-License-Identifier: Apache-2.0

/// @file
/// Writes replies to the bench simulator's wire: frames of actions, little-endian, packed.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_REPLY_WRITER_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_REPLY_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "badgerbridge/balancer.h"

namespace badgerbridge::simulator_protocol {

/// Collects the records of one reply.
class ReplyWriter {
 public:
  /// Adds an action of an instance.
  void Add(std::uint32_t instance, const balancer::Action& action);

  /// Adds that an instance could not be created. `text` is one line for people; 65,535 bytes of it are sent.
  void AddInternalError(std::uint32_t instance, std::string_view text);

  /// The whole frame; the writer is empty again.
  std::string TakeFrame();

 private:
  std::string body_;
};

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_REPLY_WRITER_H_
