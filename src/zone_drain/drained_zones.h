#pragma once

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace elderkeel::zone_drain {

// An operator's order about one zone. Part of the log: the order of the fields is a format.
struct DrainOrder {
  std::string zone;
  bool drain = true;  // false: the zone is taken back
  template <class A>
  void serialize(A& a) {
    a(zone, drain);
  }
};

// Which zones are drained by order, as a state machine above the log. The version rises with each
// order that changes something, so that of two views the newer is known by it.
class DrainedZones {
 public:
  // True if it changed something.
  bool Apply(const DrainOrder& order) {
    auto at = std::lower_bound(zones_.begin(), zones_.end(), order.zone);
    bool there = at != zones_.end() && *at == order.zone;
    if (there == order.drain) return false;
    if (order.drain) {
      zones_.insert(at, order.zone);
    } else {
      zones_.erase(at);
    }
    ++version_;
    return true;
  }
  bool IsDrained(const std::string& zone) const {
    return std::binary_search(zones_.begin(), zones_.end(), zone);
  }
  uint64_t version() const { return version_; }
  const std::vector<std::string>& zones() const { return zones_; }

  template <class A>
  void serialize(A& a) {
    a(version_, zones_);
  }

 private:
  uint64_t version_ = 0;
  std::vector<std::string> zones_;  // sorted
};

}  // namespace elderkeel::zone_drain
