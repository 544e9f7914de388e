// SPDX-License-Identifier: Apache-2.0
#include "proxy/session_list.h"

#include <algorithm>
#include <iterator>

#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace {

constexpr Duration kSafeIdleTime{2000};  // no request of this client can still be in transit

struct EvictionRule {
  bool (*applies)(const Session&);
  void (Session::*evict)() noexcept;
};

// Tried in this order.
constexpr EvictionRule kEvictionRules[] = {
    {[](const Session& session) { return session.HasBeenIdleFor(kSafeIdleTime); }, &Session::ShutdownIfIdle},
    {[](const Session& session) { return session.HasSentNothing(); }, &Session::ShutdownIfIdle},
    {[](const Session& session) { return session.IsSlowToSend(); }, &Session::RejectPartialRequest},
    {[](const Session& session) { return session.HasBeenIdleFor(Duration(0)); }, &Session::ShutdownIfIdle},
    {[](const Session& session) { return session.IsSlowToRead(); }, &Session::Close},
};

}  // namespace

SessionList::Position SessionList::Append(Sessions& session) noexcept {
  sessions_.splice(sessions_.end(), session);
  return std::prev(sessions_.end());
}

std::shared_ptr<Session> SessionList::FindFirst(Predicate matches) const {
  const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                  [&](const auto& session) { return matches(*session); });
  return found == sessions_.end() ? nullptr : *found;
}

// An eviction can fail because input has arrived since the rule was checked; the session then serves a
// request or has unread input, so the rule no longer applies to it.
void SessionList::Evict() {
  for (const EvictionRule& rule : kEvictionRules) {
    while (const std::shared_ptr<Session> session = FindFirst(rule.applies)) {
      (session.get()->*rule.evict)();
      if (session->IsEnding()) return;
    }
  }
}

void SessionList::CloseOneLingering() {
  std::shared_ptr<Session> session =
      FindFirst([](const Session& candidate) { return candidate.CanCloseWithoutLoss(); });
  if (!session) session = FindFirst([](const Session& candidate) { return candidate.is_lingering(); });
  if (session) session->Close();
}

bool SessionList::AllIdle() const {
  return std::all_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return session->IsIdle(); });
}

}  // namespace badgerbridge::proxy
