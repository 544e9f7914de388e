// SPDX-License-Identifier: Apache-2.0
#include "cli/etcd_commands.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <optional>
#include <ostream>
#include <random>

#include "cli/commands.h"
#include "cli/render.h"
#include "membership/etcd_settings.h"
#include "membership/member_codec.h"
#include "membership/registrar.h"

namespace badgerbridge::cli {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace pb = etcdserverpb;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kMostSwaps = 20;  // where others write the same key all the time

// What stands before a member's name in its key; with services, the name is SERVICE/NAME.
const std::string& KeysPrefix(const operator_config::EtcdSettings& etcd) {
  return etcd.services.empty() ? etcd.prefix : etcd.services_prefix;
}

struct Outcome {
  std::string result, text;
  int code = kAllDid;
};

Outcome Failed(int code, std::string text) { return {"failed", std::move(text), code}; }

Outcome Failed(const etcd::Status& status) { return Failed(CodeOf(status), "etcd: " + status.ToString()); }

asio::awaitable<Outcome> Change(etcd::Client& client, std::string key, membership::MemberState state,
                                bool dry_run, milliseconds timeout) {
  const auto due = Clock::now() + timeout;
  const auto left = [&] {
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(due - Clock::now()));
  };
  const std::string word(membership::Name(state));
  pb::RangeRequest range;
  range.set_key(key);
  pb::RangeResponse found;
  etcd::Status status = co_await client.Call("/etcdserverpb.KV/Range", range, &found, left());
  if (!status.ok()) co_return Failed(status);
  for (int i = 0; i < kMostSwaps; ++i) {
    if (found.kvs_size() == 0) co_return Failed(kSomeDidNot, "etcd has no key " + key);
    const auto change = membership::MakeStateChange(found.kvs(0), state);
    if (!change) co_return Failed(kSomeDidNot, key + ": " + Message(change.error()));
    const std::optional<pb::TxnRequest>& txn = *change;
    if (!txn)
      co_return Outcome{"done",
                        "it is " + word + " since revision " + std::to_string(found.kvs(0).mod_revision()),
                        kAllDid};
    if (dry_run) co_return Outcome{"dry run", "would be written as " + word, kAllDid};
    pb::TxnResponse answer;
    status = co_await client.Call("/etcdserverpb.KV/Txn", *txn, &answer, left());
    if (!status.ok()) co_return Failed(status);
    if (answer.succeeded())
      co_return Outcome{"done",
                        "written as " + word + " at revision " + std::to_string(answer.header().revision()),
                        kAllDid};
    found.Clear();  // somebody else wrote it between, or this call's first run did: as it is now
    if (answer.responses_size() > 0) found = answer.responses(0).response_range();
  }
  co_return Failed(kConflict, "others write " + key + " all the time");
}

}  // namespace

int CodeOf(const etcd::Status& status) {
  const bool denied =
      status.code == etcd::Code::kUnauthenticated || status.code == etcd::Code::kPermissionDenied;
  return denied ? kNotAllowed : status.IsRetriable() ? kOutOfReach : kSomeDidNot;
}

int ChangeMembers(const EtcdCommand& command, const std::vector<std::string>& names,
                  membership::MemberState state, std::ostream& out, std::ostream& err) {
  asio::io_context io(1);
  int code = kAllDid;
  json::array all;
  Table table({"CONVERTER", "ASKED", "RESULT", "WHAT HAPPENED", "TOOK"}, command.color);
  const std::string asked = state == membership::MemberState::kReady ? "undrain" : "drain";
  const milliseconds timeout = command.timeout > milliseconds(0) ? command.timeout : milliseconds(5000);
  try {
    std::random_device random;
    etcd::Client client(io, membership::MakeEtcdClientSettings(command.etcd).value(), random());
    for (const std::string& name : names) {
      const auto began = Clock::now();
      Outcome outcome = Failed(kSomeDidNot, "the call could not be made");
      asio::co_spawn(io, Change(client, KeysPrefix(command.etcd) + name, state, command.dry_run, timeout),
                     [&](std::exception_ptr failure, Outcome answer) {
                       if (!failure) outcome = std::move(answer);
                       io.stop();
                     });
      io.restart();
      io.run();
      code = Worse(code, outcome.code);
      const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - began).count();
      table.Add({name, asked, outcome.result, outcome.text, Age(took)});
      all.push_back(json::object{{"converter", name},
                                 {"asked", asked},
                                 {"result", outcome.result},
                                 {"text", outcome.text},
                                 {"took_ms", took}});
    }
  } catch (const std::exception& bad) {
    err << "badgerbridge-ctl: " << bad.what() << '\n';
    return kUsage;
  }
  out << (command.json ? json::serialize(all) + "\n" : table.Text());
  return code;
}

int RegisterMember(const EtcdCommand& command, membership::RegistrationSettings settings, std::ostream& err) {
  asio::io_context io(1);
  settings.prefix = KeysPrefix(command.etcd);
  if (!command.etcd.services.empty()) {
    const std::string named = settings.member.name;
    const std::size_t slash = named.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == named.size()) {
      err << "badgerbridge-ctl: the operator's file names services; SERVICE/" << named << " would be right\n";
      return kUsage;
    }
    settings.prefix += named.substr(0, slash + 1);
    settings.member.name = named.substr(slash + 1);
  }
  try {
    std::random_device random;
    bool registered = false;
    std::string said;
    membership::Registrar registrar(io, membership::MakeEtcdClientSettings(command.etcd).value(), settings,
                                    random(), [&](const membership::Registration& now) {
                                      if (now.is_registered() && !registered) {
                                        registered = true;
                                        err << "badgerbridge-ctl: " << settings.member.name
                                            << " is registered, lease " << now.lease() << std::endl;
                                      } else if (Message(now.condition()) != said && !now.is_registered()) {
                                        said = Message(now.condition());
                                        err << "badgerbridge-ctl: " << said << std::endl;
                                      }
                                      registered = registered && now.lease() != 0;
                                    });
    bool asked = false;
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      asked = true;
      registrar.Stop();
    });
    asio::co_spawn(io, registrar.Run(), [&](std::exception_ptr) { io.stop(); });
    io.run();
    return asked ? kAllDid : kSomeDidNot;
  } catch (const std::exception& bad) {
    err << "badgerbridge-ctl: " << bad.what() << '\n';
    return kUsage;
  }
}

}  // namespace badgerbridge::cli
