#pragma once

#include "forwarding/request_router.h"
#include "lifecycle/lifecycle.h"

namespace elderkeel::proxy {

// Does what a phase of an orderly end asks of the router, at each tick. True when the process may
// end: nothing is here any more, or the platform's patience is over.
bool AdvanceShutdown(lifecycle::Lifecycle::Phase phase, forwarding::RequestRouter* router);

}  // namespace elderkeel::proxy
