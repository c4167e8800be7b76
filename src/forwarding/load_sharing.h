#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/names.h"
#include "forwarding/load_balancer.h"
#include "load/load_tracker.h"

namespace elderkeel::forwarding {

// Spreads each service's requests over the zones by the load that all proxies together report
// (docs/demand.md): counts this proxy's attempts, and sets the load balancer's shares.
class LoadSharing {
 public:
  // Both outlive this object.
  LoadSharing(const std::string& zone, const base::Names* services, LoadBalancer* balancer)
      : services_(services), balancer_(balancer), tracker_(zone) {}

  void OnAttemptBegun(base::Millis now, uint32_t service) { tracker_.Begin(now, KeyOf(service)); }
  void OnAttemptEnded(base::Millis now, uint32_t service) { tracker_.End(now, KeyOf(service)); }
  // Sets the shares if that is due.
  void Tick(base::Millis now);
  load::LoadReport MakeReport(base::Millis now) const;
  void MergeReport(base::Millis now, const load::LoadReport& report);

 private:
  uint32_t KeyOf(uint32_t service);
  std::vector<LoadBalancer::Share> SharesOf(base::Millis now, uint32_t service);

  const base::Names* services_;
  LoadBalancer* balancer_;
  load::LoadTracker tracker_;
  std::vector<uint32_t> keys_;  // of the services, by index
  base::Millis next_tick_at_ = 0;
};

}  // namespace elderkeel::forwarding
