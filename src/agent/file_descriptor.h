// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Ownership of a file descriptor.
#ifndef BADGERBRIDGE_AGENT_FILE_DESCRIPTOR_H_
#define BADGERBRIDGE_AGENT_FILE_DESCRIPTOR_H_

namespace badgerbridge::agent {

/// Owns a file descriptor and closes it when destroyed. Movable, not copyable.
class FileDescriptor {
 public:
  /// Takes ownership of `number`; a negative number means no descriptor.
  explicit FileDescriptor(int number = -1) : number_(number) {}
  /// Closes the descriptor, if there is one.
  ~FileDescriptor();
  /// Takes ownership from `other`, which is left empty.
  FileDescriptor(FileDescriptor&& other) noexcept : number_(other.Release()) {}
  /// Closes its own descriptor and takes ownership from `other`.
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  /// The descriptor; negative if there is none.
  int get() const { return number_; }
  /// Whether this object owns a descriptor.
  bool is_open() const { return number_ >= 0; }
  /// Returns the descriptor and releases ownership without closing it.
  int Release();

 private:
  int number_;
};

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_FILE_DESCRIPTOR_H_
