// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-ctl: commands the instances of one or several agents.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "cli/commands.h"
#include "cli/relays.h"
#ifdef BADGERBRIDGE_HAS_ETCD
#include "cli/etcd_commands.h"
#include "cli/zones.h"
#endif
#include "agent/fleet_file.h"
#include "http_api/address.h"
#include "http_api/version.h"
#include "operator_config/operator_file.h"
#include "operator_config/table_reader.h"

namespace {

using namespace badgerbridge;
using std::chrono::milliseconds;

constexpr const char* kExits =
    "Exit codes: 0 all did it; 1 some did not; 2 usage; 3 conflict with another order; 4 not allowed; 5 an "
    "agent is "
    "out of reach. Where several hold, the highest.";

// A fleet file or an operator's file, by what stands in it.
int Check(const std::string& path) {
  operator_config::Problems problems;
  const auto text = operator_config::ReadFile(path, agent::kMaxFleetFileBytes);
  if (!text) problems.push_back(text.error());
  if (text) {
    const auto root = operator_config::ParseToml(*text, path);
    if (root && (root->contains("agent") || root->contains("instance"))) {
      root->at("agent").is_array_of_tables() ? void(cli::ParseContext(*text, path, problems))
                                             : void(agent::ParseFleetFile(*text, path, problems));
    } else {
      const auto file = operator_config::ParseOperatorFile(*text, path);
      std::cerr << operator_config::FormatProblems(file.warnings);
      problems = file.problems;
    }
  }
  std::cerr << operator_config::FormatProblems(problems);
  return problems.empty() ? cli::kAllDid : cli::kSomeDidNot;
}

struct Arguments {
  std::string context, socket, output = "table", timeout, file, order, shell;
  std::string deadline = "30s", force_after, every = "1s";
  std::string operators;  // the operator's file that says where etcd is
  std::vector<std::string> etcd, backends, relays;
  std::string address, zone, kind, ttl = "10s", drain_for = "2s";
  int group = 0;
  double weight = 1, since_ms = 0;
  std::string lasts;
  bool force = false;
  cli::Selection selection;
  cli::OrderOptions options;
  int lines = 50, count = 0;
};

void AddSelection(CLI::App* app, Arguments& a) {
  app->add_option("instances", a.selection.names, "instances, as NAME or AGENT/NAME");
  app->add_option("--label", a.selection.labels, "with this label, KEY=VALUE; several must all fit");
  app->add_option("--agent", a.selection.agents, "of this agent");
  app->add_option("--state", a.selection.states, "in this state");
  app->add_flag("--all", a.selection.all, "all there are");
}

void AddOrder(CLI::App* app, Arguments& a, bool ends_process) {
  app->add_option("--deadline", a.deadline, "how long each instance may take (30s)");
  if (ends_process)
    app->add_option("--force-after", a.force_after,
                    "kill an instance that has not ended after this long, and 3.7s after SIGTERM");
  app->add_flag("--supersede", a.options.supersede, "end the order that is in the way, and take over");
  app->add_option("--against", a.options.against, "the generation that this order was written against");
  app->add_flag("--dry-run", a.options.dry_run, "say what would be asked, and ask nothing");
  app->add_flag("--no-wait", a.options.no_wait, "do not wait for the end");
  app->add_option("--id", a.options.id, "the order's id, to repeat one");
  app->add_option("--as", a.options.as, "who you are, for the audit log");
}

std::optional<milliseconds> Parse(const std::string& text, const char* option) {
  const auto parsed = operator_config::ParseDuration(text);
  if (!parsed)
    std::cerr << "badgerbridge-ctl: " << option << " " << text
              << " is no duration; \"250ms\", \"10s\" or \"2m\" would be "
              << "right\n";
  return parsed;
}

#ifdef BADGERBRIDGE_HAS_ETCD
// What the commands that ask etcd itself have in common. False, and said, if it can't be used.
template <typename Command>
bool ReadCommon(const Arguments& a, Command* how) {
  how->json = a.output == "json";
  how->dry_run = a.options.dry_run;
  if (a.timeout.empty()) return true;
  const auto timeout = Parse(a.timeout, "--timeout");
  if (timeout) how->timeout = std::max(*timeout, milliseconds(1));
  return timeout.has_value();
}

// The operator's file, named by an option or the environment.
void FindOperators(Arguments& a) {
  const char* named = std::getenv("BADGERBRIDGE_OPERATOR");
  if (a.operators.empty() && named) a.operators = named;
}

// members drain, undrain and register.
int RunEtcd(const std::string& command, Arguments& a) {
  cli::EtcdCommand how;
  if (a.etcd.empty()) FindOperators(a);
  if (a.operators.empty() && a.etcd.empty()) {
    std::cerr << "badgerbridge-ctl: say where etcd is: --operator FILE, whose [etcd] table tells, or --etcd "
                 "ADDRESS\n";
    return cli::kUsage;
  }
  operator_config::Problems problems;
  if (!a.operators.empty()) {
    const auto file = operator_config::LoadOperatorFile(a.operators);
    problems.insert(problems.end(), file.problems.begin(), file.problems.end());
    if (problems.empty() && !file.etcd) problems.push_back({a.operators, 0, 0, "has no [etcd] table"});
    if (file.etcd) how.etcd = *file.etcd;
  }
  std::cerr << operator_config::FormatProblems(problems);
  if (!problems.empty()) return cli::kUsage;
  if (!a.etcd.empty()) how.etcd.endpoints = a.etcd;
  for (const std::string& endpoint : how.etcd.endpoints) {
    const auto parsed = http_api::ParseAddress(endpoint);
    if (parsed && parsed->port() != 0) continue;
    std::cerr << "badgerbridge-ctl: --etcd " << endpoint
              << " is no address and port; 127.0.0.1:2379 would be right\n";
    return cli::kUsage;
  }
  if (!ReadCommon(a, &how)) return cli::kUsage;
  if (command == "drain" || command == "undrain") {
    const auto state =
        command == "drain" ? membership::MemberState::kDraining : membership::MemberState::kReady;
    return cli::ChangeMembers(how, a.backends, state, std::cout, std::cerr);
  }
  const auto ttl = Parse(a.ttl, "--ttl"), drain_for = Parse(a.drain_for, "--drain-for");
  if (!ttl || !drain_for) return cli::kUsage;
  const auto address = http_api::ParseAddress(a.address);
  if (!address || address->port() == 0 || *ttl < milliseconds(1000)) {
    std::cerr << "badgerbridge-ctl: register takes --address ADDRESS:PORT and a --ttl of at least 1s\n";
    return cli::kUsage;
  }
  membership::RegistrationSettings settings;
  settings.member.name = a.backends.front();
  settings.member.address = a.address;
  settings.member.zone = a.zone;
  settings.member.kind = a.kind;
  settings.member.group = a.group;
  settings.member.weight = a.weight;
  settings.member.start_time_ms = a.since_ms;
  if (settings.member.start_time_ms == 0)
    settings.member.start_time_ms = static_cast<double>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
  settings.lease_ttl = std::chrono::duration_cast<std::chrono::seconds>(*ttl);
  settings.drain_time = *drain_for;
  return cli::RegisterMember(how, settings, std::cerr);
}
// zones and its commands; `command` is empty for the table.
int RunZones(const std::string& command, Arguments& a) {
  cli::ZonesCommand how;
  FindOperators(a);
  if (a.operators.empty()) {
    std::cerr
        << "badgerbridge-ctl: say where the [regions] table is: --operator FILE, or BADGERBRIDGE_OPERATOR\n";
    return cli::kUsage;
  }
  operator_config::Problems problems;
  const auto file = operator_config::LoadOperatorFile(a.operators);
  problems.insert(problems.end(), file.problems.begin(), file.problems.end());
  if (problems.empty() && !file.zone_failover)
    problems.push_back({a.operators, 0, 0, "has no [regions] table"});
  if (problems.empty() && !file.zone_failover->coordinated)
    problems.push_back(
        {a.operators, 0, 0, "has each proxy decide alone: there is nothing in common to show"});
  std::cerr << operator_config::FormatProblems(problems);
  if (!problems.empty()) return cli::kUsage;
  how.regions = *file.zone_failover;
  how.force = a.force;
  how.who = a.options.as.empty() ? "uid " + std::to_string(getuid()) : a.options.as;
  if (!ReadCommon(a, &how)) return cli::kUsage;
  if (command == "evacuate") {
    const auto lasts = Parse(a.lasts, "--for");
    if (!lasts) return cli::kUsage;
    if (*lasts < milliseconds(1000) || *lasts > milliseconds(7 * 24 * 3600 * 1000LL)) {
      std::cerr << "badgerbridge-ctl: --for " << a.lasts << " is not from 1s to 168h\n";
      return cli::kUsage;
    }
    return cli::Evacuate(how, a.zone, std::chrono::duration_cast<std::chrono::seconds>(*lasts), std::cout,
                         std::cerr);
  }
  if (command == "return") return cli::ReturnZone(how, a.zone, std::cout, std::cerr);
  if (command == "history") return cli::ZonesHistory(how, a.lines, std::cout, std::cerr);
  return cli::ShowZones(how, std::cout, std::cerr);
}
#else
int RunZones(const std::string&, Arguments&) {
  std::cerr << "badgerbridge-ctl: this build is without etcd; build with -DBADGERBRIDGE_ETCD=ON\n";
  return cli::kUsage;
}
int RunEtcd(const std::string&, Arguments&) {
  std::cerr << "badgerbridge-ctl: this build is without etcd; build with -DBADGERBRIDGE_ETCD=ON\n";
  return cli::kUsage;
}
#endif

int RunRelays(const Arguments& a) {
  cli::RelaysCommand how;
  how.sockets = a.relays;
  how.json = a.output == "json";
  const char* no_color = std::getenv("NO_COLOR");
  how.color = isatty(STDOUT_FILENO) && !(no_color && *no_color);
  if (!a.timeout.empty()) {
    const auto timeout = Parse(a.timeout, "--timeout");
    if (!timeout) return cli::kUsage;
    how.timeout = std::max(*timeout, milliseconds(1));
  }
  return cli::ShowRelays(how, std::cout, std::cerr);
}

int Run(const CLI::App& app, Arguments& a) {
  const CLI::App* chosen = app.get_subcommands().front();
  const std::string command = chosen->get_name();
  std::string members;  // of which command
  if (command == "members" && !chosen->get_subcommands().empty())
    members = chosen->get_subcommands().front()->get_name();
  if (!members.empty() && members != "release") return RunEtcd(members, a);
  if (command == "zones")
    return RunZones(chosen->get_subcommands().empty() ? "" : chosen->get_subcommands().front()->get_name(),
                    a);
  if (command == "relays") return RunRelays(a);
  if (command == "check") return Check(a.file);
  if (command == "completion") {
    std::cout << cli::kBashCompletion;
    return cli::kAllDid;
  }
  cli::Settings settings;
  if (!a.timeout.empty()) {
    const auto timeout = Parse(a.timeout, "--timeout");
    if (!timeout) return cli::kUsage;
    settings.timeout = std::max(*timeout, milliseconds(1));
  }
  const auto deadline = Parse(a.deadline, "--deadline"), every = Parse(a.every, "--every");
  if (!deadline || !every) return cli::kUsage;
  a.options.deadline = *deadline;
  if (!a.force_after.empty()) {
    a.options.force_after = Parse(a.force_after, "--force-after");
    if (!a.options.force_after) return cli::kUsage;
  }
  settings.json = a.output == "json";
  settings.names = a.output == "names";
  const char* no_color = std::getenv("NO_COLOR");
  settings.color = isatty(STDOUT_FILENO) && !(no_color && *no_color);
  settings.progress = isatty(command == "watch" ? STDOUT_FILENO : STDERR_FILENO) && !settings.json;
  if (!a.socket.empty()) {
    cli::AgentTarget agent;
    agent.target.unix_path = a.socket;
    settings.agents.push_back(std::move(agent));
  } else {
    std::string path = a.context;
    if (path.empty()) {
      const char* named = std::getenv("BADGERCTL_CONTEXT");
      const char* home = std::getenv("HOME");
      path = named && *named ? named : std::string(home ? home : "") + "/.config/badgerctl/context.toml";
    }
    operator_config::Problems problems;
    settings.agents = cli::LoadContext(path, problems);
    if (!problems.empty()) {
      std::cerr << operator_config::FormatProblems(problems);
      std::cerr << "badgerbridge-ctl: name the agents by --context FILE or BADGERCTL_CONTEXT, or one by "
                   "--socket PATH\n";
      return cli::kUsage;
    }
  }
  cli::Commands commands(settings, std::cout, std::cerr);
  if (command == "status") return commands.Status(a.selection);
  if (command == "get") return commands.Get(a.selection);
  if (command == "watch") return commands.Watch(a.selection, *every, a.count);
  if (command == "orders") return commands.Orders(a.order);
  if (members == "release") return commands.Release(a.selection);
  if (command == "members") return commands.Members(a.selection);
  if (command == "logs") return commands.Logs(a.selection, a.lines);
  if (command == "diff") return commands.Diff(a.file);
  if (command == "apply") return commands.Apply(a.file, a.options);
  return commands.Give(command, a.selection, a.options);
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Arguments a;
  CLI::App app("badgerbridge-ctl: commands the proxies that badgerbridge-agent keeps");
  app.footer(kExits);
#ifdef BADGERBRIDGE_HAS_ETCD
  app.set_version_flag("--version", http_api::VersionText("badgerbridge-ctl", {"TLS", "etcd"}));
#else
  app.set_version_flag("--version", http_api::VersionText("badgerbridge-ctl", {"TLS"}));
#endif
  app.set_help_all_flag("--help-all", "the same with each command's own options");
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--context", a.context, "the file that names the agents (BADGERCTL_CONTEXT)");
  app.add_option("--socket", a.socket, "one agent, by the path of its socket, instead of a context");
  app.add_option("-o,--output", a.output, "table, json or names")
      ->check(CLI::IsMember({"table", "json", "names"}));
  app.add_option("--timeout", a.timeout, "how long the whole command may take");

  AddSelection(app.add_subcommand("status", "what every instance does"), a);
  AddSelection(app.add_subcommand("get", "all that is known of an instance, with its converters"), a);
  auto* watch = app.add_subcommand("watch", "the status, again and again");
  AddSelection(watch, a);
  watch->add_option("--every", a.every, "time between two looks (1s)");
  watch->add_option("--count", a.count, "how often; 0: until it is ended");
  const auto order = [&](const char* name, const char* what, bool ends_process) {
    auto* sub = app.add_subcommand(name, what);
    AddSelection(sub, a);
    AddOrder(sub, a, ends_process);
    return sub;
  };
  order("start", "start instances, and wait until they are ready", false);
  order("stop", "end instances; what they have taken is answered first", true);
  order("drain", "have instances take no more, and wait until they are quiet", false);
  order("undrain", "have drained instances take work again", false);
  order("reload", "have instances read their configuration again", false);
  order("roll", "drain, stop and start instances one after another", true)
      ->add_option("--at-most", a.options.at_most, "this many at once (1)");
  auto* apply = app.add_subcommand("apply", "make an agent's instances those of a fleet file");
  apply->add_option("file", a.file, "the fleet file")->required();
  AddOrder(apply, a, true);
  apply->add_option("--at-most", a.options.at_most, "this many at once, halting at the first that fails");
  app.add_subcommand("diff", "what apply would change")
      ->add_option("file", a.file, "the fleet file")
      ->required();
  app.add_subcommand("orders", "the orders, or one of them")->add_option("id", a.order, "an order's id");
  auto* logs = app.add_subcommand("logs", "the last lines of instances' logs");
  AddSelection(logs, a);
  logs->add_option("--lines", a.lines, "how many (50)")->check(CLI::Range(1, 10000));
  auto* members =
      app.add_subcommand("members", "who the converters are, as proxies believe; what etcd says of them");
  AddSelection(members, a);
  const auto etcd_member = [&](const char* name, const char* what) {
    auto* sub = members->add_subcommand(name, what);
    sub->add_option("--operator", a.operators,
                    "the operator's file whose [etcd] table says where etcd is "
                    "(BADGERBRIDGE_OPERATOR)");
    sub->add_option("--etcd", a.etcd,
                    "a member's ADDRESS:PORT, instead of those in the file; may stand again");
    return sub;
  };
  for (const char* name : {"drain", "undrain"}) {
    auto* sub = etcd_member(
        name, name == std::string("drain") ? "write that converters drain" : "and that they don't");
    sub->add_option("converters", a.backends, "their names")->required();
    sub->add_flag("--dry-run", a.options.dry_run, "say what would be written, and write nothing");
  }
  auto* member = etcd_member("register", "keep a converter's key and its lease until this is ended");
  member->add_option("converter", a.backends, "its name")->required()->expected(1);
  member->add_option("--address", a.address, "where it takes requests, ADDRESS:PORT")->required();
  member->add_option("--zone", a.zone, "its zone");
  member->add_option("--kind", a.kind, "its kind");
  member->add_option("--group", a.group, "its group")->check(CLI::NonNegativeNumber);
  member->add_option("--weight", a.weight, "its weight (1)")->check(CLI::NonNegativeNumber);
  member->add_option("--since", a.since_ms, "when it started, Unix time in ms (now)")
      ->check(CLI::NonNegativeNumber);
  member->add_option("--ttl", a.ttl, "of the lease (10s)");
  member->add_option("--drain-for", a.drain_for, "at the end: how long it says that it drains (2s)");
  AddSelection(members->add_subcommand("release", "departures that proxies hold back have really happened"),
               a);
  app.add_subcommand("relays", "what relays hold, and how far behind each is")
      ->add_option("sockets", a.relays, "their status sockets (badgerbridge-relay --status-socket)")
      ->required();
  auto* zones = app.add_subcommand("zones", "how much goes to each zone, as all proxies have decided");
  const auto with_file = [&](CLI::App* sub) {
    sub->add_option("--operator", a.operators,
                    "the operator's file with the [regions] table (BADGERBRIDGE_OPERATOR)");
    return sub;
  };
  with_file(zones);
  auto* evacuate = with_file(zones->add_subcommand("evacuate", "have all proxies leave a zone, for a while"));
  evacuate->add_option("zone", a.zone, "its name")->required();
  evacuate->add_option("--for", a.lasts, "how long the order lasts, such as 30m or 2h")->required();
  evacuate->add_flag("--dry-run", a.options.dry_run, "say what each receiver would carry, and order nothing");
  evacuate->add_flag("--force", a.force, "also where the others have no room for all of it");
  evacuate->add_option("--as", a.options.as, "who you are, for the others");
  with_file(zones->add_subcommand("return", "end the order for a zone"))
      ->add_option("zone", a.zone, "its name")
      ->required();
  with_file(zones->add_subcommand("history", "the last decisions"))
      ->add_option("--lines", a.lines, "how many (50)")
      ->check(CLI::Range(1, 1000));
  app.add_subcommand("check", "check an operator's, fleet or context file, and start nothing")
      ->add_option("file", a.file, "the file")
      ->required();
  app.add_subcommand("completion", "a completion script")
      ->add_option("shell", a.shell, "bash")
      ->required()
      ->check(CLI::IsMember({"bash"}));
  try {
    app.parse(count, arguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? cli::kAllDid : cli::kUsage;
  }
  return Run(app, a);
}
