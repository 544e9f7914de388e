// SPDX-License-Identifier: Apache-2.0
//
// Keeps a read timeout from ending a connection whose data arrived in time, in a process that was not
// scheduled for a while.
#ifndef BADGERBRIDGE_NET_READ_TIMEOUT_GRACE_H_
#define BADGERBRIDGE_NET_READ_TIMEOUT_GRACE_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "net/socket_state.h"

namespace badgerbridge::net {

/// A bounded extension of a read timeout. The handler of the timer that ends the wait for a peer's data asks
/// it first, on a connection that always has a read pending. Not thread-safe.
///
/// Asio takes at most 128 ready descriptors from the system in one turn of the event loop, and runs the
/// handlers of expired timers after them. With more descriptors ready, as after a pause of the process, the
/// timer's handler runs before the handler that would read what arrived in time.
class ReadTimeoutGrace {
 public:
  /// The time after which a postponed timeout is checked again.
  static constexpr std::chrono::milliseconds kRecheckInterval{1};

  /// True if the socket has unread bytes: the caller checks again after kRecheckInterval. After
  /// kMaxPostponements in a row it is false once, so that a peer that sends without end is subject to the
  /// timeout too.
  bool ShouldPostpone(const boost::asio::ip::tcp::socket& socket) {
    if (postponements_ < kMaxPostponements && UnreadBytes(socket) > 0) {
      ++postponements_;
      return true;
    }
    postponements_ = 0;
    return false;
  }

 private:
  static constexpr int kMaxPostponements = 20;  // turns of the loop; each handles 128 descriptors

  int postponements_ = 0;  // in a row
};

}  // namespace badgerbridge::net

#endif  // BADGERBRIDGE_NET_READ_TIMEOUT_GRACE_H_
