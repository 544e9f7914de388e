// SPDX-License-Identifier: Apache-2.0
//
// bench_list [MEMBERS] [ROUNDS]: how long one handler of a proxy holds the loop while a whole list comes from
// etcd, and until when it is whole. The proxy's own parts, without clients; the stand-in etcd is
// another process. Each handler is timed alone: its CPU time, since others may have the processor meanwhile.
//
// First the list at the start; then, ROUNDS times, a compaction while the watch is cut, with 100 drains
// written meanwhile: the list is read again, and the time is until the proxy has all the drains.
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <thread>

#include "measure.h"
#include "membership/member_codec.h"
#include "proxy/proxy.h"
#include "proxy_main/membership_source.h"
#include "standins/etcd.h"

namespace badgerbridge::bench {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kWritesAtOnce = 1000;
constexpr std::size_t kDrains = 100;

double ThreadCpuMs() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

std::string NameOf(std::size_t i) {
  const std::string digits = std::to_string(i);
  return "backend-" + std::string(8 - std::min<std::size_t>(8, digits.size()), '0') + digits;
}

std::pair<std::string, std::string> KeyOf(std::size_t i, membership::MemberState state) {
  membership::Member member;
  member.name = NameOf(i);
  member.address = "127.0." + std::to_string(i / 250 % 250 + 1) + "." + std::to_string(i % 250 + 1) + ":9000";
  member.zone = std::string(1, i % 2 ? 'a' : 'b');
  member.kind = "standard";
  member.group = static_cast<int>(i % 6500);
  member.state = state;
  member.start_time_ms = 1e12;
  return {membership::kBackendsPrefix + member.name, membership::SerializeMember(member)};
}

// The stand-in in a process of its own; this build's Asio takes one thread a process.
class EtcdProcess {
 public:
  explicit EtcdProcess(std::size_t members) {
    int ends[2];
    if (socketpair(AF_UNIX, SOCK_STREAM, 0, ends) != 0) std::abort();
    child_ = fork();
    if (child_ == 0) {
      close(ends[0]);
      Serve(members, ends[1]);
    }
    close(ends[1]);
    end_ = ends[0];
    if (read(end_, &port_, sizeof(port_)) != sizeof(port_)) std::abort();
  }
  ~EtcdProcess() {
    close(end_);
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
  }
  // The watch is cut, drains are written and history is compacted: round after round.
  void NextRound() {
    char byte = 0;
    if (write(end_, &byte, 1) != 1 || read(end_, &byte, 1) != 1) std::abort();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  [[noreturn]] static void Serve(std::size_t members, int end) {
    asio::io_context io(1);
    standins::Etcd etcd(io, {});
    std::vector<std::pair<std::string, std::string>> pairs;
    for (std::size_t i = 0; i < members; ++i) {
      pairs.push_back(KeyOf(i, membership::MemberState::kReady));
      if (pairs.size() == kWritesAtOnce || i + 1 == members) etcd.store().PutAll(std::exchange(pairs, {}));
    }
    const std::uint16_t port = etcd.address(0).port();
    if (write(end, &port, sizeof(port)) != sizeof(port)) _exit(1);
    asio::posix::stream_descriptor commands(io, end);
    char byte = 0;
    std::size_t written = 0;
    std::function<void()> await = [&] {
      commands.async_read_some(
          asio::buffer(&byte, 1), [&](const boost::system::error_code& error, std::size_t) {
            if (error) _exit(0);
            etcd.Down(0);
            std::vector<std::pair<std::string, std::string>> drains;
            for (std::size_t i = 0; i < kDrains; ++i)
              drains.push_back(KeyOf(written++ * 7919 % members, membership::MemberState::kDraining));
            etcd.store().PutAll(drains);
            etcd.Compact(etcd.store().revision());
            etcd.Up(0);
            if (write(end, &byte, 1) != 1) _exit(1);
            await();
          });
    };
    await();
    io.run();
    _exit(0);
  }

  pid_t child_ = -1;
  int end_ = -1;
  std::uint16_t port_ = 0;
};

struct Handlers {
  std::size_t count = 0, over_2ms = 0;
  double longest_ms = 0, cpu_ms = 0, wall_ms = 0;
};

// Runs handlers until `holds`, each timed.
template <typename Condition>
Handlers RunUntil(asio::io_context& io, Condition holds) {
  Handlers handlers;
  const auto began = Clock::now();
  while (!holds() && Since(began) < 60000) {
    io.restart();
    const double before = ThreadCpuMs();
    if (io.poll_one() == 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(50));
      continue;
    }
    const double took = ThreadCpuMs() - before;
    ++handlers.count;
    handlers.over_2ms += took > 2;
    handlers.longest_ms = std::max(handlers.longest_ms, took);
    handlers.cpu_ms += took;
  }
  handlers.wall_ms = Since(began);
  return handlers;
}

void Print(const char* what, std::size_t members, const Handlers& handlers) {
  std::cout << "list: what=" << what << " members=" << members
            << " longest_handler_ms=" << handlers.longest_ms << " handlers_over_2ms=" << handlers.over_2ms
            << " handlers=" << handlers.count << " cpu_ms=" << handlers.cpu_ms
            << " until_whole_ms=" << handlers.wall_ms << std::endl;
}

constexpr const char* kConfig =
    R"({"name":"bench","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"a5",
  "limits":{"cores":1.0,"memory_mb":512,"sockets":1024},"settings":{"balancers":1,"me":0,"zone":0,
  "zones":["a","b"],"kinds":["standard"],"tenants":[],"periodMs":5.0,"registryMode":"push","classes":[
  {"name":"preview","effect":"read_like","group":"cell","windowMs":10000.0,"goalTimeMs":500.0,
   "deadlineMs":1500.0,"worth":1.0}],"permissions":{"maxAttempts":4,"connectTimeoutMs":250.0,
  "connIdleMs":60000.0,"retryAfter":true,"maxRetryAfterMs":600.0},"rules":{"coldFrom":0.2,"warmUpMs":24000.0,
  "fallMultiple":2.5,"overloadForMs":3000.0,"drainGraceMs":500.0}}})";

int Main(std::size_t members, int rounds) {
  Checks checks;
  EtcdProcess etcd(members);
  asio::io_context io(1);
  const proxy::Config config = proxy::ParseConfig(kConfig, [](const char*) { return nullptr; });
  const proxy::ProxyClock clock;
  proxy::BackendPool backends(io, clock, proxy::BackendPool::Limits::From(config));
  proxy::Proxy proxy(io, clock, backends, config);
  operator_config::EtcdSettings table;
  table.endpoints = {etcd.address()};
  bool whole = false;
  std::size_t ready = 0, draining = 0;
  double longest_slice_ms = 0;  // of 32 at most, at the module and the pool
  proxy_main::MembershipSource source(
      io, config, table,
      [&](const proxy::EndpointList& list) {
        for (const proxy::Endpoint& endpoint : list.endpoints) {
          ready += endpoint.entry.state == balancer::BackendState::kReady;
          draining += endpoint.entry.state == balancer::BackendState::kDraining;
        }
        const double before = ThreadCpuMs();
        proxy.UpdateList(balancer::EndpointListKind::kDelta, list);
        longest_slice_ms = std::max(longest_slice_ms, ThreadCpuMs() - before);
      },
      [&] { whole = true; });
  const Handlers start = RunUntil(io, [&] { return whole; });
  Print("start", members, start);
  std::cout << "list: longest_slice_ms=" << longest_slice_ms << std::endl;
  checks.Expect(ready == members, "the proxy has every member once");
  for (int round = 0; round < rounds; ++round) {
    const std::size_t before = draining;
    etcd.NextRound();
    Print("relist", members, RunUntil(io, [&] { return draining - before == kDrains; }));
    checks.Expect(draining - before == kDrains, "every drain reached the proxy");
  }
  return checks.broken > 0;
}

}  // namespace
}  // namespace badgerbridge::bench

int main(int count, char** arguments) {
  const std::size_t members = count > 1 ? std::strtoul(arguments[1], nullptr, 10) : 110000;
  return badgerbridge::bench::Main(members, count > 2 ? std::atoi(arguments[2]) : 3);
}
