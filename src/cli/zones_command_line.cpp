// SPDX-License-Identifier: Apache-2.0
#include "cli/zones_command_line.h"

#include <memory>

namespace badgerbridge::cli {
namespace {

constexpr int kMaxHistoryLines = 1000;

void AddOperatorOption(CLI::App* command, ZonesOptions& options) {
  command->add_option("--operator", options.operator_file,
                      "the operator's file with the [regions] table (BADGERBRIDGE_OPERATOR)");
}

CLI::App* AddZonesCommand(CLI::App* zones, ZonesOptions& options, const std::string& name,
                          const std::string& description) {
  CLI::App* command = zones->add_subcommand(name, description);
  AddOperatorOption(command, options);
  return command;
}

}  // namespace

void AddZonesCommands(CLI::App& app, const GlobalOptions& global, CommandTable& table) {
  const auto options = std::make_shared<ZonesOptions>();
  CLI::App* zones = app.add_subcommand("zones", "how much goes to each zone, as all proxies have decided");
  AddOperatorOption(zones, *options);
  table.Add(zones, [&global, options] { return RunZones(global, *options); });
  CLI::App* evacuate =
      AddZonesCommand(zones, *options, "evacuate", "have all proxies leave a zone, for a while");
  evacuate->add_option("zone", options->zone, "its name")->required();
  evacuate->add_option("--for", options->duration, "how long the order lasts, such as 30m or 2h")->required();
  evacuate->add_flag("--dry-run", options->dry_run, "say what each receiver would carry, and order nothing");
  evacuate->add_flag("--force", options->force, "also where the others have no room for all of it");
  evacuate->add_option("--as", options->as, "who you are, for the others");
  table.Add(evacuate, [&global, options] { return RunZonesEvacuate(global, *options); });
  CLI::App* return_zone = AddZonesCommand(zones, *options, "return", "end the order for a zone");
  return_zone->add_option("zone", options->zone, "its name")->required();
  table.Add(return_zone, [&global, options] { return RunZonesReturn(global, *options); });
  CLI::App* history = AddZonesCommand(zones, *options, "history", "the last decisions");
  history->add_option("--lines", options->history_lines, "how many (50)")
      ->check(CLI::Range(1, kMaxHistoryLines));
  table.Add(history, [&global, options] { return RunZonesHistory(global, *options); });
}

}  // namespace badgerbridge::cli
