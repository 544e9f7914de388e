// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/direct_request.h"

#include <algorithm>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

std::string WriteRequest(DirectRequest& request, const DirectClientClass& request_class) {
  const std::string& id = request.record.id;
  const double left_ms = request.record.deadline_ms.value_or(0) - NowMs();
  request.time_left_ms = static_cast<std::int64_t>(std::max(1.0, left_ms));
  const bool is_get = request_class.idempotency == Idempotency::kIdempotent;
  const std::string body = is_get ? "" : "document " + id;
  std::string text = (is_get ? "GET " : "POST ") + request.target + " HTTP/1.1\r\nHost: proxy\r\n";
  text += "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + request_class.name + "\r\n";
  text += "X-Time-Left-Ms: " + std::to_string(request.time_left_ms) + "\r\n";
  if (request_class.idempotency == Idempotency::kIdempotencyKey) text += "Idempotency-Key: k" + id + "\r\n";
  if (!is_get) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  request.size_bytes = text.size();
  return text;
}

}  // namespace badgerbridge::multiprocess
