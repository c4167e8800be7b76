#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

// Quorum arithmetic: how many voters decide, and how many replicas outlive a loss.
namespace elderkeel::consensus {

// What may be lost at once, disks included, without losing what is committed.
struct Tolerance {
  size_t machines = 0;
  size_t zones = 0;
  size_t regions = 0;
};

// Voters that decide, of `voters`.
constexpr size_t MajorityOf(size_t voters) { return voters / 2 + 1; }

// The fewest voters that can lose what is tolerated and have a majority left; three at the least.
size_t MinVoters(const Tolerance& tolerance);

// The highest value that a majority has reached, of one value for each voter.
// REQUIRES: there are values.
template <class Value>
Value ReachedByMajority(std::vector<Value> values) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[MajorityOf(values.size()) - 1];
}

// Counts the replicas of one entry. A majority decides; what it decided must also outlive
// the loss that is tolerated. Both matter: of five voters with two that may be lost, three replicas
// are enough; of three voters they are all needed.
class ReplicaCount {
 public:
  explicit ReplicaCount(const Tolerance& tolerance) : tolerance_(tolerance) {}

  void AddVoter(const std::string& zone, const std::string& region, bool has_replica);
  // Whether the entry is on enough voters, and in as many zones and regions as it must be, as far
  // as the voters stand in so many.
  bool IsEnough() const;

 private:
  Tolerance tolerance_;
  size_t voters_ = 0;
  size_t replicas_ = 0;
  std::set<std::string> zones_, regions_;                  // of all voters
  std::set<std::string> replica_zones_, replica_regions_;  // of those with a replica
};

}  // namespace elderkeel::consensus
