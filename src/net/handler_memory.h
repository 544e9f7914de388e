// SPDX-License-Identifier: Apache-2.0
//
// Memory for one pending handler of an event loop, reserved before the handler is queued.
#ifndef BADGERBRIDGE_NET_HANDLER_MEMORY_H_
#define BADGERBRIDGE_NET_HANDLER_MEMORY_H_

#include <array>
#include <cstddef>
#include <memory>
#include <utility>

namespace badgerbridge::net {

/// Storage for one handler of up to kSize bytes, including Asio's overhead for it. Not thread-safe.
class HandlerMemory {
 public:
  /// The size of the storage in bytes.
  static constexpr std::size_t kSize = 256;

  /// The storage, or nullptr if it is in use or smaller than `size` bytes.
  void* Allocate(std::size_t size) {
    if (in_use_ || size > kSize) return nullptr;
    in_use_ = true;
    return storage_.data();
  }

  /// Makes the storage available again if `memory` is its address. False, without effect, for another
  /// address.
  bool Deallocate(const void* memory) {
    if (memory != storage_.data()) return false;
    in_use_ = false;
    return true;
  }

 private:
  alignas(std::max_align_t) std::array<std::byte, kSize> storage_;
  bool in_use_ = false;
};

/// An allocator for boost::asio::bind_allocator that uses a HandlerMemory if it is available, and otherwise
/// the heap. An operation that is the only user of the memory can be started without std::bad_alloc.
template <typename T>
class HandlerAllocator {
 public:
  /// The type of the allocated objects, as required of an allocator.
  using value_type = T;

  /// Shares ownership of `memory` with its copies; a handler keeps a copy while its memory is in use.
  explicit HandlerAllocator(std::shared_ptr<HandlerMemory> memory) : memory_(std::move(memory)) {}

  /// Rebinds an allocator of another type to the same memory.
  template <typename U>
  HandlerAllocator(const HandlerAllocator<U>& other) : memory_(other.memory()) {}

  /// Storage for `count` objects. Throws std::bad_alloc if the reserved memory is not available and the heap
  /// has none.
  T* allocate(std::size_t count) {
    static_assert(alignof(T) <= alignof(std::max_align_t));
    if (void* const reserved = memory_->Allocate(count * sizeof(T))) return static_cast<T*>(reserved);
    return std::allocator<T>().allocate(count);
  }

  /// Releases storage that allocate() returned for the same `count`.
  void deallocate(T* memory, std::size_t count) {
    if (!memory_->Deallocate(memory)) std::allocator<T>().deallocate(memory, count);
  }

  /// The reserved memory.
  const std::shared_ptr<HandlerMemory>& memory() const { return memory_; }

  /// True if both allocators use the same memory, so that either can deallocate what the other allocated.
  template <typename U>
  bool operator==(const HandlerAllocator<U>& other) const {
    return memory_ == other.memory();
  }

 private:
  std::shared_ptr<HandlerMemory> memory_;
};

}  // namespace badgerbridge::net

#endif  // BADGERBRIDGE_NET_HANDLER_MEMORY_H_
