#pragma once

#include <iostream>
#include <string>

#include "base/log.h"
#include "base/loop.h"
#include "base/settings.h"

namespace elderkeel::base {

// Functions that the main functions of proxy and controller share. They return exit codes.

// Prints the reason of an invalid file to stderr and returns 2.
inline int ReportFileError(const std::string& path, const Error& error) {
  std::cerr << path << ": " << error.reason << "\n";
  return 2;
}

// Validates a settings file. Returns 0 if it is valid and 2 if not.
inline int CheckSettingsFile(const std::string& path) {
  auto settings = LoadSettings(path);
  if (!settings) return ReportFileError(path, settings.error());
  std::cout << path << ": valid\n";
  return 0;
}

// Loads the settings, starts a Process and runs the event loop until it is stopped. Returns 0 after
// that, 2 if the settings are invalid and 1 if the process fails to start.
template <class Process>
int RunProcess(const std::string& path) {
  auto settings = LoadSettings(path);
  if (!settings) return ReportFileError(path, settings.error());
  SetLogLevel(ParseLogLevel(settings->log_level, LogLevel::kInfo));
  Loop loop;
  Process process(&loop, *settings, path);
  auto started = process.Start();
  if (!started) {
    Warn("start.failed", started.error());
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace elderkeel::base
