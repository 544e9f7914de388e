// SPDX-License-Identifier: Apache-2.0
//
// The open client connections of a listener, and the choice of one to evict.
#ifndef BADGERBRIDGE_PROXY_SESSION_LIST_H_
#define BADGERBRIDGE_PROXY_SESSION_LIST_H_

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

namespace badgerbridge::proxy {

class Session;

/// Sessions ordered by the end of their last answer, earliest first. Shares ownership with the pending
/// handlers of their sockets and timers.
class SessionList {
 public:
  /// List type, in which a session is passed to Append(), so that adding it allocates no memory.
  using Sessions = std::list<std::shared_ptr<Session>>;
  /// Position of a session in the list; valid until the session is removed.
  using Position = Sessions::iterator;

  /// Moves the only session in `session` to the end of the list.
  Position Append(Sessions& session) noexcept;
  /// Removes a session and invalidates its position.
  void Remove(Position position) noexcept { sessions_.erase(position); }
  /// Moves a session to the end, because its answer has ended.
  void MoveToBack(Position position) noexcept { sessions_.splice(sessions_.end(), sessions_, position); }

  /// Number of sessions, including lingering ones.
  std::size_t size() const { return sessions_.size(); }
  /// Whether there is no session, not even a lingering one.
  bool empty() const { return sessions_.empty(); }
  /// Number of sessions that are not lingering.
  std::size_t active() const { return sessions_.size() - lingering_; }
  /// Counts a session that began to linger: it is shut down and waits for its client to close.
  void AddLingering() { ++lingering_; }
  /// Counts the close of a lingering session.
  void RemoveLingering() { --lingering_; }

  /// Evicts one session, if one can be evicted, to make room for another. An idle session is shut down. A
  /// session with an incomplete request is rejected; if the rest has arrived meanwhile it is served instead,
  /// and another session is evicted. A session whose client doesn't read its answer is closed immediately. A
  /// rejected session stays active until its answer has been written, and the descriptor of a session that
  /// was shut down becomes free when the client closes its side or the linger time expires.
  void Evict();
  /// Closes one lingering session, preferably one whose client has received everything.
  void CloseOneLingering();

  /// Whether no session is receiving, serving or answering a request.
  bool AllIdle() const;
  /// A copy of the list, for a loop whose body may remove sessions.
  std::vector<std::shared_ptr<Session>> Snapshot() const { return {sessions_.begin(), sessions_.end()}; }

 private:
  using Predicate = bool (*)(const Session&);

  std::shared_ptr<Session> FindFirst(Predicate matches) const;

  Sessions sessions_;
  std::size_t lingering_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_SESSION_LIST_H_
