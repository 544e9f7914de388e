// SPDX-License-Identifier: Apache-2.0
//
// Tests splitting a byte stream into JSON objects.
#include "proxy/json_stream.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

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
  EXPECT_EQ(stream.Next(bytes).value(), JsonStream::Item::kLineEnd);
  EXPECT_EQ(stream.Next(bytes).value(), JsonStream::Item::kObject);
  EXPECT_EQ(stream.Take().at("a").as_int64(), 1);
  EXPECT_EQ(stream.Next(bytes).value(), JsonStream::Item::kLineEnd);
  EXPECT_EQ(stream.Next(bytes).value(), JsonStream::Item::kNone);
}

// Guards against line ends behind an object that are lost when they arrive together with it (review/8).
TEST(JsonStreamTest, EveryLineEndOutsideObjectsIsAnItemHoweverTheBytesArrive) {
  using Item = JsonStream::Item;
  const std::string text = "\n{\"a\":\n[1,\n2]}\n \n{\"b\":{}} \r\n\r\n{}{}\t\n\n";
  const std::vector<Item> expected{Item::kLineEnd, Item::kObject,  Item::kLineEnd, Item::kLineEnd,
                                   Item::kObject,  Item::kLineEnd, Item::kLineEnd, Item::kObject,
                                   Item::kObject,  Item::kLineEnd, Item::kLineEnd};
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    JsonStream stream(100);
    std::vector<Item> items;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      std::string_view bytes = std::string_view(text).substr(at, piece);
      for (Item item = stream.Next(bytes).value(); item != Item::kNone; item = stream.Next(bytes).value()) {
        if (item == Item::kObject) stream.Take();
        items.push_back(item);
      }
      EXPECT_TRUE(bytes.empty());
    }
    EXPECT_EQ(items, expected) << "pieces of " << piece;
  }
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
