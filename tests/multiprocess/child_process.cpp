// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <utility>

#include "agent/file_descriptor.h"
#include "multiprocess/error.h"
#include "multiprocess/line_io.h"

extern char** environ;

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
using agent::FileDescriptor;

namespace {

// Exit codes of a child that could not become the program.
constexpr int kParentGone = 125;
constexpr int kNoStreams = 126;
constexpr int kNoProgram = 127;
constexpr int kMaxInheritedDescriptor = 1024;

struct Pipe {
  FileDescriptor read_end;
  FileDescriptor write_end;
};

Pipe OpenPipe(const std::string& name) {
  int ends[2] = {-1, -1};
  if (pipe2(ends, O_CLOEXEC) != 0) throw RunFailure({RunErrorKind::kSystemCall, "pipe2", name, errno});
  return {FileDescriptor(ends[0]), FileDescriptor(ends[1])};
}

// As execve(2) takes them: pointers into `texts`, and a null.
std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string> WithOwnEnvironment(const std::vector<std::string>& extra) {
  std::vector<std::string> variables;
  for (char** variable = environ; *variable; ++variable) variables.emplace_back(*variable);
  variables.insert(variables.end(), extra.begin(), extra.end());
  return variables;
}

}  // namespace

ChildProcess::ChildProcess(asio::io_context& io, ChildCommand command, OnLine on_line)
    : command_(std::move(command)), on_line_(std::move(on_line)), input_(io), output_(io) {
  Pipe to_child;
  Pipe from_child;
  if (on_line_) {
    to_child = OpenPipe(command_.name);
    from_child = OpenPipe(command_.name);
  }
  std::vector<std::string> variables = WithOwnEnvironment(command_.extra_environment);
  Start(Pointers(command_.arguments), Pointers(variables), to_child.read_end.get(),
        from_child.write_end.get());
  if (!on_line_) return;
  input_.assign(to_child.write_end.Release());
  output_.assign(from_child.read_end.Release());
  ReadLine();
}

// Without a pipe, `input` and `output` are negative.
void ChildProcess::Start(std::vector<char*> arguments, std::vector<char*> environment, int input,
                         int output) {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw RunFailure({RunErrorKind::kSystemCall, "fork", command_.name, errno});
  if (pid_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // prctl(2): no child outlives the run, however that ends
  if (getppid() != parent) _exit(kParentGone);
  const int log = open(command_.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (input < 0) input = open("/dev/null", O_RDONLY);
  if (output < 0) output = log;
  if (log < 0 || dup2(input, STDIN_FILENO) < 0 || dup2(output, STDOUT_FILENO) < 0 ||
      dup2(log, STDERR_FILENO) < 0)
    _exit(kNoStreams);
  // The sockets and pipes of the run are not the child's.
  for (int number = STDERR_FILENO + 1; number < kMaxInheritedDescriptor; ++number) close(number);
  execve(arguments[0], arguments.data(), environment.data());
  _exit(kNoProgram);
}

ChildProcess::~ChildProcess() {
  *alive_ = false;
  if (!IsRunning()) return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGKILL);
  waitpid(pid_, &status_, 0);
}

void ChildProcess::ReadLine() {
  asio::async_read_until(output_, buffer_, '\n',
                         [this, alive = alive_](boost::system::error_code error, std::size_t size) {
                           if (!*alive || error) return;
                           const std::string line = TakeLine(buffer_, size);
                           on_line_(line);
                           if (*alive) ReadLine();
                         });
}

void ChildProcess::Write(const std::string& line) { WriteAll(input_.native_handle(), line); }

void ChildProcess::Signal(int number) const {
  if (is_running_) kill(pid_, number);
}

// What the stop has interrupted stands in /proc/PID/syscall (proc(5)): a call's number, or -1.
bool ChildProcess::IsStoppedAtWork() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/syscall");
  long number = SYS_epoll_pwait;
#ifdef SYS_epoll_wait
  if (!(file >> number) || number == SYS_epoll_wait) return false;
#else
  if (!(file >> number)) return false;
#endif
  return number != SYS_epoll_pwait;
}

// The second figure of /proc/PID/schedstat, in ns. A wait counts once it is over.
double ChildProcess::ProcessorWaitMs() const {
  constexpr double kNanosecondsPerMs = 1e6;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
  double run_ns = 0;
  double waited_ns = 0;
  return file >> run_ns >> waited_ns ? waited_ns / kNanosecondsPerMs : 0;
}

bool ChildProcess::IsRunning() {
  if (is_running_ && waitpid(pid_, &status_, WNOHANG) == pid_) is_running_ = false;
  return is_running_;
}

std::string ChildProcess::DescribeEnd() const {
  const std::string end = WIFSIGNALED(status_) ? "by signal " + std::to_string(WTERMSIG(status_))
                                               : "with " + std::to_string(WEXITSTATUS(status_));
  std::ifstream log(command_.log_path);
  std::string last_line;
  for (std::string line; std::getline(log, line);) last_line = line;
  return end + (last_line.empty() ? ", and logged nothing" : ": " + last_line);
}

}  // namespace badgerbridge::multiprocess
