// SPDX-License-Identifier: Apache-2.0
#include "source_text.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>
#include <regex>
#include <stdexcept>
#include <utility>

namespace badgerbridge::docs {
namespace {

/// A way in which a message is printed.
struct LogForm {
  std::string opening;      ///< What stands before the message: a call, or a stream's name.
  std::string_view joiner;  ///< The operator between its parts; a stream has one before the first, too.
  char end;                 ///< Of the statement, or of the call's arguments.
};

/// The forms of every source, and those of the functions that `log_functions` names.
std::vector<LogForm> LogForms(const std::vector<std::string>& log_functions) {
  std::vector<LogForm> forms{{"Log{", "+", '}'}, {"WarnOnce(", "+", ')'}, {"std::perror(", "+", ')'}};
  for (const std::string& name : log_functions) forms.push_back({name + "(", "+", ')'});
  for (const std::string& stream : ErrorStreams()) forms.push_back({stream, "<<", ';'});
  return forms;
}

bool IsWord(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_'; }

std::string Trimmed(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \n\r\t");
  if (begin == std::string_view::npos) return "";
  const std::size_t end = text.find_last_not_of(" \n\r\t");
  return std::string(text.substr(begin, end - begin + 1));
}

/// Behind the string or character literal that begins at `at`. A ' between digits separates them.
std::size_t BehindQuoted(std::string_view text, std::size_t at) {
  const char quote = text[at];
  if (quote == '\'' && at > 0 && std::isdigit(static_cast<unsigned char>(text[at - 1])) != 0) return at + 1;
  for (std::size_t i = at + 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == quote || text[i] == '\n') {
      return i + 1;
    }
  }
  return text.size();
}

bool IsQuote(char c) { return c == '"' || c == '\''; }

/// The position of `token` outside literals and brackets, from `at` on; npos where a bracket closes first.
std::size_t FindTopLevel(std::string_view text, std::string_view token, std::size_t at) {
  int depth = 0;
  while (at < text.size()) {
    const char c = text[at];
    if (depth == 0 && text.substr(at, token.size()) == token) return at;
    if (IsQuote(c)) {
      at = BehindQuoted(text, at);
      continue;
    }
    if (c == '(' || c == '{' || c == '[') ++depth;
    if (c == ')' || c == '}' || c == ']') --depth;
    if (depth < 0) return std::string_view::npos;
    ++at;
  }
  return std::string_view::npos;
}

std::vector<std::string> SplitTopLevel(std::string_view text, std::string_view joiner) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  for (std::size_t at; (at = FindTopLevel(text, joiner, begin)) != std::string_view::npos;) {
    parts.push_back(Trimmed(text.substr(begin, at - begin)));
    begin = at + joiner.size();
  }
  parts.push_back(Trimmed(text.substr(begin)));
  return parts;
}

char EscapedCharacter(char letter) {
  switch (letter) {
    case 'n':
      return '\n';
    case 't':
      return '\t';
    case 'r':
      return '\r';
    default:
      return letter;
  }
}

std::string Unescaped(std::string_view literal) {
  std::string text;
  for (std::size_t i = 0; i < literal.size(); ++i) {
    const bool escaped = literal[i] == '\\' && i + 1 < literal.size();
    text += escaped ? EscapedCharacter(literal[++i]) : literal[i];
  }
  return text;
}

std::vector<std::string> Alternatives(std::string_view expression, std::string_view joiner);

/// What one part of a message can print. A conditional that begins the message counts as its alternatives,
/// others as a placeholder: a row for each combination would say no more.
std::vector<std::string> AlternativesOfPart(const std::string& part, bool first) {
  if (part == "std::endl" || part == "std::flush") return {""};
  if (const auto literal = LiteralAt(part, 0)) {
    const bool whole = Trimmed(part.substr(literal->end)).empty();
    return {whole ? literal->text : literal->text + std::string(kPlaceholder)};
  }
  if (part.size() >= 3 && part.front() == '\'') return {Unescaped(part.substr(1, part.size() - 2))};
  constexpr std::string_view kString = "std::string(";
  if (part.rfind(kString, 0) == 0 && part.back() == ')')
    return AlternativesOfPart(Trimmed(part.substr(kString.size(), part.size() - kString.size() - 1)), false);
  if (first && part.front() == '(' && part.back() == ')') {
    const std::string inner = part.substr(1, part.size() - 2);
    const std::size_t question = FindTopLevel(inner, "?", 0);
    const std::size_t colon = question == std::string::npos ? question : FindTopLevel(inner, " : ", question);
    if (colon != std::string::npos) {
      std::vector<std::string> all = Alternatives(inner.substr(question + 1, colon - question - 1), "+");
      for (std::string& other : Alternatives(inner.substr(colon + 3), "+")) all.push_back(std::move(other));
      return all;
    }
  }
  return {std::string(kPlaceholder)};
}

std::vector<std::string> Alternatives(std::string_view expression, std::string_view joiner) {
  std::vector<std::string> all{""};
  bool first = true;
  for (const std::string& part : SplitTopLevel(expression, joiner)) {
    if (part.empty()) continue;
    std::vector<std::string> longer;
    for (const std::string& next : AlternativesOfPart(part, first)) {
      for (const std::string& before : all) longer.push_back(before + next);
    }
    all = std::move(longer);
    first = false;
  }
  return all;
}

/// One placeholder for several in a row, no white space at the end.
std::string Normalized(std::string text) {
  const std::string twice = std::string(kPlaceholder) + std::string(kPlaceholder);
  for (std::size_t at; (at = text.find(twice)) != std::string::npos;) text.erase(at, kPlaceholder.size());
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) text.pop_back();
  return text;
}

/// Of several arguments, the one with a literal is the message.
std::string MessageArgument(std::string_view arguments) {
  const std::vector<std::string> all = SplitTopLevel(arguments, ",");
  const auto found = std::find_if(all.begin(), all.end(),
                                  [](const std::string& one) { return one.find('"') != std::string::npos; });
  return found == all.end() ? all.back() : *found;
}

/// `void WriteLog(std::string text)` declares, and prints nothing.
bool IsDeclaration(std::string_view arguments) {
  return std::regex_search(std::string(arguments), std::regex("^\\s*(const )?std::string(_view)?&? \\w"));
}

/// Where the message begins behind the opening at `at`; npos where a longer word or another operator stands
/// there.
std::size_t BeginOfMessage(std::string_view text, std::size_t at, const LogForm& form) {
  if (at > 0 && (IsWord(text[at - 1]) || text[at - 1] == '.')) return std::string_view::npos;
  const std::size_t behind = at + form.opening.size();
  if (form.end != ';') return behind;
  const std::size_t joiner = text.find_first_not_of(" \n", behind);
  const bool prints =
      joiner != std::string_view::npos && text.substr(joiner, form.joiner.size()) == form.joiner;
  return prints ? joiner + form.joiner.size() : std::string_view::npos;
}

std::vector<Message> MessagesAt(const std::string& file, std::string_view text, std::size_t at,
                                const LogForm& form) {
  const std::size_t begin = BeginOfMessage(text, at, form);
  if (begin == std::string_view::npos) return {};
  const std::size_t end = FindTopLevel(text, std::string_view(&form.end, 1), begin);
  if (end == std::string_view::npos) return {};
  const std::string_view inside = text.substr(begin, end - begin);
  if (IsDeclaration(inside)) return {};
  const std::string expression = form.end == ';' ? std::string(inside) : MessageArgument(inside);
  const auto line = static_cast<std::size_t>(
      1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
  std::vector<Message> messages;
  for (std::string& one : Alternatives(expression, form.joiner))
    messages.push_back({file, line, Normalized(std::move(one)), Trimmed(text.substr(at, end - at))});
  return messages;
}

}  // namespace

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("cannot read " + path.string());
  return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<std::string> SourcesBelow(const std::filesystem::path& root, std::string_view folder) {
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
    const auto extension = entry.path().extension();
    if (extension == ".cpp" || extension == ".h")
      files.push_back(std::filesystem::relative(entry.path(), root).string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string WithoutComments(std::string_view text) {
  std::string plain(text);
  for (std::size_t at = 0; at < plain.size();) {
    const std::string_view here = std::string_view(plain).substr(at, 2);
    if (here == "//" || here == "/*") {
      const bool line = here == "//";
      const std::size_t found = plain.find(line ? "\n" : "*/", at + 2);
      const std::size_t end = found == std::string::npos ? plain.size() : found + (line ? 0 : 2);
      for (; at < end; ++at) plain[at] = plain[at] == '\n' ? '\n' : ' ';
    } else {
      at = IsQuote(plain[at]) ? BehindQuoted(plain, at) : at + 1;
    }
  }
  return plain;
}

std::optional<Literal> LiteralAt(std::string_view text, std::size_t at) {
  if (at >= text.size() || text[at] != '"') return std::nullopt;
  Literal literal;
  while (at < text.size() && text[at] == '"') {
    literal.end = BehindQuoted(text, at);
    literal.text += Unescaped(text.substr(at + 1, literal.end - at - 2));
    at = text.find_first_not_of(" \n\r\t", literal.end);
  }
  return literal;
}

std::vector<std::string> LogFunctionsIn(std::string_view text) {
  std::vector<std::string> names;
  const std::string all(text);
  const std::regex wrapper("\\b(\\w+)\\(std::string \\w+\\)[^;{}]*\\{[^{}]*\\bLog\\{std::move\\(");
  for (std::sregex_iterator at(all.begin(), all.end(), wrapper), end; at != end; ++at)
    names.push_back((*at)[1]);
  return names;
}

std::vector<Message> MessagesIn(const std::string& file, std::string_view text,
                                const std::vector<std::string>& log_functions) {
  std::vector<Message> messages;
  for (const LogForm& form : LogForms(log_functions)) {
    for (std::size_t at = text.find(form.opening); at != std::string_view::npos;
         at = text.find(form.opening, at + 1)) {
      for (Message& one : MessagesAt(file, text, at, form)) messages.push_back(std::move(one));
    }
  }
  return messages;
}

std::vector<std::string> StreamNamesIn(std::string_view text) {
  std::vector<std::string> names;
  const std::string all(text);
  const std::regex declaration("std::ostream& ?(\\w+)");
  for (std::sregex_iterator at(all.begin(), all.end(), declaration), end; at != end; ++at)
    names.push_back((*at)[1]);
  return names;
}

const std::vector<std::string>& ErrorStreams() {
  static const std::vector<std::string> kStreams{"std::cerr", "err", "err_", "warnings_"};
  return kStreams;
}

std::vector<Row> RowsOf(std::string_view page, std::string_view section) {
  std::vector<Row> rows;
  const std::size_t begin = page.find("\n" + std::string(section) + "\n");
  if (begin == std::string_view::npos) return rows;
  const std::size_t end = page.find("\n## ", begin + 1);
  std::string part(page.substr(begin, end == std::string_view::npos ? end : end - begin));
  const std::regex row("\n\\| `([^`]+)` \\| ([^|]*) \\|");
  for (std::sregex_iterator at(part.begin(), part.end(), row), last; at != last; ++at)
    rows.push_back({(*at)[1], (*at)[2]});
  return rows;
}

}  // namespace badgerbridge::docs
