// SPDX-License-Identifier: Apache-2.0
#ifndef BADGERBRIDGE_HTTP_API_TLS_CONTEXT_H_
#define BADGERBRIDGE_HTTP_API_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <stdexcept>
#include <string>

#include "http_api/tls.h"

namespace badgerbridge::http_api {

// TLS 1.3 alone, the other side's certificate required. Throws std::runtime_error that names the file.
inline boost::asio::ssl::context TlsContext(const TlsFiles& files, bool server) {
  namespace ssl = boost::asio::ssl;
  ssl::context context(server ? ssl::context::tls_server : ssl::context::tls_client);
  boost::system::error_code error;
  const auto check = [&](const std::string& file, const char* what) {
    if (error) throw std::runtime_error(file + ": no " + what + " that can be used: " + error.message());
  };
  SSL_CTX_set_min_proto_version(context.native_handle(), TLS1_3_VERSION);
  // A ticket would let a client come back after its certificate has run out.
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
