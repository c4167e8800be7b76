#pragma once

#include "cluster/cluster_node.h"
#include "forwarding/request_router.h"

namespace elderkeel::proxy {

// Sends this proxy's request counts to the observers of the roll-outs in progress, and asks them to
// renew its leases on versions that are not proven yet. Owned and ticked by the proxy.
class RolloutReporter {
 public:
  // Both outlive this object.
  RolloutReporter(cluster::ClusterNode* node, forwarding::RequestRouter* router)
      : node_(node), router_(router) {}

  // Sends the reports if they are due.
  void Tick(base::Millis now);
  // Makes the next tick send reports. Called when the state of the roll-outs has changed.
  void ReportSoon() { next_report_at_ = 0; }

 private:
  cluster::ClusterNode* node_;
  forwarding::RequestRouter* router_;
  base::Millis next_report_at_ = 0;
  base::Millis next_renewal_at_ = 0;  // when to ask for the next lease renewal
};

}  // namespace elderkeel::proxy
