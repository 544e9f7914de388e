// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The form of the state file: a journal of batches, one line each, "crc32 length json\n". The JSON is an
/// array of records; the checksum is CRC-32 (IEEE 802.3) of the JSON, in hexadecimal. Functions of bytes
/// alone.
#ifndef BADGERBRIDGE_AGENT_STORE_CODEC_H_
#define BADGERBRIDGE_AGENT_STORE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace badgerbridge::agent {

/// A batch found in the text of a state file.
struct BatchView {
  std::string_view json;  ///< the array of records, a part of the text
  std::size_t size = 0;   ///< bytes of the whole batch, with its line end
};

/// The line of one batch. The records are JSON texts.
std::string EncodeBatch(const std::vector<std::string>& records);

/// The batch at the beginning of the text; nothing if there is no complete one with a correct checksum.
std::optional<BatchView> FindBatch(std::string_view text);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STORE_CODEC_H_
