// SPDX-License-Identifier: Apache-2.0
#include "simulator/experiment.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include "simulator/random.h"
#include "simulator/world.h"

namespace badgerbridge::simulator {
namespace {

constexpr int kResamples = 2000;
constexpr std::uint64_t kBootstrapSeed = 20260101;

Model In(const Model& model, const Way& way) {
  Model played = model;
  played.decision.decide = way.decide;
  if (way.proxies > 0) played.proxies = way.proxies;
  return played;
}

Played PlayOnce(const Model& model, std::uint64_t seed) {
  const Result result = World(model, seed).Run();
  Played played;
  played.worth = result.worth_share();
  std::size_t top = 0;
  double attempts = 0, crossed = 0;
  for (std::size_t i = 0; i < result.classes.size(); ++i) {
    if (model.classes[i].rules.priority_weight > model.classes[top].rules.priority_weight) top = i;
    attempts += static_cast<double>(result.classes[i].attempts);
    crossed += static_cast<double>(result.classes[i].crossed);
  }
  const ClassResult& c = result.classes[top];
  if (c.asked > 0) played.top_refused = static_cast<double>(c.refused) / static_cast<double>(c.asked);
  if (attempts > 0) played.crossed = crossed / attempts;
  if (result.breach) played.breach = std::string(Name(result.breach->rule)) + ": " + result.breach->what;
  return played;
}

}  // namespace

std::string Way::Name(const Model& model) const {
  constexpr const char* kNames[] = {"off", "alone", "cliff", "together"};
  return std::string(kNames[static_cast<int>(decide)]) + ", " +
         std::to_string(proxies > 0 ? proxies : model.proxies) + " proxies";
}

Interval Bootstrap(const std::vector<double>& values) {
  Interval interval;
  if (values.empty()) return interval;
  for (const double value : values) interval.mean += value / static_cast<double>(values.size());
  Random random(kBootstrapSeed, 1);
  std::vector<double> means;
  for (int i = 0; i < kResamples; ++i) {
    double sum = 0;
    for (std::size_t n = 0; n < values.size(); ++n) sum += values[random.Below(values.size())];
    means.push_back(sum / static_cast<double>(values.size()));
  }
  std::sort(means.begin(), means.end());
  interval.low = means[kResamples * 25 / 1000];
  interval.high = means[kResamples * 975 / 1000 - 1];
  return interval;
}

std::vector<Compared> Compare(const Model& model, const std::vector<Way>& ways, std::uint64_t first,
                              std::size_t seeds, unsigned threads) {
  std::vector<Compared> all;
  for (const Way& way : ways) all.push_back({way, std::vector<Played>(seeds), {}, {}});
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t at = next++; at < ways.size() * seeds; at = next++)
      all[at % ways.size()].runs[at / ways.size()] =
          PlayOnce(In(model, ways[at % ways.size()]), first + at / ways.size());
  };
  std::vector<std::thread> others;
  for (unsigned i = 1; i < threads; ++i) others.emplace_back(work);
  work();
  for (std::thread& other : others) other.join();
  for (Compared& one : all) {
    std::vector<double> worth, apart;
    for (std::size_t i = 0; i < seeds; ++i) {
      worth.push_back(one.runs[i].worth);
      apart.push_back(one.runs[i].worth - all.front().runs[i].worth);
    }
    one.worth = Bootstrap(worth);
    one.against_first = Bootstrap(apart);
  }
  return all;
}

}  // namespace badgerbridge::simulator
