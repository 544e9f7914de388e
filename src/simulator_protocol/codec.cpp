// SPDX-License-Identifier: Apache-2.0
#include "simulator_protocol/codec.h"

#include <bit>
#include <cstring>
#include <istream>
#include <type_traits>
#include <utility>

namespace badgerbridge::simulator_protocol {
namespace {

static_assert(std::endian::native == std::endian::little,
              "the wire is little-endian; fields are copied as is");

enum EventCode : std::uint8_t {
  kCreate = 16,
  kDiscovery = 17,
  kSubmit = 18,
  kOpened = 19,
  kAttemptEnd = 20,
  kAborted = 21,
  kElapsed = 22,
  kProbed = 23,
  kHeard = 24,
  kCrashNow = 25,
};
enum ActionCode : std::uint8_t {
  kAbort = 16,
  kAbandon = 17,
  kStreamChanges = 18,
  kSayNo = 20,
  kInternalError = 21,
  kRecord = 22,
  kWakeMe = 25,
  kDispatch = 27,
};
constexpr std::uint32_t kEntryBytes = 23;
constexpr std::uint16_t kFlagHint = 1, kFlagRepeat = 2;

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  template <typename T>
  T Get() {
    static_assert(std::is_arithmetic_v<T>);
    T value;
    std::memcpy(&value, Bytes(sizeof value).data(), sizeof value);
    return value;
  }
  std::string_view Bytes(std::size_t n) {
    if (n > rest_.size()) throw MalformedInput("a length or field overruns its record");
    std::string_view taken = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return taken;
  }
  std::size_t left() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

Duration Millis(double ms) { return Duration(ms); }
TimePoint At(double ms) { return TimePoint(Duration(ms)); }

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

EndpointListUpdate ReadDiscovery(Reader& in) {
  EndpointListUpdate update;
  const auto how = in.Get<std::uint8_t>();
  if (how > 3) throw MalformedInput("a list of an unknown kind");
  update.kind = static_cast<EndpointListKind>(how);
  in.Get<std::uint32_t>();  // version: lists come in order and without gaps
  const auto count = in.Get<std::uint32_t>();
  if (count > in.left() / kEntryBytes) throw MalformedInput("a list overruns its record");
  Reader entries(in.Bytes(std::size_t{count} * kEntryBytes));
  for (std::uint32_t i = 0; i < count; ++i) {
    BackendEntry entry;
    entry.server = entries.Get<std::uint32_t>();
    entry.zone = entries.Get<std::uint16_t>();
    entry.kind = entries.Get<std::uint16_t>();
    entry.cell = entries.Get<std::uint16_t>();
    const auto state = entries.Get<std::uint8_t>();
    if (state > 2) throw MalformedInput("a list entry of an unknown state");
    entry.state = static_cast<BackendState>(state);
    entry.weight = entries.Get<float>();
    entry.up_since = At(entries.Get<double>());
    update.entries.push_back(entry);
  }
  return update;
}

Submit ReadSubmit(Reader& in) {
  Submit submit;
  submit.request = in.Get<std::uint64_t>();
  submit.due = At(in.Get<double>());
  submit.tenant = in.Get<std::uint16_t>();
  const auto flags = in.Get<std::uint16_t>();
  submit.has_hint = (flags & kFlagHint) != 0;
  submit.client_retry = (flags & kFlagRepeat) != 0;
  submit.key = in.Get<std::uint64_t>();
  submit.request_class = in.Get<std::uint16_t>();
  submit.work_ms = in.Get<double>();
  return submit;
}

AttemptEnded ReadAttemptEnd(Reader& in) {
  AttemptEnded end;
  end.request = in.Get<std::uint64_t>();
  end.settled = in.Get<std::uint8_t>() != 0;
  end.server = in.Get<std::uint32_t>();
  end.attempt = in.Get<std::uint8_t>();
  end.outcome = OutcomeOf(in.Get<std::uint16_t>());
  end.took = Millis(in.Get<double>());
  in.Bytes(sizeof(float) * in.Get<std::uint8_t>());  // load reports decide nothing
  return end;
}

Message ReadMessage(std::uint8_t code, Reader& in) {
  switch (code) {
    case kCreate: {
      Create create;
      create.seed = in.Get<std::uint64_t>();
      create.config = in.Bytes(in.Get<std::uint32_t>());
      return create;
    }
    case kDiscovery:
      return Event(ReadDiscovery(in));
    case kSubmit:
      return Event(ReadSubmit(in));
    case kOpened: {
      StreamStarted started;
      started.request = in.Get<std::uint64_t>();
      started.attempt = in.Get<std::uint8_t>();
      return Event(started);
    }
    case kAttemptEnd:
      return Event(ReadAttemptEnd(in));
    case kAborted:
      return Event(ClientDisconnected{in.Get<std::uint64_t>()});
    case kElapsed:
      return Event(TimerFired{in.Get<std::uint64_t>()});
    case kCrashNow:
      return Crash{};
    case kProbed:
    case kHeard:
      return Unknown{code, true};  // never asked for here
    default:
      return Unknown{code, false};
  }
}

template <typename T>
void Put(std::string& out, T value) {
  static_assert(std::is_arithmetic_v<T>);
  char bytes[sizeof value];
  std::memcpy(bytes, &value, sizeof value);
  out.append(bytes, sizeof value);
}

void PutText(std::string& out, std::string_view text) {
  text = text.substr(0, 0xffff);
  Put(out, static_cast<std::uint16_t>(text.size()));
  out.append(text);
}

// The code and the fields behind the instance.
struct Encoder {
  std::string& out;

  std::uint8_t operator()(const Dispatch& a) const {
    Put(out, a.request);
    Put(out, a.timeout.count());
    Put(out, a.server);
    return kDispatch;
  }
  std::uint8_t operator()(const CancelAttempt& a) const {
    Put(out, a.request);
    Put(out, static_cast<std::uint8_t>(a.attempt));
    return kAbandon;
  }
  std::uint8_t operator()(const Reject& a) const {
    Put(out, a.request);
    Put(out, a.retry_after.count());
    return kSayNo;
  }
  std::uint8_t operator()(const FailRequest& a) const {
    Put(out, a.request);
    return kAbort;
  }
  std::uint8_t operator()(const SetTimer& a) const {
    Put(out, a.at.time_since_epoch().count());
    Put(out, a.token);
    return kWakeMe;
  }
  std::uint8_t operator()(const Subscribe&) const {
    Put(out, std::uint8_t{1});
    return kStreamChanges;
  }
  std::uint8_t operator()(const Log& a) const {
    PutText(out, a.text);
    return kRecord;
  }
};

void PutRecord(std::string& body, std::uint8_t code, std::uint32_t instance, std::string_view fields) {
  Put(body, code);
  Put(body, static_cast<std::uint32_t>(sizeof instance + fields.size()));
  Put(body, instance);
  body.append(fields);
}

}  // namespace

Batch DecodeBatch(TimePoint now, std::uint32_t count, std::string_view body) {
  Batch batch;
  batch.now = now;
  Reader in(body);
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto code = in.Get<std::uint8_t>();
    Reader fields(in.Bytes(in.Get<std::uint32_t>()));
    Record record;
    const bool known = code >= kCreate && code <= kCrashNow;
    // The fields of an unknown code are not ours to read; known ones may have grown at their end.
    if (known) record.instance = fields.Get<std::uint32_t>();
    record.message = ReadMessage(code, fields);
    batch.records.push_back(std::move(record));
  }
  if (in.left() != 0) throw MalformedInput("bytes are left over behind the records of a frame");
  return batch;
}

std::optional<Batch> ReadBatch(std::istream& in) {
  char header[16];
  in.read(header, sizeof header);
  if (in.gcount() == 0) return std::nullopt;
  if (in.gcount() != sizeof header) throw MalformedInput("input ends inside the header of a frame");
  Reader fields(std::string_view(header, sizeof header));
  const TimePoint now = At(fields.Get<double>());
  const auto length = fields.Get<std::uint32_t>();
  const auto count = fields.Get<std::uint32_t>();
  // The stated length covers the count, too. Read in pieces: a wild length must not allocate gigabytes.
  if (length < sizeof count) throw MalformedInput("a frame shorter than its own header");
  std::string body;
  for (std::size_t left = length - sizeof count; left > 0;) {
    char piece[65536];
    const std::size_t want = left < sizeof piece ? left : sizeof piece;
    in.read(piece, static_cast<std::streamsize>(want));
    if (static_cast<std::size_t>(in.gcount()) != want) throw MalformedInput("input ends inside a frame");
    body.append(piece, want);
    left -= want;
  }
  return DecodeBatch(now, count, body);
}

void ReplyWriter::Add(std::uint32_t instance, const Action& action) {
  std::string fields;
  const std::uint8_t code = std::visit(Encoder{fields}, action);
  PutRecord(body_, code, instance, fields);
}

void ReplyWriter::AddInternalError(std::uint32_t instance, std::string_view text) {
  std::string fields;
  PutText(fields, text);
  PutRecord(body_, kInternalError, instance, fields);
}

std::string ReplyWriter::Take() {
  std::string frame;
  Put(frame, static_cast<std::uint32_t>(body_.size()));
  frame += body_;
  body_.clear();
  return frame;
}

}  // namespace badgerbridge::simulator_protocol
