// SPDX-License-Identifier: Apache-2.0
//
// bench/etcd: a proxy that follows a stand-in etcd (three members, in a process of its own). Drains under
// load with faults from fixed seeds; how long a write takes to be applied; a burst of a thousand changes; ten
// thousand backends. About two minutes; ends with one line of figures, exit 1 if an invariant broke or a
// figure was missed.
#include "standins/etcd.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "measure.h"
#include "membership/member_codec.h"
#include "standins/site.h"

namespace {

using namespace badgerbridge;
using namespace badgerbridge::bench;
using namespace badgerbridge::standins;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

const std::string kPrefix = "/badgerbridge/converters/", kBig = "/big/";
constexpr int kBackends = 12, kAtOnce = 3, kRounds = 70;

// The stand-in in a process of its own, so that what it does costs neither clients nor backends a turn.
// Commands are lines; each is answered by one.
class EtcdProcess {
 public:
  EtcdProcess() {
    int ends[2];
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
      throw std::runtime_error("no socket pair");
    child_ = fork();
    if (child_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      close(ends[0]);
      Serve(ends[1]);
      _exit(0);
    }
    close(ends[1]);
    line_ = ends[0];
    std::istringstream in(Say("addresses"));
    for (std::string one; in >> one;) addresses.push_back(one);
  }
  ~EtcdProcess() {
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
    close(line_);
  }
  std::string Say(const std::string& command) {
    const std::string text = command + "\n";
    if (write(line_, text.data(), text.size()) != static_cast<ssize_t>(text.size())) return "";
    std::string answer;
    for (char c = 0; read(line_, &c, 1) == 1 && c != '\n';) answer += c;
    return answer;
  }
  std::vector<std::string> addresses;

 private:
  static void Serve(int line) {
    boost::asio::io_context io(1);
    EtcdSettings settings;
    settings.members = 3;
    settings.fragment_bytes = 64 << 10;
    Etcd etcd(io, settings);
    boost::asio::local::stream_protocol::socket socket(io, boost::asio::local::stream_protocol(), line);
    boost::asio::streambuf buffer;
    std::function<void()> next = [&] {
      boost::asio::async_read_until(socket, buffer, '\n',
                                    [&](const boost::system::error_code& error, std::size_t) {
                                      if (error) return io.stop();
                                      std::istream in(&buffer);
                                      std::string command;
                                      std::getline(in, command);
                                      const std::string answer = Carry(etcd, command) + "\n";
                                      boost::asio::write(socket, boost::asio::buffer(answer));
                                      next();
                                    });
    };
    next();
    io.run();
  }
  static std::string Carry(Etcd& etcd, const std::string& line) {
    static std::vector<std::string> where;
    std::istringstream in(line);
    std::string what, key, value;
    std::size_t member = 0, n = 0;
    in >> what;
    if (what == "addresses") {
      std::string all;
      for (std::size_t i = 0; i < 3; ++i) all += "127.0.0.1:" + std::to_string(etcd.address(i).port()) + " ";
      return all;
    }
    if (what == "where") {
      for (std::string one; in >> one;) where.push_back(one);
    } else if (what == "put") {
      in >> key;
      std::getline(in >> std::ws, value);
      etcd.Put(key, value);
    } else if (what == "burst" || what == "singly") {  // prefix, how many, from which number, weight
      std::size_t from = 0, weight = 1;
      in >> key >> n >> from >> weight;
      std::vector<std::pair<std::string, std::string>> pairs;
      for (std::size_t i = from; i < from + n; ++i) {
        membership::Member one;
        // Many names of few backends: each takes its share of the load. In the long list nobody is asked,
        // and names and addresses are as long as an installation's.
        one.name = (key == kBig ? "converter-bay-03-" : "far-") + std::to_string(10000 + i);
        one.address =
            key == kBig ? "10.123.145." + std::to_string(i % 250) + ":18080" : where[i % where.size()];
        one.zone = "b";
        one.kind = "standard";
        one.group = 1;
        one.weight = static_cast<double>(weight);
        pairs.emplace_back(key + one.name, SerializeMember(one));
      }
      if (what == "burst") {
        etcd.store().PutAll(pairs);
        etcd.Publish();
      } else {
        for (const auto& [name, text] : pairs) etcd.Put(name, text);
      }
    } else if (what == "in_use") {
      // By the proxy under load, which watches kPrefix; the other proxy may be at another member.
      for (std::size_t i = 0; i < 3; ++i) {
        if (etcd.Watches(i, kPrefix)) return std::to_string(i);
      }
      return "none";
    } else if (what == "silence" || what == "speak") {
      in >> member;
      etcd.Silence(member, what == "silence");
    } else if (what == "down") {
      in >> member;
      etcd.Down(member);
    } else if (what == "up") {
      in >> member;
      etcd.Up(member);
    } else if (what == "cut") {
      in >> member >> n;
      etcd.CutAfter(member, n);
    } else if (what == "lag" || what == "catch_up") {
      in >> member;
      etcd.Lag(member, what == "lag");
    } else if (what == "compact") {
      if (etcd.store().revision() > etcd.store().compacted()) etcd.Compact(etcd.store().revision());
    } else if (what == "errors") {
      return std::to_string(etcd.protocol_errors());
    }
    return std::to_string(etcd.store().revision());
  }

  pid_t child_ = -1;
  int line_ = -1;
};

}  // namespace

// With a number: so many rounds of drains, for trying things out.
int main(int count, char** arguments) {
  const int rounds = count > 1 ? std::atoi(arguments[1]) : kRounds;
  signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  EtcdProcess etcd;
  boost::asio::io_context io(1);
  SiteSettings settings;
  settings.proxies = 2;  // n1 serves; n2 only holds a long list
  settings.backends = kBackends;
  settings.service = milliseconds(10);
  Site site(io, settings);
  Checks checks;
  std::string endpoints;
  for (const std::string& one : etcd.addresses) endpoints += (endpoints.empty() ? "\"" : ", \"") + one + "\"";
  for (const auto& [name, prefix] : {std::pair("n1", kPrefix), std::pair("n2", kBig)})
    site.Write(std::string(name) + ".toml", "[control]\nsocket = \"" + site.folder() + "/" + name +
                                                ".sock\"\n[etcd]\nendpoints = [" + endpoints +
                                                "]\nprefix = \"" + prefix + "\"\n");
  const auto put = [&](int i, membership::MemberState state, double weight = 1) -> std::uint64_t {
    membership::Member one;
    const Backend& backend = *site.backends()[static_cast<std::size_t>(i)];
    one.name = backend.settings().name;
    one.address = backend.address();
    one.zone = backend.settings().zone;
    one.kind = "standard";
    one.group = 1;
    one.state = state;
    one.weight = weight;
    return std::stoull(etcd.Say("put " + kPrefix + one.name + " " + SerializeMember(one)));
  };
  for (int i = 0; i < kBackends; ++i) put(i, membership::MemberState::kReady);
  std::string where = "where";
  for (const auto& backend : site.backends()) where += " " + backend->address();
  etcd.Say(where);
  etcd.Say("put " + kBig + "one {}");  // so that there is something to list, which can't be read

  site.StartAgent();
  checks.Expect(site.Until([&] { return site.StateOf("n1") == "ready" && site.PidOf("n2") > 0; }),
                "the proxies do not get ready");
  const auto list = [&](const std::string& name) {
    auto reply = std::make_shared<std::optional<http_api::Reply>>();
    boost::asio::co_spawn(
        io,
        http_api::CallUnix(site.folder() + "/" + name + ".sock", "GET", "/v1/status", "", milliseconds(3000)),
        [reply](std::exception_ptr, http_api::Reply answer) { *reply = std::move(answer); });
    while (!*reply) {
      io.restart();
      io.run_one_for(milliseconds(50));
    }
    return (*reply)->ok() ? (*reply)->body.at("list").as_object() : boost::json::object{};
  };
  const auto applied = [&](const std::string& name, std::uint64_t revision) {
    return site.Until([&] {
      const auto about = list(name);
      return !about.empty() && about.at("revision").to_number<std::uint64_t>() >= revision;
    });
  };
  // 1. A quiet link: from before the write to the proxy's own word, by its control socket, that its list has
  // it.
  std::vector<double> quiet;
  for (int i = 0; i < 300; ++i) {
    const auto at = Clock::now();
    const std::uint64_t written = put(0, membership::MemberState::kReady, 1 + i);
    while (Since(at) < 1000) {
      const auto about = list("n1");
      if (!about.empty() && about.at("revision").to_number<std::uint64_t>() >= written) break;
    }
    quiet.push_back(Since(at));
  }
  const double quiet_p99 = Quantile(quiet, 0.99);
  std::printf("quiet link, %zu writes until the proxy has them: p50 %.2f ms, p99 %.2f ms, worst %.2f ms\n",
              quiet.size(), Quantile(quiet, 0.5), quiet_p99, Quantile(quiet, 1));
  checks.Expect(quiet_p99 < 20, "p99 from write to applied is 20 ms or more");

  // 2. Drains under load, with faults at the moment of the write.
  Load load;
  load.per_second = 400;
  load.seed = 7;
  Clients clients(io, {site.addresses()[0]}, load);
  std::vector<double> took;
  clients.OnAnswer([&](double ms) { took.push_back(ms); });
  checks.Expect(site.Until([&] { return clients.ready() == 1; }), "the front does not take the proxy in");
  clients.Start();
  checks.Expect(site.Until([&] {
    return std::all_of(site.backends().begin(), site.backends().end(),
                       [](const auto& c) { return c->taken() > 3; });
  }),
                "not every converter gets work");
  std::mt19937 random(11);
  std::vector<double> effect;
  int drains = 0, late = 0;
  constexpr const char* kFaults[] = {"none", "silent", "down, compacted", "cut", "silent, others lag",
                                     "down"};
  for (int round = 0; round < rounds; ++round) {
    const int fault = round % 6;
    std::string in_use;
    checks.Expect(site.Until([&] { return (in_use = etcd.Say("in_use")) != "none"; }),
                  "the proxy follows no member");
    const std::string other = std::to_string((std::stoi(in_use) + 1) % 3);
    if (fault == 1 || fault == 4) etcd.Say("silence " + in_use);
    if (fault == 2 || fault == 5) etcd.Say("down " + in_use);
    if (fault == 3) etcd.Say("cut " + in_use + " " + std::to_string(random() % 400));
    if (fault == 4) etcd.Say("lag " + other);
    struct One {
      int which;
      Clock::time_point written;
    };
    std::vector<One> ones;
    const int first = static_cast<int>(random() % kBackends);
    for (int i = 0; i < kAtOnce; ++i) {
      const int which = (first + i * 4) % kBackends;
      ones.push_back({which, Clock::now()});
      put(which, membership::MemberState::kDraining);
    }
    if (fault == 2) etcd.Say("compact");
    const auto until = Clock::now() + milliseconds(750);
    site.Until([&] { return Clock::now() > until; });
    for (const One& one : ones) {
      const Backend& backend = *site.backends()[static_cast<std::size_t>(one.which)];
      const double ms = std::chrono::duration<double, std::milli>(backend.last_taken() - one.written).count();
      ++drains;
      effect.push_back(std::max(0.0, ms));
      if (ms <= 500) continue;
      ++late;
      std::printf("LATE: round %d (%s): %s got work %.0f ms after its drain was written\n", round,
                  kFaults[fault], backend.settings().name.c_str(), ms);
    }
    if (fault == 1 || fault == 4) etcd.Say("speak " + in_use);
    if (fault == 2 || fault == 5) etcd.Say("up " + in_use);
    if (fault == 3) etcd.Say("cut " + in_use + " 1000000000");
    if (fault == 4) etcd.Say("catch_up " + other);
    std::vector<std::size_t> before;
    for (const One& one : ones) {
      put(one.which, membership::MemberState::kReady);
      before.push_back(site.backends()[static_cast<std::size_t>(one.which)]->taken());
    }
    checks.Expect(site.Until([&] {
      for (std::size_t i = 0; i < ones.size(); ++i) {
        if (site.backends()[static_cast<std::size_t>(ones[i].which)]->taken() == before[i]) return false;
      }
      return true;
    }),
                  "a converter that is ready again gets no work");
  }
  std::printf(
      "%d drains in %d rounds: last new work p50 %.0f ms, p99 %.0f ms, worst %.0f ms after the write\n",
      drains, rounds, Quantile(effect, 0.5), Quantile(effect, 0.99), Quantile(effect, 1));
  checks.Expect(late == 0, "new work later than 500 ms after a drain was written");
  checks.Expect(drains >= 200, "fewer than 200 drains");

  // 3. A thousand changes at once, as one revision in fragments and as a thousand revisions, in turn.
  std::vector<double> ratios, burst_ms;
  for (int i = 0; i < 6; ++i) {
    site.For(milliseconds(500));
    took.clear();
    site.For(milliseconds(1000));
    const double before = Quantile(took, 0.99);
    took.clear();
    const auto at = Clock::now();
    const auto end = at + milliseconds(1000);
    const std::uint64_t revision = std::stoull(
        etcd.Say(std::string(i % 2 ? "singly " : "burst ") + kPrefix + " 1000 0 " + std::to_string(i + 2)));
    checks.Expect(applied("n1", revision), "a burst is never applied");
    burst_ms.push_back(Since(at));
    site.Until([&] { return Clock::now() > end; });
    ratios.push_back(Quantile(took, 0.99) / before);
    std::printf(
        "burst of 1,000 (%s): applied after %.0f ms; p99 of requests %.1f ms, %.2f of the second before\n",
        i % 2 ? "singly" : "one revision", burst_ms.back(), Quantile(took, 0.99), ratios.back());
  }
  const double burst = Quantile(burst_ms, 1), ratio = Quantile(ratios, 0.5);
  checks.Expect(burst < 250, "a burst takes 250 ms or more");
  checks.Expect(ratio <= 1.25, "requests notice a burst: p99 over 1.25 of before (median of six)");

  clients.Stop();
  checks.Expect(site.Until([&] { return clients.Done(); }), "requests are out for ever");
  checks.Expect(clients.account().lost + clients.account().doubled + site.ledger().doubled() == 0,
                "requests were lost or doubled");

  // 4. A long list, at the proxy that serves nobody.
  const pid_t holder = site.PidOf("n2");
  site.For(milliseconds(300));
  const double empty_mb = ResidentMb(holder);
  std::uint64_t revision = 0;
  int weight = 1;
  const auto change = [&] {  // CPU of a change of one backend, told by itself
    const double idle_before = CpuMs(holder);
    site.For(milliseconds(3000));
    const double idle = CpuMs(holder) - idle_before;
    const double cpu = CpuMs(holder);
    const auto began = Clock::now();
    for (int i = 0; i < 1000; ++i) {
      revision = std::stoull(
          etcd.Say("singly " + kBig + " 1 " + std::to_string(i) + " " + std::to_string(++weight)));
      site.For(milliseconds(3));
    }
    const double spent = CpuMs(holder) - cpu - idle * Since(began) / 3000;
    checks.Expect(applied("n2", revision), "changes are never applied");
    return spent / 1000;
  };
  revision = std::stoull(etcd.Say("burst " + kBig + " 1000 0 1"));
  checks.Expect(applied("n2", revision), "1,000 converters are never known");
  const double small = change();
  for (int i = 1; i < 10; ++i)
    revision = std::stoull(etcd.Say("burst " + kBig + " 1000 " + std::to_string(i * 1000) + " 1"));
  checks.Expect(applied("n2", revision), "10,000 converters are never known");
  const double list_mb = ResidentMb(holder) - empty_mb;
  const double large = change();
  std::printf(
      "10,000 converters: %.1f MB above the empty list (%.1f MB); a change costs %.3f ms of CPU in a list of "
      "1,000,"
      " %.3f in one of 10,000\n",
      list_mb, empty_mb, small, large);
  checks.Expect(list("n2").at("converters").to_number<int>() >= 10000, "the list is not whole");
  checks.Expect(list_mb < 12, "10,000 converters take 12 MB or more");
  checks.Expect(large < 1.5 * small, "the cost of a change grows with the list");
  checks.Expect(etcd.Say("errors") == "0", "the stand-in saw breaches of the protocol");

  const auto& account = clients.account();
  std::printf(
      "etcd: drains=%d late=%d p50_ms=%.0f p99_ms=%.0f worst_ms=%.0f taken=%llu lost=%llu doubled=%llu "
      "quiet_p99_ms=%.2f "
      "burst_ms=%.0f burst_p99_ratio=%.2f list_mb=%.1f change_ratio=%.2f broken=%d\n",
      drains, late, Quantile(effect, 0.5), Quantile(effect, 0.99), Quantile(effect, 1),
      static_cast<unsigned long long>(account.sent), static_cast<unsigned long long>(account.lost),
      static_cast<unsigned long long>(account.doubled + site.ledger().doubled()), quiet_p99, burst, ratio,
      list_mb, small > 0 ? large / small : 0, checks.broken);
  return checks.broken == 0 ? 0 : 1;
}
