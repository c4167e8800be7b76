#pragma once

#include <string>
#include <string_view>

#include "controller/context.h"
#include "diagnosis/diagnosis.h"
#include "rollout/coordinator.h"

// The JSON that a controller answers questions about itself and the fleet with. docs/operate.md
// says what the members mean.
namespace elderkeel::controller {

// The fleet as this controller knows it; `nodes` holds what the proxies replied.
std::string WriteStatus(const Context& context, const diagnosis::Inquiry& nodes, base::Millis now);

// The roll-outs, or one service's: their state, votes and evidence. Empty if that service has none.
std::string WriteRollouts(const Context& context, const rollout::RolloutCoordinator& coordinator,
                          std::string_view service, base::Millis now);

}  // namespace elderkeel::controller
