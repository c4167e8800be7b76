#include "dissemination/sync_sources.h"

#include <algorithm>
#include <tuple>

namespace elderkeel::dissemination {
namespace {

// A controller, in the order in which it is asked.
struct Source {
  bool dead;
  int distance;
  bool volatile_state;
  uint64_t place;  // clockwise from this node, so that not all ask the same one
  base::Address address;
  bool operator<(const Source& other) const {
    return std::tie(dead, distance, volatile_state, place) <
           std::tie(other.dead, other.distance, other.volatile_state, other.place);
  }
};

}  // namespace

std::vector<base::Address> SyncSources(const membership::Membership& members,
                                       const std::vector<base::Address>& seeds,
                                       const std::optional<base::Address>& voucher) {
  const membership::Node& self = members.self();
  std::vector<Source> controllers;
  for (const auto& [id, node] : members.nodes()) {
    bool asked = node.program == membership::Program::kController && id != self.id;
    if (!asked || node.state == membership::State::kLeft) continue;
    bool region = members.RegionOf(node.zone) == members.RegionOf(self.zone);
    int distance = node.zone == self.zone ? 0 : region ? 1 : 2;
    controllers.push_back(
        {!node.reachable(), distance, !node.durable, id - self.id, node.address()});
  }
  std::sort(controllers.begin(), controllers.end());
  std::vector<base::Address> sources;
  auto add = [&](const base::Address& address) {
    bool known = std::find(sources.begin(), sources.end(), address) != sources.end();
    if (!known && address != self.address()) sources.push_back(address);
  };
  if (voucher) add(*voucher);
  for (const Source& source : controllers) add(source.address);
  for (const base::Address& seed : seeds) add(seed);
  return sources;
}

}  // namespace elderkeel::dissemination
