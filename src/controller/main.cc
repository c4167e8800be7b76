#include <CLI/CLI.hpp>
#include <iostream>

#include "base/program.h"
#include "configuration/routing_table.h"
#include "configuration/validation.h"
#include "controller/controller.h"
#include "diagnosis/console.h"

namespace {

namespace base = elderkeel::base;
namespace configuration = elderkeel::configuration;
namespace controller = elderkeel::controller;
namespace diagnosis = elderkeel::diagnosis;

// The command-line options of the commands that query a controller.
struct QueryOptions {
  std::string settings;
  std::string control;
  bool json = false;
  std::string attempt, server, revision;  // diagnose: exactly one of them
  std::string service;                    // rollout
  std::string route, zone;                // failures
  int64_t last_s = 0;                     // failures: of the last so many seconds; 0 for all
};

// Validates a configuration file; returns the exit code.
int CheckConfiguration(const std::string& path) {
  auto text = base::ReadFile(path);
  if (!text) return base::ReportFileError(path, text.error());
  auto revision = configuration::Validate(*text);
  if (!revision) return base::ReportFileError(path, revision.error());
  std::cout << path << ": valid, revision " << *revision << "\n";
  return 0;
}

// The address of the controller to query: `given` on the command line, or else listeners.control of
// the settings file. Errors: the address or the settings file is invalid.
base::Result<base::Address> ControlAddress(const std::string& given, const std::string& settings) {
  if (!given.empty()) return base::ParseAddress(given);
  return base::LoadSettings(settings).map(
      [](const base::Settings& loaded) { return loaded.control; });
}

std::string FailuresQuery(const QueryOptions& options) {
  std::string query;
  auto add = [&query](const char* key, const std::string& value) {
    if (!value.empty()) query += (query.empty() ? "" : "&") + std::string(key) + "=" + value;
  };
  add("route", options.route);
  add("zone", options.zone);
  add("last-s", options.last_s > 0 ? std::to_string(options.last_s) : "");
  return query;
}

std::string DiagnosisQuery(const QueryOptions& options) {
  if (!options.attempt.empty()) return "attempt=" + options.attempt;
  if (!options.server.empty()) return "server=" + options.server;
  return "revision=" + options.revision;
}

// The commands that query a controller.
struct QueryCommands {
  CLI::App* status;
  CLI::App* diagnose;
  CLI::App* rollout;
  CLI::App* failures;
};

CLI::App* AddQueryCommand(CLI::App* app, const char* name, const char* description,
                          QueryOptions* options) {
  CLI::App* command = app->add_subcommand(name, description);
  command->add_option(
      "--control", options->control,
      "Address and port of a controller (default: listeners.control of the settings)");
  command->add_option("--settings", options->settings,
                      "Settings file that names the controller's address");
  command->add_flag("--json", options->json, "Print the answer as JSON");
  return command;
}

QueryCommands AddQueryCommands(CLI::App* app, QueryOptions* options) {
  QueryCommands commands{};
  commands.status = AddQueryCommand(
      app, "status", "Show the state of the fleet in the view of one controller", options);
  commands.diagnose = AddQueryCommand(
      app, "diagnose", "Search the records of all proxies for a request, server or revision",
      options);
  auto* about = commands.diagnose->add_option_group("about");
  about->add_option("--attempt", options->attempt, "The attempt id of a request");
  about->add_option("--server", options->server, "The id of a server");
  about->add_option("--revision", options->revision, "A revision of the configuration");
  about->require_option(1);
  commands.rollout = AddQueryCommand(
      app, "rollout", "Show the roll-outs of service versions with their votes and counters",
      options);
  commands.rollout->add_option("service", options->service, "Only the roll-out of this service");
  commands.failures = AddQueryCommand(
      app, "failures", "Show which requests failed, from the records of all proxies", options);
  commands.failures->add_option("--route", options->route, "Only requests on this route");
  commands.failures->add_option("--zone", options->zone,
                                "Only requests received by proxies in this zone");
  commands.failures
      ->add_option("--last", options->last_s, "Only requests of the last so many seconds")
      ->check(CLI::PositiveNumber);
  return commands;
}

// Runs the query command that was given; returns the exit code.
int RunQuery(const QueryCommands& commands, const QueryOptions& options) {
  base::Result<base::Address> address = ControlAddress(options.control, options.settings);
  if (!address) {
    std::cerr << "can't determine the address of a controller: " << address.error().reason << "\n";
    return diagnosis::kUsage;
  }
  if (commands.status->parsed()) return diagnosis::ShowStatus(*address, options.json);
  if (commands.rollout->parsed()) {
    return diagnosis::ShowRollouts(*address, options.service, options.json);
  }
  if (commands.failures->parsed()) {
    return diagnosis::ShowFailures(*address, FailuresQuery(options), options.json);
  }
  return diagnosis::ShowDiagnosis(*address, DiagnosisQuery(options), options.json);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"elderkeel's control plane: configuration, servers and nodes"};
  app.set_version_flag("--version", "elderkeel controller " ELDERKEEL_VERSION);
  app.require_subcommand(1);
  QueryOptions options;
  options.settings = base::SettingsPath();
  std::string configuration;

  CLI::App* run = app.add_subcommand("run", "Run a controller");
  run->add_option("--settings", options.settings, "Settings file (or ELDERKEEL_SETTINGS)");
  CLI::App* check = app.add_subcommand("check", "Check a settings file or a configuration");
  check->add_option("--settings", options.settings, "Settings file to check");
  auto* check_configuration =
      check->add_option("--configuration", configuration, "Configuration file (JSON) to check");
  QueryCommands query_commands = AddQueryCommands(&app, &options);
  app.footer(
      "Exit codes: 0 success; 1 degraded or incomplete answer, or failure to start;\n"
      "2 usage error or invalid file; 3 no controller answered.");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    int code = app.exit(error);
    return code == 0 ? 0 : 2;
  }
  if (run->parsed()) return base::RunProcess<controller::Controller>(options.settings);
  if (!check->parsed()) return RunQuery(query_commands, options);
  if (check_configuration->count()) return CheckConfiguration(configuration);
  return base::CheckSettingsFile(options.settings);
}
