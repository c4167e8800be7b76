#pragma once

#include <string>
#include <string_view>

#include "controller/context.h"
#include "diagnosis/diagnosis.h"
#include "rollout/coordinator.h"

// The JSON documents in which a controller reports its own state and that of the fleet.
// docs/operate.md describes their members.
namespace elderkeel::controller {

// The state of this controller and its view of the fleet. `nodes` holds the proxies' replies.
std::string WriteStatus(const Context& context, const diagnosis::FleetQuery& nodes,
                        base::Millis now);

// The state, votes and counters of all roll-outs, or only of `service` if that is not empty.
// Returns an empty string if that service has no roll-out.
std::string WriteRollouts(const Context& context, const rollout::RolloutCoordinator& coordinator,
                          std::string_view service, base::Millis now);

}  // namespace elderkeel::controller
