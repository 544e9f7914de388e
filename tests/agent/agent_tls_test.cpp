// SPDX-License-Identifier: Apache-2.0
//
// The agent's API over TLS: roles of certificates, and peers that misbehave.
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

/// An agent in this process that serves TLS, and certificates of several peers.
class TlsTest : public AgentTest {
 protected:
  /// Starts the agent with one proxy, and waits until that is ready.
  void StartTls() {
    Start(1);
    const std::string& folder = site->folder();
    ca.Write(folder + "/ca.pem");
    ca.Issue("bay-1", folder + "/agent");
    ca.Issue("reader", folder + "/reader");
    ca.Issue("operator", folder + "/operator");
    ca.Issue("stranger", folder + "/stranger");
    ca.Issue("operator", folder + "/expired", -7200, -3600);
    other.Write(folder + "/other-ca.pem");
    other.Issue("operator", folder + "/forged");
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
  /// The answer to a call with the certificate of `who`.
  http_api::Reply As(const std::string& who, const std::string& method, const std::string& path,
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

  Authority ca{"test authority"}, other{"another authority"};
  std::unique_ptr<Agent> agent;
};

const char kDrain[] = R"({"id":"o1","verb":"drain","instances":["n1"]})";

TEST_F(TlsTest, CertificateNameDecidesTheRole) {
  StartTls();
  EXPECT_EQ(As("reader", "GET", "/v1/status").status, 200u);
  const http_api::Reply refused = As("reader", "POST", "/v1/orders", kDrain);
  EXPECT_EQ(refused.status, 403u);
  EXPECT_EQ(refused.ErrorMessage(), "cn reader has the role reader; this takes operator");
  EXPECT_EQ(As("stranger", "GET", "/v1/status").status, 403u);
  EXPECT_EQ(As("operator", "POST", "/v1/apply", "{}").status, 403u);
  EXPECT_EQ(As("reader", "POST", "/v1/instances/n1/members/release", "{}").status, 403u);
  EXPECT_EQ(As("reader", "GET", "/v1/instances/n9/members").status, 404u);
  EXPECT_EQ(As("operator", "POST", "/v1/orders", kDrain).status, 202u);
  const std::string audit = site->Read("state/audit.log");
  EXPECT_NE(audit.find(R"("who":"cn reader","what":"not allowed")"), std::string::npos) << audit;
  EXPECT_NE(audit.find(R"("who":"cn operator","what":"order")"), std::string::npos) << audit;
}

TEST_F(TlsTest, MissingForgedOrExpiredCertificateGetsNoAnswer) {
  StartTls();
  for (const char* who : {"expired", "forged"}) {
    const http_api::Reply reply = As(who, "POST", "/v1/orders", kDrain);
    EXPECT_EQ(reply.status, 0u) << who;
    EXPECT_TRUE(reply.error.has_value());
  }
  // Without any, and with an older TLS.
  for (const bool old : {false, true}) {
    asio::ssl::context context(asio::ssl::context::tls_client);
    if (old) SSL_CTX_set_max_proto_version(context.native_handle(), TLS1_2_VERSION);
    asio::ssl::stream<asio::ip::tcp::socket> stream(io, context);
    stream.next_layer().connect(*agent->tls_address());
    bool ended = false;
    std::string got(1024, '\0');
    boost::system::error_code result;
    const std::string request = "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.async_handshake(asio::ssl::stream_base::client, [&](boost::system::error_code error) {
      result = error;
      if (error) {
        ended = true;
        return;
      }
      // TLS 1.3: the client learns of its refusal with what it reads next.
      asio::async_write(stream, asio::buffer(request), [&](boost::system::error_code, std::size_t) {
        stream.async_read_some(asio::buffer(got), [&](boost::system::error_code read_error, std::size_t) {
          result = read_error;
          ended = true;
        });
      });
    });
    EXPECT_TRUE(site->Until([&] { return ended; }));
    EXPECT_TRUE(result.failed()) << got;
  }
  EXPECT_EQ(agent->controller().generation(), 0u);
}

TEST_F(TlsTest, HugeBodyAndSilentConnectionsDelayOthersOnlyBriefly) {
  StartTls();
  // A body of 1 GB is announced and refused at its head; nobody waits for it.
  {
    asio::ssl::context context(asio::ssl::context::tls_client);
    const std::string& folder = site->folder();
    context.use_certificate_chain_file(folder + "/operator.pem");
    context.use_private_key_file(folder + "/operator.key", asio::ssl::context::pem);
    asio::ssl::stream<asio::ip::tcp::socket> stream(io, context);
    stream.next_layer().connect(*agent->tls_address());
    const std::string request = "POST /v1/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 1073741824\r\n\r\n";
    std::string got;
    std::array<char, 4096> piece;
    bool ended = false;
    stream.async_handshake(asio::ssl::stream_base::client, [&](boost::system::error_code) {
      asio::async_write(stream, asio::buffer(request), [&](boost::system::error_code, std::size_t) {
        stream.async_read_some(asio::buffer(piece), [&](boost::system::error_code, std::size_t n) {
          got.assign(piece.data(), n);
          ended = true;
        });
      });
    });
    ASSERT_TRUE(site->Until([&] { return ended; }));
    EXPECT_EQ(got.rfind("HTTP/1.1 413", 0), 0u) << got;
  }
  std::vector<asio::ip::tcp::socket> silent;
  silent.reserve(500);
  for (int i = 0; i < 500; ++i) {
    silent.emplace_back(io);
    silent.back().async_connect(*agent->tls_address(), [&silent, i](boost::system::error_code error) {
      boost::system::error_code ignored;
      if (!error && i % 3 == 0)
        asio::write(silent[static_cast<std::size_t>(i)], asio::buffer("\x16\x03\x01", 3), ignored);
    });
  }
  // The control socket has places of its own; over TLS the next is answered once its turn has come.
  EXPECT_EQ(site->Call("GET", "/v1/status").status, 200u);
  EXPECT_TRUE(site->Until([&] { return As("reader", "GET", "/v1/status").status == 200u; }, seconds(60)));
}

}  // namespace
}  // namespace badgerbridge::agent
