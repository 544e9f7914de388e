// SPDX-License-Identifier: Apache-2.0
//
// Crossings: what happens when an event comes between any two handlers of an exchange. The proxy's real parts
// and its peers run on one io_context, a handler at a time, by a clock of the test's own; the same exchange
// is played again and again with an event put in before step 0, 1, 2, … until it is over, and pairs of events
// at any two steps. After each play the four rules are checked by what the peers saw, and that nothing is
// left behind. A planted fault for each rule shows that the checks can fail.
#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cstdio>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

#include "proxy/crossings_rig.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {
namespace {

enum class Event {
  kNone,
  kClientFin,
  kClientReset,
  kNextRequest,
  kHalfRequest,
  kBackendAnswers,
  kBackendFin,
  kBackendReset,
  kStrayByte,
  kConnected,  // a connection that is being dialled comes up
  kDrain,
  kDeparture,
  kListReset,
  kListSilent,
  kTerm,
  kHup,
  kPause,  // the process is stopped for a while: several timers are due at once
};
const char* NameOf(Event event) {
  constexpr const char* kNames[] = {"none",   "client FIN", "client RST", "next request", "half a request",
                                    "answer", "FIN",        "RST",        "stray byte",   "connected",
                                    "drain",  "departure",  "list reset", "silent list",  "SIGTERM",
                                    "SIGHUP", "pause"};
  return kNames[static_cast<int>(event)];
}
constexpr Event kEvents[] = {
    Event::kClientFin,      Event::kClientReset, Event::kNextRequest,  Event::kHalfRequest,
    Event::kBackendAnswers, Event::kBackendFin,  Event::kBackendReset, Event::kStrayByte,
    Event::kConnected,      Event::kDrain,       Event::kDeparture,    Event::kListReset,
    Event::kListSilent,     Event::kTerm,        Event::kHup,          Event::kPause};

// What a backend does with the requests that come, one after the other, the last for all that follow.
enum class Does { kAnswer, kReset, kUnprocessed, kNothing, kHalfAnswer, kNoLength, kAnswerTwice, kEndless };

enum class Plant {
  kNone,
  kAnswerSwallowed,  // the client does not see its answer
  kDeniesThatItRan,  // a backend runs a request and says that it did not
  kDrainHeldBack,    // discovery's word is not passed on
  kLeaveNotSeen,     // the client is taken to have left, and the proxy does not know
  kDescriptorKept,
};

struct Exchange {
  const char* name;
  std::string text;              // what the client sends
  std::vector<std::string> ids;  // of the requests in it, in order
  std::vector<Does> does;
  bool warm = false;       // a connection to each backend stands idle
  bool slow_dial = false;  // connections come up by kConnected, or when nothing else is left to do
  int window = 10000;      // ms for which a cell remembers a key
};

struct At {
  std::size_t step;
  Event event;
};

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string ClassIn(const std::string& request) {
  const std::size_t at = request.find("X-Service-Class: ") + 17;
  return request.substr(at, request.find("\r\n", at) - at);
}

class Play : public TrafficObserver {
 public:
  Play(const Exchange& exchange, std::vector<At> events, Plant plant)
      : exchange_(exchange), events_(std::move(events)), plant_(plant) {
    for (std::size_t i = 0; i < kBackends; ++i) {
      backends_.push_back(std::make_unique<Peer>(
          io_, [this, i](Wire& wire) { Serve(i, wire); }, address_));
      names_[static_cast<std::size_t>(i)] = "s-" + std::to_string(i);
    }
    for (auto* peer : {&discovery_, &moved_to_})
      *peer = std::make_unique<Peer>(
          io_,
          [this](Wire& wire) {
            wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(ListOf(true) + "\n"));
          },
          address_);
    static const Config kConfig = TestConfig({});
    Config config = kConfig;
    config.listen = address_;
    config.settings.classes[1].window = Duration(exchange.window);
    pool_.emplace(io_, clock_, BackendPool::Limits::From(config));
    pool_->SetAttemptObserver(
        [this](BackendId server, const ForwardedRequest& request) { Begun(server, request); });
    if (exchange.slow_dial)
      pool_->SetConnector([this](tcp::socket& socket, const tcp::endpoint& address, auto ended) {
        dials_.push_back([&socket, address, ended, open = std::make_shared<bool>(true)] {
          socket.async_connect(address, ended);
        });
      });
    proxy_.emplace(io_, clock_, *pool_, config);
    proxy_->SetTrafficObserver(this);
    Discovery::Timing timing;
    timing.message_timeout = std::chrono::milliseconds(20);
    watch_.emplace(
        io_, discovery_->endpoint(), EndpointListReader(config), false, 7,
        [this](const EndpointList& list) {
          std::set<std::string> ready;
          for (const Endpoint& endpoint : list.endpoints) {
            ids_[endpoint.name] = endpoint.entry.server;
            if (endpoint.entry.state == BackendState::kReady) ready.insert(endpoint.name);
            if (endpoint.entry.state != BackendState::kReady) told_off_.insert(endpoint.entry.server);
          }
          for (const auto& [name, id] : ids_) {
            if (list.snapshot && ready.count(name) == 0) told_off_.insert(id);
          }
          if (plant_ == Plant::kDrainHeldBack && !told_off_.empty()) return;
          proxy_->UpdateList(list.snapshot ? EndpointListKind::kFull : EndpointListKind::kDelta, list);
        },
        [] {}, timing);
    watch_->Watch();
    ListenerLimits listener_limits;
    listener_limits.accept_grace = std::chrono::milliseconds(10);
    listener_.emplace(io_, clock_, *proxy_, config, listener_limits);
  }

  // Steps that it took. Also false where it never came to its end.
  std::size_t Run(Found* found) {
    EXPECT_TRUE(RunUntil([&] { return ids_.size() == kBackends && pool_->HasReadyBackend(); }));
    if (exchange_.warm) Warm();
    playing_ = true;
    client_ = Connect();
    client_->Send(exchange_.text);
    sent_ = exchange_.ids;
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    std::size_t step = 0;
    for (;; ++step) {
      for (const At& at : events_) {
        if (at.step == step) Put(at.event);
      }
      if (Over()) break;
      if (std::chrono::steady_clock::now() > limit) {
        ++found->lost;
        break;
      }
      if (!RunHandler()) {
        Connected();  // nothing else is left to do
        RunHandlerOrWait();
      }
      if (client_->closed && !client_gone_) client_->Close(), client_gone_ = true;
    }
    Judge(found);
    client_->Close();
    plant_ = plant_ == Plant::kDrainHeldBack ? Plant::kNone : plant_;
    if (!RunUntil([&] {
          Connected();
          return listener_->connections() == 0 && Ended() && (!terminated_ || stopped_);
        }))
      ++found->leaked;
    // What a drain or a silent list held is told in the end.
    if (drained_ && !RunUntil([&] { return told_off_.count(*drained_) > 0; })) ++found->late;
    if (proxy_->open_requests() != 0 || pool_->open_connections() > 16 * kBackends) ++found->leaked;
    found->late += late_;
    found->twice += forgotten_;
    return step;
  }

  // Of the classes: what is in the table and in the module.
  bool Ended() const {
    if (proxy_->open_requests() != 0) return false;
    for (const BackendView& view : proxy_->Inspect()) {
      if (view.in_flight != 0 || view.work_in_flight != 0) return false;
    }
    return true;
  }
  int kept() const { return kept_; }

  void OnEndpointList(TimePoint, const EndpointList&) override {}
  void OnRequest(TimePoint, const Submit&) override {}
  void OnAttemptSent(TimePoint, const request_table::Send& send, const Submit&) override {
    newest_server_ = send.server;
  }
  void OnAttemptEnded(TimePoint, const request_table::Send&, Outcome, std::string_view) override {}

 private:
  static constexpr std::size_t kBackends = 3;
  static constexpr auto kHandlerTime = std::chrono::microseconds(100);  // what each handler is taken to need
  static constexpr auto kMostWait = std::chrono::milliseconds(50);  // for a handler, where no timer is set

  struct Seen {
    std::size_t backend;
    std::string id, cls;
  };

  std::string ListOf(bool snapshot) const {
    std::vector<std::string> endpoints;
    for (std::size_t i = 0; i < kBackends; ++i) {
      const bool off = drained_ && ids_.count(names_[i]) && ids_.at(names_[i]) == *drained_;
      if (!off) {
        endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Ready", i == 2 ? 2 : 1));
      } else if (!departed_) {
        endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Terminating", i == 2 ? 2 : 1));
      } else if (!snapshot) {
        endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Gone", i == 2 ? 2 : 1));
      }
    }
    return ListJson(drained_ ? 9 : 8, snapshot, endpoints);
  }

  // One handler, if one is ready. The kernel may hand over on another thread what has just been sent: it gets
  // the processor before "none is ready" is believed.
  bool RunHandler() {
    constexpr int kLooks = 2;
    for (int look = 0; look < kLooks; ++look) {
      io_.restart();
      if (io_.poll_one() > 0) {
        virtual_clock_.Advance(kHandlerTime);
        return true;
      }
      std::this_thread::yield();
    }
    return false;
  }

  void RunHandlerOrWait() {
    if (RunHandler()) return;
    virtual_clock_.AdvanceToNextTimer(kMostWait);
    RunHandler();
  }

  // False if the condition does not hold within a time far beyond any need.
  template <typename Condition>
  bool RunUntil(Condition holds) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > limit) return false;
      RunHandlerOrWait();
    }
    return true;
  }

  std::shared_ptr<Wire> Connect() {
    tcp::socket socket(io_);
    socket.connect(listener_->address());
    auto wire = std::make_shared<Wire>(std::move(socket));
    wire->Start();
    return wire;
  }

  void Warm() {
    std::vector<std::shared_ptr<Wire>> clients;
    for (int i = 0; i < 6; ++i) {
      clients.push_back(Connect());
      clients.back()->Send(Get("w" + std::to_string(i)));
    }
    EXPECT_TRUE(RunUntil([&] {
      Connected();
      return std::all_of(clients.begin(), clients.end(),
                         [](const auto& c) { return AnswersIn(c->in).size() == 1; });
    }));
    for (const auto& client : clients) client->Close();
    EXPECT_TRUE(RunUntil([&] { return listener_->connections() == 0; }));
    seen_.clear();
  }

  void Serve(std::size_t backend, Wire& wire) {
    const std::string& request = backends_[backend]->requests.back();
    const std::string id = IdIn(request);
    newest_wire_ = &wire;
    if (!playing_) return wire.Send(Reply(200, id));
    const Does does = exchange_.does[std::min(served_++, exchange_.does.size() - 1)];
    if (does != Does::kUnprocessed || plant_ == Plant::kDeniesThatItRan)
      seen_.push_back({backend, id, ClassIn(request)});
    switch (does) {
      case Does::kAnswer:
        return wire.Send(Reply(200, id));
      case Does::kReset:
        return wire.Reset();
      case Does::kUnprocessed:
        return wire.Send(Reply(503, "", "X-Unprocessed: 1\r\n"));
      case Does::kNothing:
        wire.owed = id;
        return;
      case Does::kHalfAnswer:
        wire.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
        return wire.Close();
      case Does::kNoLength:
        wire.Send("HTTP/1.1 200 OK\r\n\r\nno length");
        return wire.Reset();
      case Does::kAnswerTwice:
        wire.Send(Reply(200, id));
        return wire.Send(Reply(200, id));
      case Does::kEndless:
        return wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    }
  }

  // The proxy is about to write the first byte of an attempt.
  void Begun(BackendId server, const ForwardedRequest& request) {
    if (!playing_) return;
    begun_.insert(request.correlation_id);
    // The group remembers a key from when it first came.
    if (!request.idempotency_key.empty()) {
      const TimePoint now = clock_.Now();
      const TimePoint first = first_begun_.try_emplace(request.correlation_id, now).first->second;
      if (now - first > Duration(exchange_.window)) ++forgotten_;
    }
    if (proxy_->open_requests() == 0) ++late_;  // its request is over: the client left, or has its answer
    if (left_known_) ++late_;                   // what the client asked for goes with it
    if (told_off_.count(server) > 0) ++late_;   // a drain
  }

  void Connected() {
    if (dials_.empty()) return;
    const auto dial = std::move(dials_.front());
    dials_.pop_front();
    dial();
  }

  void Put(Event event) {
    ErrorCode ignored;
    Wire* const backend = LiveBackendWire();
    switch (event) {
      case Event::kNone:
        return;
      case Event::kClientFin:
      case Event::kClientReset:
        if (client_gone_) return;
        left_ = true;
        if (plant_ == Plant::kLeaveNotSeen) {
          left_known_ = true;
          return;
        }
        client_gone_ = true;
        return event == Event::kClientFin ? client_->Close() : client_->Reset();
      case Event::kNextRequest:
        if (client_gone_) return;
        client_->Send(Timed(Get("n" + std::to_string(sent_.size()), "X-Repeat: 1\r\n"), 40));
        sent_.push_back("n" + std::to_string(sent_.size()));
        return;
      case Event::kHalfRequest:
        if (!client_gone_) client_->Send("GET /preview?obj=1 HTTP/1.1\r\nHost: ba");
        half_ = true;
        return;
      case Event::kBackendAnswers:
        if (backend) backend->Send(Reply(200, Owed(*backend)));
        return;
      case Event::kBackendFin:
        if (backend) backend->Close();
        return;
      case Event::kBackendReset:
        if (backend) backend->Reset();
        return;
      case Event::kStrayByte:
        if (backend) backend->Send("H");
        return;
      case Event::kConnected:
        return Connected();
      case Event::kDrain:
      case Event::kDeparture:
        if (drained_) return;
        drained_ = newest_server_ ? *newest_server_ : ids_.begin()->second;
        departed_ = event == Event::kDeparture;
        for (const auto& wire : discovery_->wires) {
          if (wire.get() != mute_) wire->Send(Chunk(ListOf(false) + "\n"));
        }
        for (const auto& wire : moved_to_->wires) wire->Send(Chunk(ListOf(false) + "\n"));
        return;
      case Event::kListReset:
        for (const auto& wire : discovery_->wires) wire->Reset();
        return;
      case Event::kListSilent:
        if (!discovery_->wires.empty()) mute_ = discovery_->wires.back().get();
        return;
      case Event::kTerm:
        terminated_ = true;
        return listener_->Stop([this] { stopped_ = true; });
      case Event::kHup:
        return watch_->MoveTo(moved_to_->endpoint());
      case Event::kPause:
        return virtual_clock_.Advance(std::chrono::milliseconds(30));
    }
  }

  // The id of the request that has come on it, also where that has not been read yet.
  static std::string Owed(Wire& wire) {
    std::string text(65536, '\0');
    ErrorCode error;
    wire.socket.non_blocking(true, error);
    text.resize(wire.socket.receive(asio::buffer(text), tcp::socket::message_peek, error));
    text = wire.in + (error ? "" : text);
    if (text.find("X-Correlation-Id: ") != std::string::npos) return IdIn(text);
    return wire.owed.empty() ? "nobody's" : std::exchange(wire.owed, {});
  }

  Wire* LiveBackendWire() const {
    for (const auto& backend : backends_) {
      for (const auto& wire : backend->wires) {
        if (wire.get() == newest_wire_ && wire->socket.is_open()) return wire.get();
      }
    }
    return nullptr;
  }

  bool Over() const {
    if (left_ && plant_ != Plant::kLeaveNotSeen) return Ended();
    return (client_gone_ || AnswersIn(client_->in).size() >= sent_.size()) && Ended();
  }

  void Judge(Found* found) {
    std::vector<std::pair<int, std::string>> answers = AnswersIn(client_->in);
    if (plant_ == Plant::kAnswerSwallowed) answers.clear();
    if (answers.size() > sent_.size() + (half_ ? 1 : 0)) ++found->lost;  // more than one each
    for (std::size_t i = 0; i < sent_.size(); ++i) {
      const std::string& id = sent_[i];
      if (i < answers.size()) {
        if (answers[i].first == 200 && answers[i].second != id) ++found->lost;  // what no backend made for it
      } else if (!left_ && (i < exchange_.ids.size() || begun_.count(id) > 0)) {
        // One that crossed the end of its connection unread is sent once more by its client; half a request
        // before it makes it no request.
        if (!(half_ && begun_.count(id) == 0)) ++found->lost;
      }
      std::set<std::size_t> ran;
      std::size_t times = 0;
      std::string cls;
      for (const Seen& seen : seen_) {
        if (seen.id == id) ran.insert(seen.backend == 2 ? 2 : 1), ++times, cls = seen.cls;
      }
      const bool refused = i < answers.size() && (answers[i].first == 503 || answers[i].first == 429);
      if (cls == "certify" && (times > 1 || (times == 1 && refused))) ++found->twice;
      if (cls == "convert" && (ran.size() > 1 || (times > 0 && refused))) ++found->twice;
      if (times > 4) ++found->twice;
    }
    if (plant_ == Plant::kDescriptorKept) kept_ = ::dup(0);
  }

  const Exchange& exchange_;
  std::vector<At> events_;
  Plant plant_;
  const tcp::endpoint address_ = OwnAddress();
  badgerbridge::testing::VirtualClock virtual_clock_;  // ahead of all that reads it
  asio::io_context io_;
  ProxyClock clock_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::array<std::string, kBackends> names_;
  std::unique_ptr<Peer> discovery_, moved_to_;
  std::deque<std::function<void()>> dials_;
  std::optional<BackendPool> pool_;
  std::optional<Proxy> proxy_;
  std::optional<Discovery> watch_;
  std::optional<Listener> listener_;
  std::shared_ptr<Wire> client_;

  std::map<std::string, BackendId> ids_;
  std::set<BackendId> told_off_;
  std::set<std::string> begun_;
  std::vector<std::string> sent_;
  std::vector<Seen> seen_;
  std::size_t served_ = 0;
  std::optional<BackendId> newest_server_, drained_;
  Wire* newest_wire_ = nullptr;
  Wire* mute_ = nullptr;
  bool playing_ = false, left_ = false, left_known_ = false, client_gone_ = false, half_ = false;
  bool terminated_ = false, stopped_ = false, departed_ = false;
  std::map<std::string, TimePoint> first_begun_;
  int late_ = 0, forgotten_ = 0, kept_ = -1;
};

// One play, and what it left behind.
std::size_t PlayOnce(const Exchange& exchange, std::vector<At> events, Found* found,
                     Plant plant = Plant::kNone) {
  const std::size_t before = Descriptors();
  std::size_t steps = 0;
  int kept = -1;
  {
    Play play(exchange, std::move(events), plant);
    steps = play.Run(found);
    kept = play.kept();
  }
  if (Descriptors() != before) ++found->leaked;
  if (kept >= 0) ::close(kept);
  return steps;
}

const std::vector<Exchange>& Exchanges() {
  const std::string key = "Idempotency-Key: k1\r\n";
  static const std::vector<Exchange> all = {
      {"safe, new connection", Get("a1"), {"a1"}, {Does::kAnswer}},
      {"unsafe, idle connection", Post("a1", "certify", "END"), {"a1"}, {Does::kAnswer}, true},
      {"unsafe, slow dial", Post("a1", "certify", "END"), {"a1"}, {Does::kAnswer}, false, true},
      {"unsafe, turned away once", Post("a1", "certify", "END"), {"a1"}, {Does::kUnprocessed, Does::kAnswer}},
      {"keyed, reset once", Post("a1", "convert", "END", key), {"a1"}, {Does::kReset, Does::kAnswer}},
      {"keyed, reset once, slow dial",
       Post("a1", "convert", "END", key),
       {"a1"},
       {Does::kReset, Does::kAnswer},
       false,
       true},
      {"keyed, reset once, short window, slow dial",
       Post("a1", "convert", "END", key),
       {"a1"},
       {Does::kReset, Does::kAnswer},
       false,
       true,
       20},
      {"keyed, a large body",
       Post("a1", "convert", std::string(60000, 'x') + "END", key),
       {"a1"},
       {Does::kAnswer}},
      {"two at once", Get("a1") + Get("a2"), {"a1", "a2"}, {Does::kAnswer}},
      {"the last of its connection", Get("a1", "Connection: close\r\n"), {"a1"}, {Does::kAnswer}},
      {"unsafe, silent", Timed(Post("a1", "certify", "END"), 20), {"a1"}, {Does::kNothing}},
      {"safe, half an answer", Get("a1"), {"a1"}, {Does::kHalfAnswer, Does::kNoLength, Does::kAnswer}},
      {"safe, answered twice", Get("a1") + Get("a2"), {"a1", "a2"}, {Does::kAnswerTwice, Does::kAnswer}},
      {"three at once, of three classes",
       Get("a1") + Post("a2", "certify", "END") + Post("a3", "convert", "END", key),
       {"a1", "a2", "a3"},
       {Does::kAnswer}},
      {"keyed, endless answer", Timed(Post("a1", "convert", "END", key), 20), {"a1"}, {Does::kEndless}},
  };
  return all;
}

// What some of the plays found, and how many there were.
struct Totals {
  Found found;
  std::size_t plays = 0, steps = 0, pairs = 0;

  void Add(const Totals& other) {
    found.Add(other.found);
    plays += other.plays, steps += other.steps, pairs += other.pairs;
  }
};

std::size_t PlayAndCount(const Exchange& exchange, const std::vector<At>& events, Totals* totals) {
  Found now;
  const std::size_t taken = PlayOnce(exchange, events, &now);
  ++totals->plays;
  totals->found.Add(now);
  if (now.all() == 0) return taken;
  std::string what = exchange.name;
  for (const At& at : events) what += std::string(", ") + NameOf(at.event) + "@" + std::to_string(at.step);
  std::cout << what << ": lost " << now.lost << ", twice " << now.twice << ", late " << now.late
            << ", leaked " << now.leaked << '\n';
  return taken;
}

// Until the event comes after the end.
void PlayAtEachStep(const Exchange& exchange, Event event, Totals* totals) {
  constexpr std::size_t kMostSteps = 200;
  for (std::size_t step = 0;; ++step) {
    ++totals->steps;
    if (PlayAndCount(exchange, {{step, event}}, totals) < step) return;
    if (step > kMostSteps) FAIL() << exchange.name << " does not end";
  }
}

// Two events of one exchange: the first at any step, the second at any other.
struct Pair {
  const char* exchange;
  Event first, second;
};
constexpr Pair kPairs[] = {
    {"unsafe, slow dial", Event::kClientFin, Event::kConnected},
    {"keyed, reset once, slow dial", Event::kClientFin, Event::kConnected},
    {"unsafe, slow dial", Event::kDrain, Event::kConnected},
    {"safe, new connection", Event::kTerm, Event::kNextRequest},
    {"unsafe, silent", Event::kBackendAnswers, Event::kPause},
    {"unsafe, idle connection", Event::kListSilent, Event::kDrain},
};
constexpr std::size_t kMostPairSteps = 16;

void PlayPairs(const Exchange& exchange, const Pair& pair, std::size_t first_step, std::size_t most_steps,
               Totals* totals) {
  for (std::size_t second_step = 0; second_step <= most_steps; ++second_step) {
    ++totals->pairs;
    PlayAndCount(exchange, {{first_step, pair.first}, {second_step, pair.second}}, totals);
  }
}

const Exchange& ExchangeOf(std::string_view name) {
  const auto found = std::find_if(Exchanges().begin(), Exchanges().end(),
                                  [&](const Exchange& exchange) { return exchange.name == name; });
  if (found == Exchanges().end()) throw std::logic_error("no such exchange: " + std::string(name));
  return *found;
}

// The plays with events, in pieces that don't depend on one another. The plays without are made here.
std::vector<Work<Totals>> AllWork(Totals* totals) {
  std::vector<Work<Totals>> work;
  std::map<std::string, std::size_t> length;
  for (const Exchange& exchange : Exchanges()) {
    length[exchange.name] = PlayAndCount(exchange, {}, totals);
    for (const Event event : kEvents)
      work.push_back([&exchange, event](Totals* into) { PlayAtEachStep(exchange, event, into); });
  }
  for (const Pair& pair : kPairs) {
    const Exchange& exchange = ExchangeOf(pair.exchange);
    const std::size_t most = std::min(length[pair.exchange], kMostPairSteps);
    for (std::size_t first = 0; first <= most; ++first)
      work.push_back([&, first, most](Totals* into) { PlayPairs(exchange, pair, first, most, into); });
  }
  return work;
}

TEST(Crossings, EveryEventBetweenAnyTwoSteps) {
  Totals totals;
  RunInProcesses(AllWork(&totals), &totals);

  // Each fault planted is found, by the rule that it breaks.
  int planted = 0, caught = 0;
  const auto plant = [&](std::size_t exchange, std::vector<At> events, Plant what, int Found::*rule) {
    Found now;
    for (std::size_t step = 0; step < 12 && now.*rule == 0; ++step) {
      std::vector<At> moved = events;
      for (At& at : moved) at.step = step;
      PlayOnce(Exchanges()[exchange], moved, &now, what);
    }
    ++planted, caught += now.*rule > 0;
    EXPECT_GT(now.*rule, 0) << "planted fault " << static_cast<int>(what);
  };
  plant(0, {}, Plant::kAnswerSwallowed, &Found::lost);
  plant(3, {}, Plant::kDeniesThatItRan, &Found::twice);
  plant(2, {{0, Event::kDrain}}, Plant::kDrainHeldBack, &Found::late);
  plant(2, {{0, Event::kClientFin}}, Plant::kLeaveNotSeen, &Found::late);
  plant(0, {}, Plant::kDescriptorKept, &Found::leaked);

  const Found& found = totals.found;
  std::cout << "crossings: exchanges=" << totals.plays << " steps=" << totals.steps
            << " pairs=" << totals.pairs << " lost=" << found.lost << " twice=" << found.twice
            << " late=" << found.late << " leaked=" << found.leaked << " planted_caught=" << caught << "/"
            << planted << std::endl;
  EXPECT_EQ(found.all(), 0);
  EXPECT_GE(totals.steps, 5796u);
  EXPECT_GE(totals.pairs, 1542u);
  EXPECT_EQ(planted, 5);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
