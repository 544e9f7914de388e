// SPDX-License-Identifier: Apache-2.0
//
// Carries out what Registration decides, over etcd::Client.
#ifndef BADGERBRIDGE_MEMBERSHIP_REGISTRAR_H_
#define BADGERBRIDGE_MEMBERSHIP_REGISTRAR_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "etcd/client.h"
#include "membership/registration.h"

namespace badgerbridge::membership {

class Registrar {
 public:
  // `told`: called after each step, from within Run.
  Registrar(boost::asio::io_context& io, etcd::ClientSettings client, RegistrationSettings settings,
            std::uint64_t seed, std::function<void(const Registration&)> told);

  // Until the registration has ended; then its why() holds.
  boost::asio::awaitable<void> Run();
  void Stop();
  const Registration& registration() const { return registration_; }

 private:
  boost::asio::awaitable<void> Carry(Registration::Action action);
  template <typename Request, typename Response>
  boost::asio::awaitable<void> Ask(const char* method, Request request,
                                   void (Registration::*told)(Time, const etcd::Status&, const Response&));

  etcd::Client client_;
  Registration registration_;
  std::chrono::milliseconds timeout_;
  std::function<void(const Registration&)> told_;
  boost::asio::steady_timer timer_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REGISTRAR_H_
