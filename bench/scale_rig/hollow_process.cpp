// SPDX-License-Identifier: Apache-2.0
#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <stdexcept>

#include "etcd/http2_client.h"
#include "etcd/key_range.h"
#include "http_api/address.h"
#include "membership/member_codec.h"
#include "scale_rig/control_channel.h"
#include "scale_rig/hollow_proxy.h"
#include "scale_rig/json.h"
#include "scale_rig/roles.h"
#include "scale_rig/tcp_bytes.h"

namespace badgerbridge::scale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kLoopProbe{10}, kSampleBytes{200};

// A client that asks for a watch of a prefix and never reads what comes.
class SlowReader {
 public:
  SlowReader(asio::io_context& io, const tcp::endpoint& endpoint, const std::string& prefix)
      : socket_(io), http2_(http_api::ToText(endpoint)) {
    socket_.open(tcp::v4());
    socket_.set_option(asio::socket_base::receive_buffer_size(4096));  // so that it is slow soon
    socket_.connect(endpoint);
    etcdserverpb::WatchRequest request;
    auto* create = request.mutable_create_request();
    create->set_key(prefix);
    create->set_range_end(etcd::PrefixRangeEnd(prefix));
    http2_.BeginCall("/etcdserverpb.Watch/Watch", {}, request.SerializeAsString(), false, {});
    asio::write(socket_, asio::buffer(http2_.TakeOutput()));
  }

 private:
  tcp::socket socket_;
  etcd::Http2Client http2_;
};

// How late timers fire in this process: what its own load adds to the times that it notes.
class LoopProbe {
 public:
  explicit LoopProbe(asio::io_context& io) : timer_(io) { Arm(); }
  double worst_ms() const { return worst_ms_; }
  void Forget() { worst_ms_ = 0; }

 private:
  void Arm() {
    const auto due = steady_clock::now() + kLoopProbe;
    timer_.expires_at(due);
    timer_.async_wait([this, due](const boost::system::error_code& error) {
      if (error) return;
      const std::chrono::duration<double, std::milli> late = steady_clock::now() - due;
      worst_ms_ = std::max(worst_ms_, late.count());
      Arm();
    });
  }
  asio::steady_timer timer_;
  double worst_ms_ = 0;
};

class HollowProcess {
 public:
  explicit HollowProcess(asio::io_context& io)
      : io_(io),
        probe_(io),
        start_timer_(io),
        sample_timer_(io),
        commands_(io, [this](const auto& command, auto reply) { reply(Carry(command)); }) {
    SampleBytes();
  }

 private:
  json::object Carry(const json::object& command) {
    const std::string_view what = command.at("command").as_string();
    if (what == "prepare") return Prepare(command);
    if (what == "start") return Start(command);
    if (what == "stop") return Stop(command);
    if (what == "memory") return Memory();
    if (what == "status") return Status();
    if (what == "forget") return Forget();
    if (what == "in_force") return InForce(command);
    if (what == "check") return Check(command);
    if (what == "ready_times") return ReadyTimes(command);
    if (what == "slow_reader") return AddSlowReader(command);
    throw std::runtime_error("unknown command " + std::string(what));
  }

  json::object Prepare(const json::object& command) {
    const Size size = SizeFrom(command.at("size").as_object());
    for (const std::size_t number : NumbersIn(command, "numbers")) keys_.Prepare(size, number);
    return {{"heap", mallinfo2().uordblks}};
  }

  json::object Start(const json::object& command) {
    size_ = SizeFrom(command.at("size").as_object());
    endpoints_.clear();
    for (const json::value& address : command.at("endpoints").as_array())
      endpoints_.push_back(*http_api::ParseAddress(address.as_string()));
    for (const std::size_t number : NumbersIn(command, "numbers")) waiting_.push_back(number);
    const double per_second = command.at("per_second").to_number<double>();
    pause_ =
        std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double>(1 / per_second));
    next_start_ = steady_clock::now();
    StartNext();
    return {};
  }

  void StartNext() {
    while (!waiting_.empty() && steady_clock::now() >= next_start_) {
      const std::size_t number = waiting_.front();
      waiting_.pop_front();
      proxies_[number] = std::make_unique<HollowProxy>(io_, size_, number, endpoints_, &keys_);
      next_start_ += pause_;
    }
    if (waiting_.empty()) return;
    start_timer_.expires_at(next_start_);
    start_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) StartNext();
    });
  }

  json::object Stop(const json::object& command) {
    for (const std::size_t number : NumbersIn(command, "numbers")) proxies_.erase(number);
    return {};
  }

  // Apart from the status, since counting the heap takes time in proportion to it.
  json::object Memory() const {
    std::size_t rig_bytes = 0;
    for (const auto& [number, proxy] : proxies_) rig_bytes += proxy->rig_bytes();
    return {{"heap", mallinfo2().uordblks}, {"rig_bytes", rig_bytes}};
  }

  json::object Status() {
    const TcpBytes tcp = tcp_.Sample();
    std::size_t ready = 0, refused = 0;
    std::uint64_t lists = 0, resumes = 0, revision = ~0ull;
    std::string trouble;
    for (const auto& [number, proxy] : proxies_) {
      ready += proxy->ready();
      lists += proxy->lists();
      resumes += proxy->resumes();
      refused += proxy->refused_reports();
      revision = std::min(revision, proxy->revision());
      if (trouble.empty()) trouble = proxy->last_trouble();
    }
    return {{"proxies", proxies_.size() + waiting_.size()},
            {"ready", ready},
            {"lists", lists},
            {"resumes", resumes},
            {"revision", revision},  // of the one that is furthest behind
            {"refused_reports", refused},
            {"trouble", trouble},
            {"received", tcp.received},
            {"sent", tcp.sent},
            {"connections", tcp.connections},
            {"opened", tcp.opened},
            {"loop_late_ms", probe_.worst_ms()}};
  }

  json::object Forget() {
    probe_.Forget();
    for (const auto& [number, proxy] : proxies_) proxy->ForgetTimes();
    malloc_trim(0);  // so that resident memory is what is held
    return {};
  }

  json::object InForce(const json::object& command) const {
    const std::vector<Write> writes = WritesIn(command.at("writes").as_array());
    const bool last = command.at("last").as_bool();
    json::array times;
    std::vector<double> worst(last ? 1 : writes.size(), 0);  // over proxies
    std::size_t missing = 0;
    for (const auto& [number, proxy] : proxies_) {
      std::optional<double> largest;
      for (std::size_t i = 0; i < writes.size(); ++i) {
        if (!proxy->follows(writes[i].service) || !proxy->was_ready(writes[i].at_ns)) continue;
        const auto ms = proxy->InForceAfterMs(writes[i]);
        if (!ms) {
          ++missing;
          continue;
        }
        double& slot = worst[last ? 0 : i];
        slot = std::max(slot, *ms);
        largest = std::max(largest.value_or(0), *ms);
        if (!last) times.push_back(*ms);
      }
      if (last && largest) times.push_back(*largest);
    }
    return {{"times", std::move(times)}, {"worst", json::value_from(worst)}, {"missing", missing}};
  }

  json::object Check(const json::object& command) const {
    std::map<std::size_t, DigestValue> source;
    for (const json::value& one : command.at("digests").as_array())
      source[one.at("service").to_number<std::size_t>()] = {one.at("sum").to_number<std::uint64_t>(),
                                                            one.at("count").to_number<std::uint64_t>()};
    std::size_t differ = 0, ledgers_differ = 0;
    std::string first;
    for (const auto& [number, proxy] : proxies_) {
      bool same = proxy->ready(), ledger_same = true;
      for (const auto& [service, value] : proxy->digests()) same &= value == source[service];
      for (const auto& [service, value] : proxy->ledger_digests()) ledger_same &= value == source[service];
      if (!same && first.empty())
        first =
            "hollow proxy " + std::to_string(number) + " at revision " + std::to_string(proxy->revision());
      differ += !same;
      ledgers_differ += !ledger_same;
    }
    return {{"differ", differ}, {"ledgers_differ", ledgers_differ}, {"first", first}};
  }

  json::object ReadyTimes(const json::object& command) const {
    json::array times;
    for (const std::size_t number : NumbersIn(command, "numbers")) {
      const auto proxy = proxies_.find(number);
      if (proxy != proxies_.end() && proxy->second->ready()) times.push_back(proxy->second->ready_after_ms());
    }
    return {{"times", std::move(times)}};
  }

  json::object AddSlowReader(const json::object& command) {
    slow_readers_.push_back(std::make_unique<SlowReader>(
        io_, *http_api::ParseAddress(command.at("endpoint").as_string()), TextAt(command, "prefix")));
    return {};
  }

  void SampleBytes() {
    tcp_.Sample();
    sample_timer_.expires_after(kSampleBytes);
    sample_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) SampleBytes();
    });
  }

  asio::io_context& io_;
  LoopProbe probe_;
  TcpByteCounter tcp_;
  Size size_;
  std::vector<tcp::endpoint> endpoints_;
  KeyIndices keys_;
  std::map<std::size_t, std::unique_ptr<HollowProxy>> proxies_;
  std::vector<std::unique_ptr<SlowReader>> slow_readers_;
  std::deque<std::size_t> waiting_;  // to be started
  steady_clock::duration pause_{};
  steady_clock::time_point next_start_;
  asio::steady_timer start_timer_, sample_timer_;
  CommandServer commands_;
};

}  // namespace

int RunHollowProxies() {
  asio::io_context io(1);
  HollowProcess process(io);
  io.run();
  return 0;
}

}  // namespace badgerbridge::scale
