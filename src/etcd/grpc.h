// SPDX-License-Identifier: Apache-2.0

/// \file
/// gRPC over HTTP/2 ("PROTOCOL-HTTP2" of the gRPC documentation): message framing, and the status in headers
/// and trailers. Performs no I/O.
#ifndef BADGERBRIDGE_ETCD_GRPC_H_
#define BADGERBRIDGE_ETCD_GRPC_H_

#include <boost/system/result.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "etcd/status.h"

namespace badgerbridge::etcd {

/// Returns the Length-Prefixed-Message of PROTOCOL-HTTP2: a zero compressed-flag byte, the length in four
/// bytes in big-endian order, and the message.
std::string FrameMessage(std::string_view message);

/// Splits the body of a request or response into its messages. The body may arrive in pieces of any size.
class MessageDeframer {
 public:
  /// A message longer than `max_message_bytes` is an error.
  explicit MessageDeframer(std::size_t max_message_bytes) : max_message_bytes_(max_message_bytes) {}

  /// Calls `on_message` for each complete message. After an error the body cannot be continued, and every
  /// further call returns the same error. The length is checked before any byte of the message is stored.
  Result<void> Feed(std::string_view bytes, const std::function<void(std::string_view)>& on_message);
  /// Whether the bytes so far end at a message boundary.
  bool IsAtMessageBoundary() const { return pending_.empty(); }

 private:
  bool FillPendingTo(std::size_t size, std::string_view* bytes);
  Status CheckPrefix() const;
  std::size_t PendingMessageBytes() const;

  std::size_t max_message_bytes_;
  std::string pending_;  // prefix and message bytes received so far
  Status error_;
};

/// Summary of a response body at the end of its stream.
struct ReceivedBody {
  std::size_t messages = 0;          ///< Number of complete messages.
  bool ends_within_message = false;  ///< The last message is incomplete.
  bool is_unary = false;             ///< The method requires exactly one response message.
};

/// Derives the status of a call from the headers and trailers of its response.
class ResponseStatus {
 public:
  /// Adds a header or trailer field. Returns false if all fields together exceed kMaxHeaderListBytes.
  bool AddHeader(std::string_view name, std::string_view value);
  /// The status of the call at the end of the stream.
  Status AtEndOfStream(const ReceivedBody& body) const;
  /// Whether the headers are those of a gRPC response. If not, the body contains no gRPC messages.
  bool IsGrpc() const { return http_status_ == 200 && has_grpc_content_type_; }

  /// Limit for headers and trailers together, in the size measure of RFC 9113, section 6.5.2.
  static constexpr std::size_t kMaxHeaderListBytes = 16 << 10;

 private:
  int http_status_ = 0;
  int grpc_status_ = -1;
  bool has_grpc_content_type_ = false;
  bool is_malformed_ = false;  // :status or grpc-status is not a number
  std::string message_;
  std::size_t header_list_bytes_ = 0;
};

/// Decodes the Percent-Encoded value of grpc-message. Malformed escapes are kept unchanged.
std::string DecodeStatusMessage(std::string_view text);
/// The inverse of DecodeStatusMessage.
std::string EncodeStatusMessage(std::string_view text);

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_GRPC_H_
