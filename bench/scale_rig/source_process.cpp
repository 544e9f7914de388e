// SPDX-License-Identifier: Apache-2.0
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <optional>
#include <stdexcept>

#include "etcd/key_range.h"
#include "http_api/address.h"
#include "membership/member_codec.h"
#include "scale_rig/control_channel.h"
#include "scale_rig/json.h"
#include "scale_rig/roles.h"
#include "scale_rig/tcp_bytes.h"
#include "standins/etcd.h"

namespace badgerbridge::scale {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace pb = etcdserverpb;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kPage = 1000;            // of a list, as the proxy's client asks for it
constexpr std::size_t kWritesPublished = 100;  // together, where a zone's backends go: one commit's batch

class SourceProcess {
 public:
  explicit SourceProcess(asio::io_context& io)
      : io_(io),
        timer_(io),
        commands_(io, [this](const auto& command, auto reply) { Carry(command, reply); }) {}

 private:
  void Carry(const json::object& command, const CommandServer::Reply& reply) {
    const std::string_view what = command.at("command").as_string();
    if (what == "open") return reply(Open(command));
    if (!etcd_) throw std::runtime_error("not open yet");
    if (what == "write") return StartWrites(command, reply);
    if (what == "zone") return StartZone(command, reply);
    if (what == "digests") return StartDigests(reply);
    if (what == "silence") return reply(Silence(command));
    if (what == "status") return reply(Status());
    if (what == "speed") return reply(Speed());
    throw std::runtime_error("unknown command " + std::string(what));
  }

  json::object Open(const json::object& command) {
    size_ = SizeFrom(command.at("size").as_object());
    standins::EtcdSettings settings;
    settings.members = static_cast<int>(NumberAt(command, "members"));
    settings.progress_every = std::chrono::minutes(10);  // as etcd has it: clients have to ask
    etcd_.emplace(io_, settings);
    std::vector<std::pair<std::string, std::string>> pairs;
    for (std::size_t i = 0; i < size_.backends; ++i) {
      members_.push_back(BackendAt(i));
      pairs.emplace_back(KeyOf(size_, i), SerializeMember(members_.back()));
    }
    etcd_->store().PutAll(pairs);
    json::array addresses;
    for (int i = 0; i < settings.members; ++i)
      addresses.emplace_back(http_api::ToText(etcd_->address(static_cast<std::size_t>(i))));
    return {{"addresses", std::move(addresses)}};
  }

  Write PutNow(std::size_t backend) {
    const std::int64_t at = NowNs();
    etcd_->Put(KeyOf(size_, backend), SerializeMember(members_[backend]));
    const double ms = static_cast<double>(NowNs() - at) / 1e6;
    publish_ms_.push_back(ms);
    return {static_cast<std::uint64_t>(etcd_->store().revision()), at, ServiceOf(size_, backend)};
  }

  // Paced; answers once all are written, with how long each took to be written to all connections.
  void StartWrites(const json::object& command, const CommandServer::Reply& reply) {
    if (!left_.empty()) throw std::runtime_error("writes are under way");
    for (const std::size_t backend : NumbersIn(command, "backends")) left_.push_back(backend);
    kind_ = TextAt(command, "kind");
    every_ = milliseconds(command.at("every_ms").to_number<int>());
    written_.clear();
    publish_ms_.clear();
    reply_ = reply;
    next_write_ = steady_clock::now();
    WriteNext();
  }

  void WriteNext() {
    if (left_.empty()) {
      json::array publish;
      for (const double ms : publish_ms_) publish.push_back(ms);
      return reply_({{"writes", std::move(written_)}, {"publish_ms", std::move(publish)}});
    }
    membership::Member& member = members_[left_.front()];
    if (kind_ == "change") member.weight += 1;
    if (kind_ == "drain") member.state = membership::MemberState::kDraining;
    if (kind_ == "ready") member.state = membership::MemberState::kReady;
    written_.push_back(ToJson(PutNow(left_.front())));
    left_.erase(left_.begin());
    next_write_ += every_;
    timer_.expires_at(next_write_);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) WriteNext();
    });
  }

  // Batch by batch, so that the source answers others meanwhile. Answers with the last revision of each
  // service that was touched, all of them as written when the first batch was.
  void StartZone(const json::object& command, const CommandServer::Reply& reply) {
    const auto zone = command.at("zone").to_number<std::size_t>();
    zone_ = ZoneChange{command.at("gone").as_bool(), {}, 0, NowNs(), {}, reply};
    for (std::size_t i = 0; i < size_.backends; ++i) {
      if (ZoneOf(i) == zone) zone_.backends.push_back(i);
    }
    ContinueZone();
  }

  void ContinueZone() {
    const std::size_t end = std::min(zone_.backends.size(), zone_.done + kWritesPublished);
    for (; zone_.done < end; ++zone_.done) {
      const std::size_t backend = zone_.backends[zone_.done];
      ChangePresence(backend, !zone_.gone);
      const std::size_t service = ServiceOf(size_, backend);
      zone_.last[service] = {static_cast<std::uint64_t>(etcd_->store().revision()), zone_.began_ns, service};
    }
    etcd_->Publish();
    if (zone_.done < zone_.backends.size()) return asio::post(io_, [this] { ContinueZone(); });
    json::array writes;
    for (const auto& [service, write] : zone_.last) writes.push_back(ToJson(write));
    zone_.reply({{"writes", std::move(writes)},
                 {"backends", zone_.backends.size()},
                 {"publish_ms", static_cast<double>(NowNs() - zone_.began_ns) / 1e6}});
  }

  void ChangePresence(std::size_t backend, bool present) {
    if (present) {
      pb::PutRequest put;
      put.set_key(KeyOf(size_, backend));
      put.set_value(SerializeMember(members_[backend]));
      pb::PutResponse response;
      etcd_->store().Put(put, &response);
    } else {
      pb::DeleteRangeRequest removal;
      removal.set_key(KeyOf(size_, backend));
      pb::DeleteRangeResponse response;
      etcd_->store().DeleteRange(removal, &response);
    }
  }

  // From what the store holds, read as a client would, and not from what was meant to be written; slice by
  // slice, so that the source answers others meanwhile. Nothing may be written until it has answered.
  void StartDigests(const CommandServer::Reply& reply) {
    const auto revision = etcd_->store().revision();
    if (digests_revision_ == revision) return reply(DigestsAnswer());
    digests_revision_ = revision;
    digests_.clear();
    digest_keys_.clear();
    slices_.clear();
    if (size_.flat()) {
      std::string begin = WholePrefix(size_);
      for (std::size_t i = kPage; i < size_.backends; i += kPage)
        slices_.emplace_back(std::exchange(begin, KeyOf(size_, i)), KeyOf(size_, i));
      slices_.emplace_back(begin, etcd::PrefixRangeEnd(WholePrefix(size_)));
    } else {
      for (std::size_t service = 0; service < size_.services; ++service)
        slices_.emplace_back(PrefixOf(size_, service), etcd::PrefixRangeEnd(PrefixOf(size_, service)));
    }
    ContinueDigests(reply);
  }

  void ContinueDigests(const CommandServer::Reply& reply) {
    for (std::size_t taken = 0; taken < kPage && !slices_.empty(); slices_.pop_front())
      taken += 1 + DigestSlice(slices_.front().first, slices_.front().second);
    if (slices_.empty()) return reply(DigestsAnswer());
    asio::post(io_, [this, reply] { ContinueDigests(reply); });
  }

  // How many keys it has.
  std::size_t DigestSlice(const std::string& begin, const std::string& end) {
    pb::RangeRequest request;
    request.set_key(begin);
    request.set_range_end(end);
    pb::RangeResponse response;
    etcd_->store().Range(request, &response);
    for (const pb::KeyValue& kv : response.kvs()) {
      const std::string name = kv.key().substr(kv.key().rfind('/') + 1);
      const auto member = membership::ParseMember(name, kv.value());
      if (!member) throw std::runtime_error("a value that can't be read");
      const std::size_t service = ServiceOf(size_, std::stoull(name.substr(name.rfind('-') + 1)));
      digests_.try_emplace(service, &digest_keys_[service]).first->second.Put(name, VersionOf(*member));
    }
    return static_cast<std::size_t>(response.kvs_size());
  }

  json::object DigestsAnswer() const {
    json::array all;
    for (std::size_t service = 0; service < size_.services; ++service) {
      const auto digest = digests_.find(service);
      const DigestValue value = digest == digests_.end() ? DigestValue() : digest->second.value();
      all.push_back(json::object{{"service", service}, {"sum", value.sum}, {"count", value.count}});
    }
    return {{"digests", std::move(all)}, {"revision", digests_revision_}};
  }

  json::object Silence(const json::object& command) {
    etcd_->Silence(command.at("member").to_number<std::size_t>(), command.at("silent").as_bool());
    return {};
  }

  json::object Status() {
    const TcpBytes tcp = tcp_.Sample();
    return {{"calls", etcd_->calls()},
            {"watches", etcd_->watches()},
            {"received", tcp.received},
            {"sent", tcp.sent},
            {"connections", tcp.connections},
            {"protocol_errors", etcd_->protocol_errors()},
            {"revision", etcd_->store().revision()}};
  }

  json::object Speed() {
    pb::RangeRequest request;
    request.set_key(WholePrefix(size_));
    request.set_range_end(etcd::PrefixRangeEnd(WholePrefix(size_)));
    request.set_limit(static_cast<std::int64_t>(kPage));
    std::size_t pages = 0, entries = 0, bytes = 0;
    const std::int64_t began = NowNs();
    while (pages < 20 || NowNs() - began < 100000000) {
      pb::RangeResponse response;
      etcd_->store().Range(request, &response);
      bytes += response.SerializeAsString().size();
      entries += static_cast<std::size_t>(response.kvs_size());
      ++pages;
    }
    const double seconds = static_cast<double>(NowNs() - began) / 1e9;
    return {{"page_ms", seconds * 1e3 / static_cast<double>(pages)},
            {"entries_per_second", static_cast<double>(entries) / seconds},
            {"bytes_per_entry", static_cast<double>(bytes) / static_cast<double>(entries)}};
  }

  struct ZoneChange {
    bool gone = false;
    std::vector<std::size_t> backends;
    std::size_t done = 0;  // of them
    std::int64_t began_ns = 0;
    std::map<std::size_t, Write> last;  // by service
    CommandServer::Reply reply;
  };

  asio::io_context& io_;
  TcpByteCounter tcp_;  // sampled when asked: what connections carried that ended between is not in it
  Size size_;
  std::optional<standins::Etcd> etcd_;
  std::vector<membership::Member> members_;  // as last written
  std::vector<std::size_t> left_;            // to be written
  std::string kind_;
  milliseconds every_{0};
  steady_clock::time_point next_write_;
  json::array written_;
  std::vector<double> publish_ms_;
  CommandServer::Reply reply_;
  ZoneChange zone_;
  std::int64_t digests_revision_ = 0;  // at which the digests were taken
  std::map<std::size_t, KeyIndex> digest_keys_;
  std::map<std::size_t, StateDigest> digests_;              // by service
  std::deque<std::pair<std::string, std::string>> slices_;  // ranges of keys that are still to be read
  asio::steady_timer timer_;
  CommandServer commands_;
};

}  // namespace

int RunSource() {
  asio::io_context io(1);
  SourceProcess process(io);
  io.run();
  return 0;
}

}  // namespace badgerbridge::scale
