// SPDX-License-Identifier: Apache-2.0
//
// members drain, undrain and register: from their options to the calls on etcd.
#include <chrono>
#include <iostream>

#include "cli/etcd_session.h"
#include "cli/member_state_command.h"
#include "cli/members_command_line.h"
#include "cli/registration_command.h"
#include "http_api/address.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::cli {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinLeaseTtl{1000};

/// The [etcd] table of the operator's file at `path`; the default where there is no path.
Result<operator_config::EtcdSettings> LoadEtcdTable(const std::string& path) {
  if (path.empty()) return operator_config::EtcdSettings{};
  const auto file = operator_config::LoadOperatorFile(path);
  operator_config::Problems problems = file.problems;
  if (problems.empty() && !file.etcd) problems.push_back({path, 0, 0, "has no [etcd] table"});
  if (!problems.empty()) return InvalidFile{problems};
  return *file.etcd;
}

bool IsAddressWithPort(const std::string& text) {
  const auto address = http_api::ParseAddress(text);
  return address && address->port() != 0;
}

Result<operator_config::EtcdSettings> FindEtcd(const MembersOptions& options) {
  const bool has_endpoints = !options.etcd_endpoints.empty();
  const std::string path = has_endpoints ? options.operator_file : OperatorFilePath(options.operator_file);
  if (path.empty() && !has_endpoints) return MissingEtcdAddress{};
  Result<operator_config::EtcdSettings> etcd = LoadEtcdTable(path);
  if (!etcd) return etcd;
  if (has_endpoints) etcd->endpoints = options.etcd_endpoints;
  for (const std::string& endpoint : etcd->endpoints) {
    if (!IsAddressWithPort(endpoint)) return InvalidEtcdAddress{endpoint};
  }
  return etcd;
}

Result<ExitCode> RunStateChange(const GlobalOptions& global, const MembersOptions& options,
                                membership::MemberState state) {
  const auto etcd = FindEtcd(options);
  if (!etcd) return etcd.error();
  const auto timeout = ParseTimeout(global, kDefaultEtcdTimeout);
  if (!timeout) return timeout.error();
  const EtcdCommandOptions command{global.is_json(), options.dry_run, *timeout};
  return ChangeMemberStates(*etcd, command, options.backends, state, std::cout);
}

double UnixTimeMs() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<double>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

/// Sets the two durations of the registration; the error names all that are wrong.
Result<membership::RegistrationSettings> WithDurations(membership::RegistrationSettings settings,
                                                       const RegistrationOptions& options) {
  const auto lease_ttl = operator_config::ParseDuration(options.lease_ttl);
  const auto drain_time = operator_config::ParseDuration(options.drain_time);
  InvalidDurations invalid;
  if (!lease_ttl) invalid.options.push_back({"--ttl", options.lease_ttl});
  if (!drain_time) invalid.options.push_back({"--drain-for", options.drain_time});
  if (!invalid.options.empty()) return invalid;
  if (!IsAddressWithPort(options.address) || *lease_ttl < kMinLeaseTtl) return InvalidRegistration{};
  settings.lease_ttl = std::chrono::duration_cast<std::chrono::seconds>(*lease_ttl);
  settings.drain_time = *drain_time;
  return settings;
}

Result<membership::RegistrationSettings> MakeRegistration(const MembersOptions& options) {
  const RegistrationOptions& given = options.registration;
  membership::RegistrationSettings settings;
  settings.member.name = options.backends.front();
  settings.member.address = given.address;
  settings.member.zone = given.zone;
  settings.member.kind = given.kind;
  settings.member.group = given.group;
  settings.member.weight = given.weight;
  settings.member.start_time_ms = given.start_time_ms == 0 ? UnixTimeMs() : given.start_time_ms;
  return WithDurations(std::move(settings), given);
}

}  // namespace

Result<ExitCode> RunMembersDrain(const GlobalOptions& global, const MembersOptions& options) {
  return RunStateChange(global, options, membership::MemberState::kDraining);
}

Result<ExitCode> RunMembersUndrain(const GlobalOptions& global, const MembersOptions& options) {
  return RunStateChange(global, options, membership::MemberState::kReady);
}

Result<ExitCode> RunMembersRegister(const GlobalOptions& global, const MembersOptions& options) {
  const auto etcd = FindEtcd(options);
  if (!etcd) return etcd.error();
  // A registration lasts until it is ended, but a wrong value is reported all the same.
  const auto timeout = ParseTimeout(global, kDefaultEtcdTimeout);
  if (!timeout) return timeout.error();
  const auto settings = MakeRegistration(options);
  if (!settings) return settings.error();
  return RegisterMember(*etcd, *settings, std::cerr);
}

}  // namespace badgerbridge::cli
