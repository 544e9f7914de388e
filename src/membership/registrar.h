// SPDX-License-Identifier: Apache-2.0

/// @file
/// Makes the calls that a Registration decides on, with etcd::Client.
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

/// One registration with its client. Runs on its io_context's thread; must outlive Run.
class Registrar {
 public:
  /// Called after each step.
  using OnStep = std::function<void(const Registration&)>;

  /// `on_step` may be empty; it is called from within Run.
  Registrar(boost::asio::io_context& io, etcd::ClientSettings client, RegistrationSettings settings,
            std::uint64_t seed, OnStep on_step);

  /// Runs until the registration has ended; then its condition() tells why.
  boost::asio::awaitable<void> Run();
  /// Ends the registration; Run completes once the key is removed, or time is up.
  void Stop();
  /// The registration's state.
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
  std::chrono::milliseconds timeout_;  // of one call
  OnStep on_step_;
  boost::asio::steady_timer timer_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REGISTRAR_H_
