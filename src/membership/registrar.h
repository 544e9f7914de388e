// SPDX-License-Identifier: Apache-2.0

/// @file
/// Executes the calls of a Registration with an etcd::Client.
#ifndef BADGERBRIDGE_MEMBERSHIP_REGISTRAR_H_
#define BADGERBRIDGE_MEMBERSHIP_REGISTRAR_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>

#include "etcd/client.h"
#include "membership/registration.h"

namespace badgerbridge::membership {

/// One registration and its client. Runs on the thread of its io_context; must outlive Run.
class Registrar {
 public:
  /// Called after each call or wait of the registration.
  using OnStep = std::function<void(const Registration&)>;

  /// `on_step` may be empty; Run calls it. `seed` is for the client's random choices.
  Registrar(boost::asio::io_context& io, etcd::ClientSettings client, RegistrationSettings settings,
            std::uint64_t seed, OnStep on_step);

  /// Runs until the registration has ended; its condition() then has the reason.
  boost::asio::awaitable<void> Run();
  /// Starts to end the registration. Run returns when the key is removed or the time limit for it has passed.
  void Stop();
  /// The registration, for its state and condition.
  const Registration& registration() const { return registration_; }

 private:
  boost::asio::awaitable<void> Execute(Registration::Action action);
  boost::asio::awaitable<void> Sleep(Time until);
  template <typename Request, typename Response>
  boost::asio::awaitable<void> Call(const char* method, Request request,
                                    void (Registration::*on_answer)(Time, const etcd::Status&,
                                                                    const Response&));

  etcd::Client client_;
  Registration registration_;
  std::chrono::milliseconds call_timeout_;
  OnStep on_step_;
  boost::asio::steady_timer timer_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REGISTRAR_H_
