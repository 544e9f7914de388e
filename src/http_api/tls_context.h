// SPDX-License-Identifier: Apache-2.0
//
// The TLS context that control APIs and the etcd client share.
#ifndef BADGERBRIDGE_HTTP_API_TLS_CONTEXT_H_
#define BADGERBRIDGE_HTTP_API_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <stdexcept>
#include <string>

#include "http_api/tls.h"

namespace badgerbridge::http_api {

/// Which side of a TLS connection a context is for.
enum class TlsSide {
  kClient,  ///< the side that connects
  kServer,  ///< the side that accepts
};

/// A context for TLS 1.3 only (RFC 8446) that requires and verifies the other side's certificate. Throws
/// std::runtime_error, naming the file, if a file cannot be used.
inline boost::asio::ssl::context MakeTlsContext(const TlsFiles& files, TlsSide side) {
  namespace ssl = boost::asio::ssl;
  ssl::context context(side == TlsSide::kServer ? ssl::context::tls_server : ssl::context::tls_client);
  boost::system::error_code error;
  const auto check = [&](const std::string& file, const char* content) {
    if (error) throw std::runtime_error(file + ": no " + content + " that can be used: " + error.message());
  };
  SSL_CTX_set_min_proto_version(context.native_handle(), TLS1_3_VERSION);
  // A session ticket (RFC 8446, section 4.6.1) would let a client resume after its certificate has expired.
  SSL_CTX_set_num_tickets(context.native_handle(), 0);
  context.use_certificate_chain_file(files.certificate, error);
  check(files.certificate, "certificate");
  context.use_private_key_file(files.key, ssl::context::pem, error);
  check(files.key, "private key for this certificate");
  context.load_verify_file(files.authority, error);
  check(files.authority, "authority's certificate");
  context.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
  return context;
}

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_TLS_CONTEXT_H_
