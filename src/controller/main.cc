#include <CLI/CLI.hpp>
#include <iostream>

#include "base/program.h"
#include "configuration/routing_table.h"
#include "configuration/validation.h"
#include "controller/controller.h"
#include "diagnosis/console.h"

namespace {

using namespace elderkeel;

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

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"elderkeel's control plane: configuration, servers and nodes"};
  app.set_version_flag("--version", "elderkeel controller " ELDERKEEL_VERSION);
  app.require_subcommand(1);
  std::string settings = base::SettingsPath();
  std::string configuration;

  CLI::App* run = app.add_subcommand("run", "Run a controller");
  run->add_option("--settings", settings, "Settings file (or ELDERKEEL_SETTINGS)");
  CLI::App* check = app.add_subcommand("check", "Check a settings file or a configuration");
  check->add_option("--settings", settings, "Settings file to check");
  auto* check_configuration =
      check->add_option("--configuration", configuration, "Configuration (JSON) to check");

  std::string control;
  bool json = false;
  std::string attempt, server, revision;
  auto wants_renewal = [&](CLI::App* verb) {
    verb->add_option(
        "--control", control,
        "Address and port of a controller (default: listeners.control of the settings)");
    verb->add_option("--settings", settings, "Settings file to take the address from");
    verb->add_flag("--json", json, "Show the answer as JSON");
  };
  CLI::App* status = app.add_subcommand("status", "Show the fleet as a controller sees it");
  wants_renewal(status);
  CLI::App* diagnose =
      app.add_subcommand("diagnose", "Ask the records of all proxies what happened");
  wants_renewal(diagnose);
  auto* about = diagnose->add_option_group("about");
  about->add_option("--attempt", attempt, "A request, by its attempt id");
  about->add_option("--server", server, "A server, by its id");
  about->add_option("--revision", revision, "A version of the configuration");
  about->require_option(1);
  CLI::App* rollout =
      app.add_subcommand("rollout", "Show the roll-outs of versions, their votes and evidence");
  wants_renewal(rollout);
  std::string service;
  rollout->add_option("service", service, "Only this service's");
  CLI::App* failures =
      app.add_subcommand("failures", "Show which requests failed, from the records of all proxies");
  wants_renewal(failures);
  std::string route, zone;
  int64_t last_s = 0;
  failures->add_option("--route", route, "Only those of this route");
  failures->add_option("--zone", zone, "Only those that proxies of this zone took");
  failures->add_option("--last", last_s, "Only those of the last so many seconds")
      ->check(CLI::PositiveNumber);
  app.footer(
      "Exit codes: 0 well; 1 answered, but degraded or incomplete; 2 wrong use or invalid file;\n"
      "3 no controller answered.");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    int code = app.exit(error);
    return code == 0 ? 0 : 2;
  }
  if (run->parsed()) return base::RunProcess<controller::Controller>(settings);
  if (status->parsed() || diagnose->parsed() || failures->parsed() || rollout->parsed()) {
    base::Result<base::Address> address = ControlAddress(control, settings);
    if (!address) {
      std::cerr << "no controller to ask: " << address.error().reason << "\n";
      return diagnosis::kUsage;
    }
    if (status->parsed()) return diagnosis::ShowStatus(*address, json);
    if (rollout->parsed()) return diagnosis::ShowRollouts(*address, service, json);
    if (failures->parsed()) {
      std::string query;
      auto add = [&](const char* key, const std::string& value) {
        if (!value.empty()) query += (query.empty() ? "" : "&") + std::string(key) + "=" + value;
      };
      add("route", route);
      add("zone", zone);
      add("last-s", last_s > 0 ? std::to_string(last_s) : "");
      return diagnosis::ShowFailures(*address, query, json);
    }
    return diagnosis::ShowDiagnosis(*address,
                                    !attempt.empty()  ? "attempt=" + attempt
                                    : !server.empty() ? "server=" + server
                                                      : "revision=" + revision,
                                    json);
  }
  if (check_configuration->count()) return CheckConfiguration(configuration);
  return base::CheckSettingsFile(settings);
}
