// SPDX-License-Identifier: Apache-2.0
//
// The admin API over its socket: responses, operations, and that hostile peers of the socket do not block
// requests.
#include "admin_api/admin_api.h"

#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/json.hpp>
#include <fstream>

#include "proxy/proxy_harness.h"

namespace badgerbridge::admin_api {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace badgerbridge::proxy::testing;
using badgerbridge::proxy::Config;
using Local = asio::local::stream_protocol;

/// Creates a temporary directory and returns its path.
std::string MakeTempDirectory() {
  std::string folder = ::testing::TempDir() + "control_XXXXXX";
  EXPECT_NE(mkdtemp(folder.data()), nullptr);
  return folder;
}

/// A client connection to the admin API's socket.
struct LocalConnection : std::enable_shared_from_this<LocalConnection> {
  explicit LocalConnection(asio::io_context& io) : socket(io) {}
  /// Reads until the peer closes the connection.
  void Start() {
    socket.async_read_some(asio::buffer(buffer), [self = shared_from_this()](ErrorCode error, std::size_t n) {
      if (error) {
        self->closed = true;
        return;
      }
      self->in.append(self->buffer.data(), n);
      self->Start();
    });
  }
  /// Writes text; ignores errors of a closed connection.
  void Send(std::string_view text) {
    ErrorCode ignored;
    asio::write(socket, asio::buffer(text.data(), text.size()), ignored);
  }
  Local::socket socket;
  std::array<char, 65536> buffer;
  std::string in;       // all data received
  bool closed = false;  // by the peer
};

/// A proxy with an admin API, a backend that holds requests until a test answers them, and a draining
/// backend.
struct ProxyWithAdminApi {
  explicit ProxyWithAdminApi(operator_config::AdminApiSettings settings = {})
      : backend(io, [this](Wire& connection) { waiting.push_back(&connection); }),
        config(TestConfig(
            {EndpointJson("s-1", backend.address()), EndpointJson("s-2", "127.0.0.1:1", "Terminating")})),
        node(io, config),
        folder(MakeTempDirectory()) {
    settings.socket = folder + "/c.sock";
    admin_api.emplace(
        io, settings,
        AdminApi::Dependencies{config, node.clock, node.proxy, node.listener, node.reader, reloads,
                               [this] { node.listener.Stop([this] { stopped = true; }); }});
  }
  ~ProxyWithAdminApi() {
    admin_api.reset();
    rmdir(folder.c_str());
  }
  std::shared_ptr<LocalConnection> Open() {
    auto connection = std::make_shared<LocalConnection>(io);
    connection->socket.connect(Local::endpoint(folder + "/c.sock"));
    connection->Start();
    return connection;
  }
  /// The raw response to a request, including headers.
  std::string Raw(const std::string& method, const std::string& path, const std::string& body = "") {
    const auto connection = Open();
    connection->Send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_TRUE(RunUntil(io, [&] { return connection->closed; }));
    return connection->in;
  }
  /// The body of the response to a request.
  json::value Call(const std::string& method, const std::string& path, const std::string& body = "") {
    const std::string answer = Raw(method, path, body);
    const std::size_t at = answer.find("\r\n\r\n");
    EXPECT_NE(at, std::string::npos) << answer;
    return json::parse(answer.substr(at + 4));
  }
  /// The body of GET /v1/status.
  json::value Status() { return Call("GET", "/v1/status"); }
  /// The state in GET /v1/status.
  std::string State() { return std::string(Status().at("state").as_string()); }

  asio::io_context io;
  std::vector<Wire*> waiting;  // requests at the backend, in order of arrival
  Peer backend;
  Config config;
  Node node;
  std::string folder;
  ReloadStatus reloads;
  bool stopped = false;
  std::optional<AdminApi> admin_api;
};

std::int64_t CountOf(const json::value& counts, const char* key) {
  return counts.at(key).to_number<std::int64_t>();
}

/// Expects that each accepted request has exactly one outcome or is open.
void ExpectSum(const json::value& counts) {
  EXPECT_EQ(CountOf(counts, "taken"), CountOf(counts, "served") + CountOf(counts, "refused") +
                                          CountOf(counts, "failed") + CountOf(counts, "open"))
      << counts;
}

TEST(AdminApi, EachRequestIsCountedOnceHoweverItEnds) {
  ProxyWithAdminApi fixture;
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(fixture.node.Connect());
    clients.back()->Send(i % 2 ? Get("id" + std::to_string(i))
                               : Post("id" + std::to_string(i), "certify", "END"));
    ASSERT_TRUE(
        RunUntil(fixture.io, [&] { return fixture.waiting.size() == static_cast<std::size_t>(i + 1); }));
    const json::value status = fixture.Status();
    ExpectSum(status.at("requests"));
    EXPECT_EQ(CountOf(status.at("requests"), "open"), i + 1);
  }
  fixture.waiting[0]->Send(Reply(200, "done"));
  fixture.waiting[2]->Send(Reply(500));  // not retried: the backend may have executed it
  fixture.waiting[4]->Reset();
  clients[1]->Close();  // the client disconnects
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.node.proxy.open_requests() == 1; }));
  const json::value status = fixture.Status();
  for (const auto& [name, counts] : status.at("classes").as_object()) ExpectSum(counts);
  const json::value& all = status.at("requests");
  ExpectSum(all);
  EXPECT_EQ(CountOf(all, "taken"), 5);
  EXPECT_EQ(CountOf(all, "served"), 1);
  EXPECT_EQ(CountOf(all, "failed"), 3);
  EXPECT_EQ(CountOf(all.at("failed_of_which"), "client_left"), 1);
  EXPECT_EQ(CountOf(status.at("classes").at("certify"), "taken"), 3);
  EXPECT_EQ(CountOf(status.at("classes").at("preview"), "open"), 1);
  // The remaining request is failed by the balancer or at its deadline; none stays open.
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.node.proxy.open_requests() == 0; }));
  ExpectSum(fixture.Status().at("requests"));
}

TEST(AdminApi, BackendsShowStateHealthAndRequestsInFlight) {
  ProxyWithAdminApi fixture;
  const auto client = fixture.node.Connect();
  client->Send(Get("a"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.waiting.size() == 1; }));
  const json::value answer = fixture.Call("GET", "/v1/converters");
  std::map<std::string, json::value> by_name;
  for (const json::value& one : answer.at("converters").as_array())
    by_name[std::string(one.at("name").as_string())] = one;
  ASSERT_EQ(by_name.size(), 2u);
  EXPECT_EQ(by_name["s-1"].at("in_flight").to_number<int>(), 1);
  EXPECT_EQ(by_name["s-1"].at("status"), "ready");
  EXPECT_EQ(by_name["s-1"].at("health"), "healthy");
  EXPECT_EQ(by_name["s-1"].at("zone"), "ebene");
  EXPECT_EQ(by_name["s-2"].at("status"), "draining");
  fixture.waiting[0]->Send(Reply(200, "x"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.node.proxy.open_requests() == 0; }));
}

TEST(AdminApi, DrainStillServesRequestsAndReportsWhenItIsIdle) {
  ProxyWithAdminApi fixture;
  EXPECT_EQ(fixture.State(), "ready");
  const auto idle = fixture.node.Connect(), busy = fixture.node.Connect();
  idle->Send(Get("idle"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.waiting.size() == 1; }));
  fixture.waiting[0]->Send(Reply(200, "first"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return idle->in.find("first") != std::string::npos; }));
  busy->Send(Get("busy"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.waiting.size() == 2; }));

  const json::value drain = fixture.Call("POST", "/v1/drain", R"({"deadline_ms": 0})");
  EXPECT_EQ(drain.at("state"), "draining");
  EXPECT_TRUE(fixture.Status().at("drain").at("overdue").as_bool());
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return idle->closed; }));  // closed between requests
  EXPECT_NE(fixture.node.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").find(" 503 "), std::string::npos);
  // A request on a new connection is still served.
  const auto late = fixture.node.Connect();
  late->Send(Get("late"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.waiting.size() == 3; }));
  for (std::size_t i : {1u, 2u}) fixture.waiting[i]->Send(Reply(200, "last"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return busy->closed && late->closed; }));
  for (const auto& connection : {busy, late}) {
    EXPECT_NE(connection->in.find("last"), std::string::npos);
    EXPECT_NE(connection->in.find("Connection: close"), std::string::npos);
  }
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.State() == "drained"; }));
  EXPECT_FALSE(
      fixture.Call("POST", "/v1/drain", R"({"deadline_ms": 0})").at("drain").at("overdue").as_bool());

  EXPECT_EQ(fixture.Call("POST", "/v1/undrain").at("state"), "ready");
  EXPECT_NE(fixture.node.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").find(" 200 "), std::string::npos);
}

TEST(AdminApi, StopEndsTheProxyAndRejectsLaterOperations) {
  ProxyWithAdminApi fixture;
  EXPECT_EQ(fixture.Call("POST", "/v1/stop").at("state"), "stopping");
  EXPECT_NE(fixture.Raw("POST", "/v1/undrain").find("409"), std::string::npos);
  EXPECT_NE(fixture.Raw("POST", "/v1/drain").find("409"), std::string::npos);
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return fixture.stopped; }));
}

TEST(AdminApi, InvalidRequestsGetAnErrorAndChangeNothing) {
  ProxyWithAdminApi fixture;
  EXPECT_NE(fixture.Raw("GET", "/v1/nothing").find(" 404 "), std::string::npos);
  // The error names the table that is missing from the operator's file.
  EXPECT_NE(fixture.Raw("GET", "/v1/zones").find("no [regions] table"), std::string::npos);
  EXPECT_NE(fixture.Raw("GET", "/v1/members").find("no [etcd] table"), std::string::npos);
  EXPECT_NE(fixture.Raw("POST", "/v1/status").find(" 405 "), std::string::npos);
  for (const char* body : {"{", "[]", R"({"deadline":1})", R"({"deadline_ms":"1"})", R"({"deadline_ms":-1})",
                           R"({"deadline_ms":1e99})"})
    EXPECT_NE(fixture.Raw("POST", "/v1/drain", body).find(" 400 "), std::string::npos) << body;
  EXPECT_FALSE(fixture.node.listener.draining());
  EXPECT_NE(fixture.Raw("POST", "/v1/drain", std::string(5000, ' ')).find(" 413 "), std::string::npos);
  const auto connection = fixture.Open();
  connection->Send("GET / HTTP/1.1\r\nX: " + std::string(20000, 'x'));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return connection->closed; }));
  EXPECT_NE(connection->in.find(" 431 "), std::string::npos) << connection->in;
  const auto garbage = fixture.Open();
  garbage->Send("\x16\x03\x01 nothing\r\n\r\n");
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return garbage->closed; }));
  EXPECT_NE(garbage->in.find(" 400 "), std::string::npos) << garbage->in;
}

TEST(AdminApi, SilentPeersAndPartialRequestsAreEvictedForTheNext) {
  operator_config::AdminApiSettings settings;
  settings.max_connections = 4;
  settings.request_timeout = std::chrono::milliseconds(60000);  // too long to free connections in this test
  settings.idle_timeout = std::chrono::milliseconds(60000);
  ProxyWithAdminApi fixture(settings);
  std::vector<std::shared_ptr<LocalConnection>> hostile;
  for (int i = 0; i < 40; ++i) {
    hostile.push_back(fixture.Open());
    if (i % 2) hostile.back()->Send("GET /v1/status HT");
  }
  EXPECT_EQ(fixture.State(), "ready");
  const auto client = fixture.node.Connect();
  client->Send(Get("a"));
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return fixture.waiting.size() == 1; }));
  fixture.waiting[0]->Send(Reply(200, "served"));
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return client->in.find("served") != std::string::npos; }));
}

TEST(AdminApi, PartialRequestsAndIdleConnectionsTimeOut) {
  operator_config::AdminApiSettings settings;
  settings.request_timeout = settings.idle_timeout = std::chrono::milliseconds(100);
  ProxyWithAdminApi fixture(settings);
  const auto half = fixture.Open(), idle = fixture.Open();
  half->Send("GET /v1/sta");
  idle->Send("GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return half->closed && idle->closed; }));
  EXPECT_NE(idle->in.find(" 200 "), std::string::npos);
}

TEST(AdminApi, SocketIsPrivateAndOnlyAnAbandonedOneIsReplaced) {
  ProxyWithAdminApi fixture;
  struct stat file_status {};
  ASSERT_EQ(lstat((fixture.folder + "/c.sock").c_str(), &file_status), 0);
  EXPECT_EQ(file_status.st_mode & 0777, 0600u);
  operator_config::AdminApiSettings same;
  same.socket = fixture.folder + "/c.sock";
  const AdminApi::Dependencies dependencies{fixture.config,
                                            fixture.node.clock,
                                            fixture.node.proxy,
                                            fixture.node.listener,
                                            fixture.node.reader,
                                            fixture.reloads,
                                            [] {}};
  EXPECT_THROW(AdminApi(fixture.io, same, dependencies), std::runtime_error);
  same.socket = fixture.folder + "/file";
  std::ofstream(same.socket) << "precious";
  EXPECT_THROW(AdminApi(fixture.io, same, dependencies), std::runtime_error);
  EXPECT_EQ(unlink(same.socket.c_str()), 0);
  same.socket = fixture.folder + "/no/such/folder";
  EXPECT_THROW(AdminApi(fixture.io, same, dependencies), std::runtime_error);
  // A stale socket of a killed proxy is replaced.
  same.socket = fixture.folder + "/stale.sock";
  { Local::acceptor stale(fixture.io, Local::endpoint(same.socket)); }
  AdminApi admin_api(fixture.io, same, dependencies);
  EXPECT_EQ(fixture.State(), "ready");
}

// Changes the effective user id, which requires root.
TEST(AdminApi, ConnectionOfAnotherUserIsClosedWithoutAResponse) {
  if (geteuid() != 0) GTEST_SKIP() << "requires root to connect as another user";
  ProxyWithAdminApi fixture;
  ASSERT_EQ(chmod(fixture.folder.c_str(), 0755), 0);
  ASSERT_EQ(chmod((fixture.folder + "/c.sock").c_str(), 0666), 0);
  auto connection = std::make_shared<LocalConnection>(fixture.io);
  ASSERT_EQ(seteuid(65534), 0);
  ErrorCode error;
  connection->socket.connect(Local::endpoint(fixture.folder + "/c.sock"), error);
  ASSERT_EQ(seteuid(0), 0);
  ASSERT_FALSE(error) << error.message();
  connection->Start();
  connection->Send("GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return connection->closed; }));
  EXPECT_EQ(connection->in, "");
}

}  // namespace
}  // namespace badgerbridge::admin_api
