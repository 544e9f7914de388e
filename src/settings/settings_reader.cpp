// SPDX-License-Identifier: Apache-2.0
#include "settings/settings_reader.h"

#include <charconv>
#include <cmath>

namespace badgerbridge::settings {

SettingsReader::SettingsReader(std::string_view text) {
  while (!text.empty()) {
    const std::size_t line_end = text.find('\n');
    std::string_view line = text.substr(0, line_end);
    text.remove_prefix(line_end == std::string_view::npos ? text.size() : line_end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const std::size_t equals = line.find('=');
    if (equals != std::string_view::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
  }
}

double SettingsReader::Number(const std::string& key, double min, double max) {
  const auto found = values_.find(key);
  if (found == values_.end()) {
    RecordError(SettingsErrorCode::kAbsent, key);
    return 0;
  }
  const std::string_view text = found->second;
  const char* const text_end = text.data() + text.size();
  double value = 0;
  const auto [number_end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc() || number_end != text_end || !std::isfinite(value)) {
    RecordError(SettingsErrorCode::kNotANumber, key);
    return 0;
  }
  if (value < min || value > max) {
    RecordError(SettingsErrorCode::kOutOfRange, key);
    return 0;
  }
  return value;
}

double SettingsReader::NumberOr(const std::string& key, double default_value, double min, double max) {
  return values_.count(key) > 0 ? Number(key, min, max) : default_value;
}

int SettingsReader::Integer(const std::string& key, double min, double max) {
  const double value = Number(key, min, max);
  if (value != std::floor(value)) RecordError(SettingsErrorCode::kNotAnInteger, key);
  return static_cast<int>(value);
}

balancer::Duration SettingsReader::Time(const std::string& key) { return balancer::Duration(Number(key)); }

std::string_view SettingsReader::Text(const std::string& key) {
  const auto found = values_.find(key);
  if (found != values_.end()) return found->second;
  RecordError(SettingsErrorCode::kAbsent, key);
  return {};
}

std::string_view SettingsReader::TextOr(const std::string& key, std::string_view default_value) const {
  const auto found = values_.find(key);
  return found == values_.end() ? default_value : found->second;
}

void SettingsReader::RecordError(SettingsErrorCode code, const std::string& key) {
  if (error_) return;
  const auto found = values_.find(key);
  error_ = SettingsError{code, key, found == values_.end() ? std::string() : std::string(found->second)};
}

}  // namespace badgerbridge::settings
