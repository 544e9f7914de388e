// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The backends of one zone on sockets. How long work takes, how it queues, slow start and overload are
/// simulator::Backend's, the model that the simulator plays, stepped by this machine's clock.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_BACKENDS_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_BACKENDS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "multiprocess/backend_request.h"
#include "multiprocess/messages.h"
#include "simulator/backend.h"

namespace badgerbridge::multiprocess {

/// HTTP servers around the simulator's model of a backend, and the records of what they received. For one
/// thread, that of its io_context.
class ZoneBackends final : public simulator::Backend::Observer {
 public:
  /// `on_overload` is called with the name of a backend that failed under overload.
  ZoneBackends(boost::asio::io_context& io, std::function<void(const std::string&)> on_overload);
  ZoneBackends(const ZoneBackends&) = delete;
  ZoneBackends& operator=(const ZoneBackends&) = delete;
  ~ZoneBackends();

  /// Starts the backends, out of slow start, and returns their addresses. Once only.
  std::vector<std::string> Begin(const BeginBackends& command);
  /// Does something to one of them.
  void Change(const ChangeBackend& command);

  /// Every request that was received complete.
  const std::vector<AttemptRecord>& attempts() const { return attempts_; }
  /// Requests that no proxy may send.
  std::uint64_t malformed_requests() const { return malformed_requests_; }

 private:
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  struct Server;
  struct Job;
  enum class JobResult { kPending, kRight, kWrong, kDropped };
  // Whether a backend's process lives on after a request.
  enum class ServerFate { kLives, kEnded };

  // simulator::Backend::Observer
  void OnJobStarted(balancer::TimePoint now, std::size_t backend, simulator::JobId job) override;
  void OnJobFinished(balancer::TimePoint now, std::size_t backend, simulator::JobId job, bool right) override;
  void OnJobDropped(balancer::TimePoint now, std::size_t backend, simulator::JobId job) override;

  void Complete(simulator::JobId job, JobResult result);
  void Listen(Server& server);
  void Stop(Server& server);
  void StepModel();
  void UpdateUtilization(Server& server);
  std::string LoadReport(const Server& server) const;
  bool IsRepeat(const Server& server, const std::string& key);
  void Forget(const Server& server, const std::string& key);
  boost::asio::awaitable<void> Accept(Server& server, std::uint64_t generation);
  boost::asio::awaitable<void> Serve(Server& server, std::uint64_t generation,
                                     std::shared_ptr<boost::asio::ip::tcp::socket> socket);
  boost::asio::awaitable<ServerFate> Handle(Server& server, std::uint64_t generation,
                                            const BackendRequest& request, Response& response);
  ServerFate Reject(Server& server, const std::string& key, bool is_overloaded, Response& response);
  boost::asio::awaitable<ServerFate> Await(Server& server, std::uint64_t generation, Job& job,
                                           Response& response);

  boost::asio::io_context& io_;
  std::function<void(const std::string&)> on_overload_;
  boost::asio::steady_timer step_timer_;
  bool is_step_scheduled_ = false;
  simulator::EventQueue queue_;
  simulator::BackendModel model_;
  double deduplication_window_ms_ = 0;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<AttemptRecord> attempts_;
  std::unordered_map<simulator::JobId, std::shared_ptr<Job>> jobs_;
  std::unordered_map<std::string, double> key_times_ms_;  // by scope and idempotency key
  simulator::JobId last_job_ = 0;
  std::uint64_t malformed_requests_ = 0;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_BACKENDS_H_
