// SPDX-License-Identifier: Apache-2.0
//
// Tests splitting a byte stream into JSON objects.
#include "proxy/json_stream.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace badgerbridge::proxy::testing {
namespace {

TEST(JsonStreamTest, InvalidOrTooLongObjectsAreErrors) {
  for (const std::string& bad : {std::string("[]"), std::string("7"), std::string("{\"a\":}"),
                                 std::string("{} x"), "{\"a\":\"" + std::string(200, 'x') + "\"}"}) {
    JsonStream stream(100);
    std::string_view bytes = bad;
    EXPECT_THROW(
        {
          while (stream.Next(bytes).value() == JsonStream::Item::kObject) stream.Take();
        },
        std::runtime_error)
        << bad;
  }
  JsonStream stream(100);
  const std::string good = "\n{\"a\":1}\n";
  std::string_view bytes = good;
  EXPECT_EQ(stream.Next(bytes).value(), JsonStream::Item::kEmptyLine);
  EXPECT_EQ(stream.Next(bytes).value(), JsonStream::Item::kObject);
  EXPECT_EQ(stream.Take().at("a").as_int64(), 1);
  EXPECT_EQ(stream.Next(bytes).value(), JsonStream::Item::kNone);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
