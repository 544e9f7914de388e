// SPDX-License-Identifier: Apache-2.0
#include "proxy/config.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

#include "settings/settings.h"

namespace badgerbridge::proxy {
namespace json = boost::json;
namespace {

constexpr std::size_t kReservedSockets =
    48;                                    // listener, discovery, epoll, logs, and room to accept and refuse
constexpr std::size_t kLeastSockets = 64;  // below, there is nothing left to serve with
constexpr double kBytesPerClient = 144 << 10;  // a request and its answer at their largest
constexpr double kShareOfClients =
    0.55;  // of the sockets; requests take up to a third of all, so spares for others
constexpr double kMemoryForClients = 0.5;

std::string PlainValue(const json::value& value) {
  std::string text = value.is_string() ? std::string(value.get_string()) : json::serialize(value);
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ',' || c == '\n' || c == '\r'; }, '_');
  return text;
}

void FlattenInto(const std::string& path, const json::value& value, std::string* out) {
  std::string below = path;
  if (!below.empty()) below += '.';
  if (const json::object* object = value.if_object()) {
    for (const auto& [key, member] : *object) FlattenInto(below + std::string(key), member, out);
    return;
  }
  if (const json::array* array = value.if_array()) {
    const bool objects = !array->empty() && array->front().is_object();
    if (!objects) {
      std::string list;
      for (const json::value& item : *array) {
        if (!list.empty()) list += ',';
        list += PlainValue(item);
      }
      *out += path + "=" + list + "\n";
      return;
    }
    *out += below + "count=" + std::to_string(array->size()) + "\n";
    for (std::size_t i = 0; i < array->size(); ++i) FlattenInto(below + std::to_string(i), (*array)[i], out);
    return;
  }
  if (!value.is_null()) *out += path + "=" + PlainValue(value) + "\n";
}

const json::value* At(const json::value& root, std::string_view pointer) {
  boost::system::error_code error;
  return root.find_pointer(pointer, error);
}

double NumberOr(const json::value& root, std::string_view pointer, double otherwise) {
  const json::value* found = At(root, pointer);
  if (!found || found->is_null()) return otherwise;
  boost::system::error_code error;
  const double number = found->to_number<double>(error);
  if (error || !std::isfinite(number) || number < 0)
    throw BadConfig("not a number of at least 0: " + std::string(pointer));
  return number;
}

std::string Text(const json::value& root, std::string_view pointer) {
  const json::value* found = At(root, pointer);
  return found && found->is_string() ? std::string(found->get_string()) : std::string();
}

// The names in a list of names, or of objects that have one.
std::vector<std::string> Names(const json::value& root, std::string_view pointer) {
  std::vector<std::string> names;
  const json::value* found = At(root, pointer);
  if (!found || !found->is_array()) return names;
  for (const json::value& item : found->get_array())
    names.push_back(item.is_string() ? std::string(item.get_string()) : Text(item, "/name"));
  return names;
}

boost::asio::ip::tcp::endpoint Address(const json::value& root, std::string_view pointer,
                                       const char* variable, const Environment& environment) {
  const char* given = environment(variable);
  const std::string text = given && *given ? given : Text(root, pointer);
  const auto address = ParseAddress(text);
  if (!address) throw BadConfig(std::string(variable) + " is not an address and port: '" + text + "'");
  return *address;
}

std::uint64_t Seed(const json::value& root) {
  const std::string text = Text(root, "/seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw BadConfig("seed is not a number in hexadecimal digits");
  return seed;
}

}  // namespace

std::string Flatten(const json::value& settings) {
  std::string text;
  FlattenInto("", settings, &text);
  return text;
}

Config ParseConfig(std::string_view text, const Environment& environment) {
  boost::system::error_code error;
  const json::value root = json::parse(json::string_view(text.data(), text.size()), error);
  if (error) throw BadConfig("the configuration is not JSON: " + error.message());
  const json::value* settings = At(root, "/settings");
  if (!settings || !settings->is_object()) throw BadConfig("the configuration has no settings");

  Config config;
  const char* name = environment("ROUTER_NAME");
  config.name = name && *name ? name : Text(root, "/name");
  config.listen = Address(root, "/listen", "ROUTER_LISTEN", environment);
  config.discovery = Address(root, "/discovery", "ROUTER_DISCOVERY", environment);
  config.seed = Seed(root);
  try {
    config.settings = settings::ParseSettings(Flatten(*settings));
  } catch (const settings::BadSettings& bad) {
    throw BadConfig(bad.what());
  }
  config.classes = Names(*settings, "/classes");
  config.tenants = Names(*settings, "/tenants");
  config.zones = Names(*settings, "/zones");
  config.kinds = Names(*settings, "/kinds");
  config.connect_timeout = Duration(NumberOr(*settings, "/permissions/connectTimeoutMs", 250));
  config.idle_limit = Duration(NumberOr(*settings, "/permissions/connIdleMs", 15000));

  const auto sockets = static_cast<std::size_t>(NumberOr(root, "/limits/sockets", 1024));
  if (sockets < kLeastSockets) throw BadConfig("limits.sockets is too few to serve with");
  const double by_memory =
      NumberOr(root, "/limits/memory_mb", 192) * (1 << 20) * kMemoryForClients / kBytesPerClient;
  const auto for_clients = static_cast<std::size_t>((sockets - kReservedSockets) * kShareOfClients);
  config.max_clients = std::max<std::size_t>(1, std::min(for_clients, static_cast<std::size_t>(by_memory)));
  config.max_backend_connections = sockets - kReservedSockets - for_clients;
  if (const json::value* known = At(root, "/known")) config.known = *known;
  return config;
}

Config ReadConfig(const Environment& environment) {
  const char* path = environment("ROUTER_CONFIG");
  if (!path || !*path) throw BadConfig("ROUTER_CONFIG is not set");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw BadConfig(std::string("cannot read ") + path);
  return ParseConfig(text.str(), environment);
}

Config RereadConfig(const Environment& environment) {
  return ReadConfig([&](const char* name) {
    return std::string_view(name) == "ROUTER_DISCOVERY" ? nullptr : environment(name);
  });
}

}  // namespace badgerbridge::proxy
