// SPDX-License-Identifier: Apache-2.0
#include "etcd/http2.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "etcd/http2_fields.h"

namespace badgerbridge::etcd {
namespace {

constexpr std::uint32_t kStreamWindow = 1 << 20;
constexpr std::int32_t kConnectionWindow = 4 << 20;

}  // namespace

struct Http2Client::Call {
  Call(std::size_t most, CallHandler h) : unframer(most), handler(std::move(h)) {}
  Unframer unframer;
  CallHandler handler;
  StatusReader status;
  std::string out;
  std::size_t sent = 0, messages = 0;
  bool last = false, deferred = false, unary = false;
  std::optional<Status> ended;  // why this side resets it
};

struct Http2Client::Callbacks {
  static Http2Client& Self(void* user) { return *static_cast<Http2Client*>(user); }
  static Call* Find(void* user, std::int32_t stream) {
    const auto found = Self(user).calls_.find(stream);
    return found == Self(user).calls_.end() ? nullptr : found->second.get();
  }

  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user) {
    Call* call = Find(user, frame->hd.stream_id);
    if (!call || call->ended) return 0;
    if (!call->status.Header(BytesOf(name, name_size), BytesOf(value, value_size)))
      Abort(session, frame->hd.stream_id, call,
            {Code::kResourceExhausted, Ending::kTooLarge, "more headers than are taken"});
    return 0;
  }

  static int OnData(nghttp2_session* session, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
                    std::size_t size, void* user) {
    Call* call = Find(user, stream);
    if (!call || call->ended) return 0;
    if (!call->status.Grpc()) return 0;  // the page of some other server: its status will tell
    // A handler may cancel this very call, or begin others.
    const bool good = call->unframer.Feed(BytesOf(data, size), [&](std::string_view message) {
      Call* still = Find(user, stream);
      if (!still || still->ended) return;
      ++still->messages;
      const auto handler = still->handler.on_message;
      if (handler) handler(message);
    });
    call = Find(user, stream);
    if (call && !good && !call->ended) Abort(session, stream, call, call->unframer.error());
    return 0;
  }

  static int OnFrame(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
    Http2Client& self = Self(user);
    if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK)) ++self.pongs_;
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self.going_away_ = true;
      self.last_processed_ = frame->goaway.last_stream_id;
    }
    // The whole answer is there; what this side still had to send is of no use.
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) && Find(user, frame->hd.stream_id) &&
        !Find(user, frame->hd.stream_id)->last)
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) {
      if (Call* call = Find(user, frame->hd.stream_id); call && !call->ended)
        call->ended = call->status.AtEnd(call->unframer.Whole(), call->messages, call->unary);
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user) {
    Http2Client& self = Self(user);
    Call* call = Find(user, stream);
    if (!call) return 0;
    if (call->ended) {
      self.End(stream, *call->ended);
    } else if (code == NGHTTP2_REFUSED_STREAM || stream > self.last_processed_) {
      self.End(stream, {Code::kUnavailable, Ending::kRefused, "never processed"});
    } else if (code != NGHTTP2_NO_ERROR) {
      self.End(stream, {code == NGHTTP2_CANCEL ? Code::kCancelled : Code::kInternal, Ending::kReset,
                        nghttp2_http2_strerror(code)});
    } else {
      self.End(stream, call->status.AtEnd(call->unframer.Whole(), call->messages, call->unary));
    }
    return 0;
  }

  static ssize_t Read(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size,
                      std::uint32_t* flags, nghttp2_data_source* source, void* user) {
    auto* call = static_cast<Call*>(source->ptr);
    const std::size_t n = std::min(size, call->out.size() - call->sent);
    if (n == 0 && !call->last) {
      call->deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(buffer, call->out.data() + call->sent, n);
    call->sent += n;
    Self(user).unsent_ -= n;
    if (call->sent == call->out.size()) {
      call->out.clear();
      call->sent = 0;
      if (call->last) *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(n);
  }

  static void Abort(nghttp2_session* session, std::int32_t stream, Call* call, Status status) {
    call->ended = std::move(status);
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
  }
};

Http2Client::Http2Client(std::string authority, Http2Limits limits, bool tls)
    : authority_(std::move(authority)), scheme_(tls ? "https" : "http"), limits_(limits) {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) throw std::bad_alloc();
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::OnClose);
  const int made = nghttp2_session_client_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  if (made != 0) throw std::bad_alloc();
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(StatusReader::kMostHeaders)}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindow);
}

Http2Client::~Http2Client() {
  Lost("the connection was let go");
  nghttp2_session_del(session_);
}

CallId Http2Client::Begin(const std::string& path,
                          const std::vector<std::pair<std::string, std::string>>& metadata,
                          std::string_view message, bool last, CallHandler handler) {
  if (going_away_ || !error_.empty() || calls_.size() >= limits_.calls) return -1;
  auto call = std::make_unique<Call>(limits_.message, std::move(handler));
  call->out = Frame(message);
  call->last = call->unary = last;
  HeaderFields fields = {
      {":method", "POST"},           {":scheme", scheme_}, {":path", path},
      {":authority", authority_},    {"te", "trailers"},   {"content-type", "application/grpc"},
      {"user-agent", "badgerbridge"}};
  fields.insert(fields.end(), metadata.begin(), metadata.end());
  const std::vector<nghttp2_nv> headers = PairsOf(fields);
  nghttp2_data_provider provider{};
  provider.source.ptr = call.get();
  provider.read_callback = Callbacks::Read;
  const CallId id =
      nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) return -1;
  unsent_ += call->out.size();
  calls_.emplace(id, std::move(call));
  return id;
}

bool Http2Client::Send(CallId id, std::string_view message, bool last) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second->last || found->second->ended) return false;
  if (unsent_ + message.size() > limits_.unsent) return false;
  Call& call = *found->second;
  const std::string framed = Frame(message);
  call.out += framed;
  unsent_ += framed.size();
  call.last = last;
  if (std::exchange(call.deferred, false)) nghttp2_session_resume_data(session_, id);
  return true;
}

void Http2Client::Cancel(CallId id, Ending ending) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second->ended) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  // Told now; what the session still says of it finds no handler.
  const CallHandler handler = std::exchange(found->second->handler, {});
  found->second->ended =
      Status{ending == Ending::kTimeout ? Code::kDeadlineExceeded : Code::kCancelled, ending, ""};
  const Status status = *found->second->ended;
  if (handler.on_end) handler.on_end(status);
}

bool Http2Client::Feed(std::string_view bytes) {
  if (!error_.empty()) return false;
  const ssize_t taken =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (taken < 0) error_ = nghttp2_strerror(static_cast<int>(taken));
  if (error_.empty() && !nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_))
    error_ = "the other side ended the connection's work";
  return error_.empty();
}

std::string Http2Client::TakeOutput() {
  std::string out;
  for (;;) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) error_ = nghttp2_strerror(static_cast<int>(size));
    if (size <= 0) return out;
    out.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
  }
}

void Http2Client::Ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

void Http2Client::End(CallId id, Status status) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const std::unique_ptr<Call> call = std::move(found->second);
  unsent_ -= call->out.size() - call->sent;
  calls_.erase(found);
  if (call->handler.on_end) call->handler.on_end(status);
}

void Http2Client::Lost(const std::string& why) {
  if (error_.empty()) error_ = why;
  while (!calls_.empty()) {
    const auto first = calls_.begin();
    // Beyond what the other side said that it processes: it never ran.
    const bool refused = first->first > last_processed_;
    End(first->first, first->second->ended
                          ? *first->second->ended
                          : Status{Code::kUnavailable, refused ? Ending::kRefused : Ending::kLost, why});
  }
}

}  // namespace badgerbridge::etcd
