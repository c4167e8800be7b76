#include "lifecycle/settings_watcher.h"

#include <csignal>
#include <utility>

#include "base/log.h"

namespace elderkeel::lifecycle {
namespace {
constexpr base::Millis kCheckIntervalMs = 2000;
}  // namespace

SettingsWatcher::SettingsWatcher(base::Loop* loop, std::string path, OnChange changed)
    : path_(std::move(path)), changed_(std::move(changed)) {
  if (auto text = base::ReadFile(path_)) text_ = *text;
  loop->OnSignal(SIGHUP, [this] { Check(Cause::kSignal); });
  timer_.Repeat(loop, kCheckIntervalMs, [this] { Check(Cause::kTimer); });
}

void SettingsWatcher::Check(Cause cause) {
  auto text = base::ReadFile(path_);
  if (!text) {
    // A check by the timer may find the file unreadable because it is just being replaced, so only
    // SIGHUP logs the error.
    if (cause == Cause::kSignal) base::Warn("settings.rejected", text.error());
    return;
  }
  if (*text == text_) return;
  text_ = *text;
  auto settings = base::ParseSettings(text_);
  if (!settings) {
    base::Warn("settings.rejected", settings.error());
    return;
  }
  base::Info("settings.applied", {{"file", path_}});
  changed_(*settings);
}

}  // namespace elderkeel::lifecycle
