// SPDX-License-Identifier: Apache-2.0
//
// Runs badgerbridge as a process in tests.
#ifndef BADGERBRIDGE_TESTS_PROXY_PROXY_PROGRAM_H_
#define BADGERBRIDGE_TESTS_PROXY_PROXY_PROGRAM_H_

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {

// An address that no other test process uses.
inline std::string OwnAddress() {
  const int pid = getpid();
  return "127.77." + std::to_string(pid >> 8 & 127) + "." + std::to_string(pid % 250 + 1) + ":8080";
}

// A badgerbridge process with its own configuration files; killed at the end of the test.
class Program {
 public:
  // `descriptors`: its limit, with the test's descriptors inherited; 0: the default limit, none inherited.
  // `operators`: the text of the operator's file; empty: no file.
  Program(const std::string& config, const std::string& listen, rlim_t descriptors = 0,
          const std::string& operators = "")
      : folder_(::testing::TempDir() + "badgerbridge_XXXXXX") {
    EXPECT_NE(mkdtemp(folder_.data()), nullptr);
    std::ofstream(folder_ + "/config.json") << config;
    std::ofstream(folder_ + "/op.toml") << operators;
    pid_ = fork();
    if (pid_ != 0) return;
    setenv("ROUTER_CONFIG", (folder_ + "/config.json").c_str(), 1);
    setenv("ROUTER_LISTEN", listen.c_str(), 1);
    if (!operators.empty()) setenv("BADGERBRIDGE_OPERATOR", (folder_ + "/op.toml").c_str(), 1);
    if (descriptors == 0) {
      for (int number = kFirstInherited; number < kEndOfInherited; ++number) close(number);
    }
    if (descriptors > 0) {
      const rlimit limit{descriptors, descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    if (!std::freopen((folder_ + "/err").c_str(), "w", stderr)) _exit(126);
    execl(NODE_PATH, NODE_PATH, static_cast<char*>(nullptr));
    _exit(127);
  }
  ~Program() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    for (const char* name : {"/config.json", "/err", "/op.toml"}) unlink((folder_ + name).c_str());
    rmdir(folder_.c_str());
  }
  void Signal(int signal) const { kill(pid_, signal); }
  void RewriteConfig(const std::string& config) const { std::ofstream(folder_ + "/config.json") << config; }
  int Wait() {  // the exit code; -1: it ended by a signal
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::size_t CountProcEntries(const char* what) const {  // "fd" or "task", proc(5)
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/" + what);
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  std::string Log() const {
    std::ifstream in(folder_ + "/err");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }

 private:
  static constexpr int kFirstInherited = 3;  // after the standard streams
  static constexpr int kEndOfInherited = 1024;

  std::string folder_;
  pid_t pid_ = -1;
};

// Connects as soon as the program listens; null if it does not in time.
inline std::shared_ptr<Wire> ConnectTo(asio::io_context& io, const std::string& address) {
  std::shared_ptr<Wire> wire;
  RunUntil(io, [&] {
    tcp::socket socket(io);
    ErrorCode error;
    socket.connect(*ParseAddress(address), error);
    if (error) {
      std::this_thread::yield();
      return false;
    }
    wire = std::make_shared<Wire>(std::move(socket));
    wire->Start();
    return true;
  });
  return wire;
}

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_PROXY_PROGRAM_H_
