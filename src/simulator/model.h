// SPDX-License-Identifier: Apache-2.0
//
// An installation, its load and what happens to it, as plain values: what a scenario file says, or a test.
// All times in ms of virtual time from the start of the run.
#ifndef BADGERBRIDGE_SIMULATOR_MODEL_H_
#define BADGERBRIDGE_SIMULATOR_MODEL_H_

#include <string>
#include <vector>

#include "badgerbridge/balancer.h"
#include "simulator/backend.h"

namespace badgerbridge::simulator {

struct ClassModel {
  std::string name;
  balancer::ClassSettings rules;
  double share = 1;  // of the arrivals, by weight
  Shape work;        // ms on a standard core
  bool hinted = true;
};

struct ClientModel {
  double per_second = 100;  // of first tries, all classes together; Poisson
  int tries = 1;            // 1: nobody comes again
  bool honours_retry_after = true;
  Shape pause{Shape::Kind::kExponential, 100, 1, {}};  // before another try that nothing was said about
  double leaves = 0;  // share of requests whose client gives up at an even moment of its deadline
};

struct NetworkModel {
  Shape latency{Shape::Kind::kConstant, 0.25, 1, {}};  // one way
  Duration connect_timeout{250};
  Duration front_notices{2000};  // that a proxy has died
  // Lists: from a change to a proxy's being told, drawn for each.
  Shape lag{Shape::Kind::kExponential, 300, 1, {}};
  double reset_share = 0;  // of requests whose connection is reset once it has been written
};

// What happens, at `at`, to whom.
struct Happening {
  enum class Kind {
    kDrain,     // backends: told to drain
    kStop,      // backends: die; listed as gone
    kStart,     // backends: start as new processes, cold; listed as ready
    kSlow,      // backends: by `value`
    kWrong,     // backends: this share of answers
    kPause,     // backends: for `value` ms
    kKill,      // proxies: die at once; what they hold is reset
    kRevive,    // proxies: start again with the list as it is
    kLoad,      // the arrivals by this factor of the model's
    kCut,       // between proxies and backends of `zone` and those of other zones: silence
    kHeal,      // ends the cut of `zone`
    kEtcdDown,  // no call is answered, until kEtcdUp
    kEtcdUp,
    kEvacuate,  // an operator's order to leave `zone`, until kReadmit
    kReadmit,
    kStaleLists,  // proxies are told nothing, until kFreshLists
    kFreshLists,
  };
  double at = 0;
  Kind kind = Kind::kDrain;
  int zone = -1;     // -1: of every zone
  double share = 1;  // of these, evenly spread over their numbers
  double value = 1;
  enum class Way { kBoth, kIn, kOut };
  Way way = Way::kBoth;  // of a cut: what comes into the zone, what leaves it
};

// Who decides how much goes to each zone (src/zone_failover).
struct RegionsModel {
  enum class Decide { kOff, kAlone, kCliff, kTogether };
  Decide decide = Decide::kOff;
  bool reports = true;                              // answers say how busy their backends are
  Shape etcd{Shape::Kind::kExponential, 2, 1, {}};  // ms, one way
};

// What only processes and the links between them can suffer (tests/multiprocess); the lab leaves it out.
struct TogetherFault {
  double at = 0;
  // freeze, thaw: proxies (SIGSTOP, SIGCONT). restart: proxies one after another, `value` ms apart, each
  // asked to end and started again once it has. discovery_down, discovery_up: for all. Of links to and from a
  // zone's backends: reset, half_close (once); swallow (a share of new connections), delay (ms), trickle
  // (bytes a second), until one with value 0. Of links of a zone's proxies to etcd: etcd_cut, etcd_heal. Of
  // whoever decides for all zones then: freeze_decider, kill_decider, and thaw_decider for the one that was
  // frozen. Of the relay with number `value`, counted from 1: relay_cut (its links to its upstreams, `way` as
  // of a cut) and relay_heal; relay_kill (SIGKILL), relay_stop (SIGTERM) and relay_start; relay_freeze and
  // relay_thaw (SIGSTOP, SIGCONT).
  std::string what;
  int zone = -1;
  double share = 1, value = 0;
  Happening::Way way = Happening::Way::kBoth;
};
struct TogetherModel {
  int etcd_members = 0;
  // Watch caches between etcd and the proxies, in two tiers: the first `regions` of them follow etcd, one a
  // region; the others follow those, and the proxies follow them. 0: proxies hear of backends by discovery.
  int relays = 0;
  // Each proxy is stopped (SIGSTOP) and continued at random moments, all through the load.
  bool stalls = false;
  int raw_clients = 0;             // for each proxy, that do to connections whatever clients may
  int sockets = 1024;              // descriptors of each proxy of zone 0; those of the others have plenty
  bool regions = false;            // the proxies decide in common how much goes to each zone
  double least_worth_percent = 0;  // of what was asked, or the trial does not hold
  std::vector<TogetherFault> faults;
};

struct Model {
  std::string name;
  double length = 60000;  // of the load; what is open then is played to its end
  int zones = 1, proxies = 1, backends = 1;
  BackendModel backend;
  std::vector<ClassModel> classes;
  ClientModel clients;
  NetworkModel network;
  int max_attempts = 4;
  Duration max_retry_after{0};
  Duration drain_grace{500};
  int groups = 2;  // of backends that drop each other's repeats of a key; by their numbers
  double cross_zone_cost = 0;
  int regions = 1;  // of zones, by their numbers
  Duration far{0};  // one way more between regions
  RegionsModel decision;
  TogetherModel together;
  std::vector<Happening> happenings;  // by time

  // Work that all backends do a ms once warm, over what is asked of them.
  double Utilization() const;
  double MeanWork() const;  // of a request, over all classes, ms of a standard core
  int RegionOf(int zone) const { return zone * regions / zones; }
  balancer::Settings SettingsOf(int proxy) const;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_MODEL_H_
