// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge_drill: the decision module on the bench simulator's wire, over standard input and output. Exit
// codes: 0 the input ended between frames; 1 it could not be read, with a line on standard error.
#include <exception>
#include <iostream>

#include "simulator_protocol/decoder.h"
#include "simulator_protocol/instance_host.h"

namespace {

namespace protocol = badgerbridge::simulator_protocol;

int Fail(std::string_view message) {
  std::cerr << "badgerbridge_drill: " << message << '\n';
  return 1;
}

int ServeInput() {
  protocol::InstanceHost host(std::cerr);
  for (;;) {
    const auto batch = protocol::ReadBatch(std::cin);
    if (!batch) return Fail(protocol::Message(batch.error()));
    if (!batch->has_value()) return 0;
    std::cout << host.Handle(**batch) << std::flush;
  }
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    return ServeInput();
  } catch (const std::exception& error) {
    return Fail(error.what());
  }
}
