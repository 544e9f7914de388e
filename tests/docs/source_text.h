// SPDX-License-Identifier: Apache-2.0
//
// What the tests of the pages read out of C++ sources: text without comments, string literals, the messages
// that a program prints on standard error. A reader of tokens, not of C++: it knows literals, brackets and
// the operators that join a message, which is all that the call forms in LogForms() need.
#ifndef BADGERBRIDGE_TESTS_DOCS_SOURCE_TEXT_H_
#define BADGERBRIDGE_TESTS_DOCS_SOURCE_TEXT_H_

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace badgerbridge::docs {

/// Stands in a message for whatever is not a literal.
inline constexpr std::string_view kPlaceholder = "…";

/// A message that one statement prints, or one of the alternatives of it.
struct Message {
  std::string file;       ///< Relative to the repository's root.
  std::size_t line = 0;   ///< Of the statement, from 1.
  std::string text;       ///< Its literals, with kPlaceholder between them; no line end.
  std::string statement;  ///< As it stands in the source.
};

/// The whole file; throws std::runtime_error where it can't be read.
std::string ReadFile(const std::filesystem::path& path);

/// The C++ sources (.cpp and .h) below `root`/`folder`, as paths relative to `root`, sorted.
std::vector<std::string> SourcesBelow(const std::filesystem::path& root, std::string_view folder);

/// The text with each comment replaced by spaces: positions and lines stay.
std::string WithoutComments(std::string_view text);

/// A string literal of a source.
struct Literal {
  std::string text;     ///< Adjacent literals joined, escapes resolved.
  std::size_t end = 0;  ///< The position behind it.
};

/// The literal that begins at `at`; nothing if no string literal begins there.
std::optional<Literal> LiteralAt(std::string_view text, std::size_t at);

/// Names of functions in one source that take a text and make a Log action of it, as in
/// `void WriteLog(std::string text) { actions_->push_back(Log{std::move(text)}); }`.
std::vector<std::string> LogFunctionsIn(std::string_view text);

/// The messages of each call form in one source, whose text is without comments; calls of `log_functions` are
/// forms, too.
std::vector<Message> MessagesIn(const std::string& file, std::string_view text,
                                const std::vector<std::string>& log_functions = {});

/// Names of parameters and members of type std::ostream& in one source.
std::vector<std::string> StreamNamesIn(std::string_view text);

/// The stream names that MessagesIn reads as standard error.
const std::vector<std::string>& ErrorStreams();

/// The first code span of each table row below the heading `section` ("## …") of a page, with the cell after
/// it.
struct Row {
  std::string key;
  std::string second;
};
std::vector<Row> RowsOf(std::string_view page, std::string_view section);

}  // namespace badgerbridge::docs

#endif  // BADGERBRIDGE_TESTS_DOCS_SOURCE_TEXT_H_
