// SPDX-License-Identifier: Apache-2.0
//
// A mutation of src/net/socket_state.cpp, of which one function never sees that the peer has closed. A
// test program links this file in place of the real one, and its rig must report an attempt that begins too
// late.
#define PeerHasClosed RealPeerHasClosed
#include "net/socket_state.cpp"
#undef PeerHasClosed

namespace badgerbridge::net {

bool PeerHasClosed(boost::asio::ip::tcp::socket& /*socket*/) { return false; }

}  // namespace badgerbridge::net
