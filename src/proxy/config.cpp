// SPDX-License-Identifier: Apache-2.0
#include "proxy/config.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>

#include "settings/settings.h"

namespace badgerbridge::proxy {
namespace json = boost::json;
namespace {

// For the listener, discovery, epoll, logs, and connections that are accepted only to be rejected.
constexpr std::size_t kReservedSockets = 48;
constexpr std::size_t kMinSockets = 64;  // fewer leave no sockets for requests
// Requests use up to a third of all sockets; the rest of this fraction is left for other clients.
constexpr double kClientFractionOfSockets = 0.55;
constexpr double kClientFractionOfMemory = 7.0 / 9;  // the rest is for endpoint lists and backend connections
constexpr double kBytesPerMegabyte = 1 << 20;

std::string ScalarText(const json::value& value) {
  std::string text = value.is_string() ? std::string(value.get_string()) : json::serialize(value);
  const auto is_separator = [](char byte) {
    return byte == ' ' || byte == ',' || byte == '\n' || byte == '\r';
  };
  std::replace_if(text.begin(), text.end(), is_separator, '_');
  return text;
}

void FlattenInto(const std::string& path, const json::value& value, std::string& lines);

// An array of scalars becomes one line; an array of objects becomes a count and the lines of each object.
void FlattenArray(const std::string& path, const std::string& prefix, const json::array& array,
                  std::string& lines) {
  const bool has_objects = !array.empty() && array.front().is_object();
  if (has_objects) {
    lines += prefix + "count=" + std::to_string(array.size()) + "\n";
    for (std::size_t i = 0; i < array.size(); ++i) FlattenInto(prefix + std::to_string(i), array[i], lines);
    return;
  }
  std::string list;
  for (const json::value& item : array) {
    if (!list.empty()) list += ',';
    list += ScalarText(item);
  }
  lines += path + "=" + list + "\n";
}

void FlattenInto(const std::string& path, const json::value& value, std::string& lines) {
  const std::string prefix = path.empty() ? path : path + '.';
  if (const json::object* object = value.if_object()) {
    for (const auto& [key, member] : *object) FlattenInto(prefix + std::string(key), member, lines);
  } else if (const json::array* array = value.if_array()) {
    FlattenArray(path, prefix, *array, lines);
  } else if (!value.is_null()) {
    lines += path + "=" + ScalarText(value) + "\n";
  }
}

const json::value* Find(const json::value& root, std::string_view pointer) {
  boost::system::error_code error;
  return root.find_pointer(pointer, error);
}

double NumberOr(const json::value& root, std::string_view pointer, double otherwise) {
  const json::value* found = Find(root, pointer);
  if (!found || found->is_null()) return otherwise;
  boost::system::error_code error;
  const double number = found->to_number<double>(error);
  if (error || !std::isfinite(number) || number < 0)
    throw BadConfig({ConfigErrorCode::kInvalidNumber, std::string(pointer), json::serialize(*found)});
  return number;
}

std::string TextOrEmpty(const json::value& root, std::string_view pointer) {
  const json::value* found = Find(root, pointer);
  return found && found->is_string() ? std::string(found->get_string()) : std::string();
}

// Reads an array of strings, or the "name" members of an array of objects.
std::vector<std::string> ReadNames(const json::value& root, std::string_view pointer) {
  std::vector<std::string> names;
  const json::value* found = Find(root, pointer);
  if (!found || !found->is_array()) return names;
  for (const json::value& item : found->get_array())
    names.push_back(item.is_string() ? std::string(item.get_string()) : TextOrEmpty(item, "/name"));
  return names;
}

// The value of the environment variable, or of the JSON member if the variable is unset or empty.
std::string Override(const json::value& root, std::string_view pointer, const char* variable,
                     const Environment& environment) {
  const char* value = environment(variable);
  return value && *value ? value : TextOrEmpty(root, pointer);
}

boost::asio::ip::tcp::endpoint ReadAddress(const json::value& root, std::string_view pointer,
                                           const char* variable, const Environment& environment) {
  const std::string text = Override(root, pointer, variable, environment);
  const auto address = ParseAddress(text);
  if (!address) throw BadConfig({ConfigErrorCode::kInvalidAddress, variable, text});
  return *address;
}

std::uint64_t ReadSeed(const json::value& root) {
  constexpr int kHexadecimal = 16;
  const std::string text = TextOrEmpty(root, "/seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, kHexadecimal);
  if (error != std::errc() || end != text.data() + text.size())
    throw BadConfig({ConfigErrorCode::kInvalidSeed, "/seed", text});
  return seed;
}

Settings ReadSettings(const json::value& settings) {
  settings::Result<Settings> parsed = settings::ParseSettings(Flatten(settings));
  if (!parsed)
    throw BadConfig({ConfigErrorCode::kInvalidSettings, "/settings", settings::Message(parsed.error())});
  return std::move(*parsed);
}

// Divides the sockets between clients and backends; memory limits the clients further.
void SetConnectionLimits(const json::value& root, Config& config) {
  const auto sockets = static_cast<std::size_t>(NumberOr(root, "/limits/sockets", 1024));
  if (sockets < kMinSockets)
    throw BadConfig({ConfigErrorCode::kTooFewSockets, "/limits/sockets", std::to_string(sockets)});
  const double by_memory = NumberOr(root, "/limits/memory_mb", 192) * kBytesPerMegabyte *
                           kClientFractionOfMemory / kMaxBytesPerClient;
  const auto for_clients = static_cast<std::size_t>((sockets - kReservedSockets) * kClientFractionOfSockets);
  config.max_clients = std::max<std::size_t>(1, std::min(for_clients, static_cast<std::size_t>(by_memory)));
  config.max_backend_connections = sockets - kReservedSockets - for_clients;
}

}  // namespace

std::string Flatten(const json::value& settings) {
  std::string lines;
  FlattenInto("", settings, lines);
  return lines;
}

Config ParseConfig(std::string_view text, const Environment& environment) {
  boost::system::error_code error;
  const json::value root = json::parse(json::string_view(text.data(), text.size()), error);
  if (error) throw BadConfig({ConfigErrorCode::kInvalidJson, "", error.message()});
  const json::value* settings = Find(root, "/settings");
  if (!settings || !settings->is_object())
    throw BadConfig({ConfigErrorCode::kMissingSettings, "/settings", ""});

  Config config;
  config.name = Override(root, "/name", "ROUTER_NAME", environment);
  config.listen = ReadAddress(root, "/listen", "ROUTER_LISTEN", environment);
  config.discovery = ReadAddress(root, "/discovery", "ROUTER_DISCOVERY", environment);
  config.seed = ReadSeed(root);
  config.settings = ReadSettings(*settings);
  config.classes = ReadNames(*settings, "/classes");
  config.tenants = ReadNames(*settings, "/tenants");
  config.zones = ReadNames(*settings, "/zones");
  config.kinds = ReadNames(*settings, "/kinds");
  config.connect_timeout = Duration(NumberOr(*settings, "/permissions/connectTimeoutMs", 250));
  config.backend_idle_timeout = Duration(NumberOr(*settings, "/permissions/connIdleMs", 15000));
  SetConnectionLimits(root, config);
  if (const json::value* known = Find(root, "/known")) config.known = *known;
  return config;
}

Config ReadConfig(const Environment& environment) {
  const char* path = environment("ROUTER_CONFIG");
  if (!path || !*path) throw BadConfig({ConfigErrorCode::kMissingVariable, "ROUTER_CONFIG", ""});
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw BadConfig({ConfigErrorCode::kUnreadableFile, path, ""});
  return ParseConfig(text.str(), environment);
}

ConfigResult<Config> RereadConfig(const Environment& environment) {
  try {
    return ReadConfig([&](const char* name) {
      return std::string_view(name) == "ROUTER_DISCOVERY" ? nullptr : environment(name);
    });
  } catch (const BadConfig& bad) {
    return bad.error();
  }
}

}  // namespace badgerbridge::proxy
