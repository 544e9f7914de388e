// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A process of a run: started, signalled, and surely gone at the end of its object, or of this process.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_CHILD_PROCESS_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/streambuf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace badgerbridge::multiprocess {

/// What is started, and with what.
struct ChildCommand {
  std::string name;                            ///< For messages.
  std::vector<std::string> arguments;          ///< The program's path, then its arguments.
  std::vector<std::string> extra_environment;  ///< "NAME=VALUE", beside this process's own variables.
  std::string log_path;                        ///< Its standard error is appended here.
};

/// A child process. For one thread, that of its io_context.
class ChildProcess {
 public:
  /// Called with each line of its standard output, with the line end.
  using OnLine = std::function<void(const std::string& line)>;

  /// Starts it. With `on_line`, lines go through its standard input and output; without, its standard output
  /// goes to the log too. Throws RunFailure if it can't be started.
  ChildProcess(boost::asio::io_context& io, ChildCommand command, OnLine on_line = nullptr);
  /// Ends it by SIGKILL if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Writes to its standard input; blocks while the pipe is full.
  void Write(const std::string& line);
  /// Sends a signal, if it still runs.
  void Signal(int number) const;
  /// Of one that SIGSTOP has stopped: whether it was doing something else than waiting for events. False also
  /// if the system can't tell.
  bool IsStoppedAtWork() const;
  /// ms for which its first thread has waited for a processor since its start; 0 also if the system can't
  /// tell.
  double ProcessorWaitMs() const;
  /// False once it has ended, however.
  bool IsRunning();
  /// How it ended, as of waitpid(2); 0 while it runs.
  int status() const { return status_; }
  /// For people: by what it ended, and the last line of its log.
  std::string DescribeEnd() const;
  /// Its process id.
  pid_t pid() const { return pid_; }

 private:
  void Start(std::vector<char*> arguments, std::vector<char*> environment, int input, int output);
  void ReadLine();

  ChildCommand command_;
  pid_t pid_ = -1;
  int status_ = 0;
  bool is_running_ = true;
  OnLine on_line_;
  boost::asio::posix::stream_descriptor input_;
  boost::asio::posix::stream_descriptor output_;
  boost::asio::streambuf buffer_{64 << 20};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_CHILD_PROCESS_H_
