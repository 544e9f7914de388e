// SPDX-License-Identifier: Apache-2.0
//
// What a play is judged by.
#include "proxy/session_play.h"
#include "proxy/session_play_times.h"

namespace badgerbridge::proxy::testing {

void SessionPlay::CheckClient(const Client& client) {
  const auto answers = AnswersIn(client.received);
  if (client.unread_at_reset && !HadTimeToRead(client))
    Report(&RuleViolations::lost, "a reset came ahead of the client's reading its answer");
  if (answers.size() > client.requests.size()) Report(&RuleViolations::lost, "more answers than requests");
  if (client.request_at && client.read_end && !MayBeRefused(client, true))
    Report(&RuleViolations::lost, "a young connection was ended before its request came");
  for (std::size_t i = 0; i < answers.size() && i < client.requests.size(); ++i) {
    const Request& request = client.requests[i];
    const auto& [status, body] = answers[i];
    if (status == 200 && body != BodyFor(request.id))
      Report(&RuleViolations::lost, "an answer that no backend made for the request");
    if (status == 408 && TimedOutTooEarly(client, request))
      Report(&RuleViolations::lost, "a request was timed out while its client was still in time");
    if (request.unsafe && request.attempts > 0 && (status == 503 || status == 429))
      Report(&RuleViolations::twice, "an unsafe request was sent and rejected");
  }
  for (std::size_t i = answers.size(); i < client.requests.size(); ++i) {
    const Request& request = client.requests[i];
    if (client.left) continue;                        // it is owed no answer any more
    if (!request.written && !client.reset) continue;  // half a request is none
    if (request.after_close || ReadsTooSlowly(client)) continue;
    CheckUnanswered(client, request, answers.size());
  }
}

// It has not been answered, and is owed an answer unless it crossed the end of its connection.
void SessionPlay::CheckUnanswered(const Client& client, const Request& request, std::size_t answers) {
  if (!client.read_end) return Report(&RuleViolations::lost, "neither an answer nor an end");
  const bool read = watch_.BytesReadFrom(client.endpoint) > request.begin;
  // Those behind the first that was not answered crossed the end with it, if it did.
  const bool was_idle = answers > 0 && !client.requests[answers].behind_another;
  if (!read && was_idle) {
    if (request.attempts > 0)
      Report(&RuleViolations::twice, "a request was sent that its client will send again");
    return;
  }
  if (!read && answers == 0 && MayBeRefused(client, client.requests.front().after_end)) return;
  std::string how = "on a new connection";
  if (answers > 0) how = was_idle ? "idle" : "behind another";
  how += read ? ", read" : ", unread";
  if (request.after_end) how += ", written after the end could be seen";
  Report(&RuleViolations::lost, "no answer: " + how);
}

// It has had more time to read its answer, after the end of its connection, than a client needs.
bool SessionPlay::HadTimeToRead(const Client& client) const {
  return ReadsTooSlowly(client) ||
         (client.ended && client.reset_at && *client.reset_at - *client.ended >= kLinger);
}

// A client has 2.2 s for a request from its first byte on a connection that was at rest, and from the connect
// on a new one; less at the limit of clients and at the stop.
bool SessionPlay::TimedOutTooEarly(const Client& client, const Request& request) const {
  if (limited_ || terminated_ || !client.ended) return false;
  const bool first = &request == &client.requests.front();
  return *client.ended - (first ? client.connected : request.begun_writing) < kKeepAlive;
}

// It has not read its answer for longer than any deadline, or, at the limit of clients, for longer than its
// own and than a usual client needs.
bool SessionPlay::ReadsTooSlowly(const Client& client) const {
  if (plan_.state != SessionState::kAnswering || !client.ended) return false;
  return *client.ended - reached_ >= (limited_ ? kTypicalRead : kWriteTimeout);
}

// A young connection that was ended before its request came, `after_end`: as far as its client can tell.
bool SessionPlay::MayBeRefused(const Client& client, bool after_end) const {
  if (!after_end || !client.ended) return false;
  if (limited_ || *client.ended - client.connected >= kKeepAlive) return true;
  return terminated_ && *client.ended - *terminated_ >= kTermToRefusal;
}

void SessionPlay::Report(int RuleViolations::*rule, const std::string& what) {
  ++(result_.found.*rule);
  result_.violations += Describe(plan_) + ": " + what + "\n";
}

}  // namespace badgerbridge::proxy::testing
