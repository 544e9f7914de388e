// SPDX-License-Identifier: Apache-2.0
#include "cli/relays_command.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <ostream>
#include <utility>

#include "cli/error.h"
#include "cli/json_fields.h"
#include "cli/table.h"
#include "http_api/client.h"

namespace badgerbridge::cli {
namespace {

namespace json = boost::json;

struct RelayAnswer {
  std::string socket;
  http_api::Reply reply;
};

std::vector<RelayAnswer> AskAll(const RelaysQuery& query) {
  boost::asio::io_context io;
  std::vector<RelayAnswer> answers;
  answers.reserve(query.sockets.size());  // the handlers below refer to the elements
  for (const std::string& socket : query.sockets) {
    RelayAnswer& answer = answers.emplace_back(RelayAnswer{socket, {}});
    boost::asio::co_spawn(io, http_api::CallUnix(socket, "GET", "/v1/status", "", query.timeout),
                          [&answer](std::exception_ptr failure, http_api::Reply reply) {
                            if (!failure) answer.reply = std::move(reply);
                          });
  }
  io.run();
  return answers;
}

/// The newest revision that any watch cache has, by cluster id: revisions of two clusters, or of a cluster
/// and its restored backup, can't be compared.
using NewestRevisions = std::map<std::int64_t, std::int64_t>;

std::int64_t RevisionsBehind(const json::object& status, const NewestRevisions& newest) {
  return newest.at(IntegerField(status, "cluster_id")) - IntegerField(status, "revision");
}

std::string LastHeardText(const json::object& upstream) {
  const json::value* last_heard = upstream.if_contains("heard_ms_ago");
  const bool was_heard = last_heard && last_heard->is_number();
  return was_heard ? FormatAge(IntegerField(upstream, "heard_ms_ago")) : "never";
}

std::vector<std::string> RowOf(const json::object& status, const NewestRevisions& newest) {
  const json::object& upstream = ObjectField(status, "upstream");
  const json::object& readers = ObjectField(status, "readers");
  return {StringField(status, "socket"),
          StringField(status, "prefix"),
          BoolField(upstream, "connected") ? "connected" : StringField(upstream, "state"),
          std::to_string(IntegerField(status, "revision")),
          std::to_string(RevisionsBehind(status, newest)),
          LastHeardText(upstream),
          std::to_string(IntegerField(status, "keys")),
          std::to_string(IntegerField(readers, "watches")),
          std::to_string(IntegerField(readers, "slow"))};
}

}  // namespace

ExitCode ShowRelays(const RelaysQuery& query, std::ostream& out, std::ostream& err) {
  ExitCode code = ExitCode::kSuccess;
  NewestRevisions newest;
  json::array all;
  for (const RelayAnswer& answer : AskAll(query)) {
    const json::object* status = BodyOf(answer.reply);
    if (!status) {
      const RequestFailed error{answer.socket, answer.reply.ErrorMessage(), ExitCode::kUnreachable};
      code = Worst(code, Report(error, err));
      continue;
    }
    std::int64_t& newest_of_cluster = newest[IntegerField(*status, "cluster_id")];
    newest_of_cluster = std::max(newest_of_cluster, IntegerField(*status, "revision"));
    json::object entry = *status;
    entry["socket"] = answer.socket;
    all.push_back(std::move(entry));
  }
  Table table({"RELAY", "PREFIX", "SOURCE", "REVISION", "BEHIND", "HEARD", "KEYS", "WATCHES", "SLOW"},
              query.color);
  for (json::value& item : all) {
    json::object& status = item.get_object();
    if (!BoolField(ObjectField(status, "upstream"), "connected"))
      code = Worst(code, ExitCode::kPartialFailure);
    table.Add(RowOf(status, newest));
    status["behind"] = RevisionsBehind(status, newest);
  }
  WriteJsonOrTable(out, query.json, all, table);
  return code;
}

}  // namespace badgerbridge::cli
