#pragma once

#include <optional>
#include <vector>

#include "base/settings.h"
#include "membership/membership.h"

namespace elderkeel::dissemination {

// Returns the peers that may be asked for newer state, in order of preference and without
// duplicates: `authority`, the source of that state (the log's leader or the catalog reader), if it
// is known; the controllers that have not left, reachable before unreachable ones, then by distance
// (own zone, own region, others), then those with a disk before those without; the seeds. This node
// itself is not among them.
std::vector<base::Address> SyncSources(const membership::Membership& members,
                                       const std::vector<base::Address>& seeds,
                                       const std::optional<base::Address>& authority);

}  // namespace elderkeel::dissemination
