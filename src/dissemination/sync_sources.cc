#include "dissemination/sync_sources.h"

#include <algorithm>
#include <tuple>

namespace elderkeel::dissemination {
namespace {

// A controller; the order of the members is the order of preference.
struct Source {
  bool unreachable;
  int distance;
  bool volatile_state;
  uint64_t ring_distance;  // from this node clockwise; avoids that all ask the same controller
  base::Address address;
  bool operator<(const Source& other) const {
    return std::tie(unreachable, distance, volatile_state, ring_distance) <
           std::tie(other.unreachable, other.distance, other.volatile_state, other.ring_distance);
  }
};

}  // namespace

std::vector<base::Address> SyncSources(const membership::Membership& members,
                                       const std::vector<base::Address>& seeds,
                                       const std::optional<base::Address>& authority) {
  const membership::Node& self = members.self();
  std::vector<Source> controllers;
  for (const auto& [id, node] : members.nodes()) {
    bool other_controller = node.program == membership::Program::kController && id != self.id;
    if (!other_controller || node.state == membership::State::kLeft) continue;
    bool same_region = members.RegionOf(node.zone) == members.RegionOf(self.zone);
    int distance = node.zone == self.zone ? 0 : same_region ? 1 : 2;
    controllers.push_back(
        {!node.reachable(), distance, !node.durable, id - self.id, node.address()});
  }
  std::sort(controllers.begin(), controllers.end());
  std::vector<base::Address> sources;
  auto add = [&](const base::Address& address) {
    bool known = std::find(sources.begin(), sources.end(), address) != sources.end();
    if (!known && address != self.address()) sources.push_back(address);
  };
  if (authority) add(*authority);
  for (const Source& source : controllers) add(source.address);
  for (const base::Address& seed : seeds) add(seed);
  return sources;
}

}  // namespace elderkeel::dissemination
