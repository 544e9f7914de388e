// SPDX-License-Identifier: Apache-2.0
//
// Tests a control API server at its connection limit: a connection whose request has arrived but is unread
// must not be closed to make room for others.
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string>

#include "http_api/server.h"
#include "races/turn.h"

namespace badgerbridge::http_api {
namespace {

namespace asio = boost::asio;
using Local = asio::local::stream_protocol;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

constexpr char kRequest[] = "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr milliseconds kMinConnectionAge{20};  // younger connections of a Unix socket server stay open

class ApiRaceTest : public badgerbridge::testing::EventLoopRaceTest {
 protected:
  ApiRaceTest() : path_(::testing::TempDir() + "api_race_" + std::to_string(getpid())) {
    ServerLimits limits;
    limits.max_connections = 1;
    server_.emplace(io_, path_, std::vector<uid_t>{}, limits, [](Request, Peer) -> asio::awaitable<Response> {
      co_return Response{200, boost::json::object{{"state", "ready"}}};
    });
    client_.connect(Local::endpoint(path_));
    RunReady();
    EXPECT_EQ(server_->connections(), 1u);
  }
  // Reads everything available to the client.
  std::string ReadAvailable() {
    std::string text(4096, '\0');
    ErrorCode error;
    client_.non_blocking(true, error);
    text.resize(client_.read_some(asio::buffer(text), error));
    closed_ = closed_ || error == asio::error::eof || error == asio::error::connection_reset;
    return text;
  }
  void SendRequest() { asio::write(client_, asio::buffer(kRequest, sizeof kRequest - 1)); }

  const std::string path_;
  std::optional<UnixServer> server_;
  Local::socket client_{io_};
  bool closed_ = false;
};

TEST_F(ApiRaceTest, AConnectionWithAnUnreadRequestIsNotEvicted) {
  AdvanceAndRun(kMinConnectionAge - milliseconds(5));
  RunTimersBefore([&] { SendRequest(); }, milliseconds(5));
  std::string answer;
  EXPECT_TRUE(Until([&] { return !(answer += ReadAvailable()).empty() || closed_; }));
  EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0u) << answer;
}

TEST_F(ApiRaceTest, AConnectionWithAnUnreadSecondRequestIsNotEvicted) {
  SendRequest();
  RunReady();
  EXPECT_EQ(ReadAvailable().rfind("HTTP/1.1 200", 0), 0u);
  AdvanceAndRun(kMinConnectionAge - milliseconds(5));
  RunTimersBefore([&] { SendRequest(); }, milliseconds(5));
  std::string answer;
  EXPECT_TRUE(Until([&] { return !(answer += ReadAvailable()).empty() || closed_; }));
  EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0u) << answer;
}

TEST_F(ApiRaceTest, AConnectionWithoutARequestIsEvicted) {
  EXPECT_TRUE(Until([&] {
    ReadAvailable();
    return closed_;
  }));
}

// Beast ignores a timeout that was queued before the read completed, because its tick is outdated.
TEST_F(ApiRaceTest, ARequestUnreadAtItsTimeoutIsAnswered) {
  server_.reset();
  ServerLimits limits;
  server_.emplace(io_, path_, std::vector<uid_t>{}, limits, [](Request, Peer) -> asio::awaitable<Response> {
    co_return Response{200, boost::json::object{}};
  });
  client_ = Local::socket(io_);
  client_.connect(Local::endpoint(path_));
  RunReady();
  for (int request = 0; request < 3; ++request) {
    SendRequest();
    clock_.Advance(request == 0 ? limits.request_timeout : limits.idle_timeout);
    std::string answer;
    EXPECT_TRUE(Until([&] { return !(answer += ReadAvailable()).empty() || closed_; }));
    EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0u) << answer;
    RunReady();
  }
}

}  // namespace
}  // namespace badgerbridge::http_api
