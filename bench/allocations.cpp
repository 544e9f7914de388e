// SPDX-License-Identifier: Apache-2.0
//
// Replaces the global operator new and delete of the program that links it. For programs of one thread, or
// whose other threads need not be counted exactly: the counters are atomic, the peak is not exact across
// threads.
#include "allocations.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace badgerbridge::bench {
namespace {

constexpr std::size_t kBlockHeader = sizeof(std::size_t);  // glibc's, before each block

std::atomic<std::size_t> live_bytes{0};
std::atomic<std::size_t> peak_bytes{0};

void* Allocate(std::size_t size) {
  void* block = std::malloc(size == 0 ? 1 : size);
  if (block == nullptr) return nullptr;
  const std::size_t grown = malloc_usable_size(block) + kBlockHeader;
  const std::size_t live = live_bytes.fetch_add(grown, std::memory_order_relaxed) + grown;
  if (live > peak_bytes.load(std::memory_order_relaxed)) peak_bytes.store(live, std::memory_order_relaxed);
  return block;
}

void Release(void* block) {
  if (block == nullptr) return;
  live_bytes.fetch_sub(malloc_usable_size(block) + kBlockHeader, std::memory_order_relaxed);
  std::free(block);
}

}  // namespace

std::size_t LiveBytes() { return live_bytes.load(std::memory_order_relaxed); }
std::size_t PeakBytes() { return peak_bytes.load(std::memory_order_relaxed); }
void ResetPeak() { peak_bytes.store(LiveBytes(), std::memory_order_relaxed); }

}  // namespace badgerbridge::bench

// The standard's other forms without alignment call these (C++20, [new.delete]); none here asks for more than
// malloc aligns to.
void* operator new(std::size_t size) {
  if (void* block = badgerbridge::bench::Allocate(size)) return block;
  throw std::bad_alloc();
}
void operator delete(void* block) noexcept { badgerbridge::bench::Release(block); }
void operator delete(void* block, std::size_t) noexcept { badgerbridge::bench::Release(block); }
