// SPDX-License-Identifier: Apache-2.0
//
// Prevents a read timeout from closing a connection whose data arrived in time, after the process was not
// scheduled for a while.
#ifndef BADGERBRIDGE_NET_READ_TIMEOUT_GRACE_H_
#define BADGERBRIDGE_NET_READ_TIMEOUT_GRACE_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "net/socket_state.h"

namespace badgerbridge::net {

/// A bounded extension of a read timeout. The handler of the read timer calls ShouldPostpone() before it
/// closes the connection, which must always have a read pending. Not thread-safe.
///
/// Asio takes at most 128 ready descriptors from the system in one iteration of the event loop, and runs
/// the handlers of expired timers after them. With more descriptors ready, as after a pause of the process,
/// the timer's handler runs before the handler that would read the data that arrived in time.
class ReadTimeoutGrace {
 public:
  /// The delay before a postponed timeout is checked again.
  static constexpr std::chrono::milliseconds kRecheckInterval{1};

  /// True if the socket has unread bytes; the caller then checks again after kRecheckInterval. After
  /// kMaxPostponements consecutive calls it returns false once, so that the timeout also applies to a peer
  /// that never stops sending.
  bool ShouldPostpone(const boost::asio::ip::tcp::socket& socket) {
    if (postponements_ < kMaxPostponements && UnreadBytes(socket) > 0) {
      ++postponements_;
      return true;
    }
    postponements_ = 0;
    return false;
  }

 private:
  static constexpr int kMaxPostponements = 20;  // loop iterations; each handles 128 descriptors

  int postponements_ = 0;  // consecutive
};

}  // namespace badgerbridge::net

#endif  // BADGERBRIDGE_NET_READ_TIMEOUT_GRACE_H_
