// SPDX-License-Identifier: Apache-2.0
#include "proxy/session_play.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <iostream>
#include <stdexcept>
#include <streambuf>
#include <utility>

namespace badgerbridge::proxy::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

// Of the product.
constexpr milliseconds kKeepAlive{2200};    // also of half a request, and of one that says nothing
constexpr milliseconds kLinger{1000};       // of a connection that has been shut
constexpr milliseconds kUsualReader{1000};  // of an answer, at the limit of clients; more than kTimeLeft
constexpr milliseconds kSlowReader{5000};   // of an answer
constexpr milliseconds kListenerOpen{500};  // after SIGTERM
constexpr milliseconds kSweepPeriod{100};   // of a drain
constexpr milliseconds kStrangerAge{250};   // at the limit: a new connection that has not asked
constexpr milliseconds kRoomPeriod{25};     // at the limit: between two looks for room
constexpr milliseconds kTimeLeft{900};      // of each request
constexpr milliseconds kConnectShare{225};  // of it, for the connection to the backend
constexpr milliseconds kAttemptsDue{895};   // its attempts end by then
// Of the rules.
constexpr milliseconds kMostLate{100};         // an attempt after its client has left
constexpr milliseconds kMostTimeTooMuch{150};  // told to a backend
constexpr milliseconds kTermToRefusal{700};    // from SIGTERM until a young connection may be refused
// Of the plays.
constexpr milliseconds kAsleepBefore{10};  // the process does not run for so long before the first event
constexpr milliseconds kRestDelay{100};    // from the first half of a request to the second
constexpr milliseconds kMostWait{50};      // for a handler, where no timer is set
constexpr milliseconds kLongestPlay{10000};
constexpr int kMostHandlers = 20000;       // far more than any play needs: the loop spins
constexpr std::size_t kLargeBody = 60000;  // bytes
constexpr int kSmallBuffer = 2048;         // bytes
constexpr int kConnections = 3;            // that come at once
constexpr std::size_t kHalf = 50;          // bytes of a request: in the midst of its head

// Ends what a small receive buffer was for: from here on no wait of the kernel's own holds up what comes.
void ReadFast(tcp::socket& socket) {
  constexpr int kLargeBuffer = 1 << 20, kYes = 1;
  const int descriptor = socket.native_handle();
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kLargeBuffer, sizeof kLargeBuffer);
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_QUICKACK, &kYes, sizeof kYes);
}

// While one exists, what the proxy writes on standard error is dropped: that requests fail is part of plays.
class QuietErrors {
 public:
  QuietErrors() : buffer_(std::cerr.rdbuf(nullptr)) {}
  ~QuietErrors() { std::cerr.rdbuf(buffer_); }  // which also clears the errors since
  QuietErrors(const QuietErrors&) = delete;
  QuietErrors& operator=(const QuietErrors&) = delete;

 private:
  std::streambuf* buffer_;
};

bool IsUnread(SessionState state) {
  return state == SessionState::kNewWholeUnread || state == SessionState::kRestHalfUnread ||
         state == SessionState::kRestWholeUnread;
}

bool IsNew(SessionState state) {
  return state == SessionState::kNewSilent || state == SessionState::kNewHalfRead ||
         state == SessionState::kNewWholeUnread;
}

short EventsOf(int descriptor, short wanted, milliseconds wait = milliseconds(0)) {
  pollfd look{descriptor, wanted, 0};
  return ::poll(&look, 1, static_cast<int>(wait.count())) > 0 ? look.revents : short{0};
}

int TimeLeftIn(const std::string& request) {
  constexpr std::string_view kName = "X-Time-Left-Ms: ";
  const std::size_t at = request.find(kName);
  return at == std::string::npos ? 0 : std::stoi(request.substr(at + kName.size()));
}

}  // namespace

const char* NameOf(SessionState state) {
  constexpr const char* kNames[] = {"none",
                                    "new, silent",
                                    "new, half read",
                                    "new, whole unread",
                                    "at rest",
                                    "at rest, half read",
                                    "at rest, half unread",
                                    "at rest, whole unread",
                                    "dialling",
                                    "writing",
                                    "waiting",
                                    "answering",
                                    "answered with close",
                                    "lingering"};
  return kNames[static_cast<int>(state)];
}

const char* NameOf(Stimulus stimulus) {
  constexpr const char* kNames[] = {
      "timer",          "listener close", "drain sweep", "room tick",          "request",
      "half a request", "two requests",   "client FIN",  "client RST",         "SIGTERM",
      "drain",          "dial done",      "newcomer",    "silent connections", "asking connections"};
  return kNames[static_cast<int>(stimulus)];
}

bool IsTimer(Stimulus stimulus) { return stimulus <= Stimulus::kRoomTick; }

std::optional<milliseconds> ExpiryOf(Stimulus timer, SessionState state) {
  if (timer == Stimulus::kListenerClose) return kListenerOpen;
  if (timer == Stimulus::kDrainSweep) return kSweepPeriod;
  if (timer == Stimulus::kRoomTick) return IsNew(state) ? kStrangerAge : kRoomPeriod;
  switch (state) {
    case SessionState::kNone:
      return std::nullopt;
    case SessionState::kDialling:
      return kConnectShare;
    case SessionState::kWriting:
    case SessionState::kWaiting:
      return kAttemptsDue;
    case SessionState::kAnswering:
      return kSlowReader;
    case SessionState::kAnsweredWithClose:
    case SessionState::kLingering:
      return kLinger;
    default:
      return kKeepAlive;
  }
}

std::string Describe(const PlayPlan& plan) {
  const auto at = [](nanoseconds time) {
    return "@" + std::to_string(time.count() / 1000000) + "." + std::to_string(time.count() / 100000 % 10) +
           "ms";
  };
  std::string text = NameOf(plan.state);
  text += std::string(": ") + NameOf(plan.first) + at(plan.first_at);
  text +=
      plan.handlers_between ? ", " + std::to_string(*plan.handlers_between) + " handlers, " : ", at once ";
  text += NameOf(plan.second) + at(plan.second_at);
  if (plan.asleep.count() > 0) text += ", asleep " + at(plan.asleep).substr(1);
  return text;
}

SessionPlay::SessionPlay(const PlayPlan& plan) : plan_(plan) {
  // Whole milliseconds, so that timers expire at the very nanosecond that is planned.
  const auto now = steady_clock::now().time_since_epoch();
  clock_.Advance(std::chrono::ceil<milliseconds>(now) - now);

  const SessionState state = plan.state;
  hold_dials_ = state == SessionState::kDialling;
  hold_reads_ = state == SessionState::kWriting;
  hold_answers_ = state == SessionState::kWaiting;
  large_answers_ = state == SessionState::kAnswering;
  small_buffers_ = hold_reads_ || large_answers_;
  if (small_buffers_) watch_.SetSendBufferOfAccepted(kSmallBuffer);

  backend_.emplace(io_);
  backend_->open(tcp::v4());
  if (hold_reads_) backend_->set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
  backend_->bind(address_);
  backend_->listen();
  AcceptAtBackend();
  const std::string backend =
      address_.address().to_string() + ":" + std::to_string(backend_->local_endpoint().port());

  static const Config kConfig = TestConfig({});
  Config config = kConfig;
  config.known = boost::json::parse(ListJson(7, true, {EndpointJson("s-1", backend)}));
  config.listen = address_;
  const bool newcomer = plan.first == Stimulus::kNewcomer || plan.second == Stimulus::kNewcomer;
  const bool alone = plan.first == Stimulus::kRoomTick || plan.second == Stimulus::kRoomTick;
  limited_ = newcomer || alone;
  if (limited_) config.max_clients = alone ? 1 : 2;
  node_.emplace(io_, config);
  listener_address_ = node_->listener.address();
  node_->backends.OnBegin([this](BackendId, const Forwarded& forwarded) { Begun(forwarded); });
  node_->backends.DialBy([this](tcp::socket& socket, const tcp::endpoint& address, auto ended) {
    Dial(socket, address, std::move(ended));
  });
  signals_.add(SIGTERM);
  signals_.async_wait([this](ErrorCode error, int) {
    if (!error) node_->listener.Stop([this] { stopped_ = true; });
  });
}

Found SessionPlay::Run(std::string* why) {
  ReachState();
  RunTimeTo(reached_ + plan_.first_at - kAsleepBefore);
  SleepUntil(reached_ + plan_.first_at);
  if (plan_.state == SessionState::kNewWholeUnread || plan_.state == SessionState::kRestWholeUnread) {
    const std::string id = "u" + std::to_string(requests_++);
    Ask(clients_.front(), Get(id), id);
  } else if (IsUnread(plan_.state)) {
    const std::string id = "u" + std::to_string(requests_++);
    AskHalf(clients_.front(), Get(id), id);
  }
  Happen(plan_.first);
  while (plan_.handlers_between && ran_between_ < *plan_.handlers_between && RunHandler()) ++ran_between_;
  SleepUntil(reached_ + plan_.second_at);
  Happen(plan_.second);
  clock_.Advance(plan_.asleep);
  RunToEnd();
  for (const Client& client : clients_) Judge(client);
  CleanUp();
  *why = why_;
  return found_;
}

void SessionPlay::ReachState() {
  if (plan_.state != SessionState::kNone) {
    Client& client = Connect();
    RunReady();
    const std::string id = "r" + std::to_string(requests_++);
    switch (plan_.state) {
      case SessionState::kNone:
      case SessionState::kNewSilent:
      case SessionState::kNewWholeUnread:
        break;
      case SessionState::kNewHalfRead:
        AskHalf(client, Get(id), id);
        break;
      case SessionState::kRest:
      case SessionState::kRestHalfRead:
      case SessionState::kRestHalfUnread:
      case SessionState::kRestWholeUnread:
      case SessionState::kLingering:
        Ask(client, Get(id), id);
        RunReady();
        ReadAll(client);
        if (AnswersIn(client.in).size() != 1) throw std::logic_error("the state was not reached: at rest");
        break;
      case SessionState::kWriting:
        Ask(client, Post(id, "convert", std::string(kLargeBody, 'x') + "END", "Idempotency-Key: k1\r\n"), id);
        break;
      case SessionState::kDialling:
      case SessionState::kWaiting:
        Ask(client, Post(id, "certify", "END"), id);
        client.requests.back().unsafe = true;
        break;
      case SessionState::kAnswering:
        Ask(client, Get(id), id);
        break;
      case SessionState::kAnsweredWithClose:
        Ask(client, Get(id, "Connection: close\r\n"), id);
        client.asked_for_close = true;
        break;
    }
    RunReady();
    if (plan_.state == SessionState::kRestHalfRead) {
      const std::string next = "r" + std::to_string(requests_++);
      AskHalf(client, Get(next), next);
      RunReady();
    }
    if (plan_.state == SessionState::kLingering) {
      RunTimeTo(steady_clock::now() + kKeepAlive);
      if (!client.ended) throw std::logic_error("the state was not reached: lingering");
    }
  }
  const auto either = [this](Stimulus what) { return plan_.first == what || plan_.second == what; };
  if (either(Stimulus::kListenerClose)) Happen(Stimulus::kTerm);
  if (either(Stimulus::kDrainSweep)) Happen(Stimulus::kDrain);
  RunReady();
  watch_.SetSendBufferOfAccepted(std::nullopt);
  reached_ = steady_clock::now();
}

void SessionPlay::Happen(Stimulus stimulus) {
  switch (stimulus) {
    case Stimulus::kSessionTimer:
    case Stimulus::kListenerClose:
    case Stimulus::kDrainSweep:
    case Stimulus::kRoomTick:
      return;  // its time has come by itself
    case Stimulus::kRequest: {
      Client& client = clients_.front();
      if (!client.unwritten.empty()) return WriteRest(client);
      const std::string id = "n" + std::to_string(requests_++);
      return Ask(client, Get(id), id);
    }
    case Stimulus::kHalfRequest: {
      Client& client = clients_.front();
      if (!client.unwritten.empty()) return WriteRest(client);
      const std::string id = "h" + std::to_string(requests_++);
      AskHalf(client, Get(id), id);
      client.rest_at = steady_clock::now() + kRestDelay;
      return;
    }
    case Stimulus::kTwoRequests: {
      Client& client = clients_.front();
      if (!client.unwritten.empty()) return WriteRest(client);
      const std::string late = "t" + std::to_string(requests_++), next = "n" + std::to_string(requests_++);
      Ask(client, Timed(Get(late), 0), late);
      return Ask(client, Get(next), next);
    }
    case Stimulus::kClientFin:
    case Stimulus::kClientReset:
      return Leave(clients_.front(), stimulus == Stimulus::kClientReset);
    case Stimulus::kTerm:
      terminated_ = steady_clock::now();
      ::raise(SIGTERM);
      return;
    case Stimulus::kDrain:
      return asio::post(io_, [this] { node_->listener.Drain(); });
    case Stimulus::kDialDone:
      ReleaseOne();
      return;
    case Stimulus::kNewcomer:
    case Stimulus::kSilentConnections:
    case Stimulus::kAskingConnections:
      for (int i = 0; i < (stimulus == Stimulus::kNewcomer ? 1 : kConnections); ++i) {
        Client& client = Connect();
        client.asks_at = steady_clock::now();
        if (stimulus == Stimulus::kSilentConnections) *client.asks_at += plan_.request_delay;
      }
      return AskWhatIsDue();
  }
}

void SessionPlay::RunToEnd() {
  const SteadyTime limit = steady_clock::now() + kLongestPlay;
  while (!Over() && steady_clock::now() < limit) {
    if (RunHandler()) continue;
    if (ReleaseOne()) continue;
    bool read = false;
    for (Client& client : clients_) read |= ReadAll(client);
    if (read) continue;
    clock_.AdvanceToNextTimer(UntilNextAsks());
    AskWhatIsDue();
  }
  RunReady();
  for (Client& client : clients_) ReadAll(client);
}

// Each client has left, seen the end, or had all its answers, and has nothing more to ask.
bool SessionPlay::Over() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const Client& client) {
    if (client.left || client.read_end || client.refused) return true;
    return !client.asks_at && !client.requests.empty() && client.unwritten.empty() &&
           AnswersIn(client.in).size() >= client.requests.size();
  });
}

void SessionPlay::CleanUp() {
  for (Client& client : clients_) {
    ErrorCode ignored;
    client.socket.close(ignored);
  }
  const SteadyTime limit = steady_clock::now() + kLongestPlay;
  const auto quiet = [this] {
    return node_->listener.connections() == 0 && node_->proxy.open() == 0 && (!terminated_ || stopped_);
  };
  while (!quiet() && steady_clock::now() < limit) {
    if (!RunHandler() && !ReleaseOne()) clock_.AdvanceToNextTimer(kMostWait);
  }
  if (!quiet()) Report(&Found::leaked, "connections or requests are left");
}

// One handler, if one is ready. The kernel may hand over on another thread what has just been sent: it gets
// the processor before "none is ready" is believed.
bool SessionPlay::RunHandler() {
  constexpr int kLooks = 2;
  if (handlers_ == kMostHandlers) return false;
  for (int look = 0; look < kLooks; ++look) {
    io_.restart();
    if (io_.poll_one() > 0) {
      if (++handlers_ == kMostHandlers) Report(&Found::leaked, "handlers run without end");
      LookForEnds();
      return true;
    }
    std::this_thread::yield();
  }
  return false;
}

void SessionPlay::RunReady() {
  while (RunHandler()) continue;
}

// As an idle process: handlers run when they are due.
void SessionPlay::RunTimeTo(SteadyTime until) {
  RunReady();
  while (steady_clock::now() < until) {
    clock_.AdvanceToNextTimer(until - steady_clock::now());
    RunReady();
  }
}

// As a process that is descheduled.
void SessionPlay::SleepUntil(SteadyTime until) {
  if (steady_clock::now() < until) clock_.Advance(until - steady_clock::now());
}

// The next thing that the backend or the network has not done yet.
bool SessionPlay::ReleaseOne() {
  if (held_.empty()) return false;
  const auto next = std::move(held_.front());
  held_.pop_front();
  next();
  return true;
}

SessionPlay::Client& SessionPlay::Connect() {
  constexpr milliseconds kMostWaitForHandshake{20};  // a SYN that is dropped is sent again after a second
  Client& client = clients_.emplace_back(tcp::socket(io_));
  client.connected = steady_clock::now();
  client.socket.open(tcp::v4());
  if (small_buffers_ && clients_.size() == 1)
    client.socket.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
  client.socket.bind({address_.address(), 0});
  client.endpoint = client.socket.local_endpoint();
  client.socket.set_option(tcp::no_delay(true));  // what is written is there at once
  client.socket.native_non_blocking(true);
  const tcp::endpoint& to = listener_address_;
  if (::connect(client.socket.native_handle(), to.data(), static_cast<socklen_t>(to.size())) != 0 &&
      errno != EINPROGRESS) {
    client.refused = true;
    return client;
  }
  const short events = EventsOf(client.socket.native_handle(), POLLOUT, kMostWaitForHandshake);
  client.refused = (events & (POLLHUP | POLLERR)) != 0 || (events & POLLOUT) == 0;
  return client;
}

// Bytes that the kernel takes; a connection that has been reset takes none.
void SessionPlay::Write(Client& client, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        ::send(client.socket.native_handle(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) break;
    sent += static_cast<std::size_t>(n);
  }
  watch_.NoteDataFrom(client.endpoint);
  client.wrote += text.size();
  if (sent == text.size()) client.requests.back().written = steady_clock::now();
}

void SessionPlay::Ask(Client& client, const std::string& text, const std::string& id) {
  AskHalf(client, text, id);
  WriteRest(client);
}

void SessionPlay::AskHalf(Client& client, const std::string& text, const std::string& id) {
  LookForEnds();
  if (client.left || client.refused || client.read_end) return;
  ReadAnswersIfWhole(client);
  Request request;
  request.id = id;
  request.begin = client.wrote;
  request.begun_writing = steady_clock::now();
  request.after_end = client.ended.has_value();
  request.after_close = client.asked_for_close || client.in.find("Connection: close") != std::string::npos;
  request.behind_another = AnswersIn(client.in).size() < client.requests.size();
  client.requests.push_back(request);
  Write(client, text.substr(0, kHalf));
  client.requests.back().written.reset();
  client.unwritten = text.substr(kHalf);
}

void SessionPlay::WriteRest(Client& client) {
  if (client.left || client.refused || client.read_end || client.unwritten.empty()) return;
  Write(client, std::exchange(client.unwritten, {}));
}

void SessionPlay::Leave(Client& client, bool by_reset) {
  if (client.left || client.refused || client.read_end) return;
  client.left = steady_clock::now();
  ErrorCode ignored;
  if (by_reset) client.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  client.socket.close(ignored);
}

// What the clients could see of an end now.
void SessionPlay::LookForEnds() {
  for (Client& client : clients_) {
    if (client.reset_at || client.read_end || client.left || client.refused) continue;
    const short events = EventsOf(client.socket.native_handle(), POLLRDHUP);
    const SteadyTime now = steady_clock::now();
    if ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0 && !client.ended) client.ended = now;
    if ((events & (POLLHUP | POLLERR)) != 0) client.reset_at = now;
  }
}

void SessionPlay::AskWhatIsDue() {
  for (Client& client : clients_) {
    if (client.rest_at && steady_clock::now() >= *client.rest_at) {
      client.rest_at.reset();
      WriteRest(client);
    }
    if (!client.asks_at || steady_clock::now() < *client.asks_at) continue;
    client.asks_at.reset();
    const std::string id = "q" + std::to_string(requests_++);
    Ask(client, Get(id), id);
  }
}

// What has come. Below 0: the connection has been reset; 0: its end has come.
ssize_t SessionPlay::Receive(Client& client, int flags, std::string* into) {
  std::array<char, 65536> piece;
  for (;;) {
    const ssize_t n = ::recv(client.socket.native_handle(), piece.data(), piece.size(), MSG_DONTWAIT | flags);
    if (n > 0) into->append(piece.data(), static_cast<std::size_t>(n));
    if (n <= 0 || (flags & MSG_PEEK) != 0) return n;
  }
}

// A client that has its answers reads them before it sends the next request.
void SessionPlay::ReadAnswersIfWhole(Client& client) {
  std::string waiting;
  Receive(client, MSG_PEEK, &waiting);
  if (AnswersIn(client.in + waiting).size() < client.requests.size()) return;
  Receive(client, 0, &client.in);
}

// Until a client asks that waits for its time, and no longer than one waits for a handler.
SessionPlay::Nanoseconds SessionPlay::UntilNextAsks() const {
  Nanoseconds wait = kMostWait;
  for (const Client& client : clients_) {
    for (const auto& at : {client.asks_at, client.rest_at}) {
      if (at) wait = std::min<Nanoseconds>(wait, *at - steady_clock::now());
    }
  }
  return std::max(wait, Nanoseconds(0));
}

// True if there was something. The client closes when it has read the end.
bool SessionPlay::ReadAll(Client& client) {
  if (client.left || client.refused || client.read_end) return false;
  LookForEnds();
  if (small_buffers_) ReadFast(client.socket);
  const std::size_t had = client.in.size();
  const ssize_t end = Receive(client, 0, &client.in);
  const bool read = client.in.size() > had;
  if (end < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return read;
  client.reset = end < 0;
  client.unread_at_reset = end < 0 && read;
  client.read_end = true;
  if (!client.ended) client.ended = steady_clock::now();
  ErrorCode ignored;
  client.socket.close(ignored);
  return true;
}

SessionPlay::Request* SessionPlay::RequestOf(const std::string& id, Client** client) {
  for (Client& each : clients_) {
    for (Request& request : each.requests) {
      if (request.id != id) continue;
      *client = &each;
      return &request;
    }
  }
  return nullptr;
}

void SessionPlay::Dial(tcp::socket& socket, const tcp::endpoint& address,
                       std::function<void(ErrorCode)> ended) {
  // It may have been given up by the time it is let go: then it has been closed.
  socket.open(tcp::v4());
  if (hold_reads_) socket.set_option(asio::socket_base::send_buffer_size(kSmallBuffer));
  auto dial = [&socket, address, ended = std::move(ended)] { socket.async_connect(address, ended); };
  if (hold_dials_) {
    held_.push_back(std::move(dial));
  } else {
    dial();
  }
}

// The proxy is about to write the first byte of an attempt.
void SessionPlay::Begun(const Forwarded& forwarded) {
  Client* client = nullptr;
  Request* request = RequestOf(forwarded.correlation_id, &client);
  if (!request) return Report(&Found::lost, "an attempt of no client's request");
  ++request->begun;
  if (request->unsafe && request->begun > 1) Report(&Found::twice, "an unsafe request was sent twice");
  if (client->left && steady_clock::now() - *client->left > kMostLate)
    Report(&Found::late, "an attempt was begun after its client had left");
}

void SessionPlay::AcceptAtBackend() {
  backend_->async_accept([this](ErrorCode error, tcp::socket socket) {
    if (error) return;
    const auto wire = std::make_shared<Wire>(std::move(socket));
    backend_wires_.push_back(wire);
    wire->on_data = [this](Wire& with_data) {
      if (Whole(with_data.in)) Serve(with_data);
    };
    if (hold_reads_) {
      held_.push_back([wire] { wire->Start(); });
    } else {
      wire->Start();
    }
    AcceptAtBackend();
  });
}

void SessionPlay::Serve(Wire& wire) {
  const std::string text = std::exchange(wire.in, {});
  const std::string id = IdIn(text);
  Client* client = nullptr;
  const Request* request = RequestOf(id, &client);
  if (request && request->written && !hold_reads_) {
    const auto left =
        (id.starts_with('t') ? milliseconds(0) : kTimeLeft) - (steady_clock::now() - *request->written);
    if (milliseconds(TimeLeftIn(text)) > left + kMostTimeTooMuch)
      Report(&Found::late, "the backend was told more time than the client has left");
  }
  const auto answer = [this, id, weak = std::weak_ptr(wire.shared_from_this())] {
    if (const auto held = weak.lock()) held->Send(Reply(200, BodyFor(id)));
  };
  if (hold_answers_) {
    held_.push_back(answer);
  } else {
    answer();
  }
}

std::string SessionPlay::BodyFor(const std::string& id) const {
  const bool large = large_answers_ && id == clients_.front().requests.front().id;
  return large ? id + std::string(kLargeBody, 'x') : id;
}

void SessionPlay::Judge(const Client& client) {
  const auto answers = AnswersIn(client.in);
  if (client.unread_at_reset && !HadTimeToRead(client))
    Report(&Found::lost, "a reset came ahead of the client's reading its answer");
  if (answers.size() > client.requests.size()) Report(&Found::lost, "more answers than requests");
  if (client.asks_at && client.read_end && !MayBeRefused(client, true))
    Report(&Found::lost, "a young connection was ended before its request came");
  for (std::size_t i = 0; i < answers.size() && i < client.requests.size(); ++i) {
    const Request& request = client.requests[i];
    const auto& [status, body] = answers[i];
    if (status == 200 && body != BodyFor(request.id))
      Report(&Found::lost, "an answer that no backend made for the request");
    if (status == 408 && GivenUpTooEarly(client, request))
      Report(&Found::lost, "a request was given up while its client was still in time");
    if (request.unsafe && request.begun > 0 && (status == 503 || status == 429))
      Report(&Found::twice, "an unsafe request was sent and refused");
  }
  for (std::size_t i = answers.size(); i < client.requests.size(); ++i) {
    const Request& request = client.requests[i];
    if (client.left) continue;                        // it is owed no answer any more
    if (!request.written && !client.reset) continue;  // half a request is none
    if (request.after_close || SlowReader(client)) continue;
    JudgeUnanswered(client, request, answers.size());
  }
}

// It has not been answered, and is owed an answer unless it crossed the end of its connection.
void SessionPlay::JudgeUnanswered(const Client& client, const Request& request, std::size_t answers) {
  if (!client.read_end) return Report(&Found::lost, "neither an answer nor an end");
  const bool read = watch_.BytesReadFrom(client.endpoint) > request.begin;
  // Those behind the first that was not answered crossed the end with it, if it did.
  const bool at_rest = answers > 0 && !client.requests[answers].behind_another;
  if (!read && at_rest) {
    if (request.begun > 0) Report(&Found::twice, "a request was sent that its client will send again");
    return;
  }
  if (!read && answers == 0 && MayBeRefused(client, client.requests.front().after_end)) return;
  std::string how = at_rest ? "at rest" : answers > 0 ? "behind another" : "on a new connection";
  how += read ? ", read" : ", unread";
  if (request.after_end) how += ", written after the end could be seen";
  Report(&Found::lost, "no answer: " + how);
}

// It has had more time to read its answer, after the end of its connection, than a client needs.
bool SessionPlay::HadTimeToRead(const Client& client) const {
  return SlowReader(client) ||
         (client.ended && client.reset_at && *client.reset_at - *client.ended >= kLinger);
}

// A client has 2.2 s for a request from its first byte on a connection that was at rest, and from the connect
// on a new one; less at the limit of clients and at the stop.
bool SessionPlay::GivenUpTooEarly(const Client& client, const Request& request) const {
  if (limited_ || terminated_ || !client.ended) return false;
  const bool first = &request == &client.requests.front();
  return *client.ended - (first ? client.connected : request.begun_writing) < kKeepAlive;
}

// It has not read its answer for longer than any deadline, or, at the limit of clients, for longer than its
// own and than a usual client needs.
bool SessionPlay::SlowReader(const Client& client) const {
  if (plan_.state != SessionState::kAnswering || !client.ended) return false;
  return *client.ended - reached_ >= (limited_ ? kUsualReader : kSlowReader);
}

// A young connection that was ended before its request came, `after_end`: as far as its client can tell.
bool SessionPlay::MayBeRefused(const Client& client, bool after_end) const {
  if (!after_end || !client.ended) return false;
  if (limited_ || *client.ended - client.connected >= kKeepAlive) return true;
  return terminated_ && *client.ended - *terminated_ >= kTermToRefusal;
}

void SessionPlay::Report(int Found::*rule, const std::string& what) {
  ++(found_.*rule);
  why_ += Describe(plan_) + ": " + what + "\n";
}

Found PlayOnce(const PlayPlan& plan, std::size_t* ran_between, std::string* why) {
  const std::size_t before = Descriptors();
  Found found;
  {
    const QuietErrors quiet;
    SessionPlay play(plan);
    found = play.Run(why);
    *ran_between = play.ran_between();
  }
  if (Descriptors() != before) {
    ++found.leaked;
    *why += Describe(plan) + ": descriptors are left\n";
  }
  return found;
}

}  // namespace badgerbridge::proxy::testing
