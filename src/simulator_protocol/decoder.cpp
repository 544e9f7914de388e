// SPDX-License-Identifier: Apache-2.0
#include "simulator_protocol/decoder.h"

#include <algorithm>
#include <array>
#include <istream>
#include <string>
#include <utility>

#include "simulator_protocol/field_reader.h"
#include "simulator_protocol/wire.h"

namespace badgerbridge::simulator_protocol {
namespace {

using namespace balancer;

constexpr std::uint8_t kMaxListKind = 3;      // EndpointListKind on the wire
constexpr std::uint8_t kMaxBackendState = 2;  // BackendState on the wire
constexpr std::size_t kReadBytes = 65536;

TimePoint TimeAt(double time_ms) { return TimePoint(Duration(time_ms)); }

// The wire gives outcomes as HTTP status codes.
Outcome OutcomeOf(std::uint16_t status) {
  switch (status) {
    case 200:
      return Outcome::kOk;
    case 500:
      return Outcome::kError;
    case 503:
      return Outcome::kRejected;
    case 504:
      return Outcome::kTimeout;
    case 502:
      return Outcome::kConnectFailed;
    case 598:
      return Outcome::kReset;
    case 499:
      return Outcome::kCancelled;
    case 410:
      return Outcome::kNotSent;
    default:
      return Outcome::kUnknown;
  }
}

BackendEntry ReadBackendEntry(FieldReader& fields) {
  BackendEntry entry;
  entry.server = fields.Get<std::uint32_t>();
  entry.zone = fields.Get<std::uint16_t>();
  entry.kind = fields.Get<std::uint16_t>();
  entry.cell = fields.Get<std::uint16_t>();
  const auto state = fields.Get<std::uint8_t>();
  if (state > kMaxBackendState) fields.Fail(DecodeErrorCode::kUnknownBackendState, state);
  entry.state = static_cast<BackendState>(state);
  entry.weight = fields.Get<float>();
  entry.up_since = TimeAt(fields.Get<double>());
  return entry;
}

EndpointListUpdate ReadEndpointList(FieldReader& fields) {
  EndpointListUpdate update;
  const auto kind = fields.Get<std::uint8_t>();
  if (kind > kMaxListKind) fields.Fail(DecodeErrorCode::kUnknownListKind, kind);
  update.kind = static_cast<EndpointListKind>(kind);
  fields.Get<std::uint32_t>();  // version: lists come in order and without gaps
  const auto count = fields.Get<std::uint32_t>();
  if (count > fields.remaining_bytes() / kEndpointEntryBytes)
    fields.Fail(DecodeErrorCode::kEndpointListOverrun, count);
  FieldReader entries(fields.GetBytes(std::size_t{count} * kEndpointEntryBytes));
  for (std::uint32_t i = 0; i < count && !fields.has_error(); ++i) {
    update.entries.push_back(ReadBackendEntry(entries));
    fields.Fail(entries);
  }
  return update;
}

Submit ReadSubmit(FieldReader& fields) {
  Submit submit;
  submit.request = fields.Get<std::uint64_t>();
  submit.due = TimeAt(fields.Get<double>());
  submit.tenant = fields.Get<std::uint16_t>();
  const auto flags = fields.Get<std::uint16_t>();
  submit.has_hint = (flags & kWorkHintFlag) != 0;
  submit.client_retry = (flags & kClientRetryFlag) != 0;
  submit.key = fields.Get<std::uint64_t>();
  submit.request_class = fields.Get<std::uint16_t>();
  submit.work_ms = fields.Get<double>();
  return submit;
}

StreamStarted ReadStreamStarted(FieldReader& fields) {
  StreamStarted started;
  started.request = fields.Get<std::uint64_t>();
  started.attempt = fields.Get<std::uint8_t>();
  return started;
}

AttemptEnded ReadAttemptEnded(FieldReader& fields) {
  AttemptEnded ended;
  ended.request = fields.Get<std::uint64_t>();
  ended.settled = fields.Get<std::uint8_t>() != 0;
  ended.server = fields.Get<std::uint32_t>();
  ended.attempt = fields.Get<std::uint8_t>();
  ended.outcome = OutcomeOf(fields.Get<std::uint16_t>());
  ended.took = Duration(fields.Get<double>());
  const std::size_t report_bytes = sizeof(float) * fields.Get<std::uint8_t>();
  fields.GetBytes(report_bytes);  // load reports are not used for decisions
  return ended;
}

CreateInstance ReadCreateInstance(FieldReader& fields) {
  CreateInstance create;
  create.seed = fields.Get<std::uint64_t>();
  const auto config_bytes = fields.Get<std::uint32_t>();
  create.config = fields.GetBytes(config_bytes);
  return create;
}

InstanceMessage ReadMessage(std::uint8_t code, FieldReader& fields) {
  switch (code) {
    case kCreateInstanceCode:
      return ReadCreateInstance(fields);
    case kEndpointListCode:
      return Event(ReadEndpointList(fields));
    case kSubmitCode:
      return Event(ReadSubmit(fields));
    case kStreamStartedCode:
      return Event(ReadStreamStarted(fields));
    case kAttemptEndedCode:
      return Event(ReadAttemptEnded(fields));
    case kClientDisconnectedCode:
      return Event(ClientDisconnected{fields.Get<std::uint64_t>()});
    case kTimerFiredCode:
      return Event(TimerFired{fields.Get<std::uint64_t>()});
    case kCrashInstanceCode:
      return CrashInstance{};
    case kProbeEndedCode:
    case kGossipCode:
      return IgnoredEvent{code, true};  // the module never asks for them
    default:
      return IgnoredEvent{code, false};
  }
}

// `fields`: those of the record alone.
Record ReadRecord(std::uint8_t code, FieldReader& fields) {
  Record record;
  // A record of an unknown code need not begin with an instance.
  const bool is_known_code = code >= kCreateInstanceCode && code <= kCrashInstanceCode;
  if (is_known_code) record.instance = fields.Get<std::uint32_t>();
  record.message = ReadMessage(code, fields);
  return record;
}

// In pieces: a wrong length must not allocate gigabytes.
DecodeResult<std::string> ReadBody(std::istream& input, std::size_t size) {
  std::string body;
  std::array<char, kReadBytes> piece;
  while (body.size() < size) {
    const std::size_t wanted = std::min(piece.size(), size - body.size());
    input.read(piece.data(), static_cast<std::streamsize>(wanted));
    const auto received = static_cast<std::size_t>(input.gcount());
    body.append(piece.data(), received);
    if (received != wanted) return DecodeError{DecodeErrorCode::kTruncatedFrame, 0, size - body.size()};
  }
  return body;
}

}  // namespace

DecodeResult<Batch> DecodeBatch(TimePoint now, std::uint32_t count, std::string_view body) {
  Batch batch;
  batch.now = now;
  FieldReader frame(body);
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto code = frame.Get<std::uint8_t>();
    const auto length = frame.Get<std::uint32_t>();
    FieldReader fields(frame.GetBytes(length));
    if (!frame.has_error()) batch.records.push_back(ReadRecord(code, fields));
    frame.Fail(fields);
    if (frame.has_error()) return DecodeError{frame.error().code, i, frame.error().value};
  }
  if (frame.remaining_bytes() != 0)
    return DecodeError{DecodeErrorCode::kTrailingBytes, 0, frame.remaining_bytes()};
  return batch;
}

DecodeResult<std::optional<Batch>> ReadBatch(std::istream& input) {
  std::array<char, kFrameHeaderBytes> header;
  input.read(header.data(), header.size());
  const auto received = static_cast<std::size_t>(input.gcount());
  if (received == 0) return std::optional<Batch>();
  if (received != header.size()) return DecodeError{DecodeErrorCode::kTruncatedHeader, 0, received};
  FieldReader fields(std::string_view(header.data(), header.size()));
  const TimePoint now = TimeAt(fields.Get<double>());
  const auto length = fields.Get<std::uint32_t>();
  const auto count = fields.Get<std::uint32_t>();
  // The stated length covers the count, too.
  if (length < sizeof count) return DecodeError{DecodeErrorCode::kFrameTooShort, 0, length};
  const DecodeResult<std::string> body = ReadBody(input, length - sizeof count);
  if (!body) return body.error();
  DecodeResult<Batch> batch = DecodeBatch(now, count, *body);
  if (!batch) return batch.error();
  return std::optional<Batch>(std::move(*batch));
}

}  // namespace badgerbridge::simulator_protocol
