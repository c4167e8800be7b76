#pragma once

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace elderkeel::zone_drain {

// An operator's order to drain a zone or to end its drain. Stored in the log: the order of the
// fields is a format.
struct DrainOrder {
  std::string zone;
  bool drain = true;  // false: ends the drain
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, drain);
  }
};

// The set of zones that operators have ordered drained, as a deterministic state machine above the
// log. Controllers apply the orders of the log; proxies receive copies. The version rises by one
// with each order that changes the set, so of two copies the one with the higher version is newer.
class DrainedZones {
 public:
  // Applies an order; returns whether it changed the set.
  bool Apply(const DrainOrder& order) {
    auto position = std::lower_bound(zones_.begin(), zones_.end(), order.zone);
    bool is_drained = position != zones_.end() && *position == order.zone;
    if (is_drained == order.drain) return false;
    if (order.drain) {
      zones_.insert(position, order.zone);
    } else {
      zones_.erase(position);
    }
    ++version_;
    return true;
  }
  bool IsDrained(const std::string& zone) const {
    return std::binary_search(zones_.begin(), zones_.end(), zone);
  }
  uint64_t version() const { return version_; }
  const std::vector<std::string>& zones() const { return zones_; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version_, zones_);
  }

 private:
  uint64_t version_ = 0;
  std::vector<std::string> zones_;  // sorted
};

}  // namespace elderkeel::zone_drain
