#pragma once

#include <chrono>
#include <cstdint>

namespace elderkeel::base {

// A time or a duration in milliseconds of the steady clock. All timeouts and leases use this clock.
// The wall clock can step, so it is used only for log lines and for comparing records of nodes.
using Millis = int64_t;

// Nanoseconds of the steady clock, which never goes back and has no fixed epoch.
inline int64_t SteadyNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline Millis SteadyMillis() { return SteadyNanos() / 1000000; }

// Nanoseconds of the wall clock since the Unix epoch.
inline int64_t WallNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace elderkeel::base
