// SPDX-License-Identifier: Apache-2.0
//
// Stand-ins for the cases of this review, written anew after the users' pages (PROTOCOL, DEPLOY, STANDING):
// clients, backends, a discovery agent that pushes lists, and the start and end of one proxy. Blocking
// loopback sockets, one thread a connection, the real clock. Everything that was sent, answered and run goes
// to one record file.
#ifndef BADGERBRIDGE_REVIEW_KIT_H_
#define BADGERBRIDGE_REVIEW_KIT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace review {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCannotRun = 2;

inline double NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline double UnixMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Whether the disruption is played; TROUBLE=0 plays the same without it.
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return !(value && std::string(value) == "0");
}

// ---- the record -----------------------------------------------------------------------------------------

class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%10.1f ", NowMs());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

// Prints a line, and puts it into the record as well.
__attribute__((format(printf, 1, 2))) inline void Say(const char* format, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  Record::Get().Line("%s", text);
  std::printf("%s\n", text);
  std::fflush(stdout);
}

// ---- sockets and HTTP -----------------------------------------------------------------------------------

struct Message {
  std::string start;  // request line or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  double first_byte_at = 0;
  double last_byte_at = 0;

  std::string Header(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0) return value;
    }
    return {};
  }
  int Status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string Target() const {
    const auto from = start.find(' ');
    const auto to = start.rfind(' ');
    return from == std::string::npos || to <= from ? std::string() : start.substr(from + 1, to - from - 1);
  }
};

enum class Read { kMessage, kClosed, kReset, kTimeout, kMalformed };

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {
    const int one = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static std::shared_ptr<Socket> Connect(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_shared<Socket>(fd);
  }

  bool ok() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }
  // Ends the connection with a reset.
  void Reset() {
    const linger hard{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  void Interrupt() const {
    if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
  }

  bool Write(const std::string& text) {
    const std::lock_guard lock(write_mutex_);
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t n = send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Reads one whole message whose end is told by Content-Length, or that has no body.
  Read ReadMessage(Message* message, double timeout_ms) {
    const double due = NowMs() + timeout_ms;
    *message = {};
    std::size_t head = std::string::npos;
    for (;;) {
      if (!buffer_.empty() && message->first_byte_at == 0) message->first_byte_at = NowMs();
      head = buffer_.find("\r\n\r\n");
      if (head != std::string::npos) break;
      if (const Read more = ReadMore(due); more != Read::kMessage) return more;
    }
    ParseHead(buffer_.substr(0, head), message);
    const std::size_t length = static_cast<std::size_t>(std::atol(message->Header("Content-Length").c_str()));
    while (buffer_.size() < head + 4 + length) {
      if (const Read more = ReadMore(due); more != Read::kMessage) return more;
    }
    message->body = buffer_.substr(head + 4, length);
    buffer_.erase(0, head + 4 + length);
    message->last_byte_at = NowMs();
    return Read::kMessage;
  }

 private:
  Read ReadMore(double due) {
    const double left = due - NowMs();
    if (left <= 0) return Read::kTimeout;
    pollfd wait{fd_, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(left) + 1) <= 0) return Read::kTimeout;
    char bytes[16384];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n == 0) return Read::kClosed;
    if (n < 0) return Read::kReset;
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return Read::kMessage;
  }

  static void ParseHead(const std::string& head, Message* message) {
    std::size_t at = 0;
    bool first = true;
    while (at <= head.size()) {
      const std::size_t end = std::min(head.find("\r\n", at), head.size());
      const std::string line = head.substr(at, end - at);
      at = end + 2;
      if (std::exchange(first, false)) {
        message->start = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message->headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }

  int fd_;
  std::string buffer_;
  std::mutex write_mutex_;
};

// Accepts connections on a free loopback port and serves each on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(const std::shared_ptr<Socket>&)>;

  explicit Server(Serve serve) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd_, 1024) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
      std::perror("cannot listen");
      std::exit(kCannotRun);
    }
    port_ = ntohs(address.sin_port);
    accepting_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return port_; }

  void Stop() {
    if (stopping_.exchange(true)) return;
    accepting_.join();
    close(fd_);
    {
      const std::lock_guard lock(mutex_);
      for (const auto& socket : sockets_) socket->Interrupt();
    }
    for (std::thread& thread : threads_) thread.join();
  }
  bool stopping() const { return stopping_; }

 private:
  void Accept() {
    while (!stopping_) {
      pollfd wait{fd_, POLLIN, 0};
      if (poll(&wait, 1, 50) <= 0) continue;
      const int client = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) continue;
      auto socket = std::make_shared<Socket>(client);
      const std::lock_guard lock(mutex_);
      sockets_.push_back(socket);
      threads_.emplace_back([this, socket] {
        serve_(socket);
        const std::lock_guard inner(mutex_);
        std::erase(sockets_, socket);
        socket->Close();
      });
    }
  }

  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    std::exit(kCannotRun);
  }
  close(fd);
  return ntohs(address.sin_port);
}

// ---- discovery: the agent on the proxy's machine, which pushes lists
// ------------------------------------------

struct Endpoint {
  std::string name;
  int port = 0;
  std::string status = "Ready";
  std::string zone = "a";
  int group = 1;
  double since_ms = 0;
  int version = 1;
};

class Discovery {
 public:
  Discovery() : server_([this](const auto& socket) { Serve(socket); }) {}
  ~Discovery() { Stop(); }

  int port() const { return server_.port(); }

  void Stop() {
    stopping_ = true;
    changed_.notify_all();
    server_.Stop();
  }

  void Set(Endpoint endpoint) {
    const std::lock_guard lock(mutex_);
    endpoint.version = ++version_;
    endpoints_[endpoint.name] = endpoint;
    changed_.notify_all();
  }
  void SetStatus(const std::string& name, const std::string& status) {
    const std::lock_guard lock(mutex_);
    Endpoint& endpoint = endpoints_.at(name);
    endpoint.status = status;
    endpoint.version = ++version_;
    Record::Get().Line("discovery: %s is %s (version %d)", name.c_str(), status.c_str(), version_);
    changed_.notify_all();
  }
  // Discovery is down: watches end, and the agent is silent until it returns.
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    ++outage_;
    Record::Get().Line("discovery: %s", down ? "down" : "up");
    changed_.notify_all();
  }

  std::string WholeList() {
    const std::lock_guard lock(mutex_);
    return ListSince(0);
  }

 private:
  // Requires the lock. Version 0: the whole list.
  std::string ListSince(int version) const {
    std::string entries;
    for (const auto& [name, endpoint] : endpoints_) {
      if (version == 0 ? endpoint.status == "Gone" : endpoint.version <= version) continue;
      char text[512];
      std::snprintf(text, sizeof text,
                    "%s{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"type\":\"type-a\","
                    "\"group\":%d,\"status\":\"%s\",\"weight\":1.0,\"since_ms\":%.0f}",
                    entries.empty() ? "" : ",", name.c_str(), endpoint.port, endpoint.zone.c_str(),
                    endpoint.group, endpoint.status.c_str(), endpoint.since_ms);
      entries += text;
    }
    return "{\"index\":" + std::to_string(version_) + ",\"snapshot\":" + (version == 0 ? "true" : "false") +
           ",\"endpoints\":[" + entries + "]}";
  }

  static std::string Chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }

  void Serve(const std::shared_ptr<Socket>& socket) {
    Message request;
    if (socket->ReadMessage(&request, 60000) != Read::kMessage) return;
    const std::string target = request.Target();
    const auto index = target.find("index=");
    int known = index == std::string::npos ? 0 : std::atoi(target.c_str() + index + 6);
    std::unique_lock lock(mutex_);
    const int outage = outage_;
    if (down_) {  // silent
      changed_.wait(lock, [&] { return stopping_ || outage_ != outage; });
      return;
    }
    Record::Get().Line("discovery: asked %s", target.c_str());
    if (target.find("stream=1") == std::string::npos) {
      const std::string list = ListSince(0);
      socket->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
      return;
    }
    socket->Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (known > version_) known = 0;
    bool first = true;
    while (!stopping_ && outage_ == outage) {
      if (first ? known != version_ : known < version_) {
        const std::string list = ListSince(known);
        known = version_;
        if (!socket->Write(Chunk(list + "\n"))) return;
      } else if (!first && !socket->Write(Chunk("\n"))) {
        return;
      }
      first = false;
      changed_.wait_for(lock, std::chrono::seconds(2),
                        [&] { return stopping_ || outage_ != outage || known < version_; });
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Endpoint> endpoints_;
  int version_ = 1;
  int outage_ = 0;
  bool down_ = false;
  std::atomic<bool> stopping_{false};
  Server server_;
};

// ---- the end of a run -----------------------------------------------------------------------------------

// The proxy that runs, for the handler below; -1: none.
inline std::atomic<pid_t> running_proxy{-1};

// Ends the proxy and this process at the time limit, or when this process is told to end.
inline void EndAtOnce(int) {
  if (const pid_t pid = running_proxy; pid > 0) kill(pid, SIGKILL);
  _exit(kCannotRun);
}

inline void LimitTime(unsigned seconds) {
  for (const int signal_number : {SIGALRM, SIGTERM, SIGINT, SIGHUP}) signal(signal_number, EndAtOnce);
  alarm(seconds);
}

// ---- the proxy ------------------------------------------------------------------------------------------

// One proxy, started by the `run` line of deploy/balancer.toml (environment RUN_LINE, set by run.sh).
class Proxy {
 public:
  Proxy(std::string folder, int discovery_port) : folder_(std::move(folder)), discovery_(discovery_port) {}
  ~Proxy() { Kill(SIGKILL); }

  int port() const { return port_; }

  void WriteConfig(const std::string& known, const std::string& settings, int memory_mb = 192,
                   int sockets = 1024) const {
    FILE* file = std::fopen(Path("config.json").c_str(), "w");
    std::fprintf(file,
                 "{\"name\":\"n1\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"127.0.0.1:%d\","
                 "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},"
                 "\"known\":%s,\"settings\":%s}\n",
                 port_, discovery_, memory_mb, sockets, known.c_str(), settings.c_str());
    std::fclose(file);
  }

  // Starts it and waits until GET /ready answers 200.
  bool Start() {
    const char* run = std::getenv("RUN_LINE");
    if (!run) return false;
    std::vector<std::string> variables;
    for (char** at = environ; *at; ++at) {
      if (std::strncmp(*at, "ROUTER_", 7) != 0 && std::strncmp(*at, "BADGERBRIDGE_", 13) != 0)
        variables.emplace_back(*at);
    }
    variables.push_back("ROUTER_NAME=n1");
    variables.push_back("ROUTER_LISTEN=127.0.0.1:" + std::to_string(port_));
    variables.push_back("ROUTER_DISCOVERY=127.0.0.1:" + std::to_string(discovery_));
    variables.push_back("ROUTER_CONFIG=" + Path("config.json"));
    std::vector<char*> environment;
    for (std::string& variable : variables) environment.push_back(variable.data());
    environment.push_back(nullptr);
    std::string shell = "/bin/sh";
    std::string flag = "-c";
    std::string line = run;
    char* arguments[] = {shell.data(), flag.data(), line.data(), nullptr};
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&files, 1, Path("proxy.log").c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    const int error = posix_spawn(&pid_, shell.c_str(), &files, nullptr, arguments, environment.data());
    posix_spawn_file_actions_destroy(&files);
    if (error != 0) return false;
    running_proxy = pid_;
    started_at_ = NowMs();
    Record::Get().Line("proxy: started, pid %d, port %d", pid_, port_);
    while (NowMs() - started_at_ < 30000) {
      if (const auto socket = Socket::Connect(port_)) {
        Message answer;
        socket->Write("GET /ready HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n");
        if (socket->ReadMessage(&answer, 1000) == Read::kMessage && answer.Status() == 200) {
          Record::Get().Line("proxy: ready after %.1f ms", NowMs() - started_at_);
          return true;
        }
      }
      SleepMs(10);
    }
    return false;
  }

  double started_at() const { return started_at_; }
  void Signal(int signal) const {
    Record::Get().Line("proxy: signal %d", signal);
    if (pid_ > 0) kill(pid_, signal);
  }
  // Whether the process still runs.
  bool Runs() {
    if (pid_ <= 0) return false;
    if (waitpid(pid_, &status_, WNOHANG) != pid_) return true;
    running_proxy = -1;
    pid_ = -1;
    return false;
  }
  int status() const { return status_; }
  void Kill(int signal) {
    if (pid_ <= 0) return;
    kill(pid_, signal);
    waitpid(pid_, &status_, 0);
    running_proxy = -1;
    Record::Get().Line("proxy: ended after signal %d", signal);
    pid_ = -1;
  }

 private:
  std::string Path(const std::string& name) const { return folder_ + "/" + name; }

  std::string folder_;
  int discovery_;
  int port_ = FreePort();
  pid_t pid_ = -1;
  int status_ = 0;
  double started_at_ = 0;
};

// The settings of a small deployment, after the site of the users' brief: one proxy, one zone, three classes.
inline std::string Settings() {
  return R"({"balancers":1,"me":0,"zone":0,"zones":["a"],"kinds":["type-a"],"tenants":[],"tiers":["converters"],)"
         R"("stage":0,"serviceType":"proxy","periodMs":5.0,"registryMode":"push","weightKind":"off",)"
         R"("worthBy":"request","overShareWorth":0.1,"classes":[)"
         R"({"name":"preview","effect":"read_like","group":"all","windowMs":5000.0,"goalTimeMs":500.0,)"
         R"("deadlineMs":2000.0,"lateWorth":0.25,"streaming":false,"worth":1.0},)"
         R"({"name":"convert","effect":"idempotency_key","group":"cell","windowMs":10000.0,"goalTimeMs":500.0,)"
         R"("deadlineMs":2000.0,"lateWorth":0.25,"streaming":false,"worth":3.0},)"
         R"({"name":"certify","effect":"non_idempotent","group":"all","windowMs":5000.0,"goalTimeMs":500.0,)"
         R"("deadlineMs":1000.0,"lateWorth":0.3,"streaming":false,"worth":5.0}],)"
         R"("clientHabits":{"marksRetry":true},"report":{"how":"off","fields":[]},)"
         R"("permissions":{"cancel":true,"connIdleMs":60000.0,"connectTimeoutMs":250.0,"maxAttempts":4,)"
         R"("maxOpen":20000,"maxRetryAfterMs":2000.0,"maxStreams":1,"parallelTries":false,"peers":false,)"
         R"("probes":false,"retryAfter":false},)"
         R"("rules":{"answerSlackMs":20.0,"coldFrom":0.16,"drainGraceMs":500.0,"fallMultiple":2.5,)"
         R"("mustAskInMs":10000.0,"overloadForMs":3000.0,"warmUpMs":24000.0}})";
}

// ---- clients --------------------------------------------------------------------------------------------

enum class Class { kPreview, kConvert, kCertify };

struct Request {
  std::string id;
  Class kind = Class::kPreview;
  double time_left_ms = 2000;
  std::string body;

  std::string Text() const {
    static const char* const names[] = {"preview", "convert", "certify"};
    const std::string name = names[static_cast<int>(kind)];
    std::string text = (kind == Class::kPreview ? "GET /" : "POST /") + name + "?obj=" + id +
                       " HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id +
                       "\r\nX-Service-Class: " + name +
                       "\r\nX-Time-Left-Ms: " + std::to_string(static_cast<long>(time_left_ms)) + "\r\n";
    if (kind == Class::kConvert) text += "Idempotency-Key: k" + id + "\r\n";
    if (kind != Class::kPreview) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
  }
};

struct Answer {
  Read end = Read::kClosed;
  int status = 0;  // 0: none
  std::string body;
  double sent_at = 0;
  double answered_at = 0;
};

// A client: one request at a time on a connection that it keeps.
class Client {
 public:
  explicit Client(int port) : port_(port) {}

  Answer Call(const Request& request, double wait_ms) {
    Answer answer;
    if (!socket_) socket_ = Socket::Connect(port_);
    if (!socket_) return answer;
    answer.sent_at = NowMs();
    Message message;
    if (socket_->Write(request.Text())) answer.end = socket_->ReadMessage(&message, wait_ms);
    answer.answered_at = NowMs();
    if (answer.end == Read::kMessage) {
      answer.status = message.Status();
      answer.body = message.body;
    }
    if (answer.end != Read::kMessage || strcasecmp(message.Header("Connection").c_str(), "close") == 0)
      socket_.reset();
    return answer;
  }
  bool has_connection() const { return socket_ != nullptr; }
  void Close() { socket_.reset(); }

 private:
  int port_;
  std::shared_ptr<Socket> socket_;
};

inline std::string OkAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// The main of every case: arguments are a temporary folder and the file for the record.
inline int Main(int count, char** arguments, int (*run)(const std::string& folder)) {
  if (count != 3) return kCannotRun;
  LimitTime(110);
  Record::Get().Open(arguments[2]);
  const int code = run(arguments[1]);
  Say("%s", code == kBroken ? "the rule was broken"
            : code == kHeld ? "the rule held"
                            : "the case couldn't run");
  return code;
}

}  // namespace review

#endif  // BADGERBRIDGE_REVIEW_KIT_H_
