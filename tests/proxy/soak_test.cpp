// SPDX-License-Identifier: Apache-2.0
//
// Checks that memory does not grow: counts every allocated byte of the table of requests, the decision module
// and the names of the list over 30 minutes of virtual time, in which each backend is replaced every minute
// and no key repeats.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "harness.h"
#include "proxy/endpoint_list_reader.h"
#include "proxy/proxy_harness.h"
#include "request_table/request_table.h"
#include "support/allocated_bytes.h"

namespace badgerbridge::request_table {
namespace {

using namespace balancer;
using badgerbridge::testing::AllocatedBytes;
using balancer::testing::At;
using balancer::testing::ThreeClassSettings;

Settings SoakSettings() {
  Settings settings = ThreeClassSettings();
  settings.balancer_count = 300;
  settings.key_affinity = true;
  settings.max_retry_after = Duration(500);
  return settings;
}

// A proxy's table and list under a constant load of requests and changes.
class SoakRun {
 public:
  SoakRun() {
    for (int i = 0; i < kBackends; ++i) AddBackend();
  }

  // Runs a third of the time and checks the sizes of the table and the list at its end.
  void RunThird() {
    next_change_ms_ = now_ms_;
    const double end_ms = now_ms_ + kThirdMs;
    max_allocated_bytes_ = 0;
    while (now_ms_ < end_ms) Step();
    EXPECT_EQ(reader_.name_count(), static_cast<std::size_t>(kBackends));
    EXPECT_LE(table_.Inspect().size(),
              kBackends + 200u);  // backends that were removed in the last few minutes
    EXPECT_LE(table_.open(), 200u);
    std::uint64_t served = 0;
    for (const RequestCounters& counters : table_.counters()) served += counters.served;
    EXPECT_GT(served, served_before_ + 10000);
    served_before_ = served;
  }

  // The maximum in the last third that was run, without the first 90 s of the test.
  double max_allocated_bytes() const { return max_allocated_bytes_; }
  std::uint64_t names() const { return names_; }

 private:
  static constexpr int kBackends = 60;
  static constexpr double kStartMs = 1e6;
  static constexpr double kThirdMs = 600000;
  static constexpr double kStepMs = 10;
  static constexpr double kChangeEveryMs = 1000;
  static constexpr double kWarmUpMs = 90000;  // removed backends are kept for a minute

  // An attempt, and when it ends.
  struct AttemptInFlight {
    double ends_at_ms;
    Send send;
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  void Step() {
    now_ms_ += kStepMs;
    if (Uniform() < 0.5) SubmitRequest();
    if (now_ms_ >= next_change_ms_) ReplaceBackend();
    if (const auto wake = table_.NextWake(); wake && *wake <= At(now_ms_))
      table_.Wake(At(now_ms_), &actions_);
    EndAttempts();
    PerformActions();
    if (now_ms_ > kStartMs + kWarmUpMs)
      max_allocated_bytes_ = std::max(max_allocated_bytes_, static_cast<double>(AllocatedBytes()));
  }

  void SubmitRequest() {
    Submit submit;
    submit.request_class = static_cast<int>(random_() % 3);
    submit.due = At(now_ms_ + 900);
    submit.key = random_();
    submit.has_hint = true;
    submit.work_ms = 5 + 20 * Uniform();
    const RequestId id = table_.Accept(At(now_ms_), submit, &actions_);
    if (Uniform() < 0.01) table_.ClientDisconnected(At(now_ms_), id, &actions_);
  }

  void AddBackend() { List(listed_.emplace_back("s" + std::to_string(++names_)), BackendState::kReady); }

  void ReplaceBackend() {
    next_change_ms_ = now_ms_ + kChangeEveryMs;
    List(listed_.front(), BackendState::kGone);
    listed_.pop_front();
    AddBackend();
  }

  // Each backend has an address of its own, as long as it is listed.
  static std::string AddressOf(const std::string& name) {
    constexpr unsigned kFirstPort = 1000;
    constexpr unsigned kPorts = 10000;
    return "127.0.0.1:" + std::to_string(kFirstPort + std::stoul(name.substr(1)) % kPorts);
  }

  void List(const std::string& name, BackendState state) {
    proxy::ListedEndpoint listed;
    listed.name = name;
    listed.address = proxy::ParseAddress(AddressOf(name));
    listed.state = state;
    listed.cell = static_cast<int>(names_ % 4);
    listed.started_at_ms = now_ms_ - 30000;
    EndpointListUpdate update;
    for (const proxy::Endpoint& endpoint : reader_.Resolve(false, ++version_, {listed}).endpoints)
      update.entries.push_back(endpoint.entry);
    table_.UpdateEndpoints(At(now_ms_), update, &actions_);
  }

  void EndAttempts() {
    for (std::size_t i = 0; i < in_flight_.size();) {
      if (in_flight_[i].ends_at_ms > now_ms_) {
        ++i;
        continue;
      }
      const Send send = in_flight_[i].send;
      in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(i));
      table_.AttemptEnded(At(now_ms_), send, RandomOutcome(), &actions_);
    }
  }

  Outcome RandomOutcome() {
    const double drawn = Uniform();
    if (drawn < 0.9) return Outcome::kOk;
    if (drawn < 0.93) return Outcome::kRejected;
    return drawn < 0.96 ? Outcome::kReset : Outcome::kError;
  }

  void PerformActions() {
    while (!actions_.empty()) {
      for (const Action& action : std::exchange(actions_, {})) Perform(action);
    }
  }

  void Perform(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action))
      in_flight_.push_back({now_ms_ + 10 + 60 * Uniform(), *send});
    const auto* cancel = std::get_if<Cancel>(&action);
    if (!cancel) return;
    for (AttemptInFlight& attempt : in_flight_) {
      if (attempt.send.request == cancel->request) attempt.ends_at_ms = now_ms_;
    }
  }

  RequestTable table_{SoakSettings(), 1};
  proxy::EndpointListReader reader_{proxy::testing::TestConfig({})};
  std::mt19937_64 random_{7};
  double now_ms_ = kStartMs;
  double next_change_ms_ = 0;
  std::uint64_t served_before_ = 0;
  std::uint64_t names_ = 0;
  std::uint64_t version_ = 0;
  std::deque<std::string> listed_;
  std::vector<AttemptInFlight> in_flight_;
  RequestTable::Actions actions_;
  double max_allocated_bytes_ = 0;
};

TEST(Soak, TheLastThirdHoldsNoMoreMemoryThanTheFirst) {
  SoakRun run;
  std::vector<double> max_allocated_bytes(3);
  for (double& third : max_allocated_bytes) {
    run.RunThird();
    third = run.max_allocated_bytes();
  }
  EXPECT_LE(max_allocated_bytes[2], 1.1 * max_allocated_bytes[0]);
  EXPECT_GT(run.names(), 1800u);
}

}  // namespace
}  // namespace badgerbridge::request_table
