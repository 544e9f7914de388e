// SPDX-License-Identifier: Apache-2.0
#include "etcd/http2_server.h"

#include <algorithm>
#include <cstring>
#include <deque>
#include <utility>

#include "etcd/http2_session.h"

namespace badgerbridge::etcd {
namespace {

HeaderFields StatusFields(const Status& status) {
  return {{"grpc-status", std::to_string(static_cast<int>(status.code))},
          {"grpc-message", EncodeStatusMessage(status.message)}};
}

HeaderFields ResponseFields() { return {{":status", "200"}, {"content-type", "application/grpc"}}; }

// Returns the member that stores a header field; null if the field is not used.
std::string* FindHeader(CallHeaders& headers, std::string_view name) {
  if (name == ":method") return &headers.method;
  if (name == ":path") return &headers.path;
  if (name == "content-type") return &headers.content_type;
  if (name == "te") return &headers.te;
  if (name == "token") return &headers.token;
  return nullptr;
}

}  // namespace

bool CallHeaders::IsGrpc() const {
  return method == "POST" && content_type.rfind("application/grpc", 0) == 0 && te == "trailers";
}

struct Http2Server::Call {
  explicit Call(std::size_t max_message_bytes) : deframer(max_message_bytes) {}

  bool EndsResponse() const { return unsent_bytes == 0 && (status || ends_without_status); }
  std::size_t CopyOutput(std::uint8_t* buffer, std::size_t size);

  CallHeaders headers;
  std::size_t header_bytes = 0;
  MessageDeframer deframer;
  bool has_begun = false;            // on_call was called
  bool is_half_closed = false;       // the client has ended its side
  bool has_responded = false;        // the response headers were submitted
  bool is_finished = false;          // the response is complete; no more messages are accepted
  bool is_deferred = false;          // nghttp2 waits for ResumeOutput
  bool ends_without_status = false;  // see FinishWithoutStatus
  std::optional<Status> status;      // sent as trailers after all messages
  std::deque<std::string> output;    // framed messages
  std::size_t first_sent_bytes = 0;  // bytes of output.front() already sent
  std::size_t unsent_bytes = 0;      // bytes of output not yet sent
};

// Moves output to the buffer and returns the number of bytes.
std::size_t Http2Server::Call::CopyOutput(std::uint8_t* buffer, std::size_t size) {
  std::size_t copied = 0;
  while (copied < size && !output.empty()) {
    const std::string& first = output.front();
    const std::size_t piece = std::min(size - copied, first.size() - first_sent_bytes);
    std::memcpy(buffer + copied, first.data() + first_sent_bytes, piece);
    copied += piece;
    first_sent_bytes += piece;
    if (first_sent_bytes < first.size()) break;
    output.pop_front();
    first_sent_bytes = 0;
  }
  unsent_bytes -= copied;
  return copied;
}

// nghttp2's callbacks. Their names and parameters are those of nghttp2's documentation.
struct Http2Server::Callbacks {
  static Http2Server& Self(void* user_data) { return *static_cast<Http2Server*>(user_data); }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    Http2Server& self = Self(user_data);
    if (frame->headers.cat != NGHTTP2_HCAT_REQUEST || self.error_) return 0;
    const StreamId stream = frame->hd.stream_id;
    if (stream > self.last_accepted_) {  // sent before the client received the GOAWAY
      self.SubmitReset(stream, Http2Error::kRefusedStream);
      return 0;
    }
    self.calls_[stream] = std::make_unique<Call>(self.limits_.max_message_bytes);
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user_data) {
    Http2Server& self = Self(user_data);
    const StreamId stream = frame->hd.stream_id;
    Call* call = self.FindCall(stream);
    if (!call || call->is_finished) return 0;
    call->header_bytes += name_size + value_size;
    if (call->header_bytes > self.limits_.max_header_bytes) {
      self.RejectCall(stream, *call, Http2Error::kEnhanceYourCalm, {ProtocolErrorCode::kHeadersTooLarge, ""});
      return 0;
    }
    std::string* header = FindHeader(call->headers, MakeStringView(name, name_size));
    if (header) *header = MakeStringView(value, value_size);
    return 0;
  }

  static int OnDataChunk(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
                         std::size_t size, void* user_data) {
    Http2Server& self = Self(user_data);
    Call* call = self.FindCall(stream);
    if (!call || call->is_finished) return 0;
    // The handler may end this call or the connection, which frees the call; so the deframer is moved out
    // first.
    MessageDeframer deframer = std::move(call->deframer);
    const auto deliver = [&](std::string_view message) {
      const Call* receiver = self.FindCall(stream);
      if (receiver && !receiver->is_finished && self.handler_.on_message)
        self.handler_.on_message(stream, message);
    };
    const Result<void> fed = deframer.Feed(MakeStringView(data, size), deliver);
    call = self.FindCall(stream);
    if (!call) return 0;
    call->deframer = std::move(deframer);
    if (!fed && !call->is_finished)
      self.RejectCall(stream, *call, Http2Error::kProtocol,
                      {ProtocolErrorCode::kMalformedBody, fed.error().message});
    return 0;
  }

  static int OnFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    Http2Server& self = Self(user_data);
    const StreamId stream = frame->hd.stream_id;
    const bool has_headers = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (has_headers) BeginCall(self, stream);
    if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) HalfCloseCall(self, stream);
    return 0;
  }

  static void BeginCall(Http2Server& self, StreamId stream) {
    Call* call = self.FindCall(stream);
    if (!call || call->is_finished) return;
    call->has_begun = true;
    const CallHeaders headers = call->headers;  // the handler may end the call
    if (self.handler_.on_call) self.handler_.on_call(stream, headers);
  }

  static void HalfCloseCall(Http2Server& self, StreamId stream) {
    Call* call = self.FindCall(stream);
    if (!call || call->is_half_closed) return;
    call->is_half_closed = true;
    if (call->has_begun && self.handler_.on_half_closed) self.handler_.on_half_closed(stream);
  }

  // The response was sent; the rest of the request is not needed (RFC 9113, section 8.1).
  static int OnFrameSent(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    if (!(frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) return 0;
    if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) return 0;
    Http2Server& self = Self(user_data);
    const Call* call = self.FindCall(frame->hd.stream_id);
    if (call && !call->is_half_closed) self.SubmitReset(frame->hd.stream_id, Http2Error::kNone);
    return 0;
  }

  static int OnStreamClosed(nghttp2_session*, std::int32_t stream, std::uint32_t, void* user_data) {
    Http2Server& self = Self(user_data);
    const auto found = self.calls_.find(stream);
    if (found == self.calls_.end()) return 0;
    const std::unique_ptr<Call> call = std::move(found->second);
    self.calls_.erase(found);
    self.unsent_bytes_ -= call->unsent_bytes;
    if (call->has_begun && self.handler_.on_closed) self.handler_.on_closed(stream);
    return 0;
  }

  static ssize_t ReadResponse(nghttp2_session* session, std::int32_t stream, std::uint8_t* buffer,
                              std::size_t size, std::uint32_t* flags, nghttp2_data_source*, void* user_data) {
    Http2Server& self = Self(user_data);
    Call* call = self.FindCall(stream);
    if (!call) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t copied = call->CopyOutput(buffer, size);
    self.unsent_bytes_ -= copied;
    if (!call->EndsResponse()) {
      if (copied > 0) return static_cast<ssize_t>(copied);
      call->is_deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (call->status) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const HeaderFields trailers = StatusFields(*call->status);
      const std::vector<nghttp2_nv> name_values = MakeNameValues(trailers);
      nghttp2_submit_trailer(session, stream, name_values.data(), name_values.size());
    }
    return static_cast<ssize_t>(copied);
  }
};

Http2Server::Http2Server(Http2ServerLimits limits, Http2ServerHandler handler)
    : limits_(limits), handler_(std::move(handler)) {
  const Http2CallbacksPtr callbacks = NewHttp2Callbacks();
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks.get(), Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks.get(), Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks.get(), Callbacks::OnDataChunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks.get(), Callbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks.get(), Callbacks::OnFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks.get(), Callbacks::OnStreamClosed);
  session_ = NewHttp2ServerSession(*callbacks, this);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(limits_.max_concurrent_calls)},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits_.max_header_bytes)}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, std::size(settings));
}

Http2Server::~Http2Server() = default;

Http2Server::Call* Http2Server::FindCall(StreamId stream) const {
  const auto found = calls_.find(stream);
  return found == calls_.end() ? nullptr : found->second.get();
}

std::size_t Http2Server::unsent_bytes(StreamId stream) const {
  const Call* call = FindCall(stream);
  return call ? call->unsent_bytes : 0;
}

void Http2Server::BeginResponse(StreamId stream, Call& call) {
  if (std::exchange(call.has_responded, true)) return;
  const HeaderFields fields = ResponseFields();
  const std::vector<nghttp2_nv> name_values = MakeNameValues(fields);
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::ReadResponse;
  nghttp2_submit_response(session_.get(), stream, name_values.data(), name_values.size(), &provider);
}

void Http2Server::SubmitHeadersOnly(StreamId stream, Call& call, const HeaderFields& fields) {
  call.has_responded = true;
  const std::vector<nghttp2_nv> name_values = MakeNameValues(fields);
  nghttp2_submit_response(session_.get(), stream, name_values.data(), name_values.size(), nullptr);
}

void Http2Server::ResumeOutput(StreamId stream, Call& call) {
  if (std::exchange(call.is_deferred, false)) nghttp2_session_resume_data(session_.get(), stream);
}

void Http2Server::SubmitReset(StreamId stream, Http2Error error) {
  nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, stream, static_cast<std::uint32_t>(error));
}

void Http2Server::RejectCall(StreamId stream, Call& call, Http2Error http2_error,
                             const ProtocolError& error) {
  call.is_finished = true;
  SubmitReset(stream, http2_error);
  if (handler_.on_protocol_error) handler_.on_protocol_error(error);
}

bool Http2Server::SendMessage(StreamId stream, std::string_view message) {
  return SendFramedMessages(stream, FrameMessage(message));
}

bool Http2Server::SendFramedMessages(StreamId stream, std::string frames) {
  Call* call = FindCall(stream);
  if (!call || call->is_finished || unsent_bytes_ >= limits_.max_unsent_bytes) return false;
  BeginResponse(stream, *call);
  call->unsent_bytes += frames.size();
  unsent_bytes_ += frames.size();
  if (!frames.empty()) call->output.push_back(std::move(frames));
  ResumeOutput(stream, *call);
  return true;
}

void Http2Server::Finish(StreamId stream, const Status& status) {
  Call* call = FindCall(stream);
  if (!call || std::exchange(call->is_finished, true)) return;
  if (call->has_responded) {
    call->status = status;
    ResumeOutput(stream, *call);
    return;
  }
  HeaderFields fields = ResponseFields();
  for (HeaderField& field : StatusFields(status)) fields.push_back(std::move(field));
  SubmitHeadersOnly(stream, *call, fields);
}

void Http2Server::SendHeadersOnly(StreamId stream, const HeaderFields& fields) {
  Call* call = FindCall(stream);
  if (!call || call->has_responded || std::exchange(call->is_finished, true)) return;
  SubmitHeadersOnly(stream, *call, fields);
}

void Http2Server::FinishWithoutStatus(StreamId stream) {
  Call* call = FindCall(stream);
  if (!call || std::exchange(call->is_finished, true)) return;
  call->ends_without_status = true;
  BeginResponse(stream, *call);
  ResumeOutput(stream, *call);
}

void Http2Server::Reset(StreamId stream, Http2Error error) {
  Call* call = FindCall(stream);
  if (!call) return;
  call->is_finished = true;
  SubmitReset(stream, error);
}

ConnectionResult Http2Server::Feed(std::string_view bytes) {
  if (error_) return *error_;
  const auto error = ReceiveBytes(*session_, bytes);
  if (error && !error_) {
    error_ = error;
    if (handler_.on_protocol_error) handler_.on_protocol_error({ProtocolErrorCode::kHttp2, error->detail});
  }
  if (error_) return *error_;
  return {};
}

std::string Http2Server::TakeOutput(std::size_t min_bytes) {
  Http2Output output = TakeBytes(*session_, min_bytes);
  if (output.error && !error_) error_ = output.error;
  return std::move(output.bytes);
}

void Http2Server::Ping() { nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr); }

void Http2Server::GoAway(std::optional<StreamId> last_stream) {
  const StreamId last_begun = nghttp2_session_get_last_proc_stream_id(session_.get());
  last_accepted_ = std::min(last_accepted_, last_stream.value_or(last_begun));
  nghttp2_submit_goaway(session_.get(), NGHTTP2_FLAG_NONE, last_accepted_, NGHTTP2_NO_ERROR, nullptr, 0);
}

bool Http2Server::IsDone() const {
  return !nghttp2_session_want_read(session_.get()) && !nghttp2_session_want_write(session_.get());
}

void Http2Server::ConnectionLost(const ConnectionError& error) {
  if (!error_) error_ = error;
  while (!calls_.empty()) {
    const auto first = calls_.begin();
    const StreamId stream = first->first;
    const std::unique_ptr<Call> call = std::move(first->second);
    calls_.erase(first);
    unsent_bytes_ -= call->unsent_bytes;
    if (call->has_begun && handler_.on_closed) handler_.on_closed(stream);
  }
}

}  // namespace badgerbridge::etcd
