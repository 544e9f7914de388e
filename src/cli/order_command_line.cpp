// SPDX-License-Identifier: Apache-2.0
#include "cli/order_command_line.h"

#include <unistd.h>

#include <memory>
#include <string>

#include "cli/apply_command.h"
#include "cli/order_command.h"
#include "cli/orders_command.h"

namespace badgerbridge::cli {
namespace {

/// The options of the commands on orders, as given.
struct OrderCommandOptions {
  Selection selection;
  OrderOptions order;  // what need not be parsed
  std::string deadline = "30s";
  std::string force_after;  // empty: never
  std::string file;         // the fleet file of apply and diff
  std::string id;           // of the order that is shown; empty: all
};
using SharedOptions = std::shared_ptr<OrderCommandOptions>;

Result<OrderOptions> ParseOrderOptions(const OrderCommandOptions& options) {
  OrderOptions order = options.order;
  const auto deadline = ParseDurationOption("--deadline", options.deadline);
  if (!deadline) return deadline.error();
  order.deadline = *deadline;
  if (options.force_after.empty()) return order;
  const auto force_after = ParseDurationOption("--force-after", options.force_after);
  if (!force_after) return force_after.error();
  order.force_after = *force_after;
  return order;
}

/// Runs a command that gives an order.
Result<ExitCode> RunOrder(
    const GlobalOptions& global, const OrderCommandOptions& options,
    const std::function<Result<ExitCode>(AgentSession&, const OrderOptions&)>& command) {
  const auto timeout = ParseTimeout(global, {});
  if (!timeout) return timeout.error();
  const Result<OrderOptions> order = ParseOrderOptions(options);
  if (!order) return order.error();
  return RunInSession(global, STDERR_FILENO, [&](AgentSession& session) { return command(session, *order); });
}

enum class Ending { kKeepsProcess, kEndsProcess };

void AddOrderOptions(CLI::App* command, OrderCommandOptions& options, Ending ending) {
  command->add_option("--deadline", options.deadline, "how long each instance may take (30s)");
  if (ending == Ending::kEndsProcess)
    command->add_option("--force-after", options.force_after,
                        "kill an instance that has not ended after this long, and 3.7s after SIGTERM");
  command->add_flag("--supersede", options.order.supersede,
                    "end the order that is in the way, and take over");
  command->add_option("--against", options.order.against,
                      "the generation that this order was written against");
  command->add_flag("--dry-run", options.order.dry_run, "say what would be asked, and ask nothing");
  command->add_flag("--no-wait", options.order.no_wait, "do not wait for the end");
  command->add_option("--id", options.order.id, "the order's id, to repeat one");
  command->add_option("--as", options.order.as, "who you are, for the audit log");
}

/// Adds the command for one verb, and returns it.
class VerbCommands {
 public:
  VerbCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table, SharedOptions options)
      : app_(app), global_(global), table_(table), options_(std::move(options)) {}

  CLI::App* Add(const std::string& verb, const std::string& description, Ending ending) {
    CLI::App* command = app_.add_subcommand(verb, description);
    AddSelectionOptions(command, options_->selection);
    AddOrderOptions(command, *options_, ending);
    table_.Add(command, [&global = global_, options = options_, verb] {
      return RunOrder(global, *options, [&](AgentSession& session, const OrderOptions& order) {
        return OrderInstances(session, verb, options->selection, order);
      });
    });
    return command;
  }

 private:
  CLI::App& app_;
  const GlobalOptions& global_;
  CommandTable& table_;
  SharedOptions options_;
};

void AddVerbCommands(VerbCommands commands, OrderCommandOptions& options) {
  commands.Add("start", "start instances, and wait until they are ready", Ending::kKeepsProcess);
  commands.Add("stop", "end instances; what they have taken is answered first", Ending::kEndsProcess);
  commands.Add("drain", "have instances take no more, and wait until they are quiet", Ending::kKeepsProcess);
  commands.Add("undrain", "have drained instances take work again", Ending::kKeepsProcess);
  commands.Add("reload", "have instances read their configuration again", Ending::kKeepsProcess);
  commands.Add("roll", "drain, stop and start instances one after another", Ending::kEndsProcess)
      ->add_option("--at-most", options.order.at_most, "this many at once (1)");
}

void AddFleetFileCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table,
                          const SharedOptions& options) {
  CLI::App* apply = app.add_subcommand("apply", "make an agent's instances those of a fleet file");
  apply->add_option("file", options->file, "the fleet file")->required();
  AddOrderOptions(apply, *options, Ending::kEndsProcess);
  apply->add_option("--at-most", options->order.at_most,
                    "this many at once, halting at the first that fails");
  table.Add(apply, [&global, options] {
    return RunOrder(global, *options, [&](AgentSession& session, const OrderOptions& order) {
      return ApplyFleetFile(session, options->file, order);
    });
  });
  CLI::App* diff = app.add_subcommand("diff", "what apply would change");
  diff->add_option("file", options->file, "the fleet file")->required();
  table.Add(diff, [&global, options] {
    return RunInSession(global, STDERR_FILENO,
                        [&](AgentSession& session) { return DiffFleetFile(session, options->file); });
  });
}

}  // namespace

void AddOrderCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table) {
  const auto options = std::make_shared<OrderCommandOptions>();
  AddVerbCommands(VerbCommands(app, global, table, options), *options);
  AddFleetFileCommands(app, global, table, options);
  CLI::App* orders = app.add_subcommand("orders", "the orders, or one of them");
  orders->add_option("id", options->id, "an order's id");
  table.Add(orders, [&global, options] {
    return RunInSession(global, STDERR_FILENO, [&](AgentSession& session) {
      return options->id.empty() ? Result<ExitCode>(ListOrders(session)) : ShowOrder(session, options->id);
    });
  });
}

}  // namespace badgerbridge::cli
