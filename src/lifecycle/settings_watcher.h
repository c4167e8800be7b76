#pragma once

#include <functional>
#include <string>

#include "base/loop.h"
#include "base/settings.h"

namespace elderkeel::lifecycle {

// Reloads the settings file on SIGHUP, and when a regular check finds that it has changed. If the
// file can't be read on SIGHUP or is not valid, an error is logged and the settings in force stay.
// Runs on the event loop's thread.
class SettingsWatcher {
 public:
  // Called with the new settings after each valid change of the file.
  using OnChange = std::function<void(const base::Settings&)>;

  SettingsWatcher(base::Loop* loop, std::string path, OnChange changed);

 private:
  enum class Cause : uint8_t { kSignal, kTimer };
  void Check(Cause cause);

  std::string path_;
  OnChange changed_;
  std::string text_;  // contents of the file when it was last read
  base::Timer timer_;
};

}  // namespace elderkeel::lifecycle
