// SPDX-License-Identifier: Apache-2.0
#include "standins/site.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "agent/process.h"

extern char** environ;

namespace badgerbridge::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Ports that were free a moment ago, on an address that hardly any other process uses.
std::vector<tcp::endpoint> FreeAddresses(asio::io_context& io, int count) {
  const int pid = getpid();
  const asio::ip::address_v4 host(
      {127, 78, static_cast<unsigned char>(pid >> 8 & 127), static_cast<unsigned char>(pid % 250 + 1)});
  std::vector<tcp::endpoint> addresses;
  std::vector<tcp::acceptor> held;
  for (int i = 0; i < count; ++i) {
    held.emplace_back(io, tcp::endpoint(host, 0));
    addresses.push_back(held.back().local_endpoint());
  }
  return addresses;
}

std::string ToString(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

pid_t Run(const std::vector<std::string>& words, const std::vector<std::string>& more_environment,
          const std::string& out, const std::string& err) {
  std::vector<std::string> held = words, variables = more_environment;
  std::vector<char*> arguments, environment;
  for (std::string& word : held) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  for (char** at = environ; *at; ++at) environment.push_back(*at);
  for (std::string& variable : variables) environment.push_back(variable.data());
  environment.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("cannot fork");
  if (pid == 0) {
    const int to = open(out.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    const int errors = open(err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (to < 0 || errors < 0 || dup2(to, 1) < 0 || dup2(errors, 2) < 0) _exit(126);
    for (int number = 3; number < 1024; ++number) close(number);  // the stand-ins' sockets are not its own
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  return pid;
}

std::string Slurp(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

std::string Binary(const std::string& name) {
  const char* folder = std::getenv("BADGERBRIDGE_BIN");
  if (folder) return std::string(folder) + "/" + name;
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/" + name;
}

Site::Site(asio::io_context& io, SiteSettings settings)
    : io_(io), settings_(settings), discovery_(io), addresses_(FreeAddresses(io, settings.proxies)) {
  std::string folder = (std::filesystem::temp_directory_path() / "badgersite_XXXXXX").string();
  if (!mkdtemp(folder.data())) throw std::runtime_error("cannot make " + folder);
  folder_ = folder;
  for (int i = 0; i < settings.backends; ++i) {
    BackendSettings one;
    one.name = "c-" + std::to_string(i + 1);
    one.zone = i % 2 ? "b" : "a";
    one.group = "1";
    one.service = settings.service;
    one.seed = static_cast<std::uint64_t>(i + 1);
    backends_.push_back(std::make_unique<Backend>(io, one, ledger_));
    Entry entry;
    entry.name = one.name;
    entry.address = backends_.back()->address();
    entry.zone = one.zone;
    discovery_.Set(entry);
  }
  for (int i = 0; i < settings.proxies; ++i) {
    Write(Name(i) + ".json", ConfigText(Name(i)));
    Write(Name(i) + ".toml", "[control]\nsocket = \"" + folder_ + "/" + Name(i) + ".sock\"\n");
  }
  Write("fleet.toml", FleetText(settings.proxies));
  Write("context.toml", "[[agent]]\nname = \"bay-1\"\nsocket = \"" + folder_ + "/agent.sock\"\n");
}

Site::~Site() {
  if (AgentRuns()) KillAgent(SIGKILL);
  // What the agent started holds locks in its state; only that is ended.
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder_ + "/state/instances", error)) {
    const auto process = agent::FindProcess({entry.path().string(), ""});
    if (!process) continue;
    agent::SendSignal(*process, SIGCONT);
    agent::SendSignal(*process, SIGKILL);
  }
  std::filesystem::remove_all(folder_, error);
}

void Site::Write(const std::string& file, const std::string& text) const {
  std::ofstream(folder_ + "/" + file, std::ios::binary | std::ios::trunc) << text;
}

std::string Site::Read(const std::string& file) const { return Slurp(folder_ + "/" + file); }

std::string Site::ConfigText(const std::string& name) const {
  const auto cls = [](const char* title, const char* effect) {
    return std::string("{\"name\":\"") + title + "\",\"effect\":\"" + effect +
           "\",\"group\":\"cell\",\"windowMs\":10000.0,\"goalTimeMs\":500.0,\"deadlineMs\":1500.0,\"worth\":"
           "1.0}";
  };
  return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery_.address() +
         "\",\"seed\":\"a5\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" +
         discovery_.List() + ",\"settings\":{\"balancers\":" + std::to_string(settings_.proxies) +
         ",\"me\":0,\"zone\":0,\"zones\":[\"a\",\"b\"],\"kinds\":[\"standard\"],\"tenants\":[],\"periodMs\":"
         "5.0,"
         "\"registryMode\":\"push\",\"classes\":[" +
         cls("preview", "read_like") + "," + cls("convert", "idempotency_key") + "," +
         cls("certify", "non_idempotent") +
         "],\"permissions\":{\"maxAttempts\":4,\"connectTimeoutMs\":250.0,\"connIdleMs\":60000.0,"
         "\"retryAfter\":true,"
         "\"maxRetryAfterMs\":600.0},\"rules\":{\"coldFrom\":0.2,\"warmUpMs\":24000.0,\"fallMultiple\":2.5,"
         "\"overloadForMs\":3000.0,\"drainGraceMs\":500.0}}}";
}

std::string Site::FleetText(int proxies, const std::string& instance_extra) const {
  std::string text = "[agent]\nname = \"bay-1\"\nstate_dir = \"" + folder_ + "/state\"\nsocket = \"" +
                     folder_ + "/agent.sock\"\n" + settings_.agent_extra;
  for (int i = 0; i < proxies; ++i) {
    text += "\n[[instance]]\nname = \"" + Name(i) + "\"\ncommand = [\"" + Binary("badgerbridge") +
            "\"]\nlisten = \"" + ToString(addresses_[static_cast<std::size_t>(i)]) +
            "\"\noperator_file = \"" + folder_ + "/" + Name(i) + ".toml\"\nlabels = { zone = \"" +
            (i % 2 ? "b" : "a") + "\" }\nenvironment = { ROUTER_CONFIG = \"" + folder_ + "/" + Name(i) +
            ".json\" }\n" + instance_extra;
  }
  return text;
}

void Site::StartAgent() {
  agent_ = Run({Binary("badgerbridge-agent"), "--fleet", folder_ + "/fleet.toml"},
               settings_.agent_environment, folder_ + "/agent.out", folder_ + "/agent.err");
  if (!Until([&] { return !AgentRuns() || Call("GET", "/v1/orders").ok(); }) || !AgentRuns())
    throw std::runtime_error("the agent does not answer: " + Read("agent.err"));
}

std::string Site::Name(int proxy) const { return "n" + std::to_string(proxy + 1); }

bool Site::AgentRuns() const { return agent_ > 0 && waitpid(agent_, nullptr, WNOHANG) == 0; }

void Site::KillAgent(int signal) {
  if (agent_ <= 0) return;
  kill(agent_, signal);
  if (signal != SIGKILL) Until([&] { return !AgentRuns(); });
  waitpid(agent_, nullptr, 0);
  agent_ = -1;
}

bool Site::Until(const std::function<bool()>& holds, milliseconds most) {
  const auto due = Clock::now() + most;
  while (!holds()) {
    if (Clock::now() > due) return false;
    For(milliseconds(10));
  }
  return true;
}

void Site::For(milliseconds time) {
  io_.restart();
  io_.run_for(time);
}

http_api::Reply Site::Call(const std::string& method, const std::string& target, const std::string& body) {
  auto reply = std::make_shared<std::optional<http_api::Reply>>();
  asio::co_spawn(io_, http_api::CallUnix(folder_ + "/agent.sock", method, target, body, milliseconds(10000)),
                 [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
  while (!*reply) {
    io_.restart();
    io_.run_one_for(milliseconds(50));
  }
  return **reply;
}

struct Site::Background {
  pid_t pid = -1;
  std::string out, err;
  Clock::time_point began = Clock::now();
};

std::shared_ptr<Site::Background> Site::BeginCtl(std::vector<std::string> arguments) {
  static int number = 0;
  auto command = std::make_shared<Background>();
  command->out = folder_ + "/ctl" + std::to_string(++number) + ".out";
  command->err = folder_ + "/ctl" + std::to_string(number) + ".err";
  arguments.insert(arguments.begin(), {Binary("badgerbridge-ctl"), "--context", folder_ + "/context.toml"});
  command->pid = Run(arguments, {}, command->out, command->err);
  return command;
}

void Site::Signal(const std::shared_ptr<Background>& command, int number) { kill(command->pid, number); }

CommandResult Site::Finish(const std::shared_ptr<Background>& command, milliseconds most) {
  CommandResult result;
  int status = 0;
  const auto due = Clock::now() + most;
  while (waitpid(command->pid, &status, WNOHANG) == 0) {
    if (Clock::now() > due) {
      kill(command->pid, SIGKILL);
      waitpid(command->pid, &status, 0);
      break;
    }
    For(milliseconds(2));
  }
  result.took = std::chrono::duration_cast<milliseconds>(Clock::now() - command->began);
  result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  result.out = Slurp(command->out);
  result.err = Slurp(command->err);
  return result;
}

CommandResult Site::Ctl(std::vector<std::string> arguments, milliseconds most) {
  return Finish(BeginCtl(std::move(arguments)), most);
}

json::object Site::Instance(const std::string& name) {
  const http_api::Reply reply = Call("GET", "/v1/status");
  if (reply.ok()) {
    for (const json::value& one : reply.body.at("instances").as_array()) {
      if (one.at("name").as_string() == name) return one.as_object();
    }
  }
  return {};
}

std::string Site::StateOf(const std::string& name) {
  const json::object one = Instance(name);
  return one.empty() ? "" : std::string(one.at("state").as_string());
}

pid_t Site::PidOf(const std::string& name) {
  const json::object one = Instance(name);
  return one.empty() ? 0 : one.at("pid").to_number<pid_t>();
}

bool Site::All(const std::string& state) {
  const http_api::Reply reply = Call("GET", "/v1/status");
  if (!reply.ok()) return false;
  for (const json::value& one : reply.body.at("instances").as_array()) {
    if (one.at("state").as_string() != state) return false;
  }
  return true;
}

}  // namespace badgerbridge::standins
