// SPDX-License-Identifier: Apache-2.0
//
// The ports of stand-in servers that a test stops and starts again.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "http_api/address.h"
#include "standins/backends.h"
#include "standins/discovery.h"
#include "standins/etcd.h"

namespace badgerbridge::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against a stopped server's port going to another test, whose server would answer the clients of this
// one.
class ServerPortsTest : public ::testing::Test {
 protected:
  /// Whether somebody else could listen there.
  bool IsFree(const tcp::endpoint& address) {
    tcp::socket other(io, address.protocol());
    boost::system::error_code error;
    other.bind(address, error);
    return !error;
  }
  bool IsFree(const std::string& address) { return IsFree(http_api::ParseAddress(address).value()); }
  /// The result of a connect to it.
  boost::system::error_code Connect(const tcp::endpoint& address) {
    tcp::socket client(io);
    boost::system::error_code error;
    client.connect(address, error);
    return error;
  }

  asio::io_context io{1};
};

TEST_F(ServerPortsTest, AStoppedEtcdMemberKeepsItsPortAndRefusesConnections) {
  Etcd etcd(io, {});
  const tcp::endpoint address = etcd.address(0);
  etcd.Down(0);
  EXPECT_FALSE(IsFree(address));
  EXPECT_EQ(Connect(address), asio::error::connection_refused);
  etcd.Up(0);
  EXPECT_EQ(etcd.address(0), address);
  EXPECT_FALSE(Connect(address));
}

TEST_F(ServerPortsTest, AStoppedDiscoveryKeepsItsPort) {
  Discovery discovery(io);
  const std::string address = discovery.address();
  discovery.Down();
  EXPECT_FALSE(IsFree(address));
  discovery.Up();
  EXPECT_EQ(discovery.address(), address);
}

TEST_F(ServerPortsTest, AVanishedBackendKeepsItsPort) {
  Ledger ledger;
  Backend backend(io, {}, ledger);
  const std::string address = backend.address();
  backend.Vanish();
  EXPECT_FALSE(IsFree(address));
  backend.Return();
  EXPECT_EQ(backend.address(), address);
}

}  // namespace
}  // namespace badgerbridge::standins
