// SPDX-License-Identifier: Apache-2.0
//
// What badgerbridge-ctl does once its arguments are read.
#ifndef BADGERBRIDGE_CLI_COMMANDS_H_
#define BADGERBRIDGE_CLI_COMMANDS_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "cli/context.h"

namespace badgerbridge::cli {

// Exit codes; where several hold, the one that stands last here.
enum Exit { kAllDid = 0, kSomeDidNot = 1, kUsage = 2, kConflict = 3, kNotAllowed = 4, kOutOfReach = 5 };

constexpr std::chrono::milliseconds kUsualTimeout{5000};  // of one question

struct Selection {
  std::vector<std::string> names;   // "n1" or "agent/n1"
  std::vector<std::string> labels;  // "key=value", all of them
  std::vector<std::string> agents, states;
  bool all = false;
  bool empty() const { return names.empty() && labels.empty() && agents.empty() && states.empty() && !all; }
};

struct OrderOptions {
  std::string id;  // of a retry; drawn if empty
  std::string as;
  std::optional<std::chrono::milliseconds> force_after;
  std::chrono::milliseconds deadline{30000};
  unsigned at_most = 0;
  std::uint64_t against = 0;  // 0: what the selection was read at
  bool supersede = false, dry_run = false, no_wait = false;
};

struct Settings {
  std::vector<AgentTarget> agents;
  bool json = false, names = false;
  bool color = false, progress = false;  // only on terminals
  std::chrono::milliseconds timeout{0};  // of the whole command; 0: by the command
};

class Commands {
 public:
  // Results go to `out`, progress and errors to `err`.
  Commands(Settings settings, std::ostream& out, std::ostream& err);

  int Status(const Selection& selection);
  int Get(const Selection& selection);
  int Watch(const Selection& selection, std::chrono::milliseconds every, int times);
  int Give(const std::string& verb, const Selection& selection, const OrderOptions& options);
  int Apply(const std::string& path, const OrderOptions& options);
  int Diff(const std::string& path);
  int Orders(const std::string& id);
  int Logs(const Selection& selection, int lines);
  // Who the backends are, as the chosen proxies believe.
  int Members(const Selection& selection);
  // Departures that the chosen proxies hold back have really happened.
  int Release(const Selection& selection);

 private:
  // What all agents say, and what of it was meant.
  struct View {
    struct Line {
      std::string agent, name;
      boost::json::object instance;
    };
    struct Agent {
      AgentTarget target;
      boost::json::object status;  // empty: it did not answer
      std::uint64_t generation = 0;
    };
    std::vector<Agent> agents;
    std::vector<Line> lines;
    int code = kAllDid;
  };
  struct Submitted;

  http_api::Reply One(const AgentTarget& agent, std::string method, std::string target, std::string body,
                      std::chrono::milliseconds timeout);
  std::vector<http_api::Reply> Each(const std::vector<AgentTarget>& agents, const std::string& target,
                                    std::chrono::milliseconds timeout);
  View Look(const Selection& selection);
  const AgentTarget& AgentOf(const View::Line& line) const;
  std::string TableOf(const View& view) const;
  int Carry(std::vector<Submitted> orders, const OrderOptions& options, const std::string& path);
  int Report(const std::vector<Submitted>& orders, const OrderOptions& options);
  // The code for an agent that did not do as asked; says so.
  int Complain(const std::string& agent, const http_api::Reply& reply);
  std::chrono::milliseconds Timeout(std::chrono::milliseconds usual) const;

  Settings settings_;
  std::ostream& out_;
  std::ostream& err_;
  boost::asio::io_context io_;
};

// The worse of two.
int Worse(int a, int b);

extern const char kBashCompletion[];

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_COMMANDS_H_
