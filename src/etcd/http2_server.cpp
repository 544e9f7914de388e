// SPDX-License-Identifier: Apache-2.0
#include "etcd/http2_server.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <new>

#include "etcd/http2_fields.h"

namespace badgerbridge::etcd {

bool CallHead::IsGrpc() const {
  return method == "POST" && content_type.rfind("application/grpc", 0) == 0 && te == "trailers";
}

struct Http2Server::Call {
  explicit Call(std::size_t most) : unframer(most) {}

  CallHead head;
  std::size_t header_bytes = 0;
  Unframer unframer;
  bool began = false;        // on_call was called
  bool half_closed = false;  // by the client
  bool answered = false;     // the answer's headers are on their way
  bool finished = false;     // nothing more is taken for it
  bool deferred = false;     // nghttp2 waits for Resume
  bool without_status = false;
  std::optional<Status> status;  // to end with, once all is sent
  std::deque<std::string> out;
  std::size_t first_sent = 0;  // bytes of out's first
  std::size_t unsent = 0;
};

struct Http2Server::Callbacks {
  static Http2Server& Self(void* user) { return *static_cast<Http2Server*>(user); }

  static int OnBegin(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Http2Server& self = Self(user);
    if (frame->headers.cat != NGHTTP2_HCAT_REQUEST || !self.error_.empty()) return 0;
    const StreamId stream = frame->hd.stream_id;
    if (stream > self.last_taken_) {  // it crossed the GOAWAY, which may not have left yet
      nghttp2_submit_rst_stream(self.session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_REFUSED_STREAM);
      return 0;
    }
    self.calls_[stream] = std::make_unique<Call>(self.limits_.message);
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user) {
    Http2Server& self = Self(user);
    const StreamId stream = frame->hd.stream_id;
    Call* call = self.Find(stream);
    if (!call || call->finished) return 0;
    call->header_bytes += name_size + value_size;
    if (call->header_bytes > self.limits_.header_bytes) {
      self.Violation(stream, *call, Http2Error::kEnhanceYourCalm, "more header bytes than are taken");
      return 0;
    }
    const std::string_view key = BytesOf(name, name_size);
    const std::pair<std::string_view, std::string*> known[] = {{":method", &call->head.method},
                                                               {":path", &call->head.path},
                                                               {"content-type", &call->head.content_type},
                                                               {"te", &call->head.te},
                                                               {"token", &call->head.token}};
    for (const auto& [field, text] : known) {
      if (key == field) *text = BytesOf(value, value_size);
    }
    return 0;
  }

  static int OnData(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
                    std::size_t size, void* user) {
    Http2Server& self = Self(user);
    Call* call = self.Find(stream);
    if (!call || call->finished) return 0;
    // A handler may end this very call, or the connection, which frees the call: the unframer is taken out.
    Unframer unframer = std::move(call->unframer);
    const bool good = unframer.Feed(BytesOf(data, size), [&](std::string_view message) {
      const Call* still = self.Find(stream);
      if (still && !still->finished && self.handler_.on_message) self.handler_.on_message(stream, message);
    });
    call = self.Find(stream);
    if (!call) return 0;
    call->unframer = std::move(unframer);
    if (!good && !call->finished)
      self.Violation(stream, *call, Http2Error::kProtocol, call->unframer.error().message);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Http2Server& self = Self(user);
    const StreamId stream = frame->hd.stream_id;
    if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK)) ++self.pongs_;
    Call* call = self.Find(stream);
    const bool head = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (call && head && !call->finished) {
      call->began = true;
      const CallHead copy = call->head;
      if (self.handler_.on_call) self.handler_.on_call(stream, copy);
    }
    if (!(frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) return 0;
    call = self.Find(stream);
    if (!call || call->half_closed) return 0;
    call->half_closed = true;
    if (call->began && self.handler_.on_half_closed) self.handler_.on_half_closed(stream);
    return 0;
  }

  // The whole answer is sent: what the client still had to send is of no use (RFC 9113, section 8.1).
  static int OnFrameSent(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
    if (!(frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) return 0;
    if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) return 0;
    const Call* call = Self(user).Find(frame->hd.stream_id);
    if (call && !call->half_closed)
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    return 0;
  }

  static int OnClose(nghttp2_session*, std::int32_t stream, std::uint32_t, void* user) {
    Http2Server& self = Self(user);
    const auto found = self.calls_.find(stream);
    if (found == self.calls_.end()) return 0;
    const std::unique_ptr<Call> call = std::move(found->second);
    self.calls_.erase(found);
    self.unsent_ -= call->unsent;
    if (call->began && self.handler_.on_closed) self.handler_.on_closed(stream);
    return 0;
  }

  static ssize_t Read(nghttp2_session* session, std::int32_t stream, std::uint8_t* buffer, std::size_t size,
                      std::uint32_t* flags, nghttp2_data_source*, void* user) {
    Http2Server& self = Self(user);
    Call* call = self.Find(stream);
    if (!call) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t copied = CopyOut(*call, buffer, size);
    self.unsent_ -= copied;
    const bool last = call->unsent == 0 && (call->status || call->without_status);
    if (copied == 0 && !last) {
      call->deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    if (!last) return static_cast<ssize_t>(copied);
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (call->status) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const HeaderFields trailers = StatusFields(*call->status);
      const std::vector<nghttp2_nv> pairs = PairsOf(trailers);
      nghttp2_submit_trailer(session, stream, pairs.data(), pairs.size());
    }
    return static_cast<ssize_t>(copied);
  }

  static std::size_t CopyOut(Call& call, std::uint8_t* buffer, std::size_t size) {
    std::size_t copied = 0;
    while (copied < size && !call.out.empty()) {
      const std::string& first = call.out.front();
      const std::size_t n = std::min(size - copied, first.size() - call.first_sent);
      std::memcpy(buffer + copied, first.data() + call.first_sent, n);
      copied += n;
      call.first_sent += n;
      if (call.first_sent < first.size()) break;
      call.out.pop_front();
      call.first_sent = 0;
    }
    call.unsent -= copied;
    return copied;
  }

  static HeaderFields StatusFields(const Status& status) {
    return {{"grpc-status", std::to_string(static_cast<int>(status.code))},
            {"grpc-message", EncodeMessage(status.message)}};
  }
};

Http2Server::Http2Server(Http2ServerLimits limits, Http2ServerHandler handler)
    : limits_(limits), handler_(std::move(handler)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) throw std::bad_alloc();
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::OnBegin);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Callbacks::OnFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::OnClose);
  const int made = nghttp2_session_server_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  if (made != 0) throw std::bad_alloc();
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(limits_.calls)},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits_.header_bytes)}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
}

Http2Server::~Http2Server() { nghttp2_session_del(session_); }

Http2Server::Call* Http2Server::Find(StreamId stream) const {
  const auto found = calls_.find(stream);
  return found == calls_.end() ? nullptr : found->second.get();
}

std::size_t Http2Server::unsent(StreamId stream) const {
  const Call* call = Find(stream);
  return call ? call->unsent : 0;
}

void Http2Server::BeginAnswer(StreamId stream, Call& call) {
  if (std::exchange(call.answered, true)) return;
  const HeaderFields fields = {{":status", "200"}, {"content-type", "application/grpc"}};
  const std::vector<nghttp2_nv> pairs = PairsOf(fields);
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::Read;
  nghttp2_submit_response(session_, stream, pairs.data(), pairs.size(), &provider);
}

void Http2Server::Resume(StreamId stream, Call& call) {
  if (std::exchange(call.deferred, false)) nghttp2_session_resume_data(session_, stream);
}

void Http2Server::Violation(StreamId stream, Call& call, Http2Error error, const std::string& why) {
  call.finished = true;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, static_cast<std::uint32_t>(error));
  if (handler_.on_violation) handler_.on_violation(why);
}

bool Http2Server::Send(StreamId stream, std::string_view message) {
  return SendFrames(stream, Frame(message));
}

bool Http2Server::SendFrames(StreamId stream, std::string frames) {
  Call* call = Find(stream);
  if (!call || call->finished || unsent_ >= limits_.unsent) return false;
  BeginAnswer(stream, *call);
  call->unsent += frames.size();
  unsent_ += frames.size();
  if (!frames.empty()) call->out.push_back(std::move(frames));
  Resume(stream, *call);
  return true;
}

void Http2Server::Finish(StreamId stream, const Status& status) {
  Call* call = Find(stream);
  if (!call || std::exchange(call->finished, true)) return;
  if (call->answered) {
    call->status = status;
    return Resume(stream, *call);
  }
  HeaderFields fields = {{":status", "200"}, {"content-type", "application/grpc"}};
  for (auto& field : Callbacks::StatusFields(status)) fields.push_back(std::move(field));
  call->answered = true;
  const std::vector<nghttp2_nv> pairs = PairsOf(fields);
  nghttp2_submit_response(session_, stream, pairs.data(), pairs.size(), nullptr);
}

void Http2Server::AnswerHeaders(StreamId stream, const HeaderFields& fields) {
  Call* call = Find(stream);
  if (!call || call->answered || std::exchange(call->finished, true)) return;
  call->answered = true;
  const std::vector<nghttp2_nv> pairs = PairsOf(fields);
  nghttp2_submit_response(session_, stream, pairs.data(), pairs.size(), nullptr);
}

void Http2Server::FinishWithoutStatus(StreamId stream) {
  Call* call = Find(stream);
  if (!call || std::exchange(call->finished, true)) return;
  call->without_status = true;
  BeginAnswer(stream, *call);
  Resume(stream, *call);
}

void Http2Server::Reset(StreamId stream, Http2Error error) {
  Call* call = Find(stream);
  if (!call) return;
  call->finished = true;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, static_cast<std::uint32_t>(error));
}

bool Http2Server::Feed(std::string_view bytes) {
  if (!error_.empty()) return false;
  const ssize_t taken =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (taken < 0 && error_.empty()) {
    error_ = nghttp2_strerror(static_cast<int>(taken));
    if (handler_.on_violation) handler_.on_violation(error_);
  }
  return error_.empty();
}

std::string Http2Server::TakeOutput(std::size_t enough) {
  std::string out;
  while (out.size() < enough) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &data);
    if (size < 0 && error_.empty()) error_ = nghttp2_strerror(static_cast<int>(size));
    if (size <= 0) break;
    out.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
  }
  return out;
}

void Http2Server::Ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

void Http2Server::GoAway(std::optional<StreamId> last) {
  last_taken_ = std::min(last_taken_, last.value_or(nghttp2_session_get_last_proc_stream_id(session_)));
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last_taken_, NGHTTP2_NO_ERROR, nullptr, 0);
}

bool Http2Server::done() const {
  return !nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_);
}

void Http2Server::Lost(const std::string& why) {
  if (error_.empty()) error_ = why;
  while (!calls_.empty()) {
    const auto first = calls_.begin();
    const StreamId stream = first->first;
    const std::unique_ptr<Call> call = std::move(first->second);
    calls_.erase(first);
    unsent_ -= call->unsent;
    if (call->began && handler_.on_closed) handler_.on_closed(stream);
  }
}

}  // namespace badgerbridge::etcd
