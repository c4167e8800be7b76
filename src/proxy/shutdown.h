#pragma once

#include "forwarding/request_router.h"
#include "lifecycle/lifecycle.h"

namespace elderkeel::proxy {

// Carries out the actions that a phase of the graceful shutdown requires of the router. Called
// repeatedly during the shutdown. Returns true when the process may end: the phase is kStopped and
// no request is in flight.
bool AdvanceShutdown(lifecycle::Lifecycle::Phase phase, forwarding::RequestRouter* router);

// Logs the beginning of each phase of a shutdown and, once a second, the connections and requests
// for which the process still waits.
class ShutdownLog {
 public:
  // Logs if that is due. `elapsed`: since SIGTERM.
  void Log(base::Millis now, base::Millis elapsed, lifecycle::Lifecycle::Phase phase,
           const forwarding::RequestRouter& router);

 private:
  lifecycle::Lifecycle::Phase phase_ = lifecycle::Lifecycle::Phase::kServing;
  base::Millis next_log_at_ = 0;
};

}  // namespace elderkeel::proxy
