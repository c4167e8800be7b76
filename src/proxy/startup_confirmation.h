#pragma once

#include <functional>

#include "base/loop.h"
#include "base/settings.h"
#include "cluster/cluster_node.h"
#include "dissemination/confirm.h"
#include "forwarding/request_router.h"
#include "lifecycle/lifecycle.h"

namespace elderkeel::proxy {

// The part of a proxy that has just started: asks controllers whether what it holds is current,
// asks for what it lacks, and lets the router serve once both are done.
class StartupConfirmation {
 public:
  // All pointers outlive this object.
  StartupConfirmation(base::Loop* loop, const base::Settings* settings, cluster::ClusterNode* node,
                      forwarding::RequestRouter* router, lifecycle::Lifecycle* lifecycle);

  // Looks and asks often, for a while.
  void Start();
  // Looks, and asks if that is due.
  void Tick(base::Millis now);
  // Notes if what is held is confirmed as current by now, and serves by it.
  void Review(base::Millis now);
  void OnReply(base::Millis now, const dissemination::ConfirmReply& reply);

 private:
  void Probe();
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
  base::Millis ask_at_ = 0;      // when the next controller is asked
  base::Millis confirm_at_ = 0;  // when a confirmation is asked for next
  size_t next_controller_ = 0;
};

}  // namespace elderkeel::proxy
