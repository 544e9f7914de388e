// SPDX-License-Identifier: Apache-2.0
//
// Entry point of the proxy: parses arguments and loads the operator's file and the configuration.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http_api/version.h"
#include "operator_config/operator_file.h"
#include "proxy/config.h"
#include "proxy_main/command_line.h"
#include "proxy_main/proxy_process.h"

namespace badgerbridge::proxy_main {
namespace {

constexpr int kSuccess = 0;
constexpr int kFailure = 1;

std::string OperatorFileFromEnvironment() {
  const char* const path = std::getenv("BADGERBRIDGE_OPERATOR");
  return path ? path : "";
}

std::string VersionText() {
#ifdef BADGERBRIDGE_HAS_ETCD
  return http_api::VersionText("badgerbridge", {"control", "etcd", "regions"});
#else
  return http_api::VersionText("badgerbridge", {"control"});
#endif
}

/// Loads the operator's file and prints its warnings. If the file is invalid, prints its problems and returns
/// std::nullopt. An empty path yields a file that enables no feature.
std::optional<operator_config::OperatorFile> LoadOperatorFile(const std::string& path) {
  if (path.empty()) return operator_config::OperatorFile();
  operator_config::OperatorFile operator_file = operator_config::LoadOperatorFile(path);
  std::cerr << operator_config::FormatProblems(operator_file.problems);
  if (!operator_file.ok()) return std::nullopt;
  std::cerr << operator_config::FormatProblems(operator_file.warnings);
  return operator_file;
}

int Serve(const std::string& operator_path) {
  try {
    const std::optional<operator_config::OperatorFile> operator_file = LoadOperatorFile(operator_path);
    if (!operator_file) return kFailure;
    const proxy::Environment environment = [](const char* name) { return std::getenv(name); };
    ProxyProcess process(proxy::ReadConfig(environment), *operator_file, environment);
    process.Run();
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge: " << error.what() << '\n';
    return kFailure;
  }
  return kSuccess;
}

int Main(const std::vector<std::string_view>& arguments) {
  const auto command_line = ParseCommandLine(arguments, OperatorFileFromEnvironment());
  if (!command_line) {
    std::cerr << "badgerbridge: unknown or incomplete argument " << command_line.error().argument
              << "; see --help\n";
    return kFailure;
  }
  switch (command_line->command) {
    case Command::kPrintVersion:
      std::cout << VersionText();
      return kSuccess;
    case Command::kPrintHelp:
      std::cout << kUsage;
      return kSuccess;
    case Command::kRun:
      return Serve(command_line->operator_file);
  }
  return kFailure;
}

}  // namespace
}  // namespace badgerbridge::proxy_main

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  // Skips the program's name. It is absent if exec(3) was called with an empty argument list.
  return badgerbridge::proxy_main::Main({arguments + std::min(count, 1), arguments + count});
}
