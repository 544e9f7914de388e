// SPDX-License-Identifier: Apache-2.0

/// @file
/// An installation, its load and the events that it meets, as plain values: the content of a scenario file,
/// or of a test. Times are virtual; those of events are from the start of the run.
#ifndef BADGERBRIDGE_SIMULATOR_MODEL_H_
#define BADGERBRIDGE_SIMULATOR_MODEL_H_

#include <string>
#include <vector>

#include "badgerbridge/balancer.h"
#include "simulator/backend.h"
#include "simulator/distribution.h"

namespace badgerbridge::simulator {

/// One request class.
struct ClassModel {
  std::string name;               ///< As the platform's settings have it.
  balancer::ClassSettings rules;  ///< What the proxies know of it.
  double share = 1;               ///< Of the arrivals, by weight.
  Distribution work;              ///< Of a request, ms on a standard core.
  bool has_work_hint = true;      ///< Requests carry a hint of their work.
};

/// The clients of the installation.
struct ClientModel {
  double requests_per_second = 100;  ///< All classes together, without retries; a Poisson process.
  int max_submissions = 1;           ///< Of a request; 1: clients do not retry.
  bool honours_retry_after = true;   ///< Retry-After is added to the delay before a retry.
  Distribution retry_delay{Distribution::Kind::kExponential, 100, 1, {}};  ///< Before a retry.
  double disconnect_share = 0;  ///< Of submissions whose client disconnects, evenly before the deadline.
};

/// Links and discovery.
struct NetworkModel {
  Distribution latency{Distribution::Kind::kConstant, 0.25, 1, {}};  ///< One way.
  Duration connect_timeout{250};                                     ///< Of a proxy's connections.
  Duration failover_detection{2000};  ///< Until the front notices that a proxy has died.
  /// From a change of the endpoint list until a proxy is notified, drawn for each.
  Distribution list_delay{Distribution::Kind::kExponential, 300, 1, {}};
  double reset_share = 0;  ///< Of requests whose connection is reset once they have been written.
};

/// An event of the scenario's timetable.
struct ScenarioEvent {
  /// What happens, and to what.
  enum class Kind {
    kDrain,       ///< Backends: begin to drain.
    kStop,        ///< Backends: stop, and are listed as gone.
    kStart,       ///< Backends: start as new processes, in slow start, and are listed as ready.
    kSlow,        ///< Backends: slow down by the factor `value`.
    kErrors,      ///< Backends: the share `value` of responses are errors.
    kPause,       ///< Backends: pause for `value` ms.
    kKill,        ///< Proxies: die at once; their connections are reset.
    kRevive,      ///< Proxies: start again with the current endpoint list.
    kLoad,        ///< Arrivals: the factor `value` of the model's.
    kCut,         ///< Links between proxies and backends of `zone` and of other zones drop everything.
    kHeal,        ///< Ends the cut of `zone`.
    kEtcdDown,    ///< No call of etcd is answered, until kEtcdUp.
    kEtcdUp,      ///< Ends kEtcdDown.
    kEvacuate,    ///< An operator's order to evacuate `zone`, until kReadmit.
    kReadmit,     ///< Ends kEvacuate.
    kStaleLists,  ///< Proxies are not notified of changes to the list, until kFreshLists.
    kFreshLists,  ///< Ends kStaleLists; proxies receive the changes that were held back.
  };
  /// Which direction of links a cut is of.
  enum class Direction {
    kBoth,  ///< Both.
    kIn,    ///< What comes into the zone.
    kOut,   ///< What leaves the zone.
  };

  double at_ms = 0;          ///< When.
  Kind kind = Kind::kDrain;  ///< What.
  int zone = -1;             ///< Where; -1: in every zone.
  double share = 1;          ///< Of backends or proxies there, evenly spread over their numbers.
  double value = 1;          ///< As the kind has it.
  Direction direction = Direction::kBoth;  ///< Of a cut.
};

/// How the proxies decide how much goes to each zone (src/zone_failover).
struct ZoneFailoverModel {
  /// How they decide.
  enum class Mode {
    kOff,          ///< Not at all.
    kIndependent,  ///< Each proxy for itself.
    kThreshold,    ///< Each proxy leaves its own zone as a whole while that is worse than a threshold.
    kCoordinated,  ///< All by one decision, through etcd.
  };
  Mode mode = Mode::kOff;    ///< How they decide.
  bool reports_load = true;  ///< Responses carry the load of their backends.
  Distribution etcd_latency{Distribution::Kind::kExponential, 2, 1, {}};  ///< One way.
};

/// A fault of the multi-process test, which the simulator leaves out: only processes and the links between
/// them can have it.
struct MultiprocessFault {
  double at_ms = 0;  ///< When.
  /// The name in the scenario file. Of proxies: freeze, thaw (SIGSTOP, SIGCONT); restart (one after another,
  /// `value` ms apart, each by SIGTERM). Of discovery: discovery_down, discovery_up. Of links to and from a
  /// zone's backends: reset, half_close (once); swallow (a share of new connections), delay (ms), trickle
  /// (bytes a second), until one with value 0. Of links of a zone's proxies to etcd: etcd_cut, etcd_heal. Of
  /// the failover leader: freeze_decider, kill_decider, and thaw_decider for the one that was frozen. Of the
  /// watch cache with number `value`, from 1: relay_cut (links to its upstreams, by direction), relay_heal;
  /// relay_kill (SIGKILL), relay_stop (SIGTERM), relay_start; relay_freeze, relay_thaw (SIGSTOP, SIGCONT).
  std::string name;
  int zone = -1;                                                         ///< Where; -1: in every zone.
  double share = 1;                                                      ///< Of proxies there.
  double value = 0;                                                      ///< As the kind has it.
  ScenarioEvent::Direction direction = ScenarioEvent::Direction::kBoth;  ///< Of relay_cut.
};

/// What only the multi-process test uses (tests/multiprocess).
struct MultiprocessModel {
  int etcd_members = 0;  ///< 0: no etcd.
  /// Watch caches between etcd and the proxies, in two tiers: the first `Model::regions` of them follow etcd,
  /// one a region; the others follow those, and the proxies follow them. 0: proxies use discovery.
  int watch_caches = 0;
  bool stalls_proxies = false;            ///< Proxies are stopped and continued (SIGSTOP) at random moments.
  int raw_clients = 0;                    ///< For each proxy: clients that use connections in every way.
  int sockets_per_proxy = 1024;           ///< Descriptors of each proxy of zone 0; the others have plenty.
  bool runs_zone_failover = false;        ///< The proxies run zone failover.
  double min_weight_percent = 0;          ///< Of the requested weight that must be served.
  std::vector<MultiprocessFault> faults;  ///< In the order of the file.
};

/// An installation, its load and its events.
struct Model {
  std::string name;                   ///< For people.
  double duration_ms = 60000;         ///< Of the load; open requests are played to their end after it.
  int zones = 1;                      ///< Proxies and backends are spread over them by their numbers.
  int proxies = 1;                    ///< How many.
  int backends = 1;                   ///< How many.
  BackendModel backend;               ///< Each of them.
  std::vector<ClassModel> classes;    ///< At least one.
  ClientModel clients;                ///< All clients.
  NetworkModel network;               ///< All links.
  int max_attempts = 4;               ///< Of a request in a proxy.
  Duration max_retry_after{0};        ///< The longest Retry-After of a proxy.
  Duration drain_grace{500};          ///< Until a notified proxy must have stopped to send.
  int cells = 2;                      ///< Of backends that deduplicate for each other, by their numbers.
  double cross_zone_cost = 0;         ///< As balancer::Settings has it.
  int regions = 1;                    ///< Of zones, by their numbers.
  Duration cross_region_latency{0};   ///< Added one way between regions.
  ZoneFailoverModel failover;         ///< How much goes to each zone.
  MultiprocessModel multiprocess;     ///< For the multi-process test alone.
  std::vector<ScenarioEvent> events;  ///< By time.

  /// Requested work over what all backends can do, once warm.
  double Utilization() const;
  /// Mean work of a request over all classes, ms of a standard core.
  double MeanWork() const;
  /// The region of a zone.
  int RegionOf(int zone) const { return zone * regions / zones; }
  /// Whether two zones are in different regions.
  bool IsCrossRegion(int zone, int other) const { return RegionOf(zone) != RegionOf(other); }
  /// The zone of a proxy.
  int ZoneOfProxy(std::size_t proxy) const { return static_cast<int>(proxy) % zones; }
  /// The settings of a proxy.
  balancer::Settings SettingsOf(int proxy) const;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_MODEL_H_
