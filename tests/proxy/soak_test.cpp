// SPDX-License-Identifier: Apache-2.0
//
// Nothing grows: the table of requests, the module and the names of the list, with every byte that they hold
// counted, over 30 minutes of virtual time in which each server is replaced every minute and no key comes
// twice.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdlib>
#include <deque>
#include <new>
#include <random>

#include "harness.h"
#include "proxy/discovery.h"
#include "proxy/proxy_harness.h"
#include "request_table/request_table.h"

namespace {

std::size_t held = 0;  // bytes that new has given and delete has not taken back
constexpr std::size_t kHead = alignof(std::max_align_t);

}  // namespace

void* operator new(std::size_t size) {
  void* const place = std::malloc(size + kHead);
  if (!place) throw std::bad_alloc();
  *static_cast<std::size_t*>(place) = size;
  held += size;
  return static_cast<char*>(place) + kHead;
}
void operator delete(void* pointer) noexcept {
  if (!pointer) return;
  void* const place = static_cast<char*>(pointer) - kHead;
  held -= *static_cast<std::size_t*>(place);
  std::free(place);
}
void operator delete(void* pointer, std::size_t) noexcept { operator delete(pointer); }

namespace badgerbridge::request_table {
namespace {

using namespace balancer;
using balancer::testing::At;
using balancer::testing::Usual;

TEST(Soak, WhatIsHeldInTheLastThirdIsWhatWasHeldInTheFirst) {
  constexpr int kServers = 60;
  constexpr double kThird = 600000;
  Settings settings = Usual();
  settings.balancer_count = 300;
  settings.key_affinity = true;
  settings.max_retry_after = Duration(500);
  RequestTable table(settings, 1);
  proxy::EndpointListReader reader(proxy::testing::TestConfig({}));
  std::mt19937_64 random(7);
  const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1.0p-53; };
  double now = 1e6;
  std::uint64_t served_before = 0, names = 0, index = 0;
  std::deque<std::string> listed;
  std::vector<std::pair<double, Send>> out;
  RequestTable::Actions actions;
  const auto list = [&](bool gone, const std::string& name) {
    proxy::ListedEndpoint one;
    one.name = name;
    one.address = proxy::ParseAddress("127.0.0.1:80");
    one.state = gone ? BackendState::kGone : BackendState::kReady;
    one.cell = static_cast<int>(names % 4);
    one.started_at_ms = now - 30000;
    EndpointListUpdate update;
    for (const proxy::Endpoint& endpoint : reader.Resolve(false, ++index, {one}).endpoints)
      update.entries.push_back(endpoint.entry);
    table.UpdateEndpoints(At(now), update, &actions);
  };
  for (int i = 0; i < kServers; ++i) list(false, listed.emplace_back("s" + std::to_string(++names)));
  std::vector<double> most(3);
  for (std::size_t third = 0; third < 3; ++third) {
    double next_change = now;
    for (const double end = now + kThird; now < end;) {
      now += 10;
      if (unit() < 0.5) {
        Submit submit;
        submit.request_class = static_cast<int>(random() % 3);
        submit.due = At(now + 900);
        submit.key = random();
        submit.has_hint = true;
        submit.work_ms = 5 + 20 * unit();
        const RequestId id = table.Accept(At(now), submit, &actions);
        if (unit() < 0.01) table.ClientDisconnected(At(now), id, &actions);
      }
      if (now >= next_change) {
        next_change = now + 1000;
        list(true, listed.front());
        listed.pop_front();
        list(false, listed.emplace_back("s" + std::to_string(++names)));
      }
      if (const auto wake = table.NextWake(); wake && *wake <= At(now)) table.Wake(At(now), &actions);
      for (std::size_t i = 0; i < out.size();) {
        if (out[i].first > now) {
          ++i;
          continue;
        }
        const Send send = out[i].second;
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
        const double drawn = unit();
        table.AttemptEnded(At(now), send,
                           drawn < 0.9    ? Outcome::kOk
                           : drawn < 0.93 ? Outcome::kRejected
                           : drawn < 0.96 ? Outcome::kReset
                                          : Outcome::kError,
                           &actions);
      }
      while (!actions.empty()) {
        for (const Action& action : std::exchange(actions, {})) {
          if (const auto* send = std::get_if<Send>(&action)) out.emplace_back(now + 10 + 60 * unit(), *send);
          if (const auto* cancel = std::get_if<Cancel>(&action)) {
            for (auto& [at, send] : out) {
              if (send.request == cancel->request) at = now;
            }
          }
        }
      }
      // Once the first minute has passed: what is gone is kept for so long.
      if (now > 1e6 + 90000) most[third] = std::max(most[third], static_cast<double>(held));
    }
    EXPECT_EQ(reader.name_count(), static_cast<std::size_t>(kServers));
    EXPECT_LE(table.Inspect().size(), kServers + 200u);  // a few minutes' worth of those that are gone
    EXPECT_LE(table.open(), 200u);
    std::uint64_t served = 0;
    for (const RequestCounters& counters : table.counters()) served += counters.served;
    EXPECT_GT(served, served_before + 10000);
    served_before = served;
  }
  EXPECT_LE(most[2], 1.1 * most[0]);
  EXPECT_GT(names, 1800u);
}

}  // namespace
}  // namespace badgerbridge::request_table
