// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/watch_cache_processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <filesystem>
#include <stdexcept>

#include "http_api/address.h"

namespace badgerbridge::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kListenTries = 200;
constexpr useconds_t kTryEveryUs = 25000;

std::string Program() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/badgerbridge-relay";
}

// Ports that were free a moment ago, on an address that hardly any other process uses.
std::vector<std::string> FreeAddresses(std::size_t count, std::size_t tier) {
  const int pid = getpid();
  const asio::ip::address_v4 host({127, static_cast<unsigned char>(80 + tier),
                                   static_cast<unsigned char>(pid >> 8 & 127),
                                   static_cast<unsigned char>(pid % 250 + 1)});
  asio::io_context io(1);
  std::vector<std::string> addresses;
  std::vector<tcp::acceptor> held;
  for (std::size_t i = 0; i < count; ++i) {
    held.emplace_back(io, tcp::endpoint(host, 0));
    addresses.push_back(http_api::ToText(held.back().local_endpoint()));
  }
  return addresses;
}

pid_t StartRelay(const std::string& listen, const std::string& upstream, const std::string& prefix) {
  const std::string program = Program();
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("cannot fork");
  if (pid > 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(126);
  const int nowhere = open("/dev/null", O_WRONLY);
  if (nowhere < 0 || dup2(nowhere, 1) < 0) _exit(126);
  for (int i = 3; i < 1024; ++i) close(i);
  execl(program.c_str(), program.c_str(), "--listen", listen.c_str(), "--upstream", upstream.c_str(),
        "--prefix", prefix.c_str(), static_cast<char*>(nullptr));
  _exit(127);
}

bool Listens(const std::string& address) {
  asio::io_context io(1);
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(*http_api::ParseAddress(address), error);
  return !error;
}

}  // namespace

bool RelayProcesses::Available() { return access(Program().c_str(), X_OK) == 0; }

RelayProcesses::RelayProcesses(const std::vector<std::string>& upstream, const std::string& prefix,
                               std::size_t first_tier, std::size_t second_tier) {
  const std::vector<std::string> first = StartTier(upstream, prefix, first_tier);
  second_ = StartTier(first, prefix, second_tier);
}

RelayProcesses::~RelayProcesses() {
  for (const pid_t pid : pids_) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
}

std::vector<std::string> RelayProcesses::StartTier(const std::vector<std::string>& upstream,
                                                   const std::string& prefix, std::size_t count) {
  std::string all;
  for (const std::string& address : upstream) all += (all.empty() ? "" : ",") + address;
  const std::vector<std::string> addresses = FreeAddresses(count, pids_.empty() ? 1 : 2);
  for (const std::string& address : addresses) pids_.push_back(StartRelay(address, all, prefix));
  for (const std::string& address : addresses) {
    int tries = 0;
    while (!Listens(address)) {
      if (++tries > kListenTries) throw std::runtime_error("a relay does not listen at " + address);
      usleep(kTryEveryUs);
    }
  }
  return addresses;
}

void RelayProcesses::Stop(std::size_t relay, bool stopped) {
  const std::size_t first_tier = pids_.size() - second_.size();
  kill(pids_[first_tier + relay], stopped ? SIGSTOP : SIGCONT);
}

}  // namespace badgerbridge::scale
