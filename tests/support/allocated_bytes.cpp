// SPDX-License-Identifier: Apache-2.0
#include "support/allocated_bytes.h"

#include <cstdlib>
#include <new>

namespace {

std::size_t allocated_bytes = 0;  // allocated and not freed
constexpr std::size_t kHeaderBytes = alignof(std::max_align_t);

}  // namespace

void* operator new(std::size_t size) {
  void* const place = std::malloc(size + kHeaderBytes);
  if (!place) throw std::bad_alloc();
  *static_cast<std::size_t*>(place) = size;
  allocated_bytes += size;
  return static_cast<char*>(place) + kHeaderBytes;
}
void operator delete(void* pointer) noexcept {
  if (!pointer) return;
  void* const place = static_cast<char*>(pointer) - kHeaderBytes;
  allocated_bytes -= *static_cast<std::size_t*>(place);
  std::free(place);
}
void operator delete(void* pointer, std::size_t) noexcept { operator delete(pointer); }

namespace badgerbridge::testing {

std::size_t AllocatedBytes() { return allocated_bytes; }

}  // namespace badgerbridge::testing
