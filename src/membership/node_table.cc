#include "membership/node_table.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::membership {
namespace {

uint64_t RecordDigest(const Node& node) {
  return base::Random(node.id ^ (uint64_t{node.ViewDigest()} << 16)).Next();
}

}  // namespace

void NodeTable::Store(const Node& node) {
  Node& record = nodes_[node.id];
  bool is_new = record.id == 0;
  bool was_reachable = !is_new && record.reachable();
  if (was_reachable != node.reachable() || record.zone != node.zone) {
    if (was_reachable) zone_rings_[record.zone].erase(record.id);
    if (node.reachable()) zone_rings_[node.zone][node.id] = &record;
    ring_changed_ = true;
  }
  ring_changed_ |= is_new;
  uint64_t& part_digest = part_digests_.parts[PartOf(node.id)];
  if (!is_new) part_digest ^= RecordDigest(record);
  record = node;
  part_digest ^= RecordDigest(record);
}

const Node* NodeTable::Find(uint64_t id) const {
  auto node = nodes_.find(id);
  return node == nodes_.end() ? nullptr : &node->second;
}

const Node* NodeTable::Find(const base::Address& address) const {
  return Find(base::Hash(address.ToString()));
}

size_t NodeTable::CountReachable(Program program) const {
  size_t count = 0;
  for (const auto& [id, node] : nodes_) count += node.program == program && node.reachable();
  return count;
}

size_t NodeTable::CountNotLeft(Program program) const {
  size_t count = 0;
  for (const auto& [id, node] : nodes_) {
    count += node.program == program && node.state != State::kLeft;
  }
  return count;
}

uint64_t NodeTable::Digest() const {
  uint64_t digest = 0;
  for (uint64_t part : part_digests_.parts) digest ^= part;
  return digest;
}

const std::string& NodeTable::RegionOf(const std::string& zone) const {
  static const std::string kNoRegion;
  auto region = regions_.find(zone);
  return region == regions_.end() ? kNoRegion : region->second;
}

NodeTable::Distance NodeTable::DistanceBetween(const Node& a, const Node& b) const {
  if (a.zone == b.zone) return Distance::kSameZone;
  return RegionOf(a.zone) == RegionOf(b.zone) ? Distance::kSameRegion : Distance::kOtherRegion;
}

// The next nodes clockwise from `id` in each zone, wrapping around the end of the ring, in order of
// their distance on it. MonitorsOf() never chooses more than these from one zone, so the cost
// depends on the number of zones and hardly on the number of nodes.
std::vector<const Node*> NodeTable::MonitorCandidates(uint64_t id) const {
  std::vector<const Node*> candidates;
  for (const auto& [zone, ring] : zone_rings_) {
    auto next = ring.upper_bound(id);
    for (size_t i = 0; i < std::min(ring.size(), kMonitorsInZone + 2); ++i, ++next) {
      if (next == ring.end()) next = ring.begin();
      if (next->first != id) candidates.push_back(next->second);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [id](const Node* a, const Node* b) { return a->id - id < b->id - id; });
  return candidates;
}

std::vector<const Node*> NodeTable::MonitorsOf(uint64_t id) const {
  std::vector<const Node*> monitors, remaining;
  const Node* monitored = Find(id);
  if (!monitored) return monitors;
  size_t count[3] = {0, 0, 0};  // by distance
  for (const Node* node : MonitorCandidates(id)) {
    Distance distance = DistanceBetween(*monitored, *node);
    size_t wanted = distance == Distance::kSameZone ? kMonitorsInZone : 1;
    size_t& chosen = count[static_cast<size_t>(distance)];
    if (chosen < wanted) {
      ++chosen;
      monitors.push_back(node);
    } else {
      remaining.push_back(node);
    }
  }
  for (const Node* node : remaining) {
    if (monitors.size() > kMonitorsInZone) break;
    monitors.push_back(node);
  }
  std::stable_sort(monitors.begin(), monitors.end(), [&](const Node* a, const Node* b) {
    return DistanceBetween(*monitored, *a) < DistanceBetween(*monitored, *b);
  });
  return monitors;
}

}  // namespace elderkeel::membership
