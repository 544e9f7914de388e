// SPDX-License-Identifier: Apache-2.0
#include "client.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <utility>

namespace fordlb::node {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
namespace {

constexpr std::size_t kMostBody = 64 << 10;
constexpr std::size_t kMostHeader = 16 << 10;
constexpr std::chrono::milliseconds kSlowRequest{5000};  // longer than any deadline: it will not be whole
constexpr std::chrono::milliseconds kLinger{1000};       // for the client to read an answer and close
constexpr std::chrono::milliseconds kAcceptPause{20};    // after a failure for want of descriptors
constexpr std::chrono::milliseconds kDoorOpen{500};      // after SIGTERM: the front goes on for up to 0.4 s
constexpr double kMostTimeLeft = 3600e3;                 // ms

std::optional<double> Number(beast::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return std::nullopt;
  return value;
}

// A number for what the request is about; 0: nothing.
std::uint64_t KeyOf(const boost::urls::url_view& url) {
  const auto params = url.params();
  const auto found = params.find("obj");
  if (found == params.end() || !(*found).has_value) return 0;
  const std::string value((*found).value);
  if (value.empty()) return 0;
  return std::max<std::uint64_t>(1, std::hash<std::string>()(value));
}

}  // namespace

// One connection. The next request is read while the present one is served: that read also sees the client
// leave.
class Listener::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Listener& listener, tcp::socket socket)
      : listener_(listener), socket_(std::move(socket)), timer_(listener.io_) {}

  void Start(Sessions::iterator at) {
    at_ = at;
    beast::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    NextRequest();
  }

  bool idle() const { return !serving_ && !writing_ && !lingering_ && !begun_; }

  void Close() {
    if (closed_) return;
    closed_ = true;
    timer_.cancel();
    beast::error_code ignored;
    socket_.close(ignored);
    if (serving_ != 0) listener_.proxy_.Gone(std::exchange(serving_, 0));
    listener_.Remove(at_);
  }

  // At the stop: ends a connection between requests. Bytes that have come but are not read yet are a request
  // that was taken; one that is still incomplete after a while was not.
  void WindDown() {
    if (serving_ != 0 || writing_ || lingering_) return;
    beast::error_code error;
    if (!begun_ && (socket_.available(error) == 0 || error)) return Close();
    SetTimer(kLinger);
  }

 private:
  void NextRequest() {
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    parser_->eager(true);
    begun_ = false;
    if (buffer_.size() > 0) NoteBegin();
    Read();
  }

  void NoteBegin() {
    begun_ = true;
    began_ = listener_.clock_.Now();
  }

  void Read() {
    reading_ = true;
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->OnRead(error); });
  }

  void OnRead(beast::error_code error) {
    reading_ = false;
    if (closed_) return;
    if (lingering_) return error ? Close() : Drop();
    const bool malformed = error &&
                           error.category() == http::make_error_code(http::error::bad_method).category() &&
                           error != http::error::end_of_stream && error != http::error::partial_message;
    if (error && !malformed) return Close();  // the client has left
    if (!begun_) NoteBegin();
    if (malformed) failed_ = error;
    if (!malformed && !parser_->is_done()) {
      if (serving_ == 0 && !writing_ && !timed_) SetTimer(kSlowRequest);
      return Read();
    }
    Proceed();
  }

  // Acts on a request that has been read, once the one before it has been answered.
  void Proceed() {
    if (serving_ != 0 || writing_) return;
    StopTimer();
    if (failed_) {
      const beast::error_code error = std::exchange(failed_, {});
      keep_alive_ = false;
      if (error == http::error::body_limit) return Reject(413, "the body is too large\n");
      if (error == http::error::header_limit) return Reject(431, "the header is too large\n");
      return Reject(400, "malformed request: " + error.message() + "\n");
    }
    if (!parser_->is_done()) {
      if (begun_) SetTimer(kSlowRequest);
      return;
    }
    const http::request<http::string_body> request = parser_->release();
    keep_alive_ = request.keep_alive();
    const TimePoint began = began_;
    Serve(request, began);
    // After the request is in the table, so that a client that has left by now is noted there.
    if (!closed_) NextRequest();
  }

  void Serve(const http::request<http::string_body>& request, TimePoint began) {
    if (request.target() == "/ready") {
      const bool ready = !listener_.stopping_ && listener_.proxy_.CanServe();
      return Write({ready ? 200u : 503u, ready ? "ready\n" : "not ready\n", "text/plain", Duration(0)});
    }
    const auto url = boost::urls::parse_origin_form({request.target().data(), request.target().size()});
    if (!url) return Reject(400, "malformed target\n");
    const auto cls = listener_.classes_.find(std::string(request["X-Service-Class"]));
    if (cls == listener_.classes_.end()) return Reject(400, "X-Service-Class names no known class\n");
    const ClassSettings& settings = listener_.class_settings_[static_cast<std::size_t>(cls->second)];
    Submit submit;
    submit.request_class = cls->second;
    if (!listener_.tenants_.empty()) {
      const auto tenant = listener_.tenants_.find(std::string(request["X-Account"]));
      if (tenant == listener_.tenants_.end()) return Reject(400, "X-Account names no known tenant\n");
      submit.tenant = tenant->second;
    }
    const bool safe = settings.effect == Effect::kSafe;
    if (request.method() != (safe ? http::verb::get : http::verb::post))
      return Reject(405, "this class does not take this method\n");
    if (request["X-Correlation-Id"].empty()) return Reject(400, "X-Correlation-Id is absent\n");
    // Without its key a repeat would not be dropped, and the module counts on that.
    if (settings.effect == Effect::kKeyed && request["Idempotency-Key"].empty())
      return Reject(400, "Idempotency-Key is absent\n");
    double left = settings.deadline.count();
    if (request.count("X-Time-Left-Ms")) {
      const auto given = Number(request["X-Time-Left-Ms"]);
      if (!given) return Reject(400, "X-Time-Left-Ms is not a number\n");
      left = std::min(*given, kMostTimeLeft);
    }
    if (const auto hint = Number(request["X-Weight-Hint"])) {
      submit.has_hint = true;
      submit.work_ms = *hint / 1000;
    }
    submit.due = began + Duration(left);
    submit.client_retry = request["X-Repeat"] == "1";
    submit.key = KeyOf(*url);

    auto forwarded = std::make_shared<Forwarded>();
    forwarded->method = request.method();
    forwarded->target = std::string(request.target());
    forwarded->body = request.body();
    forwarded->correlation_id = std::string(request["X-Correlation-Id"]);
    forwarded->idempotency_key = std::string(request["Idempotency-Key"]);
    forwarded->service_class = cls->first;
    forwarded->account = std::string(request["X-Account"]);

    answered_early_ = false;
    serving_ = kTaking;
    const RequestId id =
        listener_.proxy_.Take(submit, std::move(forwarded), [self = shared_from_this()](Answer answer) {
          self->answered_early_ = self->serving_ == kTaking;
          self->serving_ = 0;
          self->Write(std::move(answer));
        });
    if (!answered_early_) serving_ = id;
  }

  void Reject(unsigned status, std::string text) {
    Write({status, std::move(text), "text/plain", Duration(0)});
  }

  void Write(Answer answer) {
    if (closed_) return;
    response_ = {};
    response_.version(11);
    response_.result(answer.status);
    if (!answer.content_type.empty()) response_.set(http::field::content_type, answer.content_type);
    if (answer.retry_after > Duration(0)) {
      char text[32];
      std::snprintf(text, sizeof text, "%.3f", answer.retry_after.count() / 1000);
      response_.set(http::field::retry_after, text);
    }
    response_.body() = std::move(answer.body);
    response_.keep_alive(keep_alive_ && !listener_.stopping_);
    response_.prepare_payload();
    writing_ = true;
    SetTimer(kSlowRequest);  // a client that does not read must not hold the connection for ever
    http::async_write(socket_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
      self->OnWritten(error);
    });
  }

  void OnWritten(beast::error_code error) {
    if (closed_) return;
    writing_ = false;
    StopTimer();
    if (error) return Close();
    if (!response_.keep_alive()) return Linger();
    listener_.sessions_.splice(listener_.sessions_.end(), listener_.sessions_, at_);
    Proceed();
    if (!closed_ && listener_.door_closed_) WindDown();
  }

  // To close with bytes unread would reset the connection, and could take the answer away from the client.
  void Linger() {
    lingering_ = true;
    beast::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    SetTimer(kLinger);
    if (!reading_) Drop();
  }

  void Drop() {
    socket_.async_read_some(asio::buffer(dropped_),
                            [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (self->closed_) return;
                              if (error) return self->Close();
                              self->Drop();
                            });
  }

  void SetTimer(std::chrono::milliseconds wait) {
    timed_ = true;
    timer_.expires_after(wait);
    timer_.async_wait([self = shared_from_this()](beast::error_code error) {
      if (!error && self->timer_.expiry() <= NodeClock::Steady::now()) self->Close();
    });
  }

  void StopTimer() {
    timed_ = false;
    timer_.cancel();
  }

  static constexpr RequestId kTaking = UINT64_MAX;  // in the table, and its number not yet known

  Listener& listener_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  Sessions::iterator at_;
  beast::flat_buffer buffer_{kMostHeader + kMostBody};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  std::array<char, 1024> dropped_;
  beast::error_code failed_;
  TimePoint began_{};
  RequestId serving_ = 0;
  bool begun_ = false, keep_alive_ = true, writing_ = false, reading_ = false, lingering_ = false,
       closed_ = false;
  bool answered_early_ = false, timed_ = false;
};

Listener::Listener(asio::io_context& io, const NodeClock& clock, Proxy& proxy, const Config& config)
    : io_(io),
      clock_(clock),
      proxy_(proxy),
      class_settings_(config.settings.classes),
      max_clients_(config.max_clients),
      acceptor_(io),
      timer_(io) {
  for (std::size_t i = 0; i < config.classes.size(); ++i) classes_.emplace(config.classes[i], i);
  for (std::size_t i = 0; i < config.tenants.size(); ++i) tenants_.emplace(config.tenants[i], i);
  acceptor_.open(config.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(config.listen);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  Accept();
}

Listener::~Listener() = default;

void Listener::Accept() {
  if (accepting_ || door_closed_) return;
  // At the limit the next waits in the kernel's queue until a session ends.
  if (sessions_.size() >= max_clients_ && !CloseOldestIdle()) return;
  accepting_ = true;
  acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
    accepting_ = false;
    if (door_closed_) return;
    if (error == asio::error::operation_aborted) return;
    if (error == asio::error::connection_aborted) return Accept();
    if (error) {
      CloseOldestIdle();
      return AcceptAfter(kAcceptPause);
    }
    Admit(std::move(socket));
    Accept();
  });
}

// Out of descriptors, say: at once again would only spin.
void Listener::AcceptAfter(std::chrono::milliseconds wait) {
  const auto pause = std::make_shared<asio::steady_timer>(io_, wait);
  pause->async_wait([this, pause](beast::error_code) { Accept(); });
}

void Listener::Admit(tcp::socket socket) {
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
  sessions_.back()->Start(std::prev(sessions_.end()));
}

bool Listener::CloseOldestIdle() {
  for (const auto& session : sessions_) {
    if (!session->idle()) continue;
    std::shared_ptr(session)->Close();
    return true;
  }
  return false;
}

void Listener::Remove(Sessions::iterator at) {
  sessions_.erase(at);
  if (door_closed_) {
    if (sessions_.empty() && stopped_) asio::post(io_, std::exchange(stopped_, nullptr));
  } else {
    asio::post(io_, [this] { Accept(); });
  }
}

void Listener::Stop(std::function<void()> stopped) {
  if (stopping_) return;
  stopping_ = true;
  stopped_ = std::move(stopped);
  timer_.expires_after(kDoorOpen);
  timer_.async_wait([this](beast::error_code error) {
    if (!error) CloseDoor();
  });
}

void Listener::CloseDoor() {
  // What stands in the kernel's queue has been accepted as far as its client can tell.
  beast::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Admit(std::move(socket));
  }
  door_closed_ = true;
  acceptor_.close(error);
  for (auto at = sessions_.begin(); at != sessions_.end();) std::shared_ptr(*at++)->WindDown();
  if (sessions_.empty() && stopped_) asio::post(io_, std::exchange(stopped_, nullptr));
}

}  // namespace fordlb::node
