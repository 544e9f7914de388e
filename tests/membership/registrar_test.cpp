// SPDX-License-Identifier: Apache-2.0
//
// Client and registrar over sockets: fail-over, tokens that run out, TLS with certificates on both sides.
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

/// A stand-in etcd and the settings of clients to it.
class RegistrarTest : public ::testing::Test {
 protected:
  /// Runs until `holds`, 20 s at most; whether it came to hold.
  bool Until(const std::function<bool()>& holds) {
    const auto due = Clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (Clock::now() > due) return false;
      io.restart();
      io.run_one_for(milliseconds(20));
    }
    return true;
  }
  /// Starts etcd, and points the clients' settings at it.
  void Start(EtcdSettings settings = {}) {
    etcd = std::make_unique<Etcd>(io, settings);
    for (int i = 0; i < settings.members; ++i)
      client.endpoints.push_back(etcd->address(static_cast<std::size_t>(i)));
    client.user = settings.user;
    client.password = settings.password;
    client.call_timeout = milliseconds(200);
  }
  /// Makes one call and waits for its end.
  template <typename Request, typename Response>
  etcd::Status Call(etcd::Client& caller, const std::string& path, const Request& request, Response* response,
                    milliseconds timeout = milliseconds(3000)) {
    std::optional<etcd::Status> status;
    asio::co_spawn(io, caller.Call(path, request, response, timeout),
                   [&](std::exception_ptr, etcd::Status answer) { status = std::move(answer); });
    EXPECT_TRUE(Until([&] { return status.has_value(); }));
    return *status;
  }
  /// The value that etcd has under a key.
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

TEST_F(RegistrarTest, ACallIsRetriedAtAnotherMemberWithinItsTimeout) {
  EtcdSettings settings;
  settings.members = 3;
  Start(settings);
  etcd::Client one(io, client, 7);
  pb::PutRequest put;
  put.set_key("a");
  pb::PutResponse done;
  for (const EtcdFault fault :
       {EtcdFault::kTrailersOnly, EtcdFault::kReset, EtcdFault::kRefused, EtcdFault::kGoaway,
        EtcdFault::kGarbage, EtcdFault::kNever, EtcdFault::kNoStatus}) {
    etcd->Next(fault);
    EXPECT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &done).ok()) << static_cast<int>(fault);
  }
  // What no other member could better ends at once.
  put.set_lease(99);
  const auto connects = one.connection_attempts();
  EXPECT_EQ(Call(one, "/etcdserverpb.KV/Put", put, &done).code, etcd::Code::kNotFound);
  EXPECT_EQ(one.connection_attempts(), connects);
  for (std::size_t i = 0; i < 3; ++i) etcd->Down(i);
  const auto began = Clock::now();
  EXPECT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &done, milliseconds(300)).IsRetriable());
  EXPECT_LT(Clock::now() - began, milliseconds(2500));  // on a busy machine; 300 by itself
  EXPECT_GT(one.connection_attempts(), connects + 3) << "it went round";
  for (std::size_t i = 0; i < 3; ++i) etcd->Up(i);
  put.set_lease(0);
  EXPECT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &done).ok());
}

TEST_F(RegistrarTest, AnExpiredTokenIsRenewedAndAWrongPasswordIsNotRetried) {
  EtcdSettings settings;
  settings.user = "proxy";
  settings.password = "secret";
  Start(settings);
  etcd::Client one(io, client, 7);
  pb::PutRequest put;
  put.set_key("a");
  pb::PutResponse done;
  ASSERT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &done).ok());
  etcd->ExpireTokens();
  EXPECT_TRUE(Call(one, "/etcdserverpb.KV/Put", put, &done).ok());
  client.password = "wrong";
  etcd::Client other(io, client, 7);
  const auto calls = etcd->calls();
  EXPECT_EQ(Call(other, "/etcdserverpb.KV/Put", put, &done).code, etcd::Code::kInvalidArgument);
  EXPECT_EQ(etcd->calls(), calls + 1);
}

TEST_F(RegistrarTest, StaysRegisteredThroughFaultsUntilStopped) {
  EtcdSettings settings;
  settings.members = 3;
  Start(settings);
  RegistrationSettings registration;
  registration.member.name = "c1";
  registration.member.address = "127.0.0.1:1";
  // A keep-alive is due at a third of the lease and may take another third, so a second is left for a retry,
  // also where a loaded machine holds this process up for some tenths of it.
  constexpr std::chrono::seconds kLeaseTtl{3};
  constexpr milliseconds kOutage = milliseconds(kLeaseTtl) * 13 / 10;
  registration.lease_ttl = kLeaseTtl;
  registration.drain_time = milliseconds(50);
  Registrar registrar(io, client, registration, 3, nullptr);
  bool ended = false;
  asio::co_spawn(io, registrar.Run(), [&](std::exception_ptr) { ended = true; });
  ASSERT_TRUE(Until([&] { return ValueOfKey(kPrefix + "c1").has_value(); }));
  // Members go and come; the key stays, since the lease is kept alive at another.
  for (std::size_t i = 0; i < 3; ++i) {
    etcd->Down(i);
    const auto until = Clock::now() + kOutage;
    ASSERT_TRUE(Until([&] {
      EXPECT_TRUE(ValueOfKey(kPrefix + "c1"));
      return Clock::now() > until || ::testing::Test::HasFailure();
    }));
    etcd->Up(i);
  }
  EXPECT_EQ(registrar.registration().grants(), 1u);
  // All of them gone for longer than the lease: lost, and written again.
  for (std::size_t i = 0; i < 3; ++i) etcd->Down(i);
  ASSERT_TRUE(Until([&] { return !ValueOfKey(kPrefix + "c1"); }));
  for (std::size_t i = 0; i < 3; ++i) etcd->Up(i);
  ASSERT_TRUE(Until([&] { return ValueOfKey(kPrefix + "c1").has_value(); }));
  EXPECT_EQ(registrar.registration().grants(), 2u);
  registrar.Stop();
  ASSERT_TRUE(Until([&] { return ended; }));
  EXPECT_FALSE(ValueOfKey(kPrefix + "c1"));
  EXPECT_EQ(etcd->protocol_errors(), 0u);
}

/// The same behind TLS, with certificates of two authorities.
class TlsTest : public RegistrarTest {
 protected:
  TlsTest() {
    folder = ::testing::TempDir() + "etcd_tls_XXXXXX";
    EXPECT_NE(mkdtemp(folder.data()), nullptr);
    authority.Write(folder + "/ca.pem");
    stranger.Write(folder + "/other.pem");
    authority.Issue("etcd", folder + "/server");
    authority.Issue("proxy", folder + "/client");
    authority.Issue("proxy", folder + "/old", -7200, -3600);
    stranger.Issue("proxy", folder + "/strange");
    Start();
    front = std::make_unique<standins::TlsFront>(io, Files("server"), etcd->address(0));
  }
  ~TlsTest() override { std::filesystem::remove_all(folder); }
  /// The files of one certificate, and of the authority that is trusted.
  http_api::TlsFiles Files(const std::string& name, const std::string& ca = "ca") const {
    return {folder + "/" + name + ".pem", folder + "/" + name + ".key", folder + "/" + ca + ".pem"};
  }
  /// Why a source cannot follow with these files; empty: it follows.
  std::string Follow(const http_api::TlsFiles& files, const std::string& server_name = "") {
    EtcdSourceSettings settings;
    settings.endpoints = {front->address()};
    settings.channel.tls = files;
    settings.channel.server_name = server_name;
    std::size_t members = 0;
    EtcdSource source(
        io, settings, 1, [&](Time, const Report& report) { members = report.members.size(); }, [](Time) {},
        [](const std::string&, const std::string&) {});
    EXPECT_TRUE(Until([&] {
      return source.follower().state() == "watching" || !source.follower().last_error_message().empty();
    }));
    if (source.follower().state() != "watching") return source.follower().last_error_message();
    EXPECT_EQ(members, 1u);
    return "";
  }

  std::string folder;
  standins::Authority authority{"authority"}, stranger{"stranger"};
  std::unique_ptr<standins::TlsFront> front;
};

TEST_F(TlsTest, FollowsOverTlsOnlyWithTheRightCertificatesOnBothSides) {
  Member member;
  member.name = "a";
  member.address = "127.0.0.1:1";
  etcd->Put(kPrefix + "a", SerializeMember(member));
  EXPECT_EQ(Follow(Files("client")), "");
  EXPECT_EQ(front->accepted(), 1u);
  EXPECT_EQ(etcd->protocol_errors(), 0u);
  // The server's is of another authority, or for another name: this side refuses, in one line.
  EXPECT_NE(Follow(Files("client", "other")).find("certificate verify failed"), std::string::npos);
  EXPECT_NE(Follow(Files("client"), "another.example").find("certificate verify failed"), std::string::npos);
  // This side's has run out, or is a stranger's: the server refuses.
  const std::size_t refused = front->rejected();
  EXPECT_NE(Follow(Files("old")), "");
  EXPECT_NE(Follow(Files("strange")), "");
  EXPECT_GT(front->rejected(), refused);
  EXPECT_EQ(front->accepted(), 1u);
  // Cleartext against TLS fails as well, and the message names a file that does not exist.
  etcd::ClientSettings plain = client;
  plain.endpoints = {front->address()};
  etcd::Client cleartext(io, plain, 1);
  pb::RangeRequest request;
  request.set_key("a");
  pb::RangeResponse response;
  EXPECT_FALSE(Call(cleartext, "/etcdserverpb.KV/Range", request, &response, milliseconds(300)).ok());
  plain.channel.tls = Files("absent");
  etcd::Client without(io, plain, 1);
  const etcd::Status status = Call(without, "/etcdserverpb.KV/Range", request, &response, milliseconds(300));
  EXPECT_NE(status.message.find("absent.pem"), std::string::npos) << status.ToString();
}

TEST_F(TlsTest, ADrainIsFollowedOverTlsAcrossABreak) {
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
  ASSERT_TRUE(Until([&] { return source.follower().state() == "watching" && etcd->watches() == 1; }));
  etcd->Down(0);
  member.state = MemberState::kDraining;
  etcd->Put(kPrefix + "a", SerializeMember(member));
  etcd->Up(0);
  ASSERT_TRUE(Until([&] { return state == MemberState::kDraining; }));
  EXPECT_EQ(source.follower().resumes(), 1u);
}

}  // namespace
}  // namespace badgerbridge::membership
