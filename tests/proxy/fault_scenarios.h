// SPDX-License-Identifier: Apache-2.0
//
// The exchanges between clients, a proxy and backends in which faults are tried.
#ifndef BADGERBRIDGE_TESTS_PROXY_FAULT_SCENARIOS_H_
#define BADGERBRIDGE_TESTS_PROXY_FAULT_SCENARIOS_H_

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {

using std::chrono::milliseconds;

/// What a backend does with a request.
struct BackendStep {
  enum class Action { kAnswer, kReset, kReject };

  Action action = Action::kAnswer;
  milliseconds delay{0};  ///< after the request has come
};

/// A request, as far as the judgement needs it.
struct ScriptedRequest {
  enum class Kind { kIdempotent, kIdempotencyKey, kNotIdempotent, kHealthCheck, kMalformed };

  Kind kind = Kind::kIdempotent;
  std::string id;
  std::string text;
};

/// Requests that a client writes at once.
struct ClientWrite {
  milliseconds at{0};
  std::vector<ScriptedRequest> requests;
};

/// One connection of a client.
struct ScriptedClient {
  std::vector<ClientWrite> writes;             ///< the connection is opened with the first
  std::optional<milliseconds> leaves_at = {};  ///< it closes without waiting for its answers
};

/// What clients and backends do in one exchange.
struct FaultScenario {
  const char* name;
  std::vector<ScriptedClient> clients;
  std::vector<BackendStep> backend_steps;     ///< one for each request, the last for all that follow
  std::optional<milliseconds> stops_at = {};  ///< the listener
};

/// A request of an idempotent class.
inline ScriptedRequest IdempotentRequest(const std::string& id, const std::string& more = "") {
  return {ScriptedRequest::Kind::kIdempotent, id, Get(id, more)};
}
/// A request with an idempotency key.
inline ScriptedRequest KeyedRequest(const std::string& id) {
  return {ScriptedRequest::Kind::kIdempotencyKey, id,
          Post(id, "convert", "END", "Idempotency-Key: k" + id + "\r\n")};
}
/// A request of a class that is not idempotent.
inline ScriptedRequest NonIdempotentRequest(const std::string& id) {
  return {ScriptedRequest::Kind::kNotIdempotent, id, Post(id, "certify", "END")};
}
/// A health check of the proxy.
inline ScriptedRequest HealthCheckRequest() {
  return {ScriptedRequest::Kind::kHealthCheck, "ready", "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"};
}
/// Bytes that are no request.
inline ScriptedRequest MalformedRequest() {
  return {ScriptedRequest::Kind::kMalformed, "malformed", "\x16\x03\x01 no request\r\n\r\n"};
}

/// The exchanges that every fault is tried in.
inline std::vector<FaultScenario> FaultScenarios() {
  using Action = BackendStep::Action;
  const milliseconds begin{0};
  const auto one = [&](ScriptedRequest request) {
    return std::vector<ScriptedClient>{{{{begin, {std::move(request)}}}}};
  };
  return {
      {"idempotent", one(IdempotentRequest("a")), {{Action::kAnswer, milliseconds(5)}}},
      {"keyed, retried after a reset", one(KeyedRequest("a")), {{Action::kReset}, {Action::kAnswer}}},
      {"not idempotent, rejected once",
       one(NonIdempotentRequest("a")),
       {{Action::kReject}, {Action::kAnswer}}},
      {"not idempotent, reset", one(NonIdempotentRequest("a")), {{Action::kReset}}},
      {"two pipelined",
       {{{{begin, {IdempotentRequest("a"), IdempotentRequest("b")}}}}},
       {{Action::kAnswer, milliseconds(5)}}},
      {"two after one another on one connection",
       {{{{begin, {IdempotentRequest("a")}}, {milliseconds(100), {NonIdempotentRequest("b")}}}}},
       {{Action::kAnswer}}},
      {"the last of its connection",
       one(IdempotentRequest("a", "Connection: close\r\n")),
       {{Action::kAnswer}}},
      {"the listener stops",
       {{{{begin, {IdempotentRequest("a")}}}},
        {{{milliseconds(40), {IdempotentRequest("b")}}}},
        {{{milliseconds(60), {NonIdempotentRequest("c")}}, {milliseconds(300), {IdempotentRequest("d")}}}}},
       {{Action::kAnswer, milliseconds(50)}},
       milliseconds(30)},
      {"a client leaves",
       {{{{begin, {IdempotentRequest("a")}}}, milliseconds(20)},
        {{{milliseconds(10), {NonIdempotentRequest("b")}}}}},
       {{Action::kAnswer, milliseconds(50)}}},
      {"a health check", one(HealthCheckRequest()), {{Action::kAnswer}}},
      {"a malformed request", one(MalformedRequest()), {{Action::kAnswer}}},
  };
}

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_FAULT_SCENARIOS_H_
