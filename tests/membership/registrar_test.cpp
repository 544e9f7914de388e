// SPDX-License-Identifier: Apache-2.0
//
// etcd::Client and Registrar over sockets: failover, expired tokens, mutual TLS.
#include "membership/registrar.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <boost/asio/co_spawn.hpp>
#include <filesystem>

#include "membership/etcd_source.h"
#include "standins/certificates.h"
#include "standins/etcd.h"
#include "standins/tls_front.h"

namespace badgerbridge::membership {
namespace {

namespace asio = boost::asio;
namespace pb = etcdserverpb;
using standins::Etcd;
using standins::EtcdFault;
using standins::EtcdSettings;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

const std::string kPrefix = "/badgerbridge/converters/";

/// A fake etcd and the settings of its clients.
class RegistrarTest : public ::testing::Test {
 protected:
  /// Runs until `condition`, for 20 s at most. Returns false on timeout.
  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      if (Clock::now() > deadline) return false;
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    return true;
  }
  /// Starts etcd and sets the clients' settings to connect to it.
  void Start(EtcdSettings settings = {}) {
    etcd = std::make_unique<Etcd>(io, settings);
    for (int i = 0; i < settings.members; ++i)
      client.endpoints.push_back(etcd->address(static_cast<std::size_t>(i)));
    client.user = settings.user;
    client.password = settings.password;
    client.call_timeout = milliseconds(200);
  }
  /// Makes one call and waits for its completion.
  template <typename Request, typename Response>
  etcd::Status Call(etcd::Client& caller, const std::string& path, const Request& request, Response* response,
                    milliseconds timeout = milliseconds(3000)) {
    std::optional<etcd::Status> status;
    asio::co_spawn(io, caller.Call(path, request, response, timeout),
                   [&](std::exception_ptr, etcd::Status answer) { status = std::move(answer); });
    EXPECT_TRUE(RunUntil([&] { return status.has_value(); }));
    return *status;
  }
  /// The value of a key in etcd; nullopt if it does not exist.
  std::optional<std::string> ValueOfKey(const std::string& key) {
    pb::RangeRequest request;
    request.set_key(key);
    pb::RangeResponse response;
    EXPECT_TRUE(etcd->store().Range(request, &response).ok());
    if (response.kvs_size() == 0) return std::nullopt;
    return response.kvs(0).value();
  }

  asio::io_context io{1};
  std::unique_ptr<Etcd> etcd;
  etcd::ClientSettings client;
};

TEST_F(RegistrarTest, CallIsRetriedAtAnotherMemberWithinItsTimeout) {
  EtcdSettings settings;
  settings.members = 3;
  Start(settings);
  etcd::Client one(io, client, 7);
  pb::PutRequest put;
  put.set_key("a");
  pb::PutResponse put_response;
  for (const EtcdFault fault :
       {EtcdFault::kTrailersOnly, EtcdFault::kReset, EtcdFault::kRefused, EtcdFault::kGoaway,
        EtcdFault::kGarbage, EtcdFault::kNever, EtcdFault::kNoStatus}) {
    etcd->Next(fault);
    EXPECT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &put_response).ok()) << static_cast<int>(fault);
  }
  // An error that every member would return is not retried.
  put.set_lease(99);
  const auto connects = one.connection_attempts();
  EXPECT_EQ(Call(one, "/etcdserverpb.KV/Put", put, &put_response).code, etcd::Code::kNotFound);
  EXPECT_EQ(one.connection_attempts(), connects);
  for (std::size_t i = 0; i < 3; ++i) etcd->Down(i);
  const auto call_start = Clock::now();
  EXPECT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &put_response, milliseconds(300)).IsRetriable());
  EXPECT_LT(Clock::now() - call_start,
            milliseconds(2500));  // the timeout is 300 ms; the rest allows for a busy machine
  EXPECT_GT(one.connection_attempts(), connects + 3) << "not every member was tried again";
  for (std::size_t i = 0; i < 3; ++i) etcd->Up(i);
  put.set_lease(0);
  EXPECT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &put_response).ok());
}

TEST_F(RegistrarTest, ExpiredTokenIsRenewedAndWrongPasswordIsNotRetried) {
  EtcdSettings settings;
  settings.user = "proxy";
  settings.password = "secret";
  Start(settings);
  etcd::Client one(io, client, 7);
  pb::PutRequest put;
  put.set_key("a");
  pb::PutResponse put_response;
  ASSERT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &put_response).ok());
  etcd->ExpireTokens();
  EXPECT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &put_response).ok());
  client.password = "wrong";
  etcd::Client other(io, client, 7);
  const auto calls = etcd->calls();
  EXPECT_EQ(Call(other, "/etcdserverpb.KV/Put", put, &put_response).code, etcd::Code::kInvalidArgument);
  EXPECT_EQ(etcd->calls(), calls + 1);
}

TEST_F(RegistrarTest, StaysRegisteredThroughFaultsUntilStopped) {
  EtcdSettings settings;
  settings.members = 3;
  Start(settings);
  RegistrationSettings registration;
  registration.member.name = "c1";
  registration.member.address = "127.0.0.1:1";
  // A keep-alive is due at a third of the TTL and may take another third. One second is then left for a
  // retry, which is enough on a loaded machine that delays this process by some tenths of a second.
  constexpr std::chrono::seconds kLeaseTtl{3};
  constexpr milliseconds kOutage = milliseconds(kLeaseTtl) * 13 / 10;
  registration.lease_ttl = kLeaseTtl;
  registration.drain_time = milliseconds(50);
  Registrar registrar(io, client, registration, 3, nullptr);
  bool ended = false;
  asio::co_spawn(io, registrar.Run(), [&](std::exception_ptr) { ended = true; });
  ASSERT_TRUE(RunUntil([&] { return ValueOfKey(kPrefix + "c1").has_value(); }));
  // Each member fails in turn. The key stays, because the lease is kept alive at another member.
  for (std::size_t i = 0; i < 3; ++i) {
    etcd->Down(i);
    const auto outage_end = Clock::now() + kOutage;
    ASSERT_TRUE(RunUntil([&] {
      EXPECT_TRUE(ValueOfKey(kPrefix + "c1"));
      return Clock::now() > outage_end || ::testing::Test::HasFailure();
    }));
    etcd->Up(i);
  }
  EXPECT_EQ(registrar.registration().grants(), 1u);
  // All members are down for longer than the TTL: the lease expires, and the key is written with a new one.
  for (std::size_t i = 0; i < 3; ++i) etcd->Down(i);
  ASSERT_TRUE(RunUntil([&] { return !ValueOfKey(kPrefix + "c1"); }));
  for (std::size_t i = 0; i < 3; ++i) etcd->Up(i);
  ASSERT_TRUE(RunUntil([&] { return ValueOfKey(kPrefix + "c1").has_value(); }));
  EXPECT_EQ(registrar.registration().grants(), 2u);
  registrar.Stop();
  ASSERT_TRUE(RunUntil([&] { return ended; }));
  EXPECT_FALSE(ValueOfKey(kPrefix + "c1"));
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

/// The same etcd behind a TLS proxy, with certificates of a trusted and an untrusted authority.
class TlsTest : public RegistrarTest {
 protected:
  TlsTest() {
    directory = ::testing::TempDir() + "etcd_tls_XXXXXX";
    EXPECT_NE(mkdtemp(directory.data()), nullptr);
    authority.Write(directory + "/ca.pem");
    untrusted_authority.Write(directory + "/other.pem");
    authority.Issue("etcd", directory + "/server");
    authority.Issue("proxy", directory + "/client");
    authority.Issue("proxy", directory + "/old", -7200, -3600);
    untrusted_authority.Issue("proxy", directory + "/untrusted");
    Start();
    front = std::make_unique<standins::TlsFront>(io, Files("server"), etcd->address(0));
  }
  ~TlsTest() override { std::filesystem::remove_all(directory); }
  /// The files of a certificate and of the trusted authority.
  http_api::TlsFiles Files(const std::string& name, const std::string& ca = "ca") const {
    return {directory + "/" + name + ".pem", directory + "/" + name + ".key", directory + "/" + ca + ".pem"};
  }
  /// The error of a source that connects with these files; empty if it reaches the watching state.
  std::string WatchError(const http_api::TlsFiles& files, const std::string& server_name = "") {
    EtcdSourceSettings settings;
    settings.endpoints = {front->address()};
    settings.channel.tls = files;
    settings.channel.server_name = server_name;
    std::size_t members = 0;
    EtcdSource source(
        io, settings, 1, [&](Time, const Report& report) { members = report.members.size(); }, [](Time) {},
        [](const std::string&, const std::string&) {});
    EXPECT_TRUE(RunUntil([&] {
      return source.follower().state() == "watching" || !source.follower().last_error_message().empty();
    }));
    if (source.follower().state() != "watching") return source.follower().last_error_message();
    EXPECT_EQ(members, 1u);
    return "";
  }

  std::string directory;
  standins::Authority authority{"authority"}, untrusted_authority{"untrusted authority"};
  std::unique_ptr<standins::TlsFront> front;
};

TEST_F(TlsTest, WatchesOverTlsOnlyWithValidCertificatesOnBothSides) {
  Member member;
  member.name = "a";
  member.address = "127.0.0.1:1";
  etcd->Put(kPrefix + "a", SerializeMember(member));
  EXPECT_EQ(WatchError(Files("client")), "");
  EXPECT_EQ(front->accepted(), 1u);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
  // The server's certificate is of an untrusted authority, or for another name: the client rejects it.
  EXPECT_NE(WatchError(Files("client", "other")).find("certificate verify failed"), std::string::npos);
  EXPECT_NE(WatchError(Files("client"), "another.example").find("certificate verify failed"),
            std::string::npos);
  // The client's certificate has expired, or is of an untrusted authority: the server rejects it.
  const std::size_t refused = front->rejected();
  EXPECT_NE(WatchError(Files("old")), "");
  EXPECT_NE(WatchError(Files("untrusted")), "");
  EXPECT_GT(front->rejected(), refused);
  EXPECT_EQ(front->accepted(), 1u);
  // A cleartext connection to the TLS port fails. The message for a missing file names it.
  etcd::ClientSettings plain_settings = client;
  plain_settings.endpoints = {front->address()};
  etcd::Client cleartext(io, plain_settings, 1);
  pb::RangeRequest request;
  request.set_key("a");
  pb::RangeResponse response;
  EXPECT_FALSE(Call(cleartext, "/etcdserverpb.KV/Range", request, &response, milliseconds(300)).ok());
  plain_settings.channel.tls = Files("absent");
  etcd::Client client_without_files(io, plain_settings, 1);
  const etcd::Status status =
      Call(client_without_files, "/etcdserverpb.KV/Range", request, &response, milliseconds(300));
  EXPECT_NE(status.message.find("absent.pem"), std::string::npos) << status.ToString();
}

TEST_F(TlsTest, DrainIsReceivedOverTlsAfterADisconnect) {
  Member member;
  member.name = "a";
  member.address = "127.0.0.1:1";
  etcd->Put(kPrefix + "a", SerializeMember(member));
  EtcdSourceSettings settings;
  settings.endpoints = {front->address()};
  settings.channel.tls = Files("client");
  MemberState state = MemberState::kGone;
  EtcdSource source(
      io, settings, 1,
      [&](Time, const Report& report) {
        for (const Member& one : report.members) state = one.state;
      },
      [](Time) {}, [](const std::string&, const std::string&) {});
  ASSERT_TRUE(RunUntil([&] { return source.follower().state() == "watching" && etcd->watches() == 1; }));
  etcd->Down(0);
  member.state = MemberState::kDraining;
  etcd->Put(kPrefix + "a", SerializeMember(member));
  etcd->Up(0);
  ASSERT_TRUE(RunUntil([&] { return state == MemberState::kDraining; }));
  EXPECT_EQ(source.follower().resumes(), 1u);
}

}  // namespace
}  // namespace badgerbridge::membership
