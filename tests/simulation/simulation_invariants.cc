// SimulatedCluster: the invariants that hold at each step, and the check for convergence after
// faults.
#include <algorithm>
#include <utility>

#include "simulation/simulation.h"

namespace elderkeel::simulation {

std::string SimulatedCluster::Converged() {
  int leaders = 0;
  for (auto& n : nodes_) leaders += n->up && n->raft && n->raft->HasCommittedInTerm();
  if (leaders != 1) return std::to_string(leaders) + " leaders that have committed in their term";
  for (auto& n : nodes_) {
    if (!n->up) return n->address.ip + " is down";
    if (n->controller && n->state.configuration.revision() < acknowledged_) {
      return n->address.ip + " lacks acknowledged revision " + std::to_string(acknowledged_);
    }
    if (n->disseminator->revision() < acknowledged_) {
      return n->address.ip + " uses revision " + std::to_string(n->disseminator->revision()) +
             " instead of " + std::to_string(acknowledged_);
    }
    for (const auto& [zone, drain] : drained_zones_) {
      if (n->disseminator->drained_zones().IsDrained(zone) != drain) {
        return n->address.ip + " has the wrong drain state of zone " + zone;
      }
    }
    const auto& servers = n->disseminator->endpoints().servers;
    if (servers.size() != 1 || servers[0].id != "list-" + std::to_string(list_version_)) {
      return n->address.ip + " does not hold the current endpoint list";
    }
    if (n->controller && !n->raft->IsVoter(n->raft->self().id))
      return n->address.ip + " is not a voter";
    if (n->members->ReachableOthers().size() + 1 != nodes_.size())
      return n->address.ip + " does not list every other node as reachable";
  }
  return "";
}

int SimulatedCluster::leader() const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->up && nodes_[i]->raft && nodes_[i]->raft->HasCommittedInTerm())
      return static_cast<int>(i);
  }
  return -1;
}

bool SimulatedCluster::acknowledged_drain(const std::string& zone) const {
  auto at = drained_zones_.find(zone);
  return at != drained_zones_.end() && at->second;
}

bool SimulatedCluster::HasCurrentEndpoints(size_t i) const {
  const auto& servers = nodes_[i]->disseminator->endpoints().servers;
  return servers.size() == 1 && servers[0].id == "list-" + std::to_string(list_version_);
}

void SimulatedCluster::CheckFreshness(const Node& n) {
  Millis age = n.disseminator->log_age(now);
  if (age < 0) return;
  auto known = acknowledged_at_.upper_bound(now - age);
  if (known == acknowledged_at_.begin()) return;
  if (n.disseminator->revision() < std::prev(known)->second) {
    Fail(n.address.ip + " reports itself up to date at revision " +
         std::to_string(n.disseminator->revision()) + " although " +
         std::to_string(std::prev(known)->second) + " was acknowledged");
  }
}

void SimulatedCluster::CheckConfigurationDigest(int64_t revision, uint64_t digest,
                                                const std::string& who) {
  auto [at, added] = configuration_digests_.emplace(revision, digest);
  if (!added && at->second != digest)
    Fail(who + " has a different configuration of revision " + std::to_string(revision));
}

}  // namespace elderkeel::simulation
