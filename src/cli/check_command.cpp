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
  Problems ignored;  // the parser of the file's kind reports them
  const auto root = operator_config::ParseToml(text, path, ignored);
  if (!root || !(root->contains("agent") || root->contains("instance"))) return FileKind::kOperator;
  return root->at("agent").is_array_of_tables() ? FileKind::kContext : FileKind::kFleet;
}

Problems ProblemsOf(const std::string& text, const std::string& path, std::ostream& err) {
  Problems problems;
  switch (KindOf(text, path)) {
    case FileKind::kContext:
      if (const auto agents = ParseContext(text, path); !agents) problems = agents.error();
      break;
    case FileKind::kFleet:
      agent::ParseFleetFile(text, path, problems);
      break;
    case FileKind::kOperator:
      err << operator_config::Lines(operator_config::Parse(text, path, problems).warnings);
      break;
  }
  return problems;
}

}  // namespace

Result<ExitCode> CheckFile(const std::string& path, std::ostream& err) {
  Problems problems;
  if (const auto text = operator_config::ReadFile(path, agent::kMaxFleetFileBytes, problems))
    problems = ProblemsOf(*text, path, err);
  if (!problems.empty()) return InvalidFile{problems, ExitCode::kPartialFailure};
  return ExitCode::kSuccess;
}

}  // namespace badgerbridge::cli
