// SPDX-License-Identifier: Apache-2.0
//
// The backend of a run, and the connections to it.
#include <string_view>
#include <utility>

#include "proxy/session_play.h"
#include "proxy/session_play_times.h"

namespace badgerbridge::proxy::testing {

namespace {

int TimeLeftIn(const std::string& request) {
  constexpr std::string_view kName = "X-Time-Left-Ms: ";
  const std::size_t at = request.find(kName);
  return at == std::string::npos ? 0 : std::stoi(request.substr(at + kName.size()));
}

}  // namespace

SessionScenarioRun::ClientAndRequest SessionScenarioRun::FindRequest(const std::string& id) {
  for (Client& client : clients_) {
    for (Request& request : client.requests) {
      if (request.id == id) return {&client, &request};
    }
  }
  return {};
}

void SessionScenarioRun::Dial(tcp::socket& socket, const tcp::endpoint& address,
                              std::function<void(ErrorCode)> ended) {
  // The proxy may abandon the connect while it is deferred; it has closed the socket then.
  socket.open(tcp::v4());
  if (hold_reads_) socket.set_option(asio::socket_base::send_buffer_size(kSmallBuffer));
  auto dial = [&socket, address, ended = std::move(ended)] { socket.async_connect(address, ended); };
  if (hold_connects_) {
    deferred_.push_back(std::move(dial));
  } else {
    dial();
  }
}

// Called when the proxy is about to write the first byte of an attempt.
void SessionScenarioRun::OnAttemptBegun(const ForwardedRequest& forwarded) {
  const auto [client, request] = FindRequest(forwarded.correlation_id);
  if (!request) return Report(&RuleViolations::lost, "an attempt without a client request");
  ++request->attempts;
  if (request->not_idempotent && request->attempts > 1)
    Report(&RuleViolations::twice, "a request that is not idempotent was sent twice");
  if (client->disconnected_at && steady_clock::now() - *client->disconnected_at > kMaxAttemptDelay)
    Report(&RuleViolations::late, "an attempt was begun after its client had disconnected");
}

void SessionScenarioRun::AcceptAtBackend() {
  backend_->async_accept([this](ErrorCode error, tcp::socket socket) {
    if (error) return;
    const auto wire = std::make_shared<Wire>(std::move(socket));
    backend_wires_.push_back(wire);
    wire->on_data = [this](Wire& with_data) {
      if (IsComplete(with_data.in)) Serve(with_data);
    };
    if (hold_reads_) {
      deferred_.push_back([wire] { wire->Start(); });
    } else {
      wire->Start();
    }
    AcceptAtBackend();
  });
}

void SessionScenarioRun::Serve(Wire& wire) {
  const std::string text = std::exchange(wire.in, {});
  const std::string id = IdIn(text);
  const Request* request = FindRequest(id).request;
  if (request && request->written_at && !hold_reads_) {
    const auto left =
        (id.starts_with('t') ? milliseconds(0) : kTimeLeft) - (steady_clock::now() - *request->written_at);
    if (milliseconds(TimeLeftIn(text)) > left + kMaxExcessDeadline)
      Report(&RuleViolations::late, "the deadline sent to the backend exceeds the client's remaining time");
  }
  const auto answer = [this, id, weak = std::weak_ptr(wire.shared_from_this())] {
    if (const auto held = weak.lock()) held->Send(Reply(200, BodyFor(id)));
  };
  if (hold_answers_) {
    deferred_.push_back(answer);
  } else {
    answer();
  }
}

std::string SessionScenarioRun::BodyFor(const std::string& id) const {
  const bool large = large_answers_ && id == clients_.front().requests.front().id;
  return large ? id + std::string(kLargeBody, 'x') : id;
}

}  // namespace badgerbridge::proxy::testing
