// SPDX-License-Identifier: Apache-2.0
//
// A mutation of src/net/socket_state.cpp, of which one function never knows how long data has waited.
// A test program links this file in place of the real one, and its rig must report a deadline that is too
// long.
#define TimeSinceLastDataReceived RealTimeSinceLastDataReceived
#include "net/socket_state.cpp"
#undef TimeSinceLastDataReceived

namespace badgerbridge::net {

std::optional<std::chrono::milliseconds> TimeSinceLastDataReceived(boost::asio::ip::tcp::socket& /*socket*/) {
  return std::nullopt;
}

}  // namespace badgerbridge::net
