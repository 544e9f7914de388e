// SPDX-License-Identifier: Apache-2.0
#include "etcd/transport.h"

#include <boost/asio/ssl.hpp>

namespace badgerbridge::etcd {

using boost::asio::ip::tcp;

Transport::Transport(tcp::socket socket, boost::asio::ssl::context* tls) {
  if (tls) {
    tls_.emplace(std::move(socket), *tls);
  } else {
    plain_.emplace(std::move(socket));
  }
}

void Transport::DisableNagle() {
  boost::system::error_code ignored;
  socket().set_option(tcp::no_delay(true), ignored);
}

void Transport::Close() {
  boost::system::error_code ignored;
  socket().close(ignored);
}

}  // namespace badgerbridge::etcd
