// SPDX-License-Identifier: Apache-2.0
#include "proxy/backend_codec.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <cmath>

namespace badgerbridge::proxy {
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

constexpr std::size_t kMaxLoadReportBytes = 200;  // a longer X-Backend-Load is truncated
constexpr unsigned kHttpVersion = 11;             // HTTP/1.1 in Beast's notation

}  // namespace

void ComposeBackendRequest(const ForwardedRequest& request, BackendRequest& message) {
  message.clear();
  message.method(request.method);
  message.target(request.target);
  message.version(kHttpVersion);
  message.set(http::field::host, "backend.local");
  message.set("X-Correlation-Id", request.correlation_id);
  message.set("X-Service-Class", request.service_class);
  if (!request.account.empty()) message.set("X-Account", request.account);
  if (!request.idempotency_key.empty()) message.set("Idempotency-Key", request.idempotency_key);
  message.body() = {request.body.data(), request.body.size()};
  message.prepare_payload();
}

void SetTimeLeft(Duration time_left, BackendRequest& message) {
  message.set("X-Time-Left-Ms", std::to_string(static_cast<long>(std::ceil(time_left.count()))));
}

bool HasExplicitEnd(const BackendResponse& response) {
  const auto lengths = response.count(http::field::content_length);
  const auto codings = response.count(http::field::transfer_encoding);
  if (lengths + codings != 1) return false;
  if (lengths == 1) return response[http::field::content_length].find(',') == beast::string_view::npos;
  return beast::iequals(response[http::field::transfer_encoding], "chunked");
}

AttemptResult DecodeBackendResponse(BackendResponse& response, bool record_load_report) {
  AttemptResult result;
  const bool unprocessed = response["X-Unprocessed"] == "1";
  switch (response.result_int()) {
    case 200:
      result.outcome = Outcome::kOk;
      result.content_type = std::string(response[http::field::content_type]);
      result.body = std::move(response.body());
      break;
    case 503:
    case 504:
      result.outcome = unprocessed ? Outcome::kRejected : Outcome::kError;
      break;
    default:
      result.outcome = Outcome::kError;
  }
  if (record_load_report)
    result.load_report = std::string(response["X-Backend-Load"].substr(0, kMaxLoadReportBytes));
  return result;
}

void BackendResponseReader::Begin() {
  interim_responses_ = 0;
  BeginNextResponse();
  buffer_.prepare(kMaxReadBytes);  // may throw here, but not once the request is written
}

void BackendResponseReader::BeginNextResponse() {
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  parser_->eager(true);
}

void BackendResponseReader::Release() {
  parser_.reset();
  buffer_.clear();
  buffer_.shrink_to_fit();
}

boost::asio::mutable_buffer BackendResponseReader::PrepareRead() {
  return buffer_.prepare(std::min(kMaxReadBytes, buffer_.max_size() - buffer_.size()));
}

BackendResponseReader::Status BackendResponseReader::Parse(beast::error_code error) {
  if (error == boost::asio::error::eof && parser_->got_some()) {
    parser_->put_eof(error);
  } else if (!error) {
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) error = {};
  }
  // A truncated response is invalid, and so is a chunk whose header fills the buffer.
  if (error || buffer_.size() == buffer_.max_size()) return Status::kInvalid;
  if (!parser_->is_done()) return Status::kIncomplete;
  return IsInterim() ? Status::kInterim : Status::kComplete;
}

// After kMaxInterimResponses interim responses, the next response counts as final whatever its status.
bool BackendResponseReader::IsInterim() {
  const unsigned status = parser_->get().result_int();
  if (status < 100 || status >= 200 || status == 101) return false;
  return ++interim_responses_ <= kMaxInterimResponses;
}

}  // namespace badgerbridge::proxy
