// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/plan.h"

#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <cstdio>
#include <random>
#include <set>

namespace badgerbridge::scale {
namespace {

std::string Numbered(const char* format, std::size_t number) {
  char text[64];
  std::snprintf(text, sizeof text, format, number);
  return text;
}

}  // namespace

std::size_t Size::backends_per_proxy() const {
  if (flat()) return backends;
  return services_per_proxy * ((backends + services - 1) / services);
}

boost::json::object ToJson(const Size& size) {
  return {{"proxies", size.proxies},
          {"ledgers", size.ledgers},
          {"backends", size.backends},
          {"services", size.services},
          {"services_per_proxy", size.services_per_proxy},
          {"seed", size.seed},
          {"loses_deletions", size.loses_deletions},
          {"late_drains", size.late_drains}};
}

Size SizeFrom(const boost::json::object& object) {
  const auto number = [&](const char* key) { return object.at(key).to_number<std::size_t>(); };
  Size size;
  size.proxies = number("proxies");
  size.ledgers = number("ledgers");
  size.backends = number("backends");
  size.services = number("services");
  size.services_per_proxy = number("services_per_proxy");
  size.seed = number("seed");
  size.loses_deletions = object.at("loses_deletions").as_bool();
  size.late_drains = object.at("late_drains").as_bool();
  return size;
}

std::size_t ServiceOf(const Size& size, std::size_t backend) { return backend % size.services; }

std::size_t ZoneOf(std::size_t backend) {
  // Knuth's multiplicative hash: neighbours, and every n-th of them, fall into different zones.
  return static_cast<std::size_t>((backend * 2654435761u >> 16) % kZones);
}

std::string PrefixOf(const Size& size, std::size_t service) {
  return size.flat() ? WholePrefix(size) : WholePrefix(size) + Numbered("service-%04zu/", service);
}

std::string WholePrefix(const Size& size) {
  return size.flat() ? "/badgerbridge/converters/" : "/badgerbridge/services/";
}

membership::Member BackendAt(std::size_t backend) {
  membership::Member member;
  member.name = Numbered("backend-bay-03-%06zu", backend);
  member.address = "10." + std::to_string(backend >> 16 & 255) + "." + std::to_string(backend >> 8 & 255) +
                   "." + std::to_string(backend & 255) + ":18080";
  member.zone = Numbered("zone-%02zu", ZoneOf(backend));
  member.kind = "standard";
  member.group = 1;
  return member;
}

std::string KeyOf(const Size& size, std::size_t backend) {
  return PrefixOf(size, ServiceOf(size, backend)) + BackendAt(backend).name;
}

std::vector<std::size_t> ServicesOf(const Size& size, std::size_t proxy) {
  if (size.flat()) return {0};
  std::mt19937_64 random(size.seed * 1000003 + proxy);
  std::set<std::size_t> chosen;
  while (chosen.size() < std::min(size.services_per_proxy, size.services))
    chosen.insert(random() % size.services);
  return {chosen.begin(), chosen.end()};
}

}  // namespace badgerbridge::scale
