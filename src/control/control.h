// SPDX-License-Identifier: Apache-2.0
//
// A proxy's control API; docs/operators/control.md lists the calls. It only reads what the proxy holds, and
// asks the listener to drain or the program to stop: no decision on a request is made here.
#ifndef BADGERBRIDGE_CONTROL_CONTROL_H_
#define BADGERBRIDGE_CONTROL_CONTROL_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <optional>
#include <string>

#include "api/server.h"
#include "node/client.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/proxy.h"
#include "operator/operator_file.h"

namespace badgerbridge::control {

constexpr std::chrono::milliseconds kMostDeadline{3600000};

struct Reloads {
  std::uint64_t applied = 0, refused = 0;
  std::string last_error;  // of the newest, if that was refused
};

class Control {
 public:
  // What it reports on; all must outlive it.
  struct Subject {
    const node::Config& config;
    const node::NodeClock& clock;
    node::Proxy& proxy;
    node::Listener& listener;
    const node::ListReader& list;
    const Reloads& reloads;
    std::function<void()> stop;
    std::function<boost::json::value()> members = nullptr;  // the ledger, where there is one
    std::function<std::size_t()> release = nullptr;         // lets go what it holds; how many that were
    std::function<boost::json::value()> zones = nullptr;    // its part in the regions, where it has one
  };

  // Throws std::runtime_error if it can't listen.
  Control(boost::asio::io_context& io, const operator_file::Control& settings, Subject subject);

  api::Response Handle(const api::Request& request);

 private:
  boost::json::object Status() const;
  boost::json::object Converters() const;
  std::string_view State() const;
  api::Response Drain(const api::Request& request);

  Subject subject_;
  fordlb::TimePoint started_;
  std::optional<fordlb::TimePoint> drain_began_, drain_due_;
  api::UnixServer server_;
};

}  // namespace badgerbridge::control

#endif  // BADGERBRIDGE_CONTROL_CONTROL_H_
