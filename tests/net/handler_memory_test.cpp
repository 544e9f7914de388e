// SPDX-License-Identifier: Apache-2.0
#include "net/handler_memory.h"

#include <gtest/gtest.h>

#include <memory>

namespace badgerbridge::net {
namespace {

TEST(HandlerMemoryTest, AllocatesOnceUntilItIsDeallocated) {
  HandlerMemory memory;
  void* const storage = memory.Allocate(HandlerMemory::kSize);
  ASSERT_NE(storage, nullptr);
  EXPECT_EQ(memory.Allocate(1), nullptr);
  EXPECT_TRUE(memory.Deallocate(storage));
  EXPECT_EQ(memory.Allocate(1), storage);
}

TEST(HandlerMemoryTest, ASizeAboveTheStorageIsNotAllocated) {
  HandlerMemory memory;
  EXPECT_EQ(memory.Allocate(HandlerMemory::kSize + 1), nullptr);
  EXPECT_NE(memory.Allocate(HandlerMemory::kSize), nullptr);
}

TEST(HandlerMemoryTest, AnotherAddressIsNotDeallocated) {
  HandlerMemory memory;
  ASSERT_NE(memory.Allocate(1), nullptr);
  const int other = 0;
  EXPECT_FALSE(memory.Deallocate(&other));
  EXPECT_EQ(memory.Allocate(1), nullptr);
}

TEST(HandlerAllocatorTest, UsesTheHeapWhileTheMemoryIsInUse) {
  const auto memory = std::make_shared<HandlerMemory>();
  HandlerAllocator<int> allocator(memory);
  int* const reserved = allocator.allocate(1);
  int* const from_heap = allocator.allocate(1);
  EXPECT_NE(from_heap, reserved);
  allocator.deallocate(from_heap, 1);
  EXPECT_EQ(memory->Allocate(1), nullptr);  // still in use
  allocator.deallocate(reserved, 1);
  EXPECT_EQ(memory->Allocate(1), reserved);
}

TEST(HandlerAllocatorTest, AllocatorsOfOneMemoryAreEqual) {
  const HandlerAllocator<int> first(std::make_shared<HandlerMemory>());
  const HandlerAllocator<char> rebound(first);
  const HandlerAllocator<int> other(std::make_shared<HandlerMemory>());
  EXPECT_TRUE(first == rebound);
  EXPECT_FALSE(first == other);
}

}  // namespace
}  // namespace badgerbridge::net
