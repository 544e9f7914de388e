// SPDX-License-Identifier: Apache-2.0
#include <boost/json.hpp>
#include <ctime>
#include <iostream>

#include "agent/agent.h"

namespace badgerbridge::agent {
namespace {

namespace json = boost::json;

std::string AuditLine(std::string_view who, std::string_view what, json::object more) {
  const std::time_t seconds = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char when[32];
  std::strftime(when, sizeof when, "%Y-%m-%dT%H:%M:%SZ", &parts);
  json::object line{{"when", when}, {"who", who}, {"what", what}};
  for (auto& [key, value] : more) line[key] = value;
  return json::serialize(line);
}

}  // namespace

bool Agent::Audit(std::string_view who, std::string_view what, json::object more) {
  return WriteAudit({AuditLine(who, what, std::move(more))});
}

bool Agent::WriteAudit(const std::vector<std::string>& lines) {
  if (audit_.Add(lines)) return true;
  for (const std::string& line : lines)
    std::cerr << "badgerbridge-agent: the audit log cannot be written: " << line << '\n';
  return false;
}

void Agent::AuditEnds() {
  std::vector<std::string> lines;
  for (const OrderState& order : fleet_.orders()) {
    for (const Part& part : order.parts) {
      if (!Final(part.result) || !audited_.insert(order.order.id + "/" + part.instance).second) continue;
      lines.push_back(
          AuditLine(order.order.who, "result",
                    {{"order", order.order.id},
                     {"verb", Name(order.order.verb)},
                     {"instance", part.instance},
                     {"result", Name(part.result)},
                     {"text", part.text},
                     {"took_ms", part.began == Time(0) ? 0 : (part.ended - part.began).count()}}));
    }
  }
  if (!lines.empty()) WriteAudit(lines);
  if (audited_.size() > 4 * kMostOrders * 16) {
    std::erase_if(audited_,
                  [this](const std::string& key) { return !fleet_.FindOrder(key.substr(0, key.find('/'))); });
  }
}

}  // namespace badgerbridge::agent
