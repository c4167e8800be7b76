#pragma once

#include <sys/types.h>

#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace elderkeel::soak {

// A span in which a process was ready to run and had no processor, or the machine itself stood
// still.
struct Stall {
  base::Millis at = 0;
  base::Millis for_ms = 0;
  std::string process = "";    // empty for all of them, the soak's own clients and servers included
  base::Millis waited_ms = 0;  // of the span
};

// Watches whether the machine stands still, on a thread of its own: no rule is judged over such a
// time.
class StallWatch {
 public:
  // What is shorter counts as nothing.
  static constexpr base::Millis kMinMs = 100;

  StallWatch() : thread_([this] { Watch(); }) {}
  ~StallWatch();
  std::vector<Stall> stalls() const;

 private:
  void Watch();
  mutable std::mutex mutex_;
  std::vector<Stall> stalls_;
  bool stop_ = false;
  std::thread thread_;
};

// How long a thread, by its file in /proc, was ready and had no processor, by the kernel's count.
class WaitMeter {
 public:
  // The first thread of a process; a thread of this process.
  static WaitMeter OfProcess(pid_t pid);
  static WaitMeter OfOwnThread(pid_t thread);
  WaitMeter() = default;
  // Since the last call, or since the thread's start; 0 if it is gone.
  base::Millis TakeMs();

 private:
  explicit WaitMeter(std::string path) : path_(std::move(path)) {}
  std::string path_;
  base::Millis taken_ms_ = 0;
};

}  // namespace elderkeel::soak
