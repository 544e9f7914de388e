// SPDX-License-Identifier: Apache-2.0
//
// The unread bytes that the kernel reports for the other end of a connection.
#include "multiprocess/peer_socket.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace badgerbridge::multiprocess {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class PeerSocketTest : public ::testing::Test {
 protected:
  PeerSocketTest() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}), near_(io_), far_(io_) {
    near_.connect(acceptor_.local_endpoint());
    near_address_ = near_.local_endpoint();
    far_address_ = near_.remote_endpoint();
  }
  // Of the far end.
  std::optional<std::size_t> Unread() { return inspector_.UnreadBytes(far_address_, near_address_); }
  // From the near end.
  void Send(const std::string& text) { asio::write(near_, asio::buffer(text)); }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  tcp::socket near_;
  tcp::socket far_;
  tcp::endpoint near_address_;
  tcp::endpoint far_address_;
  PeerSocketInspector inspector_;
};

TEST_F(PeerSocketTest, UnreadBytesAreCounted) {
  acceptor_.accept(far_);
  EXPECT_EQ(Unread(), 0u);
  Send("request");
  EXPECT_EQ(Unread(), 7u);
  std::array<char, 3> part{};
  asio::read(far_, asio::buffer(part));
  EXPECT_EQ(Unread(), 4u);
}

TEST_F(PeerSocketTest, BytesOfAConnectionThatIsNotAcceptedYetAreCounted) {
  Send("request");
  EXPECT_EQ(Unread(), 7u);
}

TEST_F(PeerSocketTest, BytesAfterAHalfCloseOfTheFarEndAreCounted) {
  acceptor_.accept(far_);
  far_.shutdown(tcp::socket::shutdown_send);
  Send("request");
  EXPECT_EQ(Unread(), 7u);
}

// Its address is still that of a listening socket.
TEST_F(PeerSocketTest, AClosedSocketIsNotFound) {
  acceptor_.accept(far_);
  far_.set_option(asio::socket_base::linger(true, 0));
  far_.close();
  EXPECT_EQ(Unread(), std::nullopt);
}

}  // namespace
}  // namespace badgerbridge::multiprocess
