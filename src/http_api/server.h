// SPDX-License-Identifier: Apache-2.0
//
// A small HTTP/1.1 server for control APIs, on the caller's io_context. Everything that a peer can make it
// hold is bounded: connections, header, body, and the time for each. At the limit of connections, one that
// has sent no whole request yet, else one that is idle, makes room for the next.
#ifndef BADGERBRIDGE_HTTP_API_SERVER_H_
#define BADGERBRIDGE_HTTP_API_SERVER_H_

#include <sys/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http_api/message.h"

namespace badgerbridge::http_api {

// Called on the io_context, by several connections in turn; what it throws is answered 500.
using Handler = std::function<boost::asio::awaitable<Response>(Request, Peer)>;

struct ServerLimits {
  std::size_t connections = 8;
  std::size_t header = 8 << 10, body = 64 << 10;    // bytes
  std::chrono::milliseconds request_timeout{2000};  // to be whole; the answer, to be read
  std::chrono::milliseconds idle_timeout{30000};
  // No connection makes room for another sooner than this: long enough for its request to come. Servers on
  // Unix sockets, whose clients' first bytes are there at once, take less.
  std::chrono::milliseconds young{250};
};

// A Unix domain socket of mode 0600. A peer's uid (SO_PEERCRED, unix(7)) must be this process's own, root's
// or one of `allow`; each such peer is an admin. Others are closed without an answer.
class UnixServer {
 public:
  // Throws std::runtime_error, one line, if the path can't be bound. The file of a server that no longer runs
  // is replaced; one that somebody answers on is not.
  UnixServer(boost::asio::io_context& io, const std::string& path, std::vector<uid_t> allow,
             ServerLimits limits, Handler handler);
  ~UnixServer();  // ends its connections, removes the file
  UnixServer(const UnixServer&) = delete;
  UnixServer& operator=(const UnixServer&) = delete;

  std::size_t connections() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_SERVER_H_
