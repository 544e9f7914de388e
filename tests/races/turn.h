// SPDX-License-Identifier: Apache-2.0
//
// Reproduces the event loop iteration of a process that was descheduled for a while: timers have expired and
// descriptors are ready at the same time.
//
// In one iteration Asio takes at most 128 ready descriptors from epoll and queues their handlers, followed by
// those of the expired timers. A further ready descriptor is seen only after the timers' handlers have run.
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

/// Waits until all bytes written to TCP sockets of this process have been acknowledged, so that they can be
/// read. On loopback the kernel may deliver packets on another thread, so they are not readable at once.
inline void AwaitDelivery() {
  constexpr int kMaxDescriptors = 1024;
  constexpr time_t kMaxSeconds = 20;
  timespec began{};
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &began);  // not virtualized by the test
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
      ADD_FAILURE() << "bytes were not delivered over loopback";
      return;
    }
  }
}

/// A descriptor that a test makes ready; its handler runs in the next event loop iteration.
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

/// A fixture with virtual time and an event loop that runs only ready handlers.
class EventLoopRaceTest : public ::testing::Test {
 protected:
  /// Runs handlers until none is ready. Returns the number of handlers.
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

  /// Advances the clock by `by`, which expires timers, and calls `arrive`, which makes descriptors ready. The
  /// timers' handlers run before those of the descriptors.
  template <typename Arrive>
  void RunTimersBefore(Arrive arrive, std::chrono::nanoseconds by) {
    constexpr int kMoreThanOneIterationHandles = 200;
    std::vector<std::unique_ptr<ReadyDescriptor>> others;
    for (int i = 0; i < kMoreThanOneIterationHandles; ++i)
      others.push_back(std::make_unique<ReadyDescriptor>(io_, nullptr));
    RunReady();
    clock_.Advance(by);
    for (const auto& other : others) other->MakeReady();
    arrive();
    RunReady();
  }

  /// Advances the clock by `by` and runs `step` in the iteration in which the expired timers are queued,
  /// before their handlers.
  template <typename Step>
  void RunBeforeQueuedTimers(Step step, std::chrono::nanoseconds by) {
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

  /// Runs handlers until the condition holds, and advances the clock by 1 ms whenever none is ready. False if
  /// the condition does not hold after 20000 steps.
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
