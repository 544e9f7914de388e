// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The format of the state file: a journal of batches, one line each, "crc32 length json\n". The JSON is an
/// array of records; the checksum is the CRC-32 (IEEE 802.3) of the JSON in hexadecimal. Works on byte
/// strings without I/O.
#ifndef BADGERBRIDGE_AGENT_STORE_CODEC_H_
#define BADGERBRIDGE_AGENT_STORE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace badgerbridge::agent {

/// A batch within the text of a state file.
struct BatchView {
  std::string_view json;  ///< array of records; refers to the text
  std::size_t size = 0;   ///< bytes of the batch, including its line end
};

/// The line of one batch, including its line end. The records are JSON texts.
std::string EncodeBatch(const std::vector<std::string>& records);

/// The batch at the beginning of the text; nullopt if it is incomplete or its checksum is wrong.
std::optional<BatchView> FindBatch(std::string_view text);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STORE_CODEC_H_
