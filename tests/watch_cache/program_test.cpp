// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The badgerbridge-relay program: arguments, configuration file, signals and status socket.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fstream>

#include "etcd/key_range.h"
#include "http_api/address.h"
#include "http_api/server.h"
#include "standins/certificates.h"
#include "support/port_reservation.h"
#include "watch_cache/service_harness.h"

namespace badgerbridge::watch_cache {
namespace {

/// A relay process whose standard error is written to a file.
class Program {
 public:
  Program(std::vector<std::string> arguments, std::string log) : log_(std::move(log)) {
    arguments.insert(arguments.begin(), RELAY_PATH);
    std::vector<char*> pointers;
    for (std::string& argument : arguments) pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    pid_ = fork();
    if (pid_ != 0) return;
    if (!std::freopen(log_.c_str(), "w", stderr) || !std::freopen("/dev/null", "w", stdout)) _exit(126);
    execv(RELAY_PATH, pointers.data());
    _exit(127);
  }
  ~Program() {
    if (ended()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Signal(int number) const { kill(pid_, number); }
  bool ended() {
    if (!status_) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
    }
    return status_.has_value();
  }
  int exit_code() const { return status_ && WIFEXITED(*status_) ? WEXITSTATUS(*status_) : -1; }
  std::string Log() const {
    std::ifstream file(log_);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  /// The listen address, from the log line that is written once the relay serves. Empty before.
  std::optional<tcp::endpoint> Address() const {
    const std::string log = Log();
    const std::size_t begin = log.find(" on ");
    const std::size_t end = log.find('\n', begin);
    if (begin == std::string::npos || end == std::string::npos) return std::nullopt;
    return http_api::ParseAddress(log.substr(begin + 4, end - begin - 4));
  }

 private:
  std::string log_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

class ProgramTest : public ServiceTest {
 protected:
  void SetUp() override {
    char name[] = "/tmp/badgerbridge-relayXXXXXX";
    ASSERT_NE(mkdtemp(name), nullptr);
    directory = name;
  }
  void TearDown() override {
    for (const char* file : {"log", "relay.toml", "authority.pem", "relay.pem", "relay.key", "reader.pem",
                             "reader.key", "status", "other"})
      unlink((directory + "/" + file).c_str());
    rmdir(directory.c_str());
  }
  std::unique_ptr<Program> Run(const std::vector<std::string>& more = {}) {
    return RunAt({boost::asio::ip::address_v4::loopback(), 0}, more);
  }
  /// Starts the watch cache; port 0: any free port.
  std::unique_ptr<Program> RunAt(const tcp::endpoint& address, const std::vector<std::string>& more = {}) {
    std::vector<std::string> arguments = {"--listen",   http_api::ToText(address),
                                          "--upstream", http_api::ToText(etcd->address(0)),
                                          "--prefix",   kPrefix};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return std::make_unique<Program>(arguments, directory + "/log");
  }
  /// The output of a command, and its exit code; -1: ended by a signal.
  struct CommandResult {
    std::string output;
    int exit_code = -1;
  };

  /// Runs `badgerbridge-ctl relays` while the event loop runs.
  CommandResult RunRelaysCommand(const std::string& arguments) {
    const std::string result_file = directory + "/log2";
    const pid_t pid = fork();
    if (pid == 0) {
      const std::string command =
          std::string(CTL_PATH) + " relays " + arguments + " >" + result_file + " 2>&1";
      execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      _exit(127);
    }
    int status = 0;
    EXPECT_TRUE(Until([&] { return waitpid(pid, &status, WNOHANG) == pid; }));
    CommandResult result;
    if (WIFEXITED(status)) result.exit_code = WEXITSTATUS(status);
    std::ifstream file(result_file);
    result.output = {std::istreambuf_iterator<char>(file), {}};
    unlink(result_file.c_str());
    return result;
  }

  void WriteFile(const std::string& text) { std::ofstream(directory + "/relay.toml") << text; }

  std::string directory;
};

TEST_F(ProgramTest, SigtermDrainsAndExitsWithZero) {
  StartEtcd();
  WriteFile("drain_period = \"200ms\"\n");
  const auto program = Run({"--config", directory + "/relay.toml"});
  ASSERT_TRUE(Until([&] { return program->Address().has_value(); })) << program->Log();
  const auto reader = MakeReader({*program->Address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); })) << reader->last_error;
  Put("m1", "Terminating");
  ASSERT_TRUE(Until([&] { return reader->drains[kPrefix + "m1"] == 1; }));
  program->Signal(SIGTERM);
  ASSERT_TRUE(Until([&] { return program->ended(); }));
  EXPECT_EQ(program->exit_code(), 0) << program->Log();
  EXPECT_GT(reader->disconnects, 0);
  EXPECT_EQ(reader->keys, SourceState());  // the reader keeps its state
}

TEST_F(ProgramTest, SecondSignalExitsAtOnce) {
  StartEtcd();
  WriteFile("drain_period = \"10m\"\n");
  const auto program = Run({"--config", directory + "/relay.toml"});
  ASSERT_TRUE(Until([&] { return program->Address().has_value(); })) << program->Log();
  const auto reader = MakeReader({*program->Address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); })) << reader->last_error;
  program->Signal(SIGTERM);
  ASSERT_TRUE(Until([&] { return program->Log().find("shutting down") != std::string::npos; }));
  EXPECT_FALSE(program->ended());
  program->Signal(SIGTERM);
  ASSERT_TRUE(Until([&] { return program->ended(); }));
  EXPECT_EQ(program->exit_code(), 0);
}

TEST_F(ProgramTest, ReadersReachSourceStateAfterKillAndRestart) {
  StartEtcd();
  const badgerbridge::testing::PortReservation port(io);
  const tcp::endpoint address = port.address();
  auto program = RunAt(address);
  ASSERT_TRUE(Until([&] { return program->Address() == address; })) << program->Log();
  const auto reader = MakeReader({address});
  ASSERT_TRUE(Until([&] { return Holds(*reader); })) << reader->last_error;
  const auto held = reader->keys;
  Put("m1", "Terminating");  // its event may be in flight when the process is killed
  program->Signal(SIGKILL);
  ASSERT_TRUE(Until([&] { return program->ended() && reader->disconnects > 0; }));
  EXPECT_EQ(reader->keys.size(), held.size());
  Delete("m2");
  program = RunAt(address);
  ASSERT_TRUE(Until([&] { return Holds(*reader); })) << reader->last_error << program->Log();
  EXPECT_GE(reader->drains[kPrefix + "m1"], 1);
  EXPECT_EQ(reader->revision_decreases, 0);
}

TEST_F(ProgramTest, ExampleFileHasEveryKeyWithItsDefault) {
  StartEtcd();
  const auto program = Run({"--check", "--config", SOURCE_DIR "/deploy/relay.toml"});
  ASSERT_TRUE(Until([&] { return program->ended(); }));
  EXPECT_EQ(program->exit_code(), 0) << program->Log();
  // The file sets each key to its default.
  const ServiceSettings defaults;
  const RelayFile file = LoadRelayFile(SOURCE_DIR "/deploy/relay.toml");
  EXPECT_TRUE(file.ok()) << operator_config::FormatProblems(file.problems);
  const ServiceSettings& from_file = file.settings;
  EXPECT_EQ(from_file.cache.drain_period, defaults.cache.drain_period);
  EXPECT_EQ(from_file.cache.max_window_bytes, defaults.cache.max_window_bytes);
  EXPECT_EQ(from_file.cache.max_window_events, defaults.cache.max_window_events);
  EXPECT_EQ(from_file.cache.max_backlog_bytes, defaults.cache.max_backlog_bytes);
  EXPECT_EQ(from_file.cache.max_merged_events, defaults.cache.max_merged_events);
  EXPECT_EQ(from_file.cache.max_subscribers, defaults.cache.max_subscribers);
  EXPECT_EQ(from_file.cache.max_waiting_reads, defaults.cache.max_waiting_reads);
  EXPECT_EQ(from_file.cache.read_timeout, defaults.cache.read_timeout);
  EXPECT_EQ(from_file.cache.progress_interval, defaults.cache.progress_interval);
  EXPECT_EQ(from_file.cache.list_bytes_per_second, defaults.cache.list_bytes_per_second);
  EXPECT_EQ(from_file.cache.list_burst_bytes, defaults.cache.list_burst_bytes);
  EXPECT_EQ(from_file.server.max_connections, defaults.server.max_connections);
  EXPECT_EQ(from_file.server.ping_interval, defaults.server.ping_interval);
  EXPECT_EQ(from_file.server.ping_timeout, defaults.server.ping_timeout);
  EXPECT_EQ(from_file.server.idle_timeout, defaults.server.idle_timeout);
  EXPECT_EQ(from_file.server.stall_timeout, defaults.server.stall_timeout);
  EXPECT_EQ(from_file.max_watches_per_connection, defaults.max_watches_per_connection);
  EXPECT_EQ(from_file.upstream.channel.ping_interval, defaults.upstream.channel.ping_interval);
  EXPECT_EQ(from_file.upstream.channel.ping_timeout, defaults.upstream.channel.ping_timeout);
}

TEST_F(ProgramTest, InvalidArgumentsAndFilesExitWithMessage) {
  StartEtcd();
  const auto expect = [&](std::vector<std::string> arguments, const std::string& text) {
    Program program(std::move(arguments), directory + "/log");
    ASSERT_TRUE(Until([&] { return program.ended(); }));
    EXPECT_NE(program.exit_code(), 0);
    EXPECT_NE(program.Log().find(text), std::string::npos) << program.Log();
  };
  expect({"--listen", "nowhere", "--upstream", "127.0.0.1:1", "--prefix", "/a/"}, "--listen");
  expect({"--listen", "127.0.0.1:0", "--upstream", "127.0.0.1:1,x", "--prefix", "/a/"}, "--upstream: \"x\"");
  expect({"--listen", "127.0.0.1:0", "--upstream", "127.0.0.1:1", "--prefix", ""}, "--prefix");
  expect({"--listen", http_api::ToText(etcd->address(0)), "--upstream", "127.0.0.1:1", "--prefix", "/a/"},
         "cannot listen on");
  WriteFile("drain_perio = \"1s\"\n[bounds]\nwindow_bytes = \"many\"\n[readers]\ncertificate = \"a\"\n");
  const std::vector<std::string> with_file = {
      "--listen", "127.0.0.1:0", "--upstream", "127.0.0.1:1",
      "--prefix", "/a/",         "--config",   directory + "/relay.toml"};
  expect(with_file, "relay.toml:1");
  expect(with_file, "relay.toml:3");
  expect(with_file, "relay.toml:5");
  WriteFile("[upstream]\nuser = \"u\"\npassword_file = \"/nowhere\"\nendpoints = [\"127.0.0.1:1\"]\n");
  expect(with_file, "are set with --upstream");
  WriteFile("[upstream]\nuser = \"u\"\npassword_file = \"/nowhere\"\n");
  expect(with_file, "/nowhere");
  expect({"--listen", "127.0.0.1:0", "--upstream", "127.0.0.1:1", "--prefix", "/a/", "--config", "/nowhere"},
         "/nowhere");
}

TEST_F(ProgramTest, StatusSocketReportsRevisionUpstreamAndAge) {
  StartEtcd();
  const auto program = Run({"--status-socket", directory + "/status"});
  ASSERT_TRUE(Until([&] { return program->Address().has_value(); })) << program->Log();
  const auto reader = MakeReader({*program->Address()});
  ASSERT_TRUE(Until([&] { return Holds(*reader); })) << reader->last_error;
  boost::asio::local::stream_protocol::socket socket(io);
  socket.connect(boost::asio::local::stream_protocol::endpoint(directory + "/status"));
  boost::asio::write(
      socket,
      boost::asio::buffer(std::string("GET /v1/status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
  std::string text;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
  const std::size_t body = text.find("\r\n\r\n");
  ASSERT_NE(body, std::string::npos) << text;
  const boost::json::value status = boost::json::parse(text.substr(body + 4));
  EXPECT_EQ(status.at("revision").as_int64(), etcd->store().revision());
  EXPECT_TRUE(status.at("upstream").at("connected").as_bool());
  EXPECT_LT(status.at("upstream").at("heard_ms_ago").as_int64(), 60000);
  EXPECT_EQ(status.at("readers").at("watches").as_int64(), 1);
}

TEST_F(ProgramTest, RelaysCommandShowsHowFarBehindEachCacheIs) {
  standins::EtcdSettings two;
  two.members = 2;
  StartEtcd(two);
  const auto program = Run({"--status-socket", directory + "/status"});
  ASSERT_TRUE(Until([&] { return program->Address().has_value(); })) << program->Log();
  const auto reader = MakeReader({*program->Address()});
  const auto behind = MakeCache({etcd->address(1)});
  http_api::UnixServer other(
      io, directory + "/other", {}, {},
      [&](http_api::Request, http_api::Peer) -> boost::asio::awaitable<http_api::Response> {
        co_return http_api::Response{200, behind->Describe()};
      });
  ASSERT_TRUE(Until([&] { return Holds(*reader) && Follows(*behind); }));
  etcd->Lag(1, true);
  Put("m1");
  Put("m2");
  ASSERT_TRUE(Until([&] { return Holds(*reader); }));
  const std::string sockets = directory + "/status " + directory + "/other";
  const CommandResult as_json = RunRelaysCommand(sockets + " -o json");
  EXPECT_EQ(as_json.exit_code, 0);
  const boost::json::value all = boost::json::parse(as_json.output);
  ASSERT_EQ(all.as_array().size(), 2u);
  EXPECT_EQ(all.at(0).at("behind").as_int64(), 0);
  EXPECT_EQ(all.at(1).at("behind").as_int64(), 2);
  const CommandResult table = RunRelaysCommand(sockets + " " + directory + "/nothing");
  EXPECT_EQ(table.exit_code, 5) << table.output;  // one socket cannot be reached
  EXPECT_NE(table.output.find("BEHIND"), std::string::npos) << table.output;
  EXPECT_NE(table.output.find("connected"), std::string::npos) << table.output;
  etcd->Down(1);
  ASSERT_TRUE(Until([&] { return !behind->status().connected; }));
  EXPECT_EQ(RunRelaysCommand(sockets).exit_code, 1);
}

TEST_F(ProgramTest, TlsRequiresCertificateOfReaders) {
  StartEtcd();
  const standins::Authority authority("authority");
  authority.Write(directory + "/authority.pem");
  authority.Issue("relay", directory + "/relay");
  authority.Issue("reader", directory + "/reader");
  WriteFile("[readers]\ncertificate = \"" + directory + "/relay.pem\"\nkey = \"" + directory +
            "/relay.key\"\nclient_authority = \"" + directory + "/authority.pem\"\n");
  const auto program = Run({"--config", directory + "/relay.toml"});
  ASSERT_TRUE(Until([&] { return program->Address().has_value(); })) << program->Log();
  etcd::FollowerLinkSettings settings;
  settings.endpoints = {*program->Address()};
  settings.follower.prefix = kPrefix;
  settings.follower.min_step_timeout = milliseconds(500);
  settings.channel.ping_interval = settings.channel.ping_timeout = milliseconds(1000);
  settings.channel.tls =
      http_api::TlsFiles{directory + "/reader.pem", directory + "/reader.key", directory + "/authority.pem"};
  std::size_t keys = 0;
  etcd::FollowerLinkCallbacks callbacks;
  callbacks.on_snapshot = [&](std::uint64_t, std::int64_t, std::vector<pb::KeyValue> kvs) {
    keys = kvs.size();
  };
  const etcd::FollowerLink link(io, settings, 1, callbacks);
  ASSERT_TRUE(Until([&] { return keys == 4; })) << link.follower().last_error_message() << program->Log();
  // A reader without TLS is not served.
  const auto plain = MakeReader({*program->Address()});
  ASSERT_TRUE(Until([&] { return plain->disconnects >= 2; }));
  EXPECT_TRUE(plain->keys.empty());
}

}  // namespace
}  // namespace badgerbridge::watch_cache
