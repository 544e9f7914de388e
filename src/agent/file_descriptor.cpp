// SPDX-License-Identifier: Apache-2.0
#include "agent/file_descriptor.h"

#include <unistd.h>

#include <utility>

namespace badgerbridge::agent {

FileDescriptor::~FileDescriptor() {
  if (number_ >= 0) close(number_);
}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this == &other) return *this;
  if (number_ >= 0) close(number_);
  number_ = other.Release();
  return *this;
}

int FileDescriptor::Release() { return std::exchange(number_, -1); }

}  // namespace badgerbridge::agent
