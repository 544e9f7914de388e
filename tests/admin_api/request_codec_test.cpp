// SPDX-License-Identifier: Apache-2.0
#include "admin_api/request_codec.h"

#include <gtest/gtest.h>

namespace badgerbridge::admin_api {
namespace {

http_api::Request RequestWithBody(const std::string& body) {
  http_api::Request request;
  request.body = body;
  return request;
}

/// The error with which the body of a drain request is rejected.
RequestErrorCode DrainErrorCode(const std::string& body) {
  return ParseDrainRequest(RequestWithBody(body)).error().code;
}

TEST(AdminRequestCodec, PathAndMethodSelectTheOperation) {
  EXPECT_EQ(*ParseOperation("/v1/converters", "GET"), Operation::kGetBackends);
  EXPECT_EQ(*ParseOperation("/v1/members", "GET"), Operation::kGetMembers);
  EXPECT_EQ(*ParseOperation("/v1/members/release", "POST"), Operation::kReleaseMembers);
}

TEST(AdminRequestCodec, UnknownPathAndWrongMethodAreDifferentErrors) {
  const Result<Operation> unknown = ParseOperation("/v1/statu", "GET");
  EXPECT_EQ(HttpStatus(unknown.error().code), 404u);
  const Result<Operation> wrong_method = ParseOperation("/v1/drain", "GET");
  EXPECT_EQ(HttpStatus(wrong_method.error().code), 405u);
  EXPECT_EQ(Message(wrong_method.error()), "this path takes POST");
}

TEST(AdminRequestCodec, DrainWithoutABodyHasNoDeadline) {
  const Result<DrainRequest> drain = ParseDrainRequest(RequestWithBody(""));
  ASSERT_TRUE(drain);
  EXPECT_FALSE(drain->deadline);
}

TEST(AdminRequestCodec, DrainDeadlineIsAcceptedUpToItsLimit) {
  EXPECT_EQ(ParseDrainRequest(RequestWithBody(R"({"deadline_ms":0})"))->deadline->count(), 0);
  EXPECT_EQ(ParseDrainRequest(RequestWithBody(R"({"deadline_ms":3600000})"))->deadline->count(), 3600000);
  EXPECT_EQ(DrainErrorCode(R"({"deadline_ms":3600001})"), RequestErrorCode::kInvalidDeadline);
  EXPECT_EQ(DrainErrorCode(R"({"deadline_ms":-1})"), RequestErrorCode::kInvalidDeadline);
  EXPECT_EQ(DrainErrorCode(R"({"deadline_ms":"1"})"), RequestErrorCode::kInvalidDeadline);
}

TEST(AdminRequestCodec, InvalidBodyAndUnknownFieldAreRejected) {
  EXPECT_EQ(DrainErrorCode("{"), RequestErrorCode::kInvalidBody);
  EXPECT_EQ(DrainErrorCode("[]"), RequestErrorCode::kInvalidBody);
  const Result<DrainRequest> unknown = ParseDrainRequest(RequestWithBody(R"({"deadline":1})"));
  ASSERT_FALSE(unknown);
  EXPECT_EQ(Message(unknown.error()), "unknown member deadline; deadline_ms is known");
}

}  // namespace
}  // namespace badgerbridge::admin_api
