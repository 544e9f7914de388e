// SPDX-License-Identifier: Apache-2.0
#include "compatibility/installation.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <functional>
#include <optional>
#include <set>
#include <sstream>

#include "compatibility/golden_file.h"
#include "http_api/address.h"
#include "membership/member_codec.h"

namespace badgerbridge::compatibility {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr int kProxies = 2;
constexpr int kBackends = 3;
constexpr milliseconds kCallTimeout{5000};
constexpr milliseconds kMaxWaitForField{30000};

/// Fields whose values are words of a fixed set, or fixed by the test.
const std::set<std::string>& FieldsWithFixedValues() {
  static const std::set<std::string> kFields = {
      "agent",    "asked", "authority", "decide", "dry_run", "ended",     "halted",   "health", "id",
      "kind",     "name",  "result",    "state",  "status",  "verb",      "verdict",  "wanted", "what",
      "admitted", "zone",  "held",      "path",   "overdue", "converter", "instance", "disk",
  };
  return kFields;
}

std::string LastField(const std::string& path) {
  const std::size_t dot = path.rfind('.');
  return dot == std::string::npos ? path : path.substr(dot + 1);
}

/// Paths of `value` whose last field has a fixed value that is no object and no list.
void CollectFixedPaths(const json::value& value, const std::string& path, std::set<std::string>* paths) {
  if (value.is_object()) {
    for (const auto& [key, field] : value.get_object())
      CollectFixedPaths(field, path.empty() ? std::string(key) : path + "." + std::string(key), paths);
  } else if (value.is_array()) {
    for (const json::value& element : value.get_array()) CollectFixedPaths(element, path + "[]", paths);
  } else if (FieldsWithFixedValues().count(LastField(path))) {
    paths->insert(path);
  }
}

json::value ParseAnswer(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text.substr(0, text.find('\n')), error);
  return error ? json::value(json::string("no JSON: " + text)) : value;
}

std::string Indented(const std::string& text) {
  std::string indented;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) indented += "  " + line + "\n";
  return indented;
}

std::string AnswerText(const std::string& call, unsigned status, const json::value& body) {
  return call + ": " + std::to_string(status) + "\n" + Indented(FormOf(body));
}

}  // namespace

std::string FormOf(const json::value& answer) {
  std::set<std::string> fixed;
  CollectFixedPaths(answer, "", &fixed);
  return StructureOf(answer, fixed);
}

bool HasField(const std::string& form, const std::string& field) {
  return ("\n" + form).find("\n" + field) != std::string::npos ||
         ("\n" + form).find("\n  " + field) != std::string::npos;
}

Installation::Installation() {
  standins::SiteSettings settings;
  settings.proxies = kProxies;
  settings.backends = kBackends;
  settings.service = milliseconds(5);
  site_ = std::make_unique<standins::Site>(io_, settings);
  etcd_ = std::make_unique<standins::Etcd>(io_, standins::EtcdSettings{});
  etcd_address_ = http_api::ToText(etcd_->address(0));
  const std::string tables =
      "[etcd]\nendpoints = [\"" + etcd_address_ + "\"]\n[regions]\nzones = [\"a\", \"b\"]\n";
  for (int i = 0; i < kProxies; ++i)
    site_->Write(site_->Name(i) + ".toml",
                 "[control]\nsocket = \"" + Path(site_->Name(i) + ".sock") + "\"\n" + tables);
  site_->Write("operator.toml", tables);
  for (int i = 0; i < kBackends; ++i) RegisterBackend(i);
}

void Installation::RegisterBackend(int number, double since_ms) {
  const auto& backend = site_->backends()[static_cast<std::size_t>(number)];
  membership::Member member;
  member.name = backend->settings().name;
  member.address = backend->address();
  member.zone = backend->settings().zone;
  member.kind = backend->settings().kind;
  member.group = 1;
  member.start_time_ms = since_ms;
  etcd_->Put("/badgerbridge/converters/" + member.name, membership::SerializeMember(member));
}

void Installation::Start() {
  site_->StartAgent();
  ASSERT_TRUE(site_->Until([&] { return site_->All("ready"); })) << site_->Read("agent.err");
  ASSERT_TRUE(site_->Until([&] { return ProxyTakesPart("n1") && ProxyTakesPart("n2"); }));
  ASSERT_TRUE(site_->Until([&] { return AgentHasSeenLists(); }));
}

bool Installation::AgentHasSeenLists() {
  const http_api::Reply status = site_->Call("GET", "/v1/status");
  return status.ok() && !HasField(FormOf(status.body), "instances[].list.age_ms: null");
}

bool Installation::ProxyTakesPart(const std::string& proxy) {
  const http_api::Reply zones = CallProxy(proxy, "GET", "/v1/zones");
  const http_api::Reply status = CallProxy(proxy, "GET", "/v1/status");
  const http_api::Reply members = CallProxy(proxy, "GET", "/v1/members");
  if (!zones.ok() || !status.ok() || !members.ok()) return false;
  const std::string form = FormOf(members.body);
  return HasField(FormOf(zones.body), "admitted = true") &&
         HasField(FormOf(zones.body), "zones[].granted: number") &&
         HasField(FormOf(status.body), "list.age_ms: number") && !HasField(form, "sources[].age_ms: null") &&
         HasField(form, "members[].name = \"c-3\"");
}

http_api::Reply Installation::CallProxy(const std::string& proxy, const std::string& method,
                                        const std::string& path, const std::string& body) {
  auto reply = std::make_shared<std::optional<http_api::Reply>>();
  boost::asio::co_spawn(io_, http_api::CallUnix(Path(proxy + ".sock"), method, path, body, kCallTimeout),
                        [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
  EXPECT_TRUE(site_->Until([&] { return reply->has_value(); }));
  return reply->value_or(http_api::Reply{});
}

std::string Installation::ProxyAnswer(const std::string& proxy, const std::string& method,
                                      const std::string& path, const std::string& body,
                                      const std::string& field) {
  std::string text;
  site_->Until(
      [&] {
        const http_api::Reply reply = CallProxy(proxy, method, path, body);
        text = AnswerText(method + " " + path, reply.status, reply.body);
        return field.empty() || HasField(text, field);
      },
      kMaxWaitForField);
  return text;
}

std::string Installation::AgentAnswer(const std::string& method, const std::string& path,
                                      const std::string& body, const std::string& field) {
  std::string text;
  site_->Until(
      [&] {
        const http_api::Reply reply = site_->Call(method, path, body);
        text = AnswerText(method + " " + path, reply.status, reply.body);
        return field.empty() || HasField(text, field);
      },
      kMaxWaitForField);
  return text;
}

std::string Installation::CommandAnswer(std::vector<std::string> arguments, const std::string& field,
                                        std::optional<int> exit_code) {
  std::string command;
  for (const std::string& argument : arguments) {
    const bool is_path = argument.find('/') == 0;
    const bool is_address = argument == etcd_address_;
    command += " " + (is_path ? "FILE" : is_address ? "ADDRESS" : argument);
  }
  arguments.insert(arguments.end(), {"-o", "json"});
  std::string text;
  site_->Until(
      [&] {
        const standins::CommandResult result = site_->Ctl(arguments);
        text = "ctl" + command + ": exit " + std::to_string(result.code) + "\n";
        if (!result.out.empty()) text += Indented(FormOf(ParseAnswer(result.out)));
        if (exit_code && result.code != *exit_code) return false;
        return field.empty() || HasField(text, field);
      },
      kMaxWaitForField);
  return text;
}

}  // namespace badgerbridge::compatibility
