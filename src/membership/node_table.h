#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/messages.h"
#include "membership/node.h"

namespace elderkeel::membership {

// The records of all nodes, with digests of its parts and the hash ring that names who monitors
// whom, both kept up to date with each change.
class NodeTable {
 public:
  // `regions`: of zones; those not named form one of their own.
  explicit NodeTable(std::map<std::string, std::string> regions) : regions_(std::move(regions)) {}
  NodeTable(const NodeTable&) = delete;
  NodeTable& operator=(const NodeTable&) = delete;

  // Takes a record in place of the one that is known of the node, if any.
  void Store(const Node& node);

  const std::map<uint64_t, Node>& nodes() const { return nodes_; }
  // Null for a node that is not known.
  const Node* Find(uint64_t id) const;
  const Node* Find(const base::Address& address) const;
  // Of one program, alive or only suspected.
  size_t CountReachable(Program program) const;
  size_t CountNotLeft(Program program) const;
  const PartDigests& part_digests() const { return part_digests_; }
  uint64_t Digest() const;

  // Empty for a zone that the settings don't name.
  const std::string& RegionOf(const std::string& zone) const;
  enum class Distance : uint8_t { kZone, kRegion, kFar };
  Distance DistanceBetween(const Node& a, const Node& b) const;

  // The nodes that monitor a node, the nearest first: the next ones clockwise from its position,
  // two of its zone, one of another zone of its region and one of another region, as far as there
  // are any; of the rest as many as are missing.
  static constexpr size_t kMonitorsInZone = 2;
  std::vector<const Node*> MonitorsOf(uint64_t id) const;
  // Whether MonitorsOf may have changed since this was last called.
  bool TakeRingChanged() { return std::exchange(ring_changed_, false); }

 private:
  // The nodes of one zone that are reachable, by their position on the ring.
  using ZoneRing = std::map<uint64_t, const Node*>;
  std::vector<const Node*> MonitorCandidates(uint64_t id) const;

  std::map<std::string, std::string> regions_;
  std::map<uint64_t, Node> nodes_;  // by id
  std::map<std::string, ZoneRing> zone_rings_;
  PartDigests part_digests_;
  bool ring_changed_ = true;
};

}  // namespace elderkeel::membership
