// SPDX-License-Identifier: Apache-2.0
//
// The exchanges between clients, a proxy and backends into which faults are injected.
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
  milliseconds delay{0};  ///< from receiving the request to the action
};

/// A request, with the properties that the checks need.
struct ScriptedRequest {
  enum class Kind { kIdempotent, kIdempotencyKey, kNotIdempotent, kHealthCheck, kMalformed };

  Kind kind = Kind::kIdempotent;
  std::string id;
  std::string text;
};

/// Requests that a client sends in one write.
struct ClientWrite {
  milliseconds at{0};
  std::vector<ScriptedRequest> requests;
};

/// One connection of a client.
struct ScriptedClient {
  std::vector<ClientWrite> writes;                  ///< the connection is opened with the first
  std::optional<milliseconds> disconnects_at = {};  ///< when it closes without waiting for its answers
};

/// The actions of clients and backends in one exchange.
struct FaultScenario {
  const char* name;
  std::vector<ScriptedClient> clients;
  std::vector<BackendStep> backend_steps;     ///< one for each request; the last one repeats
  std::optional<milliseconds> stops_at = {};  ///< when the listener stops
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
/// A readiness check of the proxy.
inline ScriptedRequest HealthCheckRequest() {
  return {ScriptedRequest::Kind::kHealthCheck, "ready", "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"};
}
/// Bytes that don't form a request.
inline ScriptedRequest MalformedRequest() {
  return {ScriptedRequest::Kind::kMalformed, "malformed", "\x16\x03\x01 no request\r\n\r\n"};
}

/// The scenarios into which every fault is injected.
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
      {"two in sequence on one connection",
       {{{{begin, {IdempotentRequest("a")}}, {milliseconds(100), {NonIdempotentRequest("b")}}}}},
       {{Action::kAnswer}}},
      {"the last request of its connection",
       one(IdempotentRequest("a", "Connection: close\r\n")),
       {{Action::kAnswer}}},
      {"the listener stops",
       {{{{begin, {IdempotentRequest("a")}}}},
        {{{milliseconds(40), {IdempotentRequest("b")}}}},
        {{{milliseconds(60), {NonIdempotentRequest("c")}}, {milliseconds(300), {IdempotentRequest("d")}}}}},
       {{Action::kAnswer, milliseconds(50)}},
       milliseconds(30)},
      {"a client disconnects",
       {{{{begin, {IdempotentRequest("a")}}}, milliseconds(20)},
        {{{milliseconds(10), {NonIdempotentRequest("b")}}}}},
       {{Action::kAnswer, milliseconds(50)}}},
      {"a health check", one(HealthCheckRequest()), {{Action::kAnswer}}},
      {"a malformed request", one(MalformedRequest()), {{Action::kAnswer}}},
  };
}

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_FAULT_SCENARIOS_H_
