#include "consensus/quorum.h"

#include <algorithm>

namespace elderkeel::consensus {

size_t MinVoters(const Tolerance& tolerance) {
  return std::max<size_t>(3, 2 * tolerance.machines + 1);
}

void ReplicaCount::AddVoter(const std::string& zone, const std::string& region, bool has_replica) {
  ++voters_;
  zones_.insert(zone);
  regions_.insert(region);
  if (!has_replica) return;
  ++replicas_;
  replica_zones_.insert(zone);
  replica_regions_.insert(region);
}

bool ReplicaCount::IsEnough() const {
  size_t needed = std::max(MajorityOf(voters_), std::min(tolerance_.machines + 1, voters_));
  return replicas_ >= needed &&
         replica_zones_.size() >= std::min(tolerance_.zones + 1, zones_.size()) &&
         replica_regions_.size() >= std::min(tolerance_.regions + 1, regions_.size());
}

}  // namespace elderkeel::consensus
