// SPDX-License-Identifier: Apache-2.0
//
// Reads settings one key at a time from lines "path=value", and keeps the first error.
#ifndef BADGERBRIDGE_SETTINGS_SETTINGS_READER_H_
#define BADGERBRIDGE_SETTINGS_SETTINGS_READER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "badgerbridge/balancer.h"
#include "settings/error.h"

namespace badgerbridge::settings {

/// The default upper bound of a setting, above every count, time (in ms) and rate of a deployment.
constexpr double kMaxValue = 1e12;

/// Reads typed values from settings text. If a value is invalid or a required key is absent, a function
/// returns 0 or empty text and records the error, unless an earlier one is recorded. Not thread-safe.
class SettingsReader {
 public:
  /// `text` must outlive the reader.
  explicit SettingsReader(std::string_view text);

  /// The number at a required key, from `min` to `max`.
  double Number(const std::string& key, double min = 0, double max = kMaxValue);
  /// The number at an optional key, from `min` to `max`.
  double NumberOr(const std::string& key, double default_value, double min = 0, double max = kMaxValue);
  /// The integer at a required key, from `min` to `max`.
  int Integer(const std::string& key, double min, double max);
  /// The time in milliseconds at a required key.
  balancer::Duration Time(const std::string& key);
  /// The text at a required key.
  std::string_view Text(const std::string& key);
  /// The text at an optional key.
  std::string_view TextOr(const std::string& key, std::string_view default_value) const;

  /// Records an error for `key` and its value, unless an error is recorded already.
  void RecordError(SettingsErrorCode code, const std::string& key);
  /// The first error; std::nullopt if every value read so far is valid.
  const std::optional<SettingsError>& error() const { return error_; }

 private:
  std::map<std::string_view, std::string_view, std::less<>> values_;
  std::optional<SettingsError> error_;
};

}  // namespace badgerbridge::settings

#endif  // BADGERBRIDGE_SETTINGS_SETTINGS_READER_H_
