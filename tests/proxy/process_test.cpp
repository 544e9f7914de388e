// SPDX-License-Identifier: Apache-2.0
//
// Tests badgerbridge as a process: invalid configurations, too few descriptors, signals.
#include <elf.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "proxy/proxy_harness.h"
#include "proxy/proxy_program.h"
#include "support/port_reservation.h"

namespace badgerbridge::proxy::testing {
namespace {

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
// The warning comes first and doesn't stop the start, which then fails on the invalid configuration.
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

TEST(NodeProcess, AnAddressThatIsNotLocalIsAOneLineError) {
  Program program(ConfigJson({}), "192.0.2.1:8080");
  EXPECT_EQ(program.Wait(), 1);
  EXPECT_EQ(program.Log().rfind("badgerbridge: ", 0), 0u);
}

struct HeldResources {
  std::size_t descriptors = 0;
  std::size_t threads = 0;
  bool operator==(const HeldResources&) const = default;
};

// Features that the operator's file doesn't enable must not hold descriptors or threads.
TEST(NodeProcess, AFeatureThatIsOffHoldsNeitherDescriptorNorThread) {
  asio::io_context io;
  Peer backend(io, [](Wire&) {});
  const std::string socket = ::testing::TempDir() + "off_" + std::to_string(getpid()) + ".sock";
  std::map<std::string, HeldResources> held;
  for (const auto& [name, operators] : std::map<std::string, std::string>{
           {"none", ""}, {"empty", "# nothing\n"}, {"control", "[control]\nsocket = \"" + socket + "\"\n"}}) {
    Program program(ConfigJson({EndpointJson("a", backend.address())}), OwnAddress(), 0, operators);
    const auto client = ConnectTo(io, OwnAddress());
    ASSERT_TRUE(client);
    client->Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(RunUntil(io, [&] { return client->in.find("200") != std::string::npos; })) << client->in;
    // The minimum of several samples, because the connection to discovery is opened and closed repeatedly.
    std::size_t descriptors = SIZE_MAX;
    for (int i = 0; i < 40; ++i) {
      descriptors = std::min(descriptors, program.CountProcEntries("fd"));
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    held[name] = {descriptors, program.CountProcEntries("task")};
  }
  EXPECT_EQ(held["empty"], held["none"]);
  EXPECT_EQ(held["none"].threads, 1u) << "one thread";
  EXPECT_EQ(held["control"].descriptors, held["none"].descriptors + 1) << "a listening socket";
  EXPECT_EQ(held["control"].threads, 1u);
}

// The symbols that the program imports from shared libraries, and its dynamic loader (elf(5)).
struct ImportedNames {
  std::set<std::string> names;
  std::string loader;
};

ImportedNames Imports(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  ImportedNames imported;
  const auto at = [&](std::size_t offset, auto* to) {
    if (offset + sizeof *to <= text.size()) std::memcpy(to, text.data() + offset, sizeof *to);
  };
  Elf64_Ehdr head{};
  at(0, &head);
  for (unsigned i = 0; i < head.e_phnum; ++i) {
    Elf64_Phdr part{};
    at(head.e_phoff + i * sizeof part, &part);
    if (part.p_type == PT_INTERP) imported.loader = text.substr(part.p_offset, part.p_filesz);
  }
  for (unsigned i = 0; i < head.e_shnum; ++i) {
    Elf64_Shdr symbols{};
    Elf64_Shdr names{};
    at(head.e_shoff + i * sizeof symbols, &symbols);
    if (symbols.sh_type != SHT_DYNSYM) continue;
    at(head.e_shoff + symbols.sh_link * sizeof names, &names);
    for (std::size_t offset = 0; offset < symbols.sh_size; offset += sizeof(Elf64_Sym)) {
      Elf64_Sym symbol{};
      at(symbols.sh_offset + offset, &symbol);
      if (symbol.st_shndx == SHN_UNDEF)
        imported.names.insert(text.c_str() + names.sh_offset + symbol.st_name);
    }
  }
  return imported;
}

// Operators run hundreds of proxies on one machine with a preloaded library in each. For that, `run` must be
// one dynamically linked process that starts no other process and does not use the calls listed below.
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
  EXPECT_EQ(names.count("epoll_wait"), 1u) << "Imports() must find the symbols";
  for (const char* name :
       {"fork",   "vfork", "_Fork",    "clone",    "clone3",     "posix_spawn",     "posix_spawnp",
        "system", "popen", "execv",    "execve",   "execvp",     "execl",           "execlp",
        "splice", "tee",   "vmsplice", "sendfile", "sendfile64", "copy_file_range", "io_uring_setup"})
    EXPECT_EQ(names.count(name), 0u) << name;
}

// A proxy without traffic must open no connection to a backend and exactly one to discovery.
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
  // Longer than any periodic timer of the proxy.
  asio::steady_timer observation(io, std::chrono::milliseconds(1200));
  bool over = false;
  observation.async_wait([&](ErrorCode) { over = true; });
  ASSERT_TRUE(RunUntil(io, [&] { return over; }));
  EXPECT_TRUE(backend.wires.empty());
  EXPECT_EQ(discovery.wires.size(), 1u);
  EXPECT_EQ(discovery.requests.size(), 1u);
  EXPECT_EQ(program.CountProcEntries("task"), 1u);
}

TEST(NodeProcess, TermAnswersAcceptedRequestsAndExitsWithZero) {
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

// A reload under load must keep requests in flight, client connections and the known backends.
TEST(NodeProcess, SighupSwitchesToTheDiscoveryInTheFileWithoutLosses) {
  asio::io_context io;
  Wire* waiting = nullptr;
  Peer backend(io, [&](Wire& wire) { waiting = &wire; });
  const auto watch = [](Wire& wire) { wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); };
  Peer first(io, watch);
  Peer second(io, watch);
  const std::string address = OwnAddress();
  const std::string config = ConfigJson({EndpointJson("a", backend.address())});
  const auto with = [&](const Peer& discovery) {
    std::string text = config;
    return text.replace(text.find("127.0.0.1:1\""), 12, discovery.address() + "\"");
  };
  setenv("ROUTER_DISCOVERY", first.address().c_str(),
         1);  // the value at process start, outdated after the reload
  Program program(with(first), address);
  unsetenv("ROUTER_DISCOVERY");
  ASSERT_TRUE(RunUntil(io, [&] { return first.requests.size() == 1; })) << program.Log();
  EXPECT_NE(first.requests[0].find("index=7 "), std::string::npos);
  const auto client = ConnectTo(io, address);
  client->Send(Get("c1"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr; }));

  program.RewriteConfig("{\"settings\":");
  program.Signal(SIGHUP);
  ASSERT_TRUE(RunUntil(io, [&] { return !program.Log().empty(); }));
  program.RewriteConfig(with(second));
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

// SIGTERM before the proxy listens ends it by the signal; from then on it exits with 0, and every accepted
// request is answered.
TEST(NodeProcess, TermAtAnyMomentOfTheStartLosesNoAcceptedRequest) {
  asio::io_context io;
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  const std::string address = OwnAddress();
  int answered = 0;
  for (int i = 0; i < 12; ++i) {
    Program program(ConfigJson({EndpointJson("a", backend.address())}), address);
    std::shared_ptr<Wire> client;
    if (i % 2 == 0) {
      client = ConnectTo(io, address);  // succeeds as soon as it listens
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
      program.Wait();  // either way of ending is correct
    }
  }
  EXPECT_EQ(answered, 6);
}

// Repeats SIGTERM with SIGHUP and SIGINT in between, while discovery is unreachable and no list has arrived.
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
  // The listener still accepts connections.
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

// A proxy with 64 descriptors, backends that delay their responses, and an address for discovery, which is
// down at first.
class DescriptorLimitTest : public ::testing::Test {
 protected:
  static constexpr int kDescriptors = 64;
  static constexpr std::size_t kBackends = 7;

  DescriptorLimitTest() {
    for (std::size_t i = 0; i < kBackends; ++i) {
      backends_.push_back(std::make_unique<Peer>(io_, [this](Wire& wire) { waiting_.push_back(&wire); }));
      endpoints_.push_back(EndpointJson("s-" + std::to_string(i), backends_.back()->address()));
    }
    std::string config = ConfigJson({endpoints_[0]}, kDescriptors);
    config.replace(config.find("127.0.0.1:1\""), 12,
                   "127.0.0.1:" + std::to_string(discovery_port_.address().port()) + "\"");
    program_ = std::make_unique<Program>(config, address_, kDescriptors);
  }

  // Connects more clients than the descriptors reserved for clients.
  void ConnectIdleClients() {
    constexpr int kIdleClients = 40;
    for (int i = 0; i < kIdleClients; ++i) {
      idle_clients_.push_back(ConnectTo(io_, address_));
      ASSERT_TRUE(idle_clients_.back());
      idle_clients_.back()->Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    ASSERT_TRUE(RunUntil(io_, [&] { return idle_clients_[0]->in.find("200") != std::string::npos; }));
  }

  void StartDiscovery() {
    const auto send_list = [this](Wire& wire) {
      const std::string list = ListJson(50, true, endpoints_) + "\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", list.size());
      wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + list) + "\r\n");
    };
    discovery_ = std::make_unique<Peer>(io_, send_list, discovery_port_.address());
    ASSERT_TRUE(RunUntil(io_, [&] { return !discovery_->requests.empty(); })) << program_->Log();
  }

  // Sends a request on a new connection and waits until a backend has received it.
  void SendRequest(const std::string& id) {
    clients_.push_back(ConnectTo(io_, address_));
    clients_.back()->Send(Get(id));
    ASSERT_TRUE(RunUntil(io_, [&] { return waiting_.size() == clients_.size(); })) << id << program_->Log();
  }

  void AnswerAll() {
    for (Wire* wire : waiting_) wire->Send(Reply(200, "ok"));
    for (const auto& client : clients_) {
      ASSERT_TRUE(RunUntil(io_, [&] { return client->in.ends_with("ok"); })) << program_->Log();
      client->Close();
    }
  }

  const std::string address_ = OwnAddress();
  asio::io_context io_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::vector<std::string> endpoints_;
  const badgerbridge::testing::PortReservation discovery_port_{io_};
  std::unique_ptr<Peer> discovery_;
  std::unique_ptr<Program> program_;
  std::vector<std::shared_ptr<Wire>> idle_clients_;
  std::vector<std::shared_ptr<Wire>> clients_;
  std::vector<Wire*> waiting_;  // requests at the backends
};

// Idle clients use all descriptors available to clients while discovery is down, and more wait in the listen
// queue. Descriptors for discovery and backends must still be available, also during the shutdown.
TEST_F(DescriptorLimitTest, DiscoveryAndBackendsHaveTheirShare) {
  ASSERT_NO_FATAL_FAILURE(ConnectIdleClients());
  ASSERT_NO_FATAL_FAILURE(StartDiscovery());
  for (int i = 0; i < 6; ++i) ASSERT_NO_FATAL_FAILURE(SendRequest("c" + std::to_string(i)));
  program_->Signal(SIGTERM);
  ASSERT_NO_FATAL_FAILURE(SendRequest("late"));
  ASSERT_NO_FATAL_FAILURE(AnswerAll());
  for (const auto& client : idle_clients_) client->Close();
  EXPECT_EQ(program_->Wait(), 0) << program_->Log();
}

// Without descriptors accept fails repeatedly. The proxy must neither exit nor stop accepting for ever.
TEST(NodeProcess, SurvivesRunningOutOfDescriptors) {
  asio::io_context io;
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  const std::string address = OwnAddress();
  Program program(ConfigJson({EndpointJson("a", backend.address())}), address, 24);
  std::vector<std::shared_ptr<Wire>> partial_clients;
  for (int i = 0; i < 40; ++i) {
    partial_clients.push_back(ConnectTo(io, address));
    ASSERT_TRUE(partial_clients.back());
    partial_clients.back()->Send(
        "GET /ready HTTP/1.1\r\n");  // a partial request, so that the connection isn't closed as idle
  }
  RunReady(io);
  for (const auto& wire : partial_clients) wire->Close();
  const auto client = ConnectTo(io, address);
  client->Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(io, [&] { return client->in.rfind("HTTP/1.1 200 ", 0) == 0; })) << program.Log();
  program.Signal(SIGTERM);
  client->Close();
  EXPECT_EQ(program.Wait(), 0) << program.Log();
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
