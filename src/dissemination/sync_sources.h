#pragma once

#include <optional>
#include <vector>

#include "base/settings.h"
#include "membership/membership.h"

namespace elderkeel::dissemination {

// Peers that may be asked for newer state, the best first: `voucher`, if it is known who vouches
// for that state; the controllers by their distance, those suspected to be dead last; the seeds.
std::vector<base::Address> SyncSources(const membership::Membership& members,
                                       const std::vector<base::Address>& seeds,
                                       const std::optional<base::Address>& voucher);

}  // namespace elderkeel::dissemination
