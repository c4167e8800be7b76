#include <CLI/CLI.hpp>

#include "base/program.h"
#include "proxy/proxy.h"

int main(int argc, char** argv) {
  namespace base = elderkeel::base;
  namespace proxy = elderkeel::proxy;
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
  return run->parsed() ? base::RunProcess<proxy::Proxy>(settings)
                       : base::CheckSettingsFile(settings);
}
