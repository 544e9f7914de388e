// SPDX-License-Identifier: Apache-2.0
#include "operator_config/toml_file.h"

#include <gtest/gtest.h>

namespace badgerbridge::operator_config {
namespace {

/// The formatted syntax error of a text; "" if there is none.
std::string SyntaxError(const std::string& text) {
  const Result<toml::table> root = ParseToml(text, "op.toml");
  return root ? "" : FormatProblem(root.error());
}

TEST(TomlFile, NonAsciiCharactersAreAcceptedOnlyInStringsAndComments) {
  EXPECT_EQ(SyntaxError(
                "\xef\xbb\xbf# caf\xc3\xa9 \"\n[control] # it's \xc3\xa9\nsocket = \"/caf\xc3\xa9\\\"#\"\n"),
            "");
  EXPECT_EQ(SyntaxError("[control]\nsocket = \"\"\"/caf\xc3\xa9\"\"\"\n"), "");
  for (const char* text :
       {"\xc3\xa9 = 1\n", "# ok\n\xc3\xa9", "a = 'x'\xc2\xa1\n", "a = \"open\n\xc3\xa9 = 2\n"}) {
    const std::string error = SyntaxError(text);
    EXPECT_NE(error.find("a character beyond ASCII outside of quotes and comments"), std::string::npos)
        << error;
  }
  EXPECT_EQ(SyntaxError("# ok\n x \xc3\xa9").rfind("op.toml:2:4:", 0), 0u);
}

}  // namespace
}  // namespace badgerbridge::operator_config
