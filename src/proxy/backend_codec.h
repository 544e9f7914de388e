// SPDX-License-Identifier: Apache-2.0
//
// The HTTP/1.1 messages between the proxy and a backend (RFC 9112), and the platform's headers in them. No
// I/O.
#ifndef BADGERBRIDGE_PROXY_BACKEND_CODEC_H_
#define BADGERBRIDGE_PROXY_BACKEND_CODEC_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// The parts of a client's request that go to a backend unchanged.
struct ForwardedRequest {
  boost::beast::http::verb method = boost::beast::http::verb::get;  ///< of the request line
  std::string target;           ///< path and query, as the client wrote them
  std::string body;             ///< empty: none
  std::string correlation_id;   ///< X-Correlation-Id
  std::string idempotency_key;  ///< Idempotency-Key; empty: none
  std::string service_class;    ///< X-Service-Class
  std::string account;          ///< X-Account; empty: none
};

/// How one attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kUnknown;  ///< for the decision module
  std::string body;                     ///< of a response with status 200
  std::string content_type;             ///< of a response with status 200
  std::string load_report = {};         ///< X-Backend-Load of a complete response, if it is recorded
};

/// A request to a backend, as Beast writes it. Its body refers to the body of the ForwardedRequest.
using BackendRequest = boost::beast::http::request<boost::beast::http::span_body<const char>>;

/// A response of a backend.
using BackendResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Sets all of `message` but the time that is left. `request` must outlive the body of `message`.
void ComposeBackendRequest(const ForwardedRequest& request, BackendRequest& message);

/// Sets X-Time-Left-Ms, rounded up to whole milliseconds.
void SetTimeLeft(Duration time_left, BackendRequest& message);

/// Whether the end of a response is certain: it has exactly one length, or is chunked. Beast takes an unknown
/// transfer coding as none, and a response without a length as lasting to the end of the connection, where a
/// broken connection looks the same as a complete response (RFC 9112, section 8).
bool HasCertainEnd(const BackendResponse& response);

/// What a final response means for its attempt. Moves the body out of a response with status 200.
AttemptResult DecodeBackendResponse(BackendResponse& response, bool record_load_report);

/// Reads one response from the bytes of a connection, past the interim responses ahead of it. Beast's own
/// read operations are not used: they do not tell that a head has begun until all of it is there.
class BackendResponseReader {
 public:
  /// What the bytes that have come so far are.
  enum class Status {
    kIncomplete,  ///< more bytes are needed
    kInterim,     ///< an interim response (1xx) is complete: BeginNextResponse(), then parse again
    kComplete,    ///< the final response is complete
    kInvalid,     ///< no response, a truncated one, or one that is too large
  };

  /// Begins the response to a new request, and takes the memory for its first read. Throws std::bad_alloc.
  void Begin();

  /// Begins the response that follows an interim one.
  void BeginNextResponse();

  /// Releases all memory. Begin() must be called before the next use.
  void Release();

  /// The memory for the next read from the connection.
  boost::asio::mutable_buffer PrepareRead();

  /// `byte_count` bytes have been read into the memory that PrepareRead() gave.
  void CommitRead(std::size_t byte_count) { buffer_.commit(byte_count); }

  /// Parses what has been read. `error`: how the last read ended.
  Status Parse(boost::beast::error_code error);

  /// Whether bytes stand behind what has been parsed.
  bool HasUnparsedBytes() const { return buffer_.size() > 0; }

  /// The response that Parse() has found complete.
  BackendResponse& response() { return parser_->get(); }

 private:
  bool IsInterim();

  static constexpr std::size_t kMaxBodyBytes = 64 << 10;
  static constexpr std::size_t kMaxHeaderBytes = 16 << 10;
  static constexpr std::size_t kMaxReadBytes = 4096;  // of one read
  static constexpr int kMaxInterimResponses = 16;

  boost::beast::flat_buffer buffer_{kMaxHeaderBytes + kMaxBodyBytes};
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  int interim_responses_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_BACKEND_CODEC_H_
