// SPDX-License-Identifier: Apache-2.0
//
// Frames of the simulator's wire: little-endian, packed. Reads batches of events, writes replies of actions.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_CODEC_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_CODEC_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::simulator_protocol {

using namespace balancer;  // the wire is the module's interface in bytes

// The input breaks the framing or a field; what() is one line.
class MalformedInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Create {
  std::uint64_t seed = 0;
  std::string config;
};
struct Crash {};
struct Unknown {  // an event of no use here, or of a code that this build does not know
  std::uint8_t code = 0;
  bool known_code = false;
};
using Message = std::variant<Create, Crash, Unknown, Event>;

struct Record {
  std::uint32_t instance = 0;
  Message message;
};

struct Batch {
  TimePoint now{};
  std::vector<Record> records;
};

// Reads one frame. Nothing at the end of input between frames; throws MalformedInput otherwise.
std::optional<Batch> ReadBatch(std::istream& in);

// Decodes the body of a frame: `count` records filling `body`.
Batch DecodeBatch(TimePoint now, std::uint32_t count, std::string_view body);

class ReplyWriter {
 public:
  void Add(std::uint32_t instance, const Action& action);
  void AddInternalError(std::uint32_t instance, std::string_view text);
  std::string Take();  // the whole frame; the writer is empty again

 private:
  std::string body_;
};

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_CODEC_H_
