// SPDX-License-Identifier: Apache-2.0
//
// The open client connections of a listener, and which of them is evicted for another.
#ifndef BADGERBRIDGE_PROXY_SESSION_LIST_H_
#define BADGERBRIDGE_PROXY_SESSION_LIST_H_

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

namespace badgerbridge::proxy {

class Session;

/// Sessions in the order in which their last answers ended, the earliest first. Shares their ownership with
/// the handlers that wait for their sockets and timers.
class SessionList {
 public:
  /// The form in which a session is added, so that adding it needs no memory.
  using Sessions = std::list<std::shared_ptr<Session>>;
  /// Of a session in the list; valid until it is removed.
  using Position = Sessions::iterator;

  /// Moves the one session of `session` to the end of the list.
  Position Append(Sessions& session) noexcept;
  /// Removes a session.
  void Remove(Position position) noexcept { sessions_.erase(position); }
  /// Moves a session whose answer has ended to the end.
  void MoveToBack(Position position) noexcept { sessions_.splice(sessions_.end(), sessions_, position); }

  /// All sessions, lingering ones included.
  std::size_t size() const { return sessions_.size(); }
  /// Whether there is none.
  bool empty() const { return sessions_.empty(); }
  /// The sessions that are not lingering.
  std::size_t active() const { return sessions_.size() - lingering_; }
  /// Counts a session that has begun to linger: it was shut down, and waits for its client to close.
  void AddLingering() { ++lingering_; }
  /// Counts a lingering session that has been closed.
  void RemoveLingering() { --lingering_; }

  /// Ends one session that can be spared, to make room for another. An idle one is shut down, and one with an
  /// incomplete request is answered first (or served, if the rest has come meanwhile): their descriptors
  /// become free when the client closes its side, or the linger time is over. One that does not read its
  /// answer is closed at once. False if none can be spared.
  bool Evict();
  /// Closes one lingering session, preferably one from which the close takes nothing away.
  void CloseOneLingering();

  /// Whether no session has a request that is open or on its way in.
  bool AllIdle() const;
  /// All sessions, for a loop whose body may remove some.
  std::vector<std::shared_ptr<Session>> Snapshot() const { return {sessions_.begin(), sessions_.end()}; }

 private:
  using Predicate = bool (*)(const Session&);

  std::shared_ptr<Session> FindFirst(Predicate matches) const;

  Sessions sessions_;
  std::size_t lingering_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_SESSION_LIST_H_
