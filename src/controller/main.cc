#include <CLI/CLI.hpp>
#include <iostream>

#include "base/log.h"
#include "base/settings.h"
#include "configuration/document.h"
#include "controller/controller.h"

namespace {

using namespace elderkeel;

int CheckSettings(const std::string& path) {
  auto settings = base::LoadSettings(path);
  if (!settings) {
    std::cerr << path << ": " << settings.error().reason << "\n";
    return 2;
  }
  std::cout << path << ": valid\n";
  return 0;
}

int CheckConfiguration(const std::string& path) {
  auto text = base::ReadFile(path);
  if (!text) {
    std::cerr << path << ": " << text.error().reason << "\n";
    return 2;
  }
  configuration::Refusal refusal = configuration::CheckValid(*text);
  if (!refusal.reason.empty()) {
    std::cerr << path << ": " << refusal.reason << "\n";
    return 2;
  }
  std::cout << path << ": valid, revision " << configuration::RevisionOf(*text) << "\n";
  return 0;
}

int Run(const std::string& path) {
  auto settings = base::LoadSettings(path);
  if (!settings) {
    std::cerr << path << ": " << settings.error().reason << "\n";
    return 2;
  }
  base::SetLogLevel(base::ParseLogLevel(settings->log_level, base::LogLevel::kInfo));
  base::Loop loop;
  controller::Controller controller(&loop, *settings, path);
  auto started = controller.Start();
  if (!started) {
    base::Warn("controller.failed", started.error());
    return 1;
  }
  loop.Run();
  return 0;
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
  auto* check_settings = check->add_option("--settings", settings, "Settings file to check");
  auto* check_configuration =
      check->add_option("--configuration", configuration, "Configuration (JSON) to check");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    int code = app.exit(error);
    return code == 0 ? 0 : 2;
  }
  if (run->parsed()) return Run(settings);
  if (check_configuration->count()) return CheckConfiguration(configuration);
  (void)check_settings;
  return CheckSettings(settings);
}
