// SPDX-License-Identifier: Apache-2.0
#include "node/client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <optional>
#include <utility>

namespace badgerbridge::node {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
namespace {

constexpr std::size_t kMostBody = 64 << 10;
constexpr std::size_t kMostHeader = 16 << 10;
constexpr std::size_t kMostId = 128;
constexpr std::size_t kPiece = 2048;             // read at once; what an idle connection keeps
constexpr std::size_t kMostDropped = 256 << 10;  // read of a client that has had its last answer
constexpr std::chrono::milliseconds kDropPause{
    2};                                     // between pieces beyond that, of one that waits for its own
constexpr std::size_t kMostLingering = 16;  // connections shut, beyond the clients' share of the descriptors
constexpr std::chrono::milliseconds kSlowRequest{2200};  // a client sends in one go: it will not be whole
constexpr std::chrono::milliseconds kKept{
    2200};  // between requests: more than the 2 s that clients may count on
constexpr std::chrono::milliseconds kSlowReader{5000};  // longer than any deadline
constexpr Duration kSettled{2000};  // without a request: nothing is on its way from this client
constexpr Duration kStranger{250};  // connected, and no request whole: no usual client
constexpr std::chrono::milliseconds kRoomPause{25};    // at the limit, until one of those is due
constexpr std::chrono::milliseconds kAcceptPause{20};  // after a failure for want of descriptors
constexpr std::chrono::milliseconds kDrainSweep{100};  // between two looks for idle connections
constexpr Duration kRemembered{10000};                 // an id; longer than any request and its attempts

using Request = http::request<http::string_body>;

struct Fault {
  unsigned status;
  const char* text;
};

bool Digits(beast::string_view text, std::size_t most) {
  return !text.empty() && text.size() <= most &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Where the end of a request may be read in two ways, another request may hide in its body. Beast 1.81 turns
// away some of these; it takes a transfer coding that it does not know as none, the same length twice, and
// the trailers of chunks as headers.
const char* FramingFault(const Request& request) {
  const auto lengths = request.count(http::field::content_length);
  const auto codings = request.count(http::field::transfer_encoding);
  if (lengths + codings > 1) return "more than one Content-Length or Transfer-Encoding\n";
  if (lengths == 1 && !Digits(request[http::field::content_length], 19)) return "malformed Content-Length\n";
  if (codings == 1 &&
      (request.version() < 11 || !beast::iequals(request[http::field::transfer_encoding], "chunked")))
    return "Transfer-Encoding is not chunked\n";
  if (request.method() == http::verb::get && (lengths + codings > 0) &&
      (codings > 0 ||
       request[http::field::content_length].find_first_not_of('0') != beast::string_view::npos))
    return "GET with a body\n";
  for (const char* name : {"Host", "X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left-Ms",
                           "Idempotency-Key", "X-Weight-Hint", "X-Repeat"}) {
    if (request.count(name) > 1) return "a header twice\n";
  }
  return nullptr;
}

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

// One connection. A read is always out, also while a request is served, and whatever is done with what it
// brings: it sees the client leave. A connection ends in one way: it is shut, what still comes is read and
// dropped until its client closes it, or for a bounded time, and then it is closed. To close it over unread
// bytes would reset it, and could take an answer away from the client.
class Listener::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Listener& listener, tcp::socket socket)
      : listener_(listener), socket_(std::move(socket)), timer_(listener.io_), pause_(listener.io_) {}

  void Start(Sessions::iterator at) {
    at_ = at;
    beast::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    since_ = listener_.clock_.Now();
    SetTimer(kSlowRequest);  // also for one that says nothing at all
    NextRequest();
  }

  // Whether it has a place that another connection needs more. Settled: it has asked before and is silent. A
  // close that crosses its next request has the client send that once more, on a new connection; one that
  // crosses the first request of a connection would fail it, so a stranger is never a young one.
  bool Settled(Duration silent) const {
    return asked_ && !begun_ && !Busy() && listener_.clock_.Now() - since_ >= silent && NothingHasCome();
  }
  bool Stranger() const {
    return (!asked_ || begun_) && !Busy() && listener_.clock_.Now() - since_ >= kStranger;
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    if (lingering_) --listener_.lingering_;
    timer_.cancel();
    pause_.cancel();
    beast::error_code ignored;
    socket_.close(ignored);
    if (serving_ != 0) listener_.proxy_.Gone(std::exchange(serving_, 0));
    listener_.Remove(at_);
  }

  // Nothing of it is owed an answer; one that has its last answer and only stays open is quiet, too.
  bool Quiet() const { return lingering_ || (serving_ == 0 && !writing_ && !begun_); }

  // While this proxy drains: ends a connection between requests, unless its next one has come already. Its
  // client sends what crosses the end once more, elsewhere. One that has not asked yet has its own time-out.
  void EndIfIdle() {
    if (asked_ && Quiet() && !lingering_ && NothingHasCome()) Linger();
  }

  // At the stop: ends a connection between requests. Bytes that have come but are not read yet are a request
  // that was taken; one that is still incomplete after a while was not.
  void WindDown() {
    if (serving_ != 0 || writing_ || lingering_ || closed_) return;
    if (!begun_ && NothingHasCome()) return Linger();
    SetTimer(listener_.limits_.linger);
  }

  // What still comes is dropped: a request among it is sent once more by its client, which sees the end and
  // no answer.
  void Linger() {
    lingering_ = deaf_ = true;
    ++listener_.lingering_;
    dropped_ = 0;
    beast::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    SetTimer(listener_.limits_.linger);
    Read();
  }
  bool lingering() const { return lingering_; }

 private:
  bool NothingHasCome() const {
    beast::error_code error;
    return socket_.available(error) == 0 || error;
  }
  bool Busy() const { return serving_ != 0 || writing_ || lingering_; }

  void NextRequest() {
    if (buffer_.size() == 0) buffer_.shrink_to_fit();
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    parser_->eager(true);
    begun_ = next_whole_ = false;
    if (buffer_.size() > 0 || overflowed_) return TakeIn();
    Read();
  }

  void NoteBegin() {
    begun_ = true;
    began_ = since_ = listener_.clock_.Now();
  }

  void Read() {
    if (reading_ || closed_) return;
    reading_ = true;
    const asio::mutable_buffer into = deaf_ ? asio::buffer(listener_.dropped_) : asio::buffer(piece_);
    socket_.async_read_some(into, [self = shared_from_this()](beast::error_code error, std::size_t n) {
      self->reading_ = false;
      self->OnRead(error, n);
    });
  }

  void OnRead(beast::error_code error, std::size_t n) {
    if (closed_) return;
    if (error) return Close();  // the client has left
    if (deaf_) return Drop(n);
    // The parser takes all that it can, so that its own request always fits.
    if (n > buffer_.max_size() - buffer_.size()) {
      overflowed_ = deaf_ = true;
      return Drop(n);
    }
    buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(piece_, n)));
    if (parser_->is_done()) return Read();  // of one after the next
    TakeIn();
  }

  // Not by Beast's own read, which keeps to itself that a head has begun until all of it is there.
  void TakeIn() {
    if (!begun_) {
      NoteBegin();
      if (asked_)
        timed_ = false;  // the time between requests is over; the first request counts from the connect
    }
    beast::error_code error;
    if (buffer_.size() > 0) buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) error = {};
    if (!error && !parser_->is_done()) {
      if (overflowed_) {
        error = http::error::buffer_overflow;
      } else if (buffer_.max_size() - buffer_.size() >= kPiece) {
        if (!Busy() && !timed_) SetTimer(listener_.door_closed_ ? listener_.limits_.linger : kSlowRequest);
        return Read();
      } else {
        error = http::error::header_limit;  // of a chunk
      }
    }
    failed_ = error;
    if (failed_) deaf_ = true;  // what follows is not looked at
    Proceed();
    Read();
  }

  // Acts on a request that has been read, once the one before it has been answered.
  void Proceed() {
    if (serving_ != 0 || writing_) {
      next_whole_ = !failed_ && parser_->is_done();
      return;
    }
    StopTimer();
    if (failed_) {
      const beast::error_code error = std::exchange(failed_, {});
      if (error == http::error::body_limit) return Reject({413, "the body is too large\n"});
      if (error == http::error::header_limit) return Reject({431, "the header is too large\n"});
      if (error == http::error::buffer_overflow) return Reject({400, "too much was sent ahead\n"});
      return Reject({400, "malformed request\n"});
    }
    if (!parser_->is_done()) {
      if (begun_) SetTimer(kSlowRequest);
      return;
    }
    Request request = parser_->release();
    const TimePoint began = began_;
    asked_ = true;
    keep_alive_ = request.keep_alive();
    try {
      if (const auto fault = Serve(request, began)) Reject(*fault);
    } catch (const std::exception& error) {
      std::cerr << "a request could not be taken: " << error.what() << '\n';
      if (serving_ == 0 && !writing_) Reject({500, ""});
    }
    // After the request is in the table, so that a client that has left by now is noted there. What comes
    // after a request that was turned away is not looked at.
    if (!closed_ && keep_alive_) return NextRequest();
    deaf_ = true;
    Read();
  }

  // Only what is checked here goes on: a backend closes on what it can't read, whatever else it is doing.
  std::optional<Fault> Serve(Request& request, TimePoint began) {
    if (const char* text = FramingFault(request)) return Fault{400, text};
    if (request.target() == "/ready") {
      if (request.method() != http::verb::get) return Fault{405, ""};
      const bool ready = !listener_.stopping_ && !listener_.draining_ && listener_.proxy_.CanServe();
      Write({ready ? 200u : 503u, ready ? "ready\n" : "not ready\n", "text/plain", Duration(0)});
      return std::nullopt;
    }
    const auto url = boost::urls::parse_origin_form({request.target().data(), request.target().size()});
    if (!url) return Fault{400, "malformed target\n"};
    const auto cls = listener_.classes_.find(std::string(request["X-Service-Class"]));
    if (cls == listener_.classes_.end()) return Fault{400, "X-Service-Class names no known class\n"};
    const auto segments = url->encoded_segments();
    if (segments.empty() || std::string_view(segments.front()) != cls->first)
      return Fault{400, "the path does not begin with the class\n"};
    const ClassSettings& settings = listener_.class_settings_[static_cast<std::size_t>(cls->second)];
    Submit submit;
    submit.request_class = cls->second;
    if (!listener_.tenants_.empty()) {
      const auto tenant = listener_.tenants_.find(std::string(request["X-Account"]));
      if (tenant == listener_.tenants_.end()) return Fault{400, "X-Account names no known tenant\n"};
      submit.tenant = tenant->second;
    }
    const bool safe = settings.effect == Effect::kSafe;
    if (request.method() != (safe ? http::verb::get : http::verb::post))
      return Fault{405, "this class does not take this method\n"};
    // Without its key a repeat would not be dropped, and the module counts on that.
    const auto key = request["Idempotency-Key"];
    if ((settings.effect == Effect::kKeyed) == key.empty() || key.size() > kMostId)
      return Fault{400, "Idempotency-Key does not fit the class\n"};
    double left = settings.deadline.count();
    if (request.count("X-Time-Left-Ms")) {
      if (!Digits(request["X-Time-Left-Ms"], 9)) return Fault{400, "X-Time-Left-Ms is no whole number\n"};
      left = std::min(left, Number(request["X-Time-Left-Ms"]).value_or(left));
    }
    if (request.count("X-Weight-Hint")) {
      const auto hint = Number(request["X-Weight-Hint"]);
      if (!hint) return Fault{400, "X-Weight-Hint is not a number\n"};
      submit.has_hint = true;
      submit.work_ms = *hint / 1000;
    }
    const auto id = request["X-Correlation-Id"];
    if (id.empty() || id.size() > kMostId || !std::all_of(id.begin(), id.end(), [](char c) {
          return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
                 c == '_' || c == '.';
        }))
      return Fault{400, "X-Correlation-Id is absent or malformed\n"};
    submit.due = began + Duration(left);
    submit.client_retry = request["X-Repeat"] == "1";
    submit.key = KeyOf(*url);
    // Last, so that only what is taken is remembered.
    if (!listener_.NoteId(id)) return Fault{409, "this X-Correlation-Id is in use, or was a moment ago\n"};

    auto forwarded = std::make_shared<Forwarded>();
    forwarded->method = request.method();
    forwarded->target = std::string(request.target());
    forwarded->body = std::move(request.body());
    forwarded->correlation_id = std::string(id);
    forwarded->idempotency_key = std::string(key);
    forwarded->service_class = cls->first;
    if (!listener_.tenants_.empty()) forwarded->account = std::string(request["X-Account"]);

    listener_.last_busy_ = listener_.clock_.Now();
    answered_early_ = false;
    serving_ = kTaking;
    const RequestId number =
        listener_.proxy_.Take(submit, std::move(forwarded), [self = shared_from_this()](Answer answer) {
          self->answered_early_ = self->serving_ == kTaking;
          self->serving_ = 0;
          self->Write(std::move(answer));
        });
    if (!answered_early_) serving_ = number;
    return std::nullopt;
  }

  // What one that sends such things sends next is not worth reading: it is told, and that is all.
  void Reject(const Fault& fault) {
    keep_alive_ = false;
    ++listener_.rejected_;
    Write({fault.status, fault.text, "text/plain", Duration(0)});
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
    const bool ending = listener_.stopping_ || listener_.draining_;
    response_.keep_alive(keep_alive_ && (!ending || AnotherHasCome()));
    response_.prepare_payload();
    writing_ = true;
    SetTimer(kSlowReader);  // a client that does not read must not hold the connection for ever
    http::async_write(socket_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
      self->OnWritten(error);
    });
  }

  // Behind the request that is answered now. One that was read whole has been taken.
  bool AnotherHasCome() const {
    return next_whole_ ||
           (!listener_.door_closed_ && (!NothingHasCome() || (answered_early_ && buffer_.size() > 0)));
  }

  void OnWritten(beast::error_code error) {
    if (closed_) return;
    writing_ = false;
    StopTimer();
    if (error) return Close();
    const bool kept = response_.keep_alive();
    response_ = {};  // a connection that stands idle holds no answer
    since_ = listener_.clock_.Now();
    if (!kept) return Linger();
    listener_.sessions_.splice(listener_.sessions_.end(), listener_.sessions_, at_);
    Proceed();
    if (!closed_ && !Busy() && !begun_) SetTimer(kKept);
    if (!closed_ && listener_.door_closed_) WindDown();
  }

  // What 60 MB of a body that was turned away would cost is not spent on it. One that is owed an answer is
  // read on, slowly: its end may stand behind what it sent.
  void Drop(std::size_t n) {
    dropped_ += n;
    if (dropped_ <= kMostDropped) return Read();
    if (lingering_) return Close();
    pause_.expires_after(kDropPause);
    pause_.async_wait([self = shared_from_this()](beast::error_code error) {
      if (!error) self->Read();
    });
  }

  void OnTimer() {
    // Half a request: it will not be whole, and its client is told.
    if (begun_ && !Busy() && !failed_) return Reject({408, "the request is not whole\n"});
    if (Busy()) return Close();
    if (!NothingHasCome()) return SetTimer(kSlowRequest);  // its read is about to be told
    Linger();
  }

  void SetTimer(std::chrono::milliseconds wait) {
    timed_ = true;
    timer_.expires_after(wait);
    timer_.async_wait([self = shared_from_this()](beast::error_code error) {
      if (!error && !self->closed_ && self->timer_.expiry() <= NodeClock::Steady::now()) self->OnTimer();
    });
  }

  void StopTimer() {
    timed_ = false;
    timer_.cancel();
  }

  static constexpr RequestId kTaking = UINT64_MAX;  // in the table, and its number not yet known

  Listener& listener_;
  tcp::socket socket_;
  asio::steady_timer timer_, pause_;
  std::array<char, kPiece> piece_;
  Sessions::iterator at_;
  beast::flat_buffer buffer_{kMostHeader + kMostBody};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  beast::error_code failed_;
  TimePoint began_{}, since_{};  // of the request; of the silence, or of the request that is not whole
  std::size_t dropped_ = 0;      // bytes
  RequestId serving_ = 0;
  bool begun_ = false, keep_alive_ = true, writing_ = false, reading_ = false, lingering_ = false,
       closed_ = false;
  bool answered_early_ = false, timed_ = false, asked_ = false;
  bool next_whole_ = false;  // the next request is there and waits for its turn
  bool deaf_ = false;        // what comes is dropped, from here on
  bool overflowed_ = false;  // some of what came behind the buffer was
};

Listener::Listener(asio::io_context& io, const NodeClock& clock, Proxy& proxy, const Config& config,
                   ListenerLimits limits)
    : io_(io),
      clock_(clock),
      proxy_(proxy),
      class_settings_(config.settings.classes),
      max_clients_(config.max_clients),
      limits_(limits),
      acceptor_(io),
      timer_(io),
      pause_(io),
      sweep_(io) {
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
  // At the limit the next waits in the kernel's queue until there is room.
  if (sessions_.size() - lingering_ >= max_clients_ && !MakeRoom()) return AcceptAfter(kRoomPause);
  if (sessions_.size() >= max_clients_ + kMostLingering) CloseOldestLingering();
  accepting_ = true;
  acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
    accepting_ = false;
    if (door_closed_) {
      // What had been accepted by then counts.
      if (!error) Admit(std::move(socket))->WindDown();
      return StopIfDone();
    }
    if (error == asio::error::operation_aborted) return;
    if (error == asio::error::connection_aborted) return Accept();
    if (error) {
      MakeRoom();
      return AcceptAfter(kAcceptPause);
    }
    Admit(std::move(socket));
    Accept();
  });
}

// Out of descriptors, say: at once again would only spin.
void Listener::AcceptAfter(std::chrono::milliseconds wait) {
  pause_.expires_after(wait);
  pause_.async_wait([this](beast::error_code error) {
    if (!error) Accept();
  });
}

std::shared_ptr<Listener::Session> Listener::Admit(tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.push_back(session);
  session->Start(std::prev(sessions_.end()));
  return session;
}

// Its descriptor is free when the client closes its side, or has had its time for that.
bool Listener::MakeRoom() {
  const auto end_first = [this](auto which) {
    const auto found = std::find_if(sessions_.begin(), sessions_.end(), which);
    if (found == sessions_.end()) return false;
    std::shared_ptr(*found)->Linger();
    return true;
  };
  return end_first([](const auto& session) { return session->Settled(kSettled); }) ||
         end_first([](const auto& session) { return session->Stranger(); }) ||
         end_first([](const auto& session) { return session->Settled(Duration(0)); });
}

void Listener::CloseOldestLingering() {
  const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                  [](const auto& session) { return session->lingering(); });
  if (found != sessions_.end()) std::shared_ptr(*found)->Close();
}

// False if a request with this id is open, or may still be at a backend: two of one id there could not be
// told apart, and the second would count as a repeat of the first.
bool Listener::NoteId(std::string_view id) {
  const TimePoint now = clock_.Now();
  while (!ids_by_age_.empty() &&
         (ids_by_age_.front().first + kRemembered < now || ids_by_age_.size() >= limits_.remembered)) {
    ids_.erase(ids_by_age_.front().second);
    ids_by_age_.pop_front();
  }
  const std::size_t hash = std::hash<std::string_view>()(id);
  if (!ids_.insert(hash).second) return false;
  ids_by_age_.emplace_back(now, hash);
  return true;
}

void Listener::Remove(Sessions::iterator at) {
  sessions_.erase(at);
  if (door_closed_) {
    StopIfDone();
  } else {
    asio::post(io_, [this] { Accept(); });
  }
}

void Listener::StopIfDone() {
  if (sessions_.empty() && !accepting_ && stopped_) asio::post(io_, std::exchange(stopped_, nullptr));
}

void Listener::Stop(std::function<void()> stopped) {
  if (stopping_) return;
  stopping_ = true;
  stopped_ = std::move(stopped);
  last_call_ = clock_.Now() + 2 * Duration(limits_.door_open);
  CloseDoorAfter(limits_.door_open);
}

void Listener::CloseDoorAfter(std::chrono::milliseconds wait) {
  timer_.expires_after(wait);
  timer_.async_wait([this](beast::error_code error) {
    if (!error) CloseDoor();
  });
}

void Listener::Drain() {
  if (std::exchange(draining_, true)) return;
  last_busy_ = clock_.Now();  // what is on its way comes within the quiet time
  SweepWhileDraining();
}

void Listener::Undrain() {
  draining_ = false;
  sweep_.cancel();
}

void Listener::SweepWhileDraining() {
  if (!draining_ || door_closed_) return;
  for (auto at = sessions_.begin(); at != sessions_.end();) std::shared_ptr(*at++)->EndIfIdle();
  sweep_.expires_after(kDrainSweep);
  sweep_.async_wait([this](beast::error_code error) {
    if (!error) SweepWhileDraining();
  });
}

bool Listener::Quiet() const {
  return proxy_.open() == 0 && clock_.Now() - last_busy_ >= kDrainQuiet &&
         std::all_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return s->Quiet(); });
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
  if (error != asio::error::would_block && clock_.Now() < last_call_) {  // no descriptor for one that waits
    MakeRoom();
    return CloseDoorAfter(kAcceptPause);
  }
  door_closed_ = true;
  acceptor_.close(error);
  for (auto at = sessions_.begin(); at != sessions_.end();) std::shared_ptr(*at++)->WindDown();
  StopIfDone();
}

}  // namespace badgerbridge::node
