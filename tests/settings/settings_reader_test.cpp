// SPDX-License-Identifier: Apache-2.0
#include "settings/settings_reader.h"

#include <gtest/gtest.h>

#include <string>

namespace badgerbridge::settings {
namespace {

// Expects that the reader has recorded this error.
void ExpectError(const SettingsReader& reader, SettingsErrorCode code, const std::string& key,
                 const std::string& value) {
  ASSERT_TRUE(reader.error().has_value());
  EXPECT_EQ(reader.error()->code, code);
  EXPECT_EQ(reader.error()->key, key);
  EXPECT_EQ(reader.error()->value, value);
}

TEST(SettingsReaderTest, ReadsEachKindOfValue) {
  SettingsReader reader("number=0.5\ninteger=7\ntime=250\nword=zone\n");
  EXPECT_EQ(reader.Number("number"), 0.5);
  EXPECT_EQ(reader.Integer("integer", 0, 10), 7);
  EXPECT_EQ(reader.Time("time").count(), 250);
  EXPECT_EQ(reader.Text("word"), "zone");
  EXPECT_FALSE(reader.error().has_value());
}

TEST(SettingsReaderTest, AbsentOptionalKeysGiveTheDefault) {
  SettingsReader reader("number=3");
  EXPECT_EQ(reader.NumberOr("number", 5), 3);
  EXPECT_EQ(reader.NumberOr("absent", 5), 5);
  EXPECT_EQ(reader.TextOr("absent", "push"), "push");
  EXPECT_FALSE(reader.error().has_value());
}

TEST(SettingsReaderTest, LinesEndWithLineFeedOrWithCarriageReturnAndLineFeed) {
  SettingsReader reader("first=1\r\nsecond=2\nthird=3");
  EXPECT_EQ(reader.Number("first"), 1);
  EXPECT_EQ(reader.Number("second"), 2);
  EXPECT_EQ(reader.Number("third"), 3);
  EXPECT_FALSE(reader.error().has_value());
}

TEST(SettingsReaderTest, TheLastValueOfARepeatedKeyIsUsed) {
  SettingsReader reader("key=1\nkey=2\n");
  EXPECT_EQ(reader.Number("key"), 2);
}

TEST(SettingsReaderTest, AnAbsentRequiredKeyIsAnErrorWithoutValue) {
  SettingsReader reader("");
  EXPECT_EQ(reader.Number("key"), 0);
  ExpectError(reader, SettingsErrorCode::kAbsent, "key", "");
}

TEST(SettingsReaderTest, TextThatIsNoFiniteNumberIsAnErrorWithItsValue) {
  for (const char* value : {"two", "1x", "nan", "inf", ""}) {
    const std::string text = std::string("key=") + value;
    SettingsReader reader(text);
    EXPECT_EQ(reader.Number("key"), 0);
    ExpectError(reader, SettingsErrorCode::kNotANumber, "key", value);
  }
}

TEST(SettingsReaderTest, ANumberOutsideItsBoundsIsAnErrorWithItsValue) {
  SettingsReader reader("key=11");
  EXPECT_EQ(reader.Integer("key", 0, 10), 0);
  ExpectError(reader, SettingsErrorCode::kOutOfRange, "key", "11");
}

TEST(SettingsReaderTest, AFractionIsNoInteger) {
  SettingsReader reader("key=1.5");
  reader.Integer("key", 0, 10);
  ExpectError(reader, SettingsErrorCode::kNotAnInteger, "key", "1.5");
}

TEST(SettingsReaderTest, OnlyTheFirstErrorIsKept) {
  SettingsReader reader("second=x");
  reader.Text("first");
  reader.Number("second");
  ExpectError(reader, SettingsErrorCode::kAbsent, "first", "");
}

}  // namespace
}  // namespace badgerbridge::settings
