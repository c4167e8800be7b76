#pragma once

#include <functional>
#include <string>

#include "base/loop.h"
#include "base/settings.h"

namespace elderkeel::lifecycle {

// Reads the settings file again on SIGHUP, and when it has changed by itself. A file that can't be
// read or is not valid is logged, and the settings in force stay. On the event loop's thread.
class SettingsWatcher {
 public:
  using Changed = std::function<void(const base::Settings&)>;

  SettingsWatcher(base::Loop* loop, std::string path, Changed changed);

 private:
  enum class Cause : uint8_t { kSignal, kTimer };
  void Check(Cause cause);

  std::string path_;
  Changed changed_;
  std::string text_;  // of the file, as last read
  base::Timer timer_;
};

}  // namespace elderkeel::lifecycle
