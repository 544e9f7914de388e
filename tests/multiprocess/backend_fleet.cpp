// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/backend_fleet.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::multiprocess {

namespace json = boost::json;

namespace {

// In each zone's addresses.
constexpr int kBackendHost = 1;
constexpr int kLinkHost = 3;  // of the links to backends

double MaxDeduplicationWindowMs(const simulator::Model& model) {
  double max_ms = 0;
  for (const simulator::ClassModel& request_class : model.classes)
    max_ms = std::max(max_ms, request_class.rules.deduplication_window.count());
  return max_ms;
}

}  // namespace

const char* ToWire(BackendStatus status) {
  switch (status) {
    case BackendStatus::kReady:
      return "Ready";
    case BackendStatus::kDraining:
      return "Terminating";
    case BackendStatus::kGone:
      return "Gone";
  }
  return "";
}

json::object EndpointJson(const Backend& backend, int proxy_zone) {
  return {{"name", backend.name},
          {"address", backend.AddressFor(proxy_zone)},
          {"zone", ZoneName(backend.zone)},
          {"type", "standard"},
          {"group", backend.cell},
          {"status", ToWire(backend.status)},
          {"weight", 1.0},
          {"since_ms", backend.started_at_unix_ms}};
}

BackendFleet::BackendFleet(RunContext& context) : context_(context) {
  PlaceBackends();
  for (int zone = 0; zone < context_.model.zones; ++zone) StartZone(zone);
}

void BackendFleet::PlaceBackends() {
  const simulator::Model& model = context_.model;
  const int cells = std::max(1, model.cells);
  for (int i = 0; i < model.backends; ++i) {
    Backend backend;
    backend.name = "c" + std::to_string(i + 1);
    backend.zone = i % model.zones;
    backend.cell = i / model.zones % cells;
    backend.index_in_zone = static_cast<std::size_t>(i / model.zones);
    backend.addresses_by_zone.resize(static_cast<std::size_t>(model.zones));
    backends_.push_back(std::move(backend));
  }
}

void BackendFleet::StartZone(int zone) {
  processes_.push_back(std::make_unique<RoleProcess>(context_, "converters", ZoneName(zone)));
  RoleProcess& process = *processes_.back();
  process.On<BackendOverloaded>([this](const BackendOverloaded& event) {
    context_.history.overloaded_backends.push_back(event.backend);
    context_.Note(event.backend + " failed under overload");
  });
  const simulator::BackendModel& model = context_.model.backend;
  BeginBackends command;
  command.zone = ZoneName(zone);
  command.host = context_.addresses.HostOf(zone, kBackendHost);
  command.deduplication_window_ms = MaxDeduplicationWindowMs(context_.model);
  command.slots = model.slots;
  command.queue = model.queue_capacity;
  command.speed = model.speed;
  command.slow_start_floor = model.slow_start_floor;
  command.slow_start_window_ms = model.slow_start_window.count();
  command.overload_factor = model.overload_factor;
  command.overload_duration_ms = model.overload_duration.count();
  for (const Backend& backend : backends_) {
    if (backend.zone == zone) command.backends.push_back({backend.name, backend.cell});
  }
  process.Send(command);
}

bool BackendFleet::IsReady() const {
  return std::all_of(processes_.begin(), processes_.end(),
                     [](const auto& process) { return process->is_ready(); });
}

void BackendFleet::OpenLinks(Links& links) {
  for (Backend& backend : backends_) {
    backend.address =
        processes_[static_cast<std::size_t>(backend.zone)]->addresses().at(backend.index_in_zone);
    for (int zone = 0; zone < context_.model.zones; ++zone) {
      backend.addresses_by_zone[static_cast<std::size_t>(zone)] =
          links.Open(ZoneName(zone), ZoneName(backend.zone), backend.address,
                     context_.addresses.HostOf(zone, kLinkHost));
    }
  }
}

void BackendFleet::Change(const Backend& backend, BackendAction action, double value) {
  processes_[static_cast<std::size_t>(backend.zone)]->Send(
      ChangeBackend{backend.index_in_zone, action, value});
}

}  // namespace badgerbridge::multiprocess
