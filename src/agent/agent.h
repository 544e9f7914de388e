// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-agent's shell: carries out what Fleet decides with processes, sockets, files and the clock,
// and serves the agent's API (docs/operators/agent.md). All on one io_context.
#ifndef BADGERBRIDGE_AGENT_AGENT_H_
#define BADGERBRIDGE_AGENT_AGENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "agent/fleet_file.h"
#include "agent/orders.h"
#include "agent/process.h"
#include "agent/store.h"
#include "http_api/server.h"
#include "http_api/tls.h"
#include "net/one_shot_timer.h"

namespace badgerbridge::agent {

class Agent {
 public:
  // Reads the state, adopts what runs, starts what shall run, listens. Throws std::exception, one line.
  Agent(boost::asio::io_context& io, const FleetFile& file,
        std::shared_ptr<Disk> disk = std::make_shared<Disk>());
  ~Agent();  // the instances go on
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  boost::asio::awaitable<http_api::Response> Handle(http_api::Request request, http_api::Peer peer);
  const Fleet& fleet() const { return fleet_; }
  std::optional<boost::asio::ip::tcp::endpoint> tls_address() const;

 private:
  struct Running {
    Process process;
    boost::asio::posix::stream_descriptor watch;
  };
  struct Seen {  // the newest answer of an instance, whole
    boost::json::object status;
    Time at{0};
  };

  static Time Now();
  Paths PathsOf(const std::string& instance) const;
  void Raise(Event event);
  void Perform(const std::vector<Action>& actions);
  void Do(const Spawn& action);
  void Do(const Call& action);
  void Do(const Signal& action);
  void Watch(const std::string& instance, Process process);
  void AwaitEnd(const std::string& instance, pid_t pid);
  void OnEnd(const std::string& instance, pid_t pid);
  void Save();
  std::vector<std::string> WholeState() const;
  void Pulse();
  void ArmPulse();
  void AuditEnds();
  bool Audit(std::string_view who, std::string_view what, boost::json::object more);
  bool WriteAudit(const std::vector<std::string>& lines);
  boost::asio::awaitable<void> Poll(std::string instance);
  boost::asio::awaitable<void> CallInstance(std::string instance, std::string socket, bool drain,
                                            Time deadline);
  boost::asio::awaitable<void> WaitForChange(std::chrono::milliseconds most);
  boost::asio::awaitable<void> Refresh();
  void Changed();

  boost::json::object Status() const;
  boost::json::object Describe(const Instance& instance) const;
  boost::json::object Describe(const OrderState& order, bool whole) const;
  boost::asio::awaitable<http_api::Response> GetInstance(std::string name);
  boost::asio::awaitable<http_api::Response> Pass(std::string name, std::string path, http_api::Peer peer,
                                                  bool write);
  boost::asio::awaitable<http_api::Response> GetOrder(std::string id, http_api::Request request);
  http_api::Response GetLog(const std::string& name, const http_api::Request& request) const;
  http_api::Response PostOrder(const http_api::Request& request, const http_api::Peer& peer);
  http_api::Response PostFleet(const http_api::Request& request, const http_api::Peer& peer, bool apply);
  http_api::Response Take(const Order& order, bool dry_run);

  boost::asio::io_context& io_;
  AgentSettings settings_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Store store_;
  AuditLog audit_;
  Fleet fleet_;
  Time started_;
  std::map<std::string, Running> running_;
  std::map<std::string, Seen> seen_;
  std::map<std::string, Time> next_poll_;
  std::set<std::string> polling_;
  std::set<std::string> audited_;  // parts whose end is in the audit log
  std::deque<Event> queue_;
  bool handling_ = false;
  bool unsaved_ = false;  // the disk did not take what changed
  Time save_again_{0}, bound_logs_{0};
  std::uint64_t changes_ = 0;
  net::OneShotTimer pulse_;
  boost::asio::steady_timer changed_;  // a pause of those that wait for a change; each looks again
  std::unique_ptr<http_api::UnixServer> unix_;
  std::unique_ptr<http_api::TlsServer> tls_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AGENT_H_
