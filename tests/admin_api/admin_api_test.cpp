// SPDX-License-Identifier: Apache-2.0
//
// The control API beside a node on sockets: what it says, what it does, and that peers of its socket cost the
// requests nothing.
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

std::string Folder() {
  std::string folder = ::testing::TempDir() + "control_XXXXXX";
  EXPECT_NE(mkdtemp(folder.data()), nullptr);
  return folder;
}

struct LocalWire : std::enable_shared_from_this<LocalWire> {
  explicit LocalWire(asio::io_context& io) : socket(io) {}
  void Start() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](ErrorCode error, std::size_t n) {
      if (error) {
        self->closed = true;
        return;
      }
      self->in.append(self->piece.data(), n);
      self->Start();
    });
  }
  void Send(std::string_view text) {
    ErrorCode ignored;
    asio::write(socket, asio::buffer(text.data(), text.size()), ignored);
  }
  Local::socket socket;
  std::array<char, 65536> piece;
  std::string in;
  bool closed = false;
};

// A node with a control socket, one backend that answers when it is told to, and its list.
struct Rig {
  explicit Rig(operator_config::AdminApiSettings settings = {})
      : backend(io, [this](Wire& wire) { waiting.push_back(&wire); }),
        config(TestConfig(
            {EndpointJson("s-1", backend.address()), EndpointJson("s-2", "127.0.0.1:1", "Terminating")})),
        node(io, config),
        folder(Folder()) {
    settings.socket = folder + "/c.sock";
    control.emplace(io, settings,
                    AdminApi::Subject{config, node.clock, node.proxy, node.listener, node.reader, reloads,
                                      [this] { node.listener.Stop([this] { stopped = true; }); }});
  }
  ~Rig() {
    control.reset();
    rmdir(folder.c_str());
  }
  std::shared_ptr<LocalWire> Open() {
    auto wire = std::make_shared<LocalWire>(io);
    wire->socket.connect(Local::endpoint(folder + "/c.sock"));
    wire->Start();
    return wire;
  }
  std::string Raw(const std::string& method, const std::string& path, const std::string& body = "") {
    const auto wire = Open();
    wire->Send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_TRUE(RunUntil(io, [&] { return wire->closed; }));
    return wire->in;
  }
  json::value Call(const std::string& method, const std::string& path, const std::string& body = "") {
    const std::string answer = Raw(method, path, body);
    const std::size_t at = answer.find("\r\n\r\n");
    EXPECT_NE(at, std::string::npos) << answer;
    return json::parse(answer.substr(at + 4));
  }
  json::value Status() { return Call("GET", "/v1/status"); }
  std::string State() { return std::string(Status().at("state").as_string()); }

  asio::io_context io;
  std::vector<Wire*> waiting;
  Peer backend;
  Config config;
  Node node;
  std::string folder;
  ReloadStatus reloads;
  bool stopped = false;
  std::optional<AdminApi> control;
};

std::int64_t N(const json::value& counts, const char* key) {
  return counts.at(key).to_number<std::int64_t>();
}

void ExpectSum(const json::value& counts) {
  EXPECT_EQ(N(counts, "taken"),
            N(counts, "served") + N(counts, "refused") + N(counts, "failed") + N(counts, "open"))
      << counts;
}

TEST(AdminApi, TotalsAddUpAtEachReadWhateverBecomesOfTheRequests) {
  Rig rig;
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(rig.node.Connect());
    clients.back()->Send(i % 2 ? Get("id" + std::to_string(i))
                               : Post("id" + std::to_string(i), "certify", "END"));
    ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.waiting.size() == static_cast<std::size_t>(i + 1); }));
    const json::value status = rig.Status();
    ExpectSum(status.at("requests"));
    EXPECT_EQ(N(status.at("requests"), "open"), i + 1);
  }
  rig.waiting[0]->Send(Reply(200, "done"));
  rig.waiting[2]->Send(Reply(500));  // a certified copy may have run: failed
  rig.waiting[4]->Reset();
  clients[1]->Close();  // a client leaves
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.node.proxy.open_requests() == 1; }));
  const json::value status = rig.Status();
  for (const auto& [name, counts] : status.at("classes").as_object()) ExpectSum(counts);
  const json::value& all = status.at("requests");
  ExpectSum(all);
  EXPECT_EQ(N(all, "taken"), 5);
  EXPECT_EQ(N(all, "served"), 1);
  EXPECT_EQ(N(all, "failed"), 3);
  EXPECT_EQ(N(all.at("failed_of_which"), "client_left"), 1);
  EXPECT_EQ(N(status.at("classes").at("certify"), "taken"), 3);
  EXPECT_EQ(N(status.at("classes").at("preview"), "open"), 1);
  // The rest is failed by the last resort or the module; nothing stays open.
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.node.proxy.open_requests() == 0; }));
  ExpectSum(rig.Status().at("requests"));
}

TEST(AdminApi, BackendsAsThisProxySeesThem) {
  Rig rig;
  const auto client = rig.node.Connect();
  client->Send(Get("a"));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.waiting.size() == 1; }));
  const json::value answer = rig.Call("GET", "/v1/converters");
  std::map<std::string, json::value> by_name;
  for (const json::value& one : answer.at("converters").as_array())
    by_name[std::string(one.at("name").as_string())] = one;
  ASSERT_EQ(by_name.size(), 2u);
  EXPECT_EQ(by_name["s-1"].at("in_flight").to_number<int>(), 1);
  EXPECT_EQ(by_name["s-1"].at("status"), "ready");
  EXPECT_EQ(by_name["s-1"].at("health"), "healthy");
  EXPECT_EQ(by_name["s-1"].at("zone"), "ebene");
  EXPECT_EQ(by_name["s-2"].at("status"), "draining");
  rig.waiting[0]->Send(Reply(200, "x"));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.node.proxy.open_requests() == 0; }));
}

TEST(AdminApi, ADrainAnswersWhatComesAndSaysWhenItIsQuiet) {
  Rig rig;
  EXPECT_EQ(rig.State(), "ready");
  const auto idle = rig.node.Connect(), busy = rig.node.Connect();
  idle->Send(Get("idle"));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.waiting.size() == 1; }));
  rig.waiting[0]->Send(Reply(200, "first"));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return idle->in.find("first") != std::string::npos; }));
  busy->Send(Get("busy"));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.waiting.size() == 2; }));

  const json::value said = rig.Call("POST", "/v1/drain", R"({"deadline_ms": 0})");
  EXPECT_EQ(said.at("state"), "draining");
  EXPECT_TRUE(rig.Status().at("drain").at("overdue").as_bool());
  ASSERT_TRUE(RunUntil(rig.io, [&] { return idle->closed; }));  // between requests
  EXPECT_NE(rig.node.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").find(" 503 "), std::string::npos);
  // One that was dealt here all the same is served.
  const auto late = rig.node.Connect();
  late->Send(Get("late"));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.waiting.size() == 3; }));
  for (std::size_t i : {1u, 2u}) rig.waiting[i]->Send(Reply(200, "last"));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return busy->closed && late->closed; }));
  for (const auto& wire : {busy, late}) {
    EXPECT_NE(wire->in.find("last"), std::string::npos);
    EXPECT_NE(wire->in.find("Connection: close"), std::string::npos);
  }
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.State() == "drained"; }));
  EXPECT_FALSE(rig.Call("POST", "/v1/drain", R"({"deadline_ms": 0})").at("drain").at("overdue").as_bool());

  EXPECT_EQ(rig.Call("POST", "/v1/undrain").at("state"), "ready");
  EXPECT_NE(rig.node.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").find(" 200 "), std::string::npos);
}

TEST(AdminApi, StopEndsTheProxyAndNothingGoesBehindIt) {
  Rig rig;
  EXPECT_EQ(rig.Call("POST", "/v1/stop").at("state"), "stopping");
  EXPECT_NE(rig.Raw("POST", "/v1/undrain").find("409"), std::string::npos);
  EXPECT_NE(rig.Raw("POST", "/v1/drain").find("409"), std::string::npos);
  EXPECT_TRUE(RunUntil(rig.io, [&] { return rig.stopped; }));
}

TEST(AdminApi, WhatIsNotACallIsOnePlainError) {
  Rig rig;
  EXPECT_NE(rig.Raw("GET", "/v1/nothing").find(" 404 "), std::string::npos);
  // What the operator's file does not switch on says so.
  EXPECT_NE(rig.Raw("GET", "/v1/zones").find("no [regions] table"), std::string::npos);
  EXPECT_NE(rig.Raw("GET", "/v1/members").find("no [etcd] table"), std::string::npos);
  EXPECT_NE(rig.Raw("POST", "/v1/status").find(" 405 "), std::string::npos);
  for (const char* body : {"{", "[]", R"({"deadline":1})", R"({"deadline_ms":"1"})", R"({"deadline_ms":-1})",
                           R"({"deadline_ms":1e99})"})
    EXPECT_NE(rig.Raw("POST", "/v1/drain", body).find(" 400 "), std::string::npos) << body;
  EXPECT_FALSE(rig.node.listener.draining());
  EXPECT_NE(rig.Raw("POST", "/v1/drain", std::string(5000, ' ')).find(" 413 "), std::string::npos);
  const auto wire = rig.Open();
  wire->Send("GET / HTTP/1.1\r\nX: " + std::string(20000, 'x'));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return wire->closed; }));
  EXPECT_NE(wire->in.find(" 431 "), std::string::npos) << wire->in;
  const auto garbage = rig.Open();
  garbage->Send("\x16\x03\x01 nothing\r\n\r\n");
  ASSERT_TRUE(RunUntil(rig.io, [&] { return garbage->closed; }));
  EXPECT_NE(garbage->in.find(" 400 "), std::string::npos) << garbage->in;
}

TEST(AdminApi, SilentPeersAndHalfRequestsMakeRoomForTheNext) {
  operator_config::AdminApiSettings settings;
  settings.max_connections = 4;
  settings.request_timeout = std::chrono::milliseconds(60000);  // not this is what frees the places
  settings.idle_timeout = std::chrono::milliseconds(60000);
  Rig rig(settings);
  std::vector<std::shared_ptr<LocalWire>> hostile;
  for (int i = 0; i < 40; ++i) {
    hostile.push_back(rig.Open());
    if (i % 2) hostile.back()->Send("GET /v1/status HT");
  }
  EXPECT_EQ(rig.State(), "ready");
  const auto client = rig.node.Connect();
  client->Send(Get("a"));
  ASSERT_TRUE(RunUntil(rig.io, [&] { return rig.waiting.size() == 1; }));
  rig.waiting[0]->Send(Reply(200, "served"));
  EXPECT_TRUE(RunUntil(rig.io, [&] { return client->in.find("served") != std::string::npos; }));
}

TEST(AdminApi, AHalfRequestAndAnIdleConnectionEndByTheirTimeouts) {
  operator_config::AdminApiSettings settings;
  settings.request_timeout = settings.idle_timeout = std::chrono::milliseconds(100);
  Rig rig(settings);
  const auto half = rig.Open(), idle = rig.Open();
  half->Send("GET /v1/sta");
  idle->Send("GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(RunUntil(rig.io, [&] { return half->closed && idle->closed; }));
  EXPECT_NE(idle->in.find(" 200 "), std::string::npos);
}

TEST(AdminApi, TheSocketIsForItsOwnerAndNeverTakenFromOneThatAnswers) {
  Rig rig;
  struct stat about {};
  ASSERT_EQ(lstat((rig.folder + "/c.sock").c_str(), &about), 0);
  EXPECT_EQ(about.st_mode & 0777, 0600u);
  operator_config::AdminApiSettings same;
  same.socket = rig.folder + "/c.sock";
  const AdminApi::Subject subject{rig.config,      rig.node.clock, rig.node.proxy, rig.node.listener,
                                  rig.node.reader, rig.reloads,    [] {}};
  EXPECT_THROW(AdminApi(rig.io, same, subject), std::runtime_error);
  same.socket = rig.folder + "/file";
  std::ofstream(same.socket) << "precious";
  EXPECT_THROW(AdminApi(rig.io, same, subject), std::runtime_error);
  EXPECT_EQ(unlink(same.socket.c_str()), 0);
  same.socket = rig.folder + "/no/such/folder";
  EXPECT_THROW(AdminApi(rig.io, same, subject), std::runtime_error);
  // What a killed proxy left behind is replaced.
  same.socket = rig.folder + "/left.sock";
  { Local::acceptor left(rig.io, Local::endpoint(same.socket)); }
  AdminApi control(rig.io, same, subject);
  EXPECT_EQ(rig.State(), "ready");
}

// Needs to be another user, which only root can.
TEST(AdminApi, AnotherUserIsClosedWithoutAnAnswer) {
  if (geteuid() != 0) GTEST_SKIP() << "only root can try as another user";
  Rig rig;
  ASSERT_EQ(chmod(rig.folder.c_str(), 0755), 0);
  ASSERT_EQ(chmod((rig.folder + "/c.sock").c_str(), 0666), 0);
  auto wire = std::make_shared<LocalWire>(rig.io);
  ASSERT_EQ(seteuid(65534), 0);
  ErrorCode error;
  wire->socket.connect(Local::endpoint(rig.folder + "/c.sock"), error);
  ASSERT_EQ(seteuid(0), 0);
  ASSERT_FALSE(error) << error.message();
  wire->Start();
  wire->Send("GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(RunUntil(rig.io, [&] { return wire->closed; }));
  EXPECT_EQ(wire->in, "");
}

}  // namespace
}  // namespace badgerbridge::admin_api
