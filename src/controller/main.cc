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

// What the command line gives to the commands that ask a controller.
struct InquiryOptions {
  std::string settings;
  std::string control;
  bool json = false;
  std::string attempt, server, revision;  // diagnose: one of them
  std::string service;                    // rollout
  std::string route, zone;                // failures
  int64_t last_s = 0;                     // failures; 0 for all
};

int CheckConfiguration(const std::string& path) {
  auto text = base::ReadFile(path);
  if (!text) return base::Complain(path, text.error());
  auto revision = configuration::Validate(*text);
  if (!revision) return base::Complain(path, revision.error());
  std::cout << path << ": valid, revision " << *revision << "\n";
  return 0;
}

// Whom to ask: the address given on the command line, or else that of the settings.
base::Result<base::Address> ControlAddress(const std::string& given, const std::string& settings) {
  if (!given.empty()) return base::ParseAddress(given);
  return base::LoadSettings(settings).map(
      [](const base::Settings& loaded) { return loaded.control; });
}

std::string FailuresQuery(const InquiryOptions& options) {
  std::string query;
  auto add = [&query](const char* key, const std::string& value) {
    if (!value.empty()) query += (query.empty() ? "" : "&") + std::string(key) + "=" + value;
  };
  add("route", options.route);
  add("zone", options.zone);
  add("last-s", options.last_s > 0 ? std::to_string(options.last_s) : "");
  return query;
}

std::string DiagnosisQuery(const InquiryOptions& options) {
  if (!options.attempt.empty()) return "attempt=" + options.attempt;
  if (!options.server.empty()) return "server=" + options.server;
  return "revision=" + options.revision;
}

// The commands that ask a controller, and their options.
struct InquiryCommands {
  CLI::App* status;
  CLI::App* diagnose;
  CLI::App* rollout;
  CLI::App* failures;
};

CLI::App* AddInquiry(CLI::App* app, const char* name, const char* description,
                     InquiryOptions* options) {
  CLI::App* command = app->add_subcommand(name, description);
  command->add_option(
      "--control", options->control,
      "Address and port of a controller (default: listeners.control of the settings)");
  command->add_option("--settings", options->settings, "Settings file to take the address from");
  command->add_flag("--json", options->json, "Show the answer as JSON");
  return command;
}

InquiryCommands AddInquiries(CLI::App* app, InquiryOptions* options) {
  InquiryCommands commands{};
  commands.status = AddInquiry(app, "status", "Show the fleet as a controller sees it", options);
  commands.diagnose =
      AddInquiry(app, "diagnose", "Ask the records of all proxies what happened", options);
  auto* about = commands.diagnose->add_option_group("about");
  about->add_option("--attempt", options->attempt, "A request, by its attempt id");
  about->add_option("--server", options->server, "A server, by its id");
  about->add_option("--revision", options->revision, "A version of the configuration");
  about->require_option(1);
  commands.rollout = AddInquiry(
      app, "rollout", "Show the roll-outs of versions, their votes and evidence", options);
  commands.rollout->add_option("service", options->service, "Only this service's");
  commands.failures = AddInquiry(
      app, "failures", "Show which requests failed, from the records of all proxies", options);
  commands.failures->add_option("--route", options->route, "Only those of this route");
  commands.failures->add_option("--zone", options->zone,
                                "Only those that proxies of this zone took");
  commands.failures->add_option("--last", options->last_s, "Only those of the last so many seconds")
      ->check(CLI::PositiveNumber);
  return commands;
}

// The exit code.
int Ask(const InquiryCommands& commands, const InquiryOptions& options) {
  base::Result<base::Address> address = ControlAddress(options.control, options.settings);
  if (!address) {
    std::cerr << "no controller to ask: " << address.error().reason << "\n";
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
  InquiryOptions options;
  options.settings = base::SettingsPath();
  std::string configuration;

  CLI::App* run = app.add_subcommand("run", "Run a controller");
  run->add_option("--settings", options.settings, "Settings file (or ELDERKEEL_SETTINGS)");
  CLI::App* check = app.add_subcommand("check", "Check a settings file or a configuration");
  check->add_option("--settings", options.settings, "Settings file to check");
  auto* check_configuration =
      check->add_option("--configuration", configuration, "Configuration (JSON) to check");
  InquiryCommands inquiries = AddInquiries(&app, &options);
  app.footer(
      "Exit codes: 0 well; 1 answered, but degraded or incomplete; 2 wrong use or invalid file;\n"
      "3 no controller answered.");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    int code = app.exit(error);
    return code == 0 ? 0 : 2;
  }
  if (run->parsed()) return base::RunProcess<controller::Controller>(options.settings);
  if (!check->parsed()) return Ask(inquiries, options);
  if (check_configuration->count()) return CheckConfiguration(configuration);
  return base::CheckSettingsFile(options.settings);
}
