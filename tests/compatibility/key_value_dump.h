// SPDX-License-Identifier: Apache-2.0
//
/// What was read from a file, as lines "key = value" under the file's own key names, for golden files.
/// Enumerators stand as numbers, so that their names in the code do not matter.
#ifndef BADGERBRIDGE_TESTS_COMPATIBILITY_KEY_VALUE_DUMP_H_
#define BADGERBRIDGE_TESTS_COMPATIBILITY_KEY_VALUE_DUMP_H_

#include <charconv>
#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace badgerbridge::compatibility {

class KeyValueDump {
 public:
  /// All lines so far.
  const std::string& text() const { return text_; }

  /// Keys that are added from here on stand below `table`, as in "agent.tls"; "" for the file's root.
  void BeginTable(std::string table) { table_ = std::move(table); }

  template <typename T>
  void Add(std::string_view key, const T& value) {
    text_ += (table_.empty() ? "" : table_ + ".") + std::string(key) + " = " + Text(value) + "\n";
  }

 private:
  static std::string Text(const std::string& value) { return "\"" + value + "\""; }
  static std::string Text(bool value) { return value ? "true" : "false"; }
  /// The shortest form that is read back as the same number.
  static std::string Text(double value) {
    char digits[32];
    const auto end = std::to_chars(digits, digits + sizeof digits, value);
    return {digits, end.ptr};
  }
  template <typename T>
  requires std::is_integral_v<T> &&(!std::is_same_v<T, bool>)static std::string Text(T value) {
    return std::to_string(value);
  }
  template <typename T>
  requires std::is_enum_v<T>
  static std::string Text(T value) { return "#" + std::to_string(static_cast<int>(value)); }
  template <typename Rep, typename Period>
  static std::string Text(std::chrono::duration<Rep, Period> value) {
    return Text(std::chrono::duration<double, std::milli>(value).count()) + " ms";
  }
  template <typename T>
  static std::string Text(const std::vector<T>& values) {
    std::string text = "[";
    for (const T& value : values) text += (text.size() > 1 ? ", " : "") + Text(value);
    return text + "]";
  }
  template <typename T>
  static std::string Text(const std::map<std::string, T>& values) {
    std::string text = "{";
    for (const auto& [key, value] : values) text += (text.size() > 1 ? ", " : "") + key + ": " + Text(value);
    return text + "}";
  }

  std::string table_;
  std::string text_;
};

}  // namespace badgerbridge::compatibility

#endif  // BADGERBRIDGE_TESTS_COMPATIBILITY_KEY_VALUE_DUMP_H_
