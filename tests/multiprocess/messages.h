// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The messages between a run and its role processes: commands on their standard input, events on their
/// standard output, each one line of JSON with the message's name and its members (message_dispatcher.h).
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_MESSAGES_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_MESSAGES_H_

#include <boost/describe.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "multiprocess/history.h"

namespace badgerbridge::multiprocess {

// Records of the history.
BOOST_DESCRIBE_ENUM(RequestOutcome, kServed, kRejected, kFailed, kLost, kUnsent, kCancelled)
BOOST_DESCRIBE_STRUCT(RequestRecord, (),
                      (id, request_class, proxy, started_at_ms, first_sent_at_ms, sent_at_ms, ended_at_ms,
                       outcome, has_wrong_response, deadline_ms, closed_at_ms, closed_by_peer,
                       previous_response_at_ms, unread_bytes, is_direct))
BOOST_DESCRIBE_STRUCT(CloseRaceRecord, (),
                      (id, proxy, sent_at_ms, close_seen_at_ms, previous_response_at_ms, is_unread))
BOOST_DESCRIBE_STRUCT(AttemptRecord, (),
                      (id, idempotency_key, backend, deduplication_scope, received_at_ms, took_effect,
                       work_ms, time_left_ms))
BOOST_DESCRIBE_STRUCT(EndpointNotification, (), (proxy, backend, is_ready, sent_at_ms))
BOOST_DESCRIBE_STRUCT(EventLoopLag, (), (from_ms, until_ms))

// Commands to several roles.

/// The clients begin their load.
struct StartLoad {
  static constexpr const char* kName = "start_load";  ///< Of the message.
};
BOOST_DESCRIBE_STRUCT(StartLoad, (), ())

/// The clients send no new requests; those in flight go on.
struct StopLoad {
  static constexpr const char* kName = "stop_load";  ///< Of the message.
};
BOOST_DESCRIBE_STRUCT(StopLoad, (), ())

/// Asks for all records; the answer ends with Ended.
struct ReportRecords {
  static constexpr const char* kName = "report_records";  ///< Of the message.
};
BOOST_DESCRIBE_STRUCT(ReportRecords, (), ())

/// Makes all servers of the role reachable, or unreachable.
struct SetReachable {
  static constexpr const char* kName = "set_reachable";  ///< Of the message.
  bool is_reachable = true;                              ///< Whether they are.
};
BOOST_DESCRIBE_STRUCT(SetReachable, (), (is_reachable))

// Commands to backends.

/// A backend of the role's zone.
struct BackendPlacement {
  std::string name;  ///< Its name.
  int cell = 0;      ///< Its cell in the zone.
};
BOOST_DESCRIBE_STRUCT(BackendPlacement, (), (name, cell))

/// Starts the backends of one zone, all with the same model; the answer is Ready with their addresses.
struct BeginBackends {
  static constexpr const char* kName = "begin_backends";  ///< Of the message.
  std::string zone;                                       ///< The zone's name.
  std::string host;                                       ///< The address to listen on.
  double deduplication_window_ms = 0;                     ///< How long an idempotency key is remembered.
  int slots = 0;                                          ///< Requests at once.
  int queue = 0;                                          ///< Requests that wait.
  double speed = 1;                                       ///< Work a ms of one slot.
  double slow_start_floor = 1;                            ///< Share of the speed right after a start.
  double slow_start_window_ms = 0;                        ///< How long slow start lasts.
  double overload_factor = 0;                             ///< Load at which it fails; 0: never.
  double overload_duration_ms = 0;                        ///< For how long, until it fails.
  std::vector<BackendPlacement> backends;                 ///< Which they are.
};
BOOST_DESCRIBE_STRUCT(BeginBackends, (),
                      (zone, host, deduplication_window_ms, slots, queue, speed, slow_start_floor,
                       slow_start_window_ms, overload_factor, overload_duration_ms, backends))

/// What can be done to a backend.
enum class BackendAction {
  kStop,         ///< Its process ends.
  kStart,        ///< It starts anew, in slow start.
  kSlowDown,     ///< By the factor `value`.
  kFailAnswers,  ///< The share `value` of its answers.
  kPause,        ///< For `value` ms.
};
BOOST_DESCRIBE_ENUM(BackendAction, kStop, kStart, kSlowDown, kFailAnswers, kPause)

/// Does something to one backend.
struct ChangeBackend {
  static constexpr const char* kName = "change_backend";  ///< Of the message.
  std::size_t index = 0;                                  ///< Its place in BeginBackends::backends.
  BackendAction action = BackendAction::kStop;            ///< What is done.
  double value = 1;                                       ///< See BackendAction.
};
BOOST_DESCRIBE_STRUCT(ChangeBackend, (), (index, action, value))

// Commands to clients.

/// A proxy as its clients reach it.
struct ProxyAddress {
  std::string name;     ///< Its name.
  std::string address;  ///< "address:port".
};
BOOST_DESCRIBE_STRUCT(ProxyAddress, (), (name, address))

/// A request class as clients need it.
struct ClientClass {
  std::string name;         ///< Its name.
  int idempotency = 0;      ///< balancer::Idempotency.
  double share = 1;         ///< Of the requests, by weight.
  double deadline_ms = 0;   ///< How long a client waits at most.
  int work_kind = 0;        ///< Of the distribution of work.
  double work_mean_ms = 0;  ///< Of the distribution of work, ms of a standard core.
  double work_spread = 1;   ///< Of the distribution of work.
};
BOOST_DESCRIBE_STRUCT(ClientClass, (),
                      (name, idempotency, share, deadline_ms, work_kind, work_mean_ms, work_spread))

/// Sets the paced clients of a zone up; the answer is Ready.
struct BeginClients {
  static constexpr const char* kName = "begin_clients";  ///< Of the message.
  std::string id_prefix;                                 ///< Of the requests' ids.
  std::uint64_t seed = 1;                                ///< Of all that is drawn.
  double requests_per_s = 0;                             ///< First attempts.
  int max_attempts = 1;                                  ///< Of one request.
  double mean_retry_delay_ms = 0;                        ///< Between two attempts.
  std::vector<ProxyAddress> proxies;                     ///< To choose from.
  std::vector<ClientClass> classes;                      ///< Of the requests.
};
BOOST_DESCRIBE_STRUCT(BeginClients, (),
                      (id_prefix, seed, requests_per_s, max_attempts, mean_retry_delay_ms, proxies, classes))

/// Sets the direct clients of a zone up; the answer is Ready.
struct BeginDirectClients {
  static constexpr const char* kName = "begin_direct_clients";  ///< Of the message.
  std::string id_prefix;                                        ///< Of the requests' ids.
  std::uint64_t seed = 1;                                       ///< Of all that is drawn.
  std::size_t clients = 0;                                      ///< Each with one connection at a time.
  std::vector<ProxyAddress> proxies;                            ///< To choose from.
  std::vector<ClientClass> classes;                             ///< Of the requests.
};
BOOST_DESCRIBE_STRUCT(BeginDirectClients, (), (id_prefix, seed, clients, proxies, classes))

/// Asks how many proxies are ready; the answer is ReadyProxies.
struct CountReadyProxies {
  static constexpr const char* kName = "count_ready_proxies";  ///< Of the message.
};
BOOST_DESCRIBE_STRUCT(CountReadyProxies, (), ())

/// Multiplies the rate of BeginClients.
struct ScaleLoad {
  static constexpr const char* kName = "scale_load";  ///< Of the message.
  double factor = 1;                                  ///< Of the rate it began with.
};
BOOST_DESCRIBE_STRUCT(ScaleLoad, (), (factor))

// Commands to discovery.

/// Starts a list and a watch for each proxy; the answer is Ready with their addresses.
struct BeginDiscovery {
  static constexpr const char* kName = "begin_discovery";  ///< Of the message.
  std::vector<std::string> proxies;                        ///< Their names.
};
BOOST_DESCRIBE_STRUCT(BeginDiscovery, (), (proxies))

/// Notifies one proxy of one backend.
struct SetEndpoint {
  static constexpr const char* kName = "set_endpoint";  ///< Of the message.
  std::string proxy;                                    ///< To be notified.
  std::string name;                                     ///< The backend.
  std::string address;                                  ///< How this proxy reaches it.
  std::string zone;                                     ///< The backend's zone.
  std::string status;                                   ///< Ready, Terminating or Gone.
  int cell = 0;                                         ///< The backend's cell.
  double started_at_unix_ms = 0;                        ///< When its process started; 0: long ago.
};
BOOST_DESCRIBE_STRUCT(SetEndpoint, (), (proxy, name, address, zone, status, cell, started_at_unix_ms))

// Commands to the link proxy.

/// Opens a listener; the answer is LinkOpened.
struct OpenLink {
  static constexpr const char* kName = "open_link";  ///< Of the message.
  std::size_t number = 0;                            ///< Names the link in the answer.
  std::string from;                                  ///< The group that connects.
  std::string to;                                    ///< The group of the target.
  std::string target;                                ///< "address:port".
  std::string host;                                  ///< The address to listen on.
};
BOOST_DESCRIBE_STRUCT(OpenLink, (), (number, from, to, target, host))

/// Replaces what the links between two groups do.
struct SetLink {
  static constexpr const char* kName = "set_link";  ///< Of the message.
  std::string from;                                 ///< The group that connects.
  std::string to;                                   ///< The group of the target.
  double delay_ms = 0;                              ///< One way.
  double jitter_ms = 0;                             ///< More, at most.
  double bytes_per_s = 0;                           ///< One way; 0: without limit.
  double swallowed_share = 0;                       ///< Of new connections.
  bool is_forward_cut = false;                      ///< From the group that connects.
  bool is_back_cut = false;                         ///< To it.
};
BOOST_DESCRIBE_STRUCT(SetLink, (),
                      (from, to, delay_ms, jitter_ms, bytes_per_s, swallowed_share, is_forward_cut,
                       is_back_cut))

/// How connections are ended.
enum class LinkBreak {
  kReset,      ///< Of both sides.
  kHalfClose,  ///< The sending side of both.
};
BOOST_DESCRIBE_ENUM(LinkBreak, kReset, kHalfClose)

/// Ends the present connections between two groups.
struct BreakLink {
  static constexpr const char* kName = "break_link";  ///< Of the message.
  std::string from;                                   ///< The group that connects.
  std::string to;                                     ///< The group of the target.
  LinkBreak how = LinkBreak::kReset;                  ///< In which way.
};
BOOST_DESCRIBE_STRUCT(BreakLink, (), (from, to, how))

// Commands to etcd.

/// Starts the members; the answer is Ready with their addresses.
struct BeginEtcd {
  static constexpr const char* kName = "begin_etcd";  ///< Of the message.
  int members = 3;                                    ///< How many.
  std::string zone_failover_prefix;                   ///< Of the keys of zone failover.
};
BOOST_DESCRIBE_STRUCT(BeginEtcd, (), (members, zone_failover_prefix))

/// Asks for the holder of the leader's key; the answer is LeaderFound.
struct FindLeader {
  static constexpr const char* kName = "find_leader";  ///< Of the message.
};
BOOST_DESCRIBE_STRUCT(FindLeader, (), ())

/// An operator's order to evacuate a zone, or its withdrawal.
struct OrderEvacuation {
  static constexpr const char* kName = "order_evacuation";  ///< Of the message.
  int zone = 0;                                             ///< Its number.
  bool is_evacuated = true;                                 ///< False: readmitted.
};
BOOST_DESCRIBE_STRUCT(OrderEvacuation, (), (zone, is_evacuated))

/// Writes or deletes the key of a backend, which notifies these proxies.
struct WriteMember {
  static constexpr const char* kName = "write_member";  ///< Of the message.
  std::string key;                                      ///< Of etcd.
  std::string value;                                    ///< Empty: the key is deleted.
  std::string backend;                                  ///< The backend's name.
  bool is_ready = true;                                 ///< Whether it is ready then.
  std::vector<std::string> proxies;                     ///< To be notified.
};
BOOST_DESCRIBE_STRUCT(WriteMember, (), (key, value, backend, is_ready, proxies))

// Events.

/// The role is set up.
struct Ready {
  static constexpr const char* kName = "ready";  ///< Of the message.
  std::vector<std::string> addresses;            ///< Of its servers, in the order of the command.
};
BOOST_DESCRIBE_STRUCT(Ready, (), (addresses))

/// How many proxies the clients find ready.
struct ReadyProxies {
  static constexpr const char* kName = "ready_proxies";  ///< Of the message.
  std::size_t count = 0;                                 ///< Of them.
};
BOOST_DESCRIBE_STRUCT(ReadyProxies, (), (count))

/// A link's listener is open.
struct LinkOpened {
  static constexpr const char* kName = "link_opened";  ///< Of the message.
  std::size_t number = 0;                              ///< As in the command.
  std::string address;                                 ///< "address:port".
};
BOOST_DESCRIBE_STRUCT(LinkOpened, (), (number, address))

/// A backend failed under overload.
struct BackendOverloaded {
  static constexpr const char* kName = "backend_overloaded";  ///< Of the message.
  std::string backend;                                        ///< Its name.
};
BOOST_DESCRIBE_STRUCT(BackendOverloaded, (), (backend))

/// The holder of the leader's key.
struct LeaderFound {
  static constexpr const char* kName = "leader_found";  ///< Of the message.
  std::string proxy;                                    ///< Empty: there is none.
};
BOOST_DESCRIBE_STRUCT(LeaderFound, (), (proxy))

/// Some of the role's records.
struct Records {
  static constexpr const char* kName = "records";   ///< Of the message.
  std::vector<RequestRecord> requests;              ///< By clients.
  std::vector<CloseRaceRecord> close_races;         ///< By direct clients.
  std::vector<AttemptRecord> attempts;              ///< By backends.
  std::vector<EndpointNotification> notifications;  ///< By discovery and etcd.
  std::vector<EventLoopLag> lags;                   ///< By backends, link proxy and clients.
};
BOOST_DESCRIBE_STRUCT(Records, (), (requests, close_races, attempts, notifications, lags))

/// The audit of the decisions of zone failover that etcd holds.
struct DecisionAudit {
  static constexpr const char* kName = "decision_audit";  ///< Of the message.
  std::uint64_t decisions = 0;                            ///< All that were written.
  std::uint64_t out_of_order = 0;                         ///< Without a higher epoch than the one before.
  std::uint64_t unfenced = 0;  ///< Not by the holder of the leader's key at that moment.
};
BOOST_DESCRIBE_STRUCT(DecisionAudit, (), (decisions, out_of_order, unfenced))

/// The role has reported all its records.
struct Ended {
  static constexpr const char* kName = "ended";  ///< Of the message.
  std::uint64_t requests_started = 0;            ///< Of clients: their count of requests.
  std::uint64_t malformed_requests = 0;          ///< Of backends: requests that no proxy may send.
};
BOOST_DESCRIBE_STRUCT(Ended, (), (requests_started, malformed_requests))

/// The role could not carry a command out.
struct RoleError {
  static constexpr const char* kName = "role_error";  ///< Of the message.
  std::string text;                                   ///< What went wrong, for people.
};
BOOST_DESCRIBE_STRUCT(RoleError, (), (text))

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_MESSAGES_H_
