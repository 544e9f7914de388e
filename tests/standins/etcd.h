// SPDX-License-Identifier: Apache-2.0
//
// A stand-in etcd: a cluster of members that serve the published v3 API (KV, Watch, Lease, Auth) as gRPC over
// HTTP/2 in cleartext on loopback, to any client of it. Strict where etcd is strict; faults on command.
#ifndef BADGERBRIDGE_TESTS_STANDINS_ETCD_H_
#define BADGERBRIDGE_TESTS_STANDINS_ETCD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "etcd/server.h"
#include "standins/etcd_store.h"

namespace badgerbridge::standins {

struct EtcdSettings {
  int members = 1;
  std::uint64_t cluster_id = 0x1234;
  std::size_t fragment_bytes = 1 << 20;           // of a watch's answer, where the watch wants fragments
  std::chrono::milliseconds progress_every{200};  // for watches that want to be told; etcd's is ten minutes
  std::string user, password;                     // both set: calls need a token
  std::chrono::milliseconds token_life{0};        // 0: for ever
};

// What the next call at any member meets instead of its answer.
enum class EtcdFault {
  kNone,
  kTrailersOnly,   // UNAVAILABLE, without a body
  kNoStatus,       // the stream ends without trailers
  kStatusAlone,    // OK in the trailers, and no message
  kReset,          // RST_STREAM
  kRefused,        // RST_STREAM with REFUSED_STREAM
  kHttp503,        // an answer that is no gRPC
  kHugeMessage,    // a message that says that it holds 100 MB
  kEndlessHeader,  // headers beyond every bound
  kGarbage,        // bytes that are no HTTP/2
  kGoaway,         // GOAWAY that leaves this call out, and the connection's end
  kTwoMessages,    // two, where one is due
  kNever,          // no answer
};

class Etcd {
 public:
  Etcd(boost::asio::io_context& io, EtcdSettings settings);
  ~Etcd();
  Etcd(const Etcd&) = delete;
  Etcd& operator=(const Etcd&) = delete;

  boost::asio::ip::tcp::endpoint address(std::size_t member) const;
  // Writes go here; Publish then sends every watch what is new to it, in order, as a commit would.
  EtcdStore& store() { return *store_; }
  void Publish();
  void Put(const std::string& key, const std::string& value, std::int64_t lease = 0);
  void Delete(const std::string& key);
  void Compact(std::int64_t revision);
  // From a backup: other contents, a lower revision, another cluster id.
  void Restore(EtcdStore backup, std::uint64_t cluster_id);

  void Next(EtcdFault fault) { fault_ = fault; }
  // Before each transaction of a client's: somebody else is faster.
  void BeforeTxn(std::function<void()> what) { before_txn_ = std::move(what); }
  // Every connection of this member ends, and every further one, once it has sent so many bytes more.
  void CutAfter(std::size_t member, std::size_t bytes);
  // Nothing that comes is read and nothing is sent, but connections stay open and new ones come up.
  void Silence(std::size_t member, bool silent);
  void Down(std::size_t member);
  void Up(std::size_t member);
  // It serves what it has, and learns nothing new; reads that must not be behind wait.
  void Lag(std::size_t member, bool lag);
  void ExpireTokens() { tokens_.clear(); }

  std::size_t watches() const;
  // Whether a client of this member watches the range that begins with this key.
  bool Watches(std::size_t member, const std::string& key) const;
  std::size_t connections(std::size_t member) const;
  std::size_t calls() const { return calls_; }
  // Of one method, "/package.Service/Method"; each message of a call that streams counts.
  std::size_t calls(const std::string& path) const {
    const auto found = calls_by_path_.find(path);
    return found == calls_by_path_.end() ? 0 : found->second;
  }
  std::size_t protocol_errors() const { return protocol_errors_; }  // what a strict server does not take

 private:
  struct Member;
  struct Connection;
  struct Stream;
  struct Watch;
  struct UnaryCall;
  friend struct Connection;
  friend struct UnaryCall;

  etcd::Http2ServerHandler AcceptConnection(Member& member,
                                            const std::shared_ptr<etcd::ServerConnection>& link);
  void Tick();

  // ---- calls (etcd_calls.cpp)
  void Handle(Connection& connection, Stream& stream);
  bool InjectFault(Connection& connection, Stream& stream);
  void SendFaultyResponse(EtcdFault fault, Connection& connection, Stream& stream);
  void SendEndlessHeader(Connection& connection, Stream& stream);
  void HandleUnary(const UnaryCall& call);
  void Authenticate(const UnaryCall& call);
  void Range(const UnaryCall& call);
  void PutKey(const UnaryCall& call);
  void DeleteRange(const UnaryCall& call);
  void Txn(const UnaryCall& call);
  void CompactHistory(const UnaryCall& call);
  void GrantLease(const UnaryCall& call);
  void RevokeLease(const UnaryCall& call);
  void LeaseTimeToLive(const UnaryCall& call);
  void ListLeases(const UnaryCall& call);
  void DescribeStatus(const UnaryCall& call);
  void ListMembers(const UnaryCall& call);
  void KeepLeasesAlive(Connection& connection, Stream& stream);
  bool HasValidToken(const Stream& stream) const;
  std::int64_t RevisionAt(const Member& member) const;
  void FillHeader(const Member& member, pb::ResponseHeader* header) const;

  // ---- watches (etcd_watches.cpp)
  void HandleWatchMessages(Connection& connection, Stream& stream);
  void HandleWatch(Connection& connection, Stream& stream, std::string_view message);
  void CreateWatch(Connection& connection, Stream& stream, const pb::WatchCreateRequest& create);
  static Watch MakeWatch(Stream& stream, const pb::WatchCreateRequest& create, std::int64_t revision);
  void CancelWatch(Connection& connection, Stream& stream, std::int64_t watch_id);
  void Publish(Connection& connection);
  void PublishTo(Connection& connection, Stream& stream, Watch& watch);
  std::vector<pb::Event> NewEvents(const Watch& watch, std::int64_t until) const;
  void AnswerPendingRead(Connection& connection, Stream& stream);
  void NotifyProgress(Connection& connection);

  boost::asio::io_context& io_;
  EtcdSettings settings_;
  std::unique_ptr<EtcdStore> store_;
  std::vector<std::unique_ptr<Member>> members_;
  EtcdFault fault_ = EtcdFault::kNone;
  std::function<void()> before_txn_;
  std::map<std::string, std::chrono::steady_clock::time_point> tokens_;
  std::map<std::string, std::size_t> calls_by_path_;
  std::size_t calls_ = 0;
  std::size_t protocol_errors_ = 0;
  std::size_t next_token_ = 0;
  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_ETCD_H_
