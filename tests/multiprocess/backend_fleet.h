// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The backends of a run, in one process for each zone.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_BACKEND_FLEET_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_BACKEND_FLEET_H_

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

#include "multiprocess/links.h"
#include "multiprocess/role_process.h"
#include "simulator/model.h"

namespace badgerbridge::multiprocess {

/// What an endpoint list says of a backend.
enum class BackendStatus { kReady, kDraining, kGone };

/// The word of an endpoint list for a status.
const char* ToWire(BackendStatus status);

/// A backend of a run.
struct Backend {
  std::string name;                              ///< Its name.
  std::string address;                           ///< Its own, "address:port".
  int zone = 0;                                  ///< Its zone.
  int cell = 0;                                  ///< Its cell in the zone.
  std::size_t index_in_zone = 0;                 ///< Its place among those of its zone.
  BackendStatus status = BackendStatus::kReady;  ///< As it is published.
  double started_at_unix_ms = 0;                 ///< When its process started; 0: with the run.
  std::vector<std::string> addresses_by_zone;    ///< How the proxies of each zone reach it.

  /// How the proxies of a zone reach it.
  const std::string& AddressFor(int proxy_zone) const {
    return addresses_by_zone[static_cast<std::size_t>(proxy_zone)];
  }
};

/// A backend as endpoint lists and etcd's values have it, for the proxies of a zone.
boost::json::object EndpointJson(const Backend& backend, int proxy_zone);

/// Owns the backends' processes.
class BackendFleet {
 public:
  /// Starts the processes.
  explicit BackendFleet(RunContext& context);

  /// Whether all are set up.
  bool IsReady() const;
  /// The processes, by zone.
  const std::vector<std::unique_ptr<RoleProcess>>& processes() const { return processes_; }
  /// All backends, by number.
  std::vector<Backend>& backends() { return backends_; }
  /// All backends, by number.
  const std::vector<Backend>& backends() const { return backends_; }

  /// Opens each zone's links to all backends, which have to be ready.
  void OpenLinks(Links& links);
  /// Does something to a backend.
  void Change(const Backend& backend, BackendAction action, double value);

 private:
  void PlaceBackends();
  void StartZone(int zone);

  RunContext& context_;
  std::vector<Backend> backends_;
  std::vector<std::unique_ptr<RoleProcess>> processes_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_BACKEND_FLEET_H_
