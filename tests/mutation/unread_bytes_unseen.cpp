// SPDX-License-Identifier: Apache-2.0
//
// A mutation of src/net/socket_state.cpp, of which one function sees no unread bytes. A test program
// links this file in place of the real one, and its rig must report a loss.
#define UnreadBytes RealUnreadBytes
#include "net/socket_state.cpp"
#undef UnreadBytes

namespace badgerbridge::net {

std::size_t UnreadBytes(const boost::asio::ip::tcp::socket& /*socket*/) { return 0; }

}  // namespace badgerbridge::net
