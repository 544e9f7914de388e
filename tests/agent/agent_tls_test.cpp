// SPDX-License-Identifier: Apache-2.0
//
// The agent's API over TLS: the roles of certificates, and faulty peers.
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <vector>

#include "agent/agent.h"
#include "agent_fixture.h"
#include "standins/certificates.h"

namespace badgerbridge::agent {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace standins;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs an agent with TLS in this process, and issues certificates for several peers.
class TlsTest : public AgentTest {
 protected:
  /// Starts the agent with one proxy, and waits until the proxy is ready.
  void StartTls() {
    Start(1);
    const std::string& folder = site->folder();
    authority.Write(folder + "/ca.pem");
    authority.Issue("bay-1", folder + "/agent");
    authority.Issue("reader", folder + "/reader");
    authority.Issue("operator", folder + "/operator");
    authority.Issue("stranger", folder + "/stranger");
    authority.Issue("operator", folder + "/expired", -7200, -3600);
    untrusted_authority.Write(folder + "/other-ca.pem");
    untrusted_authority.Issue("operator", folder + "/forged");
    std::string text = site->FleetText(1);
    const std::size_t at = text.find("\n[[instance]]");
    text.insert(at, "max_connections = 8\n[agent.tls]\nlisten = \"127.0.0.1:0\"\ncertificate = \"" + folder +
                        "/agent.pem\"\nkey = \"" + folder + "/agent.key\"\nclient_ca = \"" + folder +
                        "/ca.pem\"\nroles = { reader = \"reader\", operator = \"operator\" }\n");
    site->Write("fleet.toml", text);
    operator_config::Problems problems;
    const FleetFile file = LoadFleetFile(folder + "/fleet.toml", problems);
    ASSERT_EQ(operator_config::FormatProblems(problems), "");
    agent = std::move(Agent::Create(io, file).value());
    ASSERT_TRUE(site->Until([&] { return site->All("ready"); }));
  }
  /// Sends a request with the certificate of `who`, and returns the reply.
  http_api::Reply CallAs(const std::string& who, const std::string& method, const std::string& path,
                         const std::string& body = "") {
    http_api::Target target;
    target.address = *agent->tls_address();
    const std::string& folder = site->folder();
    target.files = {folder + "/" + who + ".pem", folder + "/" + who + ".key", folder + "/ca.pem"};
    auto reply = std::make_shared<std::optional<http_api::Reply>>();
    asio::co_spawn(io, http_api::Call(target, method, path, body, milliseconds(8000)),
                   [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
    EXPECT_TRUE(site->Until([&] { return reply->has_value(); }));
    return **reply;
  }

  Authority authority{"test authority"}, untrusted_authority{"another authority"};
  std::unique_ptr<Agent> agent;
};

const char kDrain[] = R"({"id":"o1","verb":"drain","instances":["n1"]})";

TEST_F(TlsTest, CertificateNameDecidesTheRole) {
  StartTls();
  EXPECT_EQ(CallAs("reader", "GET", "/v1/status").status, 200u);
  const http_api::Reply rejected = CallAs("reader", "POST", "/v1/orders", kDrain);
  EXPECT_EQ(rejected.status, 403u);
  EXPECT_EQ(rejected.ErrorMessage(), "cn reader has the role reader; this takes operator");
  EXPECT_EQ(CallAs("stranger", "GET", "/v1/status").status, 403u);
  EXPECT_EQ(CallAs("operator", "POST", "/v1/apply", "{}").status, 403u);
  EXPECT_EQ(CallAs("reader", "POST", "/v1/instances/n1/members/release", "{}").status, 403u);
  EXPECT_EQ(CallAs("reader", "GET", "/v1/instances/n9/members").status, 404u);
  EXPECT_EQ(CallAs("operator", "POST", "/v1/orders", kDrain).status, 202u);
  const std::string audit = site->Read("state/audit.log");
  EXPECT_NE(audit.find(R"("who":"cn reader","what":"not allowed")"), std::string::npos) << audit;
  EXPECT_NE(audit.find(R"("who":"cn operator","what":"order")"), std::string::npos) << audit;
}

TEST_F(TlsTest, MissingForgedOrExpiredCertificateGetsNoAnswer) {
  StartTls();
  for (const char* who : {"expired", "forged"}) {
    const http_api::Reply reply = CallAs(who, "POST", "/v1/orders", kDrain);
    EXPECT_EQ(reply.status, 0u) << who;
    EXPECT_TRUE(reply.error.has_value());
  }
  // Without a certificate, and additionally with TLS 1.2.
  for (const bool use_tls12 : {false, true}) {
    asio::ssl::context context(asio::ssl::context::tls_client);
    if (use_tls12) SSL_CTX_set_max_proto_version(context.native_handle(), TLS1_2_VERSION);
    asio::ssl::stream<asio::ip::tcp::socket> stream(io, context);
    stream.next_layer().connect(*agent->tls_address());
    bool ended = false;
    std::string received(1024, '\0');
    boost::system::error_code result;
    const std::string request = "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.async_handshake(asio::ssl::stream_base::client, [&](boost::system::error_code error) {
      result = error;
      if (error) {
        ended = true;
        return;
      }
      // With TLS 1.3 the client learns of the rejection with its next read.
      asio::async_write(stream, asio::buffer(request), [&](boost::system::error_code, std::size_t) {
        stream.async_read_some(asio::buffer(received),
                               [&](boost::system::error_code read_error, std::size_t) {
                                 result = read_error;
                                 ended = true;
                               });
      });
    });
    EXPECT_TRUE(site->Until([&] { return ended; }));
    EXPECT_TRUE(result.failed()) << received;
  }
  EXPECT_EQ(agent->controller().generation(), 0u);
}

TEST_F(TlsTest, HugeBodyAndIdleConnectionsDelayOthersOnlyBriefly) {
  StartTls();
  // A request with a Content-Length of 1 GiB is rejected at its header, before its body is read.
  {
    asio::ssl::context context(asio::ssl::context::tls_client);
    const std::string& folder = site->folder();
    context.use_certificate_chain_file(folder + "/operator.pem");
    context.use_private_key_file(folder + "/operator.key", asio::ssl::context::pem);
    asio::ssl::stream<asio::ip::tcp::socket> stream(io, context);
    stream.next_layer().connect(*agent->tls_address());
    const std::string request = "POST /v1/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 1073741824\r\n\r\n";
    std::string received;
    std::array<char, 4096> buffer;
    bool ended = false;
    stream.async_handshake(asio::ssl::stream_base::client, [&](boost::system::error_code) {
      asio::async_write(stream, asio::buffer(request), [&](boost::system::error_code, std::size_t) {
        stream.async_read_some(asio::buffer(buffer), [&](boost::system::error_code, std::size_t n) {
          received.assign(buffer.data(), n);
          ended = true;
        });
      });
    });
    ASSERT_TRUE(site->Until([&] { return ended; }));
    EXPECT_EQ(received.rfind("HTTP/1.1 413", 0), 0u) << received;
  }
  std::vector<asio::ip::tcp::socket> idle;
  idle.reserve(500);
  for (int i = 0; i < 500; ++i) {
    idle.emplace_back(io);
    idle.back().async_connect(*agent->tls_address(), [&idle, i](boost::system::error_code error) {
      boost::system::error_code ignored;
      if (!error && i % 3 == 0)
        asio::write(idle[static_cast<std::size_t>(i)], asio::buffer("\x16\x03\x01", 3), ignored);
    });
  }
  // The Unix socket has its own connection limit. Over TLS a request is served once idle connections have
  // timed out.
  EXPECT_EQ(site->Call("GET", "/v1/status").status, 200u);
  EXPECT_TRUE(site->Until([&] { return CallAs("reader", "GET", "/v1/status").status == 200u; }, seconds(60)));
}

}  // namespace
}  // namespace badgerbridge::agent
