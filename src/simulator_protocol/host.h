// SPDX-License-Identifier: Apache-2.0
//
// Hosts one Balancer per live instance and carries events and actions between them and the wire.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_HOST_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_HOST_H_

#include <iosfwd>
#include <map>
#include <set>
#include <string>

#include "badgerbridge/balancer.h"
#include "simulator_protocol/codec.h"

namespace badgerbridge::simulator_protocol {

class Host {
 public:
  explicit Host(std::ostream& complaints) : complaints_(complaints) {}

  // The reply frame to a batch.
  std::string Answer(const Batch& batch);

 private:
  void Handle(TimePoint now, const Record& record);
  void TellOnce(const std::string& what);

  std::ostream& complaints_;
  std::map<std::uint32_t, Balancer> live_;
  std::set<std::string> told_;
  ReplyWriter reply_;
};

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_HOST_H_
