// SPDX-License-Identifier: Apache-2.0
#include "operator_config/table_reader.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <numeric>
#include <sstream>

namespace badgerbridge::operator_config {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMostMs = std::int64_t{1} << 40;

struct Unit {
  std::string_view name;
  std::int64_t ms;
};
constexpr Unit kUnits[] = {{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}};

// Levenshtein's, for "did you mean".
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = row[0]++;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({above + 1, row[j - 1] + 1, corner + (a[i - 1] != b[j - 1])});
      corner = above;
    }
  }
  return row.back();
}

std::string_view KindOf(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "a whole number";
    case toml::node_type::floating_point:
      return "a number with a point";
    case toml::node_type::boolean:
      return "true or false";
    case toml::node_type::array:
      return "a list";
    case toml::node_type::table:
      return "a table";
    default:
      return "a date or time";
  }
}

}  // namespace

std::string Problem::Line() const {
  if (line == 0) return file + ": " + text;
  return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + text;
}

std::string Lines(Problems problems) {
  std::stable_sort(problems.begin(), problems.end(), [](const Problem& a, const Problem& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  std::string text;
  for (const Problem& problem : problems) text += problem.Line() + "\n";
  return text;
}

std::optional<milliseconds> ParseDuration(std::string_view text) {
  std::int64_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || count < 0) return std::nullopt;
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  for (const Unit& known : kUnits) {
    if (unit == known.name)
      return count <= kMostMs / known.ms ? std::optional(milliseconds(count * known.ms)) : std::nullopt;
  }
  return std::nullopt;
}

std::string FormatDuration(milliseconds duration) {
  const Unit* best = &kUnits[0];
  for (const Unit& unit : kUnits) {
    if (duration.count() != 0 && duration.count() % unit.ms == 0) best = &unit;
  }
  return std::to_string(duration.count() / best->ms) + std::string(best->name);
}

TableReader::TableReader(const toml::table& table, std::string where, const std::string& file,
                         Problems& problems)
    : table_(table), where_(std::move(where)), file_(file), problems_(problems) {}

const toml::node* TableReader::Find(std::string_view key) {
  asked_.emplace(key);
  return table_.get(key);
}

std::string TableReader::Name(std::string_view key) const {
  return where_.empty() ? std::string(key) : where_ + "." + std::string(key);
}

void TableReader::ReportAt(const toml::node& node, std::string text) {
  const toml::source_position at = node.source().begin;
  problems_.push_back({file_, at.line, at.column, std::move(text)});
}

void TableReader::Report(std::string_view key, std::string text) {
  const toml::node* node = table_.get(key);
  ReportAt(node ? *node : static_cast<const toml::node&>(table_),
           (key.empty() ? where_ : Name(key)) + " " + std::move(text));
}

void TableReader::Require(std::string_view key, std::string_view what) {
  asked_.emplace(key);
  if (!Has(key)) Report(key, "is missing; give " + std::string(what));
}

std::string_view TableReader::Spelling(std::string_view key, std::string_view former, Problems& warnings) {
  asked_.emplace(key);
  const toml::node* node = table_.get(former);
  if (!node) return key;
  asked_.emplace(former);
  if (Has(key)) {
    Report(former, "is the former name of " + Name(key) + ", which stands here too; give that alone");
    return key;
  }
  const toml::source_position at = node->source().begin;
  warnings.push_back(
      {file_, at.line, at.column,
       "warning: " + Name(former) + " is now called " + Name(key) + "; the former name still works"});
  return former;
}

std::string TableReader::Text(std::string_view key, std::string otherwise) {
  const toml::node* node = Find(key);
  if (!node) return otherwise;
  if (const auto* text = node->as_string()) return text->get();
  ReportAt(*node, Name(key) + " is " + std::string(KindOf(*node)) + "; a string would be right, in quotes");
  return otherwise;
}

bool TableReader::Flag(std::string_view key, bool otherwise) {
  const toml::node* node = Find(key);
  if (!node) return otherwise;
  if (const auto* flag = node->as_boolean()) return flag->get();
  ReportAt(*node, Name(key) + " is " + std::string(KindOf(*node)) + "; true or false would be right");
  return otherwise;
}

std::int64_t TableReader::Whole(std::string_view key, std::int64_t otherwise, std::int64_t least,
                                std::int64_t most) {
  const toml::node* node = Find(key);
  if (!node) return otherwise;
  const std::string range = std::to_string(least) + " to " + std::to_string(most);
  const auto* whole = node->as_integer();
  if (!whole) {
    ReportAt(*node, Name(key) + " is " + std::string(KindOf(*node)) + "; a whole number, " + range +
                        ", would be right");
    return otherwise;
  }
  if (whole->get() >= least && whole->get() <= most) return whole->get();
  ReportAt(*node, Name(key) + " = " + std::to_string(whole->get()) + " is out of range; " + range +
                      " would be right");
  return otherwise;
}

milliseconds TableReader::Duration(std::string_view key, milliseconds otherwise, milliseconds least,
                                   milliseconds most) {
  const toml::node* node = Find(key);
  if (!node) return otherwise;
  const std::string range = FormatDuration(least) + " to " + FormatDuration(most);
  const auto* text = node->as_string();
  const auto parsed = text ? ParseDuration(text->get()) : std::nullopt;
  if (!parsed) {
    ReportAt(*node, Name(key) +
                        " is no duration; a number with its unit, such as \"250ms\", \"10s\" or \"2m\", " +
                        range + ", would be right");
    return otherwise;
  }
  if (*parsed >= least && *parsed <= most) return *parsed;
  ReportAt(*node, Name(key) + " = \"" + text->get() + "\" is out of range; " + range + " would be right");
  return otherwise;
}

std::vector<std::string> TableReader::Texts(std::string_view key) {
  std::vector<std::string> texts;
  const toml::node* node = Find(key);
  if (!node) return texts;
  const toml::array* array = node->as_array();
  if (!array) {
    ReportAt(*node, Name(key) + " is " + std::string(KindOf(*node)) + "; a list of strings would be right");
    return texts;
  }
  for (const toml::node& item : *array) {
    if (const auto* text = item.as_string()) {
      texts.push_back(text->get());
    } else {
      ReportAt(item, Name(key) + " holds " + std::string(KindOf(item)) + "; a string would be right");
    }
  }
  return texts;
}

std::vector<std::int64_t> TableReader::Wholes(std::string_view key, std::int64_t least, std::int64_t most) {
  std::vector<std::int64_t> numbers;
  const toml::node* node = Find(key);
  if (!node) return numbers;
  const toml::array* array = node->as_array();
  if (!array) {
    ReportAt(*node,
             Name(key) + " is " + std::string(KindOf(*node)) + "; a list of whole numbers would be right");
    return numbers;
  }
  for (const toml::node& item : *array) {
    const auto* whole = item.as_integer();
    if (whole && whole->get() >= least && whole->get() <= most) {
      numbers.push_back(whole->get());
    } else {
      ReportAt(item, Name(key) + " holds what is no whole number from " + std::to_string(least) + " to " +
                         std::to_string(most));
    }
  }
  return numbers;
}

std::map<std::string, std::string> TableReader::TextMap(std::string_view key) {
  std::map<std::string, std::string> texts;
  const toml::node* node = Find(key);
  if (!node) return texts;
  const toml::table* table = node->as_table();
  if (!table) {
    ReportAt(*node, Name(key) + " is " + std::string(KindOf(*node)) + "; a table of strings would be right");
    return texts;
  }
  for (const auto& [name, item] : *table) {
    if (const auto* text = item.as_string()) {
      texts.emplace(std::string(name.str()), text->get());
    } else {
      ReportAt(item, Name(key) + "." + std::string(name.str()) + " is " + std::string(KindOf(item)) +
                         "; a string would be right");
    }
  }
  return texts;
}

std::unique_ptr<TableReader> TableReader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) return nullptr;
  if (const toml::table* table = node->as_table())
    return std::make_unique<TableReader>(*table, Name(key), file_, problems_);
  ReportAt(*node, Name(key) + " is " + std::string(KindOf(*node)) + "; a table, [" + Name(key) +
                      "], would be right");
  return nullptr;
}

std::vector<std::unique_ptr<TableReader>> TableReader::Tables(std::string_view key) {
  std::vector<std::unique_ptr<TableReader>> readers;
  const toml::node* node = Find(key);
  if (!node) return readers;
  const toml::array* array = node->as_array();
  if (array) {
    for (const toml::node& item : *array) {
      if (const toml::table* table = item.as_table()) {
        readers.push_back(std::make_unique<TableReader>(*table, Name(key), file_, problems_));
      } else {
        ReportAt(item, Name(key) + " holds " + std::string(KindOf(item)) + "; [[" + Name(key) +
                           "]] would be right");
      }
    }
    return readers;
  }
  ReportAt(*node, Name(key) + " is " + std::string(KindOf(*node)) + "; a list of tables, [[" + Name(key) +
                      "]], would be right");
  return readers;
}

void TableReader::Finish() {
  for (const auto& [key, node] : table_) {
    if (asked_.count(key.str())) continue;
    std::string text = (where_.empty() ? "" : where_ + ".") + std::string(key.str()) + " is no key here; ";
    const std::string* nearest = nullptr;
    std::size_t least = std::max<std::size_t>(2, key.str().size() / 3) + 1;
    for (const std::string& known : asked_) {
      const std::size_t distance = EditDistance(key.str(), known);
      if (distance < least) nearest = &known, least = distance;
    }
    if (nearest) {
      text += "did you mean " + *nearest + "?";
    } else if (asked_.empty()) {
      text += "none is known";
    } else {
      text += "known are";
      for (const std::string& known : asked_) text += (known == *asked_.begin() ? " " : ", ") + known;
    }
    const toml::source_position at = key.source().begin;
    problems_.push_back({file_, at.line, at.column, text});
  }
}

namespace {

// Where a character beyond ASCII stands outside of strings and comments, which TOML has no use for.
// Version 3.3 of toml++ takes such a one through code that its authors hold to be unreachable; it must never
// see one.
std::optional<std::pair<unsigned, unsigned>> StrayCharacter(std::string_view text) {
  enum class In { kPlain, kComment, kString } in = In::kPlain;
  std::string_view end;  // of the string
  unsigned line = 1, column = 1;
  std::size_t at = text.rfind("\xef\xbb\xbf", 0) == 0 ? 3 : 0;  // a byte order mark
  while (at < text.size()) {
    const char c = text[at];
    std::size_t step = 1;
    if (in == In::kPlain) {
      if (static_cast<unsigned char>(c) >= 0x80) return std::pair(line, column);
      if (c == '#') in = In::kComment;
      if (c == '"' || c == '\'') {
        in = In::kString;
        end = text.substr(at, 3) == std::string(3, c) ? text.substr(at, 3) : text.substr(at, 1);
        step = end.size();
      }
    } else if (in == In::kString && c == '\\' && end.front() == '"' && at + 1 < text.size() &&
               text[at + 1] != '\n') {
      step = 2;
    } else if (in == In::kString && text.substr(at, end.size()) == end) {
      step = end.size();
      in = In::kPlain;
    } else if (c == '\n' && (in == In::kComment || end.size() == 1)) {
      in = In::kPlain;
    }
    at += step;
    column += static_cast<unsigned>(step);
    if (c == '\n') ++line, column = 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<toml::table> ParseToml(std::string_view text, const std::string& file, Problems& problems) {
  if (const auto stray = StrayCharacter(text)) {
    problems.push_back({file, stray->first, stray->second,
                        "not TOML: a character beyond ASCII outside of quotes and comments"});
    return std::nullopt;
  }
  try {
    return toml::parse(text, std::string_view(file));
  } catch (const toml::parse_error& error) {
    std::string why(error.description());
    for (char& c : why) {
      if (static_cast<unsigned char>(c) < ' ') c = ' ';
    }
    problems.push_back({file, error.source().begin.line, error.source().begin.column, "not TOML: " + why});
    return std::nullopt;
  } catch (const std::invalid_argument& error) {  // see TOML_ASSERT
    problems.push_back({file, 0, 0, std::string("not TOML: ") + error.what()});
    return std::nullopt;
  }
}

std::optional<std::string> ReadFile(const std::string& path, std::size_t most, Problems& problems) {
  std::ifstream file(path, std::ios::binary);
  std::string text(most + 1, '\0');
  if (file) file.read(text.data(), static_cast<std::streamsize>(text.size()));
  // A folder opens, and fails only at the read.
  if (!file.is_open() || file.bad() || (file.fail() && !file.eof())) {
    problems.push_back({path, 0, 0, "cannot be read; give a file that this user may read"});
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > most) {
    problems.push_back(
        {path, 0, 0, "is too large; at most " + std::to_string(most) + " bytes would be right"});
    return std::nullopt;
  }
  return text;
}

}  // namespace badgerbridge::operator_config
