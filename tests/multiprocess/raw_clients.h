// SPDX-License-Identifier: Apache-2.0
//
// Clients that do to a proxy's connections whatever clients may: keep them and come back just when the proxy
// ends one that is at rest, send two or three requests at once, open new ones, and leave at any moment, by a
// close or a reset. They connect to the proxies themselves, not through the relay, so that they know what a
// proxy's machine has accepted, when its end came, and whether it had read what it ended. They repeat only
// what the protocol lets a client repeat.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_RAW_CLIENTS_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_RAW_CLIENTS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "multiprocess/peer_socket.h"
#include "multiprocess/verdict.h"
#include "simulator/distribution.h"
#include "simulator/random.h"

namespace badgerbridge::multiprocess {

class RawClients {
 public:
  struct Class {
    std::string name;
    Idempotency effect = Idempotency::kIdempotent;
    double share = 1;
    double deadline = 1500;        // ms, the longest that a client of this class waits
    simulator::Distribution work;  // ms
  };
  struct Proxy {
    std::string name;
    boost::asio::ip::tcp::endpoint address;
  };
  struct Settings {
    std::string name;  // of its ids
    std::uint64_t seed = 1;
    std::size_t clients = 1;  // each with one connection at a time
    std::vector<Class> classes;
    std::vector<Proxy> proxies;
  };

  // Each request is told once, and so is each that is sent once more.
  RawClients(boost::asio::io_context& io, Settings settings, std::function<void(const Asked&)> on_asked,
             std::function<void(const Crossed&)> on_crossed);
  ~RawClients();
  RawClients(const RawClients&) = delete;
  RawClients& operator=(const RawClients&) = delete;

  void Start();
  void Stop();  // no more requests; those that are out go on
  bool Done() const { return !running_ && working_ == 0; }
  std::uint64_t begun() const { return begun_; }  // requests

 private:
  struct Request;
  struct Connection;
  struct Crossing;
  struct Client;

  boost::asio::awaitable<void> Work(std::shared_ptr<Client> client);
  boost::asio::awaitable<void> Visit(Client& client);
  boost::asio::awaitable<bool> Exchange(Client& client, Connection& connection);
  boost::asio::awaitable<bool> Send(Client& client, Connection& connection);
  boost::asio::awaitable<void> ReadAnswers(Client& client, Connection& connection);
  boost::asio::awaitable<bool> Rest(Client& client, Connection& connection);
  boost::asio::awaitable<void> Watch(Crossing crossing);
  void Draw(Client& client);
  Request NewRequest(Client& client);
  // The request as it goes out now.
  std::string Write(Request* request) const;
  std::string TextOf(const Request& request) const;
  void ReadWhatHasCome(Connection& connection);
  bool TakeAnswer(Connection& connection);
  void End(Client& client, const std::shared_ptr<Connection>& connection);
  void Leave(Client& client, Connection& connection);
  void GiveUp(Connection& connection);
  void Tell(Request& request, Asked::End end);

  boost::asio::io_context& io_;
  Settings settings_;
  std::function<void(const Asked&)> on_asked_;
  std::function<void(const Crossed&)> on_crossed_;
  PeerSockets peers_;
  std::vector<std::shared_ptr<Client>> clients_;
  double share_sum_ = 0;
  std::uint64_t begun_ = 0;
  std::size_t working_ = 0;
  bool running_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_RAW_CLIENTS_H_
