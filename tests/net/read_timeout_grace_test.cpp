// SPDX-License-Identifier: Apache-2.0
#include "net/read_timeout_grace.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace badgerbridge::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kExpectedPostponements = 20;

class ReadTimeoutGraceTest : public ::testing::Test {
 protected:
  ReadTimeoutGraceTest() {
    tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
    client_.connect(acceptor.local_endpoint());
    acceptor.accept(server_);
  }

  // Sends one byte to server_ and waits until it can be read.
  void SendByte() {
    asio::write(client_, asio::buffer("x", 1));
    server_.wait(tcp::socket::wait_read);
  }
  void ReceiveByte() {
    char byte = 0;
    asio::read(server_, asio::buffer(&byte, 1));
  }

  asio::io_context io_;
  tcp::socket client_{io_};
  tcp::socket server_{io_};
  ReadTimeoutGrace grace_;
};

TEST_F(ReadTimeoutGraceTest, DoesNotPostponeWithoutUnreadBytes) {
  EXPECT_FALSE(grace_.ShouldPostpone(server_));
}

TEST_F(ReadTimeoutGraceTest, PostponesWhileBytesAreUnread) {
  SendByte();
  EXPECT_TRUE(grace_.ShouldPostpone(server_));
  EXPECT_TRUE(grace_.ShouldPostpone(server_));
  ReceiveByte();
  EXPECT_FALSE(grace_.ShouldPostpone(server_));
}

TEST_F(ReadTimeoutGraceTest, StopsPostponingAfterTheLimitWhileBytesAreUnread) {
  SendByte();
  for (int i = 0; i < kExpectedPostponements; ++i) EXPECT_TRUE(grace_.ShouldPostpone(server_)) << i;
  EXPECT_FALSE(grace_.ShouldPostpone(server_));
  EXPECT_TRUE(grace_.ShouldPostpone(server_));  // the count of postponements starts again
}

}  // namespace
}  // namespace badgerbridge::net
