// SPDX-License-Identifier: Apache-2.0
//
// Scripted peers on ephemeral loopback ports and a proxy in the test process. Everything runs on one
// io_context, and tests wait for conditions instead of fixed times.
#ifndef BADGERBRIDGE_TESTS_PROXY_PROXY_HARNESS_H_
#define BADGERBRIDGE_TESTS_PROXY_PROXY_HARNESS_H_

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "proxy/backend_pool.h"
#include "proxy/clock.h"
#include "proxy/config.h"
#include "proxy/discovery.h"
#include "proxy/endpoint_list_reader.h"
#include "proxy/listener.h"
#include "proxy/proxy.h"
#include "support/port_reservation.h"

namespace badgerbridge::proxy::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// One end of a plain-text TCP connection.
struct Wire : std::enable_shared_from_this<Wire> {
  explicit Wire(tcp::socket connected) : socket(std::move(connected)) {}

  /// Reads until the connection ends.
  void Start() {
    socket.async_read_some(asio::buffer(piece),
                           [self = shared_from_this()](ErrorCode error, std::size_t size) {
                             if (error) {
                               self->closed = true;
                               self->end = error;
                               return;
                             }
                             self->in.append(self->piece.data(), size);
                             if (self->on_data) self->on_data(*self);
                             self->Start();
                           });
  }
  /// Writes all of a text.
  void Send(std::string_view text) {
    ErrorCode ignored;
    asio::write(socket, asio::buffer(text.data(), text.size()), ignored);
  }
  /// Closes in order (FIN).
  void Close() {
    ErrorCode ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
  }
  /// Closes with a reset (RST).
  void Reset() {
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  tcp::socket socket;
  std::array<char, 65536> piece;  ///< buffer of one read
  std::string in;                 ///< bytes that have been read and not been consumed
  std::string owed;               ///< id of a request whose response a script delays
  bool closed = false;            ///< whether the other side has closed it
  ErrorCode end;                  ///< how it was closed: eof or a reset
  std::function<void(Wire&)> on_data;
};

/// Whether a request is complete. Bodies in tests end with "END".
inline bool IsComplete(const std::string& text) {
  if (text.find("\r\n\r\n") == std::string::npos) return false;
  const bool has_body = text.find("Content-Length: ") != std::string::npos &&
                        text.find("Content-Length: 0\r\n") == std::string::npos;
  return !has_body || text.ends_with("END");
}

/// A response.
inline std::string Reply(int status, std::string_view body = "", std::string_view headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + std::string(headers) + "\r\n" + std::string(body);
}

/// A chunk of a response with Transfer-Encoding: chunked.
inline std::string Chunk(const std::string& text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

/// Listens, and calls a script with each complete request.
class Peer {
 public:
  using Script = std::function<void(Wire&)>;

  /// Port 0: any free port.
  Peer(asio::io_context& io, Script script,
       const tcp::endpoint& listen = tcp::endpoint(asio::ip::address_v4::loopback(), 0))
      : port_(io, listen), acceptor_(io, port_.address()), script_(std::move(script)) {
    Accept();
  }
  /// Where it listens.
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  /// Its address as text.
  std::string address() const {
    return endpoint().address().to_string() + ":" + std::to_string(endpoint().port());
  }
  /// Refuses connections from here on.
  void Refuse() { acceptor_.close(); }

  std::vector<std::shared_ptr<Wire>> wires;  ///< all accepted connections
  std::vector<std::string> requests;         ///< all complete requests received

 private:
  void Accept() {
    acceptor_.async_accept([this](ErrorCode error, tcp::socket socket) {
      if (error) return;
      wires.push_back(std::make_shared<Wire>(std::move(socket)));
      wires.back()->on_data = [this](Wire& wire) {
        if (!IsComplete(wire.in)) return;
        requests.push_back(std::exchange(wire.in, {}));
        script_(wire);
      };
      wires.back()->Start();
      Accept();
    });
  }

  badgerbridge::testing::PortReservation port_;
  tcp::acceptor acceptor_;
  Script script_;
};

/// Runs until the condition holds; false if it does not within 20 s.
template <typename Condition>
bool RunUntil(asio::io_context& io, Condition holds) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!holds()) {
    if (std::chrono::steady_clock::now() > limit) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

/// Runs handlers until none is ready.
inline void RunReady(asio::io_context& io) {
  io.restart();
  io.poll();
}

/// An endpoint in discovery's format.
inline std::string EndpointJson(const std::string& name, const std::string& address,
                                const std::string& status = "Ready", int group = 1, double since_ms = 0) {
  return R"({"name":")" + name + R"(","address":")" + address +
         R"(","zone":"ebene","type":"type-a","group":)" + std::to_string(group) + R"(,"status":")" + status +
         R"(","weight":1.0,"since_ms":)" + std::to_string(since_ms) + "}";
}

/// A list in discovery's format.
inline std::string ListJson(int index, bool snapshot, const std::vector<std::string>& endpoints) {
  std::string text = R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" +
                     (snapshot ? "true" : "false") + R"(,"endpoints":[)";
  for (std::size_t i = 0; i < endpoints.size(); ++i) text += (i > 0 ? "," : "") + endpoints[i];
  return text + "]}";
}

/// A configuration in which preview is idempotent, convert has idempotency keys, and certify is not
/// idempotent; deadlines of a second.
inline std::string ConfigJson(const std::vector<std::string>& known, int sockets = 1024,
                              const std::string& tenants = "[]") {
  return R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"00000000000000a5",
"limits":{"cores":1.0,"memory_mb":192,"sockets":)" +
         std::to_string(sockets) + R"(},"known":)" + ListJson(7, true, known) + R"(,"settings":{
"balancers":1,"me":0,"zone":0,"zones":["port louis","ebene"],"kinds":["type-a","type-b"],"tenants":)" +
         tenants + R"(,"periodMs":5.0,"registryMode":"push","classes":[
{"name":"preview","effect":"read_like","group":"all","windowMs":5000.0,"goalTimeMs":500.0,"deadlineMs":1000.0,"worth":1.0},
{"name":"convert","effect":"idempotency_key","group":"cell","windowMs":10000.0,"goalTimeMs":500.0,"deadlineMs":1000.0,"worth":3.0},
{"name":"certify","effect":"non_idempotent","group":"all","windowMs":5000.0,"goalTimeMs":500.0,"deadlineMs":1000.0,"worth":5.0}],
"permissions":{"maxAttempts":4,"connectTimeoutMs":250.0,"connIdleMs":60000.0,"retryAfter":true,"maxRetryAfterMs":600.0},
"rules":{"coldFrom":0.2,"warmUpMs":24000.0,"fallMultiple":2.5,"overloadForMs":3000.0,"drainGraceMs":500.0}}})";
}

/// The parsed ConfigJson().
inline Config TestConfig(const std::vector<std::string>& known, int sockets = 1024,
                         const std::string& tenants = "[]") {
  return ParseConfig(ConfigJson(known, sockets, tenants), [](const char*) { return nullptr; });
}

/// A request of class preview.
inline std::string Get(const std::string& id, const std::string& more = "") {
  return "GET /preview?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id +
         "\r\nX-Service-Class: preview\r\nX-Time-Left-Ms: 900\r\n" + more + "\r\n";
}
/// A request with a body.
inline std::string Post(const std::string& id, const std::string& service_class, const std::string& body,
                        const std::string& more = "") {
  return "POST /" + service_class + "?obj=9 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id +
         "\r\nX-Service-Class: " + service_class + "\r\nX-Time-Left-Ms: 900\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A proxy without discovery and signals.
struct Node {
  Node(asio::io_context& context, const Config& config, ListenerLimits limits = {})
      : io(context),
        backends(io, clock, BackendPool::Limits::From(config)),
        proxy(io, clock, backends, config),
        reader(config),
        listener((ListKnown(config), io), clock, proxy, config, limits) {}

  /// Applies the known backends of a configuration.
  void ListKnown(const Config& config) {
    if (!config.known.is_null())
      proxy.UpdateList(EndpointListKind::kCached, reader.Read(config.known).value());
  }
  /// A new connection of a client.
  std::shared_ptr<Wire> Connect() {
    tcp::socket socket(io);
    socket.connect(listener.address());
    auto wire = std::make_shared<Wire>(std::move(socket));
    wire->Start();
    return wire;
  }
  /// Sends on a new connection and waits until the answer contains `end` or the connection is closed.
  std::string Ask(const std::string& request, const std::string& end = "\r\n\r\n") {
    const auto wire = Connect();
    wire->Send(request);
    EXPECT_TRUE(RunUntil(io, [&] { return wire->closed || wire->in.find(end) != std::string::npos; }))
        << wire->in;
    return wire->in;
  }

  asio::io_context& io;
  ProxyClock clock;
  BackendPool backends;
  Proxy proxy;
  EndpointListReader reader;
  Listener listener;
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_PROXY_HARNESS_H_
