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

// The records of all known nodes, owned by Membership. It also maintains, with each change, the
// digests of the table's parts and the hash rings from which monitors are chosen.
class NodeTable {
 public:
  // `regions`: region by zone. All zones that are not listed form one region of their own.
  explicit NodeTable(std::map<std::string, std::string> regions) : regions_(std::move(regions)) {}
  NodeTable(const NodeTable&) = delete;
  NodeTable& operator=(const NodeTable&) = delete;

  // Stores the record of a node, in place of an earlier one if there is any.
  void Store(const Node& node);

  const std::map<uint64_t, Node>& nodes() const { return nodes_; }
  // Null if the node is not known.
  const Node* Find(uint64_t id) const;
  const Node* Find(const base::Address& address) const;
  // The number of nodes that run `program` and are alive or suspected.
  size_t CountReachable(Program program) const;
  // The same for all nodes that have not left, dead ones included.
  size_t CountNotLeft(Program program) const;
  const PartDigests& part_digests() const { return part_digests_; }
  // A digest of the whole table.
  uint64_t Digest() const;

  // Empty for a zone that the settings don't list.
  const std::string& RegionOf(const std::string& zone) const;
  enum class Distance : uint8_t { kSameZone, kSameRegion, kOtherRegion };
  Distance DistanceBetween(const Node& a, const Node& b) const;

  // The reachable nodes that monitor a node, the nearest first. Each is the next one clockwise from
  // the node's position on the hash ring: two in its zone, one in another zone of its region and
  // one in another region. If there are fewer than three of these, the next nodes of any zone fill
  // up to three. Empty if the node is not known.
  static constexpr size_t kMonitorsInZone = 2;
  std::vector<const Node*> MonitorsOf(uint64_t id) const;
  // Whether the result of MonitorsOf() may have changed since the last call of this function.
  bool TakeRingChanged() { return std::exchange(ring_changed_, false); }

 private:
  // The reachable nodes of one zone, by their position on the hash ring.
  using ZoneRing = std::map<uint64_t, const Node*>;
  std::vector<const Node*> MonitorCandidates(uint64_t id) const;

  std::map<std::string, std::string> regions_;
  std::map<uint64_t, Node> nodes_;  // by id
  std::map<std::string, ZoneRing> zone_rings_;
  PartDigests part_digests_;
  bool ring_changed_ = true;
};

}  // namespace elderkeel::membership
