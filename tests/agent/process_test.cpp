// SPDX-License-Identifier: Apache-2.0
#include "agent/process.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "agent/instance_log.h"

namespace badgerbridge::agent {
namespace {

/// Waits for the end of the process, and returns how it ended.
std::string AwaitExit(const Process& process) {
  pollfd end{process.pidfd.get(), POLLIN, 0};
  EXPECT_EQ(poll(&end, 1, 20000), 1);
  return ReapProcess(process).value_or("it runs");
}

TEST(Process, ReusedPidIsNotTakenForAnInstance) {
  std::string folder = ::testing::TempDir() + "process_XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const InstancePaths paths{folder + "/n1.lock", folder + "/n1.log"};
  InstanceDefinition definition;
  definition.name = "n1";
  definition.command = {"/bin/sleep", "100"};
  const Result<Process> process = StartProcess(definition, paths);
  ASSERT_TRUE(process) << Message(process.error());
  EXPECT_EQ(ReadStartTime(process->pid), process->start_time);
  // A running process is found, and not started a second time.
  const auto found = FindProcess(paths);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->pid, process->pid);
  EXPECT_EQ(found->start_time, process->start_time);
  const Result<Process> again = StartProcess(definition, paths);
  EXPECT_FALSE(again);
  EXPECT_EQ(Message(again.error()), "already runs");
  EXPECT_FALSE(ReapProcess(*process)) << "the process runs, and the call must not block";
  EXPECT_FALSE(ReapProcess(*found));
  EXPECT_TRUE(SendSignal(*found, SIGKILL));
  EXPECT_EQ(AwaitExit(*process).rfind("was killed by signal 9", 0), 0u);
  EXPECT_FALSE(FindProcess(paths));
  EXPECT_FALSE(SendSignal(*found, SIGKILL)) << "the pidfd refers to the ended process";
  // The lock file contains a pid that another process uses by now.
  std::ofstream(paths.lock, std::ios::trunc) << getppid() << '\n';
  EXPECT_FALSE(FindProcess(paths));
  // If another process holds the lock, the pid in the file must still be that of the holder.
  int ready[2];
  ASSERT_EQ(pipe(ready), 0);
  const pid_t holder = fork();
  if (holder == 0) {
    const int file = open(paths.lock.c_str(), O_RDWR);
    const bool held = flock(file, LOCK_EX | LOCK_NB) == 0;
    if (write(ready[1], held ? "y" : "n", 1) != 1) _exit(1);
    for (;;) pause();
  }
  char held = 0;
  ASSERT_EQ(read(ready[0], &held, 1), 1);
  EXPECT_EQ(held, 'y');
  EXPECT_FALSE(StartProcess(definition, paths));
  EXPECT_FALSE(FindProcess(paths));
  kill(holder, SIGKILL);
  waitpid(holder, nullptr, 0);
  close(ready[0]);
  close(ready[1]);
  std::filesystem::remove_all(folder);
}

TEST(Process, FailedStartReportsItsCause) {
  std::string folder = ::testing::TempDir() + "process_XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const InstancePaths paths{folder + "/n1.lock", folder + "/n1.log"};
  InstanceDefinition definition;
  definition.name = "n1";
  definition.command = {"/no/such/program"};
  const Result<Process> without_program = StartProcess(definition, paths);
  EXPECT_FALSE(without_program);
  EXPECT_EQ(Message(without_program.error()),
            "cannot be started: /no/such/program: No such file or directory");
  definition.command = {"/bin/true"};
  definition.working_directory = "/no/such/folder";
  const Result<Process> without_directory = StartProcess(definition, paths);
  EXPECT_FALSE(without_directory);
  EXPECT_EQ(Message(without_directory.error()),
            "cannot be started: enter its working directory: No such file or directory");
  EXPECT_FALSE(StartProcess(definition, {folder + "/no/lock", paths.log}));
  EXPECT_FALSE(StartProcess(definition, {paths.lock, folder + "/no/log"}));
  definition.working_directory.clear();
  definition.command = {"/bin/sh", "-c", "echo $ROUTER_NAME $SET; ulimit -n; ls /proc/self/fd | wc -l"};
  definition.environment = {{"SET", "yes"}};
  definition.max_descriptors = 100;
  const Result<Process> process = StartProcess(definition, paths);
  ASSERT_TRUE(process) << Message(process.error());
  EXPECT_EQ(AwaitExit(*process), "exited with 0");
  std::ifstream log(paths.log);
  const std::string text((std::istreambuf_iterator<char>(log)), {});
  EXPECT_EQ(text, "n1 yes\n100\n5\n") << "standard streams, the lock, and the directory that ls opens";
  EXPECT_EQ(ReadLastLine(paths.log, 100), "5");
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace badgerbridge::agent
