#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/name_index.h"
#include "forwarding/load_balancer.h"
#include "load/load_tracker.h"

namespace elderkeel::forwarding {

// Distributes each service's requests over the zones according to the load that all proxies report
// (docs/demand.md). Counts this proxy's attempts in flight, exchanges load reports with peers, and
// sets the load balancer's shares.
class LoadSharing {
 public:
  // `services` and `balancer` must outlive this object.
  LoadSharing(const std::string& zone, const base::NameIndex* services, LoadBalancer* balancer)
      : services_(services), balancer_(balancer), tracker_(zone) {}

  void OnAttemptBegun(base::Millis now, uint32_t service) { tracker_.Begin(now, KeyOf(service)); }
  void OnAttemptEnded(base::Millis now, uint32_t service) { tracker_.End(now, KeyOf(service)); }
  // Recomputes all shares if that is due; to be called regularly.
  void Tick(base::Millis now);
  // Returns this proxy's report for a peer; merges a report that was received from one.
  load::LoadReport MakeReport(base::Millis now) const;
  void MergeReport(base::Millis now, const load::LoadReport& report);

 private:
  // The key of the service's name in load reports.
  uint32_t KeyOf(uint32_t service);
  // The service's shares, from the capacity and the load of each zone.
  std::vector<LoadBalancer::Share> SharesOf(base::Millis now, uint32_t service);

  const base::NameIndex* services_;
  LoadBalancer* balancer_;
  load::LoadTracker tracker_;
  std::vector<uint32_t> keys_;  // KeyOf() of each service, by index
  base::Millis next_tick_at_ = 0;
};

}  // namespace elderkeel::forwarding
