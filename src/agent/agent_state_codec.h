// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The stored record of the boot id. Stored times are CLOCK_MONOTONIC values and are valid within one boot
/// only.
#ifndef BADGERBRIDGE_AGENT_AGENT_STATE_CODEC_H_
#define BADGERBRIDGE_AGENT_AGENT_STATE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

namespace badgerbridge::agent {

/// Returns the record as a JSON text.
std::string EncodeBootRecord(const std::string& boot_id);

/// The boot id; nullopt if the text is a record of another kind or malformed.
std::optional<std::string> DecodeBootRecord(std::string_view record);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AGENT_STATE_CODEC_H_
