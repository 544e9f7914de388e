// SPDX-License-Identifier: Apache-2.0
//
// Shared by the two interleaving tests, which run one exchange many times with events injected at different
// moments: the counters of rule violations, the addresses, and the worker processes.
#ifndef BADGERBRIDGE_TESTS_PROXY_CROSSINGS_RIG_H_
#define BADGERBRIDGE_TESTS_PROXY_CROSSINGS_RIG_H_

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/proxy_harness.h"
#include "support/descriptors.h"

namespace badgerbridge::proxy::testing {

using badgerbridge::testing::CountDescriptors;

/// The number of violations of each rule.
struct RuleViolations {
  int lost = 0;    ///< requests without exactly one answer
  int twice = 0;   ///< requests that ran more often than allowed
  int late = 0;    ///< attempts that began too late
  int leaked = 0;  ///< connections, requests or descriptors left behind

  /// The sum over all rules.
  int all() const { return lost + twice + late + leaked; }
  /// Adds the violations of another run.
  void Add(const RuleViolations& other) {
    lost += other.lost;
    twice += other.twice;
    late += other.late;
    leaked += other.leaked;
  }
};

/// The correlation id of a request.
inline std::string IdIn(const std::string& request) {
  const std::size_t at = request.find("X-Correlation-Id: ") + 18;
  return request.substr(at, request.find("\r\n", at) - at);
}

/// Returns the request with another X-Time-Left-Ms.
inline std::string Timed(std::string request, int time_left_ms) {
  const std::size_t at = request.find(": 900");
  return request.replace(at, 5, ": " + std::to_string(time_left_ms));
}

/// A final answer received by a client.
struct ClientAnswer {
  int status = 0;
  std::string body;
};

/// The complete answers in the bytes that a client has received, in order.
inline std::vector<ClientAnswer> AnswersIn(const std::string& text) {
  std::vector<ClientAnswer> answers;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t head_end = text.find("\r\n\r\n", at);
    if (head_end == std::string::npos) break;
    const std::string head = text.substr(at, head_end - at);
    const std::size_t length_at = head.find("Content-Length: ");
    const std::size_t length = length_at == std::string::npos ? 0 : std::stoul(head.substr(length_at + 16));
    if (text.size() < head_end + 4 + length) break;
    answers.push_back({std::stoi(head.substr(9, 3)), text.substr(head_end + 4, length)});
    at = head_end + 4 + length;
  }
  return answers;
}

/// A loopback address for each run. On a single address, thousands of runs would exhaust the ports with
/// closed connections, and bind would fail. All addresses have the same length as text: a longer list might
/// be read in two pieces, which would change the number of steps.
inline tcp::endpoint OwnAddress() {
  constexpr unsigned kFirst = 100;   // every value has three digits
  constexpr unsigned kValues = 150;  // values per byte
  static unsigned plays = 0;
  const unsigned number = plays++;
  const unsigned by_process = 128 + static_cast<unsigned>(getpid()) % 120;
  return {asio::ip::make_address_v4(127u << 24 | by_process << 16 |
                                    (kFirst + number / kValues % kValues) << 8 | (kFirst + number % kValues)),
          0};
}

/// A unit of work: some runs, whose results it adds to the totals.
template <typename Totals>
using Work = std::function<void(Totals*)>;

/// Does every `stride`-th unit of work in a child process, which writes its totals to a pipe. The child ends
/// with exit(), so that the sanitizers check it for leaks too.
template <typename Totals>
class Worker {
 public:
  /// Starts the process. Throws std::system_error.
  Worker(const std::vector<Work<Totals>>& work, std::size_t first, std::size_t stride) {
    std::array<int, 2> ends{};
    if (::pipe(ends.data()) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
    std::cout.flush();
    std::fflush(nullptr);
    process_ = ::fork();
    if (process_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (process_ > 0) {
      ::close(ends[1]);
      totals_from_ = ends[0];
      return;
    }
    ::close(ends[0]);
    Totals totals;
    for (std::size_t i = first; i < work.size(); i += stride) work[i](&totals);
    std::cout.flush();
    const bool written = ::write(ends[1], &totals, sizeof totals) == sizeof totals;
    std::exit(written && !::testing::Test::HasFailure() ? 0 : 1);
  }

  /// Waits for the process and adds its totals. Fails the test if the process has failed.
  void Join(Totals* totals) {
    Totals child_totals;
    EXPECT_EQ(::read(totals_from_, &child_totals, sizeof child_totals),
              static_cast<ssize_t>(sizeof child_totals));
    ::close(totals_from_);
    int status = -1;
    EXPECT_EQ(::waitpid(process_, &status, 0), process_);
    EXPECT_EQ(status, 0) << "a worker failed";
    totals->Add(child_totals);
  }

 private:
  pid_t process_ = -1;
  int totals_from_ = -1;
};

/// Distributes the work over child processes and adds their totals.
template <typename Totals>
void RunInProcesses(const std::vector<Work<Totals>>& work, Totals* totals) {
  constexpr unsigned kMaxWorkers = 4;
  const unsigned count = std::clamp(std::thread::hardware_concurrency(), 1u, kMaxWorkers);
  std::vector<Worker<Totals>> workers;
  for (unsigned i = 0; i < count; ++i) workers.emplace_back(work, i, count);
  for (Worker<Totals>& worker : workers) worker.Join(totals);
}

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_CROSSINGS_RIG_H_
