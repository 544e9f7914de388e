// SPDX-License-Identifier: Apache-2.0
//
// Forces what one turn of the event loop finds in a process that was descheduled for a while: expired timers,
// and descriptors that became ready.
//
// Asio takes at most 128 ready descriptors from epoll in one turn and queues their handlers; those of the
// timers that have expired come behind them. A descriptor that is ready, and not among the 128, is seen only
// when the timers' handlers have run.
#ifndef BADGERBRIDGE_TESTS_RACES_TURN_H_
#define BADGERBRIDGE_TESTS_RACES_TURN_H_

#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "support/virtual_clock.h"

namespace badgerbridge::testing {

/// Waits until what this process has written to its TCP sockets has been acknowledged: then it can be read.
/// On loopback that is soon, but not at once where the kernel hands packets over on another thread.
inline void AwaitDelivery() {
  constexpr int kMaxDescriptors = 1024;
  constexpr time_t kMaxSeconds = 20;
  timespec began{};
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &began);  // not the virtual one
  for (int descriptor = 0; descriptor < kMaxDescriptors;) {
    int domain = 0;
    int pending = 0;
    socklen_t size = sizeof domain;
    const bool awaited = getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 &&
                         domain == AF_INET && ioctl(descriptor, SIOCOUTQ, &pending) == 0 && pending > 0;
    clock_gettime(CLOCK_REALTIME, &now);
    if (!awaited) {
      ++descriptor;
    } else if (now.tv_sec - began.tv_sec > kMaxSeconds) {
      ADD_FAILURE() << "bytes have not come across loopback";
      return;
    }
  }
}

/// A descriptor whose handler runs in the turn in which it was made ready.
class ReadyDescriptor {
 public:
  ReadyDescriptor(boost::asio::io_context& io, std::function<void()> handler)
      : descriptor_(io, eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [handler = std::move(handler)](const boost::system::error_code& error) {
                             if (!error && handler) handler();
                           });
  }

  void MakeReady() {
    const std::uint64_t one = 1;
    EXPECT_EQ(write(descriptor_.native_handle(), &one, sizeof one), static_cast<ssize_t>(sizeof one));
  }

 private:
  boost::asio::posix::stream_descriptor descriptor_;
};

/// A test's clock, and an event loop that runs only what is ready.
class TurnTest : public ::testing::Test {
 protected:
  /// Runs handlers until none is ready. Returns how many.
  std::size_t RunReady() {
    std::size_t ran = 0;
    for (std::size_t n = 1; n > 0; ran += n) {
      AwaitDelivery();
      io_.restart();
      n = io_.poll();
    }
    return ran;
  }

  void AdvanceAndRun(std::chrono::nanoseconds by) {
    clock_.Advance(by);
    RunReady();
  }

  /// Timers that are due after `by` expire, and `arrive` makes descriptors ready: the timers' handlers run
  /// first.
  template <typename Arrive>
  void TimersAheadOf(Arrive arrive, std::chrono::nanoseconds by) {
    constexpr int kMoreThanATurnTakes = 200;
    std::vector<std::unique_ptr<ReadyDescriptor>> others;
    for (int i = 0; i < kMoreThanATurnTakes; ++i)
      others.push_back(std::make_unique<ReadyDescriptor>(io_, nullptr));
    RunReady();
    clock_.Advance(by);
    for (const auto& other : others) other->MakeReady();
    arrive();
    RunReady();
  }

  /// `step` runs when the handlers of timers that are due after `by` have been queued, ahead of them.
  template <typename Step>
  void AheadOfQueuedTimers(Step step, std::chrono::nanoseconds by) {
    bool ran = false;
    ReadyDescriptor first(io_, [&] {
      ran = true;
      step();
    });
    RunReady();
    clock_.Advance(by);
    first.MakeReady();
    RunReady();
    EXPECT_TRUE(ran);
  }

  /// Runs handlers until the condition holds, and moves the clock by a millisecond where none is ready. False
  /// if it does not hold within 20 s of that clock.
  template <typename Condition>
  bool Until(Condition holds) {
    constexpr int kMaxSteps = 20000;
    for (int step = 0; step < kMaxSteps; ++step) {
      if (holds()) return true;
      if (RunReady() == 0) clock_.Advance(std::chrono::milliseconds(1));
    }
    return holds();
  }

  VirtualClock clock_;
  boost::asio::io_context io_{1};
};

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_RACES_TURN_H_
