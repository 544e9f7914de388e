// SPDX-License-Identifier: Apache-2.0
#include "cli/member_state_command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "cli/table.h"
#include "etcd.pb.h"
#include "membership/member_codec.h"

namespace badgerbridge::cli {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace pb = etcdserverpb;
using membership::MemberState;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kMaxSwapAttempts = 20;  // where others write the same key all the time

/// What came of the change of one backend.
struct StateChange {
  std::string name;    // of the backend
  std::string result;  // "done", "dry run" or "failed"
  std::string text;    // what happened
  milliseconds duration{0};
  ExitCode code = ExitCode::kSuccess;
};

StateChange Failed(ExitCode code, std::string text) { return {"", "failed", std::move(text), {}, code}; }

StateChange Failed(const etcd::Status& status) {
  const EtcdError error = EtcdCallError(status);
  return Failed(error.code, Message(error));
}

StateChange Done(const std::string& text, std::int64_t revision) {
  return {"", "done", text + std::to_string(revision), {}, ExitCode::kSuccess};
}

/// The change of one backend's state, by compare-and-swap.
class StateSwap {
 public:
  StateSwap(etcd::Client& client, std::string key, MemberState state, const EtcdCommandOptions& options)
      : client_(client),
        key_(std::move(key)),
        state_(state),
        dry_run_(options.dry_run),
        due_(Clock::now() + options.timeout) {}

  asio::awaitable<StateChange> Run() {
    pb::RangeRequest range;
    range.set_key(key_);
    const etcd::Status status = co_await client_.Call("/etcdserverpb.KV/Range", range, &found_, TimeLeft());
    if (!status.ok()) co_return Failed(status);
    for (int i = 0; i < kMaxSwapAttempts; ++i) {
      if (found_.kvs_size() == 0) co_return Failed(ExitCode::kPartialFailure, "etcd has no key " + key_);
      if (std::optional<StateChange> change = co_await TrySwap()) co_return *change;
    }
    co_return Failed(ExitCode::kConflict, "others write " + key_ + " all the time");
  }

 private:
  milliseconds TimeLeft() const {
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(due_ - Clock::now()));
  }

  /// Nothing if somebody else has written the key meanwhile; then the key is as it is now.
  asio::awaitable<std::optional<StateChange>> TrySwap() {
    const std::string name(membership::Name(state_));
    const auto change = membership::MakeStateChange(found_.kvs(0), state_);
    if (!change) co_return Failed(ExitCode::kPartialFailure, key_ + ": " + Message(change.error()));
    const std::optional<pb::TxnRequest>& transaction = *change;
    if (!transaction) co_return Done("it is " + name + " since revision ", found_.kvs(0).mod_revision());
    if (dry_run_) co_return StateChange{"", "dry run", "would be written as " + name, {}, ExitCode::kSuccess};
    pb::TxnResponse response;
    const etcd::Status status =
        co_await client_.Call("/etcdserverpb.KV/Txn", *transaction, &response, TimeLeft());
    if (!status.ok()) co_return Failed(status);
    if (response.succeeded())
      co_return Done("written as " + name + " at revision ", response.header().revision());
    // Somebody else wrote it, or the first attempt of this call did.
    found_.Clear();
    if (response.responses_size() > 0) found_ = response.responses(0).response_range();
    co_return std::nullopt;
  }

  etcd::Client& client_;
  std::string key_;
  MemberState state_;
  bool dry_run_;
  Clock::time_point due_;
  pb::RangeResponse found_;  // the key as it was last read
};

asio::awaitable<Result<std::vector<StateChange>>> ChangeAll(etcd::Client& client, const std::string& prefix,
                                                            const EtcdCommandOptions& options,
                                                            const std::vector<std::string>& names,
                                                            MemberState state) {
  std::vector<StateChange> changes;
  for (const std::string& name : names) {
    const auto started_at = Clock::now();
    StateSwap swap(client, prefix + name, state, options);
    StateChange change = co_await swap.Run();
    change.name = name;
    change.duration = std::chrono::duration_cast<milliseconds>(Clock::now() - started_at);
    changes.push_back(std::move(change));
  }
  co_return changes;
}

}  // namespace

const std::string& BackendKeyPrefix(const operator_config::EtcdSettings& etcd) {
  return etcd.services.empty() ? etcd.prefix : etcd.services_prefix;
}

Result<ExitCode> ChangeMemberStates(const operator_config::EtcdSettings& etcd,
                                    const EtcdCommandOptions& options, const std::vector<std::string>& names,
                                    MemberState state, std::ostream& out) {
  const auto changes = RunWithEtcdClient<std::vector<StateChange>>(etcd, [&](etcd::Client& client) {
    return ChangeAll(client, BackendKeyPrefix(etcd), options, names, state);
  });
  if (!changes) return changes.error();
  const std::string verb = state == MemberState::kReady ? "undrain" : "drain";
  ExitCode code = ExitCode::kSuccess;
  json::array all;
  Table table({"CONVERTER", "ASKED", "RESULT", "WHAT HAPPENED", "TOOK"});
  for (const StateChange& change : *changes) {
    code = Worst(code, change.code);
    table.Add({change.name, verb, change.result, change.text, FormatAge(change.duration.count())});
    all.push_back(json::object{{"converter", change.name},
                               {"asked", verb},
                               {"result", change.result},
                               {"text", change.text},
                               {"took_ms", change.duration.count()}});
  }
  WriteJsonOrTable(out, options.json, all, table);
  return code;
}

}  // namespace badgerbridge::cli
