// SPDX-License-Identifier: Apache-2.0
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <optional>

#include "http_api/acceptor.h"
#include "http_api/serve_connection.h"
#include "http_api/server.h"

namespace badgerbridge::http_api {
namespace {

namespace asio = boost::asio;
using Local = asio::local::stream_protocol;
using ErrorCode = boost::system::error_code;

constexpr int kBacklog = 64;
constexpr mode_t kOwnerOnlyUmask = 0177;  // leaves mode 0600
constexpr std::chrono::milliseconds kMaxMinIdle{20};

// Shared by all connections of a server.
struct ServerContext {
  std::vector<uid_t> allowed_uids;
  ServerLimits limits;
  Handler handler;
};

std::runtime_error ListenError(const std::string& path, const std::string& reason) {
  return std::runtime_error("cannot listen on " + path + ": " + reason);
}

// Whether a process accepts connections on the socket at this path.
bool IsListening(asio::io_context& io, const std::string& path) {
  Local::socket socket(io);
  ErrorCode error;
  socket.connect(Local::endpoint(path), error);
  return !error;
}

// The peer's uid from SO_PEERCRED (unix(7)).
std::optional<uid_t> PeerUid(Local::socket& socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  if (getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0) return std::nullopt;
  return peer.uid;
}

bool IsAllowed(uid_t uid, const std::vector<uid_t>& allowed_uids) {
  return uid == 0 || uid == geteuid() ||
         std::find(allowed_uids.begin(), allowed_uids.end(), uid) != allowed_uids.end();
}

// Serves one connection until it ends, if the peer's uid is allowed.
asio::awaitable<void> ServeClient(Local::socket socket, std::shared_ptr<detail::Connection> connection,
                                  std::shared_ptr<const ServerContext> context) {
  const std::optional<uid_t> uid = PeerUid(socket);
  if (!uid || !IsAllowed(*uid, context->allowed_uids)) co_return;
  boost::beast::basic_stream<Local> stream(std::move(socket));
  connection->close = [&stream] { stream.close(); };
  connection->has_unread_bytes = [&stream] { return detail::HasUnreadBytes(stream.socket()); };
  Peer peer{"uid " + std::to_string(*uid), Role::kAdmin};
  co_await detail::ServeConnection(stream, connection, context->limits, context->handler, std::move(peer));
  connection->close = [] {};
}

// Removes the socket file that an ended server has left. Throws if the path holds anything else.
void RemoveStaleSocket(asio::io_context& io, const std::string& path) {
  struct stat status {};
  if (lstat(path.c_str(), &status) != 0) return;
  if (!S_ISSOCK(status.st_mode)) throw ListenError(path, "the path exists and is not a socket");
  if (IsListening(io, path)) throw ListenError(path, "another process is listening on it");
  unlink(path.c_str());
}

void Listen(Local::acceptor& socket, const std::string& path) {
  ErrorCode error;
  socket.open(Local(), error);
  // The umask gives the file mode 0600 when bind() creates it; a later chmod() would leave a window.
  const mode_t previous_mask = umask(kOwnerOnlyUmask);
  if (!error) socket.bind(Local::endpoint(path), error);
  umask(previous_mask);
  if (!error) socket.listen(kBacklog, error);
  if (error) throw ListenError(path, error.message());
}

}  // namespace

struct UnixServer::State {
  std::shared_ptr<detail::Acceptor<Local>> acceptor;
  std::string path;
  ino_t inode = 0;  // of the socket file that this server created
};

UnixServer::UnixServer(asio::io_context& io, const std::string& path, std::vector<uid_t> allowed_uids,
                       ServerLimits limits, Handler handler)
    : state_(std::make_shared<State>()) {
  state_->path = path;
  const auto context = std::make_shared<const ServerContext>(
      ServerContext{std::move(allowed_uids), limits, std::move(handler)});
  state_->acceptor = std::make_shared<detail::Acceptor<Local>>(
      io, limits.max_connections, std::min(limits.min_idle, kMaxMinIdle),
      [context](Local::socket socket, std::shared_ptr<detail::Connection> connection) {
        return ServeClient(std::move(socket), std::move(connection), context);
      });
  RemoveStaleSocket(io, path);
  Listen(state_->acceptor->listening_socket(), path);
  struct stat status {};
  if (lstat(path.c_str(), &status) == 0) state_->inode = status.st_ino;
  state_->acceptor->Start();
}

UnixServer::~UnixServer() {
  state_->acceptor->Close();
  struct stat status {};
  if (lstat(state_->path.c_str(), &status) != 0) return;
  // Another server may have replaced the socket file; only this server's own is removed.
  if (status.st_ino == state_->inode) unlink(state_->path.c_str());
}

std::size_t UnixServer::connections() const { return state_->acceptor->connections(); }

}  // namespace badgerbridge::http_api
