#pragma once

#include <algorithm>

#include "base/clock.h"

namespace elderkeel::lifecycle {

// The times at which the phases of a graceful shutdown begin, in milliseconds since SIGTERM.
//
// A request may be failed without a server's answer only if it was sent soon after SIGTERM and its
// server is still processing it in the last sixth of the grace time. So requests are accepted only
// while they may still be failed, and none is failed before the last sixth.
//
// Invariant, for any grace time: accept_until < last_sixth < fail_unanswered_at < exit_at < grace.
struct ShutdownSchedule {
  // How long after SIGTERM a request may be sent and still be failed by the shutdown.
  static constexpr base::Millis kLastCuttableRequestMs = 3000;

  // `grace`: from SIGTERM until the platform kills the process. `max_notice`: how long the platform
  // may send clients after the process has reported that it is not ready.
  ShutdownSchedule(base::Millis grace, base::Millis max_notice)
      : notice_until(std::min(max_notice, grace / 2)),
        // A little earlier than allowed, since the process handles the signal with a delay.
        accept_until(std::min(kLastCuttableRequestMs, grace / 2) * 11 / 12),
        last_sixth(grace - grace / 6),
        // Half of the last sixth is for answers from servers, half for the process's own.
        fail_unanswered_at(grace - grace / 12),
        exit_at(grace - grace / 60) {}

  base::Millis notice_until;  // until then the process stays even if idle: clients may still come
  base::Millis accept_until;  // later requests are rejected
  base::Millis last_sixth;    // start of the last sixth of the grace time
  base::Millis fail_unanswered_at;  // requests whose answer has not begun are failed
  base::Millis exit_at;             // the process ends, even with requests in flight
};

}  // namespace elderkeel::lifecycle
