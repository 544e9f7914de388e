// SPDX-License-Identifier: Apache-2.0
#include "etcd/grpc.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstdio>

namespace badgerbridge::etcd {
namespace {

constexpr std::size_t kPrefixBytes = 5;           // PROTOCOL-HTTP2, "Length-Prefixed-Message"
constexpr std::size_t kHeaderOverheadBytes = 32;  // per field; RFC 9113, section 6.5.2
constexpr std::size_t kMaxStatusMessageBytes = 1024;
constexpr int kHttpOk = 200;

// "HTTP to gRPC Status Code Mapping" of the gRPC documentation.
Code CodeFromHttpStatus(int status) {
  switch (status) {
    case 400:
      return Code::kInternal;
    case 401:
      return Code::kUnauthenticated;
    case 403:
      return Code::kPermissionDenied;
    case 404:
      return Code::kUnimplemented;
    case 429:
    case 502:
    case 503:
    case 504:
      return Code::kUnavailable;
    default:
      return Code::kUnknown;
  }
}

int HexDigitValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

// Returns false unless the whole text is a number.
bool ParseNumber(std::string_view text, int* number) {
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, *number);
  return error == std::errc() && end == text_end;
}

bool IsGrpcContentType(std::string_view value) {
  return value == "application/grpc" || value.rfind("application/grpc+", 0) == 0 ||
         value.rfind("application/grpc;", 0) == 0;
}

}  // namespace

std::string FrameMessage(std::string_view message) {
  std::string framed(kPrefixBytes, '\0');
  const auto size = static_cast<std::uint32_t>(message.size());
  for (int i = 0; i < 4; ++i)
    framed[static_cast<std::size_t>(4 - i)] = static_cast<char>(size >> (8 * i) & 0xff);
  framed.append(message);
  return framed;
}

Result<void> MessageDeframer::Feed(std::string_view bytes,
                                   const std::function<void(std::string_view)>& on_message) {
  if (!error_.ok()) return error_;
  while (!bytes.empty() || pending_.size() >= kPrefixBytes) {
    if (!FillPendingTo(kPrefixBytes, &bytes)) return {};
    error_ = CheckPrefix();
    if (!error_.ok()) return error_;
    if (!FillPendingTo(kPrefixBytes + PendingMessageBytes(), &bytes)) return {};
    const std::string framed = std::move(pending_);
    pending_.clear();
    on_message(std::string_view(framed).substr(kPrefixBytes));
  }
  return {};
}

// Moves bytes to the pending message until it has `size` bytes. Returns false if there are too few.
bool MessageDeframer::FillPendingTo(std::size_t size, std::string_view* bytes) {
  if (pending_.size() >= size) return true;
  const std::size_t taken = std::min(size - pending_.size(), bytes->size());
  pending_.append(bytes->substr(0, taken));
  bytes->remove_prefix(taken);
  return pending_.size() == size;
}

Status MessageDeframer::CheckPrefix() const {
  if (pending_[0] != 0)
    return {Code::kInternal, Ending::kMalformed, "a compressed message, though none was asked for"};
  const std::size_t size = PendingMessageBytes();
  if (size > max_message_bytes_)
    return {Code::kResourceExhausted, Ending::kTooLarge,
            "a message of " + std::to_string(size) + " bytes; at most " + std::to_string(max_message_bytes_) +
                " are taken"};
  return {};
}

std::size_t MessageDeframer::PendingMessageBytes() const {
  std::size_t size = 0;
  for (std::size_t i = 1; i < kPrefixBytes; ++i) size = size << 8 | static_cast<unsigned char>(pending_[i]);
  return size;
}

bool ResponseStatus::AddHeader(std::string_view name, std::string_view value) {
  header_list_bytes_ += name.size() + value.size() + kHeaderOverheadBytes;
  if (header_list_bytes_ > kMaxHeaderListBytes) return false;
  if (name == ":status") {
    if (!ParseNumber(value, &http_status_)) is_malformed_ = true;
  } else if (name == "content-type") {
    has_grpc_content_type_ = IsGrpcContentType(value);
  } else if (name == "grpc-status") {
    if (!ParseNumber(value, &grpc_status_) || grpc_status_ < 0) is_malformed_ = true;
  } else if (name == "grpc-message") {
    message_ = DecodeStatusMessage(value).substr(0, kMaxStatusMessageBytes);
  }
  return true;
}

Status ResponseStatus::AtEndOfStream(const ReceivedBody& body) const {
  if (is_malformed_) return {Code::kUnknown, Ending::kMalformed, "a status that is no number"};
  if (http_status_ != kHttpOk)
    return {CodeFromHttpStatus(http_status_), Ending::kHttpStatus, "HTTP " + std::to_string(http_status_)};
  // In Trailers-Only a status is valid without a content type.
  if (grpc_status_ < 0 && !has_grpc_content_type_)
    return {Code::kUnknown, Ending::kHttpStatus, "the answer is no gRPC"};
  if (grpc_status_ < 0) return {Code::kUnknown, Ending::kNoStatus, "the stream ended without a status"};
  const Code code = grpc_status_ <= kMaxCode ? static_cast<Code>(grpc_status_) : Code::kUnknown;
  if (code == Code::kOk && body.ends_within_message)
    return {Code::kInternal, Ending::kMalformed, "the stream ended within a message"};
  if (code == Code::kOk && body.is_unary && body.messages != 1)
    return {Code::kInternal, Ending::kMalformed,
            body.messages == 0 ? "a status and no message" : "more than one message for one call"};
  return {code, Ending::kStatus, message_};
}

std::string DecodeStatusMessage(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_escape = text[i] == '%' && i + 2 < text.size() && HexDigitValue(text[i + 1]) >= 0 &&
                           HexDigitValue(text[i + 2]) >= 0;
    if (!is_escape) {
      decoded += text[i];
      continue;
    }
    decoded += static_cast<char>(HexDigitValue(text[i + 1]) * 16 + HexDigitValue(text[i + 2]));
    i += 2;
  }
  return decoded;
}

std::string EncodeStatusMessage(std::string_view text) {
  std::string encoded;
  for (const char character : text) {
    if (character >= ' ' && character <= '~' && character != '%') {
      encoded += character;
      continue;
    }
    char escape[4];
    std::snprintf(escape, sizeof escape, "%%%02X",
                  static_cast<unsigned>(static_cast<unsigned char>(character)));
    encoded += escape;
  }
  return encoded;
}

}  // namespace badgerbridge::etcd
