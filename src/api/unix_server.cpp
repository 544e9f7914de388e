// SPDX-License-Identifier: Apache-2.0
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstring>

#include "api/serve.h"
#include "api/server.h"

namespace badgerbridge::api {
namespace {

namespace asio = boost::asio;
using Local = asio::local::stream_protocol;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds kRoomPause{5}, kAcceptPause{50}, kUnixYoung{20};

// Somebody answers on the socket at this path.
bool Answers(asio::io_context& io, const std::string& path) {
  Local::socket socket(io);
  ErrorCode error;
  socket.connect(Local::endpoint(path), error);
  return !error;
}

}  // namespace

struct UnixServer::State : std::enable_shared_from_this<State> {
  State(asio::io_context& context, std::string p, std::vector<uid_t> a, ServerLimits l, Handler h)
      : io(context),
        path(std::move(p)),
        allow(std::move(a)),
        limits(l),
        handler(std::move(h)),
        acceptor(context),
        pause(context) {}

  void Bind() {
    const auto fail = [this](const std::string& why) {
      return std::runtime_error("cannot listen on " + path + ": " + why);
    };
    struct stat about {};
    if (lstat(path.c_str(), &about) == 0) {
      if (!S_ISSOCK(about.st_mode)) throw fail("something that is no socket is there");
      if (Answers(io, path)) throw fail("another process answers there");
      unlink(path.c_str());
    }
    ErrorCode error;
    acceptor.open(Local(), error);
    // The mode from the first moment on: bind creates the file with what the mask leaves.
    const mode_t mask = umask(0177);
    if (!error) acceptor.bind(Local::endpoint(path), error);
    umask(mask);
    if (!error) acceptor.listen(64, error);
    if (error) throw fail(error.message());
    struct stat made {};
    if (lstat(path.c_str(), &made) == 0) inode = made.st_ino;
  }

  bool Allowed(Local::socket& socket, uid_t* uid) const {
    ucred peer{};
    socklen_t size = sizeof peer;
    if (getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0) return false;
    *uid = peer.uid;
    return peer.uid == 0 || peer.uid == geteuid() ||
           std::find(allow.begin(), allow.end(), peer.uid) != allow.end();
  }

  void AcceptAfter(std::chrono::milliseconds wait) {
    pause.expires_after(wait);
    pause.async_wait([self = shared_from_this()](ErrorCode error) {
      if (!error) self->Accept();
    });
  }

  void Accept() {
    if (closed) return;
    if (connections.size() >= limits.connections &&
        !detail::MakeRoom(connections, std::min(limits.young, kUnixYoung)))
      return AcceptAfter(kRoomPause);
    acceptor.async_accept([self = shared_from_this()](ErrorCode error, Local::socket socket) {
      if (self->closed || error == asio::error::operation_aborted) return;
      if (error) return self->AcceptAfter(kAcceptPause);
      uid_t uid = 0;
      if (self->Allowed(socket, &uid)) {
        asio::co_spawn(self->io, Run(self, std::move(socket), uid), asio::detached);
      }
      self->Accept();
    });
  }

  static asio::awaitable<void> Run(std::shared_ptr<State> self, Local::socket socket, uid_t uid) {
    boost::beast::basic_stream<Local> stream(std::move(socket));
    auto connection = std::make_shared<detail::Connection>();
    connection->close = [&stream] { stream.close(); };
    self->connections.push_back(connection);
    Peer peer{"uid " + std::to_string(uid), Role::kAdmin};
    try {
      co_await detail::Serve(stream, connection, self->limits, self->handler, std::move(peer));
    } catch (const std::exception& error) {
      std::cerr << "a control connection failed: " << error.what() << '\n';
    }
    connection->close = [] {};
    self->connections.remove(connection);
  }

  asio::io_context& io;
  const std::string path;
  const std::vector<uid_t> allow;
  const ServerLimits limits;
  const Handler handler;
  Local::acceptor acceptor;
  asio::steady_timer pause;
  detail::Connections connections;
  ino_t inode = 0;
  bool closed = false;
};

UnixServer::UnixServer(asio::io_context& io, const std::string& path, std::vector<uid_t> allow,
                       ServerLimits limits, Handler handler)
    : state_(std::make_shared<State>(io, path, std::move(allow), limits, std::move(handler))) {
  state_->Bind();
  state_->Accept();
}

UnixServer::~UnixServer() {
  state_->closed = true;
  ErrorCode ignored;
  state_->acceptor.close(ignored);
  state_->pause.cancel();
  for (const auto& connection : state_->connections) connection->close();
  struct stat about {};  // not the file of one that has taken the path over
  if (lstat(state_->path.c_str(), &about) == 0 && about.st_ino == state_->inode) unlink(state_->path.c_str());
}

std::size_t UnixServer::connections() const { return state_->connections.size(); }

}  // namespace badgerbridge::api
