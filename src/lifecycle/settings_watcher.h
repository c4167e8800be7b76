#pragma once

#include <csignal>
#include <functional>
#include <string>

#include "base/log.h"
#include "base/loop.h"
#include "base/settings.h"

namespace elderkeel::lifecycle {

// Re-reads the settings file on SIGHUP and when it changes by itself. A file that can't be read or
// is not valid is logged, and the settings in force stay.
class SettingsWatcher {
 public:
  using Changed = std::function<void(const base::Settings&)>;

  SettingsWatcher(base::Loop* loop, std::string path, Changed changed)
      : path_(std::move(path)), changed_(std::move(changed)) {
    if (auto text = base::ReadFile(path_)) text_ = *text;
    loop->OnSignal(SIGHUP, [this] { Check(true); });
    timer_.Repeat(loop, kEveryMs, [this] { Check(false); });
  }

  // True if new settings were taken.
  bool Check(bool asked) {
    auto text = base::ReadFile(path_);
    if (!text) {
      if (asked) base::Warn("settings.rejected", text.error());
      return false;
    }
    if (*text == text_) return false;
    text_ = *text;
    auto settings = base::ParseSettings(text_);
    if (!settings) {
      base::Warn("settings.rejected", settings.error());
      return false;
    }
    base::Info("settings.applied", {{"file", path_}});
    changed_(*settings);
    return true;
  }

 private:
  static constexpr base::Millis kEveryMs = 2000;
  std::string path_;
  Changed changed_;
  std::string text_;
  base::Timer timer_;
};

}  // namespace elderkeel::lifecycle
