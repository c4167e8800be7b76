#pragma once

#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace elderkeel::load {

// The load that the clients of one zone put on each service: attempts in flight for each proxy of
// the zone, averaged over its proxies.
struct ZoneLoad {
  uint32_t zone = 0;                              // NameKey() of the zone's name
  uint32_t age_ms = 0;                            // since the zone's own proxies reported it
  uint16_t proxies = 0;                           // in the zone
  std::vector<std::pair<uint32_t, float>> means;  // NameKey() of the service's name, and its mean
  template <class A>
  void serialize(A& a) {
    a(zone, age_ms, proxies, means);
  }
};
// The load of each zone that one proxy has figures for. Digests between proxies carry it; cereal
// serializes it field by field.
using LoadReport = std::vector<ZoneLoad>;

// A hash of the name of a zone or service, which stands for the name in load reports.
uint32_t NameKey(const std::string& name);

// Estimates the load of each zone by gossip averaging, since no proxy sees what the other proxies
// of its zone send to the same servers. Each proxy keeps an estimate of its zone's mean load for
// each service, adds changes of its own load to it, and averages it with a peer's whenever the two
// exchange digests. The means of other zones are passed on, and the most recent one is kept.
//
// Used by forwarding::LoadSharing, which ticks it and merges the reports of peers. A pure state
// machine.
class LoadTracker {
 public:
  explicit LoadTracker(const std::string& zone) : zone_(NameKey(zone)) {}

  // An attempt for the service was sent to a server, or has ended.
  void Begin(base::Millis now, uint32_t service) { Count(now, service, 1); }
  void End(base::Millis now, uint32_t service) { Count(now, service, -1); }

  // Updates the estimates with the load that was measured since the last update. Does nothing if
  // that update is less than 100 ms ago, too short a time for a measurement. The first call only
  // starts the measurement.
  void Tick(base::Millis now);
  // Returns the report for a peer. `proxies`: the number of known proxies in this zone.
  LoadReport MakeReport(base::Millis now, size_t proxies) const;
  // Merges a peer's report. Reports with too many entries and negative figures are ignored.
  void MergeReport(base::Millis now, const LoadReport& report);

  // Returns the attempts in flight for the service from all proxies of the zone, or a negative
  // value if there is no recent report of the zone. `own_proxies`: the number of proxies in this
  // zone.
  double AttemptsInFlight(base::Millis now, uint32_t zone, uint32_t service,
                          size_t own_proxies) const;

 private:
  // This proxy's own load on one service.
  struct OwnLoad {
    bool initialized = false;  // whether `smoothed` holds a measurement
    int in_flight = 0;
    double in_flight_ms = 0;  // integral of in_flight over the time since the last tick
    double smoothed = 0;      // mean of in_flight, exponentially smoothed over ticks
    base::Millis updated_at = 0;
  };
  // The newest report of another zone.
  struct ZoneReport {
    base::Millis measured_at = 0;
    uint16_t proxies = 0;
    std::map<uint32_t, double> means;
  };
  void Count(base::Millis now, uint32_t service, int change);

  uint32_t zone_;
  base::Millis tick_at_ = 0;
  bool has_ticked_ = false;                // own_means_ includes this proxy's own load
  std::map<uint32_t, OwnLoad> own_loads_;  // by NameKey() of the service
  std::map<uint32_t, double>
      own_means_;  // estimated mean of this zone, by NameKey() of the service
  std::map<uint32_t, ZoneReport> other_zones_;  // by NameKey() of the zone
};

// The capacity of one zone's servers for one service, and the load from the zone's clients.
struct ZoneCapacity {
  double slots = 0;  // attempts that the zone's usable servers can have in flight
  double load = -1;  // attempts in flight; negative if not known, then the zone gets no overflow
};
// Splits the requests that the clients of the zone at index `home` make for one service. The home
// zone's servers get them up to a threshold of their slots: `home_share`, or the load of all zones
// as a share of all slots if that is higher. The excess goes to the zones that are filled below the
// same threshold, in proportion to their headroom. Returns the share of each zone, `home` included;
// the shares add up to 1.
// REQUIRES: home < zones.size()
std::vector<double> SplitByCapacity(const std::vector<ZoneCapacity>& zones, size_t home,
                                    double home_share);

}  // namespace elderkeel::load
