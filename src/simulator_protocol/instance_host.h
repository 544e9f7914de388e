// SPDX-License-Identifier: Apache-2.0

/// @file
/// Hosts one Balancer for each live instance, and carries events and actions between them and the wire.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_INSTANCE_HOST_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_INSTANCE_HOST_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <set>
#include <string>

#include "badgerbridge/balancer.h"
#include "simulator_protocol/messages.h"
#include "simulator_protocol/reply_writer.h"

namespace badgerbridge::simulator_protocol {

/// The instances that the simulator has created. One thread.
class InstanceHost {
 public:
  /// Warnings go to `warnings`, each once; it must outlive the host.
  explicit InstanceHost(std::ostream& warnings) : warnings_(warnings) {}

  /// Handles the records in order; returns the reply's frame. Settings that are not to be used are an
  /// internal error in the reply; events of an unknown code or for an instance that is not live are a
  /// warning.
  std::string Handle(const Batch& batch);

 private:
  void HandleRecord(balancer::TimePoint now, const Record& record);
  void Create(std::uint32_t instance, const CreateInstance& create);
  void WarnOnce(const std::string& warning);

  std::ostream& warnings_;
  std::map<std::uint32_t, balancer::Balancer> instances_;
  std::set<std::string> given_warnings_;
  ReplyWriter reply_;
};

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_INSTANCE_HOST_H_
