// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/member_conversion.h"

#include "admin_api/name_lookup.h"
#include "http_api/address.h"

namespace badgerbridge::proxy_main {
namespace {

using balancer::BackendState;
using membership::MemberState;

MemberState ToMemberState(BackendState state) {
  switch (state) {
    case BackendState::kReady:
      return MemberState::kReady;
    case BackendState::kDraining:
      return MemberState::kDraining;
    case BackendState::kGone:
      return MemberState::kGone;
  }
  return MemberState::kGone;
}

BackendState ToBackendState(MemberState state) {
  switch (state) {
    case MemberState::kReady:
      return BackendState::kReady;
    case MemberState::kDraining:
      return BackendState::kDraining;
    case MemberState::kGone:
      return BackendState::kGone;
  }
  return BackendState::kGone;
}

}  // namespace

membership::Member ToMember(const proxy::Endpoint& endpoint, const EndpointNames& names) {
  membership::Member member;
  member.name = endpoint.name;
  member.address = http_api::ToText(endpoint.address);
  member.zone = admin_api::NameAt(names.zones, endpoint.entry.zone);
  member.kind = admin_api::NameAt(names.kinds, endpoint.entry.kind);
  member.group = endpoint.entry.cell;
  member.weight = endpoint.entry.weight;
  member.start_time_ms = endpoint.entry.up_since.time_since_epoch().count();
  member.state = ToMemberState(endpoint.entry.state);
  return member;
}

proxy::ListedEndpoint ToListedEndpoint(const membership::Member& member) {
  proxy::ListedEndpoint endpoint{member.name, member.zone, member.kind,
                                 http_api::ParseAddress(member.address)};
  endpoint.state = ToBackendState(member.state);
  endpoint.cell = member.group;
  endpoint.weight = member.weight;
  endpoint.started_at_ms = member.start_time_ms;
  return endpoint;
}

}  // namespace badgerbridge::proxy_main
