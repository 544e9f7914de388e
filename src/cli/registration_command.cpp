// SPDX-License-Identifier: Apache-2.0
#include "cli/registration_command.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <ostream>
#include <random>
#include <utility>

#include "cli/member_state_command.h"
#include "membership/etcd_settings.h"
#include "membership/registrar.h"

namespace badgerbridge::cli {
namespace {

namespace asio = boost::asio;

/// Sets the prefix of the key, and takes the service off the backend's name.
Result<membership::RegistrationSettings> WithKey(membership::RegistrationSettings settings,
                                                 const operator_config::EtcdSettings& etcd) {
  settings.prefix = BackendKeyPrefix(etcd);
  if (etcd.services.empty()) return settings;
  const std::string name = settings.member.name;
  const std::size_t slash = name.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == name.size()) return MissingServiceName{name};
  settings.prefix += name.substr(0, slash + 1);
  settings.member.name = name.substr(slash + 1);
  return settings;
}

/// Prints when a backend is registered, and why it is not.
class RegistrationLog {
 public:
  RegistrationLog(std::string name, std::ostream& err) : name_(std::move(name)), err_(err) {}

  void OnStep(const membership::Registration& registration) {
    const std::string condition = Message(registration.condition());
    if (registration.is_registered() && !is_registered_) {
      is_registered_ = true;
      err_ << "badgerbridge-ctl: " << name_ << " is registered, lease " << registration.lease() << std::endl;
    } else if (!registration.is_registered() && condition != last_condition_) {
      last_condition_ = condition;
      Report(EtcdError{EtcdError::Kind::kRegistrationChanged, ExitCode::kPartialFailure, "", condition},
             err_);
    }
    is_registered_ = is_registered_ && registration.lease() != 0;
  }

 private:
  std::string name_;
  std::ostream& err_;
  bool is_registered_ = false;
  std::string last_condition_;  // that was printed
};

/// Runs the registration to its end. Whether a signal ended it.
bool RunUntilEnd(const etcd::ClientSettings& client, const membership::RegistrationSettings& settings,
                 std::ostream& err) {
  asio::io_context io(1);
  std::random_device random;
  RegistrationLog log(settings.member.name, err);
  membership::Registrar registrar(
      io, client, settings, random(),
      [&](const membership::Registration& registration) { log.OnStep(registration); });
  bool was_stopped = false;
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    was_stopped = true;
    registrar.Stop();
  });
  asio::co_spawn(io, registrar.Run(), [&](std::exception_ptr) { io.stop(); });
  io.run();
  return was_stopped;
}

}  // namespace

Result<ExitCode> RegisterMember(const operator_config::EtcdSettings& etcd,
                                membership::RegistrationSettings settings, std::ostream& err) {
  const Result<membership::RegistrationSettings> with_key = WithKey(std::move(settings), etcd);
  if (!with_key) return with_key.error();
  const auto client = membership::MakeEtcdClientSettings(etcd);
  if (!client)
    return EtcdError{EtcdError::Kind::kInvalidClientSettings, ExitCode::kUsage, "", Message(client.error())};
  try {
    return RunUntilEnd(*client, *with_key, err) ? ExitCode::kSuccess : ExitCode::kPartialFailure;
  } catch (const std::exception& failure) {  // from the client's certificates, for example
    return EtcdError{EtcdError::Kind::kInvalidClientSettings, ExitCode::kUsage, "", failure.what()};
  }
}

}  // namespace badgerbridge::cli
