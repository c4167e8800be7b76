#pragma once

#include <functional>

#include "base/loop.h"
#include "base/settings.h"
#include "cluster/cluster_node.h"
#include "dissemination/confirm.h"
#include "forwarding/request_router.h"
#include "lifecycle/lifecycle.h"

namespace elderkeel::proxy {

// Confirms the state of a proxy that has just started: asks the controllers whether its state is
// current, requests the state that it lacks, and lets the router serve once the state is complete
// and confirmed, or once the lifecycle allows it without a confirmation. Owned by the proxy, which
// ticks it and passes replies to it; runs on the event loop's thread.
class StartupConfirmation {
 public:
  // All pointers outlive this object.
  StartupConfirmation(base::Loop* loop, const base::Settings* settings, cluster::ClusterNode* node,
                      forwarding::RequestRouter* router, lifecycle::Lifecycle* lifecycle);

  // Begins to tick at short intervals by a timer of its own, until the state is complete and either
  // it is confirmed or a few seconds have passed.
  void Start();
  // Updates the state, and sends the next requests to a controller if they are due.
  void Tick(base::Millis now);
  // Reports to the lifecycle whether the proxy's state is confirmed and complete, and lets the
  // router serve or not accordingly.
  void UpdateServing(base::Millis now);
  // A controller's reply. If it names the leader, the same question is sent to the leader.
  void OnReply(base::Millis now, const dissemination::ConfirmReply& reply);

 private:
  void Probe();
  // Whether a part of the state is missing or older than the controllers report.
  bool LacksState() const;
  dissemination::Versions OwnVersions() const;

  base::Loop* loop_;
  const base::Settings* settings_;
  cluster::ClusterNode* node_;
  forwarding::RequestRouter* router_;
  lifecycle::Lifecycle* lifecycle_;
  dissemination::Confirmation confirmation_;
  base::Timer probe_timer_;
  base::Millis started_at_ = 0;
  base::Millis next_request_at_ = 0;  // when the next controller is asked
  base::Millis next_confirm_at_ = 0;  // earliest time of the next request for a confirmation
  size_t next_controller_ = 0;
};

}  // namespace elderkeel::proxy
