// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/zone_backends.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdio>
#include <set>
#include <utility>

#include "http_api/address.h"
#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using balancer::Duration;
using balancer::TimePoint;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxBodyBytes = 64 << 10;
constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr double kUtilizationWindowMs = 300;  // over which the use of slots is averaged
constexpr int kBacklog = 1024;
constexpr std::uint64_t kModelStream = 9;
constexpr std::chrono::milliseconds kStepInterval{1};

TimePoint Now() { return TimePoint(Duration(NowMs())); }

std::string ScopedKey(const std::string& scope, const std::string& key) { return scope + " " + key; }

simulator::BackendModel ModelFrom(const BeginBackends& command) {
  simulator::BackendModel model;
  model.slots = command.slots;
  model.queue_capacity = command.queue;
  model.speed = command.speed;
  model.slow_start_floor = command.slow_start_floor;
  model.slow_start_window = Duration(command.slow_start_window_ms);
  model.overload_factor = command.overload_factor;
  model.overload_duration = Duration(command.overload_duration_ms);
  return model;
}

}  // namespace

// A request that the model works on.
struct ZoneBackends::Job {
  Job(asio::io_context& io, std::size_t attempt_index)
      : completed(io, Clock::time_point::max()), attempt(attempt_index) {}

  asio::steady_timer completed;  // never expires: cancelled at the end
  JobResult result = JobResult::kPending;
  std::size_t attempt;  // its index in attempts_
};

// One backend.
struct ZoneBackends::Server {
  Server(asio::io_context& io, simulator::EventQueue& queue, simulator::Backend::Observer& watcher,
         std::size_t index, const simulator::BackendModel& backend_model)
      : acceptor(io),
        model(queue, watcher, index, backend_model, simulator::Random(index + 1, kModelStream)) {}

  std::string name;
  std::string deduplication_scope;
  tcp::endpoint address;
  tcp::acceptor acceptor;
  simulator::Backend model;
  std::uint64_t generation = 0;  // of its process
  std::set<std::shared_ptr<tcp::socket>> sockets;
  double utilization = 0;  // share of its slots, averaged
  TimePoint utilization_at{};
};

ZoneBackends::ZoneBackends(asio::io_context& io, std::function<void(const std::string&)> on_overload)
    : io_(io), on_overload_(std::move(on_overload)), step_timer_(io) {}

ZoneBackends::~ZoneBackends() = default;

std::vector<std::string> ZoneBackends::Begin(const BeginBackends& command) {
  model_ = ModelFrom(command);
  deduplication_window_ms_ = command.deduplication_window_ms;
  const auto host = asio::ip::make_address_v4(command.host);
  std::vector<std::string> addresses;
  for (const BackendPlacement& placement : command.backends) {
    servers_.push_back(std::make_unique<Server>(io_, queue_, *this, servers_.size(), model_));
    Server& server = *servers_.back();
    server.name = placement.name;
    server.deduplication_scope = command.zone + "/" + std::to_string(placement.cell);
    server.address = tcp::endpoint(host, 0);
    server.model.Start(TimePoint{});
    Listen(server);
    addresses.push_back(http_api::ToText(server.address));
  }
  return addresses;
}

void ZoneBackends::Change(const ChangeBackend& command) {
  Server& server = *servers_.at(command.index);
  switch (command.action) {
    case BackendAction::kStop:
      Stop(server);
      break;
    case BackendAction::kStart:
      Stop(server);
      server.model.Start(Now());
      Listen(server);
      break;
    case BackendAction::kSlowDown:
      server.model.SetSlowdown(command.value);
      break;
    case BackendAction::kFailAnswers:
      server.model.SetErrorShare(command.value);
      break;
    case BackendAction::kPause:
      server.model.PauseUntil(Now() + Duration(command.value));
      break;
  }
  StepModel();
}

void ZoneBackends::OnJobStarted(TimePoint, std::size_t, simulator::JobId job) {
  attempts_[jobs_.at(job)->attempt].took_effect = true;
}

void ZoneBackends::OnJobFinished(TimePoint, std::size_t, simulator::JobId job, bool right) {
  Complete(job, right ? JobResult::kRight : JobResult::kWrong);
}

void ZoneBackends::OnJobDropped(TimePoint, std::size_t, simulator::JobId job) {
  Complete(job, JobResult::kDropped);
}

void ZoneBackends::Complete(simulator::JobId job, JobResult result) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  found->second->result = result;
  found->second->completed.cancel();
  jobs_.erase(found);
}

void ZoneBackends::Listen(Server& server) {
  server.acceptor.open(tcp::v4());
  server.acceptor.set_option(tcp::acceptor::reuse_address(true));
  server.acceptor.bind(server.address);
  server.acceptor.listen(kBacklog);
  server.address = server.acceptor.local_endpoint();
  asio::co_spawn(io_, Accept(server, ++server.generation), asio::detached);
}

void ZoneBackends::Stop(Server& server) {
  ++server.generation;
  beast::error_code ignored;
  server.acceptor.close(ignored);
  for (const auto& socket : std::exchange(server.sockets, {})) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  server.model.Stop(Now());
}

// Plays the model's events up to now, and schedules the next step.
void ZoneBackends::StepModel() {
  while (queue_.RunNext(Now())) {
  }
  // The queue does not know its first event's time; a backend's work ends on some ms.
  if (is_step_scheduled_ || queue_.size() == 0) return;
  is_step_scheduled_ = true;
  step_timer_.expires_after(kStepInterval);
  step_timer_.async_wait([this](const beast::error_code& error) {
    is_step_scheduled_ = false;
    if (!error) StepModel();
  });
}

void ZoneBackends::UpdateUtilization(Server& server) {
  const TimePoint now = Now();
  const double gain = std::min(1.0, (now - server.utilization_at).count() / kUtilizationWindowMs);
  const double current = static_cast<double>(server.model.running()) / model_.slots;
  server.utilization += gain * (current - server.utilization);
  server.utilization_at = now;
}

// The value of X-Backend-Load.
std::string ZoneBackends::LoadReport(const Server& server) const {
  const std::size_t queued = server.model.queued();
  char text[96];
  std::snprintf(text, sizeof text, "inflight=%d,queue=%zu,util=%.3f",
                server.model.running() + static_cast<int>(queued), queued, server.utilization);
  return text;
}

// Whether the backends of the scope have begun this key within the window; if not, they have now.
bool ZoneBackends::IsRepeat(const Server& server, const std::string& key) {
  if (key.empty()) return false;
  const auto [entry, is_new] = key_times_ms_.try_emplace(ScopedKey(server.deduplication_scope, key), NowMs());
  if (!is_new && NowMs() - entry->second < deduplication_window_ms_) return true;
  entry->second = NowMs();
  return false;
}

// The request with this key has not run.
void ZoneBackends::Forget(const Server& server, const std::string& key) {
  if (!key.empty()) key_times_ms_.erase(ScopedKey(server.deduplication_scope, key));
}

asio::awaitable<void> ZoneBackends::Accept(Server& server, std::uint64_t generation) {
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (generation == server.generation) {
    tcp::socket accepted = co_await server.acceptor.async_accept(token);
    if (generation != server.generation || error == asio::error::operation_aborted) co_return;
    if (error) continue;
    accepted.set_option(tcp::no_delay(true), error);
    const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
    server.sockets.insert(socket);
    asio::co_spawn(io_, Serve(server, generation, socket), asio::detached);
  }
}

asio::awaitable<void> ZoneBackends::Serve(Server& server, std::uint64_t generation,
                                          std::shared_ptr<tcp::socket> socket) {
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  beast::flat_buffer buffer(kMaxBodyBytes + kMaxHeaderBytes);
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read(*socket, buffer, parser, token);
    if (error || generation != server.generation) break;
    Response response{http::status::ok, 11};
    response.keep_alive(parser.get().keep_alive());
    const ServerFate fate = co_await Handle(server, generation, parser.get(), response);
    if (fate == ServerFate::kEnded) break;
    UpdateUtilization(server);
    response.set("X-Backend-Load", LoadReport(server));
    response.prepare_payload();
    co_await http::async_write(*socket, response, token);
    if (error || generation != server.generation || !response.keep_alive()) break;
  }
  server.sockets.erase(socket);
}

asio::awaitable<ZoneBackends::ServerFate> ZoneBackends::Handle(Server& server, std::uint64_t generation,
                                                               const BackendRequest& request,
                                                               Response& response) {
  AttemptRecord attempt = ReadAttempt(request);
  if (attempt.id.empty()) {
    ++malformed_requests_;
    response.result(http::status::not_found);
    co_return ServerFate::kLives;
  }
  attempt.backend = server.name;
  attempt.deduplication_scope = server.deduplication_scope;
  const std::string key = attempt.idempotency_key;
  const double work_ms = attempt.work_ms;
  response.body() = "converted " + attempt.id + " by " + server.name + "\n";
  const auto job = std::make_shared<Job>(io_, attempts_.size());
  attempts_.push_back(std::move(attempt));
  if (IsRepeat(server, key)) co_return ServerFate::kLives;
  const simulator::JobId job_id = ++last_job_;
  jobs_.emplace(job_id, job);
  UpdateUtilization(server);
  const simulator::Backend::Admission begin = server.model.Submit(Now(), job_id, work_ms);
  const bool is_overloaded = begin == simulator::Backend::Admission::kOverloaded;
  if (is_overloaded || begin == simulator::Backend::Admission::kRejected) {
    jobs_.erase(job_id);
    co_return Reject(server, key, is_overloaded, response);
  }
  StepModel();
  const ServerFate fate = co_await Await(server, generation, *job, response);
  if (fate == ServerFate::kEnded && !attempts_[job->attempt].took_effect) Forget(server, key);
  co_return fate;
}

// A request that the model did not take.
ZoneBackends::ServerFate ZoneBackends::Reject(Server& server, const std::string& key, bool is_overloaded,
                                              Response& response) {
  Forget(server, key);
  if (is_overloaded) {
    on_overload_(server.name);
    Stop(server);
    return ServerFate::kEnded;
  }
  response.body().clear();
  response.result(http::status::service_unavailable);
  response.set("X-Unprocessed", "1");
  return ServerFate::kLives;
}

// Until the model has completed the job.
asio::awaitable<ZoneBackends::ServerFate> ZoneBackends::Await(Server& server, std::uint64_t generation,
                                                              Job& job, Response& response) {
  beast::error_code ignored;
  auto token = asio::redirect_error(asio::use_awaitable, ignored);
  while (job.result == JobResult::kPending) co_await job.completed.async_wait(token);
  if (job.result == JobResult::kDropped || generation != server.generation) co_return ServerFate::kEnded;
  if (job.result == JobResult::kWrong) {
    response.body().clear();
    response.result(http::status::internal_server_error);
  }
  co_return ServerFate::kLives;
}

}  // namespace badgerbridge::multiprocess
