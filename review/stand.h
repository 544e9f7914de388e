// SPDX-License-Identifier: Apache-2.0
//
// Stand-ins of the second review: clients, backends, discovery and the platform that starts a proxy. Threads
// and blocking sockets on loopback addresses, the C++ library alone.
#ifndef BADGERBRIDGE_REVIEW_STAND_H_
#define BADGERBRIDGE_REVIEW_STAND_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

constexpr int kHeld = 0;       // exit code: the rule held
constexpr int kBroken = 1;     // exit code: the rule was broken
constexpr int kCannotRun = 2;  // exit code: the case couldn't run

using SteadyClock = std::chrono::steady_clock;
inline const SteadyClock::time_point kStart = SteadyClock::now();

inline double Now() {  // ms since the program began
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - kStart).count();
}
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void SleepUntil(double at) { SleepMs(at - Now()); }
inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// What was sent, answered and run: a line each, with the time in ms.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Add(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%10.2f ", Now());
    file_ << time << text << '\n';
    file_.flush();
  }
  /// Also on standard output.
  void Say(const std::string& text) {
    Add(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// ---- sockets --------------------------------------------------------------------------------------------

class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    return *this;
  }
  ~Socket() { Close(); }
  int get() const { return descriptor_; }
  bool ok() const { return descriptor_ >= 0; }
  void Close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }
  void Reset() {  // closes with a reset
    const linger hard{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }

 private:
  int descriptor_ = -1;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int PortOf(int descriptor) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

inline Socket Listen(int port = 0) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(socket.get(), 512) != 0)
    return {};
  return socket;
}

inline int FreePort() { return PortOf(Listen().get()); }
inline std::string AddressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

inline Socket Connect(int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return {};
  const int on = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

inline bool SendAll(const Socket& socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t bytes = ::send(socket.get(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (bytes <= 0) return false;
    sent += static_cast<std::size_t>(bytes);
  }
  return true;
}

/// Whether the socket is readable (bytes, an end or a reset) within this time.
inline bool AwaitReadable(const Socket& socket, double ms) {
  pollfd wait{socket.get(), POLLIN, 0};
  return ::poll(&wait, 1, std::max(0, static_cast<int>(ms))) > 0;
}

// ---- HTTP/1.1 -------------------------------------------------------------------------------------------

struct Message {
  std::string first_line, headers, body;
  /// The value of a header; empty if there is none.
  std::string Header(const std::string& name) const {
    const auto lower = [](std::string text) {
      for (char& byte : text) byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
      return text;
    };
    const std::string all = lower(headers);
    const std::string wanted = "\r\n" + lower(name) + ":";
    const std::size_t at = all.find(wanted);
    if (at == std::string::npos) return "";
    std::size_t begin = at + wanted.size();
    while (begin < headers.size() && headers[begin] == ' ') ++begin;
    return headers.substr(begin, headers.find("\r\n", begin) - begin);
  }
  int Status() const { return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9); }
};

enum class ReadEnd { kWhole, kTime, kClosed };

/// Reads messages with a Content-Length, or none, one after another.
class Reader {
 public:
  explicit Reader(const Socket& socket) : socket_(&socket) {}
  ReadEnd Next(double until, Message* message) {
    for (;;) {
      if (Take(message)) return ReadEnd::kWhole;
      if (!AwaitReadable(*socket_, std::max(0.0, until - Now()))) {
        if (Now() >= until) return ReadEnd::kTime;
        continue;
      }
      char piece[16384];
      const ssize_t bytes = ::recv(socket_->get(), piece, sizeof piece, 0);
      if (bytes <= 0) return ReadEnd::kClosed;
      buffer_.append(piece, static_cast<std::size_t>(bytes));
    }
  }
  const std::string& rest() const { return buffer_; }

 private:
  bool Take(Message* message) {
    const std::size_t end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    Message found;
    const std::size_t line = buffer_.find("\r\n");
    found.first_line = buffer_.substr(0, line);
    found.headers = buffer_.substr(line, end + 2 - line);
    const std::size_t length = static_cast<std::size_t>(std::atoll(found.Header("Content-Length").c_str()));
    if (buffer_.size() < end + 4 + length) return false;
    found.body = buffer_.substr(end + 4, length);
    buffer_.erase(0, end + 4 + length);
    *message = std::move(found);
    return true;
  }
  const Socket* socket_;
  std::string buffer_;
};

inline std::string Answer(const std::string& status, const std::string& body,
                          const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// A client's request as PROTOCOL has it. `effect`: "safe", "keyed" or "unsafe".
inline std::string Request(const std::string& name, const std::string& effect, const std::string& id,
                           int time_left_ms, const std::string& body = "") {
  std::string text = (effect == "safe" ? "GET /" : "POST /") + name + "?obj=" + id + " HTTP/1.1\r\n";
  text += "Host: backend.local\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + name + "\r\n";
  text += "X-Time-Left-Ms: " + std::to_string(time_left_ms) + "\r\n";
  if (effect == "keyed") text += "Idempotency-Key: k" + id + "\r\n";
  if (effect != "safe") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + (effect == "safe" ? "" : body);
}

// ---- threads that serve connections ---------------------------------------------------------------------

/// Accepts connections and serves each in a thread of its own, until the end of the program.
class Server {
 public:
  using Serve = std::function<void(Socket)>;
  explicit Server(Serve serve) : listening_(Listen()), serve_(std::move(serve)) {
    port_ = PortOf(listening_.get());
    std::thread([this] {
      for (;;) {
        const int descriptor = ::accept4(listening_.get(), nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) continue;
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, descriptor] { serve_(Socket(descriptor)); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  Socket listening_;
  Serve serve_;
  int port_ = 0;
};

struct Endpoint {
  std::string name;
  int port = 0;
  std::string status = "Ready";
};

inline std::string ListOf(int index, bool snapshot, const std::vector<Endpoint>& endpoints) {
  std::string text = "{\"index\":" + std::to_string(index) +
                     ",\"snapshot\":" + (snapshot ? "true" : "false") + ",\"endpoints\":[";
  for (const Endpoint& endpoint : endpoints) {
    if (text.back() == '}') text += ',';
    text += "{\"name\":\"" + endpoint.name + "\",\"address\":\"" + AddressOf(endpoint.port) +
            "\",\"zone\":\"a\",\"type\":\"m2\",\"group\":1,\"status\":\"" + endpoint.status +
            "\",\"weight\":1.0,\"since_ms\":0}";
  }
  return text + "]}";
}

/// Discovery: the whole list first, then what changes; an empty line every 2 s.
class Discovery {
 public:
  Discovery(Record* record, std::vector<Endpoint> endpoints)
      : record_(record), endpoints_(std::move(endpoints)), port_(AddAddress("n1")) {}
  int port() const { return port_; }
  /// A further address of this discovery, for the proxy of this name.
  int AddAddress(const std::string& proxy) {
    servers_.push_back(
        std::make_unique<Server>([this, proxy](Socket socket) { Serve(std::move(socket), proxy); }));
    return servers_.back()->port();
  }
  /// When a proxy was first written a list or change of this version or a later one; negative: never.
  double ToldAt(const std::string& proxy, int version) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = told_.lower_bound({proxy, version});
    return found == told_.end() || found->first.first != proxy ? -1 : found->second;
  }
  int Change(const std::string& name, const std::string& status) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++index_;
    for (Endpoint& endpoint : endpoints_) {
      if (endpoint.name != name) continue;
      endpoint.status = status;
      changes_[index_] = endpoint;
    }
    return index_;
  }
  std::string Snapshot() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ListOf(index_, true, endpoints_);
  }
  /// How long each call takes, from now on, one after another.
  void SetTurn(double ms) { turn_ms_ = ms; }

 private:
  static constexpr double kMostWaitMs = 2000;

  static std::string Chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  // Calls are worked through in turn, each takes turn_ms_, and one that would have to wait for over 2 s is
  // turned away. False: it has ended.
  bool AwaitTurn(const Socket& socket, int call, const std::string& name) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const double now = Now();
      const double begin = std::max(now, turns_.empty() ? now : turns_.back().second);
      if (begin + turn_ms_ <= now + kMostWaitMs) turns_.emplace_back(call, begin + turn_ms_);
    }
    for (;;) {
      const bool gone = AwaitReadable(socket, 2);
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto turn =
          std::find_if(turns_.begin(), turns_.end(), [call](const auto& one) { return one.first == call; });
      if (turn == turns_.end()) {
        record_->Add(name + " was turned away: it would wait for over 2 s");
        SendAll(socket, Answer("503 Service Unavailable", "", "Connection: close\r\n"));
        return false;
      }
      if (gone) record_->Add(name + " was given up by the proxy");
      if (!gone && Now() < turn->second) continue;
      turns_.erase(turn);
      return !gone;
    }
  }
  // Versions lie close together, so that a later one notes those before it.
  void NoteTold(const std::string& proxy, int version) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const double now = Now();
    for (int earlier = version; earlier >= 0 && told_.emplace(std::pair(proxy, earlier), now).second;)
      --earlier;
  }
  void Serve(Socket socket, const std::string& proxy) {
    Reader reader(socket);
    Message request;
    if (reader.Next(Now() + 5000, &request) != ReadEnd::kWhole) return;
    const int call = ++calls_;
    const std::string name = "discovery: call " + std::to_string(call) + " of " + proxy;
    record_->Add(name + " " + request.first_line);
    if (!AwaitTurn(socket, call, name)) return;
    int told = 0;
    std::string list;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      told = index_;
      list = ListOf(index_, true, endpoints_);
    }
    SendAll(socket,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                Chunk(list + "\n"));
    NoteTold(proxy, told);
    record_->Add(name + " wrote list " + std::to_string(told));
    double next_empty = Now() + 2000;
    for (;;) {
      if (AwaitReadable(socket, 5)) return;
      std::string text;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto change = changes_.upper_bound(told); change != changes_.end(); ++change)
          text += ListOf(change->first, false, {change->second}) + "\n";
        told = index_;
      }
      if (text.empty() && Now() >= next_empty) text = "\n";
      if (text.empty()) continue;
      next_empty = Now() + 2000;
      if (!SendAll(socket, Chunk(text))) return;
      if (text == "\n") continue;
      NoteTold(proxy, told);
      record_->Add(name + " wrote changes up to " + std::to_string(told));
    }
  }
  Record* record_;
  std::mutex mutex_;
  std::vector<Endpoint> endpoints_;
  std::map<int, Endpoint> changes_;
  int index_ = 40;
  std::atomic<int> calls_ = 0;
  std::list<std::pair<int, double>> turns_;             // calls, and when each is answered
  std::map<std::pair<std::string, int>, double> told_;  // by proxy and version
  std::atomic<double> turn_ms_ = 0;
  std::vector<std::unique_ptr<Server>> servers_;
  int port_;
};

// ---- the platform ---------------------------------------------------------------------------------------

/// The configuration of a small deployment: the figures of the example on the wire's page, with one zone.
struct Deployment {
  bool asks_discovery = false;
  int proxies = 1, memory_mb = 192, sockets = 1024;
  std::string Json(const std::string& name, int listen, int discovery, const std::string& known) const {
    const auto one = [](const char* class_name, const char* effect, const char* group, int deadline,
                        int window) {
      return std::string("{\"name\":\"") + class_name + "\",\"effect\":\"" + effect + "\",\"group\":\"" +
             group + "\",\"deadlineMs\":" + std::to_string(deadline) +
             ",\"windowMs\":" + std::to_string(window) +
             ",\"goalTimeMs\":500,\"worth\":1,\"lateWorth\":0.25,\"streaming\":false}";
    };
    return "{\"name\":\"" + name + "\",\"listen\":\"" + AddressOf(listen) + "\",\"discovery\":\"" +
           AddressOf(discovery) +
           "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
           std::to_string(memory_mb) + ",\"sockets\":" + std::to_string(sockets) +
           "},"
           "\"known\":" +
           known + ",\"settings\":{\"balancers\":" + std::to_string(proxies) +
           ",\"me\":0,\"zone\":0,\"zones\":[\"a\"],\"kinds\":[\"m2\"],"
           "\"tenants\":[],\"classes\":[" +
           one("preview", "read_like", "all", 2000, 5000) + "," +
           one("convert", "idempotency_key", "cell", 2000, 10000) + "," +
           one("certify", "non_idempotent", "all", 1000, 5000) + "],\"registryMode\":\"" +
           (asks_discovery ? "ask" : "push") +
           "\",\"periodMs\":5,\"permissions\":{\"cancel\":true,\"connIdleMs\":60000,\"connectTimeoutMs\":250,"
           "\"maxAttempts\":4,\"maxOpen\":20000,\"maxRetryAfterMs\":2000,\"retryAfter\":false,"
           "\"parallelTries\":false,\"peers\":false,\"probes\":true,\"maxStreams\":1},"
           "\"report\":{\"how\":\"off\",\"fields\":[]},"
           "\"rules\":{\"answerSlackMs\":20,\"coldFrom\":0.16,\"drainGraceMs\":500,\"fallMultiple\":2.5,"
           "\"mustAskInMs\":10000,\"overloadForMs\":3000,\"warmUpMs\":24000}}}";
  }
};

/// Processes that this program started and that have not been waited for.
inline std::mutex processes_mutex;
inline std::set<pid_t> processes;

/// One proxy, started by the `run` line of the deploy file from the repository's root.
class Proxy {
 public:
  Proxy(std::string folder, std::string name)
      : folder_(std::move(folder)), name_(std::move(name)), port_(FreePort()) {}
  int port() const { return port_; }
  void WriteConfig(const Deployment& deployment, int discovery, const std::string& known) const {
    const std::string path = folder_ + "/" + name_ + ".json";
    std::ofstream(path + ".new") << deployment.Json(name_, port_, discovery, known);
    std::rename((path + ".new").c_str(), path.c_str());
  }
  bool Start(int discovery, double most_ms = 10000) {
    const char* run = std::getenv("RUN_LINE");
    const std::string line = run != nullptr ? run : "exec build/badgerbridge";
    const std::string log = folder_ + "/" + name_ + ".log";
    pid_ = ::fork();
    if (pid_ > 0) {
      const std::lock_guard<std::mutex> lock(processes_mutex);
      processes.insert(pid_);
    }
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if this program is ended early
      ::setenv("ROUTER_CONFIG", (folder_ + "/" + name_ + ".json").c_str(), 1);
      ::setenv("ROUTER_NAME", name_.c_str(), 1);
      ::setenv("ROUTER_LISTEN", AddressOf(port_).c_str(), 1);
      ::setenv("ROUTER_DISCOVERY", AddressOf(discovery).c_str(), 1);
      const int file = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(file, 1);
      ::dup2(file, 2);
      ::execl("/bin/sh", "sh", "-c", line.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    for (const double until = Now() + most_ms; Now() < until; SleepMs(20)) {
      const Socket socket = Connect(port_);
      if (!socket.ok()) continue;
      SendAll(socket, "GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
      Message answer;
      if (Reader(socket).Next(Now() + 500, &answer) == ReadEnd::kWhole && answer.Status() == 200) return true;
    }
    return false;
  }
  pid_t pid() const { return pid_; }
  void Signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  bool Runs() const {
    siginfo_t end{};
    return pid_ > 0 && ::waitid(P_PID, static_cast<id_t>(pid_), &end, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           end.si_pid == 0;
  }

 private:
  std::string folder_, name_;
  int port_;
  pid_t pid_ = -1;
};

/// Ends the processes that were started and this program, without waiting for its threads.
[[noreturn]] inline void Finish(Record* record, int verdict) {
  {
    const std::lock_guard<std::mutex> lock(processes_mutex);
    for (const pid_t process : processes) ::kill(process, SIGKILL);
    for (const pid_t process : processes) ::waitpid(process, nullptr, 0);
  }
  record->Say(verdict == kHeld     ? "verdict: held"
              : verdict == kBroken ? "verdict: broken"
                                   : "verdict: couldn't run");
  std::_Exit(verdict);
}

/// argv: the folder of the record, a temporary folder. `play` ends with Finish.
inline int Main(int count, char** arguments, void (*play)(Record*, const std::string& temporary)) {
  if (count != 3) return kCannotRun;
  std::signal(SIGPIPE, SIG_IGN);
  Record record(std::string(arguments[1]) + "/record.txt");
  record.Say(std::string("trouble: ") + (HasTrouble() ? "yes" : "no"));
  play(&record, arguments[2]);
  return kCannotRun;
}

}  // namespace stand

#endif  // BADGERBRIDGE_REVIEW_STAND_H_
