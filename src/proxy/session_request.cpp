// SPDX-License-Identifier: Apache-2.0
//
// Validates the complete requests of a session and adds them to the request table.
#include <exception>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace http = boost::beast::http;

void Session::ServeNext() {
  timer_.Disarm();
  client_keeps_alive_ = input_.KeepsAlive();
  ClientRequest request = input_.Release();
  request_began_at_ = input_.began_at();
  last_backlog_at_.reset();
  input_.Reset();
  // After a request with `Connection: close` the client must not send another one; further input is dropped.
  if (!client_keeps_alive_) input_mode_ = InputMode::kDiscard;
  try {
    if (const auto served = Serve(request); !served) Reject(served.error());
  } catch (const std::exception& error) {
    // The request is not in the table.
    std::cerr << "failed to accept a client request; answering it with 500: " << error.what() << '\n';
    if (IsBeforeServing() || state_ == State::kServing) Reject(RequestError::kInternal);
  }
}

RequestResult<void> Session::Serve(ClientRequest& request) {
  if (const auto framing = CheckFraming(request); !framing) return framing.error();
  if (request.target() == "/ready") return ServeReady(request);
  RequestResult<ValidRequest> valid =
      listener_.validator_.Validate(request, request_began_at_, listener_.stop_schedule_.AnswerDeadline());
  if (!valid) return valid.error();
  // The last check, so that only ids of accepted requests are kept.
  if (const auto remembered = RememberId(*valid); !remembered) return remembered.error();
  BeginServing(request, *valid);
  return {};
}

RequestResult<void> Session::RememberId(const ValidRequest& valid) {
  const RecentIds::IdHash id = RecentIds::HashOf(valid.correlation_id);
  switch (listener_.recent_ids_.Add(id, valid.is_idempotent, listener_.clock_.Now())) {
    case RecentIds::AddResult::kAdded:
      correlation_id_ = id;
      return {};
    case RecentIds::AddResult::kDuplicate:
      return RequestError::kDuplicateCorrelationId;
    case RecentIds::AddResult::kFull:
      return RequestError::kTooManyRecentIds;
  }
  return RequestError::kInternal;
}

RequestResult<void> Session::ServeReady(const ClientRequest& request) {
  if (request.method() != http::verb::get) return RequestError::kReadyMethodNotAllowed;
  const bool ready = !listener_.stopping() && !listener_.draining() && listener_.proxy_.CanServe();
  Answer answer;
  answer.status = ready ? 200 : 503;
  answer.body = ready ? "ready\n" : "not ready\n";
  answer.content_type = "text/plain";
  BeginAnswer(answer);
  return {};
}

void Session::BeginServing(ClientRequest& request, ValidRequest& valid) {
  auto forwarded = std::make_shared<ForwardedRequest>();
  forwarded->method = request.method();
  forwarded->target = std::string(request.target());
  forwarded->body = std::move(request.body());
  forwarded->body.shrink_to_fit();  // the capacity of a chunked body may be up to twice its size
  forwarded->correlation_id = valid.correlation_id;
  forwarded->idempotency_key = valid.idempotency_key;
  forwarded->service_class = std::move(valid.service_class);
  forwarded->account = valid.account;

  listener_.last_request_at_ = listener_.clock_.Now();
  state_ = State::kServing;
  const RequestId id = listener_.proxy_.Accept(valid.submit, std::move(forwarded), shared_from_this());
  if (state_ == State::kServing) request_ = id;  // otherwise it has been answered
}

}  // namespace badgerbridge::proxy
