// SPDX-License-Identifier: Apache-2.0
//
// A connection of the control API that makes room for others in the turn in which its request came.
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
constexpr milliseconds kYoung{20};  // of a server on a Unix socket

class ApiRaceTest : public badgerbridge::testing::TurnTest {
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
  // All that the client can read by now.
  std::string Take() {
    std::string text(4096, '\0');
    ErrorCode error;
    client_.non_blocking(true, error);
    text.resize(client_.read_some(asio::buffer(text), error));
    closed_ = closed_ || error == asio::error::eof || error == asio::error::connection_reset;
    return text;
  }
  void Ask() { asio::write(client_, asio::buffer(kRequest, sizeof kRequest - 1)); }

  const std::string path_;
  std::optional<UnixServer> server_;
  Local::socket client_{io_};
  bool closed_ = false;
};

TEST_F(ApiRaceTest, AConnectionWhoseRequestIsUnreadDoesNotMakeRoom) {
  AdvanceAndRun(kYoung - milliseconds(5));
  TimersAheadOf([&] { Ask(); }, milliseconds(5));
  std::string answer;
  EXPECT_TRUE(Until([&] { return !(answer += Take()).empty() || closed_; }));
  EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0u) << answer;
}

TEST_F(ApiRaceTest, AConnectionThatHasAskedAndAsksAgainDoesNotMakeRoom) {
  Ask();
  RunReady();
  EXPECT_EQ(Take().rfind("HTTP/1.1 200", 0), 0u);
  AdvanceAndRun(kYoung - milliseconds(5));
  TimersAheadOf([&] { Ask(); }, milliseconds(5));
  std::string answer;
  EXPECT_TRUE(Until([&] { return !(answer += Take()).empty() || closed_; }));
  EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0u) << answer;
}

TEST_F(ApiRaceTest, AConnectionWithoutARequestMakesRoom) {
  EXPECT_TRUE(Until([&] {
    Take();
    return closed_;
  }));
}

// Beast's stream: an expiry that is queued when the read completes is of an earlier tick, and does nothing.
TEST_F(ApiRaceTest, ARequestInTheTurnInWhichTheTimeForItIsOverIsAnswered) {
  server_.reset();
  ServerLimits limits;
  server_.emplace(io_, path_, std::vector<uid_t>{}, limits, [](Request, Peer) -> asio::awaitable<Response> {
    co_return Response{200, boost::json::object{}};
  });
  client_ = Local::socket(io_);
  client_.connect(Local::endpoint(path_));
  RunReady();
  for (int request = 0; request < 3; ++request) {
    Ask();
    clock_.Advance(request == 0 ? limits.request_timeout : limits.idle_timeout);
    std::string answer;
    EXPECT_TRUE(Until([&] { return !(answer += Take()).empty() || closed_; }));
    EXPECT_EQ(answer.rfind("HTTP/1.1 200", 0), 0u) << answer;
    RunReady();
  }
}

}  // namespace
}  // namespace badgerbridge::http_api
