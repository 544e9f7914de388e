// SPDX-License-Identifier: Apache-2.0
#include "operator_config/table_reader.h"

#include <algorithm>
#include <numeric>

namespace badgerbridge::operator_config {
namespace {

using std::chrono::milliseconds;

// The Levenshtein distance, computed with one row of the matrix.
std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0]++;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t substitution = diagonal + (left[i - 1] != right[j - 1] ? 1 : 0);
      row[j] = std::min({above + 1, row[j - 1] + 1, substitution});
      diagonal = above;
    }
  }
  return row.back();
}

std::string_view TypeName(const toml::node& node) {
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

std::string FormatRange(std::int64_t min, std::int64_t max) {
  return std::to_string(min) + " to " + std::to_string(max);
}

}  // namespace

TableReader::TableReader(const toml::table& table, std::string where, const std::string& file,
                         Problems& problems)
    : table_(table), where_(std::move(where)), file_(file), problems_(problems) {}

const toml::node* TableReader::Find(std::string_view key) {
  known_keys_.emplace(key);
  return table_.get(key);
}

std::string TableReader::QualifiedName(std::string_view key) const {
  return where_.empty() ? std::string(key) : where_ + "." + std::string(key);
}

void TableReader::ReportAt(const toml::source_position& position, std::string text) {
  problems_.push_back({file_, position.line, position.column, std::move(text)});
}

void TableReader::ReportType(const toml::node& node, const std::string& name, std::string_view expected) {
  ReportAt(node, name + " is " + std::string(TypeName(node)) + "; " + std::string(expected));
}

void TableReader::Report(std::string_view key, std::string text) {
  const toml::node* node = table_.get(key);
  ReportAt(node ? *node : static_cast<const toml::node&>(table_),
           (key.empty() ? where_ : QualifiedName(key)) + " " + std::move(text));
}

void TableReader::Require(std::string_view key, std::string_view expected) {
  known_keys_.emplace(key);
  if (!Has(key)) Report(key, "is missing; give " + std::string(expected));
}

KeySpelling TableReader::ResolveRenamedKey(std::string_view key, std::string_view former_key) {
  known_keys_.emplace(key);
  const toml::node* node = table_.get(former_key);
  if (!node) return {key, std::nullopt};
  known_keys_.emplace(former_key);
  if (Has(key)) {
    Report(former_key,
           "is the former name of " + QualifiedName(key) + ", which stands here too; give that alone");
    return {key, std::nullopt};
  }
  const toml::source_position position = node->source().begin;
  Problem warning{file_, position.line, position.column,
                  "warning: " + QualifiedName(former_key) + " is now called " + QualifiedName(key) +
                      "; the former name still works"};
  return {former_key, std::move(warning)};
}

std::string TableReader::Text(std::string_view key, std::string default_value) {
  const toml::node* node = Find(key);
  if (!node) return default_value;
  if (const auto* text = node->as_string()) return text->get();
  ReportType(*node, QualifiedName(key), "a string would be right, in quotes");
  return default_value;
}

bool TableReader::Boolean(std::string_view key, bool default_value) {
  const toml::node* node = Find(key);
  if (!node) return default_value;
  if (const auto* boolean = node->as_boolean()) return boolean->get();
  ReportType(*node, QualifiedName(key), "true or false would be right");
  return default_value;
}

std::int64_t TableReader::Integer(std::string_view key, std::int64_t default_value, std::int64_t min,
                                  std::int64_t max) {
  const toml::node* node = Find(key);
  if (!node) return default_value;
  const std::string range = FormatRange(min, max);
  const auto* integer = node->as_integer();
  if (!integer) {
    ReportType(*node, QualifiedName(key), "a whole number, " + range + ", would be right");
    return default_value;
  }
  const std::int64_t value = integer->get();
  if (value >= min && value <= max) return value;
  ReportAt(*node, QualifiedName(key) + " = " + std::to_string(value) + " is out of range; " + range +
                      " would be right");
  return default_value;
}

milliseconds TableReader::Duration(std::string_view key, milliseconds default_value, milliseconds min,
                                   milliseconds max) {
  const toml::node* node = Find(key);
  if (!node) return default_value;
  const std::string range = FormatDuration(min) + " to " + FormatDuration(max);
  const auto* text = node->as_string();
  const auto duration = text ? ParseDuration(text->get()) : std::nullopt;
  if (!duration) {
    ReportAt(*node, QualifiedName(key) +
                        " is no duration; a number with its unit, such as \"250ms\", \"10s\" or \"2m\", " +
                        range + ", would be right");
    return default_value;
  }
  if (*duration >= min && *duration <= max) return *duration;
  ReportAt(*node,
           QualifiedName(key) + " = \"" + text->get() + "\" is out of range; " + range + " would be right");
  return default_value;
}

std::vector<std::string> TableReader::Texts(std::string_view key) {
  std::vector<std::string> texts;
  const toml::node* node = Find(key);
  if (!node) return texts;
  const toml::array* array = node->as_array();
  if (!array) {
    ReportType(*node, QualifiedName(key), "a list of strings would be right");
    return texts;
  }
  for (const toml::node& item : *array) {
    if (const auto* text = item.as_string()) {
      texts.push_back(text->get());
    } else {
      ReportAt(item,
               QualifiedName(key) + " holds " + std::string(TypeName(item)) + "; a string would be right");
    }
  }
  return texts;
}

std::vector<std::int64_t> TableReader::Integers(std::string_view key, std::int64_t min, std::int64_t max) {
  std::vector<std::int64_t> integers;
  const toml::node* node = Find(key);
  if (!node) return integers;
  const toml::array* array = node->as_array();
  if (!array) {
    ReportType(*node, QualifiedName(key), "a list of whole numbers would be right");
    return integers;
  }
  for (const toml::node& item : *array) {
    const auto* integer = item.as_integer();
    if (integer && integer->get() >= min && integer->get() <= max) {
      integers.push_back(integer->get());
    } else {
      ReportAt(item, QualifiedName(key) + " holds what is no whole number from " + FormatRange(min, max));
    }
  }
  return integers;
}

std::map<std::string, std::string> TableReader::TextMap(std::string_view key) {
  std::map<std::string, std::string> texts;
  const toml::node* node = Find(key);
  if (!node) return texts;
  const toml::table* table = node->as_table();
  if (!table) {
    ReportType(*node, QualifiedName(key), "a table of strings would be right");
    return texts;
  }
  for (const auto& [item_key, item] : *table) {
    const std::string item_name(item_key.str());
    if (const auto* text = item.as_string()) {
      texts.emplace(item_name, text->get());
    } else {
      ReportType(item, QualifiedName(key) + "." + item_name, "a string would be right");
    }
  }
  return texts;
}

std::unique_ptr<TableReader> TableReader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) return nullptr;
  const std::string name = QualifiedName(key);
  if (const toml::table* table = node->as_table())
    return std::make_unique<TableReader>(*table, name, file_, problems_);
  ReportType(*node, name, "a table, [" + name + "], would be right");
  return nullptr;
}

std::vector<std::unique_ptr<TableReader>> TableReader::Tables(std::string_view key) {
  std::vector<std::unique_ptr<TableReader>> readers;
  const toml::node* node = Find(key);
  if (!node) return readers;
  const std::string name = QualifiedName(key);
  const toml::array* array = node->as_array();
  if (!array) {
    ReportType(*node, name, "a list of tables, [[" + name + "]], would be right");
    return readers;
  }
  for (const toml::node& item : *array) {
    if (const toml::table* table = item.as_table()) {
      readers.push_back(std::make_unique<TableReader>(*table, name, file_, problems_));
    } else {
      ReportAt(item, name + " holds " + std::string(TypeName(item)) + "; [[" + name + "]] would be right");
    }
  }
  return readers;
}

void TableReader::Finish() {
  for (const auto& [key, node] : table_) {
    if (known_keys_.count(key.str()) == 0) ReportAt(key.source().begin, UnknownKeyMessage(key.str()));
  }
}

// The known key with the smallest edit distance to `key`; nullptr if none is within the tolerance, which is a
// third of the key's length, at least 2.
const std::string* TableReader::NearestKnownKey(std::string_view key) const {
  constexpr std::size_t kMinEditTolerance = 2;
  const std::string* nearest = nullptr;
  std::size_t min_distance = std::max(kMinEditTolerance, key.size() / 3) + 1;
  for (const std::string& known_key : known_keys_) {
    const std::size_t distance = EditDistance(key, known_key);
    if (distance >= min_distance) continue;
    nearest = &known_key;
    min_distance = distance;
  }
  return nearest;
}

std::string TableReader::UnknownKeyMessage(std::string_view key) const {
  std::string text = QualifiedName(key) + " is no key here; ";
  if (const std::string* nearest = NearestKnownKey(key)) return text + "did you mean " + *nearest + "?";
  if (known_keys_.empty()) return text + "none is known";
  text += "known are";
  std::string_view separator = " ";
  for (const std::string& known_key : known_keys_) {
    text.append(separator).append(known_key);
    separator = ", ";
  }
  return text;
}

}  // namespace badgerbridge::operator_config
