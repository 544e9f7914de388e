// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge as a process: bad configurations, too few descriptors, signals.
#include <elf.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <thread>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

// An address that no other test process uses.
std::string OwnAddress() {
  const int pid = getpid();
  return "127.77." + std::to_string(pid >> 8 & 127) + "." + std::to_string(pid % 250 + 1) + ":8080";
}

class Program {
 public:
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
      for (int number = 3; number < 1024; ++number) close(number);  // the test's are not its own
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
  void Rewrite(const std::string& config) const { std::ofstream(folder_ + "/config.json") << config; }
  int Wait() {  // the exit code; -1 for another end
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::size_t Entries(const char* what) const {  // "fd" or "task", proc(5)
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
  std::string folder_;
  pid_t pid_ = -1;
};

std::shared_ptr<Wire> ConnectTo(asio::io_context& io, const std::string& address) {
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

TEST(NodeProcess, ABadConfigurationIsOnePlainLineAndANonZeroExit) {
  const std::string bad_list = [] {
    std::string text = ConfigJson({"7"});
    return text;
  }();
  for (const std::string& config : {std::string("{"), bad_list}) {
    Program program(config, OwnAddress());
    EXPECT_EQ(program.Wait(), 1);
    const std::string log = program.Log();
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    EXPECT_EQ(log.rfind("badgerbridge: ", 0), 0u) << log;
  }
}

#ifdef BADGERBRIDGE_HAS_ETCD
// It says so before anything else, and goes on: here to a configuration that is none.
TEST(NodeProcess, AFormerKeyInTheOperatorsFileIsOneLineOfWarning) {
  Program program("{", OwnAddress(), 0,
                  "[regions]\nendpoints = [\"127.0.0.1:1\"]\nzones = [\"a\"]\nbeat = \"300ms\"\n");
  EXPECT_EQ(program.Wait(), 1);
  const std::string log = program.Log();
  EXPECT_NE(
      log.find("op.toml:4:8: warning: regions.beat is now called regions.heartbeat; the former name still "
               "works\nbadgerbridge: "),
      std::string::npos)
      << log;
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 2) << log;
}
#endif

TEST(NodeProcess, AnAddressThatIsNotItsOwnIsAPlainLine) {
  Program program(ConfigJson({}), "192.0.2.1:8080");
  EXPECT_EQ(program.Wait(), 1);
  EXPECT_EQ(program.Log().rfind("badgerbridge: ", 0), 0u);
}

// What the operator's file does not name holds no descriptor and no thread.
TEST(NodeProcess, WhatIsOffCostsNeitherDescriptorNorThread) {
  asio::io_context io;
  Peer backend(io, [](Wire&) {});
  const std::string socket = ::testing::TempDir() + "off_" + std::to_string(getpid()) + ".sock";
  std::map<std::string, std::pair<std::size_t, std::size_t>> held;
  for (const auto& [name, operators] : std::map<std::string, std::string>{
           {"none", ""}, {"empty", "# nothing\n"}, {"control", "[control]\nsocket = \"" + socket + "\"\n"}}) {
    Program program(ConfigJson({EndpointJson("a", backend.address())}), OwnAddress(), 0, operators);
    const auto client = ConnectTo(io, OwnAddress());
    ASSERT_TRUE(client);
    client->Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(RunUntil(io, [&] { return client->in.find("200") != std::string::npos; })) << client->in;
    // The least of several looks: its try to reach discovery comes and goes.
    std::size_t descriptors = SIZE_MAX;
    for (int i = 0; i < 40; ++i) {
      descriptors = std::min(descriptors, program.Entries("fd"));
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    held[name] = {descriptors, program.Entries("task")};
  }
  EXPECT_EQ(held["empty"], held["none"]);
  EXPECT_EQ(held["none"].second, 1u) << "one thread";
  EXPECT_EQ(held["control"].first, held["none"].first + 1) << "a listening socket";
  EXPECT_EQ(held["control"].second, 1u);
}

// The names that the program takes from shared libraries, and the loader that it asks for (elf(5)).
std::pair<std::set<std::string>, std::string> Imports(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  std::pair<std::set<std::string>, std::string> out;
  const auto at = [&](std::size_t offset, auto* to) {
    if (offset + sizeof *to <= text.size()) std::memcpy(to, text.data() + offset, sizeof *to);
  };
  Elf64_Ehdr head{};
  at(0, &head);
  for (unsigned i = 0; i < head.e_phnum; ++i) {
    Elf64_Phdr part{};
    at(head.e_phoff + i * sizeof part, &part);
    if (part.p_type == PT_INTERP) out.second = text.substr(part.p_offset, part.p_filesz);
  }
  for (unsigned i = 0; i < head.e_shnum; ++i) {
    Elf64_Shdr symbols{}, names{};
    at(head.e_shoff + i * sizeof symbols, &symbols);
    if (symbols.sh_type != SHT_DYNSYM) continue;
    at(head.e_shoff + symbols.sh_link * sizeof names, &names);
    for (std::size_t offset = 0; offset < symbols.sh_size; offset += sizeof(Elf64_Sym)) {
      Elf64_Sym symbol{};
      at(symbols.sh_offset + offset, &symbol);
      if (symbol.st_shndx == SHN_UNDEF) out.first.insert(text.c_str() + names.sh_offset + symbol.st_name);
    }
  }
  return out;
}

// The operators play hundreds of proxies on one machine, by a library in each that is loaded before the C
// library: `run` must be one process, linked dynamically, and may start no other nor use these calls.
TEST(NodeProcess, RunIsOneProcessLinkedDynamicallyThatStartsNoOther) {
  std::ifstream deploy(SOURCE_DIR "/deploy/balancer.toml");
  std::string run;
  for (std::string line; std::getline(deploy, line);) {
    if (line.rfind("run = ", 0) == 0) run = line;
  }
  EXPECT_EQ(run.rfind("run = \"exec ", 0), 0u) << run;
  EXPECT_EQ(run.find_first_of("|&;()<>`$"), std::string::npos) << run;
  const auto [names, loader] = Imports(NODE_PATH);
  EXPECT_NE(loader.find("ld-linux"), std::string::npos) << loader;
  EXPECT_EQ(names.count("epoll_wait"), 1u) << "the test must see what is imported";
  for (const char* name :
       {"fork",   "vfork", "_Fork",    "clone",    "clone3",     "posix_spawn",     "posix_spawnp",
        "system", "popen", "execv",    "execve",   "execvp",     "execl",           "execlp",
        "splice", "tee",   "vmsplice", "sendfile", "sendfile64", "copy_file_range", "io_uring_setup"})
    EXPECT_EQ(names.count(name), 0u) << name;
}

// What a proxy without traffic costs the fleet: no connection to any backend, one to discovery.
TEST(NodeProcess, WithoutTrafficItTouchesNoBackendAndKeepsOneWatch) {
  asio::io_context io;
  Peer backend(io, [](Wire&) {});
  Peer discovery(
      io, [&](Wire& wire) { wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"); });
  std::string config =
      ConfigJson({EndpointJson("a", backend.address()), EndpointJson("b", backend.address())});
  config.replace(config.find("127.0.0.1:1\""), 12, discovery.address() + "\"");
  Program program(config, OwnAddress());
  const auto client = ConnectTo(io, OwnAddress());
  ASSERT_TRUE(client);
  client->Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(RunUntil(
      io, [&] { return client->in.find("200") != std::string::npos && !discovery.requests.empty(); }));
  // Longer than its housekeeping and any pause between two probes would be.
  asio::steady_timer quiet(io, std::chrono::milliseconds(1200));
  bool over = false;
  quiet.async_wait([&](ErrorCode) { over = true; });
  ASSERT_TRUE(RunUntil(io, [&] { return over; }));
  EXPECT_TRUE(backend.wires.empty());
  EXPECT_EQ(discovery.wires.size(), 1u);
  EXPECT_EQ(discovery.requests.size(), 1u);
  EXPECT_EQ(program.Entries("task"), 1u);
}

TEST(NodeProcess, TermAnswersWhatWasTakenAndExitsWithZero) {
  asio::io_context io;
  Wire* waiting = nullptr;
  Peer backend(io, [&](Wire& wire) { waiting = &wire; });
  const std::string address = OwnAddress();
  Program program(ConfigJson({EndpointJson("a", backend.address())}), address);
  const auto client = ConnectTo(io, address);
  ASSERT_TRUE(client);
  client->Send(Get("c1"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr; }));
  program.Signal(SIGTERM);
  waiting->Send(Reply(200, "ok"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->in.ends_with("ok"); }));
  client->Close();
  EXPECT_EQ(program.Wait(), 0);
}

// A new configuration comes under load: the request that is out, the client's connection and what is known
// stay.
TEST(NodeProcess, HangupMovesToTheDiscoveryOfTheFileAndLosesNothing) {
  asio::io_context io;
  Wire* waiting = nullptr;
  Peer backend(io, [&](Wire& wire) { waiting = &wire; });
  const auto watch = [](Wire& wire) { wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); };
  Peer first(io, watch), second(io, watch);
  const std::string address = OwnAddress();
  const std::string config = ConfigJson({EndpointJson("a", backend.address())});
  const auto with = [&](const Peer& discovery) {
    std::string text = config;
    return text.replace(text.find("127.0.0.1:1\""), 12, discovery.address() + "\"");
  };
  setenv("ROUTER_DISCOVERY", first.address().c_str(), 1);  // as at the start, and old from then on
  Program program(with(first), address);
  unsetenv("ROUTER_DISCOVERY");
  ASSERT_TRUE(RunUntil(io, [&] { return first.requests.size() == 1; })) << program.Log();
  EXPECT_NE(first.requests[0].find("index=7 "), std::string::npos);
  const auto client = ConnectTo(io, address);
  client->Send(Get("c1"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr; }));

  program.Rewrite("{\"settings\":");
  program.Signal(SIGHUP);
  ASSERT_TRUE(RunUntil(io, [&] { return !program.Log().empty(); }));
  program.Rewrite(with(second));
  for (int i = 0; i < 3; ++i) program.Signal(SIGHUP);
  ASSERT_TRUE(RunUntil(io, [&] { return first.wires[0]->closed && !second.requests.empty(); }));
  EXPECT_NE(second.requests[0].find("index=0 "), std::string::npos) << "the whole list";
  waiting->Send(Reply(200, "ok"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->in.ends_with("ok"); }));
  const std::string log = program.Log();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
  EXPECT_EQ(log.rfind("badgerbridge: the old configuration stays: ", 0), 0u) << log;

  program.Signal(SIGTERM);
  program.Signal(SIGHUP);
  client->Close();
  EXPECT_EQ(program.Wait(), 0) << program.Log();
}

// Whenever it comes: it ends by the signal before it listens, and with 0 from then on; a client whose request
// it had taken has its answer.
TEST(NodeProcess, TermAtAnyMomentOfItsStart) {
  asio::io_context io;
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  const std::string address = OwnAddress();
  int answered = 0;
  for (int i = 0; i < 12; ++i) {
    Program program(ConfigJson({EndpointJson("a", backend.address())}), address);
    std::shared_ptr<Wire> client;
    if (i % 2 == 0) {
      client = ConnectTo(io, address);  // the first moment at which it takes anything
      ASSERT_TRUE(client);
      client->Send(Get("c" + std::to_string(i)));
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(i / 2));
    }
    program.Signal(SIGTERM);
    if (client) {
      ASSERT_TRUE(RunUntil(io, [&] { return client->closed || client->in.ends_with("ok"); }))
          << program.Log();
      EXPECT_TRUE(client->in.ends_with("ok")) << i;
      answered += client->in.ends_with("ok");
      client->Close();
      EXPECT_EQ(program.Wait(), 0) << program.Log();
    } else {
      program.Wait();  // it does end
    }
  }
  EXPECT_EQ(answered, 6);
}

// Each signal twice, and the other one in between; before the first list, with discovery out of reach.
TEST(NodeProcess, SignalsDuringTheStopChangeNothing) {
  asio::io_context io;
  Wire* waiting = nullptr;
  Peer backend(io, [&](Wire& wire) { waiting = &wire; });
  const std::string address = OwnAddress();
  Program program(ConfigJson({EndpointJson("a", backend.address())}), address);
  const auto client = ConnectTo(io, address);
  ASSERT_TRUE(client);
  client->Send(Get("c1"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr; }));
  for (const int signal : {SIGTERM, SIGHUP, SIGTERM, SIGINT, SIGHUP}) program.Signal(signal);
  // In the half second of the door:
  const auto late = ConnectTo(io, address);
  ASSERT_TRUE(late);
  waiting->Send(Reply(200, "ok"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->in.ends_with("ok"); }));
  waiting = nullptr;
  late->Send(Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr || late->closed; }));
  ASSERT_NE(waiting, nullptr);
  program.Signal(SIGTERM);
  waiting->Send(Reply(200, "ok"));
  ASSERT_TRUE(RunUntil(io, [&] { return late->in.ends_with("ok"); }));
  client->Close();
  late->Close();
  EXPECT_EQ(program.Wait(), 0) << program.Log();
}

// Idle clients fill their share of the descriptors while discovery is down, and more of them wait in the
// queue. When it is back, there is one for it, and those to backends have theirs; so it is in the stop.
TEST(NodeProcess, AtTheLimitOfDescriptorsDiscoveryAndBackendsHaveTheirs) {
  asio::io_context io;
  std::vector<std::unique_ptr<Peer>> backends;
  std::vector<std::string> endpoints;
  std::set<std::string> asked;
  std::vector<Wire*> waiting;
  for (int i = 0; i < 7; ++i) {
    backends.push_back(std::make_unique<Peer>(io, [&](Wire& wire) { waiting.push_back(&wire); }));
    endpoints.push_back(EndpointJson("s-" + std::to_string(i), backends.back()->address()));
  }
  std::unique_ptr<Peer> discovery;
  tcp::endpoint place;
  {
    tcp::acceptor free(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    place = free.local_endpoint();
  }
  const std::string address = OwnAddress();
  std::string config = ConfigJson({endpoints[0]}, 64);
  config.replace(config.find("127.0.0.1:1\""), 12, "127.0.0.1:" + std::to_string(place.port()) + "\"");
  Program program(config, address, 64);
  std::vector<std::shared_ptr<Wire>> crowd;
  for (int i = 0; i < 40; ++i) {
    crowd.push_back(ConnectTo(io, address));
    ASSERT_TRUE(crowd.back());
    crowd.back()->Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  ASSERT_TRUE(RunUntil(io, [&] { return crowd[0]->in.find("200") != std::string::npos; }));
  discovery = std::make_unique<Peer>(
      io,
      [&](Wire& wire) {
        const std::string list = ListJson(50, true, endpoints) + "\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", list.size());
        wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + list) + "\r\n");
      },
      place);
  ASSERT_TRUE(RunUntil(io, [&] { return !discovery->requests.empty(); })) << program.Log();
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(ConnectTo(io, address));
    clients.back()->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == clients.size(); })) << i << program.Log();
  }
  program.Signal(SIGTERM);
  const auto late = ConnectTo(io, address);
  late->Send(Get("late"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 7; })) << program.Log();
  for (Wire* wire : waiting) wire->Send(Reply(200, "ok"));
  clients.push_back(late);
  for (const auto& client : clients) {
    ASSERT_TRUE(RunUntil(io, [&] { return client->in.ends_with("ok"); })) << program.Log();
    client->Close();
  }
  for (const auto& client : crowd) client->Close();
  EXPECT_EQ(program.Wait(), 0) << program.Log();
}

// Out of descriptors, accept fails over and over: the node must neither end nor stay deaf.
TEST(NodeProcess, SurvivesRunningOutOfDescriptors) {
  asio::io_context io;
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  const std::string address = OwnAddress();
  Program program(ConfigJson({EndpointJson("a", backend.address())}), address, 24);
  std::vector<std::shared_ptr<Wire>> crowd;
  for (int i = 0; i < 40; ++i) {
    crowd.push_back(ConnectTo(io, address));
    ASSERT_TRUE(crowd.back());
    crowd.back()->Send("GET /ready HTTP/1.1\r\n");  // begun: it can't be closed as idle
  }
  RunReady(io);
  for (const auto& wire : crowd) wire->Close();
  const auto client = ConnectTo(io, address);
  client->Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(io, [&] { return client->in.rfind("HTTP/1.1 200 ", 0) == 0; })) << program.Log();
  program.Signal(SIGTERM);
  client->Close();
  EXPECT_EQ(program.Wait(), 0) << program.Log();
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
