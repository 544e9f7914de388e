// SPDX-License-Identifier: Apache-2.0
#include "simulator_protocol/instance_host.h"

#include <ostream>
#include <utility>
#include <vector>

#include "settings/settings.h"

namespace badgerbridge::simulator_protocol {

std::string InstanceHost::Handle(const Batch& batch) {
  for (const Record& record : batch.records) HandleRecord(batch.now, record);
  return reply_.TakeFrame();
}

void InstanceHost::HandleRecord(balancer::TimePoint now, const Record& record) {
  const std::uint32_t instance = record.instance;
  if (const auto* ignored = std::get_if<IgnoredEvent>(&record.message)) {
    if (!ignored->is_known_code)
      WarnOnce("event code " + std::to_string(ignored->code) + " is not known; skipped");
    return;
  }
  if (const auto* create = std::get_if<CreateInstance>(&record.message)) return Create(instance, *create);
  const auto found = instances_.find(instance);
  if (found == instances_.end())
    return WarnOnce("events for instance " + std::to_string(instance) + ", which is not live; ignored");
  if (std::holds_alternative<CrashInstance>(record.message)) {
    instances_.erase(found);
    return;
  }
  std::vector<balancer::Action> actions;
  found->second.Handle(now, std::get<balancer::Event>(record.message), &actions);
  for (const balancer::Action& action : actions) reply_.Add(instance, action);
}

void InstanceHost::Create(std::uint32_t instance, const CreateInstance& create) {
  instances_.erase(instance);
  settings::Result<balancer::Settings> parsed = settings::ParseSettings(create.config);
  if (!parsed) {
    reply_.AddInternalError(instance, settings::Message(parsed.error()));
    return;
  }
  instances_.emplace(instance, balancer::Balancer(std::move(*parsed), create.seed));
}

void InstanceHost::WarnOnce(const std::string& warning) {
  const bool is_new = given_warnings_.insert(warning).second;
  if (is_new) warnings_ << "badgerbridge_drill: " << warning << '\n';
}

}  // namespace badgerbridge::simulator_protocol
