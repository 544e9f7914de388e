// SPDX-License-Identifier: Apache-2.0
//
// Which header fields of a request are kept.
#include "proxy/request_parser.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <iterator>
#include <string>

namespace badgerbridge::proxy {
namespace {

// Parses a header without a body.
void ParseHeader(RequestParser& parser, const std::string& fields) {
  parser.eager(true);
  boost::beast::error_code error;
  const std::string text = "POST /certify HTTP/1.1\r\n" + fields + "\r\n";
  parser.put(boost::asio::buffer(text), error);
  ASSERT_FALSE(error) << error.message();
  ASSERT_TRUE(parser.is_done());
}

TEST(RequestParserTest, KeepsTheFieldsThatTheProxyReadsInAnySpelling) {
  RequestParser parser;
  ParseHeader(parser, "host: h\r\nX-CORRELATION-ID: c1\r\nx-repeat: 1\r\nContent-Length: 0\r\n");
  EXPECT_EQ(parser.get()["Host"], "h");
  EXPECT_EQ(parser.get()["X-Correlation-Id"], "c1");
  EXPECT_EQ(parser.get()["X-Repeat"], "1");
  EXPECT_EQ(parser.get()["Content-Length"], "0");
}

TEST(RequestParserTest, DropsFieldsThatTheProxyDoesNotRead) {
  RequestParser parser;
  ParseHeader(parser, "a:\r\nX-Facts: k=1\r\nHost: h\r\nCookie: c\r\n");
  EXPECT_EQ(std::distance(parser.get().begin(), parser.get().end()), 1);
}

// A request with a repeated field is invalid, which two of them show as well as a thousand.
TEST(RequestParserTest, KeepsTwoOfARepeatedField) {
  RequestParser parser;
  std::string fields;
  for (int i = 0; i < 1000; ++i) fields += "Host:\r\n";
  ParseHeader(parser, fields);
  EXPECT_EQ(parser.get().count("Host"), 2u);
}

TEST(RequestParserTest, EveryConnectionFieldCounts) {
  RequestParser parser;
  ParseHeader(parser, "Connection: a\r\nConnection: b\r\nConnection: close\r\n");
  EXPECT_FALSE(parser.keep_alive());
}

}  // namespace
}  // namespace badgerbridge::proxy
