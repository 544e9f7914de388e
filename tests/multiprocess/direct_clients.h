// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Clients that do to a proxy's connections whatever clients may: keep them and come back just when the proxy
/// closes an idle one, pipeline two or three requests, open new ones, and disconnect at any moment, by a
/// close or a reset. They connect to the proxies directly, not through the link proxy, so that they know what
/// a proxy's machine has accepted, when its close came, and whether it had read what it closed over. They
/// repeat only what the protocol lets a client repeat (RFC 9112, section 9.3.1).
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CLIENTS_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CLIENTS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "multiprocess/direct_client_behavior.h"
#include "multiprocess/direct_connection.h"
#include "multiprocess/direct_request.h"
#include "multiprocess/peer_socket.h"

namespace badgerbridge::multiprocess {

/// A proxy as direct clients reach it.
struct DirectClientProxy {
  std::string name;                        ///< Its name.
  boost::asio::ip::tcp::endpoint address;  ///< Where it listens.
};

/// The number of direct clients, and what they send.
struct DirectClientSettings {
  std::string id_prefix;                   ///< Of the requests' ids.
  std::uint64_t seed = 1;                  ///< Of all that is drawn.
  std::size_t clients = 1;                 ///< Each with one connection at a time.
  std::vector<DirectClientClass> classes;  ///< Of the requests.
  std::vector<DirectClientProxy> proxies;  ///< To choose from.
};

/// Some direct clients. For one thread, that of their io_context.
class DirectClients {
 public:
  /// `on_request` is called once for each request, when it is over; `on_close_race` once for each that is
  /// sent a second time.
  DirectClients(boost::asio::io_context& io, DirectClientSettings settings,
                std::function<void(const RequestRecord&)> on_request,
                std::function<void(const CloseRaceRecord&)> on_close_race);
  ~DirectClients();
  DirectClients(const DirectClients&) = delete;
  DirectClients& operator=(const DirectClients&) = delete;

  /// Begins to send.
  void Start();
  /// No more requests; those in flight go on.
  void Stop();
  /// Whether they are stopped and nothing is in flight.
  bool IsDone() const { return !is_running_ && active_coroutines_ == 0; }
  /// All requests so far.
  std::uint64_t requests_started() const { return requests_started_; }

 private:
  struct Client;
  struct CloseRace;
  using ConnectionPtr = std::shared_ptr<DirectConnection>;

  boost::asio::awaitable<void> Run(std::shared_ptr<Client> client);
  boost::asio::awaitable<void> UseConnection(Client& client);
  boost::asio::awaitable<bool> Exchange(Client& client, DirectConnection& connection);
  boost::asio::awaitable<bool> Send(Client& client, DirectConnection& connection,
                                    const PlannedExchange& exchange);
  boost::asio::awaitable<void> ReadAnswers(DirectConnection& connection, const PlannedExchange& exchange);
  boost::asio::awaitable<bool> StayIdle(Client& client, DirectConnection& connection);
  boost::asio::awaitable<void> WatchUnread(CloseRace race);

  DirectRequest NewRequest(Client& client);
  std::size_t DrawClass(simulator::Random& random) const;
  bool WriteBatch(DirectConnection& connection, std::deque<DirectRequest>& batch, std::size_t count,
                  bool adds_part_request);
  void ExpireResends(Client& client);
  void HandleClosedByProxy(Client& client, const ConnectionPtr& connection);
  void Disconnect(DirectConnection& connection, const PlannedDisconnect& disconnect);
  void GiveUp(DirectConnection& connection);
  void Finish(DirectRequest& request, RequestOutcome outcome);

  boost::asio::io_context& io_;
  DirectClientSettings settings_;
  std::function<void(const RequestRecord&)> on_request_;
  std::function<void(const CloseRaceRecord&)> on_close_race_;
  PeerSocketInspector peer_sockets_;
  std::vector<std::shared_ptr<Client>> clients_;
  double share_sum_ = 0;
  std::uint64_t requests_started_ = 0;
  std::size_t active_coroutines_ = 0;
  bool is_running_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CLIENTS_H_
