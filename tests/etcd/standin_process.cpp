// SPDX-License-Identifier: Apache-2.0
#include "standin_process.h"

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <stdexcept>
#include <string_view>

extern char** environ;

namespace badgerbridge::independent_client {

StandinProcess::StandinProcess() {
  std::array<int, 2> output{};
  if (pipe(output.data()) != 0) throw std::runtime_error("pipe");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose(&actions, output[0]);
  posix_spawn_file_actions_addclose(&actions, output[1]);
  std::string program = STANDIN_ETCD_PATH;
  std::string members = std::to_string(kMembers);
  std::array<char*, 3> arguments = {program.data(), members.data(), nullptr};
  const int error = posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(output[1]);
  if (error != 0) throw std::runtime_error("cannot start " + program);
  ReadAddresses(output[0]);
}

StandinProcess::~StandinProcess() {
  kill(process_, SIGTERM);
  waitpid(process_, nullptr, 0);
}

void StandinProcess::ReadAddresses(int descriptor) {
  FILE* lines = fdopen(descriptor, "r");
  std::array<char, 64> line{};
  while (addresses_.size() < kMembers && fgets(line.data(), line.size(), lines))
    addresses_.emplace_back(line.data(), std::string_view(line.data()).find('\n'));
  fclose(lines);
}

}  // namespace badgerbridge::independent_client
