// SPDX-License-Identifier: Apache-2.0
#include "cli/check_command.h"

#include <ostream>

#include "agent/fleet_file.h"
#include "cli/context.h"
#include "operator_config/operator_file.h"
#include "operator_config/table_reader.h"

namespace badgerbridge::cli {
namespace {

using operator_config::Problems;

enum class FileKind { kOperator, kFleet, kContext };

/// A file that is no TOML counts as an operator's file.
FileKind KindOf(const std::string& text, const std::string& path) {
  const auto root = operator_config::ParseToml(text, path);  // an error is reported by the parser of its kind
  if (!root || !(root->contains("agent") || root->contains("instance"))) return FileKind::kOperator;
  return root->at("agent").is_array_of_tables() ? FileKind::kContext : FileKind::kFleet;
}

Problems ProblemsOf(const std::string& text, const std::string& path, std::ostream& err) {
  switch (KindOf(text, path)) {
    case FileKind::kContext: {
      const auto agents = ParseContext(text, path);
      return agents ? Problems() : agents.error();
    }
    case FileKind::kFleet: {
      Problems problems;
      agent::ParseFleetFile(text, path, problems);
      return problems;
    }
    case FileKind::kOperator:
      break;
  }
  const operator_config::OperatorFile file = operator_config::ParseOperatorFile(text, path);
  err << operator_config::FormatProblems(file.warnings);
  return file.problems;
}

}  // namespace

Result<ExitCode> CheckFile(const std::string& path, std::ostream& err) {
  const auto text = operator_config::ReadFile(path, agent::kMaxFleetFileBytes);
  const Problems problems = text ? ProblemsOf(*text, path, err) : Problems{text.error()};
  if (!problems.empty()) return InvalidFile{problems, ExitCode::kPartialFailure};
  return ExitCode::kSuccess;
}

}  // namespace badgerbridge::cli
