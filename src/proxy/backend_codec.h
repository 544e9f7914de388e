// SPDX-License-Identifier: Apache-2.0
//
// Encodes requests to backends and decodes their responses: HTTP/1.1 (RFC 9112) with the platform's headers.
// No I/O.
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

/// The result of one attempt.
struct AttemptResult {
  Outcome outcome = Outcome::kUnknown;  ///< for the decision module
  std::string body;                     ///< of a response with status 200
  std::string content_type;             ///< of a response with status 200
  std::string load_report = {};         ///< X-Backend-Load of a complete response; empty unless recorded
};

/// A request to a backend. Its body is a view of the body of the ForwardedRequest.
using BackendRequest = boost::beast::http::request<boost::beast::http::span_body<const char>>;

/// A response of a backend.
using BackendResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Sets all of `message` except X-Time-Left-Ms. `request` must outlive the body of `message`.
void ComposeBackendRequest(const ForwardedRequest& request, BackendRequest& message);

/// Sets X-Time-Left-Ms, rounded up to whole milliseconds.
void SetTimeLeft(Duration time_left, BackendRequest& message);

/// Whether the end of a response is explicit: it has exactly one Content-Length or is chunked. Beast ignores
/// an unknown transfer coding and reads a response without a length until the connection closes, which makes
/// a broken connection look like a complete response (RFC 9112, section 8).
bool HasExplicitEnd(const BackendResponse& response);

/// Maps a final response to the result of its attempt. Moves the body out of a response with status 200.
AttemptResult DecodeBackendResponse(BackendResponse& response, bool record_load_report);

/// Parses one response from the bytes of a connection and skips the interim responses before it. Beast's read
/// operations are not used because they don't report a partial header.
class BackendResponseReader {
 public:
  /// The state of the response after the bytes read so far.
  enum class Status {
    kIncomplete,  ///< more bytes are needed
    kInterim,     ///< an interim response (1xx) is complete: BeginNextResponse(), then parse again
    kComplete,    ///< the final response is complete
    kInvalid,     ///< not an HTTP response, truncated, or too large
  };

  /// Prepares for the response to a new request and allocates the memory for the first read. Throws
  /// std::bad_alloc.
  void Begin();

  /// Prepares for the response that follows an interim one.
  void BeginNextResponse();

  /// Releases all memory. Begin() must be called before the next use.
  void Release();

  /// The memory for the next read from the connection.
  boost::asio::mutable_buffer PrepareRead();

  /// Adds the `byte_count` bytes that have been read into the memory from PrepareRead().
  void CommitRead(std::size_t byte_count) { buffer_.commit(byte_count); }

  /// Parses the bytes read so far. `error`: the result of the last read.
  Status Parse(boost::beast::error_code error);

  /// Whether the buffer holds bytes that have not been parsed.
  bool HasUnparsedBytes() const { return buffer_.size() > 0; }

  /// The response; valid after Parse() has returned kInterim or kComplete.
  BackendResponse& response() { return parser_->get(); }

 private:
  bool IsInterim();

  static constexpr std::size_t kMaxBodyBytes = 64 << 10;
  static constexpr std::size_t kMaxHeaderBytes = 16 << 10;
  static constexpr std::size_t kMaxReadBytes = 4096;  // per read
  static constexpr int kMaxInterimResponses = 16;

  boost::beast::flat_buffer buffer_{kMaxHeaderBytes + kMaxBodyBytes};
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  int interim_responses_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_BACKEND_CODEC_H_
