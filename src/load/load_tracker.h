#pragma once

#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace elderkeel::load {

// What the clients of one zone ask of each service: sends in flight, as the mean of its proxies.
struct ZoneLoad {
  uint32_t zone = 0;  // Key() of its name
  uint32_t age_ms = 0;
  uint16_t proxies = 0;
  std::vector<std::pair<uint32_t, float>> means;  // by the Key() of the service's name
  template <class A>
  void serialize(A& a) {
    a(zone, age_ms, proxies, means);
  }
};
using LoadReport = std::vector<ZoneLoad>;

uint32_t Key(const std::string& name);

// The load of each zone, as all proxies together know it. No proxy sees what the others of its zone
// send to the same servers; so each one's own sends go into a mean that pairs of proxies level with
// every digest they exchange, and the means of other zones are passed on, the youngest counts.
// Pure.
class LoadTracker {
 public:
  explicit LoadTracker(const std::string& zone) : zone_(Key(zone)) {}

  // One more send of the service is in flight, or one less.
  void Begin(base::Millis now, uint32_t service) { Count(now, service, 1); }
  void End(base::Millis now, uint32_t service) { Count(now, service, -1); }

  // Takes what was measured since the last call into the mean.
  void Tick(base::Millis now);
  // The report for a peer; `proxies`: of this zone, as known.
  LoadReport MakeReport(base::Millis now, size_t proxies) const;
  // Takes a peer's report.
  void MergeReport(base::Millis now, const LoadReport& report);

  // Sends in flight for the service by all proxies of the zone; less than 0 if that is not known.
  double Of(base::Millis now, uint32_t zone, uint32_t service, size_t own_proxies) const;

 private:
  struct Measured {
    bool known = false;  // measured before
    int in_flight = 0;
    double area = 0;    // sends in flight x ms since the last tick
    double smooth = 0;  // the same per ms, over some ticks
    base::Millis at = 0;
  };
  struct Zone {
    base::Millis at = 0;
    uint16_t proxies = 0;
    std::map<uint32_t, double> means;
  };
  void Count(base::Millis now, uint32_t service, int change);

  uint32_t zone_;
  base::Millis tick_at_ = 0;
  bool known_ = false;  // own_ says something
  std::map<uint32_t, Measured> measured_;
  std::map<uint32_t, double> own_;
  std::map<uint32_t, Zone> others_;
};

// How a zone's requests for one service are shared out. The zone's own servers get them up to
// `home_share` of their slots, or up to what all zones are filled to on the whole if that is more.
// What goes beyond is sent where there is room below the same mark, in proportion to the room.
struct ZoneCapacity {
  double slots = 0;  // of the servers there that may be used
  double load = -1;  // of the clients there; less than 0: not known, no room is seen there
};
// The share for each zone, that at `home` included; they add up to 1.
std::vector<double> SplitByCapacity(const std::vector<ZoneCapacity>& zones, size_t home,
                                    double home_share);

}  // namespace elderkeel::load
