// SPDX-License-Identifier: Apache-2.0
#include "operator_config/toml_file.h"

#include <fstream>
#include <optional>

namespace badgerbridge::operator_config {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

bool IsAscii(char character) { return static_cast<unsigned char>(character) < 0x80; }

struct Position {
  unsigned line = 1;
  unsigned column = 1;
};

// Finds the first non-ASCII character outside of strings and comments, where TOML does not allow it. Version
// 3.3 of toml++ handles such a character in code that is marked unreachable, so that it must be rejected
// before parsing.
class NonAsciiScanner {
 public:
  explicit NonAsciiScanner(std::string_view text)
      : text_(text), offset_(text.starts_with(kByteOrderMark) ? kByteOrderMark.size() : 0) {}

  std::optional<Position> Find() {
    while (offset_ < text_.size()) {
      const char character = text_[offset_];
      if (state_ == State::kPlain && !IsAscii(character)) return position_;
      const std::size_t length = ReadToken(character);
      offset_ += length;
      position_.column += static_cast<unsigned>(length);
      if (character != '\n') continue;
      ++position_.line;
      position_.column = 1;
    }
    return std::nullopt;
  }

 private:
  enum class State { kPlain, kComment, kString };

  // Updates the state for the token that begins with `character`, and returns the token's length in bytes.
  std::size_t ReadToken(char character) {
    switch (state_) {
      case State::kPlain:
        return ReadPlain(character);
      case State::kString:
        return ReadString(character);
      case State::kComment:
        break;
    }
    if (character == '\n') state_ = State::kPlain;
    return 1;
  }

  std::size_t ReadPlain(char character) {
    if (character == '#') state_ = State::kComment;
    if (character != '"' && character != '\'') return 1;
    state_ = State::kString;
    const bool is_multi_line = text_.substr(offset_, 3) == std::string(3, character);
    closing_quotes_ = text_.substr(offset_, is_multi_line ? 3 : 1);
    return closing_quotes_.size();
  }

  std::size_t ReadString(char character) {
    const bool is_escape = character == '\\' && closing_quotes_.front() == '"' &&
                           offset_ + 1 < text_.size() && text_[offset_ + 1] != '\n';
    if (is_escape) return 2;
    if (text_.substr(offset_, closing_quotes_.size()) == closing_quotes_) {
      state_ = State::kPlain;
      return closing_quotes_.size();
    }
    if (character == '\n' && closing_quotes_.size() == 1) state_ = State::kPlain;
    return 1;
  }

  std::string_view text_;
  std::size_t offset_ = 0;
  Position position_;
  State state_ = State::kPlain;
  std::string_view closing_quotes_;
};

std::string WithoutControlCharacters(std::string text) {
  for (char& character : text) {
    if (static_cast<unsigned char>(character) < ' ') character = ' ';
  }
  return text;
}

}  // namespace

Result<toml::table> ParseToml(std::string_view text, const std::string& file) {
  if (const auto non_ascii = NonAsciiScanner(text).Find()) {
    return Problem{file, non_ascii->line, non_ascii->column,
                   "not TOML: a character beyond ASCII outside of quotes and comments"};
  }
  try {
    return toml::parse(text, std::string_view(file));
  } catch (const toml::parse_error& error) {
    const toml::source_position begin = error.source().begin;
    const std::string reason = WithoutControlCharacters(std::string(error.description()));
    return Problem{file, begin.line, begin.column, "not TOML: " + reason};
  } catch (const std::invalid_argument& error) {  // see TOML_ASSERT
    return Problem{file, 0, 0, std::string("not TOML: ") + error.what()};
  }
}

Result<std::string> ReadFile(const std::string& path, std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  std::string text(max_bytes + 1, '\0');
  if (file) file.read(text.data(), static_cast<std::streamsize>(text.size()));
  // Opening a directory succeeds; only reading from it fails.
  if (!file.is_open() || file.bad() || (file.fail() && !file.eof()))
    return Problem{path, 0, 0, "cannot be read; give a file that this user may read"};
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > max_bytes)
    return Problem{path, 0, 0,
                   "is too large; at most " + std::to_string(max_bytes) + " bytes would be right"};
  // In place, because a std::string could also initialize a Problem.
  return {boost::system::in_place_value, std::move(text)};
}

}  // namespace badgerbridge::operator_config
