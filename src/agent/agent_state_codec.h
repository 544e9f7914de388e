// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The record of the boot whose clock the stored times are of.
#ifndef BADGERBRIDGE_AGENT_AGENT_STATE_CODEC_H_
#define BADGERBRIDGE_AGENT_AGENT_STATE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

namespace badgerbridge::agent {

/// The record of a boot id.
std::string EncodeBootRecord(const std::string& boot_id);

/// The boot id; nothing if the record is another one, or none.
std::optional<std::string> DecodeBootRecord(std::string_view record);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AGENT_STATE_CODEC_H_
