// SPDX-License-Identifier: Apache-2.0
#include "proxy/request_validator.h"

#include <algorithm>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "proxy/request_parser.h"

namespace badgerbridge::proxy {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxContentLengthDigits = 19;  // fits into 64 bits
constexpr std::size_t kMaxTimeLeftDigits = 9;
constexpr unsigned kHttp11 = 11;
constexpr double kWeightHintUnitsPerMs = 1000;

// The value of the first header with this name; empty if there is none.
std::string_view HeaderOf(const ClientRequest& request, std::string_view name) {
  const beast::string_view value = request[beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

bool IsDigit(char symbol) { return symbol >= '0' && symbol <= '9'; }

bool IsIdCharacter(char symbol) {
  const bool is_letter = (symbol >= 'a' && symbol <= 'z') || (symbol >= 'A' && symbol <= 'Z');
  return IsDigit(symbol) || is_letter || symbol == '-' || symbol == '_' || symbol == '.';
}

bool IsDigits(std::string_view text, std::size_t max_length) {
  return !text.empty() && text.size() <= max_length && std::all_of(text.begin(), text.end(), IsDigit);
}

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdLength && std::all_of(text.begin(), text.end(), IsIdCharacter);
}

// Parses a finite, non-negative number.
std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

// The affinity key of the object in the query; 0 if there is none. Uses the encoded parameters, because
// Boost.URL decodes the others in noexcept functions, which terminate the process when memory runs out.
std::uint64_t ObjectKey(const boost::urls::url_view& url) {
  const auto params = url.encoded_params();
  const auto found = params.find("obj");
  if (found == params.end() || !(*found).has_value) return 0;
  std::string value;
  (*found).value.decode({}, boost::urls::string_token::assign_to(value));
  if (value.empty()) return 0;
  return std::max<std::uint64_t>(1, std::hash<std::string>()(value));
}

bool HasBody(const ClientRequest& request) {
  if (request.count(http::field::transfer_encoding) > 0) return true;
  if (request.count(http::field::content_length) == 0) return false;
  return request[http::field::content_length].find_first_not_of('0') != beast::string_view::npos;
}

RequestResult<void> CheckMethodAndKey(const ClientRequest& request, const ClassSettings& settings) {
  const bool idempotent = settings.idempotency == Idempotency::kIdempotent;
  if (request.method() != (idempotent ? http::verb::get : http::verb::post))
    return RequestError::kMethodNotAllowed;
  // The balancer relies on the backend to drop duplicates, and a backend can't do that without the key.
  const auto key = HeaderOf(request, "Idempotency-Key");
  const bool needs_key = settings.idempotency == Idempotency::kIdempotencyKey;
  if (needs_key == key.empty() || key.size() > kMaxIdLength) return RequestError::kInvalidIdempotencyKey;
  return {};
}

// The time left to the client, counted from the beginning of the request; at most the deadline of the class.
RequestResult<Duration> TimeLeft(const ClientRequest& request, const ClassSettings& settings) {
  const Duration deadline(settings.deadline.count());
  if (request.count("X-Time-Left-Ms") == 0) return deadline;
  const std::string_view text = HeaderOf(request, "X-Time-Left-Ms");
  if (!IsDigits(text, kMaxTimeLeftDigits)) return RequestError::kMalformedTimeLeft;
  return std::min(deadline, Duration(ParseNumber(text).value_or(deadline.count())));
}

RequestResult<void> ReadWeightHint(const ClientRequest& request, Submit& submit) {
  if (request.count("X-Weight-Hint") == 0) return {};
  const std::optional<double> hint = ParseNumber(HeaderOf(request, "X-Weight-Hint"));
  if (!hint) return RequestError::kMalformedWeightHint;
  submit.has_hint = true;
  submit.work_ms = *hint / kWeightHintUnitsPerMs;
  return {};
}

}  // namespace

// Beast 1.81 rejects only some of these. It ignores an unknown transfer coding, accepts the same
// Content-Length twice, and treats chunk trailers as headers.
RequestResult<void> CheckFraming(const ClientRequest& request) {
  const auto lengths = request.count(http::field::content_length);
  const auto encodings = request.count(http::field::transfer_encoding);
  if (lengths + encodings > 1) return RequestError::kMultipleBodyLengths;
  if (lengths == 1 && !IsDigits(HeaderOf(request, "Content-Length"), kMaxContentLengthDigits))
    return RequestError::kMalformedContentLength;
  if (encodings == 1 &&
      (request.version() < kHttp11 || !beast::iequals(request[http::field::transfer_encoding], "chunked")))
    return RequestError::kUnsupportedTransferEncoding;
  if (request.method() == http::verb::get && HasBody(request)) return RequestError::kGetWithBody;
  for (const std::string_view name : kSingleFields) {
    if (request.count(beast::string_view(name.data(), name.size())) > 1) return RequestError::kRepeatedHeader;
  }
  return {};
}

RequestValidator::RequestValidator(const Config& config) : class_settings_(config.settings.classes) {
  for (std::size_t i = 0; i < config.classes.size(); ++i) classes_.emplace(config.classes[i], i);
  for (std::size_t i = 0; i < config.tenants.size(); ++i) tenants_.emplace(config.tenants[i], i);
}

Duration RequestValidator::longest_deadline() const {
  Duration longest{0};
  for (const ClassSettings& settings : class_settings_)
    longest = std::max(longest, Duration(settings.deadline));
  return longest;
}

RequestResult<ValidRequest> RequestValidator::Validate(const ClientRequest& request, TimePoint began_at,
                                                       TimePoint latest_due) const {
  const auto url = boost::urls::parse_origin_form({request.target().data(), request.target().size()});
  if (!url) return RequestError::kMalformedTarget;
  const auto named_class = classes_.find(std::string(HeaderOf(request, "X-Service-Class")));
  if (named_class == classes_.end()) return RequestError::kUnknownClass;
  const auto segments = url->encoded_segments();
  if (segments.empty() || std::string_view(segments.front()) != named_class->first)
    return RequestError::kPathClassMismatch;

  ValidRequest valid;
  valid.service_class = named_class->first;
  valid.submit.request_class = named_class->second;
  if (const auto tenant = ReadTenant(request, valid); !tenant) return tenant.error();
  const ClassSettings& settings = class_settings_[static_cast<std::size_t>(named_class->second)];
  if (const auto checked = CheckMethodAndKey(request, settings); !checked) return checked.error();
  const RequestResult<Duration> time_left = TimeLeft(request, settings);
  if (!time_left) return time_left.error();
  if (const auto checked = ReadWeightHint(request, valid.submit); !checked) return checked.error();
  valid.correlation_id = HeaderOf(request, "X-Correlation-Id");
  if (!IsId(valid.correlation_id)) return RequestError::kMalformedCorrelationId;

  valid.idempotency_key = HeaderOf(request, "Idempotency-Key");
  valid.is_idempotent = settings.idempotency == Idempotency::kIdempotent;
  valid.submit.due = std::min(began_at + *time_left, latest_due);
  valid.submit.client_retry = HeaderOf(request, "X-Repeat") == "1";
  valid.submit.key = ObjectKey(*url);
  return valid;
}

RequestResult<void> RequestValidator::ReadTenant(const ClientRequest& request, ValidRequest& valid) const {
  if (tenants_.empty()) return {};
  valid.account = HeaderOf(request, "X-Account");
  const auto tenant = tenants_.find(std::string(valid.account));
  if (tenant == tenants_.end()) return RequestError::kUnknownTenant;
  valid.submit.tenant = tenant->second;
  return {};
}

}  // namespace badgerbridge::proxy
