#pragma once

#include <sys/types.h>

#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace elderkeel::soak {

// A time span in which a process was ready to run but waited for a processor, or in which the whole
// machine did not run.
struct Stall {
  base::Millis at = 0;
  base::Millis for_ms = 0;
  // Empty for all processes, including the clients and servers within the soak.
  std::string process = "";
  base::Millis waited_ms = 0;  // waiting time within the span
};

// Detects spans in which the whole machine did not run: a thread of its own sleeps repeatedly and
// records each late wake-up. The checkers and tests don't evaluate time limits over such spans.
class StallDetector {
 public:
  // Shorter stalls are ignored.
  static constexpr base::Millis kMinMs = 100;

  StallDetector() : thread_([this] { Run(); }) {}
  ~StallDetector();
  // The stalls so far. Thread-safe.
  std::vector<Stall> stalls() const;

 private:
  void Run();
  mutable std::mutex mutex_;
  std::vector<Stall> stalls_;
  bool stop_ = false;
  std::thread thread_;
};

// Reads from /proc how long a thread was ready to run but waited for a processor, as counted by the
// kernel. A default-constructed meter always returns 0.
class WaitMeter {
 public:
  // A meter for the main thread of a process, and for a thread of this process.
  static WaitMeter OfProcess(pid_t pid);
  static WaitMeter OfOwnThread(pid_t thread);
  WaitMeter() = default;
  // The waiting time since the last call or, at the first call, since the thread's start; 0 if the
  // thread has ended.
  base::Millis TakeWaitedMs();

 private:
  explicit WaitMeter(std::string path) : path_(std::move(path)) {}
  std::string path_;
  base::Millis returned_ms_ = 0;
};

}  // namespace elderkeel::soak
