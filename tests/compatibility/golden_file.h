// SPDX-License-Identifier: Apache-2.0
//
/// Golden files: texts that an earlier version wrote or accepted, kept under tests/compatibility/golden. A
/// test compares what the code gives now with such a file, byte for byte.
///
/// A golden file changes only on purpose. With the environment variable BADGERBRIDGE_REGENERATE_GOLDEN=1,
/// MatchesGoldenFile writes what it was given into the file and fails the test, so that a run that
/// regenerates is never taken for one that passed; look at the difference in version control before it is
/// committed.
#ifndef BADGERBRIDGE_TESTS_COMPATIBILITY_GOLDEN_FILE_H_
#define BADGERBRIDGE_TESTS_COMPATIBILITY_GOLDEN_FILE_H_

#include <gtest/gtest.h>

#include <boost/json/value.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace badgerbridge::compatibility {

/// The path of a golden file; `name` is relative to tests/compatibility/golden, as in "agent/store.journal".
std::string GoldenPath(std::string_view name);

/// The whole golden file. Throws std::runtime_error if it cannot be read.
std::string ReadGoldenFile(std::string_view name);

/// The lines of a golden file, without line ends and without empty lines.
std::vector<std::string> GoldenLines(std::string_view name);

/// Success if `actual` is the golden file's content, byte for byte. The failure shows the first lines that
/// differ, with those before them, in the form of a unified diff.
::testing::AssertionResult MatchesGoldenFile(std::string_view name, std::string_view actual);

/// A JSON value as lines "path: value", one for each leaf, in the order of the text. Empty objects and lists
/// are leaves. Fields of an object are joined by ".", elements of a list have their index, as in
/// "members[0].name".
std::string LeavesOf(const boost::json::value& value);

/// The structure of a JSON value as sorted lines "path: type", without values: all elements of a list share
/// the path
/// "[]". A leaf whose path is in `fixed` keeps its value: "path = value".
std::string StructureOf(const boost::json::value& value, const std::set<std::string>& fixed = {});

/// `lines`, each ended by a line feed.
std::string JoinLines(const std::vector<std::string>& lines);

/// A new empty directory, removed with all that is in it when this ends.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  /// The path of `name` in the directory.
  std::string Path(std::string_view name) const;

 private:
  std::string path_;
};

/// The whole file at `path`. Throws std::runtime_error if it cannot be read.
std::string ReadWholeFile(const std::string& path);

/// Makes or replaces the file at `path`. Throws std::runtime_error if it cannot be written.
void WriteWholeFile(const std::string& path, std::string_view text);

}  // namespace badgerbridge::compatibility

#endif  // BADGERBRIDGE_TESTS_COMPATIBILITY_GOLDEN_FILE_H_
