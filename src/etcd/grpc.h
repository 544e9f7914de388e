// SPDX-License-Identifier: Apache-2.0

/// \file
/// gRPC over HTTP/2 ("PROTOCOL-HTTP2" of the gRPC documentation): the framing of messages, and the status
/// that headers and trailers carry. Pure.
#ifndef BADGERBRIDGE_ETCD_GRPC_H_
#define BADGERBRIDGE_ETCD_GRPC_H_

#include <boost/system/result.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "etcd/status.h"

namespace badgerbridge::etcd {

/// The Length-Prefixed-Message of PROTOCOL-HTTP2: an uncompressed-flag byte, four bytes of length in
/// big-endian order, and the message.
std::string FrameMessage(std::string_view message);

/// Splits the body of a request or response into its messages. The body may arrive in pieces of any size.
class MessageDeframer {
 public:
  /// A message of more than `max_message_bytes` is an error.
  explicit MessageDeframer(std::size_t max_message_bytes) : max_message_bytes_(max_message_bytes) {}

  /// Calls `on_message` for each message that is complete. After an error, which every further call
  /// returns again, the body cannot be continued. The length is checked before any byte of the message is
  /// stored.
  Result<void> Feed(std::string_view bytes, const std::function<void(std::string_view)>& on_message);
  /// Whether the body so far ends between two messages.
  bool IsAtMessageBoundary() const { return pending_.empty(); }

 private:
  bool FillPendingTo(std::size_t size, std::string_view* bytes);
  Status CheckPrefix() const;
  std::size_t PendingMessageBytes() const;

  std::size_t max_message_bytes_;
  std::string pending_;  // prefix and message so far
  Status error_;
};

/// What the body of a response held by the end of its stream.
struct ReceivedBody {
  std::size_t messages = 0;          ///< Complete messages.
  bool ends_within_message = false;  ///< The last message is incomplete.
  bool is_unary = false;             ///< The method's response is exactly one message.
};

/// Derives the status of a call from the headers and trailers of its response.
class ResponseStatus {
 public:
  /// Adds a field of the headers or trailers. False if all of them together exceed kMaxHeaderListBytes.
  bool AddHeader(std::string_view name, std::string_view value);
  /// The status at the end of the stream.
  Status AtEndOfStream(const ReceivedBody& body) const;
  /// False if the headers so far are not those of a gRPC response, so that its body is not messages.
  bool IsGrpc() const { return http_status_ == 200 && has_grpc_content_type_; }

  /// The limit for headers and trailers together, as RFC 9113, section 6.5.2, counts them.
  static constexpr std::size_t kMaxHeaderListBytes = 16 << 10;

 private:
  int http_status_ = 0;
  int grpc_status_ = -1;
  bool has_grpc_content_type_ = false;
  bool is_malformed_ = false;  // a status that is no number
  std::string message_;
  std::size_t header_list_bytes_ = 0;
};

/// Decodes the Percent-Encoded value of grpc-message. Malformed escapes stay as they are.
std::string DecodeStatusMessage(std::string_view text);
/// The inverse of DecodeStatusMessage.
std::string EncodeStatusMessage(std::string_view text);

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_GRPC_H_
