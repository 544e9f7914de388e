// SPDX-License-Identifier: Apache-2.0
#include "support/fault_injection.h"

#include <dlfcn.h>
#include <execinfo.h>
#include <malloc.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>
#include <utility>

namespace {

using badgerbridge::testing::Call;

constexpr int kMaxFrames = 40;

// The planned fault, and what came of it.
struct Plan {
  bool active = false;
  Call call = Call::kAllocation;
  long calls_before_first = 0;  // that succeed
  int failures_left = 0;
  int error_number = 0;  // errno of a failing system call
  bool happened = false;
  std::array<void*, kMaxFrames> frames{};
  int frame_count = 0;
};

// Shared with child processes, so that what was planned before a fork, and what came of it, outlives the
// child.
Plan& plan = *static_cast<Plan*>(
    mmap(nullptr, sizeof(Plan), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0));
bool counting = false;

// Counts a call, and returns whether it is to fail.
bool CallFails(Call call) {
  if (!counting || !plan.active || plan.call != call || plan.failures_left == 0) return false;
  if (plan.calls_before_first > 0) {
    --plan.calls_before_first;
    return false;
  }
  --plan.failures_left;
  if (!plan.happened) {
    counting = false;  // backtrace may allocate
    plan.frame_count = backtrace(plan.frames.data(), kMaxFrames);
    counting = true;
  }
  plan.happened = true;
  return true;
}

// The same for a system call; sets errno.
bool SystemCallFails(Call call) {
  if (!CallFails(call)) return false;
  errno = plan.error_number;
  return true;
}

void* Allocate(std::size_t size) {
  if (CallFails(Call::kAllocation)) throw std::bad_alloc();
  void* const memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

void* AllocateAligned(std::size_t size, std::size_t alignment) {
  if (CallFails(Call::kAllocation)) throw std::bad_alloc();
  void* const memory = memalign(alignment, size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

}  // namespace

// The other forms of new and delete call these.
void* operator new(std::size_t size) { return Allocate(size); }
void* operator new(std::size_t size, std::align_val_t alignment) {
  return AllocateAligned(size, static_cast<std::size_t>(alignment));
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete(void* memory, std::align_val_t) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t, std::align_val_t) noexcept { std::free(memory); }

extern "C" {

// Asio takes the memory of its handlers from here.
void* aligned_alloc(std::size_t alignment, std::size_t size) noexcept {
  if (CallFails(Call::kAllocation)) {
    errno = ENOMEM;
    return nullptr;
  }
  return memalign(alignment, size);
}

int accept(int descriptor, sockaddr* address, socklen_t* length) {
  if (SystemCallFails(Call::kAccept)) return -1;
  return static_cast<int>(syscall(SYS_accept4, descriptor, address, length, 0));
}

int accept4(int descriptor, sockaddr* address, socklen_t* length, int flags) {
  if (SystemCallFails(Call::kAccept)) return -1;
  return static_cast<int>(syscall(SYS_accept4, descriptor, address, length, flags));
}

int socket(int domain, int type, int protocol) noexcept {
  if (SystemCallFails(Call::kSocket)) return -1;
  return static_cast<int>(syscall(SYS_socket, domain, type, protocol));
}

int connect(int descriptor, const sockaddr* address, socklen_t length) {
  if (SystemCallFails(Call::kConnect)) return -1;
  return static_cast<int>(syscall(SYS_connect, descriptor, address, length));
}

int setsockopt(int descriptor, int level, int option, const void* value, socklen_t length) noexcept {
  if (SystemCallFails(Call::kSetsockopt)) return -1;
  return static_cast<int>(syscall(SYS_setsockopt, descriptor, level, option, value, length));
}

int shutdown(int descriptor, int how) noexcept {
  if (SystemCallFails(Call::kShutdown)) return -1;
  return static_cast<int>(syscall(SYS_shutdown, descriptor, how));
}

int epoll_ctl(int epoll, int operation, int descriptor, epoll_event* event) noexcept {
  // Only to add a descriptor needs memory of the system.
  if (operation == EPOLL_CTL_ADD && SystemCallFails(Call::kEpollCtl)) return -1;
  return static_cast<int>(syscall(SYS_epoll_ctl, epoll, operation, descriptor, event));
}

int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  if (SystemCallFails(Call::kPoll)) return -1;
#ifdef SYS_poll
  return static_cast<int>(syscall(SYS_poll, descriptors, count, timeout_ms));
#else
  // Not every architecture has the call; a null time-out of ppoll waits without end, as a negative one of
  // poll does.
  timespec timeout = {.tv_sec = timeout_ms / 1000, .tv_nsec = timeout_ms % 1000 * 1'000'000L};
  return static_cast<int>(
      syscall(SYS_ppoll, descriptors, count, timeout_ms < 0 ? nullptr : &timeout, nullptr, 0));
#endif
}

}  // extern "C"

namespace badgerbridge::testing {

const char* NameOf(Call call) {
  constexpr std::array<const char*, static_cast<std::size_t>(Call::kCount)> kNames{
      "allocation", "accept", "socket", "connect", "setsockopt", "shutdown", "epoll_ctl", "poll"};
  return kNames[static_cast<std::size_t>(call)];
}

PlannedFault::PlannedFault(Call call, long first, int failures, int error) {
  if (plan.active) std::abort();
  plan = {};
  plan.frame_count = backtrace(plan.frames.data(), kMaxFrames);  // its first call loads a library
  plan.frame_count = 0;
  plan.call = call;
  plan.calls_before_first = first;
  plan.failures_left = failures;
  plan.error_number = error;
  plan.active = true;
}

PlannedFault::~PlannedFault() { plan.active = false; }

bool PlannedFault::happened() const { return plan.happened; }

std::string PlannedFault::Site() const {
  Dl_info program{};
  if (dladdr(reinterpret_cast<void*>(&CallFails), &program) == 0) return "";
  std::string text;
  for (int i = 0; i < plan.frame_count; ++i) {
    Dl_info info{};
    void* const frame = plan.frames[static_cast<std::size_t>(i)];
    if (dladdr(frame, &info) == 0 || info.dli_fbase != program.dli_fbase) continue;
    // The call stands before the address that it returns to.
    const auto offset =
        reinterpret_cast<std::uintptr_t>(frame) - reinterpret_cast<std::uintptr_t>(program.dli_fbase) - 1;
    std::array<char, 32> number{};
    std::snprintf(number.data(), number.size(), " 0x%zx", static_cast<std::size_t>(offset));
    text += number.data();
  }
  return text;
}

bool Counting(bool on) { return std::exchange(counting, on); }

CountedScope::CountedScope() {
  if (counting) std::abort();
  counting = true;
}

CountedScope::~CountedScope() { counting = false; }

}  // namespace badgerbridge::testing
