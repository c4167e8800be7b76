#pragma once

#include <chrono>
#include <cstdint>

namespace elderkeel::base {

// Milliseconds of the steady clock. Every timeout and lease uses it; the time of day is for log
// lines only, since it may step.
using Millis = int64_t;

inline int64_t SteadyNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline Millis SteadyMillis() { return SteadyNanos() / 1000000; }

inline int64_t WallNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace elderkeel::base
