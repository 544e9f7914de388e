// SPDX-License-Identifier: Apache-2.0
//
// What direct clients record of servers that answer, that close connections, and that read requests without
// answering them.
#include "multiprocess/direct_clients.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace badgerbridge::multiprocess {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

// A server that serves each connection as the test says.
class Server {
 public:
  // A connection, from the server's side.
  struct Peer : std::enable_shared_from_this<Peer> {
    explicit Peer(tcp::socket accepted) : socket(std::move(accepted)) {}

    // Reads once, and calls with the ids of the requests that it has read.
    void Read(std::function<void(std::vector<std::string>)> on_requests) {
      socket.async_read_some(asio::buffer(piece),
                             [self = shared_from_this(), on_requests](const Error& error, std::size_t size) {
                               if (!error) on_requests(IdsIn(std::string(self->piece.data(), size)));
                             });
    }

    void Answer(const std::string& id) {
      const std::string body = "converted " + id + " by s\n";
      Error ignored;
      asio::write(socket,
                  asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                               "\r\n\r\n" + body),
                  ignored);
    }

    // Ends its sending side, and keeps the socket.
    void HalfClose() {
      Error ignored;
      socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    static std::vector<std::string> IdsIn(const std::string& text) {
      const std::string name = "X-Correlation-Id: ";
      std::vector<std::string> ids;
      for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
        const std::size_t from = at + name.size();
        ids.push_back(text.substr(from, text.find('\r', from) - from));
      }
      return ids;
    }

    tcp::socket socket;
    std::array<char, 16384> piece{};
  };

  Server(asio::io_context& io, std::function<void(std::shared_ptr<Peer>)> serve)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), serve_(std::move(serve)) {
    Accept();
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  void Accept() {
    acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
      if (error) return;
      peers_.push_back(std::make_shared<Peer>(std::move(socket)));
      serve_(peers_.back());
      Accept();
    });
  }
  tcp::acceptor acceptor_;
  std::function<void(std::shared_ptr<Peer>)> serve_;
  std::vector<std::shared_ptr<Peer>> peers_;  // kept to the end
};

class DirectClientsTest : public ::testing::Test {
 protected:
  using Peer = std::shared_ptr<Server::Peer>;

  // Starts a server, and eight clients of it.
  void Serve(std::function<void(Peer)> serve) {
    server_ = std::make_unique<Server>(io_, std::move(serve));
    DirectClientSettings settings;
    settings.id_prefix = "r";
    settings.clients = 8;
    settings.classes = {{"preview", Idempotency::kIdempotent, 1, 1500, {}}};
    settings.proxies = {{"n1", server_->address()}};
    clients_ = std::make_unique<DirectClients>(
        io_, std::move(settings), [this](const RequestRecord& request) { requests_.push_back(request); },
        [this](const CloseRaceRecord& race) { close_races_.push_back(race); });
    clients_->Start();
  }

  // Runs the io_context; false if it does not hold within 20 s.
  bool RunUntil(const std::function<bool()>& holds) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds() && std::chrono::steady_clock::now() < deadline) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(5));
    }
    return holds();
  }

  // Stops the clients, and waits until nothing is in flight.
  void Finish() {
    clients_->Stop();
    EXPECT_TRUE(RunUntil([&] { return clients_->IsDone(); }));
  }

  std::size_t Count(RequestOutcome outcome) const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [&](const RequestRecord& request) { return request.outcome == outcome; }));
  }

  // Reads and answers until the connection ends.
  static void AnswerAll(const Peer& peer) {
    peer->Read([peer](const std::vector<std::string>& ids) {
      for (const std::string& id : ids) peer->Answer(id);
      AnswerAll(peer);
    });
  }

  asio::io_context io_;
  std::unique_ptr<Server> server_;
  std::unique_ptr<DirectClients> clients_;
  std::vector<RequestRecord> requests_;
  std::vector<CloseRaceRecord> close_races_;
};

TEST_F(DirectClientsTest, EveryRequestIsRecordedOnce) {
  Serve([](const Peer& peer) { AnswerAll(peer); });
  EXPECT_TRUE(RunUntil(
      [&] { return Count(RequestOutcome::kServed) >= 50 && Count(RequestOutcome::kCancelled) >= 1; }));
  Finish();
  EXPECT_EQ(requests_.size(), clients_->requests_started());
  EXPECT_EQ(Count(RequestOutcome::kServed) + Count(RequestOutcome::kCancelled), requests_.size());
  EXPECT_TRUE(close_races_.empty());
  for (const RequestRecord& request : requests_) EXPECT_FALSE(request.has_wrong_response) << request.id;
}

TEST_F(DirectClientsTest, ARequestOnANewConnectionIsNotResent) {
  Serve([](const Peer& peer) { peer->Read([peer](const auto&) { peer->HalfClose(); }); });
  EXPECT_TRUE(RunUntil([&] { return Count(RequestOutcome::kLost) >= 5; }));
  Finish();
  EXPECT_TRUE(close_races_.empty());
  for (const RequestRecord& request : requests_)
    EXPECT_TRUE(request.outcome == RequestOutcome::kCancelled || request.closed_by_peer) << request.id;
}

// The server answers the first request, reads the next, and closes without an answer to it.
TEST_F(DirectClientsTest, ARequestReadBeforeTheCloseIsRecordedAsRead) {
  Serve([](const Peer& peer) {
    peer->Read([peer](const std::vector<std::string>& ids) {
      for (const std::string& id : ids) peer->Answer(id);
      peer->Read([peer](const auto&) { peer->HalfClose(); });
    });
  });
  EXPECT_TRUE(RunUntil([&] { return close_races_.size() >= 3; }));
  Finish();
  // Of two that were written one after another it may have read the first alone.
  for (std::size_t i = 0; i < close_races_.size(); ++i)
    EXPECT_TRUE(!close_races_[i].is_unread ||
                (i > 0 && close_races_[i - 1].close_seen_at_ms == close_races_[i].close_seen_at_ms))
        << close_races_[i].id;
}

// The same, but the next request stays unread, first after the half close and then after the close.
TEST_F(DirectClientsTest, ARequestThatStaysUnreadIsRecordedAsUnread) {
  Serve([](const Peer& peer) {
    peer->Read([peer](const std::vector<std::string>& ids) {
      for (const std::string& id : ids) peer->Answer(id);
      peer->socket.async_wait(tcp::socket::wait_read, [peer](const Error&) {
        peer->HalfClose();
        const auto linger =
            std::make_shared<asio::steady_timer>(peer->socket.get_executor(), std::chrono::milliseconds(50));
        linger->async_wait([peer, linger](const Error&) { peer->socket.close(); });
      });
    });
  });
  EXPECT_TRUE(RunUntil([&] { return close_races_.size() >= 3; }));
  Finish();
  for (const CloseRaceRecord& race : close_races_) EXPECT_TRUE(race.is_unread) << race.id;
}

// The server half closes while the request is unread, and reads it a while later.
TEST_F(DirectClientsTest, ARequestReadAfterTheHalfCloseIsRecordedAsRead) {
  Serve([](const Peer& peer) {
    peer->Read([peer](const std::vector<std::string>& ids) {
      for (const std::string& id : ids) peer->Answer(id);
      peer->socket.async_wait(tcp::socket::wait_read, [peer](const Error&) {
        peer->HalfClose();
        const auto later =
            std::make_shared<asio::steady_timer>(peer->socket.get_executor(), std::chrono::milliseconds(200));
        later->async_wait([peer, later](const Error&) { peer->Read([peer](const auto&) {}); });
      });
    });
  });
  EXPECT_TRUE(RunUntil([&] { return close_races_.size() >= 3; }));
  Finish();
  for (const CloseRaceRecord& race : close_races_) EXPECT_FALSE(race.is_unread) << race.id;
}

}  // namespace
}  // namespace badgerbridge::multiprocess
