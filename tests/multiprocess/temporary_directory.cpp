// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/temporary_directory.h"

#include <cerrno>
#include <cstdlib>
#include <filesystem>

#include "multiprocess/error.h"

namespace badgerbridge::multiprocess {

TemporaryDirectory::TemporaryDirectory(const std::string& prefix)
    : path_((std::filesystem::temp_directory_path() / (prefix + "XXXXXX")).string()) {
  if (!mkdtemp(path_.data())) throw RunFailure({RunErrorKind::kSystemCall, "mkdtemp", path_, errno});
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace badgerbridge::multiprocess
