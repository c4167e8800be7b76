#pragma once

#include <iostream>
#include <string>

#include "base/log.h"
#include "base/loop.h"
#include "base/settings.h"

namespace elderkeel::base {

// What both programs do with a settings file; the results are exit codes.

inline int ReportFileError(const std::string& path, const Error& error) {
  std::cerr << path << ": " << error.reason << "\n";
  return 2;
}

inline int CheckSettingsFile(const std::string& path) {
  auto settings = LoadSettings(path);
  if (!settings) return ReportFileError(path, settings.error());
  std::cout << path << ": valid\n";
  return 0;
}

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
