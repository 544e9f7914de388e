// SPDX-License-Identifier: Apache-2.0
#include "proxy/request_validator.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

constexpr TimePoint kBegan{Duration(1000)};
constexpr TimePoint kLatestDue{Duration(100000)};

ClientRequest Parse(const std::string& text) {
  boost::beast::http::request_parser<boost::beast::http::string_body> parser;
  parser.eager(true);
  ErrorCode error;
  parser.put(asio::buffer(text), error);
  EXPECT_TRUE(parser.is_done()) << text << error.message();
  return parser.release();
}

// Empty if the request is valid.
std::optional<RequestError> ErrorOf(const std::string& text, const std::string& tenants = "[]") {
  const RequestValidator validator(TestConfig({}, 1024, tenants));
  const ClientRequest request = Parse(text);
  if (const auto framing = CheckFraming(request); !framing) return framing.error();
  const auto valid = validator.Validate(request, kBegan, kLatestDue);
  if (!valid) return valid.error();
  return std::nullopt;
}

std::string WithTimeLeft(const std::string& value) {
  std::string text = Get("a");
  const std::string usual = "X-Time-Left-Ms: 900";
  return text.replace(text.find(usual), usual.size(), "X-Time-Left-Ms: " + value);
}

TEST(RequestValidator, AValidRequestHasItsClassIdAndDeadline) {
  const RequestValidator validator(TestConfig({}));
  const ClientRequest request = Parse(Get("a", "X-Weight-Hint: 2500\r\nX-Repeat: 1\r\n"));
  const auto valid = validator.Validate(request, kBegan, kLatestDue);
  ASSERT_TRUE(valid);
  EXPECT_EQ(valid->service_class, "preview");
  EXPECT_EQ(valid->correlation_id, "a");
  EXPECT_EQ(valid->idempotency_key, "");
  EXPECT_EQ(valid->submit.request_class, 0);
  EXPECT_EQ(valid->submit.due, kBegan + Duration(900));
  EXPECT_TRUE(valid->submit.has_hint);
  EXPECT_EQ(valid->submit.work_ms, 2.5);
  EXPECT_TRUE(valid->submit.client_retry);
  EXPECT_NE(valid->submit.key, 0u);
}

TEST(RequestValidator, TheDeadlineIsBoundedByTheClassAndByTheLatest) {
  const RequestValidator validator(TestConfig({}));
  EXPECT_EQ(validator.longest_deadline(), Duration(1000));
  const ClientRequest request = Parse(WithTimeLeft("5000"));
  EXPECT_EQ(validator.Validate(request, kBegan, kLatestDue)->submit.due, kBegan + Duration(1000));
  EXPECT_EQ(validator.Validate(request, kBegan, kBegan + Duration(7))->submit.due, kBegan + Duration(7));
}

TEST(RequestValidator, EachFaultHasItsError) {
  const std::string key = "Idempotency-Key: k\r\n";
  EXPECT_EQ(ErrorOf(Get("a")), std::nullopt);
  EXPECT_EQ(ErrorOf(Post("a", "convert", "END", key)), std::nullopt);
  EXPECT_EQ(ErrorOf(Post("a", "convert", "END")), RequestError::kInvalidIdempotencyKey);
  EXPECT_EQ(ErrorOf(Post("a", "certify", "END", key)), RequestError::kInvalidIdempotencyKey);
  EXPECT_EQ(ErrorOf(Post("a", "preview", "END")), RequestError::kMethodNotAllowed);
  EXPECT_EQ(ErrorOf(Post("a", "unknown", "END")), RequestError::kUnknownClass);
  EXPECT_EQ(ErrorOf(WithTimeLeft("-1")), RequestError::kMalformedTimeLeft);
  EXPECT_EQ(ErrorOf(WithTimeLeft("1234567890")), RequestError::kMalformedTimeLeft);
  EXPECT_EQ(ErrorOf(Get("a", "X-Weight-Hint: much\r\n")), RequestError::kMalformedWeightHint);
  EXPECT_EQ(ErrorOf(Get("a b")), RequestError::kMalformedCorrelationId);
  EXPECT_EQ(ErrorOf(Get(std::string(129, 'a'))), RequestError::kMalformedCorrelationId);
  EXPECT_EQ(ErrorOf(Get("a", "Host: again\r\n")), RequestError::kRepeatedHeader);
  EXPECT_EQ(ErrorOf(Get("a"), R"(["t1"])"), RequestError::kUnknownTenant);
}

TEST(RequestValidator, ThePathBeginsWithTheClass) {
  std::string text = Get("a");
  text.replace(text.find("/preview"), 8, "/certify");
  EXPECT_EQ(ErrorOf(text), RequestError::kPathClassMismatch);
}

TEST(RequestValidator, EachErrorIsAnsweredByAStatusOfAnError) {
  for (int i = 0; i <= static_cast<int>(RequestError::kInternal); ++i) {
    const Rejection rejection = RejectionOf(static_cast<RequestError>(i));
    EXPECT_GE(rejection.status, 400u) << i;
    EXPECT_NE(rejection.body, nullptr) << i;
  }
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
