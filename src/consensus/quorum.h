#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

// Quorum arithmetic: the size of a majority, and the replicas that an entry needs to survive the
// tolerated loss.
namespace elderkeel::consensus {

// How many machines, zones and regions may be lost at once, disks included, without losing a
// committed entry.
struct Tolerance {
  size_t machines = 0;
  size_t zones = 0;
  size_t regions = 0;
};

// The size of a majority of `voters` voters.
constexpr size_t MajorityOf(size_t voters) { return voters / 2 + 1; }

// The smallest number of voters of which a majority remains after the tolerated loss of machines;
// at least three.
size_t MinVoters(const Tolerance& tolerance);

// The highest value that a majority has reached; `values` holds one value per voter.
// REQUIRES: `values` is not empty.
template <class Value>
Value ReachedByMajority(std::vector<Value> values) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[MajorityOf(values.size()) - 1];
}

// Counts the replicas of one entry, to decide whether the entry is committed. It needs a majority,
// and enough replicas to survive the tolerated loss. With a tolerated loss of two machines, three
// replicas suffice of five voters, while of three voters all three are needed.
class ReplicaCount {
 public:
  explicit ReplicaCount(const Tolerance& tolerance) : tolerance_(tolerance) {}

  // Adds one voter with its location; to be called once per voter.
  void AddVoter(const std::string& zone, const std::string& region, bool has_replica);
  // Whether the entry is on enough voters, zones and regions. It never needs more zones or regions
  // than there are with a voter.
  bool IsEnough() const;

 private:
  Tolerance tolerance_;
  size_t voters_ = 0;
  size_t replicas_ = 0;
  std::set<std::string> zones_, regions_;                  // of all voters
  std::set<std::string> replica_zones_, replica_regions_;  // of voters with a replica
};

}  // namespace elderkeel::consensus
