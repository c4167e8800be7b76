#include "soak/stall_detector.h"

#include <chrono>
#include <fstream>
#include <string>

namespace elderkeel::soak {
namespace {
constexpr base::Millis kSleepMs = 10;  // between two checks of the clock
}  // namespace

StallDetector::~StallDetector() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stop_ = true;
  }
  thread_.join();
}

std::vector<Stall> StallDetector::stalls() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return stalls_;
}

void StallDetector::Run() {
  for (;;) {
    base::Millis before = base::SteadyMillis();
    std::this_thread::sleep_for(std::chrono::milliseconds(kSleepMs));
    base::Millis late = base::SteadyMillis() - before - kSleepMs;
    std::lock_guard<std::mutex> lock(mutex_);
    if (stop_) return;
    if (late >= kMinMs) stalls_.push_back({before, late, "", late});
  }
}

WaitMeter WaitMeter::OfProcess(pid_t pid) {
  return WaitMeter("/proc/" + std::to_string(pid) + "/schedstat");
}

WaitMeter WaitMeter::OfOwnThread(pid_t thread) {
  return WaitMeter("/proc/self/task/" + std::to_string(thread) + "/schedstat");
}

base::Millis WaitMeter::TakeWaitedMs() {
  std::ifstream file(path_);
  int64_t ran_ns = 0, waited_ns = 0;
  if (!(file >> ran_ns >> waited_ns)) return 0;
  base::Millis waited_ms = waited_ns / 1000000;
  return waited_ms - std::exchange(returned_ms_, waited_ms);
}

}  // namespace elderkeel::soak
