// SPDX-License-Identifier: Apache-2.0
#include "etcd/http2_client.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "etcd/http2_session.h"

namespace badgerbridge::etcd {
namespace {

constexpr std::uint32_t kStreamWindowBytes = 1 << 20;
constexpr std::int32_t kConnectionWindowBytes = 4 << 20;

}  // namespace

struct Http2Client::Call {
  Call(std::size_t max_message_bytes, CallHandler call_handler)
      : deframer(max_message_bytes), handler(std::move(call_handler)) {}

  Status StatusAtEndOfStream() const {
    return response.AtEndOfStream({messages, !deframer.IsAtMessageBoundary(), is_unary});
  }

  MessageDeframer deframer;
  CallHandler handler;
  ResponseStatus response;
  std::string output;
  std::size_t sent_bytes = 0;      // bytes of output already sent
  std::size_t messages = 0;        // messages received
  bool end_stream_queued = false;  // the last request message was queued
  bool is_deferred = false;        // nghttp2 waits for nghttp2_session_resume_data
  bool is_unary = false;           // one request message, one response message
  std::optional<Status> result;    // set if the result is known before the stream is closed
};

// nghttp2's callbacks. Their names and parameters are those of nghttp2's documentation.
struct Http2Client::Callbacks {
  static Http2Client& Self(void* user_data) { return *static_cast<Http2Client*>(user_data); }

  static Call* FindCall(void* user_data, std::int32_t stream) {
    const auto found = Self(user_data).calls_.find(stream);
    return found == Self(user_data).calls_.end() ? nullptr : found->second.get();
  }

  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user_data) {
    Call* call = FindCall(user_data, frame->hd.stream_id);
    if (!call || call->result) return 0;
    if (!call->response.AddHeader(MakeStringView(name, name_size), MakeStringView(value, value_size)))
      Abort(session, frame->hd.stream_id, call,
            {Code::kResourceExhausted, Ending::kTooLarge, "more headers than are taken"});
    return 0;
  }

  static int OnDataChunk(nghttp2_session* session, std::uint8_t, std::int32_t stream,
                         const std::uint8_t* data, std::size_t size, void* user_data) {
    Call* call = FindCall(user_data, stream);
    if (!call || call->result) return 0;
    if (!call->response.IsGrpc()) return 0;  // not gRPC; the HTTP status determines the result
    // The handler may cancel this call or begin other calls.
    const auto deliver = [&](std::string_view message) {
      Call* receiver = FindCall(user_data, stream);
      if (!receiver || receiver->result) return;
      ++receiver->messages;
      const auto on_message = receiver->handler.on_message;
      if (on_message) on_message(message);
    };
    const Result<void> fed = call->deframer.Feed(MakeStringView(data, size), deliver);
    call = FindCall(user_data, stream);
    if (call && !fed && !call->result) Abort(session, stream, call, fed.error());
    return 0;
  }

  static int OnFrameReceived(nghttp2_session* session, const nghttp2_frame* frame, void* user_data) {
    Http2Client& self = Self(user_data);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self.going_away_ = true;
      self.last_processed_ = frame->goaway.last_stream_id;
    }
    if (!(frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) return 0;
    Call* call = FindCall(user_data, frame->hd.stream_id);
    if (!call) return 0;
    // The response is complete; the rest of the request is not needed.
    if (!call->end_stream_queued)
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    if (!call->result) call->result = call->StatusAtEndOfStream();
    return 0;
  }

  static int OnStreamClosed(nghttp2_session*, std::int32_t stream, std::uint32_t http2_error,
                            void* user_data) {
    Http2Client& self = Self(user_data);
    const Call* call = FindCall(user_data, stream);
    if (call) self.EndCall(stream, self.StatusAtClose(stream, *call, http2_error));
    return 0;
  }

  static ssize_t ReadRequest(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size,
                             std::uint32_t* flags, nghttp2_data_source* source, void* user_data) {
    auto* call = static_cast<Call*>(source->ptr);
    const std::size_t copied = std::min(size, call->output.size() - call->sent_bytes);
    if (copied == 0 && !call->end_stream_queued) {
      call->is_deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(buffer, call->output.data() + call->sent_bytes, copied);
    call->sent_bytes += copied;
    Self(user_data).unsent_bytes_ -= copied;
    if (call->sent_bytes == call->output.size()) {
      call->output.clear();
      call->sent_bytes = 0;
      if (call->end_stream_queued) *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(copied);
  }

  // Resets the stream. The call ends with `status` once nghttp2 has closed the stream.
  static void Abort(nghttp2_session* session, std::int32_t stream, Call* call, Status status) {
    call->result = std::move(status);
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
  }
};

Http2Client::Http2Client(std::string authority, Http2Limits limits, Scheme scheme)
    : authority_(std::move(authority)),
      scheme_(scheme == Scheme::kHttps ? "https" : "http"),
      limits_(limits) {
  const Http2CallbacksPtr callbacks = NewHttp2Callbacks();
  nghttp2_session_callbacks_set_on_header_callback(callbacks.get(), Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks.get(), Callbacks::OnDataChunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks.get(), Callbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks.get(), Callbacks::OnStreamClosed);
  session_ = NewHttp2ClientSession(*callbacks, this);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<std::uint32_t>(ResponseStatus::kMaxHeaderListBytes)}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, std::size(settings));
  nghttp2_session_set_local_window_size(session_.get(), NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

Http2Client::~Http2Client() {
  ConnectionLost({ConnectionErrorCode::kClosed, "the connection was destroyed"});
}

std::optional<CallId> Http2Client::BeginCall(const std::string& path, const HeaderFields& metadata,
                                             std::string_view message, bool end_stream, CallHandler handler) {
  if (going_away_ || error_ || calls_.size() >= limits_.max_concurrent_calls) return std::nullopt;
  auto call = std::make_unique<Call>(limits_.max_message_bytes, std::move(handler));
  call->output = FrameMessage(message);
  call->end_stream_queued = end_stream;
  call->is_unary = end_stream;
  HeaderFields fields = {
      {":method", "POST"},           {":scheme", scheme_}, {":path", path},
      {":authority", authority_},    {"te", "trailers"},   {"content-type", "application/grpc"},
      {"user-agent", "badgerbridge"}};
  fields.insert(fields.end(), metadata.begin(), metadata.end());
  const std::vector<nghttp2_nv> headers = MakeNameValues(fields);
  nghttp2_data_provider provider{};
  provider.source.ptr = call.get();
  provider.read_callback = Callbacks::ReadRequest;
  const CallId id =
      nghttp2_submit_request(session_.get(), nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) return std::nullopt;
  unsent_bytes_ += call->output.size();
  calls_.emplace(id, std::move(call));
  return id;
}

bool Http2Client::SendMessage(CallId id, std::string_view message, bool end_stream) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second->end_stream_queued || found->second->result) return false;
  if (unsent_bytes_ + message.size() > limits_.max_unsent_bytes) return false;
  Call& call = *found->second;
  const std::string framed = FrameMessage(message);
  call.output += framed;
  unsent_bytes_ += framed.size();
  call.end_stream_queued = end_stream;
  if (std::exchange(call.is_deferred, false)) nghttp2_session_resume_data(session_.get(), id);
  return true;
}

void Http2Client::CancelCall(CallId id, Ending ending) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second->result) return;
  nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  // The handler is removed from the call, so that closing the stream does not call it again.
  const CallHandler handler = std::exchange(found->second->handler, {});
  const Status status{ending == Ending::kTimeout ? Code::kDeadlineExceeded : Code::kCancelled, ending, ""};
  found->second->result = status;
  if (handler.on_end) handler.on_end(status);
}

ConnectionResult Http2Client::Feed(std::string_view bytes) {
  if (error_) return *error_;
  if (const auto error = ReceiveBytes(*session_, bytes)) error_ = error;
  const bool is_finished =
      !nghttp2_session_want_read(session_.get()) && !nghttp2_session_want_write(session_.get());
  if (!error_ && is_finished) error_ = ConnectionError{ConnectionErrorCode::kPeerFinished, ""};
  if (error_) return *error_;
  return {};
}

std::string Http2Client::TakeOutput() {
  Http2Output output = TakeBytes(*session_);
  if (output.error) error_ = output.error;
  return std::move(output.bytes);
}

void Http2Client::Ping() { nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr); }

Status Http2Client::StatusAtClose(CallId id, const Call& call, std::uint32_t http2_error) const {
  if (call.result) return *call.result;
  if (http2_error == NGHTTP2_REFUSED_STREAM || id > last_processed_)
    return {Code::kUnavailable, Ending::kRefused, "never processed"};
  if (http2_error == NGHTTP2_NO_ERROR) return call.StatusAtEndOfStream();
  return {http2_error == NGHTTP2_CANCEL ? Code::kCancelled : Code::kInternal, Ending::kReset,
          nghttp2_http2_strerror(http2_error)};
}

void Http2Client::EndCall(CallId id, const Status& status) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const std::unique_ptr<Call> call = std::move(found->second);
  unsent_bytes_ -= call->output.size() - call->sent_bytes;
  calls_.erase(found);
  if (call->handler.on_end) call->handler.on_end(status);
}

void Http2Client::ConnectionLost(const ConnectionError& error) {
  if (!error_) error_ = error;
  while (!calls_.empty()) {
    const auto& [id, call] = *calls_.begin();
    // Above the last stream in GOAWAY: the server never processed the call.
    const Ending ending = id > last_processed_ ? Ending::kRefused : Ending::kLost;
    const Status status = call->result.value_or(Status{Code::kUnavailable, ending, Message(error)});
    EndCall(id, status);
  }
}

}  // namespace badgerbridge::etcd
