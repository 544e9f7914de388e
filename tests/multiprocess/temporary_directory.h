// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A directory that exists as long as its object.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_TEMPORARY_DIRECTORY_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_TEMPORARY_DIRECTORY_H_

#include <string>

namespace badgerbridge::multiprocess {

/// Makes a directory with a name of its own in the system's temporary directory, and removes it with all that
/// is in it.
class TemporaryDirectory {
 public:
  /// `prefix`: of its name. Throws RunFailure if it can't be made.
  explicit TemporaryDirectory(const std::string& prefix);
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  /// The path of a file in it.
  std::string PathOf(const std::string& file) const { return path_ + "/" + file; }

 private:
  std::string path_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_TEMPORARY_DIRECTORY_H_
