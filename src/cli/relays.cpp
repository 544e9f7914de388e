// SPDX-License-Identifier: Apache-2.0
#include "cli/relays.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <ostream>

#include "cli/commands.h"
#include "cli/fields.h"
#include "cli/render.h"
#include "http_api/client.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

struct RelayAnswer {
  std::string socket;
  http_api::Reply reply;
};

std::vector<RelayAnswer> AskAll(const RelaysCommand& how) {
  boost::asio::io_context io;
  std::vector<RelayAnswer> answers;
  answers.reserve(how.sockets.size());
  for (const std::string& socket : how.sockets) {
    RelayAnswer& answer = answers.emplace_back(RelayAnswer{socket, {}});
    boost::asio::co_spawn(io, http_api::CallUnix(socket, "GET", "/v1/status", "", how.timeout),
                          [&answer](std::exception_ptr failure, http_api::Reply reply) {
                            if (!failure) answer.reply = std::move(reply);
                          });
  }
  io.run();
  return answers;
}

// Revisions of two clusters, or of a cluster and its restored backup, can't be compared.
using Newest = std::map<std::int64_t, std::int64_t>;  // revision, by cluster

std::vector<std::string> RowOf(const std::string& socket, const json::object& status, const Newest& newest) {
  const json::object& upstream = Object(status, "upstream");
  const json::object& readers = Object(status, "readers");
  const std::int64_t revision = Whole(status, "revision");
  const json::value* heard = upstream.if_contains("heard_ms_ago");
  const bool ever = heard && heard->is_number();
  return {socket,
          Text(status, "prefix"),
          Flag(upstream, "connected") ? "connected" : Text(upstream, "state"),
          std::to_string(revision),
          std::to_string(newest.at(Whole(status, "cluster_id")) - revision),
          ever ? Age(Whole(upstream, "heard_ms_ago")) : "never",
          std::to_string(Whole(status, "keys")),
          std::to_string(Whole(readers, "watches")),
          std::to_string(Whole(readers, "slow"))};
}

}  // namespace

int ShowRelays(const RelaysCommand& how, std::ostream& out, std::ostream& err) {
  const std::vector<RelayAnswer> answers = AskAll(how);
  int code = kAllDid;
  Newest newest;
  json::array all;
  for (const RelayAnswer& answer : answers) {
    const json::object* status = answer.reply.ok() ? Body(answer.reply) : nullptr;
    if (!status) {
      err << "badgerbridge-ctl: " << answer.socket << ": " << answer.reply.ErrorMessage() << '\n';
      code = Worse(code, kOutOfReach);
      continue;
    }
    std::int64_t& known = newest[Whole(*status, "cluster_id")];
    known = std::max(known, Whole(*status, "revision"));
    json::object one = *status;
    one["socket"] = answer.socket;
    all.push_back(std::move(one));
  }
  Table table({"RELAY", "PREFIX", "SOURCE", "REVISION", "BEHIND", "HEARD", "KEYS", "WATCHES", "SLOW"},
              how.color);
  for (json::value& item : all) {
    json::object& status = item.get_object();
    if (!Flag(Object(status, "upstream"), "connected")) code = Worse(code, kSomeDidNot);
    table.Add(RowOf(Text(status, "socket"), status, newest));
    status["behind"] = newest.at(Whole(status, "cluster_id")) - Whole(status, "revision");
  }
  if (how.json) {
    out << json::serialize(all) << '\n';
  } else if (!table.empty()) {
    out << table.Text();
  }
  return code;
}

}  // namespace badgerbridge::cli
