// SPDX-License-Identifier: Apache-2.0

/// @file
/// The codes and sizes of the bench simulator's wire. The comments give the wire's own words.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_WIRE_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_WIRE_H_

#include <bit>
#include <cstddef>
#include <cstdint>

namespace badgerbridge::simulator_protocol {

static_assert(std::endian::native == std::endian::little,
              "the wire is little-endian; fields are copied as is");

/// Codes of records that the simulator sends.
enum EventCode : std::uint8_t {
  kCreateInstanceCode = 16,
  kEndpointListCode = 17,  ///< discovery
  kSubmitCode = 18,
  kStreamStartedCode = 19,  ///< opened
  kAttemptEndedCode = 20,
  kClientDisconnectedCode = 21,  ///< aborted
  kTimerFiredCode = 22,          ///< elapsed
  kProbeEndedCode = 23,          ///< probed
  kGossipCode = 24,              ///< heard
  kCrashInstanceCode = 25,
};

/// Codes of records that the module sends back.
enum ActionCode : std::uint8_t {
  kFailRequestCode = 16,    ///< abort
  kCancelAttemptCode = 17,  ///< abandon
  kSubscribeCode = 18,      ///< stream changes
  kRejectCode = 20,         ///< say no
  kInternalErrorCode = 21,
  kLogCode = 22,       ///< record
  kSetTimerCode = 25,  ///< wake me
  kDispatchCode = 27,
};

/// One entry of an endpoint list.
constexpr std::size_t kEndpointEntryBytes = 23;
/// The header of a frame: time (8), length of count and records (4), count of records (4).
constexpr std::size_t kFrameHeaderBytes = 16;

/// Flags of a submitted request.
constexpr std::uint16_t kWorkHintFlag = 1;
constexpr std::uint16_t kClientRetryFlag = 2;  ///< The client has sent it before.

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_WIRE_H_
