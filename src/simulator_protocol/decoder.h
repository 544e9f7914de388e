// SPDX-License-Identifier: Apache-2.0

/// @file
/// Reads batches of events from the bench simulator's wire: little-endian, packed.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_DECODER_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_DECODER_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string_view>

#include "simulator_protocol/error.h"
#include "simulator_protocol/messages.h"

namespace badgerbridge::simulator_protocol {

/// Reads one frame, and blocks until it is complete. No value in the result: the input has ended between
/// frames. After an error the stream stands at no defined place.
DecodeResult<std::optional<Batch>> ReadBatch(std::istream& input);

/// Decodes the body of a frame: `count` records, which must fill `body`. Records of an unknown code are
/// skipped by their length; known ones may have more fields at their end than are read here.
DecodeResult<Batch> DecodeBatch(balancer::TimePoint now, std::uint32_t count, std::string_view body);

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_DECODER_H_
