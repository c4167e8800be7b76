#pragma once

#include "forwarding/request_router.h"
#include "lifecycle/lifecycle.h"

namespace elderkeel::proxy {

// Does what a phase of a graceful shutdown asks of the router. Called again and again; true when
// the process may end: nothing is here any more, or there is no time left.
bool AdvanceShutdown(lifecycle::Lifecycle::Phase phase, forwarding::RequestRouter* router);

// Logs each phase as it begins, and what the process still waits for in it, once a second.
class ShutdownLog {
 public:
  void Note(base::Millis now, base::Millis elapsed, lifecycle::Lifecycle::Phase phase,
            const forwarding::RequestRouter& router);

 private:
  lifecycle::Lifecycle::Phase phase_ = lifecycle::Lifecycle::Phase::kServing;
  base::Millis next_at_ = 0;
};

}  // namespace elderkeel::proxy
