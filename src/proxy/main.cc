#include <CLI/CLI.hpp>
#include <iostream>

#include "base/log.h"
#include "base/settings.h"
#include "proxy/proxy.h"

namespace {

using namespace elderkeel;

int Check(const std::string& path) {
  auto settings = base::LoadSettings(path);
  if (!settings) {
    std::cerr << path << ": " << settings.error().reason << "\n";
    return 2;
  }
  std::cout << path << ": valid\n";
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
  proxy::Proxy proxy(&loop, *settings, path);
  auto started = proxy.Start();
  if (!started) {
    base::Warn("proxy.failed", started.error());
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"elderkeel's data plane: forwards requests to servers"};
  app.set_version_flag("--version", "elderkeel proxy " ELDERKEEL_VERSION);
  app.require_subcommand(1);
  std::string settings = base::SettingsPath();
  CLI::App* run = app.add_subcommand("run", "Run a proxy");
  run->add_option("--settings", settings, "Settings file (or ELDERKEEL_SETTINGS)");
  CLI::App* check = app.add_subcommand("check", "Check a settings file");
  check->add_option("--settings", settings, "Settings file to check");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    int code = app.exit(error);
    return code == 0 ? 0 : 2;
  }
  return run->parsed() ? Run(settings) : Check(settings);
}
