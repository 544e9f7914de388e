// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <boost/json.hpp>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <stdexcept>

extern char** environ;

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
namespace json = boost::json;

Child::Child(asio::io_context& io, std::string name, std::vector<std::string> words,
             std::vector<std::string> environment, const std::string& log, OnLine on_line)
    : name_(std::move(name)), on_line_(std::move(on_line)), in_(io), out_(io) {
  int to[2] = {-1, -1}, from[2] = {-1, -1};
  if (on_line_ && (pipe2(to, O_CLOEXEC) != 0 || pipe2(from, O_CLOEXEC) != 0))
    throw std::runtime_error("no pipe for " + name_);
  std::vector<char*> arguments, variables;
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  for (char** at = environ; *at; ++at) variables.push_back(*at);
  for (std::string& variable : environment) variables.push_back(variable.data());
  variables.push_back(nullptr);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot start " + name_);
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // prctl(2): none outlives the trial, however that ends
    if (getppid() != parent) _exit(125);
    const int errors = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    const int input = on_line_ ? to[0] : open("/dev/null", O_RDONLY);
    if (errors < 0 || dup2(input, 0) < 0 || dup2(on_line_ ? from[1] : errors, 1) < 0 || dup2(errors, 2) < 0)
      _exit(126);
    for (int number = 3; number < 1024; ++number) close(number);  // the trial's are not its own
    execve(arguments[0], arguments.data(), variables.data());
    _exit(127);
  }
  if (!on_line_) return;
  close(to[0]);
  close(from[1]);
  in_.assign(to[1]);
  out_.assign(from[0]);
  Read();
}

Child::~Child() {
  *alive_ = false;
  if (!Running()) return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGKILL);
  waitpid(pid_, &status_, 0);
}

void Child::Read() {
  asio::async_read_until(out_, buffer_, '\n',
                         [this, alive = alive_](boost::system::error_code error, std::size_t n) {
                           if (!*alive || error) return;
                           const std::string line(static_cast<const char*>(buffer_.data().data()), n);
                           buffer_.consume(n);
                           boost::system::error_code bad;
                           const json::value value = json::parse(line, bad);
                           if (!bad && value.is_object()) on_line_(value.get_object());
                           if (*alive) Read();
                         });
}

// Its parts read all the time: what is told is small, and a write is soon over.
void Child::Tell(const json::object& order) {
  const std::string line = json::serialize(order) + "\n";
  for (std::size_t at = 0; at < line.size();) {
    const ssize_t n = write(in_.native_handle(), line.data() + at, line.size() - at);
    if (n < 0 && errno != EINTR) return;
    if (n > 0) at += static_cast<std::size_t>(n);
  }
}

void Child::Signal(int number) const {
  if (running_) kill(pid_, number);
}

// What the stop has interrupted stands in /proc/PID/syscall (proc(5)): a call's number, or -1.
bool Child::StoppedAtWork() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/syscall");
  long number = SYS_epoll_wait;
  return (file >> number) && number != SYS_epoll_wait && number != SYS_epoll_pwait;
}

// The second figure of /proc/PID/schedstat, in ns. A wait counts once it is over.
double Child::WaitedForProcessor() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
  double ran = 0, waited = 0;
  return file >> ran >> waited ? waited / 1e6 : 0;
}

bool Child::Running() {
  if (running_ && waitpid(pid_, &status_, WNOHANG) == pid_) running_ = false;
  return running_;
}

}  // namespace badgerbridge::multiprocess
