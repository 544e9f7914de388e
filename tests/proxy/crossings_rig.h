// SPDX-License-Identifier: Apache-2.0
//
// What the two rigs of crossings share: what plays are judged by, their addresses, and the processes in which
// they run. A rig plays one exchange many times, each time with events at other moments.
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

/// How often each rule was broken.
struct RuleViolations {
  int lost = 0;    ///< a request without its one answer
  int twice = 0;   ///< a request that ran twice and may not
  int late = 0;    ///< an attempt that began when it might no longer
  int leaked = 0;  ///< connections, requests or descriptors left behind

  /// Of all rules.
  int all() const { return lost + twice + late + leaked; }
  /// Adds those of another play.
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

/// The request, with so much time left.
inline std::string Timed(std::string request, int time_left_ms) {
  const std::size_t at = request.find(": 900");
  return request.replace(at, 5, ": " + std::to_string(time_left_ms));
}

/// A final answer that a client has read.
struct ClientAnswer {
  int status = 0;
  std::string body;
};

/// The complete answers in what a client has read, in order.
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

/// An address for each play: thousands of them leave more closed connections behind than one address has
/// ports, and bind fails then. All are of one length in writing: a list that is longer by a digit may be read
/// in two pieces in place of one, and the play has other steps then.
inline tcp::endpoint OwnAddress() {
  constexpr unsigned kFirst = 100;   // of three digits, as all that follow
  constexpr unsigned kValues = 150;  // of one byte
  static unsigned plays = 0;
  const unsigned number = plays++;
  const unsigned by_process = 128 + static_cast<unsigned>(getpid()) % 120;
  return {asio::ip::make_address_v4(127u << 24 | by_process << 16 |
                                    (kFirst + number / kValues % kValues) << 8 | (kFirst + number % kValues)),
          0};
}

/// One piece of the plays; adds to the totals.
template <typename Totals>
using Work = std::function<void(Totals*)>;

/// Does each `stride`-th piece in a process of its own, which writes its totals into a pipe. It ends by exit,
/// so that the sanitizers look for leaks in it too.
template <typename Totals>
class Worker {
 public:
  /// Starts the process; throws std::system_error.
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

  /// Waits for its end. Its failures are this process's.
  void Join(Totals* totals) {
    Totals its;
    EXPECT_EQ(::read(totals_from_, &its, sizeof its), static_cast<ssize_t>(sizeof its));
    ::close(totals_from_);
    int status = -1;
    EXPECT_EQ(::waitpid(process_, &status, 0), process_);
    EXPECT_EQ(status, 0) << "a worker failed";
    totals->Add(its);
  }

 private:
  pid_t process_ = -1;
  int totals_from_ = -1;
};

/// Does all pieces, and adds their totals.
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
