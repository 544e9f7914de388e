// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/control_channel.h"

#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <stdexcept>

namespace badgerbridge::scale {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr int kChildDescriptor = 3;

}  // namespace

std::int64_t NowNs() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000000000LL + now.tv_nsec;
}

Child::Child(const std::string& role) : role_(role) {
  int ends[2];
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
    throw std::runtime_error("no socket pair for a child");
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(126);  // the rig ended before the line above
    const int own = dup(ends[1]);         // not the child's number already: dup2 to itself would keep CLOEXEC
    if (own < 0 || dup2(own, kChildDescriptor) < 0) _exit(126);
    for (int i = kChildDescriptor + 1; i < 1024; ++i) close(i);
    execl("/proc/self/exe", "bench_scale", "--role", role.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  close(ends[1]);
  socket_ = ends[0];
}

Child::~Child() {
  close(socket_);  // it ends by itself at this
  int status = 0;
  for (int i = 0; i < 100 && waitpid(pid_, &status, WNOHANG) == 0; ++i) {
    if (i == 50) kill(pid_, SIGKILL);
    usleep(20000);
  }
}

json::object Child::Call(const json::object& command, milliseconds timeout) {
  Send(command);
  return Receive(timeout);
}

void Child::Send(const json::object& command) {
  const std::string line = json::serialize(command) + "\n";
  for (std::size_t sent = 0; sent < line.size();) {
    const ssize_t n = send(socket_, line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) throw std::runtime_error(role_ + " takes no command any more");
    sent += static_cast<std::size_t>(n);
  }
}

json::object Child::Receive(milliseconds timeout) {
  const auto due = std::chrono::steady_clock::now() + timeout;
  std::size_t searched = 0, end = 0;
  while ((end = received_.find('\n', searched)) == std::string::npos) {
    searched = received_.size();
    const auto left = std::chrono::duration_cast<milliseconds>(due - std::chrono::steady_clock::now());
    pollfd waits{socket_, POLLIN, 0};
    if (left.count() <= 0 || poll(&waits, 1, static_cast<int>(left.count())) == 0)
      throw std::runtime_error(role_ + " does not answer in time");
    std::array<char, 65536> piece;
    const ssize_t n = read(socket_, piece.data(), piece.size());
    if (n <= 0) throw std::runtime_error(role_ + " has ended");
    received_.append(piece.data(), static_cast<std::size_t>(n));
  }
  json::object answer = json::parse(received_.substr(0, end)).as_object();
  received_.erase(0, end + 1);
  if (const json::value* error = answer.if_contains("error"))
    throw std::runtime_error(role_ + ": " + std::string(error->as_string()));
  return answer;
}

std::vector<json::object> CallAll(const std::vector<std::unique_ptr<Child>>& children,
                                  const json::object& command, milliseconds timeout) {
  for (const auto& child : children) child->Send(command);
  std::vector<json::object> answers;
  for (const auto& child : children) answers.push_back(child->Receive(timeout));
  return answers;
}

CommandServer::CommandServer(asio::io_context& io, Handler handler)
    : io_(io), handler_(std::move(handler)), socket_(io, asio::local::stream_protocol(), kChildDescriptor) {
  ReadNext();
}

void CommandServer::ReadNext() {
  asio::async_read_until(socket_, buffer_, '\n', [this](const boost::system::error_code& error, std::size_t) {
    if (error) return io_.stop();
    std::istream in(&buffer_);
    std::string line;
    std::getline(in, line);
    try {
      handler_(json::parse(line).as_object(), [this](const json::object& answer) { Answer(answer); });
    } catch (const std::exception& problem) {
      Answer({{"error", problem.what()}});
    }
    ReadNext();
  });
}

void CommandServer::Answer(const json::object& answer) {
  boost::system::error_code ignored;  // the rig is gone: the next read says so
  asio::write(socket_, asio::buffer(json::serialize(answer) + "\n"), ignored);
}

}  // namespace badgerbridge::scale
