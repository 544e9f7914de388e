// SPDX-License-Identifier: Apache-2.0
//
// What clients with sockets of their own say of servers that answer, that end connections, and that read what
// they do not answer.
#include "multiprocess/raw_clients.h"

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

// A server that does with each connection what the test says.
class Server {
 public:
  struct Peer : std::enable_shared_from_this<Peer> {
    explicit Peer(tcp::socket s) : socket(std::move(s)) {}
    // Calls once with the ids of the requests that are read whole.
    void Read(std::function<void(std::vector<std::string>)> told) {
      socket.async_read_some(asio::buffer(piece),
                             [self = shared_from_this(), told](const Error& error, std::size_t n) {
                               if (!error) told(IdsIn(std::string(self->piece.data(), n)));
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
    // Ends its sending side, and holds the socket.
    void End() {
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
  std::vector<std::shared_ptr<Peer>> peers_;  // held to the end
};

class RawClientsTest : public ::testing::Test {
 protected:
  using Peer = std::shared_ptr<Server::Peer>;

  void Serve(std::function<void(Peer)> serve) {
    server_ = std::make_unique<Server>(io_, std::move(serve));
    RawClients::Settings settings;
    settings.name = "r";
    settings.clients = 8;
    settings.classes = {{"preview", Idempotency::kIdempotent, 1, 1500, {}}};
    settings.proxies = {{"n1", server_->address()}};
    clients_ = std::make_unique<RawClients>(
        io_, std::move(settings), [this](const Asked& one) { asked_.push_back(one); },
        [this](const Crossed& one) { crossed_.push_back(one); });
    clients_->Start();
  }
  // False if it does not hold within 20 s.
  bool RunUntil(const std::function<bool()>& holds) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds() && std::chrono::steady_clock::now() < until) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(5));
    }
    return holds();
  }
  void Finish() {
    clients_->Stop();
    EXPECT_TRUE(RunUntil([&] { return clients_->Done(); }));
  }
  std::size_t Count(Asked::End end) const {
    return static_cast<std::size_t>(
        std::count_if(asked_.begin(), asked_.end(), [&](const Asked& one) { return one.end == end; }));
  }
  static void AnswerAll(const Peer& peer) {
    peer->Read([peer](const std::vector<std::string>& ids) {
      for (const std::string& id : ids) peer->Answer(id);
      AnswerAll(peer);
    });
  }

  asio::io_context io_;
  std::unique_ptr<Server> server_;
  std::unique_ptr<RawClients> clients_;
  std::vector<Asked> asked_;
  std::vector<Crossed> crossed_;
};

TEST_F(RawClientsTest, EveryRequestIsAccountedForOnce) {
  Serve([](const Peer& peer) { AnswerAll(peer); });
  EXPECT_TRUE(RunUntil([&] { return Count(Asked::End::kServed) >= 50 && Count(Asked::End::kLeft) >= 1; }));
  Finish();
  EXPECT_EQ(asked_.size(), clients_->begun());
  EXPECT_EQ(Count(Asked::End::kServed) + Count(Asked::End::kLeft), asked_.size());
  EXPECT_TRUE(crossed_.empty());
  for (const Asked& one : asked_) EXPECT_FALSE(one.doubled) << one.id;
}

TEST_F(RawClientsTest, AnEndOnANewConnectionIsNotRepeated) {
  Serve([](const Peer& peer) { peer->Read([peer](const auto&) { peer->End(); }); });
  EXPECT_TRUE(RunUntil([&] { return Count(Asked::End::kLost) >= 5; }));
  Finish();
  EXPECT_TRUE(crossed_.empty());
  for (const Asked& one : asked_) EXPECT_TRUE(one.end == Asked::End::kLeft || one.ended_by_peer) << one.id;
}

// Answers what comes first, reads the next, and ends without an answer to it.
TEST_F(RawClientsTest, WhatIsReadAndThenEndedIsToldAsRead) {
  Serve([](const Peer& peer) {
    peer->Read([peer](const std::vector<std::string>& ids) {
      for (const std::string& id : ids) peer->Answer(id);
      peer->Read([peer](const auto&) { peer->End(); });
    });
  });
  EXPECT_TRUE(RunUntil([&] { return crossed_.size() >= 3; }));
  Finish();
  // Of two that were written one after another it has read the first.
  for (std::size_t i = 0; i < crossed_.size(); ++i)
    EXPECT_TRUE(!crossed_[i].unread || (i > 0 && crossed_[i - 1].ended == crossed_[i].ended))
        << crossed_[i].id;
}

// The same, but what comes next stays unread, first behind the end and then behind the close.
TEST_F(RawClientsTest, WhatStaysUnreadIsToldAsUnread) {
  Serve([](const Peer& peer) {
    peer->Read([peer](const std::vector<std::string>& ids) {
      for (const std::string& id : ids) peer->Answer(id);
      peer->socket.async_wait(tcp::socket::wait_read, [peer](const Error&) {
        peer->End();
        const auto linger =
            std::make_shared<asio::steady_timer>(peer->socket.get_executor(), std::chrono::milliseconds(50));
        linger->async_wait([peer, linger](const Error&) { peer->socket.close(); });
      });
    });
  });
  EXPECT_TRUE(RunUntil([&] { return crossed_.size() >= 3; }));
  Finish();
  for (const Crossed& one : crossed_) EXPECT_TRUE(one.unread) << one.id;
}

// Its end comes while the request is unread, and it reads it a while later.
TEST_F(RawClientsTest, WhatIsReadBehindTheEndIsToldAsRead) {
  Serve([](const Peer& peer) {
    peer->Read([peer](const std::vector<std::string>& ids) {
      for (const std::string& id : ids) peer->Answer(id);
      peer->socket.async_wait(tcp::socket::wait_read, [peer](const Error&) {
        peer->End();
        const auto later =
            std::make_shared<asio::steady_timer>(peer->socket.get_executor(), std::chrono::milliseconds(200));
        later->async_wait([peer, later](const Error&) { peer->Read([peer](const auto&) {}); });
      });
    });
  });
  EXPECT_TRUE(RunUntil([&] { return crossed_.size() >= 3; }));
  Finish();
  for (const Crossed& one : crossed_) EXPECT_FALSE(one.unread) << one.id;
}

}  // namespace
}  // namespace badgerbridge::multiprocess
