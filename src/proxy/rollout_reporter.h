#pragma once

#include "cluster/cluster_node.h"
#include "forwarding/request_router.h"

namespace elderkeel::proxy {

// Reports to the observers of roll-outs under way what this proxy counts, and asks them to renew
// its lease on versions that are not proven.
class RolloutReporter {
 public:
  // Both outlive this object.
  RolloutReporter(cluster::ClusterNode* node, forwarding::RequestRouter* router)
      : node_(node), router_(router) {}

  // Reports if that is due.
  void Tick(base::Millis now);
  // The state of the roll-outs changed: the next tick reports.
  void ReportSoon() { next_report_at_ = 0; }

 private:
  cluster::ClusterNode* node_;
  forwarding::RequestRouter* router_;
  base::Millis next_report_at_ = 0;
  base::Millis renew_lease_at_ = 0;
};

}  // namespace elderkeel::proxy
