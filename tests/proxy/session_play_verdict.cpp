// SPDX-License-Identifier: Apache-2.0
//
// Checks of the result of a run.
#include "proxy/session_play.h"
#include "proxy/session_play_times.h"

namespace badgerbridge::proxy::testing {

void SessionScenarioRun::CheckClient(const Client& client) {
  const auto answers = AnswersIn(client.received);
  if (client.unread_at_reset && !HadTimeToRead(client))
    Report(&RuleViolations::lost, "a reset arrived before the client could read its answer");
  if (answers.size() > client.requests.size()) Report(&RuleViolations::lost, "more answers than requests");
  if (client.request_at && client.read_end && !MayBeRefused(client, true))
    Report(&RuleViolations::lost, "a new connection was closed before its request arrived");
  for (std::size_t i = 0; i < answers.size() && i < client.requests.size(); ++i) {
    const Request& request = client.requests[i];
    const auto& [status, body] = answers[i];
    if (status == 200 && body != BodyFor(request.id))
      Report(&RuleViolations::lost, "an answer that doesn't belong to the request");
    if (status == 408 && TimedOutTooEarly(client, request))
      Report(&RuleViolations::lost, "a request timed out before its time limit");
    if (request.not_idempotent && request.attempts > 0 && (status == 503 || status == 429))
      Report(&RuleViolations::twice, "a request that is not idempotent was sent and then rejected");
  }
  for (std::size_t i = answers.size(); i < client.requests.size(); ++i) {
    const Request& request = client.requests[i];
    if (client.disconnected_at) continue;                // it needs no answer any more
    if (!request.written_at && !client.reset) continue;  // an incomplete request needs no answer
    if (request.after_close_announced || ReadsTooSlowly(client)) continue;
    CheckUnanswered(client, request, answers.size());
  }
}

// Checks a request without an answer, which is a violation unless the request crossed the close of its
// connection.
void SessionScenarioRun::CheckUnanswered(const Client& client, const Request& request, std::size_t answers) {
  if (!client.read_end) return Report(&RuleViolations::lost, "neither an answer nor a close");
  const bool read = watch_.BytesReadFrom(client.endpoint) > request.begin;
  // Requests after the first unanswered one crossed the close if that one did.
  const bool was_idle = answers > 0 && !client.requests[answers].is_pipelined;
  if (!read && was_idle) {
    if (request.attempts > 0)
      Report(&RuleViolations::twice, "a request was forwarded although its client will retry it");
    return;
  }
  if (!read && answers == 0 && MayBeRefused(client, client.requests.front().written_after_end)) return;
  std::string how = "on a new connection";
  if (answers > 0) how = was_idle ? "idle" : "pipelined";
  how += read ? ", read" : ", unread";
  if (request.written_after_end) how += ", written after the close could be detected";
  Report(&RuleViolations::lost, "no answer: " + how);
}

// Whether the client had more time to read its answer, after the close, than a client needs.
bool SessionScenarioRun::HadTimeToRead(const Client& client) const {
  return ReadsTooSlowly(client) ||
         (client.ended_at && client.reset_at && *client.reset_at - *client.ended_at >= kLinger);
}

// A client has 2.2 s for a request, from its first byte on an idle connection and from the connect on a new
// one; less at max_clients and during a stop.
bool SessionScenarioRun::TimedOutTooEarly(const Client& client, const Request& request) const {
  if (at_client_limit_ || sigterm_at_ || !client.ended_at) return false;
  const bool first = &request == &client.requests.front();
  return *client.ended_at - (first ? client.connected_at : request.first_byte_at) < kKeepAlive;
}

// Whether the client has not read its answer for longer than any deadline or, at max_clients, for longer than
// its own deadline and than a typical client needs.
bool SessionScenarioRun::ReadsTooSlowly(const Client& client) const {
  if (scenario_.state != SessionState::kAnswering || !client.ended_at) return false;
  return *client.ended_at - state_reached_at_ >= (at_client_limit_ ? kTypicalRead : kWriteTimeout);
}

// Whether a new connection may have been closed before its request arrived. `written_after_end`: the client
// could already detect the close when it wrote the request.
bool SessionScenarioRun::MayBeRefused(const Client& client, bool written_after_end) const {
  if (!written_after_end || !client.ended_at) return false;
  if (at_client_limit_ || *client.ended_at - client.connected_at >= kKeepAlive) return true;
  return sigterm_at_ && *client.ended_at - *sigterm_at_ >= kSigtermToRefusal;
}

void SessionScenarioRun::Report(int RuleViolations::*rule, const std::string& what) {
  ++(result_.violations.*rule);
  result_.report += Describe(scenario_) + ": " + what + "\n";
}

}  // namespace badgerbridge::proxy::testing
