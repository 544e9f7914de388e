// SPDX-License-Identifier: Apache-2.0
//
// The account of a trial: what its processes report, the rules that the scenario sets, and the outcome.
#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "multiprocess/roles.h"
#include "multiprocess/trial.h"
#include "simulator/slow_start_checker.h"

namespace badgerbridge::multiprocess {

namespace json = boost::json;

namespace {

constexpr double kLeastLookEvery = 1000;  // ms, in the mean: shares that nobody held together prove nothing

void CollectAsked(const json::array& all, History& history) {
  for (const json::value& value : all) {
    const json::array& a = value.as_array();
    history.asked.push_back({std::string(a[0].as_string()), a[1].to_number<std::size_t>(),
                             std::string(a[2].as_string()), a[3].to_number<double>(),
                             a[4].to_number<double>(), a[5].to_number<double>(),
                             static_cast<Asked::End>(a[6].to_number<int>()), a[7].as_bool(),
                             a[8].to_number<double>(), a[9].to_number<double>(), a[10].as_bool(),
                             a[11].to_number<double>(), a[12].to_number<double>(), a[13].as_bool()});
  }
}

void CollectCrossed(const json::array& all, History& history) {
  for (const json::value& value : all) {
    const json::array& a = value.as_array();
    history.crossed.push_back({std::string(a[0].as_string()), std::string(a[1].as_string()),
                               a[2].to_number<double>(), a[3].to_number<double>(), a[4].to_number<double>(),
                               a[5].as_bool()});
  }
}

void CollectLags(const json::array& all, History& history) {
  for (const json::value& value : all)
    history.lags.push_back({value.at(0).to_number<double>(), value.at(1).to_number<double>()});
}

void CollectCame(const json::array& all, History& history) {
  for (const json::value& value : all) {
    const json::array& a = value.as_array();
    history.came.push_back({std::string(a[0].as_string()), std::string(a[1].as_string()),
                            std::string(a[2].as_string()), std::string(a[3].as_string()),
                            a[4].to_number<double>(), a[5].as_bool(), a[6].to_number<double>(),
                            a[7].to_number<double>()});
  }
}

void CollectTold(const json::array& all, History& history) {
  for (const json::value& value : all) {
    const json::array& a = value.as_array();
    history.told.push_back({std::string(a[0].as_string()), std::string(a[1].as_string()), a[2].as_bool(),
                            a[3].to_number<double>()});
  }
}

// What all proxies together may send to a backend of this age (ms), in one of its windows.
std::function<double(double)> ColdBudget(const simulator::Model& model) {
  return [backend = model.backend, mean = model.MeanWork()](double age) {
    return simulator::AllowedCalls(backend, mean, balancer::Duration(age));
  };
}

Rules RulesOf(const simulator::Model& model) {
  Rules rules;
  for (const simulator::ClassModel& c : model.classes) {
    rules.effects.push_back(static_cast<Idempotency>(static_cast<int>(c.rules.effect)));
    rules.worths.push_back(c.rules.priority_weight);
    rules.aims.push_back(c.rules.latency_objective.count());
    rules.late_worths.push_back(c.rules.late_weight);
  }
  rules.drain_grace = model.drain_grace.count();
  rules.link_delay = 2 * model.cross_region_latency.count();
  const simulator::BackendModel& backend = model.backend;
  if (backend.overload_factor > 0 && backend.slow_start_window.count() > 0) {
    rules.window = backend.overload_duration.count();
    rules.slow_start_window = backend.slow_start_window.count();
    rules.mean_work = model.MeanWork();
    rules.cold_budget = ColdBudget(model);
  }
  for (const simulator::MultiprocessFault& fault : model.multiprocess.faults) {
    if (fault.name == "delay") rules.link_delay += 2 * fault.value;
    if (fault.name == "trickle") rules.prompt_links = false;
  }
  for (const simulator::ScenarioEvent& what : model.events) {
    if (what.kind == simulator::ScenarioEvent::Kind::kCut) rules.prompt_links = false;
  }
  rules.slack += rules.link_delay;
  return rules;
}

std::vector<Second> CountSeconds(const std::vector<Asked>& asked, double began) {
  std::vector<Second> seconds;
  for (const Asked& one : asked) {
    const double at = std::max(0.0, (one.sent - began) / 1000);
    if (!(at < 1e5)) continue;
    if (seconds.size() <= static_cast<std::size_t>(at)) seconds.resize(static_cast<std::size_t>(at) + 1);
    Second& second = seconds[static_cast<std::size_t>(at)];
    ++second.asked;
    second.served += one.end == Asked::End::kServed;
    second.refused += one.end == Asked::End::kRefused;
    second.failed += one.end == Asked::End::kFailed || one.end == Asked::End::kLost;
  }
  return seconds;
}

}  // namespace

// A line of some part's account.
void Trial::Collect(const json::object& line) {
  if (const json::value* at = line.if_contains("opened")) {
    opened_.at(line.at("number").to_number<std::size_t>()) = std::string(at->as_string());
  } else if (const json::value* name = line.if_contains("fell")) {
    history_.fell.emplace_back(name->as_string());
    Note(history_.fell.back() + " fell over");
  }
  if (const json::value* all = line.if_contains("asked")) CollectAsked(all->as_array(), history_);
  if (const json::value* all = line.if_contains("crossed")) CollectCrossed(all->as_array(), history_);
  if (const json::value* all = line.if_contains("lags")) CollectLags(all->as_array(), history_);
  if (const json::value* all = line.if_contains("came")) CollectCame(all->as_array(), history_);
  if (const json::value* all = line.if_contains("told")) CollectTold(all->as_array(), history_);
  if (const json::value* wanted = line.if_contains("wanted"))
    history_.wanted += wanted->to_number<std::uint64_t>();
  if (const json::value* malformed = line.if_contains("malformed");
      malformed && malformed->to_number<int>() > 0)
    outcome_.troubles.push_back("a converter was sent what no proxy may send");
  if (const json::value* name = line.if_contains("decider"); name && on_decider_)
    std::exchange(on_decider_, nullptr)(std::string(name->as_string()));
  if (line.contains("decisions")) {
    outcome_.decisions = line.at("decisions").to_number<std::uint64_t>();
    outcome_.disorder = line.at("disorder").to_number<std::uint64_t>();
    outcome_.unfenced = line.at("unfenced").to_number<std::uint64_t>();
  }
  if (line.contains("ended")) ++ended_parts_;
}

void Trial::Gather() {
  for (const auto& part : clients_) part->Tell({{"do", "end"}});
  for (const auto& part : raw_clients_) part->Tell({{"do", "end"}});
  const std::size_t all_clients = clients_.size() + raw_clients_.size();
  Until([&] { return ended_parts_ == all_clients; }, "the clients' accounts");
  for (const auto& part : zones_) part->Tell({{"do", "end"}});
  discovery_->Tell({{"do", "end"}});
  wire_->Tell({{"do", "end"}});
  if (etcd_) etcd_->Tell({{"do", "end"}});
  const std::size_t parts = all_clients + zones_.size() + 2 + (etcd_ ? 1 : 0);
  Until([&] { return ended_parts_ == parts; }, "the accounts of all parts");
}

// Of the common decision, which the proxies' shares showed.
void Trial::StopRegionsWatch() {
  regions_->Stop();
  for (const std::string& line : regions_->Describe()) Note(line);
  outcome_.epoch = regions_->epoch();
  outcome_.worst_receiver = regions_->worst_receiver();
  if (static_cast<double>(regions_->looks()) < model_.duration_ms / kLeastLookEvery)
    outcome_.troubles.push_back("the proxies' shares were seen together " +
                                std::to_string(regions_->looks()) + " times only");
}

Outcome Trial::TakeOutcome() {
  outcome_.verdict = Judge(RulesOf(model_), history_);
  outcome_.seconds = CountSeconds(history_.asked, began_);
  outcome_.processes = processes_;
  return std::move(outcome_);
}

}  // namespace badgerbridge::multiprocess
