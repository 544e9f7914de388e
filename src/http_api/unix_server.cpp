// SPDX-License-Identifier: Apache-2.0
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <optional>

#include "http_api/serve.h"
#include "http_api/server.h"

namespace badgerbridge::http_api {
namespace {

namespace asio = boost::asio;
using Local = asio::local::stream_protocol;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds kUnixYoung{20};

// Somebody answers on the socket at this path.
bool Answers(asio::io_context& io, const std::string& path) {
  Local::socket socket(io);
  ErrorCode error;
  socket.connect(Local::endpoint(path), error);
  return !error;
}

// SO_PEERCRED, unix(7).
std::optional<uid_t> PeerUid(Local::socket& socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  if (getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0) return std::nullopt;
  return peer.uid;
}

}  // namespace

struct UnixServer::State {
  std::shared_ptr<detail::Acceptor<Local>> acceptor;
  std::string path;
  ino_t inode = 0;  // of the file that this server made there
};

UnixServer::UnixServer(asio::io_context& io, const std::string& path, std::vector<uid_t> allow,
                       ServerLimits limits, Handler handler)
    : state_(std::make_shared<State>()) {
  state_->path = path;
  state_->acceptor = std::make_shared<detail::Acceptor<Local>>(
      io, limits.connections, std::min(limits.young, kUnixYoung),
      [allow = std::move(allow), limits, handler = std::move(handler)](
          Local::socket socket, std::shared_ptr<detail::Connection> connection) -> asio::awaitable<void> {
        const auto uid = PeerUid(socket);
        const bool allowed = uid && (*uid == 0 || *uid == geteuid() ||
                                     std::find(allow.begin(), allow.end(), *uid) != allow.end());
        if (!allowed) co_return;
        boost::beast::basic_stream<Local> stream(std::move(socket));
        connection->close = [&stream] { stream.close(); };
        connection->has_unread = [&stream] { return detail::HasUnread(stream.socket()); };
        Peer peer{"uid " + std::to_string(*uid), Role::kAdmin};
        co_await detail::Serve(stream, connection, limits, handler, std::move(peer));
        connection->close = [] {};
      });
  const auto fail = [&path](const std::string& why) {
    return std::runtime_error("cannot listen on " + path + ": " + why);
  };
  struct stat about {};
  if (lstat(path.c_str(), &about) == 0) {
    if (!S_ISSOCK(about.st_mode)) throw fail("something that is no socket is there");
    if (Answers(io, path)) throw fail("another process answers there");
    unlink(path.c_str());
  }
  auto& acceptor = state_->acceptor->socket();
  ErrorCode error;
  acceptor.open(Local(), error);
  // The mode from the first moment on: bind creates the file with what the mask leaves.
  const mode_t mask = umask(0177);
  if (!error) acceptor.bind(Local::endpoint(path), error);
  umask(mask);
  if (!error) acceptor.listen(64, error);
  if (error) throw fail(error.message());
  struct stat made {};
  if (lstat(path.c_str(), &made) == 0) state_->inode = made.st_ino;
  state_->acceptor->Start();
}

UnixServer::~UnixServer() {
  state_->acceptor->Close();
  struct stat about {};  // not the file of one that has taken the path over
  if (lstat(state_->path.c_str(), &about) == 0 && about.st_ino == state_->inode) unlink(state_->path.c_str());
}

std::size_t UnixServer::connections() const { return state_->acceptor->connections(); }

}  // namespace badgerbridge::http_api
